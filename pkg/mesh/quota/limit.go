// Package quota decides how many requests of a tenant each node may admit, so that the
// tenant stays within its limit over all nodes. Holders are the nodes where requests
// enter; a granter gives them shares of the limit as leases, and single tokens.
//
// Invariant: in any window, all holders together admit at most
// (rate * window + burst) * (1 + overage) + slack requests of a tenant, whatever is lost,
// late, duplicated, paused, killed or restarted.
//
// The package has no I/O. All times are readings of one machine's clock since its start,
// which counts suspension; readings of different machines are never compared.
package quota

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Slots is the number of granters; each serves the tenants whose names hash to its slot.
const Slots = 4

// Times of leases and terms.
const (
	// LeaseTime is how long a share may be used, from the moment before its request was
	// sent. leaseMargin covers the difference between the rates of two clocks.
	LeaseTime   = 10 * time.Second
	leaseMargin = 100 * time.Millisecond
	// TermTime is how long a granter grants after the start of its last successful write,
	// writeInterval the time between two writes.
	TermTime      = 3 * time.Second
	writeInterval = time.Second
	// TakeOverTime is the time without a write after which another node may take over. It
	// is longer than TermTime by more than the clocks can differ.
	TakeOverTime = 4 * time.Second
)

// Parts of the headroom that overage and slack leave above rate * window + burst. Together
// they stay below it: depthPart, lifePart, and poolPart with what the pool gains in a
// window plus the life of its tokens.
const (
	depthPart    = 0.5
	lifePart     = 0.25
	poolPart     = 0.125
	poolGainPart = 0.1
	// maxTokenLife bounds the life of tokens at low rates. It covers the wait of a request
	// and the longest round trip.
	maxTokenLife = 250 * time.Millisecond
)

// Rule bounds the requests of a tenant in each window.
type Rule struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit is the limit of a tenant: requests per second and a burst, under a rule.
type Limit struct {
	Rate  float64
	Burst float64
	Rule  Rule
}

// Allowed returns the number of requests that may be admitted in any window.
func (l Limit) Allowed() float64 { return l.Rate*l.Rule.Window.Seconds() + l.Burst + l.headroom() }

func (l Limit) headroom() float64 {
	return l.Rule.Overage*(l.Rate*l.Rule.Window.Seconds()+l.Burst) + l.Rule.Slack
}

// depth is the number of tokens that all buckets of the tenant hold at most.
func (l Limit) depth() float64 { return l.Burst + depthPart*l.headroom() }

// tokenLife is how long single tokens may be used, from the moment before their request
// was sent. While they are unused, the granter's bucket fills again: by at most lifePart of
// the headroom.
func (l Limit) tokenLife() time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return min(maxTokenLife, time.Duration(lifePart*l.headroom()/l.Rate*float64(time.Second)))
}

// SlotOf returns the slot of a tenant.
func SlotOf(tenant string) int { return int(xxhash.Sum64String(tenant) % Slots) }

// Node is a node that may become granter.
type Node struct {
	Name string
	// CPUShare is the part of a core that the node has, 0 if unknown.
	CPUShare float64
}

// Order returns the nodes in the order in which they become granter of a slot: first those
// with the largest part of a core, because a granter of tenants with many thinly loaded
// holders handles some 200 messages a second, which is a third of 0.16 of a core. All nodes
// with the same list return the same order.
func Order(slot int, nodes []Node) []string {
	type rankedNode struct {
		name     string
		cpuShare float64
		rank     uint64
	}
	ranked, prefix := make([]rankedNode, len(nodes)), strconv.Itoa(slot)+"/"
	for i, node := range nodes {
		ranked[i] = rankedNode{name: node.Name, cpuShare: node.CPUShare, rank: xxhash.Sum64String(prefix + node.Name)}
	}
	slices.SortFunc(ranked, func(a, b rankedNode) int {
		return cmp.Or(cmp.Compare(b.cpuShare, a.cpuShare), cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	ordered := make([]string, len(nodes))
	for i, node := range ranked {
		ordered[i] = node.name
	}
	return ordered
}

// bucket is a token bucket whose rate and depth may change between two uses.
type bucket struct {
	tokens  float64
	rate    float64
	updated time.Duration
}

// fill adds the tokens since the last call. The lower of the rates at both ends counts.
func (b *bucket) fill(now time.Duration, rate, depth float64) {
	if now > b.updated {
		b.tokens += min(rate, b.rate) * (now - b.updated).Seconds()
		b.updated = now
	}
	b.rate = rate
	b.tokens = min(b.tokens, depth)
}

// wait returns the time until the bucket holds a token, math.MaxInt64 for never.
func (b *bucket) wait(depth float64) time.Duration {
	switch {
	case b.tokens >= 1:
		return 0
	case b.rate <= 0 || depth < 1:
		return math.MaxInt64
	}
	return time.Duration(math.Ceil((1 - b.tokens) / b.rate * float64(time.Second)))
}
