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

// minRamp is the share of its slots that a target which has just become ready
// counts with.
const minRamp = 0.1

// noTargetRetryAfter is the time in which lost targets are usually replaced or
// others announced.
const noTargetRetryAfter = time.Second

// Choose returns the endpoint for a call of a customer to a service. It leaves
// out the endpoints in tried. The error is a refusal.
func (t *Table) Choose(name, customer string, tried []*Endpoint, now time.Time) (*Endpoint, *verdict.Error) {
	s := t.services[name]
	if s == nil {
		return nil, verdict.NotRunErrorf(verdict.UnknownService, "no service is called %q", name)
	}
	p := s.poolFor(name, customer, len(tried) > 0)
	if p != nil {
		if e := p.choose(tried, now.UnixNano()); e != nil {
			return e, nil
		}
	}
	err := verdict.NotRunErrorf(verdict.NoTarget, "service %q has no ready target", name)
	err.RetryAfter = noTargetRetryAfter
	return nil, err
}

// poolFor chooses the version. Calls outside the new version's share never
// reach it, even if the old version has no targets left, because a bad version
// may receive only its share. A retry goes to the old version, so that it
// neither adds to that share nor meets the same fault twice.
func (s *service) poolFor(name, customer string, retry bool) *pool {
	if s.split == nil {
		return s.versions[s.version]
	}
	if p := s.versions[s.split.To]; p != nil && s.position(name, customer, retry) < s.split.Share {
		return p
	}
	return s.versions[s.split.From]
}

// position returns the place of a call in the shares, from 0 to
// move.ShareDenominator-1. Without stickiness calls are spread evenly, so that even a
// small share of few customers' calls reaches the new version exactly.
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
	// evenly over any run of calls.
	const golden = 0x9E3779B97F4A7C15
	position, _ := bits.Mul64(s.calls.Add(1)*golden, move.ShareDenominator)
	return int(position)
}

// StickyPosition returns the position of a customer in the shares of a sticky service,
// from 0 to move.ShareDenominator-1. It is the same on all nodes.
func StickyPosition(customer, service string) int {
	var buffer [128]byte
	key := append(append(append(buffer[:0], customer...), 0), service...)
	return int(xxhash.Sum64(key) % move.ShareDenominator)
}

// choose takes the nearest tier whose better candidate has a free slot. If none
// has one, the least loaded of the candidates gets the call. Ejected endpoints
// are used only if there are no others: a wrong guess must not refuse calls.
func (p *pool) choose(tried []*Endpoint, now int64) *Endpoint {
	for _, useEjected := range []bool{false, true} {
		var best *Endpoint
		var bestScore float64
		for _, endpoints := range p.tiers {
			e, score := pick(endpoints, tried, now, useEjected)
			if e == nil {
				continue
			}
			if score < 1 {
				return e
			}
			if best == nil || score < bestScore {
				best, bestScore = e, score
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// pick compares two random eligible endpoints and returns the less loaded one
// with its load per slot.
func pick(endpoints, tried []*Endpoint, now int64, useEjected bool) (*Endpoint, float64) {
	var eligible [maxCandidates]*Endpoint
	n := 0
	for _, e := range endpoints {
		if (useEjected || !e.ejected(now)) && !slices.Contains(tried, e) {
			eligible[n] = e
			n++
		}
	}
	switch n {
	case 0:
		return nil, 0
	case 1:
		return eligible[0], eligible[0].score(now)
	}
	i := rand.IntN(n)
	j := rand.IntN(n - 1)
	if j >= i {
		j++
	}
	first, second := eligible[i], eligible[j]
	if second.cost(now, first) < first.cost(now, second) {
		first = second
	}
	return first, first.score(now)
}

// cost is the load per slot that the call would make, times the latency as seen
// from here. The latency finds targets that are slow, or that announce more
// slots than they have, which the load per slot cannot show. It counts as far as
// both latencies are known and recent.
func (e *Endpoint) cost(now int64, other *Endpoint) float64 {
	cost := (e.load(now) + 1) / e.capacity(now)
	if weight := min(e.latencyWeightAt(now), other.latencyWeightAt(now)); weight > 0 {
		cost *= math.Pow(float64(e.latency.Load()), weight)
	}
	return cost
}

// score is the load per slot; 1 and above means that the call would queue.
func (e *Endpoint) score(now int64) float64 {
	return e.load(now) / e.capacity(now)
}

// capacity grows from minRamp of the slots to all of them over the warm-up.
// ReadySince is another node's clock; a skew only stretches or cuts the ramp.
func (e *Endpoint) capacity(now int64) float64 {
	slots := float64(e.Slots)
	if e.Warmup <= 0 {
		return slots
	}
	age := now - e.ReadySince.UnixNano()
	if age >= int64(e.Warmup) {
		return slots
	}
	return max(1, slots*max(minRamp, float64(age)/float64(e.Warmup)))
}
