package distribution

import (
	"cmp"
	"slices"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxRetainedChanges is the number of recent change ids retained in the head. A retry
// of an older change is no longer recognised by its id and is checked against its base
// version only.
const maxRetainedChanges = 64

// Version identifies one accepted configuration. The zero value means none.
type Version struct {
	Number uint64 `cbor:"1,keyasint"`
	Digest string `cbor:"2,keyasint"`
}

// change records the version that resulted from a change of an operator.
type change struct {
	ID      string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Digest  string `cbor:"3,keyasint"`
}

// head is the configuration head: the value of the single KindConfigHead object, which
// names the current version.
type head struct {
	Manifest dynamic.Manifest `cbor:"1,keyasint"`
	Changes  []change         `cbor:"2,keyasint"`
}

func (h head) findChange(id string) (change, bool) {
	i := slices.IndexFunc(h.Changes, func(c change) bool { return c.ID == id })
	if i < 0 {
		return change{}, false
	}
	return h.Changes[i], true
}

func versionOf(m dynamic.Manifest) Version { return Version{Number: m.Version, Digest: m.Digest} }

// VersionAnnouncement announces an active version. It is the payload of the gossip
// topic config.
type VersionAnnouncement struct {
	Version Version `cbor:"1,keyasint"`
	// Lease and FencingToken identify the reader lease that the announcing node holds.
	// Lease is empty if the announcing node is the one that wrote the head, and in the
	// announcement of a conflict.
	Lease        string `cbor:"2,keyasint"`
	FencingToken uint64 `cbor:"3,keyasint"`
}

// compare orders announcements; a merge keeps the higher one.
func (a VersionAnnouncement) compare(b VersionAnnouncement) int {
	return cmp.Or(
		cmp.Compare(a.Version.Number, b.Version.Number),
		cmp.Compare(a.Version.Digest, b.Version.Digest),
		cmp.Compare(a.Lease, b.Lease),
		cmp.Compare(a.FencingToken, b.FencingToken),
	)
}

// operation is the kind of a request of transport.KindDistribution.
type operation uint8

const (
	// opStatus requests the active version; the reply may wait until it is above Base.
	opStatus operation = iota + 1
	// opPull requests a manifest above Base, with the parts that changed.
	opPull
	// opParts requests parts by digest.
	opParts
)

type request struct {
	Op operation `cbor:"1,keyasint"`
	// Base is the active version of the requester.
	Base Version `cbor:"2,keyasint"`
	// WaitMillis is the time for which the peer may hold back its reply until it has a
	// version above Base.
	WaitMillis int      `cbor:"3,keyasint"`
	Digests    []string `cbor:"4,keyasint"`
}

type reply struct {
	Version Version `cbor:"1,keyasint"`
	// Full means that Refs lists all parts instead of those that differ from Base.
	Full    bool              `cbor:"2,keyasint"`
	Refs    []dynamic.PartRef `cbor:"3,keyasint"`
	Removed []string          `cbor:"4,keyasint"`
	// Parts are part contents; the receiver computes their digests.
	Parts [][]byte `cbor:"5,keyasint"`
}

func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		// All message types can be encoded, so this is a programming error.
		panic(err)
	}
	return data
}

func decode[T any](data []byte) (T, error) {
	var value T
	if err := cbor.Unmarshal(data, &value); err != nil {
		return value, eris.Wrap(err, "decode distribution message")
	}
	return value, nil
}

func decodeHead(data []byte) (head, error) {
	h, err := decode[head](data)
	if err == nil && (h.Manifest.Version == 0 || h.Manifest.Digest == "") {
		err = eris.New("head without version or digest")
	}
	return h, err
}

func decodeAnnouncement(data []byte) (VersionAnnouncement, error) {
	a, err := decode[VersionAnnouncement](data)
	if err == nil && (a.Version.Number == 0 || a.Version.Digest == "") {
		err = eris.New("announcement without version or digest")
	}
	return a, err
}

// MergeAnnouncements implements gossip.Merge for topic config: it keeps the higher
// announcement.
func MergeAnnouncements(current, incoming []byte) ([]byte, error) {
	next, err := decodeAnnouncement(incoming)
	if err != nil {
		return nil, err
	}
	if len(current) == 0 {
		return incoming, nil
	}
	before, err := decodeAnnouncement(current)
	if err != nil || next.compare(before) > 0 {
		return incoming, nil
	}
	return current, nil
}

// diff returns the part references of next that base lacks and the names of the parts
// of base that next lacks.
func diff(base, next dynamic.Manifest) (changed []dynamic.PartRef, removed []string) {
	baseDigests := make(map[string]string, len(base.Parts))
	for _, ref := range base.Parts {
		baseDigests[ref.Name] = ref.Digest
	}
	for _, ref := range next.Parts {
		if baseDigests[ref.Name] != ref.Digest {
			changed = append(changed, ref)
		}
		delete(baseDigests, ref.Name)
	}
	for name := range baseDigests {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// patch applies the result of diff in a reply to base and returns the new manifest.
func patch(base dynamic.Manifest, r reply) dynamic.Manifest {
	refs := make(map[string]dynamic.PartRef, len(base.Parts)+len(r.Refs))
	if !r.Full {
		for _, ref := range base.Parts {
			refs[ref.Name] = ref
		}
		for _, name := range r.Removed {
			delete(refs, name)
		}
	}
	for _, ref := range r.Refs {
		refs[ref.Name] = ref
	}
	next := dynamic.Manifest{Version: r.Version.Number, Digest: r.Version.Digest}
	for _, ref := range refs {
		next.Parts = append(next.Parts, ref)
	}
	slices.SortFunc(next.Parts, func(a, b dynamic.PartRef) int { return cmp.Compare(a.Name, b.Name) })
	return next
}
