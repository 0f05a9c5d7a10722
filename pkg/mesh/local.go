package mesh

import (
	"slices"
	"strings"
	"time"
)

// Bounds on what the node remembers of its own endpoints.
const (
	// beatsMissed is the number of heartbeat intervals without an announcement
	// after which an endpoint counts as gone. Heartbeats may be seconds late.
	beatsMissed = 5
	// tombstoneLifetime is how long a start that ended is remembered, so that a
	// delayed announcement does not revive it.
	tombstoneLifetime = 10 * time.Minute
)

// beforeFirst is below the sequence of every announcement.
const beforeFirst = -1

// LocalEndpoint is an endpoint beside this node.
type LocalEndpoint struct {
	Announcement
	// LastSeen is the time of the newest announcement.
	LastSeen time.Time
	// WarmUntil is the end of the slow start.
	WarmUntil time.Time
}

// EndpointRegistry is the deterministic record of the endpoints beside a node. It is the
// only place that decides whether an endpoint takes new requests: no other
// process can reach the endpoint, so that what is decided here is exact.
//
// Invariant: a start that has announced that it is leaving, or that ended, never
// becomes ready again. Local is not safe for concurrent use.
type EndpointRegistry struct {
	interval  time.Duration
	endpoints map[string]*LocalEndpoint
	// ended holds the start of each id that left or was replaced.
	ended map[string]tombstone
}

type tombstone struct {
	born int64
	at   time.Time
}

// NewEndpointRegistry returns an empty record. interval is the usual time between two
// announcements of an endpoint.
func NewEndpointRegistry(interval time.Duration) *EndpointRegistry {
	return &EndpointRegistry{interval: interval, endpoints: make(map[string]*LocalEndpoint), ended: make(map[string]tombstone)}
}

// Announce applies an announcement and reports whether the set of endpoints
// that take new requests changed.
func (l *EndpointRegistry) Announce(now time.Time, a Announcement) (changed bool) {
	if t, ok := l.ended[a.ID]; ok && a.StartUnixMs <= t.born {
		return false
	}
	current := l.endpoints[a.ID]
	// That a start is leaving holds whatever it said before or after.
	late := current != nil && a.StartUnixMs == current.StartUnixMs && a.Sequence <= current.Sequence && a.State != EndpointDraining
	if current != nil && a.StartUnixMs < current.StartUnixMs || late {
		return false
	}
	for id, other := range l.endpoints {
		if id == a.ID || other.Address != a.Address {
			continue
		}
		// An address belongs to one start at a time, the latest.
		if other.StartUnixMs > a.StartUnixMs {
			return false
		}
		l.end(now, id, other.StartUnixMs)
		changed = true
	}
	before := current != nil && current.State == EndpointReady
	if current != nil && current.StartUnixMs == a.StartUnixMs {
		a.Sequence = max(a.Sequence, current.Sequence)
		if current.State == EndpointDraining {
			a.State = EndpointDraining
		}
	}
	next := &LocalEndpoint{Announcement: a, LastSeen: now, WarmUntil: now.Add(a.WarmupRemaining)}
	l.endpoints[a.ID] = next
	after := next.State == EndpointReady
	return changed || before != after || current == nil || current.StartUnixMs != a.StartUnixMs || current.Slots != a.Slots
}

// Deregister removes an endpoint and reports whether the set that takes new requests
// changed. born is 0 if the caller did not say which start ends.
func (l *EndpointRegistry) Deregister(now time.Time, id string, born int64) (changed bool) {
	current := l.endpoints[id]
	if current == nil {
		if born == 0 {
			// Which start ends is not known: any that began before now.
			born = now.UnixMilli()
		}
		l.end(now, id, max(born, l.ended[id].born))
		return false
	}
	if born != 0 && born < current.StartUnixMs {
		return false
	}
	l.end(now, id, current.StartUnixMs)
	return true
}

// EndedEndpoints returns the starts that have announced their end, in order of their ids.
func (l *EndpointRegistry) EndedEndpoints() []EndedEndpoint {
	list := make([]EndedEndpoint, 0, len(l.ended))
	for id, t := range l.ended {
		list = append(list, EndedEndpoint{ID: id, StartUnixMs: t.born})
	}
	for id, e := range l.endpoints {
		if _, ok := l.ended[id]; !ok && e.State == EndpointDraining {
			list = append(list, EndedEndpoint{ID: id, StartUnixMs: e.StartUnixMs})
		}
	}
	slices.SortFunc(list, func(a, b EndedEndpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Restore takes in what an earlier process of the node stored: the ends that were
// announced to it, and the endpoints that took requests. The latter count until
// they have been silent for too long. An end is stored before it is
// acknowledged, so that no endpoint of the entry has an acknowledged end.
func (l *EndpointRegistry) Restore(now time.Time, entry Instance) {
	for _, e := range entry.Endpoints {
		if l.endpoints[e.ID] == nil && e.Address != "" {
			l.Announce(now, Announcement{
				ID: e.ID, Service: e.Service, Version: e.Version, Address: e.Address, Slots: e.Slots, State: EndpointReady, StartUnixMs: e.StartUnixMs,
				Sequence: beforeFirst,
			})
		}
	}
	for _, e := range entry.EndedEndpoints {
		if current := l.endpoints[e.ID]; current != nil && current.StartUnixMs <= e.StartUnixMs {
			delete(l.endpoints, e.ID)
		}
		if e.StartUnixMs > l.ended[e.ID].born {
			l.ended[e.ID] = tombstone{born: e.StartUnixMs, at: now}
		}
	}
}

func (l *EndpointRegistry) end(now time.Time, id string, born int64) {
	delete(l.endpoints, id)
	l.ended[id] = tombstone{born: born, at: now}
}

// RemoveExpired removes endpoints that have been silent for too long and reports whether
// the set that takes new requests changed.
func (l *EndpointRegistry) RemoveExpired(now time.Time) (changed bool) {
	for id, e := range l.endpoints {
		if now.Sub(e.LastSeen) > beatsMissed*l.interval {
			// No tombstone: a paused endpoint that announces itself again is the same start.
			delete(l.endpoints, id)
			changed = true
		}
	}
	for id, t := range l.ended {
		if now.Sub(t.at) > tombstoneLifetime {
			delete(l.ended, id)
		}
	}
	return changed
}

// ReadyEndpoint returns the endpoint called id if it takes new requests, or nil.
func (l *EndpointRegistry) ReadyEndpoint(id string) *LocalEndpoint {
	if e := l.endpoints[id]; e != nil && e.State == EndpointReady {
		return e
	}
	return nil
}

// ReadyEndpoints returns the endpoints that take new requests.
func (l *EndpointRegistry) ReadyEndpoints(now time.Time) []Endpoint {
	var published []Endpoint
	for _, e := range l.endpoints {
		if e.State != EndpointReady {
			continue
		}
		published = append(published, Endpoint{
			ID: e.ID, Service: e.Service, Version: e.Version, Slots: e.Slots, Address: e.Address, StartUnixMs: e.StartUnixMs,
			WarmupMs: max(e.WarmUntil.Sub(now), 0).Milliseconds(),
		})
	}
	return published
}
