package distribution

import (
	"cmp"
	"slices"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// keptChanges is the number of recent change ids in the head. A resend of an
// older change is judged by its base version.
const keptChanges = 64

// Version identifies one accepted configuration. The zero value is none.
type Version struct {
	Number uint64 `cbor:"1,keyasint"`
	Digest string `cbor:"2,keyasint"`
}

// change records which version an operator's change became.
type change struct {
	ID      string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Digest  string `cbor:"3,keyasint"`
}

// head is the value of the KindConfigHead object.
type head struct {
	Manifest dynamic.Manifest `cbor:"1,keyasint"`
	Changes  []change         `cbor:"2,keyasint"`
}

func (h head) find(id string) (change, bool) {
	i := slices.IndexFunc(h.Changes, func(c change) bool { return c.ID == id })
	if i < 0 {
		return change{}, false
	}
	return h.Changes[i], true
}

func versionOf(m dynamic.Manifest) Version { return Version{Number: m.Version, Digest: m.Digest} }

// VersionAnnouncement says which version is in force. It is the payload of topic config.
type VersionAnnouncement struct {
	Version Version `cbor:"1,keyasint"`
	// Lease and Fence prove a reader's role. Lease is empty if the announcer is the
	// node that wrote the head.
	Lease        string `cbor:"2,keyasint"`
	FencingToken uint64 `cbor:"3,keyasint"`
}

// compare orders announcements; the higher one wins a merge.
func (a VersionAnnouncement) compare(b VersionAnnouncement) int {
	return cmp.Or(
		cmp.Compare(a.Version.Number, b.Version.Number),
		cmp.Compare(a.Version.Digest, b.Version.Digest),
		cmp.Compare(a.Lease, b.Lease),
		cmp.Compare(a.FencingToken, b.FencingToken),
	)
}

// operation says what a message of transport.KindDistribution asks for.
type operation uint8

const (
	// opStatus asks for the version in force, or waits until it is above the base.
	opStatus operation = iota + 1
	// opPull asks for a manifest above the base, with the parts that changed.
	opPull
	// opParts asks for parts by digest.
	opParts
)

type request struct {
	Op operation `cbor:"1,keyasint"`
	// Base is the version that the requester has in force.
	Base Version `cbor:"2,keyasint"`
	// WaitMillis is the time that the peer may wait for a version above Base.
	WaitMillis int      `cbor:"3,keyasint"`
	Digests    []string `cbor:"4,keyasint"`
}

type reply struct {
	Version Version `cbor:"1,keyasint"`
	// Full means that Refs lists all parts instead of those that differ from the base.
	Full    bool              `cbor:"2,keyasint"`
	Refs    []dynamic.PartRef `cbor:"3,keyasint"`
	Removed []string          `cbor:"4,keyasint"`
	// Parts are contents; their digests are computed by the receiver.
	Parts [][]byte `cbor:"5,keyasint"`
}

func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		// All wire types encode; only a programming error can get here.
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

// MergeAnnouncements implements gossip.Merge for topic config: the higher version wins.
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

// diff returns the refs of next that base lacks and the names that next lacks.
func diff(base, next dynamic.Manifest) (changed []dynamic.PartRef, removed []string) {
	before := make(map[string]string, len(base.Parts))
	for _, ref := range base.Parts {
		before[ref.Name] = ref.Digest
	}
	for _, ref := range next.Parts {
		if before[ref.Name] != ref.Digest {
			changed = append(changed, ref)
		}
		delete(before, ref.Name)
	}
	for name := range before {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// patch is the inverse of diff.
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
