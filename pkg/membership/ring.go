package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azurespring/azurespring/pkg/gossip"
)

const (
	// ringCount is the number of rings. Three keep the overlay connected while
	// any two neighbours of a node are lost, and its diameter small.
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

// overlay is the part of the rings that concerns one node.
type overlay struct {
	// successors are the members that the node pings.
	successors []*Member
	// gateways are the members of other regions to which the node links.
	gateways   []*Member
	neighbours []gossip.Neighbour
}

// computeOverlay places the present members of self's region on the rings.
func computeOverlay(self *Member, present []*Member) overlay {
	var o overlay
	var region []*Member
	for _, m := range present {
		if m.Region == self.Region && m.Instance != self.Instance {
			region = append(region, m)
		}
	}
	var near []*Member
	for _, salt := range ringSalts {
		if successor, predecessor := ringNeighbours(self.Instance, salt, region); successor != nil {
			o.successors = append(o.successors, successor)
			near = append(near, successor, predecessor)
		}
	}
	o.successors = distinct(o.successors)
	o.gateways = gatewayPeers(self, present)
	for _, m := range distinct(near) {
		o.neighbours = append(o.neighbours, gossip.Neighbour{Instance: m.Instance, Address: m.Address})
	}
	for _, m := range o.gateways {
		o.neighbours = append(o.neighbours, gossip.Neighbour{Instance: m.Instance, Address: m.Address, OtherRegion: true})
	}
	return o
}

// ringNeighbours returns the members with the next higher and the next lower
// hash, wrapping around.
func ringNeighbours(self, salt string, others []*Member) (successor, predecessor *Member) {
	own := saltedHash(salt, self)
	// Distances on the ring wrap around, as unsigned subtraction does.
	var nearest, farthest uint64
	for _, m := range others {
		distance := saltedHash(salt, m.Instance) - own
		if successor == nil || distance < nearest {
			successor, nearest = m, distance
		}
		if predecessor == nil || distance > farthest {
			predecessor, farthest = m, distance
		}
	}
	return successor, predecessor
}

// gatewayPeers returns the members of other regions to which self links as a
// gateway: the lowest-hashed members of a pair of regions are linked in order,
// so that a change crosses each pair of regions at most once per link.
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
		own := lowest(salt, regions[self.Region])
		position := slices.IndexFunc(own, func(m *Member) bool { return m.Instance == self.Instance })
		if position < 0 {
			continue
		}
		remote := lowest(salt, regions[name])
		// With fewer members than links on one side, its gateways link twice.
		for i := range max(len(own), len(remote)) {
			if i%len(own) == position {
				peers = append(peers, remote[i%len(remote)])
			}
		}
	}
	return distinct(peers)
}

// lowest returns the gatewayCount members with the lowest salted hashes.
func lowest(salt string, members []*Member) []*Member {
	type hashed struct {
		member *Member
		hash   uint64
	}
	var best []hashed
	for _, m := range members {
		h := hashed{m, saltedHash(salt, m.Instance)}
		at, _ := slices.BinarySearchFunc(best, h, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
		if at < gatewayCount {
			best = slices.Insert(best, at, h)
			best = best[:min(len(best), gatewayCount)]
		}
	}
	list := make([]*Member, 0, len(best))
	for _, h := range best {
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
