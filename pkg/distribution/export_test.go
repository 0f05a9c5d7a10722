package distribution

import (
	"context"

	"github.com/azurespring/azurespring/pkg/platform"
)

// WithLowerFencingToken returns an announcement with its fencing token lowered by one.
func WithLowerFencingToken(payload []byte) ([]byte, error) {
	a, err := decodeAnnouncement(payload)
	a.FencingToken--
	return encode(a), err
}

// WatchPlatform is a baseline without distribution between nodes: it watches the head
// in the platform, reads the changed parts and reports each version.
func WatchPlatform(ctx context.Context, store platform.Store, seen func(version uint64)) error {
	known := make(map[string]bool)
	readParts := func(o platform.Object) error {
		h, err := decodeHead(o.Value)
		if err != nil {
			return err
		}
		for _, ref := range h.Manifest.Parts {
			if known[ref.Digest] {
				continue
			}
			if _, err := store.Get(ctx, platform.KindConfigPart, partPrefix+ref.Digest); err != nil {
				return err
			}
			known[ref.Digest] = true
		}
		seen(h.Manifest.Version)
		return nil
	}
	objects, resourceVersion, err := store.List(ctx, platform.KindConfigHead)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if err := readParts(o); err != nil {
			return err
		}
	}
	return store.Watch(ctx, platform.KindConfigHead, resourceVersion, func(e platform.Event) error { return readParts(e.Object) })
}
