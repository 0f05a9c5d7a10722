// Package overflow decides which share of a service's requests leaves the failure domain
// of their entry node, and which the region. It sends away what the failure domain cannot
// serve well, no more, and only where it will be served in time.
package overflow

import (
	"math"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Tier is the part of the fleet that an endpoint is in, as seen by the entry node.
type Tier uint8

// The tiers by the price of reaching them.
const (
	Zone Tier = iota
	Region
	Elsewhere
	tierCount
)

// Tiers tells something about each tier.
type Tiers [tierCount]bool

// roundTrips is the latency that each tier adds to a response: twice 1.4 ms between
// failure domains and twice 8 ms between regions.
var roundTrips = [tierCount]time.Duration{0, 2800 * time.Microsecond, 16 * time.Millisecond}

// RoundTrip returns the latency that the tier adds to a response.
func (t Tier) RoundTrip() time.Duration { return roundTrips[t] }

// Prices of leaving, as fractions of the target latency: of a request without bytes, and
// of a very large one. Traffic between failure domains and regions is billed by volume.
var (
	basePrices = [tierCount]float64{0, 0.05, 0.2}
	fullPrices = [tierCount]float64{0, 0.55, 0.8}
)

// halfPriceBytes is the size of request and response at which half of the volume's part
// of the price is due.
const halfPriceBytes = 64 << 10

// Price returns the price of sending a request with the given bytes of body and response
// to the tier, as a fraction of its target latency.
func (t Tier) Price(bytes int64) float64 {
	volume := float64(max(bytes, 0))
	return basePrices[t] + (fullPrices[t]-basePrices[t])*volume/(volume+halfPriceBytes)
}

// shareGain is the share that leaves per unit of cost saved, the cost being the square of
// the time until the response as a fraction of the target. With it, a failure domain at
// twice its capacity sends half away and answers the other half within its target.
const shareGain = 2.5

// MaxArrival is the latest expected response that a request leaves or waits for, as a
// fraction of its target latency; later ones would often be late, because service times
// vary.
const MaxArrival = 0.8

// Growth of the share that a tier is given. A sender knows the room there only from
// responses, and many senders find the same room: the allowance begins small, grows with
// each response in time, by e within growthTime, and halves with a refusal or late response,
// at most once within reductionPause.
const (
	firstAllowance = 0.05
	minAllowance   = 0.005
	growthTime     = 400 * time.Millisecond
	reductionPause = 100 * time.Millisecond
)

// Smoothing of observations: the time constant, the largest weight of one observation, as
// one endpoint does not speak for its tier, and the time in which old ones fade.
const (
	smoothingTime = 100 * time.Millisecond
	maxWeight     = 0.25
	fadeTime      = 3 * time.Second
)

// defaultLatency is assumed for a route without responses so far.
const defaultLatency = 50 * time.Millisecond

// Observation is what the response or refusal of one endpoint says.
type Observation struct {
	Running, Waiting, Slots int
	// ServiceTime is the mean time that a request holds a slot at the current speed; 0 if
	// unknown. RouteLatency is the same until the response on the route.
	ServiceTime, RouteLatency time.Duration
	Slowdown                  mesh.Slowdown
	Route                     string
	// Refused is set if the request found no room, Late if its response came after the
	// target latency.
	Refused, Late bool
}

// wait returns the expected wait for a slot of a request that arrives now.
func (o Observation) wait() time.Duration {
	if o.Slots <= 0 || o.Running < o.Slots {
		return 0
	}
	return time.Duration(float64(o.Waiting+1) / float64(o.Slots) * float64(o.ServiceTime))
}

// tierState is what the responses of a tier have told.
type tierState struct {
	wait       float64 // In nanoseconds.
	speed      float64
	observedAt time.Time
	allowance  float64
	reducedAt  time.Time
}

// Controller decides for the requests of one service that enter at one node. It is
// deterministic and not safe for concurrent use.
//
// The share that leaves is proportional to the cost that leaving saves: it vanishes as soon
// as the local wait does, and has no memory that could make it oscillate.
type Controller struct {
	tiers  [tierCount]tierState
	routes routeSizes
	// shares is the mean share of the latest requests that was sent to each tier.
	shares      [tierCount]float64
	knowsSpeeds bool
}

// New returns the controller of a service.
func New() *Controller {
	c := &Controller{routes: newRouteSizes()}
	for t := range c.tiers {
		c.tiers[t].speed, c.tiers[t].allowance = 1, firstAllowance
	}
	return c
}

// KnowsSpeeds reports whether an endpoint has stated its speed.
func (c *Controller) KnowsSpeeds() bool { return c.knowsSpeeds }

// Share returns the share of the latest requests that was sent to a tier.
func (c *Controller) Share(t Tier) float64 { return c.shares[t] }

// Observe records a response or refusal of an endpoint in a tier.
func (c *Controller) Observe(now time.Time, t Tier, o Observation) {
	c.knowsSpeeds = c.knowsSpeeds || o.Slowdown.IsKnown()
	s := &c.tiers[t]
	elapsed := now.Sub(s.observedAt)
	if o.Slots > 0 {
		speed := o.Slowdown.Estimate(now)
		if o.RouteLatency > 0 {
			c.routes.addLatency(o.Route, float64(o.RouteLatency)/speed)
		}
		weight := min(1-math.Exp(-float64(elapsed)/float64(smoothingTime)), maxWeight)
		s.wait = s.currentWait(now) + weight*(float64(o.wait())-s.currentWait(now))
		s.speed += weight * (speed - s.speed)
		s.observedAt = now
	}
	switch {
	case t == Zone:
	case !o.Refused && !o.Late:
		s.allowance = min(s.allowance*math.Exp(float64(min(elapsed, growthTime/2))/float64(growthTime)), 1)
	case now.Sub(s.reducedAt) >= reductionPause:
		s.allowance, s.reducedAt = max(s.allowance/2, minAllowance), now
	}
}

// ObserveSize records the size of a response in bytes.
func (c *Controller) ObserveSize(route string, bytes int64) { c.routes.addSize(route, bytes) }

// currentWait returns the wait for a slot in the tier, which fades without observations.
func (s *tierState) currentWait(now time.Time) float64 {
	return s.wait * math.Exp(-float64(max(now.Sub(s.observedAt)-smoothingTime, 0))/float64(fadeTime))
}

// Request is a request whose tier is to be decided.
type Request struct {
	Route string
	// BodyBytes is the size of its body.
	BodyBytes int64
	// Target is the time until the soft deadline, or until the deadline once that has passed.
	Target time.Duration
	// Draw is a random number in [0, 1) that stays the same for all attempts of the request.
	Draw float64
	// Usable tells which tiers have endpoints that can be used.
	Usable Tiers
}

// Decision tells where a request is sent and at which prices.
type Decision struct {
	// Tier is where the request should go. Endpoints in nearer tiers come next; endpoints
	// in farther ones only take it if there is no other.
	Tier   Tier
	Prices [tierCount]float64
	// ZoneWait is the usual wait for a slot in the failure domain.
	ZoneWait time.Duration
}

// Decide decides about one request and counts it for the shares.
func (c *Controller) Decide(now time.Time, r Request) Decision {
	bytes := max(r.BodyBytes, 0) + c.routes.size(r.Route)
	d := Decision{ZoneWait: time.Duration(c.tiers[Zone].currentWait(now))}
	var costs, arrivals [tierCount]float64
	for t := Zone; t < tierCount; t++ {
		d.Prices[t] = t.Price(bytes)
		arrivals[t] = c.arrival(now, t, r)
		costs[t] = math.Inf(1)
		if r.Usable[t] {
			costs[t] = arrivals[t]*arrivals[t] + d.Prices[t]
		}
	}
	elsewhere := c.share(Elsewhere, min(costs[Zone], costs[Region]), costs, arrivals)
	region := min(c.share(Region, costs[Zone], costs, arrivals), 1-elsewhere)
	switch {
	case r.Draw < elsewhere:
		d.Tier = Elsewhere
	case r.Draw < elsewhere+region:
		d.Tier = Region
	case !r.Usable[Zone] && r.Usable[Region]:
		d.Tier = Region
	}
	for t := range c.shares {
		c.shares[t] += shareWeight * (float64(b2i(d.Tier == Tier(t))) - c.shares[t])
	}
	return d
}

// shareWeight is the weight of one request in the shares that are reported.
const shareWeight = 0.01

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// arrival returns the expected time until the response from a tier as a fraction of the
// target of the request.
func (c *Controller) arrival(now time.Time, t Tier, r Request) float64 {
	s := &c.tiers[t]
	expected := s.currentWait(now) + c.routes.latency(r.Route)*s.speed + float64(roundTrips[t])
	return expected / float64(max(r.Target, time.Millisecond))
}

// share returns the share of requests like the given one for a tier, if they cost stay in
// the nearer tiers.
func (c *Controller) share(t Tier, stay float64, costs, arrivals [tierCount]float64) float64 {
	switch {
	case math.IsInf(costs[t], 1):
		return 0
	case math.IsInf(stay, 1):
		return 1
	case arrivals[t] > MaxArrival:
		return 0
	}
	return min(max(shareGain*(stay-costs[t]), 0), c.tiers[t].allowance)
}
