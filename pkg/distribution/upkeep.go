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
	// garbagePause is the time between two deletions.
	garbagePause = time.Second
	// maxContacts is the number of addresses written for first contact.
	maxContacts = 20
)

// collectGarbage deletes parts that no head has referred to for a long time.
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
			r.s.logger.WithError(err).Warn("search for unreferenced parts failed")
		}
	}
}

// sweep lists all parts and deletes those that have been unreferenced, at the
// same version, since before GCMinAge. A part that is written again has
// another version and starts anew.
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

// referenced returns the digests in the head and in the version in force.
func (r *reader) referenced(ctx context.Context) (map[string]bool, error) {
	h, _, err := r.s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	active, _ := r.s.versions.contents()
	if h.Manifest.Version == 0 || h.Manifest.Version < active.Version {
		return nil, eris.New("the head is older than the version in force")
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
	return wait(ctx, garbagePause, nil)
}

// writeContacts keeps node addresses for first contact in the platform.
func (r *reader) writeContacts(ctx context.Context) {
	ticker := time.NewTicker(r.s.o.BootstrapAddressesInterval)
	defer ticker.Stop()
	var written []string
	for {
		addresses := r.s.o.BootstrapAddresses()
		slices.Sort(addresses)
		addresses = lo.Slice(lo.Uniq(addresses), 0, maxContacts)
		if len(addresses) != 0 && !slices.Equal(addresses, written) {
			if err := r.storeContacts(ctx, addresses); err != nil {
				r.s.logger.WithError(err).Warn("contacts could not be written")
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

func (r *reader) storeContacts(ctx context.Context, addresses []string) error {
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

// ReadBootstrapAddresses returns the addresses that the reader of a region wrote for first
// contact, or platform.ErrNotFound.
func ReadBootstrapAddresses(ctx context.Context, store platform.Store, region string) ([]string, error) {
	stored, err := store.Get(ctx, platform.KindContacts, region)
	if err != nil {
		return nil, err
	}
	var addresses []string
	err = cbor.Unmarshal(stored.Value, &addresses)
	return addresses, eris.Wrap(err, "decode contacts")
}
