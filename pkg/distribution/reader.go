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

// fetchTimeout bounds one attempt to read a version from the platform.
const fetchTimeout = 2 * time.Minute

// reader watches the head while this node holds the reader's lease.
type reader struct {
	s *Service

	mu     sync.Mutex
	head   head
	cancel context.CancelFunc
	// superseded ends the fetch of a head that is no longer the newest.
	superseded context.CancelFunc
	done       sync.WaitGroup
}

func (r *reader) start(ctx context.Context) {
	r.stop()
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	r.done.Go(func() { r.watch(ctx) })
	r.done.Go(func() { r.collectGarbage(ctx) })
	if r.s.o.BootstrapAddresses != nil {
		r.done.Go(func() { r.writeContacts(ctx) })
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
	r.done.Wait()
}

// watch follows the head and replaces the watch whenever it breaks.
func (r *reader) watch(ctx context.Context) {
	delay := newBackOff()
	for ctx.Err() == nil {
		started := time.Now()
		err := r.watchOnce(ctx)
		if time.Since(started) > maxStoreRetry {
			delay.Reset()
		}
		r.s.logger.WithError(err).Debug("watch of the head ended")
		if wait(ctx, delay.NextBackOff(), err) != nil {
			return
		}
	}
}

func (r *reader) watchOnce(ctx context.Context) error {
	objects, version, err := r.s.o.Store.List(ctx, platform.KindConfigHead)
	if err != nil {
		return err
	}
	stored, ok := lo.Find(objects, func(o platform.Object) bool { return o.Name == headName })
	if !ok {
		r.s.loop.Submit(ctx, HeadObserved{})
	} else if err := r.see(ctx, stored); err != nil {
		return err
	}
	return r.s.o.Store.Watch(ctx, platform.KindConfigHead, version, func(e platform.Event) error {
		if e.Object.Name != headName {
			return nil
		}
		if e.Type == platform.EventDeleted {
			r.s.loop.Submit(ctx, HeadObserved{})
			return nil
		}
		return r.see(ctx, e.Object)
	})
}

func (r *reader) see(ctx context.Context, stored platform.Object) error {
	h, err := decodeHead(stored.Value)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if r.superseded != nil && versionOf(r.head.Manifest) != versionOf(h.Manifest) {
		r.superseded()
	}
	r.head = h
	r.mu.Unlock()
	r.s.noteHead(h)
	r.s.loop.Submit(ctx, HeadObserved{Version: versionOf(h.Manifest)})
	return nil
}

// fetch reads a version that the head names.
func (r *reader) fetch(ctx context.Context, version Version) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r.mu.Lock()
	h := r.head
	r.superseded = cancel
	r.mu.Unlock()
	if versionOf(h.Manifest) != version {
		r.s.loop.Submit(context.WithoutCancel(ctx), FetchFailed{Version: version})
		return
	}
	c, err := r.s.load(ctx, h)
	var invalid *InvalidError
	switch {
	case errors.As(err, &invalid):
		r.s.loop.Submit(context.WithoutCancel(ctx), VersionRejected{Version: version, Reason: err.Error()})
	case err != nil:
		r.s.logger.WithError(err).Warn("version could not be read from the platform")
		r.s.loop.Submit(context.WithoutCancel(ctx), FetchFailed{Version: version})
	default:
		r.s.versions.prepare(c)
		r.s.loop.Submit(context.WithoutCancel(ctx), VersionPrepared{Version: version, Source: SourcePlatform})
	}
}

// writeBack stores the version in force in a head that is older or differs.
func (r *reader) writeBack(ctx context.Context, e WriteBack) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := r.tryWriteBack(ctx, e); err != nil {
		r.s.logger.WithError(err).Warn("version in force could not be written back")
	}
	r.s.loop.Submit(context.WithoutCancel(ctx), WriteBackEnded{})
}

func (r *reader) tryWriteBack(ctx context.Context, e WriteBack) error {
	active, _ := r.s.versions.current()
	if active == nil || versionOf(active.manifest) != e.Active {
		return eris.New("another version came into force")
	}
	h, stored, err := r.s.readHead(ctx)
	if err != nil {
		return err
	}
	if versionOf(h.Manifest) != e.Head {
		return eris.New("the head changed")
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
	next.Changes = slices.Clone(r.s.changes)
	r.s.mu.Unlock()
	if err := r.s.checkReader(); err != nil {
		return err
	}
	return r.s.writeHead(ctx, stored, next)
}
