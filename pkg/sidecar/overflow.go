package sidecar

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/overflow"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// ZoneOverflow says whether overflow controllers decide which requests leave the failure
// domain, and whether the speeds of endpoints are used.
type ZoneOverflow string

// The modes. With OverflowAuto, the controllers decide for services whose endpoints state
// their speed, and for all services while the configuration has tenants.
const (
	OverflowAuto ZoneOverflow = "auto"
	OverflowOn   ZoneOverflow = "on"
	OverflowOff  ZoneOverflow = "off"
)

// ParseZoneOverflow returns the mode called text, OverflowAuto for "". Any other text is an
// error.
func ParseZoneOverflow(text string) (ZoneOverflow, error) {
	switch mode := ZoneOverflow(text); mode {
	case "":
		return OverflowAuto, nil
	case OverflowAuto, OverflowOn, OverflowOff:
		return mode, nil
	}
	return "", eris.Errorf("zone overflow %q is none of auto, on and off", text)
}

// usualPercent is the speed figure of an endpoint whose work takes as long as usual,
// minPercent and maxPercent are the smallest and largest figures that are not taken for
// malformed: times are divided by them.
const (
	usualPercent = 100
	minPercent   = 1
	maxPercent   = 100_000
)

// parseServerLoad returns the speed in the load of an endpoint: "running,waiting,slots" and
// possibly a fourth figure, the time that work takes in percent of the usual one. A load
// without a fourth figure gives an unknown speed, a malformed figure the usual one.
func parseServerLoad(now time.Time, text string) mesh.Slowdown {
	parts := strings.Split(text, ",")
	if len(parts) < 4 {
		return mesh.Slowdown{}
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64)
	if err != nil || !(percent >= minPercent && percent <= maxPercent) {
		percent = usualPercent
	}
	return mesh.Slowdown{Factor: percent / usualPercent, At: now}
}

// formatSlowdown formats a speed for other nodes: its percentage and its age in
// milliseconds, because clocks differ.
func formatSlowdown(now time.Time, s mesh.Slowdown) string {
	return strconv.Itoa(int(usualPercent*s.Factor)) + "," + strconv.FormatInt(now.Sub(s.At).Milliseconds(), 10)
}

// parseSlowdown parses the output of formatSlowdown; any other text gives an unknown speed.
func parseSlowdown(now time.Time, text string) mesh.Slowdown {
	percentText, ageText, _ := strings.Cut(text, ",")
	percent, err := strconv.Atoi(percentText)
	if err != nil || percent <= 0 {
		return mesh.Slowdown{}
	}
	ageMs, err := strconv.ParseUint(ageText, 10, 31)
	if err != nil {
		return mesh.Slowdown{}
	}
	return mesh.Slowdown{Factor: float64(percent) / usualPercent, At: now.Add(-time.Duration(ageMs) * time.Millisecond)}
}

// overflowControllers holds the overflow controllers by service.
type overflowControllers struct {
	mu        sync.Mutex
	byService map[string]*overflow.Controller
	// leaving holds the services of which a larger share leaves the failure domain.
	leaving map[string]bool
}

func newOverflowControllers() *overflowControllers {
	return &overflowControllers{byService: make(map[string]*overflow.Controller), leaving: make(map[string]bool)}
}

// controller returns the controller of a service. The caller holds mu.
func (oc *overflowControllers) controller(service string) *overflow.Controller {
	c := oc.byService[service]
	if c == nil {
		c = overflow.New()
		oc.byService[service] = c
	}
	return c
}

// isOverflowActive reports whether c decides where the request goes.
func (x *request) isOverflowActive(c *overflow.Controller) bool {
	switch x.entry.deps.settings.ZoneOverflow {
	case OverflowOff:
		return false
	case OverflowOn:
		return true
	}
	return c.KnowsSpeeds() || x.hasTenants
}

// decideOverflow decides where an attempt may go; nil if no controller decides about it.
func (x *request) decideOverflow(now time.Time, candidates []*placement.Endpoint) *overflow.Decision {
	oc := x.entry.overflow
	oc.mu.Lock()
	defer oc.mu.Unlock()
	c := oc.controller(x.service)
	if !x.isOverflowActive(c) {
		return nil
	}
	if x.overflowDraw == 0 {
		x.overflowDraw = rand.Float64()
	}
	target := x.started.Add(x.route.TargetLatency).Sub(now)
	if target <= 0 {
		target = x.deadline.Sub(now)
	}
	d := c.Decide(now, overflow.Request{
		Route: x.route.Name, BodyBytes: max(x.r.ContentLength, int64(len(x.body))), Target: target, Draw: x.overflowDraw,
		Usable: placement.UsableTiers(now, candidates, x.attempted),
	})
	return &d
}

// observeOverflow tells the controller how an attempt ended.
func (x *request) observeOverflow(now time.Time, result attemptResult, load placement.Load) {
	if x.entry.deps.settings.ZoneOverflow == OverflowOff {
		return
	}
	isRefused := result.failure != nil && result.failure.Verdict == verdict.NotRun &&
		(result.failure.Code == verdict.Overloaded || result.failure.Code == verdict.DeadlineUnreachable)
	if load.Slots <= 0 && !isRefused {
		return // The attempt was canceled, or nothing was reached.
	}
	oc := x.entry.overflow
	oc.mu.Lock()
	defer oc.mu.Unlock()
	c := oc.controller(x.service)
	if !x.isOverflowActive(c) && !load.Slowdown.IsKnown() {
		return
	}
	c.Observe(now, result.endpoint.Distance.Tier(), overflow.Observation{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, ServiceTime: load.MeanServiceTime, RouteLatency: load.MeanRouteLatency,
		Slowdown: load.Slowdown, Route: x.route.Name, Refused: isRefused, Late: x.route.TargetLatency > 0 && x.isLate(),
	})
	if r := result.response; r != nil && result.failure == nil {
		size := r.contentLength
		if r.isComplete {
			size = int64(len(r.buffered))
		}
		if size >= 0 {
			c.ObserveSize(x.route.Name, size)
		}
	}
}

// Shares from which a service counts as leaving its failure domain, and below which it no
// longer does; the gap keeps the log short.
const (
	leavingShare  = 0.05
	returnedShare = 0.01
)

// updateGauges sets the shares of the services and logs where requests begin to leave the
// failure domain and where they have returned.
func (oc *overflowControllers) updateGauges(deps *shared) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	for service, c := range oc.byService {
		region, elsewhere := c.Share(overflow.Region), c.Share(overflow.Elsewhere)
		deps.metrics.overflowShare(service, distanceNames[placement.SameRegion], region)
		deps.metrics.overflowShare(service, distanceNames[placement.OtherRegion], elsewhere)
		share := region + elsewhere
		if isLeaving := oc.leaving[service]; isLeaving && share < returnedShare || !isLeaving && share >= leavingShare {
			oc.leaving[service] = !isLeaving
			deps.log.event("overflow_changed", fields{"service": service, "leaving": !isLeaving, "region": region, "otherRegion": elsewhere})
		}
	}
}

// recordSpeed records the speed that a response of the endpoint states.
func (la *localAdmission) recordSpeed(ea *endpointAdmission, load string) {
	if la.deps.settings.ZoneOverflow == OverflowOff || load == "" {
		return
	}
	now := la.deps.now()
	if s := parseServerLoad(now, load); s.IsKnown() {
		la.mu.Lock()
		ea.queue.SetSlowdown(s)
		la.mu.Unlock()
	}
}
