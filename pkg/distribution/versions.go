package distribution

import (
	"slices"
	"sync"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/rotisserie/eris"
)

// keptManifests is the number of manifests kept as bases of deltas. At 1,500
// changes a day, a node that missed 16 versions was away for a quarter of an
// hour on average.
const keptManifests = 16

// candidate is a complete version.
type candidate struct {
	manifest dynamic.Manifest
	// parts holds contents by digest.
	parts    map[string][]byte
	snapshot *dynamic.Snapshot
}

// newCandidate verifies, assembles and compiles a version. It fails unless all
// parts are there, match their digests and form a closed configuration; in the
// last case the error is an *InvalidError, since no other source can help.
func newCandidate(manifest dynamic.Manifest, contents map[string][]byte) (*candidate, error) {
	parts := make([]dynamic.Part, 0, len(manifest.Parts))
	kept := make(map[string][]byte, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		data, ok := contents[ref.Digest]
		if !ok {
			return nil, eris.Errorf("part %s of version %d is missing", ref.Name, manifest.Version)
		}
		parts = append(parts, dynamic.Part{Name: ref.Name, Digest: ref.Digest, Data: data})
		kept[ref.Digest] = data
	}
	if err := manifest.Verify(parts); err != nil {
		return nil, err
	}
	config, err := dynamic.DecodeParts(parts)
	if err != nil {
		return nil, &InvalidError{Cause: err}
	}
	snapshot, err := dynamic.Compile(manifest, config)
	if err != nil {
		return nil, &InvalidError{Cause: err}
	}
	return &candidate{manifest: manifest, parts: kept, snapshot: snapshot}, nil
}

// versions holds the version in force, prepared versions and recent manifests.
type versions struct {
	mu       sync.Mutex
	active   *candidate
	prepared map[Version]*candidate
	recent   []dynamic.Manifest
	// raised is closed and replaced at each activation.
	raised chan struct{}
}

func newVersions() *versions {
	return &versions{prepared: make(map[Version]*candidate), raised: make(chan struct{})}
}

// current returns the version in force, or nil, and a channel that is closed
// when the next one is.
func (v *versions) current() (*candidate, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.active, v.raised
}

func (v *versions) prepare(c *candidate) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prepared[versionOf(c.manifest)] = c
}

func (v *versions) drop(id Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.prepared, id)
}

// next returns a prepared version that is above the version in force, or nil.
func (v *versions) next(id Version) *candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.active != nil && v.active.manifest.Version >= id.Number {
		return nil
	}
	return v.prepared[id]
}

// activate records that c, which next returned, is in force, and wakes those who
// wait for it. Only the service's loop calls next and activate.
func (v *versions) activate(c *candidate) {
	v.mu.Lock()
	defer v.mu.Unlock()
	id := versionOf(c.manifest)
	v.active = c
	v.recent = append(v.recent, c.manifest)
	if len(v.recent) > keptManifests {
		v.recent = slices.Delete(v.recent, 0, len(v.recent)-keptManifests)
	}
	for other := range v.prepared {
		if other.Number <= id.Number {
			delete(v.prepared, other)
		}
	}
	close(v.raised)
	v.raised = make(chan struct{})
}

// manifest returns a recent manifest.
func (v *versions) manifest(match func(dynamic.Manifest) bool) (dynamic.Manifest, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := slices.IndexFunc(v.recent, match)
	if i < 0 {
		return dynamic.Manifest{}, false
	}
	return v.recent[i], true
}

// contents returns the parts in force by digest.
func (v *versions) contents() (dynamic.Manifest, map[string][]byte) {
	active, _ := v.current()
	if active == nil {
		return dynamic.Manifest{}, nil
	}
	return active.manifest, active.parts
}
