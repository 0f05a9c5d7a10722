package mesh

import (
	"slices"
	"strings"
	"time"
)

// Bounds of the state that a node keeps about its local endpoints.
const (
	// maxMissedHeartbeats is the number of heartbeat intervals without an
	// announcement after which an endpoint expires. Heartbeats may be seconds late.
	maxMissedHeartbeats = 5
	// tombstoneLifetime is how long the end of an endpoint process is remembered,
	// so that a delayed announcement does not revive it.
	tombstoneLifetime = 10 * time.Minute
)

// restoredSequence is the sequence of a restored endpoint. Every announcement has a
// higher one and so replaces the restored state.
const restoredSequence = -1

// LocalEndpoint is an endpoint on the same instance as this node.
type LocalEndpoint struct {
	Announcement
	// LastSeen is the time of the latest announcement.
	LastSeen time.Time
	// WarmUntil is the end of the slow start.
	WarmUntil time.Time
}

// EndpointRegistry is the deterministic registry of a node's local endpoints. It alone
// decides whether an endpoint takes new requests. No other process can reach the
// endpoint, so that this decision is exact.
//
// Invariant: an endpoint process that is draining or has ended never becomes ready
// again. EndpointRegistry is not safe for concurrent use.
type EndpointRegistry struct {
	heartbeatInterval time.Duration
	endpoints         map[string]*LocalEndpoint
	// tombstones holds, by ID, the latest process that deregistered or was replaced.
	tombstones map[string]tombstone
}

type tombstone struct {
	startUnixMs int64
	createdAt   time.Time
}

// NewEndpointRegistry returns an empty registry. heartbeatInterval is the usual time
// between two announcements of an endpoint.
func NewEndpointRegistry(heartbeatInterval time.Duration) *EndpointRegistry {
	return &EndpointRegistry{heartbeatInterval: heartbeatInterval, endpoints: make(map[string]*LocalEndpoint), tombstones: make(map[string]tombstone)}
}

// Announce applies an announcement and reports whether the set of endpoints
// that take new requests changed.
func (r *EndpointRegistry) Announce(now time.Time, a Announcement) (changed bool) {
	if t, ok := r.tombstones[a.ID]; ok && a.StartUnixMs <= t.startUnixMs {
		return false
	}
	if r.Contradicts(a) {
		return false
	}
	current := r.endpoints[a.ID]
	// Draining is final for a process, so it applies even if announcements are reordered.
	outdated := current != nil && a.StartUnixMs == current.StartUnixMs && a.Sequence <= current.Sequence && a.State != EndpointDraining
	if outdated {
		// It shows that the process is still running, also if another writer sent a higher
		// sequence in its name.
		current.LastSeen = now
	}
	if current != nil && a.StartUnixMs < current.StartUnixMs || outdated {
		return false
	}
	for id, other := range r.endpoints {
		if id == a.ID || other.Address != a.Address {
			continue
		}
		// An address belongs to the process that started last.
		if other.StartUnixMs > a.StartUnixMs {
			return false
		}
		r.removeProcess(now, id, other.StartUnixMs)
		changed = true
	}
	if current == nil && len(r.endpoints) >= maxInstanceEndpoints {
		if a.State == EndpointDraining {
			r.removeProcess(now, a.ID, a.StartUnixMs)
		}
		return changed
	}
	wasReady := current != nil && current.State == EndpointReady
	if current != nil && current.StartUnixMs == a.StartUnixMs {
		a.Sequence = max(a.Sequence, current.Sequence)
		if current.State == EndpointDraining {
			a.State = EndpointDraining
		}
	}
	next := &LocalEndpoint{Announcement: a, LastSeen: now, WarmUntil: now.Add(a.WarmupRemaining)}
	r.endpoints[a.ID] = next
	isReady := next.State == EndpointReady
	return changed || wasReady != isReady || current == nil || current.StartUnixMs != a.StartUnixMs || current.Slots != a.Slots
}

// Contradicts reports whether an announcement in the name of a known process tells of
// another endpoint. A process keeps its address, service and version. What an entry
// told of the process may be wrong.
func (r *EndpointRegistry) Contradicts(a Announcement) bool {
	current := r.endpoints[a.ID]
	if current == nil || current.StartUnixMs == 0 || current.StartUnixMs != a.StartUnixMs || current.Sequence == restoredSequence {
		return false
	}
	return current.Address != a.Address || current.Service != a.Service || current.Version != a.Version
}

// Deregister removes an endpoint and reports whether the set that takes new requests
// changed. startUnixMs is 0 if the caller did not say which process has ended.
func (r *EndpointRegistry) Deregister(now time.Time, id string, startUnixMs int64) (changed bool) {
	current := r.endpoints[id]
	if current == nil {
		if startUnixMs == 0 {
			// The ended process is unknown: assume any that started before now.
			startUnixMs = now.UnixMilli()
		}
		r.removeProcess(now, id, max(startUnixMs, r.tombstones[id].startUnixMs))
		return false
	}
	if startUnixMs != 0 && startUnixMs < current.StartUnixMs {
		return false
	}
	r.removeProcess(now, id, current.StartUnixMs)
	return true
}

// EndedEndpoints returns the processes that are draining or have ended, ordered by ID.
func (r *EndpointRegistry) EndedEndpoints() []EndedEndpoint {
	list := make([]EndedEndpoint, 0, len(r.tombstones))
	for id, t := range r.tombstones {
		list = append(list, EndedEndpoint{ID: id, StartUnixMs: t.startUnixMs})
	}
	for id, e := range r.endpoints {
		if _, ok := r.tombstones[id]; !ok && e.State == EndpointDraining {
			list = append(list, EndedEndpoint{ID: id, StartUnixMs: e.StartUnixMs})
		}
	}
	slices.SortFunc(list, func(a, b EndedEndpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Restore applies the entry that an earlier process of the node stored: the endpoints
// that took requests and those that had ended. Restored endpoints stay ready until
// they announce themselves or expire. The end of an endpoint is stored before it is
// acknowledged, so that no restored endpoint has an acknowledged end, if the entry is the
// latest that was stored.
func (r *EndpointRegistry) Restore(now time.Time, entry Instance) {
	for _, e := range entry.Endpoints {
		if r.endpoints[e.ID] == nil && e.Address != "" && IsPlausibleStart(now, e.StartUnixMs) {
			r.Announce(now, Announcement{
				ID: e.ID, Service: e.Service, Version: e.Version, Address: e.Address, Slots: e.Slots, State: EndpointReady, StartUnixMs: e.StartUnixMs,
				Sequence: restoredSequence,
			})
		}
	}
	for _, e := range entry.EndedEndpoints {
		if e.ID == "" || !IsPlausibleStart(now, e.StartUnixMs) {
			continue
		}
		if current := r.endpoints[e.ID]; current != nil && current.StartUnixMs <= e.StartUnixMs {
			delete(r.endpoints, e.ID)
		}
		if e.StartUnixMs > r.tombstones[e.ID].startUnixMs {
			r.addTombstone(now, e.ID, e.StartUnixMs)
		}
	}
}

func (r *EndpointRegistry) removeProcess(now time.Time, id string, startUnixMs int64) {
	delete(r.endpoints, id)
	r.addTombstone(now, id, startUnixMs)
}

// addTombstone records the end of a process. Beyond maxTombstones the oldest one is
// dropped: other nodes refuse an entry with more, and with it the endpoints in use.
func (r *EndpointRegistry) addTombstone(now time.Time, id string, startUnixMs int64) {
	r.tombstones[id] = tombstone{startUnixMs: startUnixMs, createdAt: now}
	if len(r.tombstones) <= maxTombstones {
		return
	}
	oldest := id
	for other, t := range r.tombstones {
		if t.createdAt.Before(r.tombstones[oldest].createdAt) {
			oldest = other
		}
	}
	delete(r.tombstones, oldest)
}

// RemoveCrashed removes an endpoint whose process has ended without a word. There is no
// tombstone: should the process live, it announces itself again.
func (r *EndpointRegistry) RemoveCrashed(id string, startUnixMs int64) {
	if e := r.endpoints[id]; e != nil && e.StartUnixMs == startUnixMs {
		delete(r.endpoints, id)
	}
}

// RemoveExpired removes unresponsive endpoints and old tombstones and reports whether
// the set that takes new requests changed.
func (r *EndpointRegistry) RemoveExpired(now time.Time) (changed bool) {
	for id, e := range r.endpoints {
		if now.Sub(e.LastSeen) > maxMissedHeartbeats*r.heartbeatInterval {
			// No tombstone: a paused process may announce itself again.
			delete(r.endpoints, id)
			changed = true
		}
	}
	for id, t := range r.tombstones {
		if now.Sub(t.createdAt) > tombstoneLifetime {
			delete(r.tombstones, id)
		}
	}
	return changed
}

// ReadyEndpoint returns the endpoint with the given ID if it takes new requests, or nil.
func (r *EndpointRegistry) ReadyEndpoint(id string) *LocalEndpoint {
	if e := r.endpoints[id]; e != nil && e.State == EndpointReady {
		return e
	}
	return nil
}

// ReadyEndpoints returns the endpoints that take new requests.
func (r *EndpointRegistry) ReadyEndpoints(now time.Time) []Endpoint {
	var ready []Endpoint
	for _, e := range r.endpoints {
		if e.State != EndpointReady {
			continue
		}
		ready = append(ready, Endpoint{
			ID: e.ID, Service: e.Service, Version: e.Version, Slots: e.Slots, Address: e.Address, StartUnixMs: e.StartUnixMs,
			WarmupMs: max(e.WarmUntil.Sub(now), 0).Milliseconds(),
		})
	}
	return ready
}
