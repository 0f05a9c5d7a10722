package distribution

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

// fetchTimeout bounds one attempt to read a version from the platform or to write one
// back.
const fetchTimeout = 2 * time.Minute

// reader is the configuration reader of a region. It watches the head while this node
// holds the reader lease.
type reader struct {
	s *Service

	mu     sync.Mutex
	head   head
	cancel context.CancelFunc
	// cancelFetch cancels the fetch in progress when the head names another version.
	cancelFetch context.CancelFunc
	background  sync.WaitGroup
}

func (r *reader) start(ctx context.Context) {
	r.stop()
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	r.background.Go(func() { r.watch(ctx) })
	r.background.Go(func() { r.collectGarbage(ctx) })
	if r.s.o.BootstrapAddresses != nil {
		r.background.Go(func() { r.writeBootstrapAddresses(ctx) })
	}
}

func (r *reader) stop() {
	r.mu.Lock()
	cancel := r.cancel
	r.cancel = nil
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	r.background.Wait()
}

// watch watches the head and starts a new watch whenever one ends.
func (r *reader) watch(ctx context.Context) {
	delay := newPlatformBackOff()
	for ctx.Err() == nil {
		started := time.Now()
		err := r.watchOnce(ctx)
		if time.Since(started) > maxPlatformRetryDelay {
			delay.Reset()
		}
		r.s.logger.WithError(err).Debug("watch of the configuration head ended")
		if wait(ctx, delay.NextBackOff(), err) != nil {
			return
		}
	}
}

func (r *reader) watchOnce(ctx context.Context) error {
	objects, resourceVersion, err := r.s.o.Store.List(ctx, platform.KindConfigHead)
	if err != nil {
		return err
	}
	stored, ok := lo.Find(objects, func(o platform.Object) bool { return o.Name == headName })
	if !ok {
		r.s.loop.Submit(ctx, HeadObserved{})
	} else if err := r.recordHead(ctx, stored); err != nil {
		return err
	}
	return r.s.o.Store.Watch(ctx, platform.KindConfigHead, resourceVersion, func(e platform.Event) error {
		if e.Object.Name != headName {
			return nil
		}
		if e.Type == platform.EventDeleted {
			r.s.loop.Submit(ctx, HeadObserved{})
			return nil
		}
		return r.recordHead(ctx, e.Object)
	})
}

func (r *reader) recordHead(ctx context.Context, stored platform.Object) error {
	h, err := decodeHead(stored.Value)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if r.cancelFetch != nil && versionOf(r.head.Manifest) != versionOf(h.Manifest) {
		r.cancelFetch()
	}
	r.head = h
	r.mu.Unlock()
	r.s.recordChanges(h)
	r.s.loop.Submit(ctx, HeadObserved{Version: versionOf(h.Manifest)})
	return nil
}

// fetch reads the version that the head names from the platform.
func (r *reader) fetch(ctx context.Context, version Version) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r.mu.Lock()
	h := r.head
	r.cancelFetch = cancel
	r.mu.Unlock()
	if versionOf(h.Manifest) != version {
		r.s.loop.Submit(context.WithoutCancel(ctx), FetchFailed{Version: version})
		return
	}
	c, err := r.s.loadFromPlatform(ctx, h)
	var invalid *InvalidError
	switch {
	case errors.As(err, &invalid):
		r.s.loop.Submit(context.WithoutCancel(ctx), VersionRejected{Version: version, Reason: err.Error()})
	case err != nil:
		r.s.logger.WithError(err).Warn("configuration version could not be read from the platform")
		r.s.loop.Submit(context.WithoutCancel(ctx), FetchFailed{Version: version})
	default:
		r.s.versions.prepare(c)
		r.s.loop.Submit(context.WithoutCancel(ctx), VersionPrepared{Version: version, Source: SourcePlatform})
	}
}

// writeBack stores the active version in a head that is older or has another digest
// under the same version number.
func (r *reader) writeBack(ctx context.Context, e WriteBack) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := r.writeBackOnce(ctx, e); err != nil {
		r.s.logger.WithError(err).Warn("active version could not be written back to the platform")
	}
	r.s.loop.Submit(context.WithoutCancel(ctx), WriteBackEnded{})
}

func (r *reader) writeBackOnce(ctx context.Context, e WriteBack) error {
	active, _ := r.s.versions.activeVersion()
	if active == nil || versionOf(active.manifest) != e.Active {
		return eris.New("another version became active before the write-back")
	}
	h, stored, err := r.s.readHead(ctx)
	if err != nil {
		return err
	}
	if versionOf(h.Manifest) != e.Head {
		return eris.New("the configuration head changed before the write-back")
	}
	parts := lo.Map(active.manifest.Parts, func(ref dynamic.PartRef, _ int) dynamic.Part {
		return dynamic.Part{Name: ref.Name, Digest: ref.Digest, Data: active.parts[ref.Digest]}
	})
	if err := r.s.ensureParts(ctx, h.Manifest, parts); err != nil {
		return err
	}
	next := head{Manifest: active.manifest}
	if e.IncrementVersion {
		next.Manifest = dynamic.NewManifest(active.manifest.Version+1, parts)
	}
	r.s.mu.Lock()
	next.Changes = slices.Clone(r.s.recentChanges)
	r.s.mu.Unlock()
	if err := r.s.checkReader(); err != nil {
		return err
	}
	return r.s.writeHead(ctx, stored, next)
}
