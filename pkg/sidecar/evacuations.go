package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// kindsOf returns the kinds of objects that a node with the given settings follows.
func kindsOf(s Settings) []platform.Kind {
	kinds := slices.Clone(trackedKinds)
	if s.EvacuationTimeout > 0 {
		kinds = append(kinds, platform.KindEvacuation)
	}
	return kinds
}

// isAsked reports whether a follower that sent the given versions knows a kind. Nodes that
// do not follow evacuations refuse a frame with changes of them.
func isAsked(kind platform.Kind, since map[platform.Kind]uint64) bool {
	_, isListed := since[kind]
	return isListed || kind != platform.KindEvacuation
}

// evacuationValue replaces the content of evacuations, which does not matter: an odd or large
// one would keep frames and state transfers from being encoded.
var evacuationValue = []byte("{}")

// putEvacuation records an evacuation; t.mu must be held. The content of the object does
// not matter.
func (t *tracker) putEvacuation(o platform.Object) {
	t.evacuated[o.Name] = true
	delete(t.lostEvacuations, o.Name)
	storeMax(&t.deps.newestEvacuationRevision, parseRevision(o.ResourceVersion))
}

// keepLostEvacuations keeps the evacuations in force that are not in the first list of an era
// of the store; t.mu must be held. The operator has as much time to write one again as nodes
// have for their entries, and then other nodes must have heard of it.
func (t *tracker) keepLostEvacuations(listed map[string]bool) {
	until := t.deps.now().Add(lostWritePeriod + t.deps.settings.EvacuationTimeout)
	for domain := range t.evacuated {
		if !listed[domain] {
			t.lostEvacuations[domain] = until
			delete(t.objects[platform.KindEvacuation], domain)
			delete(t.resourceVersions[platform.KindEvacuation], domain)
		}
	}
	notify(t.lostWritesWake)
}

// takeExpiredEvacuations forgets the evacuations that the operator has not written again in
// time. next is when the next ones expire, zero if there are none.
func (t *tracker) takeExpiredEvacuations() (next time.Time, expired bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.now()
	for domain, until := range t.lostEvacuations {
		switch {
		case !now.Before(until):
			expired = true
			t.remove(platform.KindEvacuation, domain)
		case next.IsZero() || until.Before(next):
			next = until
		}
	}
	return next, expired
}

// refreshEvacuations puts the known evacuations into force: first for new attempts and
// calls, then for the calls that wait for a slot.
func (t *tracker) refreshEvacuations() {
	t.mu.Lock()
	if !t.loadedKinds[platform.KindEvacuation] {
		t.mu.Unlock()
		return
	}
	domains := make([]string, 0, len(t.evacuated))
	for domain := range t.evacuated {
		domains = append(domains, domain)
	}
	previous, next := t.deps.evacuations.Load(), evacuation.NewSet(domains...)
	change := evacuation.Compare(previous, next)
	t.deps.evacuationRevision.Store(t.asOf[platform.KindEvacuation])
	own := t.deps.settings.FailureDomain
	if previous == nil || slices.Contains(change.Ended, own) {
		// Before calls are admitted again. The start of the process may have followed the end.
		t.admission.doubtWarmth("evacuation")
	}
	if previous == nil || !change.IsEmpty() {
		t.deps.evacuations.Store(next)
		t.builder.SetEvacuations(next)
	}
	t.mu.Unlock()
	t.deps.metrics.gauge("failure_domains_evacuated", float64(len(domains)))
	if change.IsEmpty() {
		return
	}
	t.deps.log.event("evacuations_changed", fields{"begun": change.Begun, "ended": change.Ended, "evacuated": next.Domains()})
	if slices.Contains(change.Begun, own) {
		t.admission.rejectWaiting()
	}
	t.rebuildTable()
}

// fetchEvacuations reads the evacuations from the store after another node reported a
// newer change.
func (t *tracker) fetchEvacuations(ctx context.Context, newest uint64) {
	objects, revision, err := t.store.List(ctx, platform.KindEvacuation)
	if err != nil {
		t.deps.log.event("store_read_failed", fields{"name": string(platform.KindEvacuation), "error": err.Error()})
		return
	}
	t.deps.log.event("evacuations_fetched", fields{"heard": newest, "revision": revision})
	t.replaceView(platform.KindEvacuation, objects, parseRevision(revision))
	t.refresh(platform.KindEvacuation)
}

// isBehindEvacuations reports whether another node has reported a change of the
// evacuations that is not known here.
func (s *shared) isBehindEvacuations() bool {
	return s.settings.EvacuationTimeout > 0 && s.newestEvacuationRevision.Load() > s.evacuationRevision.Load()
}

// recordRemoteEvacuations records the revision of the newest change of the evacuations that
// the node at address reported; "" if its address is not known.
func (s *shared) recordRemoteEvacuations(revision uint64, address string) {
	if s.settings.EvacuationTimeout <= 0 {
		return
	}
	storeMax(&s.newestEvacuationRevision, revision)
	if revision <= s.evacuationRevision.Load() {
		return
	}
	if address != "" {
		s.newerAt.Store(&address)
	}
	s.onNewerRevision()
}

// evacuationRejection returns the rejection of a call at the gate of an evacuated failure
// domain, or of one whose evacuations are not known yet. The sender tries another endpoint.
func (la *localAdmission) evacuationRejection() *verdict.Error {
	evacuations := la.deps.evacuations.Load()
	if evacuations.Admits(la.deps.settings.FailureDomain) {
		return nil
	}
	if evacuations == nil {
		la.deps.metrics.evacuationRejection("unknown")
		return verdict.NotRunErrorf(verdict.NoTarget, "the node does not know the evacuations yet")
	}
	la.deps.metrics.evacuationRejection("evacuated")
	return verdict.NotRunErrorf(verdict.NoTarget, "failure domain %q is evacuated", la.deps.settings.FailureDomain)
}
