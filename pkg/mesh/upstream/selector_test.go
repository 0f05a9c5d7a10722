package upstream

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_700_000_000, 0)

func peersOf(count int) []Peer {
	peers := make([]Peer, count)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint("n", i), Address: fmt.Sprint("10.0.0.", i)}
	}
	return peers
}

// choices returns the choice of each node; prepare sets what a node has experienced.
func choices(peers []Peer, now time.Time, prepare func(s *Selector)) map[string]Choice {
	chosen := make(map[string]Choice)
	for _, p := range peers {
		s := NewSelector(p.Name)
		prepare(s)
		chosen[p.Name] = s.Choose(now, peers)
	}
	return chosen
}

func readers(chosen map[string]Choice) (names []string) {
	for name, choice := range chosen {
		if choice.IsStore {
			names = append(names, name)
		}
	}
	return names
}

// depth returns the number of hops from a node to its reader.
func depth(t *testing.T, chosen map[string]Choice, name string) int {
	t.Helper()
	hops := 0
	for ; !chosen[name].IsStore; name = chosen[name].Peer.Name {
		hops++
		assert.Assert(t, hops <= len(chosen), "nodes follow each other")
	}
	return hops
}

// One node of a failure domain must read the store, whatever the number of nodes, and
// each of the others must reach it within three hops.
func TestOneNodeReadsTheStoreForAll(t *testing.T) {
	for _, count := range []int{1, 2, 4, 9, 22, 80, 271} {
		peers := peersOf(count)
		chosen := choices(peers, epoch, func(*Selector) {})
		assert.Equal(t, len(readers(chosen)), 1, "%d nodes", count)
		followers := make(map[string]int)
		for _, p := range peers {
			assert.Assert(t, depth(t, chosen, p.Name) <= 3, "%d nodes", count)
			followers[chosen[p.Name].Peer.Name]++
		}
		for _, p := range peers {
			assert.Assert(t, followers[p.Name] <= Fanout)
		}
	}
}

// When nodes cannot be reached, the others must agree on another reader, and a node that
// cannot reach any must read the store itself.
func TestUnreachableReadersAreReplaced(t *testing.T) {
	peers := peersOf(22)
	lost := make(map[string]bool)
	for range len(peers) - 1 {
		chosen := choices(peers, epoch, func(s *Selector) {
			for name := range lost {
				s.RecordFailure(epoch, name)
			}
		})
		var living []string
		for _, name := range readers(chosen) {
			if !lost[name] {
				living = append(living, name)
			}
		}
		assert.Equal(t, len(living), 1, "%d nodes are lost", len(lost))
		for _, p := range peers {
			assert.Assert(t, lost[p.Name] || chosen[p.Name].IsStore || !lost[chosen[p.Name].Peer.Name])
		}
		lost[living[0]] = true
	}
}

// While readers have lost the store, a few others must try it, but not all of the nodes:
// an outage of the store must not turn each node into a reader.
func TestStoreOutageMakesFewReaders(t *testing.T) {
	peers := peersOf(22)
	root := readers(choices(peers, epoch, func(*Selector) {}))[0]
	chosen := choices(peers, epoch, func(s *Selector) { s.RecordStale(epoch, root) })
	assert.Equal(t, len(readers(chosen)), 2, "the next node must read the store")
	for _, p := range peers {
		if p.Name != root {
			assert.Assert(t, chosen[p.Name].Peer.Name != root, "%s follows a node that has lost the store", p.Name)
		}
	}
	chosen = choices(peers, epoch, func(s *Selector) {
		for _, p := range peers {
			s.RecordStale(epoch, p.Name)
		}
	})
	assert.Equal(t, len(readers(chosen)), maxReaders)
	chosen = choices(peers, epoch.Add(staleTime), func(s *Selector) { s.RecordStale(epoch, root) })
	assert.Equal(t, len(readers(chosen)), 1)
}

// A peer that fails again and again must be tried less often, and at once after it was
// followed.
func TestFailedPeersAreTriedAgain(t *testing.T) {
	peers := peersOf(2)
	reader := readers(choices(peers, epoch, func(*Selector) {}))[0]
	self := peers[0].Name
	if self == reader {
		self = peers[1].Name
	}
	s, now, tries := NewSelector(self), epoch, 0
	for ; now.Before(epoch.Add(2 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if !s.Choose(now, peers).IsStore {
			tries++
			s.RecordFailure(now, reader)
		}
	}
	assert.Assert(t, tries > 5 && tries < 15, "%d tries", tries)
	s.RecordSuccess(reader)
	assert.Assert(t, !s.Choose(now, peers).IsStore)
}

// Nodes that start together must act in the order of their ranks, so that each finds the
// node that it is to follow.
func TestStartDelayFollowsRanks(t *testing.T) {
	const spread = 3 * time.Second
	ranked := NewSelector("n0").rank(epoch, peersOf(50))
	last := time.Duration(-1)
	for _, p := range ranked {
		delay := StartDelay(p.Name, spread)
		assert.Assert(t, delay > last && delay < spread, "%s waits for %v, the rank before for %v", p.Name, delay, last)
		last = delay
	}
}
