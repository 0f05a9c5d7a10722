package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/platform"
)

// rolloutPollInterval is the time between two evaluations of the active rollouts.
const rolloutPollInterval = 200 * time.Millisecond

// advanceRollouts steps the rollout state machine and performs the writes that it
// requests.
func (t *tracker) advanceRollouts(ctx context.Context) {
	for {
		active := t.deps.rollouts.activeRollouts()
		wait := time.Hour
		if len(active) > 0 || t.deps.rollouts.hasUnstored() {
			wait = rolloutPollInterval
		} else if len(t.inUseDueSince) > 0 {
			wait = inUsePollInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-t.rolloutWake:
			timer.Stop()
		}
		if t.deps.table.Load() == nil {
			continue
		}
		t.storeVersionsInUse(ctx)
		t.rewriteProgress(ctx)
		effects := t.deps.rollouts.step(rollout.Event{Kind: rollout.Tick, Roles: t.rolloutRoles()})
		for _, effect := range effects {
			t.execute(ctx, effect)
		}
	}
}

// rolloutRoles returns the role of this node in each active rollout, by service.
func (t *tracker) rolloutRoles() map[string]rollout.NodeRole {
	rolloutRoles := make(map[string]rollout.NodeRole)
	table := t.deps.table.Load()
	for _, r := range t.deps.rollouts.activeRollouts() {
		rolloutRoles[r.Service] = rollout.NodeRole{
			Rank:     slices.Index(table.DecidingInstances(r.Service, r.Version, t.deps.canaryOrder(r.Service)), t.deps.settings.Instance),
			Analysis: t.admission.analysis(r.Service, r.Version),
		}
	}
	for _, r := range t.deps.rollouts.unstoredRollouts() {
		ranked := table.RankedInstances(r.Service, r.Version)
		if len(ranked) == 0 {
			// The endpoints of a version that was rolled back are gone.
			ranked = table.RankedInstances(r.Service, t.deps.rollouts.versionInUse(r.Service))
		}
		rolloutRoles[r.Service] = rollout.NodeRole{Rank: -1, RestoreRank: slices.Index(ranked, t.deps.settings.Instance)}
	}
	return rolloutRoles
}

// execute performs one write that the rollout state machine requested.
func (t *tracker) execute(ctx context.Context, effect rollout.Effect) {
	analysis := t.admission.analysis(effect.Rollout.Service, effect.Rollout.Version)
	f := fields{
		"service": effect.Rollout.Service, "version": effect.Rollout.Version, "reason": effect.Reason,
		"answers": analysis.Results, "compared": analysis.Compared, "slow": analysis.Slow, "fast": analysis.Fast,
	}
	var err error
	if effect.Kind == rollout.WriteState {
		f["state"] = string(effect.State)
		if effect.State == mesh.RolloutCompleted {
			// The old version's endpoints stop at once. What comes after this rollout depends
			// on the version in use.
			err = t.writeInUse(ctx, rollout.InUse{Service: effect.Rollout.Service, Version: effect.Rollout.Version})
		}
		if err == nil {
			err = t.writeState(ctx, effect)
		}
	} else {
		f["phase"] = string(effect.Progress.Phase)
		err = t.writeProgress(ctx, effect.Progress)
	}
	if err != nil {
		f["error"] = err.Error()
	}
	t.deps.log.event("rollout_step", f)
}

func (t *tracker) writeState(ctx context.Context, effect rollout.Effect) error {
	value, err := t.codec.EncodeRolloutState(effect.Rollout.Version, effect.State)
	if err != nil {
		return err
	}
	_, err = t.store.Update(ctx, platform.Object{
		Kind: platform.KindRolloutState, Name: effect.Rollout.Service, ResourceVersion: effect.Rollout.Revision, Value: value,
	})
	if err == nil || !errors.Is(err, platform.ErrConflict) {
		return err
	}
	// Another node wrote in the meantime; the stored state determines the next step.
	o, getErr := t.store.Get(ctx, platform.KindRollout, effect.Rollout.Service)
	if getErr == nil {
		t.apply(platform.KindRollout, platform.Event{Type: platform.EventPut, Object: o})
	}
	return errors.Join(err, getErr)
}

func (t *tracker) writeProgress(ctx context.Context, p rollout.Progress) error {
	p.Era = t.storeEra()
	return t.writeMeshState(ctx, rolloutPrefix+p.Service, p)
}

func (t *tracker) writeInUse(ctx context.Context, u rollout.InUse) error {
	if t.deps.rollouts.versionInUse(u.Service) == u.Version && t.isInUseStored(u.Service) {
		return nil
	}
	u.Era = t.storeEra()
	return t.writeMeshState(ctx, inUsePrefix+u.Service, u)
}

// isInUseStored reports whether the version in use of a service is what was last read from
// the store.
func (t *tracker) isInUseStored(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := inUsePrefix + service
	version := t.resourceVersions[platform.KindMeshState][name]
	if _, isLost := t.lostWrites[name]; isLost {
		return false
	}
	return version != "" && t.objects[platform.KindMeshState][name].ResourceVersion == version
}

// writeMeshState stores an object unless another node has changed it.
func (t *tracker) writeMeshState(ctx context.Context, name string, content any) error {
	value, err := json.Marshal(content)
	if err != nil {
		return eris.Wrapf(err, "encode %s", name)
	}
	t.mu.Lock()
	version := t.resourceVersions[platform.KindMeshState][name]
	t.mu.Unlock()
	var written platform.Object
	if version == "" {
		written, err = t.store.Create(ctx, platform.KindMeshState, name, value)
	} else {
		written, err = t.store.Update(ctx, platform.Object{Kind: platform.KindMeshState, Name: name, ResourceVersion: version, Value: value})
	}
	if err != nil {
		t.reread(ctx, name)
		return err
	}
	t.apply(platform.KindMeshState, platform.Event{Type: platform.EventPut, Object: written})
	return nil
}

// Times of storing the version in use: between two looks whether it is due, and the delay
// per rank of a node, so that usually only one node writes.
const (
	inUsePollInterval = 500 * time.Millisecond
	inUseRankDelay    = 700 * time.Millisecond
	// maxInUsePollGap is the time without a look after which what was seen before does not
	// count: the process may have been paused, and the endpoints may have been back meanwhile.
	maxInUsePollGap = 3 * time.Second
)

// storeVersionsInUse stores the version in use of each service for which that is due. The
// nodes with endpoints of the version are ranked, and each lower rank acts a little later.
func (t *tracker) storeVersionsInUse(ctx context.Context) {
	now, table := t.deps.now(), t.deps.table.Load()
	if now.Sub(t.inUsePolledAt) > maxInUsePollGap {
		t.inUseDueSince = nil
	}
	t.inUsePolledAt = now
	due := make(map[rollout.InUse]time.Time)
	for _, service := range table.Services() {
		version, delay, ok := t.deps.rollouts.serviceView(service, table, t.isInUseStored(service)).NextInUse()
		if !ok {
			continue
		}
		next := rollout.InUse{Service: service, Version: version}
		since, isKnown := t.inUseDueSince[next]
		if !isKnown {
			since = now
		}
		due[next] = since
		rank := slices.Index(table.RankedInstances(service, version), t.deps.settings.Instance)
		if rank < 0 || now.Sub(since) < delay+time.Duration(rank)*inUseRankDelay {
			continue
		}
		f := fields{"service": service, "version": version, "reason": "the version in use"}
		if err := t.writeInUse(ctx, next); err != nil {
			f["error"] = err.Error()
		}
		t.deps.log.event("rollout_step", f)
	}
	t.inUseDueSince = due
}
