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

// memberPoll gathers the members that any asked node knows and which of them have
// a version in force.
type memberPoll struct {
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
	p := &memberPoll{c: c, version: version, confirmed: make(map[string]bool)}
	shown := ""
	var missing []string
	for {
		latest := p.round(ctx)
		if len(latest) == 0 {
			return len(p.members), nil
		}
		if ctx.Err() == nil || missing == nil {
			// A round that the end of the time cut short knows less than the last one.
			missing = latest
		}
		if text := nodeNames(missing); text != shown && ctx.Err() == nil {
			shown = text
			s.progress("version %d is in force on %d of %d nodes; missing: %s",
				version, max(0, len(p.members)-len(missing)), len(p.members), text)
		}
		if !pause(ctx, awaitInterval) {
			return 0, &failure{
				Code: ExitNotActive,
				Message: fmt.Sprintf("version %d was accepted, but after %s it is not known to be in force on: %s",
					version, a.waitFor, nodeNames(missing)),
				Advice: "The version spreads without further action; nodes that were cut off get it when they return. " +
					"See azurespringctl get members.",
			}
		}
	}
}

// round asks for members and versions and returns the names of what is missing.
func (p *memberPoll) round(ctx context.Context) []string {
	p.members = make(map[string]string)
	sources := slices.Concat(p.c.nodes, p.sources)
	p.sources = nil
	parallel(sources, func(node string) {
		var members []admin.Member
		if p.c.call(ctx, node, "GET", "/v1/members", nil, &members) != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, member := range members {
			p.members[member.Instance] = member.AdminAddress
		}
	})
	if len(p.members) == 0 {
		return []string{"the list of members"}
	}
	parallel(sortedKeys(p.members), func(instance string) { p.confirm(ctx, instance) })
	missing := lo.Reject(sortedKeys(p.members), func(instance string, _ int) bool { return p.confirmed[instance] })
	if len(missing) == 0 && len(p.sources) > 0 {
		return []string{"nodes that are not known yet"}
	}
	return missing
}

// confirm asks one member unless it has the version already.
func (p *memberPoll) confirm(ctx context.Context, instance string) {
	p.mu.Lock()
	address, done := p.members[instance], p.confirmed[instance]
	p.mu.Unlock()
	if done {
		return
	}
	var status admin.Status
	if p.c.call(ctx, address, "GET", "/v1/status", nil, &status) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed[instance] = status.ConfigVersion >= p.version
	if status.MemberCount > len(p.members) {
		p.sources = append(p.sources, address)
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
