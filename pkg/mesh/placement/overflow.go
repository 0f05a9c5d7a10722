package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/mesh/overflow"
)

// nearlyEqual is the ratio of two costs below which neither is preferred: the figures are
// too old to tell them apart, and all senders have the same ones.
const nearlyEqual = 1.15

// maxFillPerSlot is the number of requests per slot, running and waiting, from which an
// endpoint in another failure domain counts as full.
const maxFillPerSlot = 2

// tiers maps distances to the tiers of the overflow controller.
var tiers = [...]overflow.Tier{
	SameInstance: overflow.Zone, SameFailureDomain: overflow.Zone, SameRegion: overflow.Region, OtherRegion: overflow.Elsewhere,
}

// Tier returns the tier of the endpoint.
func (d Distance) Tier() overflow.Tier { return tiers[d] }

// UsableTiers reports for each tier whether one of the candidates that are not in tried
// can be used.
func UsableTiers(now time.Time, candidates, tried []*Endpoint) (usable overflow.Tiers) {
	r := Request{Tried: tried}
	for _, e := range candidates {
		if tier := e.Distance.Tier(); !usable[tier] && !r.wasAttempted(e) && !e.isEjected(now) {
			usable[tier] = true
		}
	}
	return usable
}

func (s *Stats) isEjected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable || now.Before(s.ejectedUntil)
}

// chooseInTier chooses among the candidates in the tier that r.Overflow names, or else in
// the nearest one that can serve r.
//
// In a tier it takes the better one of two candidates that it draws by their capacity. With
// the best of all, all senders that see the same good figure would go to one endpoint. The
// better one of two gets at most twice its part of the capacity, and slow endpoints get less
// by the draw already.
func chooseInTier(scores []scored, r Request) (Choice, bool) {
	order := [...]overflow.Tier{r.Overflow.Tier, overflow.Zone, overflow.Region, overflow.Elsewhere}
	if r.Kind.Large() && r.isRejectedByZone(scores) {
		// The links of the zone are full, which the controller does not know.
		order = [...]overflow.Tier{r.Overflow.Tier, overflow.Region, overflow.Elsewhere, overflow.Zone}
		order[0] = max(order[0], overflow.Region)
	}
	for _, mustBeInTime := range []bool{true, false} {
		for _, tier := range order {
			members := make([]int, 0, len(scores))
			for i := range scores {
				if s := &scores[i]; !s.ejected && s.endpoint.Distance.Tier() == tier && (!mustBeInTime || s.mayServe(tier, r)) {
					members = append(members, i)
				}
			}
			if len(members) > 0 {
				return r.chooseOfTwo(scores, members, tier), true
			}
		}
	}
	return Choice{}, false
}

// mayServe reports whether a candidate in a tier is used while others may serve r. In the zone
// only cold endpoints that have told a wait are not: they refuse requests without a queue, so
// that the controller sees no wait there.
func (s *scored) mayServe(tier overflow.Tier, r Request) bool {
	if tier == overflow.Zone {
		return !s.isBusy
	}
	return s.hasRoom(r)
}

// hasRoom reports whether r would probably be in time at a candidate in another failure
// domain, and is not known to be refused there.
func (s *scored) hasRoom(r Request) bool {
	return !r.wasRejectedBy(s.endpoint) && s.load < maxFillPerSlot*float64(s.endpoint.Slots) && s.wait+s.latency <= scale(r.latencyTarget(), overflow.MaxArrival)
}

// wasRejectedBy reports whether the admission queue of e has rejected r.
func (r Request) wasRejectedBy(e *Endpoint) bool {
	return slices.ContainsFunc(r.Rejections, func(rejection Rejection) bool { return rejection.Endpoint.Stats == e.Stats })
}

// maxZoneRejections is the number of endpoints of the zone after whose rejections a large
// request leaves it, so that some attempts are left for the others.
const maxZoneRejections = 3

// isRejectedByZone reports whether all endpoints of the zone, or maxZoneRejections of them,
// have rejected r.
func (r Request) isRejectedByZone(scores []scored) bool {
	rejected, others := 0, 0
	for i := range scores {
		switch e := scores[i].endpoint; {
		case scores[i].ejected || e.Distance.Tier() != overflow.Zone:
		case r.wasRejectedBy(e):
			rejected++
		default:
			others++
		}
	}
	return rejected >= maxZoneRejections || rejected > 0 && others == 0
}

// chooseOfTwo returns the better one of two members that are drawn by their capacity.
func (r Request) chooseOfTwo(scores []scored, members []int, tier overflow.Tier) Choice {
	if len(r.Rejections) > 0 {
		// Another one of the queues that have rejected r would cost an attempt again.
		fresh := lo.Reject(members, func(i, _ int) bool { return r.wasRejectedBy(scores[i].endpoint) })
		if len(fresh) > 0 {
			members = fresh
		}
	}
	first := r.draw(scores, members, -1)
	best, other := first, -1
	if len(members) > 1 {
		if other = r.draw(scores, members, first); float64(scores[first].cost) > nearlyEqual*float64(scores[other].cost) {
			best, other = other, first
		}
	}
	b := scores[best]
	choice := Choice{Endpoint: b.endpoint, QueueWait: b.wait, ExpectedLatency: b.wait + b.latency}
	limit := r.Timeout - b.latency
	if tier == overflow.Zone {
		choice.MaxQueueWait = limit
		if other >= 0 {
			// At an endpoint with the usual wait the request stays: the others have it too. A
			// longer queue than can be in time would only make all responses late.
			better := r.latencyForCost(scores[other].cost-b.fixedCost) - b.latency
			usual := scale(r.Overflow.ZoneWait, usualWaitFactor)
			choice.MaxQueueWait = min(limit, max(better, usual), scale(r.latencyTarget(), overflow.MaxArrival)-b.latency)
		}
	} else {
		choice.MaxQueueWait = min(limit, scale(r.latencyTarget(), overflow.MaxArrival)-b.latency)
	}
	choice.MaxQueueWait = max(choice.MaxQueueWait, 0)
	return choice
}

// usualWaitFactor is the multiple of the usual wait up to which a request stays.
const usualWaitFactor = 1.5

// draw returns a member other than except at random, by capacity.
func (r Request) draw(scores []scored, members []int, except int) int {
	sum := 0.0
	for _, i := range members {
		if i != except {
			sum += scores[i].capacity
		}
	}
	position, last := sum*r.random(), -1
	for _, i := range members {
		if i == except {
			continue
		}
		last = i
		if position -= scores[i].capacity; position < 0 {
			break
		}
	}
	return last
}

// random returns a random number in [0, 1).
func (r Request) random() float64 {
	if r.Random != nil {
		return r.Random.Float64()
	}
	return rand.Float64()
}
