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
	// maxParallelRequests limits the concurrent requests to nodes.
	maxParallelRequests = 32
	// memberPollInterval is the interval between polls of the nodes on which the
	// version is not active yet.
	memberPollInterval = 300 * time.Millisecond
	// maxShownNodes limits the node names that a message lists.
	maxShownNodes = 5
)

// memberPoll collects the members that any polled node knows and records on which
// of them a configuration version is active.
type memberPoll struct {
	c       *client
	version uint64

	mu sync.Mutex
	// members holds administration addresses by instance.
	members map[string]string
	// confirmed holds the instances on which the version is active.
	confirmed map[string]bool
	// sources are the addresses of nodes that know more members than this poll found.
	// The next poll reads the member lists of these nodes and of the nodes in -nodes.
	sources []string
}

// waitUntilActive waits until version or a later one is active on every member
// that is neither dead nor left, and returns the number of these members.
func (a *apply) waitUntilActive(ctx context.Context, s *session, c *client, version uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, a.waitFor)
	defer cancel()
	p := &memberPoll{c: c, version: version, confirmed: make(map[string]bool)}
	lastShown := ""
	var missing []string
	for {
		pending := p.poll(ctx)
		if len(pending) == 0 {
			return len(p.members), nil
		}
		if ctx.Err() == nil || missing == nil {
			// A poll that the timeout interrupted knows less than the previous one.
			missing = pending
		}
		if text := summarizeNames(missing); text != lastShown && ctx.Err() == nil {
			lastShown = text
			s.progress("version %d is in force on %d of %d nodes; missing: %s",
				version, max(0, len(p.members)-len(missing)), len(p.members), text)
		}
		if !sleep(ctx, memberPollInterval) {
			return 0, &failure{
				Code: ExitNotActive,
				Message: fmt.Sprintf("version %d was accepted, but after %s it is not known to be in force on: %s",
					version, a.waitFor, summarizeNames(missing)),
				Advice: "The version spreads without further action; nodes that were cut off get it when they return. " +
					"See azurespringctl get members.",
			}
		}
	}
}

// poll reads the member lists and the active versions. It returns the names of the
// instances on which the version is not active yet, or a description of what else
// is missing.
func (p *memberPoll) poll(ctx context.Context) []string {
	p.members = make(map[string]string)
	sources := slices.Concat(p.c.nodes, p.sources)
	p.sources = nil
	forEachParallel(sources, func(node string) {
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
	forEachParallel(sortedKeys(p.members), func(instance string) { p.checkMember(ctx, instance) })
	missing := lo.Reject(sortedKeys(p.members), func(instance string, _ int) bool { return p.confirmed[instance] })
	if len(missing) == 0 && len(p.sources) > 0 {
		return []string{"nodes that are not known yet"}
	}
	return missing
}

// checkMember reads the active version of one member, unless the member was
// confirmed by an earlier poll.
func (p *memberPoll) checkMember(ctx context.Context, instance string) {
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

// forEachParallel calls f for each item, with at most maxParallelRequests calls at
// a time, and waits for all of them.
func forEachParallel(items []string, f func(item string)) {
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
	for _, item := range items {
		group.Go(func() error {
			f(item)
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
}

func summarizeNames(names []string) string {
	if len(names) <= maxShownNodes {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(lo.Slice(names, 0, maxShownNodes), ", "), len(names)-maxShownNodes)
}
