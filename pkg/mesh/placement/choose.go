package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Penalties say how much an endpoint's distance counts against it, in the same
// unit as cost. Links between failure domains and regions are paid by volume,
// which is large for downloads, and those between regions are narrow and add a
// round trip of about 16 ms.
const (
	penaltySameRegion          = 12 * time.Millisecond
	penaltyOtherRegion         = 45 * time.Millisecond
	penaltyDownloadSameRegion  = 150 * time.Millisecond
	penaltyDownloadOtherRegion = 300 * time.Millisecond
)

// roundTripOtherRegion is the time that another region adds to an answer.
const roundTripOtherRegion = 16 * time.Millisecond

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
	// Route names requests that take similar times.
	Route string
	Kind  mesh.RequestKind
	// Timeout is the time until the request's deadline, Target the time until an
	// answer loses worth; 0 or less if it has lost it already.
	Timeout     time.Duration
	SoftTimeout time.Duration
	// Tried lists the endpoints that the request was already sent to.
	Tried []*Endpoint
	// Rejections lists the waits that gates rejected the request for. They are known
	// better there than here.
	Rejections []Rejection
}

// Rejection is the wait for a slot that a gate told with its rejection.
type Rejection struct {
	Endpoint  *Endpoint
	QueueWait time.Duration
}

// Choice is an endpoint for a request.
type Choice struct {
	Endpoint *Endpoint
	// MaxQueueWait is the longest wait for a slot that is better than going elsewhere.
	MaxQueueWait time.Duration
	// QueueWait is the estimated wait for a slot, Expected the time until the answer.
	QueueWait       time.Duration
	ExpectedLatency time.Duration
}

// scored is a candidate with the parts of its score.
type scored struct {
	endpoint *Endpoint
	wait     time.Duration
	service  time.Duration
	// fixed is the part of the score that does not depend on the time.
	fixed    time.Duration
	score    time.Duration
	failures float64
	ejected  bool
}

// tried reports whether the request was sent to e. Tables that are built anew
// hold new values for the same endpoint; its observations stay the same.
func (r Request) tried(e *Endpoint) bool {
	return slices.ContainsFunc(r.Tried, func(t *Endpoint) bool { return t.Stats == e.Stats })
}

// horizon is the time that an answer is measured against.
func (r Request) horizon() time.Duration {
	if r.SoftTimeout > 0 {
		return r.SoftTimeout
	}
	return max(r.Timeout, time.Millisecond)
}

// cost weighs the expected time of an answer. It grows with the square: far
// below the target a difference in time is worth little to the caller, close to
// it each millisecond makes late answers likely.
func (r Request) cost(expected time.Duration) time.Duration {
	share := float64(expected) / float64(r.horizon())
	return time.Duration(share * float64(expected))
}

// timeOf is the inverse of cost.
func (r Request) timeOf(cost time.Duration) time.Duration {
	if cost <= 0 {
		return 0
	}
	return time.Duration(math.Sqrt(float64(cost) * float64(r.horizon())))
}

// Choose returns the best endpoint for r among candidates. ok is false if there
// is none that the request was not sent to. Ejected endpoints are used only if
// there are no others.
//
// The load pattern it answers: traffic of one failure domain beyond the slots
// near by, or beside slow endpoints. It spills over to the next domain, and over
// a region's border only once answers from the region are likely to be late.
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
	if i, ok := explore(list, r); ok && i != best {
		return Choice{Endpoint: list[i].endpoint, QueueWait: list[i].wait, ExpectedLatency: list[i].wait + list[i].service}, true
	}
	b := list[best]
	choice = Choice{Endpoint: b.endpoint, QueueWait: b.wait, ExpectedLatency: b.wait + b.service}
	choice.MaxQueueWait = r.Timeout - b.service
	if second >= 0 && !list[second].ejected {
		choice.MaxQueueWait = min(choice.MaxQueueWait, r.timeOf(list[second].score-b.fixed)-b.service)
	}
	choice.MaxQueueWait = max(choice.MaxQueueWait, 0)
	return choice, true
}

// explore returns a random endpoint for a small share of the requests, so that
// the speed of endpoints which are not the best is known when one of them is
// needed. It answers the pattern of a near endpoint that is slow while all
// knowledge of faster ones elsewhere has become old.
func explore(list []scored, r Request) (int, bool) {
	if r.Kind != mesh.Safe || len(r.Tried) > 0 || rand.Float64() >= exploreShare {
		return 0, false
	}
	i := rand.IntN(len(list))
	e := list[i]
	return i, !e.ejected && e.wait == 0 && e.failures < exploreFailures && e.service < r.horizon()/2
}

// Bounds of exploration: the share of requests, and the share of failures above
// which an endpoint is not explored.
const (
	exploreShare    = 0.02
	exploreFailures = 0.05
)

func score(now time.Time, candidates []*Endpoint, r Request) []scored {
	list := make([]scored, 0, len(candidates))
	views := make([]view, 0, len(candidates))
	var service, route mean
	for _, e := range candidates {
		if r.tried(e) {
			continue
		}
		v := e.view(now, r.Route)
		service.add(v.service, v.serviceWeight)
		route.add(v.route, v.routeWeight)
		list = append(list, scored{endpoint: e, ejected: v.ejected, failures: v.failures})
		views = append(views, v)
	}
	for i := range list {
		list[i].estimate(now, views[i], service.value(), route.value(), r)
	}
	return list
}

// mean is a weighted mean of durations.
type mean struct{ sum, weights float64 }

func (m *mean) add(d time.Duration, weight float64) {
	m.sum += weight * float64(d)
	m.weights += weight
}

func (m mean) value() float64 {
	if m.weights == 0 {
		return float64(defaultService)
	}
	return m.sum / m.weights
}

// estimate fills in the score. usualService and usualRoute are the means over
// all candidates, which stand in for what is not known of one.
func (s *scored) estimate(now time.Time, v view, usualService, usualRoute float64, r Request) {
	service := v.serviceWeight*float64(v.service) + (1-v.serviceWeight)*usualService
	// What is known of other routes tells the speed of the host.
	route := usualRoute * service / usualService
	route = v.routeWeight*float64(v.route) + (1-v.routeWeight)*route
	if v.serviceWeight == 0 && now.Before(s.endpoint.warmUntil) {
		route *= coldFactor
	}
	slots := float64(s.endpoint.Slots)
	s.service = time.Duration(route * (1 + busyShare*min(v.load/slots, 1)))
	if v.load >= slots {
		s.wait = time.Duration((v.load - slots + 1) / slots * service)
	}
	for _, rejection := range r.Rejections {
		if rejection.Endpoint.Stats == s.endpoint.Stats {
			s.wait = max(s.wait, rejection.QueueWait)
		}
	}
	if s.endpoint.Distance == OtherRegion {
		s.service += roundTripOtherRegion
	}
	s.fixed = s.endpoint.penalty(r.Kind) + time.Duration(v.failures*float64(failureCost)) + rand.N(tieSpan)
	s.score = s.fixed + r.cost(s.wait+s.service)
}

func (e *Endpoint) penalty(kind mesh.RequestKind) time.Duration {
	download := kind == mesh.Download
	switch {
	case e.Distance == SameRegion && download:
		return penaltyDownloadSameRegion
	case e.Distance == SameRegion:
		return penaltySameRegion
	case e.Distance == OtherRegion && download:
		return penaltyDownloadOtherRegion
	case e.Distance == OtherRegion:
		return penaltyOtherRegion
	}
	return 0
}
