package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/azurespring/azurespring/pkg/admin"
)

const (
	// maxParallel is the number of nodes asked at once.
	maxParallel = 32
	// awaitInterval is the time between two rounds over the nodes that do not
	// have the version yet.
	awaitInterval = 300 * time.Millisecond
	// maxShownNodes bounds the names of missing nodes in a message.
	maxShownNodes = 5
)

// census gathers the members that any asked node knows and which of them have
// a version in force.
type census struct {
	c       *client
	version uint64

	mu sync.Mutex
	// members holds administration addresses by instance.
	members   map[string]string
	confirmed map[string]bool
	// sources are the nodes to ask for their members: those of the options, and
	// nodes that know more members than are known here.
	sources []string
}

// await returns the number of nodes once version or a later one is in force on
// every member that is not dead.
func (a *apply) await(ctx context.Context, s *session, c *client, version uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, a.waitFor)
	defer cancel()
	n := &census{c: c, version: version, confirmed: make(map[string]bool)}
	shown := ""
	for {
		missing := n.round(ctx)
		if len(missing) == 0 {
			return len(n.members), nil
		}
		if text := nodeNames(missing); text != shown {
			shown = text
			s.progress("version %d is in force on %d of %d nodes; missing: %s",
				version, max(0, len(n.members)-len(missing)), len(n.members), text)
		}
		if !pause(ctx, awaitInterval) {
			return 0, &failure{
				Code: ExitNotInForce,
				Message: fmt.Sprintf("version %d was accepted, but after %s it is not known to be in force on: %s",
					version, a.waitFor, nodeNames(missing)),
				Advice: "The version spreads without further action; nodes that were cut off get it when they return. " +
					"See azurespringctl get members.",
			}
		}
	}
}

// round asks for members and versions and returns the names of what is missing.
func (n *census) round(ctx context.Context) []string {
	n.members = make(map[string]string)
	sources := slices.Concat(n.c.nodes, n.sources)
	n.sources = nil
	parallel(sources, func(node string) {
		var members []admin.Member
		if n.c.call(ctx, node, "GET", "/v1/members", nil, &members) != nil {
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, member := range members {
			n.members[member.Instance] = member.AdminAddress
		}
	})
	if len(n.members) == 0 {
		return []string{"the list of members"}
	}
	parallel(sortedKeys(n.members), func(instance string) { n.confirm(ctx, instance) })
	missing := lo.Reject(sortedKeys(n.members), func(instance string, _ int) bool { return n.confirmed[instance] })
	if len(missing) == 0 && len(n.sources) > 0 {
		return []string{"nodes that are not known yet"}
	}
	return missing
}

// confirm asks one member unless it has the version already.
func (n *census) confirm(ctx context.Context, instance string) {
	n.mu.Lock()
	address, done := n.members[instance], n.confirmed[instance]
	n.mu.Unlock()
	if done {
		return
	}
	var status admin.Status
	if n.c.call(ctx, address, "GET", "/v1/status", nil, &status) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed[instance] = status.ConfigVersion >= n.version
	if status.Members > len(n.members) {
		n.sources = append(n.sources, address)
	}
}

// parallel calls f for each item, for at most maxParallel at once.
func parallel(items []string, f func(item string)) {
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for _, item := range items {
		group.Go(func() error {
			f(item)
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
}

func nodeNames(names []string) string {
	if len(names) <= maxShownNodes {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(lo.Slice(names, 0, maxShownNodes), ", "), len(names)-maxShownNodes)
}
