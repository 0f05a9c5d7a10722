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

// Limits for the choice of peers and bootstrap addresses.
const (
	// pullsPerOtherRegionPull is the average number of configuration pulls of which
	// one may also go to neighbours in other regions.
	pullsPerOtherRegionPull = 4
	// maxBootstrapAddresses limits the node addresses that are stored in the
	// platform for joining nodes.
	maxBootstrapAddresses = 20
)

// seedTimeout limits the check whether a seed responds.
const seedTimeout = 2 * time.Second

// joinAddresses returns the configured seeds and, if none of them responds, also
// the bootstrap addresses stored in the platform. It reads the platform only in
// that case, so that a mass join does not overload the platform.
func (n *Node) joinAddresses(ctx context.Context) []string {
	seeds := slices.DeleteFunc(slices.Clone(n.settings.Seeds), func(a string) bool { return a == n.addresses.NodeAdvertised })
	if n.seedResponded = n.anyResponds(ctx, seeds); n.seedResponded {
		return n.settings.Seeds
	}
	bootstrapAddresses, err := distribution.ReadBootstrapAddresses(ctx, n.store, n.settings.Region)
	if err != nil {
		n.logger.WithError(err).Warn("cannot read bootstrap addresses from the platform")
	}
	return lo.Uniq(append(slices.Clone(n.settings.Seeds), bootstrapAddresses...))
}

// anyResponds reports whether a node responds at one of the addresses. An error
// response counts, too.
func (n *Node) anyResponds(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	responses := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			_, err := n.transport.Request(ctx, address, transport.KindDistribution, nil)
			var remote *transport.RemoteError
			responses <- err == nil || errors.As(err, &remote)
		}()
	}
	for range addresses {
		if <-responses {
			return true
		}
	}
	return false
}

// pullPeers returns the addresses of the gossip neighbours to pull configuration from.
// Connections to neighbours exist already, and pulls within the region cause no
// cross-region traffic. Nodes with neighbours in other regions sometimes include
// them, so that a region receives a new version while its configuration reader
// cannot reach the platform.
func (n *Node) pullPeers() []string {
	sameRegion, otherRegions := lo.FilterReject(n.membership.Neighbours(), func(g gossip.Neighbour, _ int) bool { return !g.OtherRegion })
	if len(sameRegion) == 0 || rand.IntN(pullsPerOtherRegionPull) == 0 {
		sameRegion = append(sameRegion, otherRegions...)
	}
	return lo.Map(sameRegion, func(g gossip.Neighbour, _ int) string { return g.Address })
}

// otherMembers returns the members other than this node, by region.
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

// randomSample returns up to count random members in random order.
func randomSample(members []membership.Member, count int) []membership.Member {
	members = slices.Clone(members)
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	return members[:min(count, len(members))]
}

// memberViewTimeout limits the wait for the member table after a join.
const memberViewTimeout = 5 * time.Second

// waitForMemberView waits until the member table contains another member, unless
// no seed responded. A node that knows only itself would fetch its configuration
// from the platform and consider itself the owner of all shards of idempotency keys.
func (n *Node) waitForMemberView(ctx context.Context) {
	if !n.seedResponded {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberViewTimeout)
	defer cancel()
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for len(n.membership.View().Members) < 2 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// bootstrapPeers returns the addresses of the seeds, followed by those of the other
// members in an order that alternates between failure domains. Seeds come first,
// because after the failure of many nodes most members in the table are dead but
// not yet declared dead.
func (n *Node) bootstrapPeers() []string {
	sameRegion, otherRegions := n.otherMembers()
	members := append(randomSample(sameRegion, len(sameRegion)), randomSample(otherRegions, len(otherRegions))...)
	membersInDomain := make(map[string]int)
	rankInDomain := make(map[string]int, len(members))
	for _, member := range members {
		rankInDomain[member.Instance] = membersInDomain[member.FailureDomain]
		membersInDomain[member.FailureDomain]++
	}
	slices.SortStableFunc(members, func(a, b membership.Member) int { return rankInDomain[a.Instance] - rankInDomain[b.Instance] })
	addresses := lo.Map(members, func(m membership.Member, _ int) string { return m.Address })
	return lo.Uniq(append(lo.Without(n.settings.Seeds, n.addresses.NodeAdvertised), addresses...))
}

// isReaderCandidate reports whether this node is the preferred configuration
// reader of its region, by rendezvous hashing. So only one node per region requests
// the reader lease from the platform. A node that has not joined knows only itself
// and is no candidate; neither is a node that is leaving.
func (n *Node) isReaderCandidate() bool {
	if !n.ready.Load() {
		return false
	}
	var names []string
	for _, member := range n.membership.View().Members {
		if member.Region == n.settings.Region && member.State == membership.Alive {
			names = append(names, member.Instance)
		}
	}
	return highestRendezvousHash(names, "reader-"+n.settings.Region) == n.settings.Instance
}

// shardOwner returns the owner of a shard of idempotency keys: the member with the
// highest rendezvous hash among the alive members of the platform's region, or of
// all regions while no member of that region is known. A node that has not joined
// knows only itself and owns no shard; otherwise each node of a mass join would
// read all shards.
func (n *Node) shardOwner(shard int) (address string, self bool) {
	if !n.ready.Load() {
		return "", false
	}
	candidates := make(map[string]string)
	foundPlatformRegion := false
	for _, member := range n.membership.View().Members {
		inPlatformRegion := member.Region == n.settings.Platform.Region
		if member.State != membership.Alive || (foundPlatformRegion && !inPlatformRegion) {
			continue
		}
		if inPlatformRegion && !foundPlatformRegion {
			clear(candidates)
			foundPlatformRegion = true
		}
		candidates[member.Instance] = member.Address
	}
	owner := highestRendezvousHash(slices.Sorted(maps.Keys(candidates)), fmt.Sprintf("idempotency-%d", shard))
	return candidates[owner], owner == n.settings.Instance
}

// highestRendezvousHash returns the name with the highest rendezvous hash for key,
// or "" if names is empty.
func highestRendezvousHash(names []string, key string) string {
	if len(names) == 0 {
		return ""
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(key)
}

// bootstrapAddresses returns node addresses of this region, to be stored in the
// platform for joining nodes. This node's own address is always included.
func (n *Node) bootstrapAddresses() []string {
	sameRegion, _ := n.otherMembers()
	addresses := lo.Map(randomSample(sameRegion, maxBootstrapAddresses-1), func(m membership.Member, _ int) string { return m.Address })
	return append(addresses, n.addresses.NodeAdvertised)
}

// isOtherRegion reports whether the node at address is a known member in another
// region.
func (n *Node) isOtherRegion(address string) bool {
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
