package sidecar

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/upstream"
	"github.com/azurespring/azurespring/pkg/platform"
)

// followKind keeps the view of one kind up to date from the store: it lists the objects,
// unless a view is known from which it can go on, then watches for changes.
func (t *tracker) followKind(ctx context.Context, kind platform.Kind) {
	retry := newBackoff()
	for ctx.Err() == nil {
		version, err := t.versionToWatch(ctx, kind)
		if err == nil {
			if t.recordStoreReached(kind) {
				t.deps.log.event("store_regained", fields{"kind": string(kind)})
			}
			retry.Reset()
			err = t.store.Watch(ctx, kind, version, func(event platform.Event) error {
				if event.Type != platform.EventBookmark {
					t.apply(kind, event)
				}
				if !event.MoreFollow {
					t.confirmFromStore(kind, event.KnownAt)
				}
				return nil
			})
			if errors.Is(err, platform.ErrWatchExpired) {
				t.forgetVersion(kind)
				continue
			}
		}
		if ctx.Err() != nil {
			return
		}
		if t.recordStoreLost(kind) {
			t.deps.log.event("store_lost", fields{"kind": string(kind), "error": err.Error()})
		}
		sleep(ctx, retry.NextBackOff())
	}
}

// versionToWatch returns the version from which a kind is watched. Without a view of the
// kind, and to see whether a store that was lost is back, it reads the list first.
func (t *tracker) versionToWatch(ctx context.Context, kind platform.Kind) (string, error) {
	t.mu.Lock()
	asOf, isLost := t.asOf[kind], !t.lostKinds[kind].IsZero()
	t.mu.Unlock()
	if asOf > 0 && !isLost {
		return strconv.FormatUint(asOf, 10), nil
	}
	askedAt := t.deps.now()
	objects, version, err := t.store.List(ctx, kind)
	if err != nil {
		return "", err
	}
	defer t.confirmFromStore(kind, askedAt)
	t.replaceView(kind, objects, parseRevision(version))
	t.refresh(kind)
	return version, nil
}

// forgetVersion lets the next versionToWatch read the list.
func (t *tracker) forgetVersion(kind platform.Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf[kind] = 0
}

// recordStoreLost records that a kind cannot be read and reports whether it could before.
func (t *tracker) recordStoreLost(kind platform.Kind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lostKinds[kind].IsZero() {
		return false
	}
	t.lostKinds[kind] = t.deps.now()
	return true
}

// recordStoreReached records that a kind can be read and reports whether it could not
// before.
func (t *tracker) recordStoreReached(kind platform.Kind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasLost := !t.lostKinds[kind].IsZero()
	delete(t.lostKinds, kind)
	return wasLost
}

// Fractions of ConfigurationApplyTimeout that a node waits after another node has reported
// something newer: before it asks that node, and then before it reads the store. Its own
// source, which pauses for less after a change, usually delivers it first.
const (
	pullDelayFraction  = 0.27
	fetchDelayFraction = 0.03
)

// fetchNewer gets the configuration and the rollouts after another node reported newer
// ones.
func (t *tracker) fetchNewer(ctx context.Context) {
	wait := func(fraction float64) {
		sleep(ctx, time.Duration(fraction*float64(t.deps.settings.ConfigurationApplyTimeout)))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.fetchWake:
		}
		wait(pullDelayFraction)
		if !t.isBehind() || ctx.Err() != nil {
			continue
		}
		if address := t.deps.newerAt.Load(); address != nil && t.pull(ctx, upstream.Peer{Address: *address}) == nil && !t.isBehind() {
			continue
		}
		wait(fetchDelayFraction)
		if newest := t.deps.newestConfigVersion.Load(); newest > t.deps.configVersion() && ctx.Err() == nil {
			t.fetchConfiguration(ctx, newest)
		}
		if newest := t.deps.newestRolloutRevision.Load(); newest > t.deps.rolloutRevision.Load() && ctx.Err() == nil {
			t.fetchRollouts(ctx, newest)
		}
		if t.deps.isBehindEvacuations() && ctx.Err() == nil {
			t.fetchEvacuations(ctx, t.deps.newestEvacuationRevision.Load())
		}
	}
}

// isBehind reports whether another node has reported something that is not known here.
func (t *tracker) isBehind() bool {
	return t.deps.newestConfigVersion.Load() > t.deps.configVersion() || t.deps.newestRolloutRevision.Load() > t.deps.rolloutRevision.Load() ||
		t.deps.isBehindEvacuations()
}

func (t *tracker) fetchConfiguration(ctx context.Context, newest uint64) {
	o, err := t.store.Get(ctx, platform.KindConfiguration, t.codec.ConfigurationName())
	if err != nil {
		t.deps.log.event("store_read_failed", fields{"name": t.codec.ConfigurationName(), "error": err.Error()})
		return
	}
	t.deps.log.event("configuration_fetched", fields{"heard": newest, "revision": o.ResourceVersion})
	t.apply(platform.KindConfiguration, platform.Event{Type: platform.EventPut, Object: o})
}

func (t *tracker) fetchRollouts(ctx context.Context, newest uint64) {
	objects, revision, err := t.store.List(ctx, platform.KindRollout)
	if err != nil {
		t.deps.log.event("store_read_failed", fields{"name": string(platform.KindRollout), "error": err.Error()})
		return
	}
	t.deps.log.event("rollouts_fetched", fields{"heard": newest, "revision": revision})
	for _, o := range objects {
		t.apply(platform.KindRollout, platform.Event{Type: platform.EventPut, Object: o})
	}
}
