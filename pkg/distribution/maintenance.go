package distribution

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

const (
	// deletionInterval is the pause after each deleted part.
	deletionInterval = time.Second
	// maxBootstrapAddresses is the number of bootstrap addresses stored per region.
	maxBootstrapAddresses = 20
)

// collectGarbage periodically deletes parts that have been unreferenced for at least
// GCMinAge.
func (r *reader) collectGarbage(ctx context.Context) {
	firstSeen := make(map[string]time.Time)
	ticker := time.NewTicker(r.s.o.GCInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.sweep(ctx, firstSeen); err != nil {
			r.s.logger.WithError(err).Warn("garbage collection of unreferenced parts failed")
		}
	}
}

// sweep lists all parts and deletes those that have been unreferenced at the same
// resource version for at least GCMinAge. A part that is written again gets another
// resource version, so that its age starts anew.
func (r *reader) sweep(ctx context.Context, firstSeen map[string]time.Time) error {
	stored, _, err := r.s.o.Store.List(ctx, platform.KindConfigPart)
	if err != nil {
		return err
	}
	referenced, err := r.referenced(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	unreferenced := lo.Reject(stored, func(o platform.Object, _ int) bool {
		return referenced[strings.TrimPrefix(o.Name, partPrefix)]
	})
	seen := make(map[string]bool, len(unreferenced))
	for _, o := range unreferenced {
		key := o.Name + "@" + o.ResourceVersion
		seen[key] = true
		since, known := firstSeen[key]
		if !known {
			firstSeen[key] = now
			continue
		}
		if now.Sub(since) < r.s.o.GCMinAge {
			continue
		}
		if err := r.deletePart(ctx, o); err != nil {
			return err
		}
	}
	for key := range firstSeen {
		if !seen[key] {
			delete(firstSeen, key)
		}
	}
	return nil
}

// referenced returns the digests of the parts in the head and in the active version.
func (r *reader) referenced(ctx context.Context) (map[string]bool, error) {
	h, _, err := r.s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	active, _ := r.s.versions.activeContents()
	if h.Manifest.Version == 0 || h.Manifest.Version < active.Version {
		return nil, eris.New("the configuration head is older than the active version")
	}
	referenced := make(map[string]bool)
	for _, ref := range slices.Concat(h.Manifest.Parts, active.Parts) {
		referenced[ref.Digest] = true
	}
	return referenced, nil
}

func (r *reader) deletePart(ctx context.Context, o platform.Object) error {
	referenced, err := r.referenced(ctx)
	if err != nil || referenced[strings.TrimPrefix(o.Name, partPrefix)] {
		return err
	}
	if err := r.s.checkReader(); err != nil {
		return err
	}
	if err := r.s.o.Store.Delete(ctx, o.Kind, o.Name, o.ResourceVersion); err != nil && !platform.IsNotApplied(err) {
		return eris.Wrapf(err, "delete %s", o.Name)
	}
	return wait(ctx, deletionInterval, nil)
}

// writeBootstrapAddresses keeps the bootstrap addresses of the region in the platform
// up to date.
func (r *reader) writeBootstrapAddresses(ctx context.Context) {
	ticker := time.NewTicker(r.s.o.BootstrapAddressesInterval)
	defer ticker.Stop()
	var written []string
	for {
		addresses := r.s.o.BootstrapAddresses()
		slices.Sort(addresses)
		addresses = lo.Slice(lo.Uniq(addresses), 0, maxBootstrapAddresses)
		if len(addresses) != 0 && !slices.Equal(addresses, written) {
			if err := r.storeBootstrapAddresses(ctx, addresses); err != nil {
				r.s.logger.WithError(err).Warn("bootstrap addresses could not be written to the platform")
			} else {
				written = addresses
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *reader) storeBootstrapAddresses(ctx context.Context, addresses []string) error {
	value := encode(addresses)
	stored, err := r.s.o.Store.Get(ctx, platform.KindContacts, r.s.o.Region)
	switch {
	case err == nil:
		stored.Value = value
		_, err = r.s.o.Store.Update(ctx, stored)
	case platform.IsNotApplied(err):
		_, err = r.s.o.Store.Create(ctx, platform.KindContacts, r.s.o.Region, value)
	}
	return err
}

// ReadBootstrapAddresses returns the node addresses that the reader of a region stored
// for joining nodes, or platform.ErrNotFound.
func ReadBootstrapAddresses(ctx context.Context, store platform.Store, region string) ([]string, error) {
	stored, err := store.Get(ctx, platform.KindContacts, region)
	if err != nil {
		return nil, err
	}
	var addresses []string
	err = cbor.Unmarshal(stored.Value, &addresses)
	return addresses, eris.Wrap(err, "decode bootstrap addresses")
}
