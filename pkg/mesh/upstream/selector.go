// Package upstream decides where a node gets changes of the platform's store from, so
// that the calls of the store do not grow with the fleet: in each failure domain one node
// reads the store, and the others follow it over a tree of nodes.
package upstream

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fanout is the number of nodes that follow one node. With 8, the 271 nodes of the
// largest failure domain of the users' target are three hops deep, and a configuration
// of 20 KB, compressed, goes out in 65 ms on a link of 20 Mbit/s.
const Fanout = 8

// maxReaders bounds the nodes of a failure domain that read the store while others
// report that they have lost it.
const maxReaders = 3

// Times for which a node is passed over after it could not be followed, and for which
// another source is preferred to one that has lost the store.
const (
	minFailureTime = time.Second
	maxFailureTime = 16 * time.Second
	staleTime      = 3 * time.Second
)

// Peer is a node that can be followed.
type Peer struct {
	Name    string
	Address string
}

// Choice is the source of a node: the store, or a peer.
type Choice struct {
	IsStore bool
	Peer    Peer
}

// Selector chooses the source of one node. It is deterministic and not safe for
// concurrent use.
//
// All nodes order the nodes of a failure domain alike, by a hash of their names. Each
// follows a node of a lower rank that it can reach, so that no two nodes follow each
// other; the first reads the store. No agreement is needed: nodes with different views
// may for a while have more readers than one.
type Selector struct {
	self     string
	failures map[string]failure
	// staleUntil holds the time until which a peer is assumed to have lost the store.
	staleUntil map[string]time.Time
}

type failure struct {
	until    time.Time
	duration time.Duration
}

// NewSelector returns the selector of the node with the given name.
func NewSelector(self string) *Selector {
	return &Selector{self: self, failures: make(map[string]failure), staleUntil: make(map[string]time.Time)}
}

// RecordFailure records that a peer could not be followed.
func (s *Selector) RecordFailure(now time.Time, peer string) {
	duration := min(max(2*s.failures[peer].duration, minFailureTime), maxFailureTime)
	s.failures[peer] = failure{until: now.Add(duration), duration: duration}
}

// RecordSuccess records that a peer is followed.
func (s *Selector) RecordSuccess(peer string) { delete(s.failures, peer) }

// RecordStale records that a peer reports that it, or the node that it follows, has lost
// the store.
func (s *Selector) RecordStale(now time.Time, peer string) { s.staleUntil[peer] = now.Add(staleTime) }

// Choose returns the source of the node. peers are the nodes of its failure domain as far
// as they are known; the node itself may be among them.
func (s *Selector) Choose(now time.Time, peers []Peer) Choice {
	ranked := s.rank(now, peers)
	position := slices.IndexFunc(ranked, func(p Peer) bool { return p.Name == s.self })
	if position == 0 {
		return Choice{IsStore: true}
	}
	parent := ranked[(position-1)/Fanout]
	if !s.isStale(now, parent) {
		return Choice{Peer: parent}
	}
	for i := range min(maxReaders, len(ranked)) {
		if i == position {
			return Choice{IsStore: true}
		}
		if !s.isStale(now, ranked[i]) {
			return Choice{Peer: ranked[i]}
		}
	}
	return Choice{Peer: parent}
}

// StartDelay returns how long a node waits for others when it starts and knows no other
// node of its failure domain. Nodes of lower ranks wait for less, so that those which
// start together find the node that they are to follow instead of reading the store.
func StartDelay(self string, spread time.Duration) time.Duration {
	return time.Duration(float64(xxhash.Sum64String(self)) / math.MaxUint64 * float64(spread))
}

func (s *Selector) isStale(now time.Time, p Peer) bool { return now.Before(s.staleUntil[p.Name]) }

// rank returns the node and the peers that have not failed, in the order of their ranks.
func (s *Selector) rank(now time.Time, peers []Peer) []Peer {
	type rankedPeer struct {
		Peer
		hash uint64
	}
	ranked := []rankedPeer{{Peer: Peer{Name: s.self}, hash: xxhash.Sum64String(s.self)}}
	for _, p := range peers {
		if p.Name != s.self && !now.Before(s.failures[p.Name].until) {
			ranked = append(ranked, rankedPeer{Peer: p, hash: xxhash.Sum64String(p.Name)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedPeer) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	list := make([]Peer, len(ranked))
	for i, p := range ranked {
		list[i] = p.Peer
	}
	return list
}
