package sidecar

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/quotasync"
)

// The store may come back from an older copy, in a new era. What nodes wrote since the
// copy is gone; they write it again. Until then, each node goes on with what it knows.

// lostWritePeriod is how long the entry of another instance is used that the store has
// lost. Its node, if it lives, reads the store or hears of the era within a second and
// stores its entry again.
const lostWritePeriod = 5 * time.Second

// lostWrite is an object that the store has lost.
type lostWrite struct {
	// stored is the older object that the store has; nil if it has none.
	stored *platform.Object
	until  time.Time
}

// beginEra records the era of a view; t.mu must be held. It reports whether the store has
// been restored since the view before.
func (t *tracker) beginEra(kind platform.Kind, asOf uint64) (isRestored bool) {
	era, _ := platform.SplitVersion(asOf)
	known := t.eras[kind]
	if era <= known {
		return false
	}
	t.setEra(kind, era)
	if !t.loadedKinds[kind] {
		return false // The first view.
	}
	t.deps.log.event("store_restored", fields{"kind": string(kind), "era": era, "before": known})
	// Followers get all objects: what they know of removals ends with the era.
	clear(t.removals[kind])
	t.removalsFrom[kind] = asOf
	return true
}

// adoptEra records the era of objects that another node has sent to this one, which has read
// none; t.mu must be held.
func (t *tracker) adoptEra(kind platform.Kind, objects []platform.Object) {
	if t.eras[kind] > 0 {
		return
	}
	era := uint64(0)
	for _, o := range objects {
		era = max(era, platform.EraOf(o.ResourceVersion))
	}
	if era > 0 {
		t.setEra(kind, era)
	}
}

// firstReadPeriod is the time after the first start of a fleet in which no tenant sends requests
// yet, so that the store cannot lose the term of a granter.
const firstReadPeriod = 5 * time.Second

// setEra records the era of a kind; t.mu must be held.
func (t *tracker) setEra(kind platform.Kind, era uint64) {
	isFirst := t.eras[kind] == 0
	t.eras[kind] = era
	if kind != platform.KindMeshState {
		return
	}
	t.eraSince = quotasync.BootClock()
	if isFirst && t.deps.settings.IsFirstStart && t.eraSince < t.startedAt+firstReadPeriod {
		t.eraSince = math.MinInt64 / 2 // The fleet has known no other era.
	}
}

// storeEraSince returns the era of the store as far as it is known, and since when on the
// boot clock.
func (t *tracker) storeEraSince() (since time.Duration, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.eraSince, t.eras[platform.KindMeshState]
}

// keepsLostWrites reports whether the known object of a name is kept while the store has
// lost it. What this node itself writes is compared with the store instead.
func (t *tracker) keepsLostWrites(kind platform.Kind, name string) bool {
	return kind == platform.KindMeshState && name != t.entryName() &&
		(strings.HasPrefix(name, instancePrefix) || strings.HasPrefix(name, rolloutPrefix) || strings.HasPrefix(name, inUsePrefix))
}

// isLostWrite reports whether o, just read, is an older state of an object whose later one
// the store has lost; t.mu must be held. known is the version that was read before.
func (t *tracker) isLostWrite(kind platform.Kind, o platform.Object, known string) bool {
	if !t.keepsLostWrites(kind, o.Name) || known == "" {
		return false
	}
	era, revision := platform.SplitVersion(parseRevision(o.ResourceVersion))
	knownEra, knownRevision := platform.SplitVersion(parseRevision(known))
	return mesh.IsLostWrite(
		mesh.ObjectVersion{Era: knownEra, Revision: knownRevision},
		mesh.ObjectVersion{Era: era, Revision: revision, WrittenIn: mesh.StoredEra(o.Value)},
	)
}

// keepLostWrite keeps the decoded object of a name although the store has lost it; t.mu
// must be held. stored is what the store has instead, nil if nothing.
func (t *tracker) keepLostWrite(name string, stored *platform.Object) {
	t.lostWrites[name] = lostWrite{stored: stored, until: t.deps.now().Add(lostWritePeriod)}
	notify(t.lostWritesWake)
}

// expireLostWrites ends the use of instance entries that their nodes, and of evacuations that
// the operator has not stored again.
func (t *tracker) expireLostWrites(ctx context.Context) {
	for ctx.Err() == nil {
		next, expired := t.takeExpiredLostWrites()
		if expired {
			t.refresh(platform.KindMeshState)
		}
		nextEvacuation, expired := t.takeExpiredEvacuations()
		if expired {
			t.refresh(platform.KindEvacuation)
		}
		if next.IsZero() || !nextEvacuation.IsZero() && nextEvacuation.Before(next) {
			next = nextEvacuation
		}
		var due <-chan time.Time // Never, without lost writes.
		if !next.IsZero() {
			due = time.After(next.Sub(t.deps.now()))
		}
		select {
		case <-ctx.Done():
		case <-t.lostWritesWake:
		case <-due:
		}
	}
}

// takeExpiredLostWrites applies what the store has instead of the entries whose time is
// over. next is when the next ones expire, zero if there are none.
func (t *tracker) takeExpiredLostWrites() (next time.Time, expired bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.now()
	for name, lost := range t.lostWrites {
		switch {
		case !strings.HasPrefix(name, instancePrefix):
			// Progress and versions in use are stored again by the nodes that know them.
		case now.Before(lost.until):
			if next.IsZero() || lost.until.Before(next) {
				next = lost.until
			}
		default:
			expired = true
			delete(t.lostWrites, name)
			delete(t.instances, name)
			if lost.stored == nil {
				continue
			}
			if err := t.decode(platform.KindMeshState, *lost.stored); err != nil {
				t.deps.log.event("object_refused", fields{"kind": string(platform.KindMeshState), "name": name, "error": err.Error()})
			}
		}
	}
	return next, expired
}

// rewriteProgress stores the progress of rollouts again that the store has lost. The nodes
// of the new version's endpoints are ranked, and each lower rank acts a little later.
func (t *tracker) rewriteProgress(ctx context.Context) {
	table, now := t.deps.table.Load(), t.deps.now()
	var due []rollout.Progress
	t.mu.Lock()
	for name, lost := range t.lostWrites {
		p, ok := t.progress[name]
		if !ok {
			continue
		}
		rank := slices.Index(table.RankedInstances(p.Service, p.Version), t.deps.settings.Instance)
		lostAt := lost.until.Add(-lostWritePeriod)
		if rank >= 0 && now.Sub(lostAt) >= time.Duration(rank)*inUseRankDelay {
			due = append(due, p)
		}
	}
	t.mu.Unlock()
	for _, p := range due {
		f := fields{"service": p.Service, "version": p.Version, "phase": string(p.Phase), "reason": "the store has lost the progress"}
		if err := t.writeProgress(ctx, p); err != nil {
			f["error"] = err.Error()
		}
		t.deps.log.event("rollout_step", f)
	}
}

// storeEra returns the era of the store as far as it is known.
func (t *tracker) storeEra() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.eras[platform.KindMeshState]
}
