package sidecar

import (
	"time"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// Announce implements Registry.
func (g *localGate) Announce(a mesh.Announcement) bool {
	g.change("announcement", a.ID, string(a.State), func(now time.Time) bool {
		changed := g.local.Announce(now, a)
		return g.countAnnouncement(now, a) || changed
	})
	return a.State != mesh.EndpointDraining || g.endStored(a.ID)
}

// countAnnouncement counts an announcement while the stored entry is not known, and reports
// whether the endpoint has become proven by it.
func (g *localGate) countAnnouncement(now time.Time, a mesh.Announcement) bool {
	h := g.announced[a.ID]
	switch {
	case g.restored || a.State != mesh.EndpointReady:
		delete(g.announced, a.ID)
		return false
	case h.born != a.StartUnixMs:
		h = announcementCount{born: a.StartUnixMs}
	case a.Sequence <= h.sequence || now.Sub(h.last) < g.deps.settings.HeartbeatInterval/2:
		return false
	}
	h.sequence, h.last = a.Sequence, now
	h.count++
	g.announced[a.ID] = h
	return h.count == provenBy
}

// usable reports whether what is known of the endpoint allows requests to it.
func (g *localGate) usable(id string) bool { return g.restored || g.announced[id].count >= provenBy }

// isRestored reports whether the stored entry of this node is known.
func (g *localGate) isRestored() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.restored
}

// Deregister implements Registry.
func (g *localGate) Deregister(id string, born int64) bool {
	g.change("announcement", id, "gone", func(now time.Time) bool {
		g.local.Deregister(now, id, born)
		return true
	})
	return g.endStored(id)
}

// endStored reports whether the end of an endpoint is stored. Only then may it
// be acknowledged, because the acknowledgement binds the next process as well.
func (g *localGate) endStored(id string) bool {
	stored := g.deps.awaitPublished(ackWait)
	if !stored {
		g.deps.log.event("end_not_stored", fields{"endpoint": id, "waitedMs": ackWait.Milliseconds()})
	}
	return stored
}

// ackWait is how long an acknowledgement waits for the store. Endpoints turn to
// nobody else, and take an answer within a second.
const ackWait = 700 * time.Millisecond

// restore takes in what an earlier process of this node stored.
func (g *localGate) restore(entry mesh.Instance) {
	g.change("endpoints_restored", "", "ready", func(now time.Time) bool {
		if g.restored {
			return false
		}
		g.restored = true
		g.local.Restore(now, entry)
		return true
	})
}

// ReportMalformed implements Registry.
func (g *localGate) ReportMalformed(id string, err error) {
	g.deps.log.event("announcement_malformed", fields{"endpoint": id, "error": err.Error()})
}

// tick removes endpoints that have gone silent and closes idle connections.
func (g *localGate) tick() {
	g.change("endpoint_silent", "", "gone", func(now time.Time) bool { return g.local.RemoveExpired(now) })
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, eg := range g.gates {
		eg.pool.CloseExpired()
	}
}

// change applies a change of the local endpoints and brings the gates in line.
func (g *localGate) change(event, id, state string, apply func(now time.Time) bool) bool {
	now := g.deps.now()
	g.mu.Lock()
	changed := apply(now)
	if changed {
		g.syncGates()
	}
	g.mu.Unlock()
	if changed {
		g.deps.log.event(event, fields{"endpoint": id, "state": state})
		g.deps.endpointsChanged()
	}
	return changed
}

// syncGates opens a gate for each endpoint that takes requests, and rejects what
// waits at the others. Running requests go on.
func (g *localGate) syncGates() {
	for id, eg := range g.gates {
		e := g.local.ReadyEndpoint(id)
		if e != nil && e.StartUnixMs == eg.endpoint.StartUnixMs && e.Address == eg.endpoint.Address {
			eg.endpoint = e
			if e.Slots != eg.queue.Slots() {
				eg.deliver(eg.queue.Resize(g.deps.now(), e.Slots))
			}
			continue
		}
		eg.deliver(eg.queue.RejectAll())
		eg.pool.Close()
		delete(g.gates, id)
	}
	for _, published := range g.local.ReadyEndpoints(g.deps.now()) {
		if g.gates[published.ID] != nil || !g.usable(published.ID) {
			continue
		}
		e := g.local.ReadyEndpoint(published.ID)
		g.gates[published.ID] = &endpointGate{
			endpoint: e, queue: gate.NewQueue(e.Slots),
			pool:    exchange.NewPool(e.Address, exchange.Dialer{Timeout: endpointDialTimeout}, g.deps.metrics.endpointConnection),
			waiting: make(map[uint64]chan *verdict.Error), judge: rollout.NewAnalyzer(),
			routes: make(map[string]time.Duration), sizes: make(map[string]int64),
		}
	}
}
