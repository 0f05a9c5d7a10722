package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Penalties say how much longer a request may wait near by before a more
// distant endpoint is preferred. Links between failure domains and regions are
// paid by volume, and those between regions add a round trip of about 16 ms.
const (
	penaltySameDomain  = 0
	penaltySameRegion  = 12 * time.Millisecond
	penaltyOtherRegion = 60 * time.Millisecond
	// penaltyDownloadFactor multiplies the penalties for large answers.
	penaltyDownloadFactor = 3
)

// defaultService is the service time assumed of an endpoint before any is known.
const defaultService = 50 * time.Millisecond

// failureCost is the time that a failure at an endpoint is worth: a repeat costs
// a second service time and budget, and an unsafe request cannot be repeated.
const failureCost = time.Second

// coldFactor is how much slower an endpoint is during its slow start.
const coldFactor = 2

// busyShare is the share of the service time that a request loses at an
// endpoint with all slots but one taken; some slow down when nearly full.
const busyShare = 0.3

// tieSpan is the span of the random part of a score, so that nodes with equal
// knowledge do not all choose the same endpoint.
const tieSpan = 2 * time.Millisecond

// Request is what a choice depends on.
type Request struct {
	Kind mesh.Kind
	// Left is the time until the request's deadline.
	Left time.Duration
	// Tried lists the endpoints that the request was already sent to.
	Tried []*Endpoint
}

// Choice is an endpoint for a request.
type Choice struct {
	Endpoint *Endpoint
	// MaxWait is the longest wait for a slot that is better than going elsewhere.
	MaxWait time.Duration
	// Wait is the estimated wait for a slot, Expected the time until the answer.
	Wait     time.Duration
	Expected time.Duration
}

// scored is a candidate with the parts of its score.
type scored struct {
	endpoint *Endpoint
	wait     time.Duration
	service  time.Duration
	score    time.Duration
	ejected  bool
}

// Choose returns the best endpoint for r among candidates. ok is false if there
// is none that the request was not sent to. Ejected endpoints are used only if
// there are no others.
//
// The load pattern it answers: traffic of one failure domain beyond the slots
// near by. It spills over to the next domain, and over a region's border only
// once the wait in the region exceeds the penalty.
func Choose(now time.Time, candidates []*Endpoint, r Request) (choice Choice, ok bool) {
	list := score(now, candidates, r)
	best, second := -1, -1
	better := func(a, b scored) bool {
		if a.ejected != b.ejected {
			return b.ejected
		}
		return a.score < b.score
	}
	for i := range list {
		switch {
		case best < 0 || better(list[i], list[best]):
			best, second = i, best
		case second < 0 || better(list[i], list[second]):
			second = i
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	b := list[best]
	choice = Choice{Endpoint: b.endpoint, Wait: b.wait, Expected: b.wait + b.service}
	choice.MaxWait = r.Left - b.service
	if second >= 0 && !list[second].ejected {
		choice.MaxWait = min(choice.MaxWait, list[second].score-(b.score-b.wait))
	}
	choice.MaxWait = max(choice.MaxWait, 0)
	return choice, true
}

func score(now time.Time, candidates []*Endpoint, r Request) []scored {
	list := make([]scored, 0, len(candidates))
	views := make([]view, 0, len(candidates))
	var sum, weights float64
	for _, e := range candidates {
		if slices.Contains(r.Tried, e) {
			continue
		}
		v := e.view(now)
		w := v.speedWeight()
		sum += w * float64(v.service)
		weights += w
		list = append(list, scored{endpoint: e, ejected: v.ejected})
		views = append(views, v)
	}
	usual := float64(defaultService)
	if weights > 0 {
		usual = sum / weights
	}
	for i := range list {
		list[i].estimate(now, views[i], usual, r.Kind)
	}
	return list
}

func (s *scored) estimate(now time.Time, v view, usual float64, kind mesh.Kind) {
	w := v.speedWeight()
	service := w*float64(v.service) + (1-w)*usual
	if w == 0 && now.Before(s.endpoint.warmUntil) {
		service *= coldFactor
	}
	slots := float64(s.endpoint.Slots)
	if v.load < slots {
		s.service = time.Duration(service * (1 + busyShare*v.load/slots))
	} else {
		s.service = time.Duration(service * (1 + busyShare))
		s.wait = time.Duration((v.load - slots + 1) / slots * service)
	}
	s.score = s.wait + s.service + s.endpoint.penalty(kind) +
		time.Duration(v.failures*float64(failureCost)) + rand.N(tieSpan)
}

func (e *Endpoint) penalty(kind mesh.Kind) time.Duration {
	var p time.Duration
	switch e.Distance {
	case SameRegion:
		p = penaltySameRegion
	case OtherRegion:
		p = penaltyOtherRegion
	default:
		p = penaltySameDomain
	}
	if kind == mesh.Download {
		p *= penaltyDownloadFactor
	}
	return p
}
