package distribution

import (
	"slices"
	"sync"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/rotisserie/eris"
)

// maxRetainedManifests is the number of recent manifests retained as bases of deltas.
// At 1,500 changes a day, 16 versions cover a quarter of an hour on average; a node
// that missed more receives a complete manifest.
const maxRetainedManifests = 16

// compiledVersion is a complete, verified and compiled version.
type compiledVersion struct {
	manifest dynamic.Manifest
	// parts holds the contents by digest.
	parts    map[string][]byte
	snapshot *dynamic.Snapshot
}

// compileVersion verifies, assembles and compiles a version. It fails unless all parts
// are present, match their digests and form a configuration whose references are all
// defined. In the last case the error is an *InvalidError, since the same version from
// another source would fail too.
func compileVersion(manifest dynamic.Manifest, contents map[string][]byte) (*compiledVersion, error) {
	parts := make([]dynamic.Part, 0, len(manifest.Parts))
	used := make(map[string][]byte, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		data, ok := contents[ref.Digest]
		if !ok {
			return nil, eris.Errorf("part %s of version %d is missing", ref.Name, manifest.Version)
		}
		parts = append(parts, dynamic.Part{Name: ref.Name, Digest: ref.Digest, Data: data})
		used[ref.Digest] = data
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
	return &compiledVersion{manifest: manifest, parts: used, snapshot: snapshot}, nil
}

// versions holds the active version, the prepared versions and the recent manifests.
type versions struct {
	mu              sync.Mutex
	active          *compiledVersion
	prepared        map[Version]*compiledVersion
	recentManifests []dynamic.Manifest
	// activated is closed and replaced at each activation.
	activated chan struct{}
}

func newVersions() *versions {
	return &versions{prepared: make(map[Version]*compiledVersion), activated: make(chan struct{})}
}

// activeVersion returns the active version, or nil, and a channel that is closed at the
// next activation.
func (v *versions) activeVersion() (*compiledVersion, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.active, v.activated
}

func (v *versions) prepare(c *compiledVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prepared[versionOf(c.manifest)] = c
}

func (v *versions) discard(id Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.prepared, id)
}

// preparedAboveActive returns the prepared version with this id if it is above the
// active version, otherwise nil.
func (v *versions) preparedAboveActive(id Version) *compiledVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.active != nil && v.active.manifest.Version >= id.Number {
		return nil
	}
	return v.prepared[id]
}

// activate makes c, which preparedAboveActive returned, the active version and wakes
// the waiters. Only the reducer loop calls these two functions.
func (v *versions) activate(c *compiledVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	id := versionOf(c.manifest)
	v.active = c
	v.recentManifests = append(v.recentManifests, c.manifest)
	if len(v.recentManifests) > maxRetainedManifests {
		v.recentManifests = slices.Delete(v.recentManifests, 0, len(v.recentManifests)-maxRetainedManifests)
	}
	for prepared := range v.prepared {
		if prepared.Number <= id.Number {
			delete(v.prepared, prepared)
		}
	}
	close(v.activated)
	v.activated = make(chan struct{})
}

// recentManifest returns the first recent manifest that matches.
func (v *versions) recentManifest(match func(dynamic.Manifest) bool) (dynamic.Manifest, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := slices.IndexFunc(v.recentManifests, match)
	if i < 0 {
		return dynamic.Manifest{}, false
	}
	return v.recentManifests[i], true
}

// activeContents returns the manifest of the active version and its parts by digest.
func (v *versions) activeContents() (dynamic.Manifest, map[string][]byte) {
	active, _ := v.activeVersion()
	if active == nil {
		return dynamic.Manifest{}, nil
	}
	return active.manifest, active.parts
}
