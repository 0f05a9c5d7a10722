package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azurespring/azurespring/pkg/gossip"
)

const (
	// ringCount is the number of rings. Three keep the overlay connected while
	// any two neighbours of a node are unreachable, and its diameter small.
	ringCount = 3
	// gatewayCount is the number of links between a pair of regions.
	gatewayCount = 2
)

var ringSalts = [ringCount]string{"ring-0/", "ring-1/", "ring-2/"}

func saltedHash(salt, instance string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(salt)
	_, _ = d.WriteString(instance)
	return d.Sum64()
}

// overlay holds the links of one node in the gossip overlay.
type overlay struct {
	// successors are the members that the node pings.
	successors []*Member
	// gateways are the members of other regions that the node is linked to.
	gateways   []*Member
	neighbours []gossip.Neighbour
}

// computeOverlay places the present members of self's region on the rings and
// returns the links of self.
func computeOverlay(self *Member, present []*Member) overlay {
	var o overlay
	var region []*Member
	for _, m := range present {
		if m.Region == self.Region && m.Instance != self.Instance {
			region = append(region, m)
		}
	}
	var adjacent []*Member
	for _, salt := range ringSalts {
		if successor, predecessor := ringNeighbours(self.Instance, salt, region); successor != nil {
			o.successors = append(o.successors, successor)
			adjacent = append(adjacent, successor, predecessor)
		}
	}
	o.successors = distinct(o.successors)
	o.gateways = gatewayPeers(self, present)
	for _, m := range distinct(adjacent) {
		o.neighbours = append(o.neighbours, gossip.Neighbour{Instance: m.Instance, Address: m.Address})
	}
	for _, m := range o.gateways {
		o.neighbours = append(o.neighbours, gossip.Neighbour{Instance: m.Instance, Address: m.Address, OtherRegion: true})
	}
	return o
}

// ringNeighbours returns the members with the next higher and the next lower
// hash on the ring, wrapping around.
func ringNeighbours(self, salt string, others []*Member) (successor, predecessor *Member) {
	selfHash := saltedHash(salt, self)
	// Distances on the ring wrap around, as unsigned subtraction does.
	var nearest, farthest uint64
	for _, m := range others {
		distance := saltedHash(salt, m.Instance) - selfHash
		if successor == nil || distance < nearest {
			successor, nearest = m, distance
		}
		if predecessor == nil || distance > farthest {
			predecessor, farthest = m, distance
		}
	}
	return successor, predecessor
}

// gatewayPeers returns the members of other regions that self is linked to as a
// gateway. For each pair of regions, the members with the lowest hashes on either
// side are linked in order, so that a change crosses each pair of regions at most
// once per link.
func gatewayPeers(self *Member, present []*Member) (peers []*Member) {
	regions := make(map[string][]*Member)
	for _, m := range present {
		regions[m.Region] = append(regions[m.Region], m)
	}
	names := make([]string, 0, len(regions))
	for name := range regions {
		if name != self.Region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		salt := "gateway/" + min(self.Region, name) + "/" + max(self.Region, name) + "/"
		ownGateways := lowestHashed(salt, regions[self.Region])
		position := slices.IndexFunc(ownGateways, func(m *Member) bool { return m.Instance == self.Instance })
		if position < 0 {
			continue
		}
		remoteGateways := lowestHashed(salt, regions[name])
		// If one side has fewer gateways than the other, they get several links each.
		for i := range max(len(ownGateways), len(remoteGateways)) {
			if i%len(ownGateways) == position {
				peers = append(peers, remoteGateways[i%len(remoteGateways)])
			}
		}
	}
	return distinct(peers)
}

// lowestHashed returns the gatewayCount members with the lowest salted hashes.
func lowestHashed(salt string, members []*Member) []*Member {
	type hashed struct {
		member *Member
		hash   uint64
	}
	var lowest []hashed
	for _, m := range members {
		h := hashed{m, saltedHash(salt, m.Instance)}
		position, _ := slices.BinarySearchFunc(lowest, h, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
		if position < gatewayCount {
			lowest = slices.Insert(lowest, position, h)
			lowest = lowest[:min(len(lowest), gatewayCount)]
		}
	}
	list := make([]*Member, 0, len(lowest))
	for _, h := range lowest {
		list = append(list, h.member)
	}
	return list
}

func distinct(members []*Member) []*Member {
	var list []*Member
	for _, m := range members {
		if !slices.ContainsFunc(list, func(known *Member) bool { return known.Instance == m.Instance }) {
			list = append(list, m)
		}
	}
	return list
}
