package routing

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// minSlowStartFraction is the fraction of its slots with which a target starts
// its warm-up.
const minSlowStartFraction = 0.1

// noTargetRetryAfter is the Retry-After of calls to a service without a ready
// target. Failed targets are usually replaced, or others announced, within it.
const noTargetRetryAfter = time.Second

// Choose returns the endpoint for a customer's call to the service called name.
// It never returns one of the attempted endpoints. An error means that the call
// is rejected before it ran.
func (t *Table) Choose(name, customer string, attempted []*Endpoint, now time.Time) (*Endpoint, *verdict.Error) {
	s := t.services[name]
	if s == nil {
		return nil, verdict.NotRunErrorf(verdict.UnknownService, "no service is called %q", name)
	}
	p := s.poolFor(name, customer, len(attempted) > 0)
	if p != nil {
		if e := p.choose(attempted, now.UnixNano()); e != nil {
			return e, nil
		}
	}
	err := verdict.NotRunErrorf(verdict.NoTarget, "service %q has no ready target", name)
	err.RetryAfter = noTargetRetryAfter
	return nil, err
}

// poolFor chooses the target version of a call. Calls outside the new version's
// traffic share never reach it, even if the old version has no targets left,
// because a failing version may receive only its share. Unless the service is
// sticky or all calls are shifted, a retry goes to the old version, so that it
// neither adds to that share nor runs into the same fault twice.
func (s *service) poolFor(name, customer string, retry bool) *pool {
	if s.split == nil {
		return s.versions[s.version]
	}
	if p := s.versions[s.split.To]; p != nil && s.position(name, customer, retry) < s.split.Share {
		return p
	}
	return s.versions[s.split.From]
}

// position returns the position of a call in the traffic split, from 0 to
// move.ShareDenominator; a call below the split's share goes to the new version.
// Without stickiness, calls are spread evenly, so that the new version receives
// its share exactly, even if the share is small and few customers call.
func (s *service) position(name, customer string, retry bool) int {
	switch {
	case s.split.Share >= move.ShareDenominator:
		return 0
	case s.sticky:
		return StickyPosition(customer, name)
	case retry:
		return move.ShareDenominator
	}
	// The fractional parts of multiples of the golden ratio fill the unit interval
	// evenly over any sequence of calls.
	const goldenRatio = 0x9E3779B97F4A7C15
	position, _ := bits.Mul64(s.callCounter.Add(1)*goldenRatio, move.ShareDenominator)
	return int(position)
}

// StickyPosition returns the position of a customer in the traffic split of a
// sticky service, from 0 to move.ShareDenominator-1. It is the same on all nodes.
func StickyPosition(customer, service string) int {
	var buffer [128]byte
	key := append(append(append(buffer[:0], customer...), 0), service...)
	return int(xxhash.Sum64(key) % move.ShareDenominator)
}

// choose takes a candidate from each tier, nearest tier first, and returns the
// first one with a free slot. If none has one, it returns the least utilized
// candidate. Ejected endpoints are used only if there are no others, because an
// ejection is only an estimate and must not cause calls to be rejected.
func (p *pool) choose(attempted []*Endpoint, nowUnixNano int64) *Endpoint {
	for _, useEjected := range []bool{false, true} {
		var best *Endpoint
		var bestUtilization float64
		for _, endpoints := range p.tiers {
			e, utilization := pickOfTwo(endpoints, attempted, nowUnixNano, useEjected)
			if e == nil {
				continue
			}
			if utilization < 1 {
				return e
			}
			if best == nil || utilization < bestUtilization {
				best, bestUtilization = e, utilization
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// pickOfTwo compares two random eligible endpoints and returns the one with the
// lower cost, together with its utilization (power of two choices).
func pickOfTwo(endpoints, attempted []*Endpoint, nowUnixNano int64, useEjected bool) (*Endpoint, float64) {
	var eligible [maxCandidates]*Endpoint
	n := 0
	for _, e := range endpoints {
		if (useEjected || !e.isEjected(nowUnixNano)) && !slices.Contains(attempted, e) {
			eligible[n] = e
			n++
		}
	}
	switch n {
	case 0:
		return nil, 0
	case 1:
		return eligible[0], eligible[0].utilization(nowUnixNano)
	}
	i := rand.IntN(n)
	j := rand.IntN(n - 1)
	if j >= i {
		j++
	}
	first, second := eligible[i], eligible[j]
	if second.cost(nowUnixNano, first) < first.cost(nowUnixNano, second) {
		first = second
	}
	return first, first.utilization(nowUnixNano)
}

// cost returns the utilization including the new call, multiplied by the latency
// as measured by this node. The latency identifies targets that are slow, or that
// announce more slots than they have, which the utilization cannot show. It is
// weighted by how recent the older of the two latencies is, and ignored if either
// is unknown.
func (e *Endpoint) cost(nowUnixNano int64, other *Endpoint) float64 {
	cost := (e.load(nowUnixNano) + 1) / e.effectiveSlots(nowUnixNano)
	if weight := min(e.latencyWeightAt(nowUnixNano), other.latencyWeightAt(nowUnixNano)); weight > 0 {
		cost *= math.Pow(float64(e.meanLatency.Load()), weight)
	}
	return cost
}

// utilization returns the load per slot; at 1 and above a new call would queue.
func (e *Endpoint) utilization(nowUnixNano int64) float64 {
	return e.load(nowUnixNano) / e.effectiveSlots(nowUnixNano)
}

// effectiveSlots grows from minSlowStartFraction of the slots to all of them
// during the warm-up. ReadySince comes from another node's clock; clock skew only
// lengthens or shortens the slow start.
func (e *Endpoint) effectiveSlots(nowUnixNano int64) float64 {
	slots := float64(e.Slots)
	if e.Warmup <= 0 {
		return slots
	}
	age := nowUnixNano - e.ReadySince.UnixNano()
	if age >= int64(e.Warmup) {
		return slots
	}
	return max(1, slots*max(minSlowStartFraction, float64(age)/float64(e.Warmup)))
}
