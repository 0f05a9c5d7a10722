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

// handover is how long the node beside an old version's endpoint still takes
// requests after all traffic was moved: other nodes learn of the move later.
const handover = time.Second

// closedLifetime is how long a gate's word that a version takes no requests is
// believed. By then this node has usually read of the rollout itself; until then
// each further request would lose a round trip to the closed gate.
const closedLifetime = time.Second

// rolloutTracker holds the machine of rollouts and answers for it on the path of
// requests.
type rolloutTracker struct {
	now func() time.Time
	log *eventLog
	// wake is called after a finding that must be written at once.
	wake func()

	mu       sync.Mutex
	machine  *rollout.StateMachine
	policies map[string]trackedPolicy
	sent     map[string]uint64
	// closed holds the time until which a version is taken for closed because one of
	// its gates said so.
	closed map[serviceVersion]time.Time
}

type serviceVersion struct{ service, version string }

type trackedPolicy struct {
	rollout.Policy
	since time.Time
	open  bool
}

func newRolloutTracker(now func() time.Time, log *eventLog, wake func()) *rolloutTracker {
	return &rolloutTracker{
		now: now, log: log, wake: wake, machine: rollout.NewStateMachine(),
		policies: make(map[string]trackedPolicy), sent: make(map[string]uint64),
		closed: make(map[serviceVersion]time.Time),
	}
}

// step applies an event and returns the writes that are due.
func (k *rolloutTracker) step(event rollout.Event) []rollout.Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	event.NowUnixMs = now.UnixMilli()
	effects := k.machine.Step(now, event)
	open := make(map[string]bool)
	for _, r := range k.machine.Active() {
		open[r.Service] = true
	}
	policies := make(map[string]trackedPolicy)
	for service, p := range k.machine.Policies() {
		kept := trackedPolicy{Policy: p, since: now, open: open[service]}
		old, ok := k.policies[service]
		if ok && old.Policy == p {
			kept.since = old.since
		}
		if !ok || old.Policy != p || old.open != kept.open {
			k.log.event("rollout_policy", fields{
				"service": service, "version": p.Version, "share": p.Share, "open": kept.open,
			})
		}
		policies[service] = kept
	}
	k.policies = policies
	return effects
}

// open returns the orders that are not yet decided.
func (k *rolloutTracker) open() []mesh.Rollout {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Active()
}

// allowed reports whether endpoints of the version take requests.
func (k *rolloutTracker) allowed(service, version string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.policies[service]
	switch {
	case !ok:
		return true
	case version == p.Version:
		return p.Share > 0
	}
	return p.Share < 1 || k.now().Sub(p.since) < handover
}

// judging reports whether answers of the version decide an open rollout, and
// whether the version gets all requests.
func (k *rolloutTracker) judging(service, version string) (judging, shifted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.policies[service]
	return ok && p.open && version == p.Version && p.Share > 0, p.Share >= 1
}

// foundBad stops all requests from this node to the version and has it rolled back.
func (k *rolloutTracker) foundBad(service, version string, evidence fields) {
	evidence["service"], evidence["version"] = service, version
	k.log.event("rollout_bad", evidence)
	k.step(rollout.Event{Kind: rollout.VersionFailed, Service: service, Version: version})
	k.wake()
}

// noteClosed takes in a gate's word that a version takes no requests.
func (k *rolloutTracker) noteClosed(service, version string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed[serviceVersion{service, version}] = k.now().Add(closedLifetime)
}

// withoutClosed returns the versions that no gate said to be closed.
func (k *rolloutTracker) withoutClosed(service string, versions map[string][]*placement.Endpoint) map[string][]*placement.Endpoint {
	if len(k.closed) == 0 {
		return versions
	}
	now := k.now()
	return lo.PickBy(versions, func(version string, _ []*placement.Endpoint) bool {
		key := serviceVersion{service, version}
		until, ok := k.closed[key]
		if ok && !now.Before(until) {
			delete(k.closed, key)
			ok = false
		}
		return !ok
	})
}

// candidates returns the endpoints that a request for a service may be sent to.
// A gate knows better than this node whether its version takes requests: if it said
// no, the others are used even if this node has not read of the change yet.
func (k *rolloutTracker) candidates(table *placement.Table, service string, repeat bool) (list []*placement.Endpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := table.EndpointsByVersion(service)
	versions := k.withoutClosed(service, known)
	p, ok := k.policies[service]
	if !ok {
		return mostCommon(versions)
	}
	if p.Share >= 1 {
		if list = versions[p.Version]; len(list) > 0 {
			return list
		}
	}
	if p.Share > 0 && p.Share < 1 && !repeat && len(versions[p.Version]) > 0 {
		k.sent[service]++
		if position(k.sent[service]) < p.Share {
			if e := table.CanaryEndpoint(service, p.Version, k.now()); e != nil {
				return []*placement.Endpoint{e}
			}
		}
	}
	for version, endpoints := range versions {
		if version != p.Version {
			list = append(list[:len(list):len(list)], endpoints...)
		}
	}
	if len(list) == 0 && p.Share > 0 && len(versions) < len(known) {
		// The old version is closed, so that the new one gets all requests. A table
		// that merely lacks the old version's endpoints says nothing of the kind.
		return versions[p.Version]
	}
	return list
}

// position spreads the n-th request over the unit interval: the fractional parts
// of multiples of the golden ratio fill it evenly over any run of requests.
func position(n uint64) float64 {
	const golden = 0x9E3779B97F4A7C15
	const unit = 1 << 32
	high, _ := bits.Mul64(n*golden, unit)
	return float64(high) / unit
}

// mostCommon returns the endpoints of the version with the most of them. Without
// an order, those of another version are about to get one or to end.
func mostCommon(versions map[string][]*placement.Endpoint) []*placement.Endpoint {
	var best string
	var list []*placement.Endpoint
	for version, endpoints := range versions {
		if len(endpoints) > len(list) || len(endpoints) == len(list) && version < best {
			best, list = version, endpoints
		}
	}
	return list
}
