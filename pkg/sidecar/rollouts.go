package sidecar

import (
	"math/bits"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
)

// handoverPeriod is how long the node of an old version's endpoint still accepts calls
// after all traffic was shifted, because other nodes learn of the shift later.
const handoverPeriod = time.Second

// closedVersionTTL is how long this node assumes that a version takes no requests after
// a node rejected a call for that reason. By then this node has usually read the
// rollout itself; until then each further call to the version would cost a round trip
// for a rejection.
const closedVersionTTL = time.Second

// rolloutTracker holds the rollout state machine and answers queries from the request
// path.
type rolloutTracker struct {
	now func() time.Time
	log *eventLog
	// wake is called after a version has failed its analysis, so that this is stored at
	// once.
	wake func()

	mu            sync.Mutex
	machine       *rollout.StateMachine
	policies      map[string]trackedPolicy
	requestCounts map[string]uint64
	// closedUntil holds the time until which a version is assumed to take no requests,
	// because a node rejected a call to it for that reason.
	closedUntil map[serviceVersion]time.Time
	// inUse holds the stored version of each service that serves its requests while no rollout
	// says otherwise.
	inUse map[string]string
}

type serviceVersion struct{ service, version string }

// trackedPolicy is the current policy of a service.
type trackedPolicy struct {
	rollout.Policy
	// since is when this node applied the policy. isActive is set while the rollout is
	// not yet decided.
	since    time.Time
	isActive bool
}

func newRolloutTracker(now func() time.Time, log *eventLog, wake func()) *rolloutTracker {
	return &rolloutTracker{
		now: now, log: log, wake: wake, machine: rollout.NewStateMachine(),
		policies: make(map[string]trackedPolicy), requestCounts: make(map[string]uint64),
		closedUntil: make(map[serviceVersion]time.Time), inUse: make(map[string]string),
	}
}

// setInUse sets the stored version of a service.
func (rt *rolloutTracker) setInUse(u rollout.InUse) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.inUse[u.Service] != u.Version {
		rt.log.event("version_in_use", fields{"service": u.Service, "version": u.Version})
	}
	rt.inUse[u.Service] = u.Version
}

// serviceView returns what this node knows of the versions of a service. isStored is set if
// the store holds the version in use.
func (rt *rolloutTracker) serviceView(service string, table *placement.Table, isStored bool) rollout.ServiceView {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	v := rollout.ServiceView{InUse: rt.inUse[service], IsStored: isStored, EndpointCounts: make(map[string]int)}
	for version := range table.EndpointsByVersion(service) {
		v.EndpointCounts[version] = len(table.RankedInstances(service, version))
	}
	if r, ok := rt.machine.Rollout(service); ok {
		v.Target, v.TargetState = r.Version, r.State
	}
	return v
}

// versionInUse returns the stored version of a service; "" if there is none.
func (rt *rolloutTracker) versionInUse(service string) string {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.inUse[service]
}

// step applies an event to the state machine and returns the writes that are due.
func (rt *rolloutTracker) step(event rollout.Event) []rollout.Effect {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	event.NowUnixMs = now.UnixMilli()
	effects := rt.machine.Step(now, event)
	isActive := make(map[string]bool)
	for _, r := range rt.machine.Active() {
		isActive[r.Service] = true
	}
	policies := make(map[string]trackedPolicy)
	for service, p := range rt.machine.Policies() {
		tracked := trackedPolicy{Policy: p, since: now, isActive: isActive[service]}
		old, ok := rt.policies[service]
		if ok && old.Policy == p {
			tracked.since = old.since
		}
		if !ok || old.Policy != p || old.isActive != tracked.isActive {
			rt.log.event("rollout_policy", fields{
				"service": service, "version": p.Version, "share": p.Share, "open": tracked.isActive,
			})
		}
		policies[service] = tracked
	}
	rt.policies = policies
	return effects
}

// activeRollouts returns the rollouts that are not yet decided.
func (rt *rolloutTracker) activeRollouts() []mesh.Rollout {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.machine.Active()
}

// unstoredRollouts returns the rollouts whose decided state the store has lost.
func (rt *rolloutTracker) unstoredRollouts() []mesh.Rollout {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.machine.Unstored()
}

func (rt *rolloutTracker) hasUnstored() bool { return len(rt.unstoredRollouts()) > 0 }

// isAllowed reports whether endpoints of the version take requests.
func (rt *rolloutTracker) isAllowed(service, version string) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	p, ok := rt.policies[service]
	inUse := rt.inUse[service]
	switch {
	case !ok:
		return inUse == "" || version == inUse
	case version == p.Version:
		return p.Share > 0
	case inUse != "" && inUse != p.Version && version != inUse:
		return false
	}
	return p.Share < 1 || rt.now().Sub(p.since) < handoverPeriod
}

// isAnalyzed reports whether the version is under canary analysis in an active rollout,
// and whether all traffic has been shifted to the new version.
func (rt *rolloutTracker) isAnalyzed(service, version string) (isAnalyzed, shifted bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	p, ok := rt.policies[service]
	return ok && p.isActive && version == p.Version && p.Share > 0, p.Share >= 1
}

// failVersion stops all requests from this node to the version and has the version
// rolled back.
func (rt *rolloutTracker) failVersion(service, version string, details fields) {
	details["service"], details["version"] = service, version
	rt.log.event("rollout_bad", details)
	rt.step(rollout.Event{Kind: rollout.VersionFailed, Service: service, Version: version})
	rt.wake()
}

// markClosed records that a node rejected a call because the version takes no requests.
func (rt *rolloutTracker) markClosed(service, version string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.closedUntil[serviceVersion{service, version}] = rt.now().Add(closedVersionTTL)
}

// openVersions returns the versions without those that are marked as closed.
func (rt *rolloutTracker) openVersions(service string, versions map[string][]*placement.Endpoint) map[string][]*placement.Endpoint {
	if len(rt.closedUntil) == 0 {
		return versions
	}
	now := rt.now()
	return lo.PickBy(versions, func(version string, _ []*placement.Endpoint) bool {
		key := serviceVersion{service, version}
		until, ok := rt.closedUntil[key]
		if ok && !now.Before(until) {
			delete(rt.closedUntil, key)
			ok = false
		}
		return !ok
	})
}

// candidates returns the endpoints that a request for a service may be sent to. The
// node of an endpoint knows first whether the version takes requests. If it rejected a
// call for that reason, the other versions are used, even if this node has not read the
// change yet. A request that may not go to the canary endpoint does not count for the
// share of the canary.
func (rt *rolloutTracker) candidates(
	table *placement.Table, service string, isFurtherAttempt bool, restriction placement.Restriction, order placement.CanaryOrder,
) (list []*placement.Endpoint) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	known := table.Candidates(service, restriction)
	versions := rt.openVersions(service, known)
	p, ok := rt.policies[service]
	inUse := rt.inUse[service]
	if !ok {
		if inUse != "" {
			return versions[inUse]
		}
		return versions[mostCommonVersion(rt.openVersions(service, table.EndpointsByVersion(service)))]
	}
	if p.Share >= 1 {
		if list = versions[p.Version]; len(list) > 0 || inUse == p.Version {
			return list
		}
	}
	if p.Share > 0 && p.Share < 1 && !isFurtherAttempt && len(versions[p.Version]) > 0 {
		canary := table.CanaryEndpoint(service, p.Version, rt.now(), order)
		if canary != nil && restriction.Allows(canary) {
			rt.requestCounts[service]++
			if unitPosition(rt.requestCounts[service]) < p.Share {
				return []*placement.Endpoint{canary}
			}
		}
	}
	for version, endpoints := range versions {
		if version != p.Version && (inUse == "" || inUse == p.Version || version == inUse) {
			list = append(list[:len(list):len(list)], endpoints...)
		}
	}
	if len(list) == 0 && p.Share > 0 && len(versions) < len(known) {
		// The old version is closed, so the new one gets all requests. That the table has
		// no endpoint of the old version is not enough.
		return versions[p.Version]
	}
	return list
}

// unitPosition maps the n-th request to a position in the unit interval. It uses the
// fractional parts of multiples of the golden ratio, which fill the interval evenly
// over any run of requests.
func unitPosition(n uint64) float64 {
	const golden = 0x9E3779B97F4A7C15
	const unit = 1 << 32
	high, _ := bits.Mul64(n*golden, unit)
	return float64(high) / unit
}

// mostCommonVersion returns the version with the most endpoints, for the time until the
// version in use is stored.
func mostCommonVersion(versions map[string][]*placement.Endpoint) string {
	var best string
	most := 0
	for version, endpoints := range versions {
		if len(endpoints) > most || len(endpoints) == most && version < best {
			best, most = version, len(endpoints)
		}
	}
	return best
}
