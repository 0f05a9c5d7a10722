package sidecar

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/platform"
)

func (t *tracker) ownName() string { return instancePrefix + t.deps.settings.Instance }

func (t *tracker) ownEntry() mesh.Instance {
	s := t.deps.settings
	endpoints, ended := t.gate.published()
	slices.SortFunc(endpoints, func(a, b mesh.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return mesh.Instance{
		Name: s.Instance, Address: s.InboundAddress, FailureDomain: s.FailureDomain, Region: s.Region, Endpoints: endpoints, EndedEndpoints: ended,
	}
}

// publish keeps the stored entry of this node equal to its endpoints.
func (t *tracker) publish(ctx context.Context) {
	retry := newBackoff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		}
		retry.Reset()
		for ctx.Err() == nil {
			t.mu.Lock()
			wanted := t.wanted
			t.mu.Unlock()
			err := t.publishOnce(ctx)
			if err == nil {
				t.notePublished(wanted)
				break
			}
			t.deps.log.event("publish_failed", fields{"error": err.Error()})
			sleep(ctx, retry.NextBackOff())
		}
	}
}

// notePublished records that the changes up to a number are stored.
func (t *tracker) notePublished(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stored = number
	close(t.published)
	t.published = make(chan struct{})
}

// awaitPublished reports whether all changes made so far are stored within wait.
func (t *tracker) awaitPublished(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	t.mu.Lock()
	wanted := t.wanted
	t.mu.Unlock()
	for {
		t.mu.Lock()
		stored, published := t.stored, t.published
		t.mu.Unlock()
		if stored >= wanted {
			return true
		}
		select {
		case <-published:
		case <-timer.C:
			return false
		}
	}
}

func (t *tracker) publishOnce(ctx context.Context) error {
	t.mu.Lock()
	entry, name := t.ownEntry(), t.ownName()
	entry.Stopping = t.deps.withdrawn.Load()
	stored, version, loaded := t.instances[name], t.versions[name], t.loaded[platform.KindMeshState]
	t.mu.Unlock()
	if !loaded || !t.gate.isRestored() {
		// Until then the stored entry may tell of ends that are not known here.
		return eris.New("the store has not been read yet")
	}
	if version != "" && sameEntry(stored, entry) || version == "" && len(entry.Endpoints) == 0 && len(entry.EndedEndpoints) == 0 {
		return nil
	}
	value, err := entry.Encode()
	if err != nil {
		return err
	}
	var written platform.Object
	if version == "" {
		written, err = t.store.Create(ctx, platform.KindMeshState, name, value)
	} else {
		written, err = t.store.Update(ctx, platform.Object{Kind: platform.KindMeshState, Name: name, ResourceVersion: version, Value: value})
	}
	if err == nil {
		t.mu.Lock()
		t.instances[name], t.versions[name] = entry, written.ResourceVersion
		t.mu.Unlock()
		t.deps.log.event("entry_published", fields{"endpoints": len(entry.Endpoints), "revision": written.ResourceVersion})
		return nil
	}
	t.reread(ctx, name)
	return err
}

// reread takes in what is stored under a name after a write whose outcome is not
// known, or that met another version.
func (t *tracker) reread(ctx context.Context, name string) {
	o, err := t.store.Get(ctx, platform.KindMeshState, name)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.put(platform.KindMeshState, o)
	case errors.Is(err, platform.ErrNotFound):
		t.remove(platform.KindMeshState, name)
	default:
		t.deps.log.event("store_read_failed", fields{"name": name, "error": err.Error()})
	}
}

// sameEntry compares entries apart from the time that a slow start still takes.
func sameEntry(a, b mesh.Instance) bool {
	if a.Stopping != b.Stopping || a.Address != b.Address || a.FailureDomain != b.FailureDomain || a.Region != b.Region {
		return false
	}
	return slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y mesh.Endpoint) bool {
		x.WarmupMs, y.WarmupMs = 0, 0
		return x == y
	}) && slices.Equal(a.EndedEndpoints, b.EndedEndpoints)
}

// withdraw marks this node's entry as stopping. What it says of endpoints stays
// stored for the next process.
func (t *tracker) withdraw() { t.endpointsChanged() }
