package sidecar

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/platform"
)

// kindChanges holds the changes of the objects of one kind between two versions of the
// store. If IsFull is set, Objects are all objects of the kind.
type kindChanges struct {
	Kind    platform.Kind   `cbor:"1,keyasint"`
	AsOf    uint64          `cbor:"2,keyasint"`
	IsFull  bool            `cbor:"3,keyasint,omitempty"`
	Objects []changedObject `cbor:"4,keyasint,omitempty"`
	Removed []string        `cbor:"5,keyasint,omitempty"`
}

// changedObject is an object of the store in the changes that nodes send each other.
type changedObject struct {
	Name    string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint"`
}

// maxRemovals bounds the removed objects of a kind that are remembered. A node that knows
// an older version gets all objects of the kind.
const maxRemovals = 256

// recordRemoval remembers that an object was removed by the given version; t.mu must be
// held.
func (t *tracker) recordRemoval(kind platform.Kind, name string, asOf uint64) {
	if kind == platform.KindEvacuation {
		storeMax(&t.deps.newestEvacuationRevision, asOf)
	}
	if len(t.removals[kind]) >= maxRemovals || asOf == 0 {
		clear(t.removals[kind])
		t.removalsFrom[kind] = max(asOf, t.asOf[kind]+1)
		return
	}
	t.removals[kind][name] = asOf
}

// changesSince returns what has changed since the given versions of the kinds, and the
// versions that the changes lead to. Kinds without changes are left out.
func (t *tracker) changesSince(since map[platform.Kind]uint64) (changes []kindChanges, versions map[platform.Kind]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions = make(map[platform.Kind]uint64, len(t.kinds))
	for _, kind := range t.kinds {
		if !isAsked(kind, since) {
			continue
		}
		from, asOf := since[kind], t.asOf[kind]
		versions[kind] = max(from, asOf)
		if !t.loadedKinds[kind] || asOf <= from {
			continue
		}
		c := kindChanges{Kind: kind, AsOf: asOf, IsFull: from == 0 || from < t.removalsFrom[kind]}
		for name, o := range t.objects[kind] {
			if c.IsFull || parseRevision(o.ResourceVersion) > from {
				c.Objects = append(c.Objects, changedObject{Name: name, Version: o.ResourceVersion, Value: o.Value})
			}
		}
		for name, removedAt := range t.removals[kind] {
			if _, exists := t.objects[kind][name]; !exists && removedAt > from && !c.IsFull {
				c.Removed = append(c.Removed, name)
			}
		}
		changes = append(changes, c)
	}
	return changes, versions
}

// applyChanges applies what another node has sent. Changes that lead to an older version
// than the known one are ignored.
func (t *tracker) applyChanges(changes []kindChanges) error {
	for _, c := range changes {
		if _, isTracked := t.removals[c.Kind]; !isTracked {
			return eris.Errorf("changes of kind %.20q", c.Kind)
		}
		if !t.isNews(c) {
			continue
		}
		objects := make([]platform.Object, len(c.Objects))
		for i, o := range c.Objects {
			objects[i] = platform.Object{Kind: c.Kind, Name: o.Name, ResourceVersion: o.Version, Value: o.Value}
		}
		if c.IsFull {
			t.replaceView(c.Kind, objects, c.AsOf)
		} else {
			t.applyDelta(c, objects)
		}
		t.refresh(c.Kind)
	}
	return nil
}

func (t *tracker) isNews(c kindChanges) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.AsOf > t.asOf[c.Kind] && (c.IsFull || t.loadedKinds[c.Kind])
}

func (t *tracker) applyDelta(c kindChanges, objects []platform.Object) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range c.Removed {
		if parseRevision(t.resourceVersions[c.Kind][name]) <= c.AsOf {
			t.remove(c.Kind, name)
			t.recordRemoval(c.Kind, name, c.AsOf)
		}
	}
	for _, o := range objects {
		t.put(c.Kind, o)
	}
	t.asOf[c.Kind] = max(t.asOf[c.Kind], c.AsOf)
}

// encodeChanges encodes and compresses changes.
func encodeChanges(changes []kindChanges) ([]byte, error) {
	encoded, err := cbor.Marshal(changes)
	if err != nil {
		return nil, eris.Wrap(err, "encode changes")
	}
	return s2.EncodeBetter(nil, encoded), nil
}

// changesDecMode bounds what is allocated for changes: objects of 3,800 instances and more.
var changesDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 6, MaxMapPairs: 16, MaxArrayElements: 64 << 10,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

func decodeChanges(payload []byte) ([]kindChanges, error) {
	size, err := s2.DecodedLen(payload)
	if err != nil || size > maxStateBytes {
		return nil, eris.Errorf("changes of %d bytes cannot be decompressed: %v", size, err)
	}
	encoded, err := s2.Decode(nil, payload)
	if err != nil {
		return nil, eris.Wrap(err, "decompress changes")
	}
	var changes []kindChanges
	if err := changesDecMode.Unmarshal(encoded, &changes); err != nil {
		return nil, eris.Wrap(err, "decode changes")
	}
	return changes, nil
}

// frameCache holds the last encoded changes, because followers usually are at the same
// version.
type frameCache struct {
	key     string
	payload []byte
}

// encodedChangesSince returns the encoded changes since the given versions, nil if there
// are none, and the versions that they lead to.
func (t *tracker) encodedChangesSince(since map[platform.Kind]uint64) ([]byte, map[platform.Kind]uint64, error) {
	changes, versions := t.changesSince(since)
	if len(changes) == 0 {
		return nil, versions, nil
	}
	key := fmt.Sprint(since, versions)
	t.mu.Lock()
	cached := t.frames
	t.mu.Unlock()
	if cached.key == key {
		return cached.payload, versions, nil
	}
	payload, err := encodeChanges(changes)
	if err != nil {
		return nil, nil, err
	}
	t.mu.Lock()
	t.frames = frameCache{key: key, payload: payload}
	t.mu.Unlock()
	return payload, versions, nil
}
