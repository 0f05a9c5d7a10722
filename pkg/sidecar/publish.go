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

func (t *tracker) entryName() string { return instancePrefix + t.deps.settings.Instance }

// ownEntry returns the instance entry of this node as it should be stored.
func (t *tracker) ownEntry() mesh.Instance {
	s := t.deps.settings
	endpoints, ended := t.admission.endpointsToPublish()
	slices.SortFunc(endpoints, func(a, b mesh.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	crashes, acquittals := t.admission.crashes.toPublish()
	entry := mesh.Instance{
		Name: s.Instance, Address: s.InboundAddress, FailureDomain: s.FailureDomain, Region: s.Region, Endpoints: endpoints, EndedEndpoints: ended,
		Crashes: crashes, Acquittals: acquittals, Era: t.eras[platform.KindMeshState],
	}
	if s.QuotaWindow > 0 {
		entry.CPUShare = s.CPUShare // Only granters of quotas are ranked by it.
	}
	return entry
}

// publish keeps the stored instance entry of this node equal to its local endpoints.
func (t *tracker) publish(ctx context.Context) {
	retry := newBackoff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.publishWake:
		}
		retry.Reset()
		for ctx.Err() == nil {
			t.mu.Lock()
			changeCount := t.changeCount
			t.mu.Unlock()
			err := t.publishOnce(ctx)
			if err == nil {
				t.recordPublished(changeCount)
				break
			}
			t.deps.log.event("publish_failed", fields{"error": err.Error()})
			sleep(ctx, retry.NextBackOff())
		}
	}
}

// recordPublished records that the first changeCount changes are stored.
func (t *tracker) recordPublished(changeCount uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storedCount = changeCount
	close(t.published)
	t.published = make(chan struct{})
}

// awaitPublished reports whether all changes made so far are stored within wait.
func (t *tracker) awaitPublished(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	t.mu.Lock()
	changeCount := t.changeCount
	t.mu.Unlock()
	for {
		t.mu.Lock()
		storedCount, published := t.storedCount, t.published
		t.mu.Unlock()
		if storedCount >= changeCount {
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
	entry, name := t.ownEntry(), t.entryName()
	entry.Stopping = t.deps.isInboundClosed.Load()
	stored, resourceVersion, isLoaded := t.instances[name], t.resourceVersions[platform.KindMeshState][name], t.loadedKinds[platform.KindMeshState]
	t.mu.Unlock()
	if !isLoaded || !t.admission.isRestored() {
		// Until then the stored entry may contain deregistrations that are not known
		// here.
		return eris.New("the store has not been read yet")
	}
	if resourceVersion != "" && sameEntry(stored, entry) && stored.Era >= entry.Era || resourceVersion == "" && len(entry.Endpoints) == 0 && len(entry.EndedEndpoints) == 0 {
		return nil
	}
	value, err := entry.Encode()
	if err != nil {
		return err
	}
	var written platform.Object
	if resourceVersion == "" {
		written, err = t.store.Create(ctx, platform.KindMeshState, name, value)
	} else {
		written, err = t.store.Update(ctx, platform.Object{Kind: platform.KindMeshState, Name: name, ResourceVersion: resourceVersion, Value: value})
	}
	if err == nil {
		t.recordWritten(platform.Object{Kind: platform.KindMeshState, Name: name, ResourceVersion: written.ResourceVersion, Value: value}, entry)
		t.deps.log.event("entry_published", fields{"endpoints": len(entry.Endpoints), "revision": written.ResourceVersion})
		return nil
	}
	t.reread(ctx, name)
	return err
}

// recordWritten records this node's entry as stored, unless a newer version was read in
// the meantime.
func (t *tracker) recordWritten(o platform.Object, entry mesh.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isOlder(o.ResourceVersion, t.resourceVersions[o.Kind][o.Name]) {
		return
	}
	t.instances[o.Name], t.resourceVersions[o.Kind][o.Name], t.objects[o.Kind][o.Name] = entry, o.ResourceVersion, o
}

// recordOwnEntry is called with t.mu held after a version of this node's entry was read
// that this node has not recorded as its own write. It may be another writer's, so
// that the entry is compared and, if it differs, stored again.
func (t *tracker) recordOwnEntry(err error) {
	if err != nil {
		delete(t.instances, t.entryName())
	}
	if t.admission.isRestored() {
		notify(t.publishWake)
	}
}

// reread reads the object of the given name again after a write that failed because the
// resource version had changed, or whose outcome is not known.
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

// sameEntry reports whether two instance entries are equal, ignoring the remaining
// warm-up times and the era in which they were written. The latter tells the next process of the
// node whether the store may have lost a later entry.
func sameEntry(a, b mesh.Instance) bool {
	if a.Stopping != b.Stopping || a.Address != b.Address || a.FailureDomain != b.FailureDomain || a.Region != b.Region || a.CPUShare != b.CPUShare {
		return false
	}
	return slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y mesh.Endpoint) bool {
		x.WarmupMs, y.WarmupMs = 0, 0
		return x == y
	}) && slices.Equal(a.EndedEndpoints, b.EndedEndpoints) && mesh.SameCrashes(a, b)
}

// markStopping publishes this node's entry as stopping. Its endpoints stay stored for
// the next process.
func (t *tracker) markStopping() { t.endpointsChanged() }
