package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/transport"
)

// Numbers of peers and contacts.
const (
	// farPullEvery is the number of pulls of which one may go to other regions.
	farPullEvery = 4
	// maxContacts is the number of addresses kept in the platform for first contact.
	maxContacts = 20
)

// seedTimeout bounds the look whether a seed answers.
const seedTimeout = 2 * time.Second

// firstContacts returns the seeds of the settings and, if none of them answers,
// the contacts in the platform. Reading those only then keeps a herd of joining
// nodes from the platform.
func (n *Node) firstContacts(ctx context.Context) []string {
	seeds := slices.DeleteFunc(slices.Clone(n.settings.Seeds), func(a string) bool { return a == n.addresses.NodeAdvertised })
	if n.fleetAnswers = n.anyAnswers(ctx, seeds); n.fleetAnswers {
		return n.settings.Seeds
	}
	contacts, err := distribution.ReadBootstrapAddresses(ctx, n.store, n.settings.Region)
	if err != nil {
		n.logger.WithError(err).Warn("contacts in the platform cannot be read")
	}
	return lo.Uniq(append(slices.Clone(n.settings.Seeds), contacts...))
}

// anyAnswers reports whether a node answers at one of the addresses, be it with
// an error.
func (n *Node) anyAnswers(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	answers := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			_, err := n.transport.Request(ctx, address, transport.KindDistribution, nil)
			var remote *transport.RemoteError
			answers <- err == nil || errors.As(err, &remote)
		}()
	}
	for range addresses {
		if <-answers {
			return true
		}
	}
	return false
}

// pullPeers returns the neighbours to pull configuration from. Connections to
// them exist already, and those of this region cost no bytes between regions.
// Gateways also ask the other regions now and then, so that a region gets a new
// version while its reader cannot reach the platform.
func (n *Node) pullPeers() []string {
	near, far := lo.FilterReject(n.membership.Neighbours(), func(g gossip.Neighbour, _ int) bool { return !g.OtherRegion })
	if len(near) == 0 || rand.IntN(farPullEvery) == 0 {
		near = append(near, far...)
	}
	return lo.Map(near, func(g gossip.Neighbour, _ int) string { return g.Address })
}

func (n *Node) otherMembers() (sameRegion, otherRegions []membership.Member) {
	for _, member := range n.membership.View().Members {
		switch {
		case member.Instance == n.settings.Instance:
		case member.Region == n.settings.Region:
			sameRegion = append(sameRegion, member)
		default:
			otherRegions = append(otherRegions, member)
		}
	}
	return sameRegion, otherRegions
}

func sample(members []membership.Member, count int) []membership.Member {
	members = slices.Clone(members)
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	return members[:min(count, len(members))]
}

// viewTimeout bounds the wait for the member table after a join.
const viewTimeout = 5 * time.Second

// awaitView waits until the member table that a join brought is in the view. A
// node that took itself for the only one would get its configuration from the
// platform alone and own all shards.
func (n *Node) awaitView(ctx context.Context) {
	if !n.fleetAnswers {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for len(n.membership.View().Members) < 2 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// bootstrapPeers returns the seeds and then other members so that the first ones
// lie in different failure domains. Seeds come first because after a herd's
// death most members of the table are dead and not yet known to be.
func (n *Node) bootstrapPeers() []string {
	near, far := n.otherMembers()
	members := append(sample(near, len(near)), sample(far, len(far))...)
	seen := make(map[string]int)
	rank := make(map[string]int, len(members))
	for _, member := range members {
		rank[member.Instance] = seen[member.FailureDomain]
		seen[member.FailureDomain]++
	}
	slices.SortStableFunc(members, func(a, b membership.Member) int { return rank[a.Instance] - rank[b.Instance] })
	addresses := lo.Map(members, func(m membership.Member, _ int) string { return m.Address })
	return lo.Uniq(append(lo.Without(n.settings.Seeds, n.addresses.NodeAdvertised), addresses...))
}

// readerCandidate reports whether this node is the first choice for its
// region's reader. Only one node per region then calls the platform for the lease.
// A node that has not joined knows only itself and is no candidate, nor is one
// that leaves.
func (n *Node) readerCandidate() bool {
	if !n.ready.Load() {
		return false
	}
	var names []string
	for _, member := range n.membership.View().Members {
		if member.Region == n.settings.Region && member.State == membership.Alive {
			names = append(names, member.Instance)
		}
	}
	return first(names, "reader-"+n.settings.Region) == n.settings.Instance
}

// shardOwner returns the owner of a shard of idempotency keys: the first choice
// among the live members of the platform's region, or of all regions while none
// of them is known. A node that has not joined knows only itself and owns none;
// else each node of a joining herd would read all shards.
func (n *Node) shardOwner(shard int) (address string, self bool) {
	if !n.ready.Load() {
		return "", false
	}
	candidates := make(map[string]string)
	inRegion := false
	for _, member := range n.membership.View().Members {
		here := member.Region == n.settings.Platform.Region
		if member.State != membership.Alive || (inRegion && !here) {
			continue
		}
		if here && !inRegion {
			clear(candidates)
			inRegion = true
		}
		candidates[member.Instance] = member.Address
	}
	owner := first(slices.Sorted(maps.Keys(candidates)), fmt.Sprintf("idempotency-%d", shard))
	return candidates[owner], owner == n.settings.Instance
}

// first returns the name with the highest rendezvous hash for key, "" if there
// are none.
func first(names []string, key string) string {
	if len(names) == 0 {
		return ""
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(key)
}

// contacts returns node addresses of the region for first contact.
func (n *Node) contacts() []string {
	near, _ := n.otherMembers()
	addresses := lo.Map(sample(near, maxContacts-1), func(m membership.Member, _ int) string { return m.Address })
	return append(addresses, n.addresses.NodeAdvertised)
}

// otherRegion reports whether the node at address is known to be in another region.
func (n *Node) otherRegion(address string) bool {
	if n.membership == nil {
		return false
	}
	for _, member := range n.membership.View().Members {
		if member.Address == address {
			return member.Region != n.settings.Region
		}
	}
	return false
}
