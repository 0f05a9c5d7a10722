package membership

import (
	"bytes"
	"cmp"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// deadRetention is how long records of dead and left members are retained, so
// that an old copy of a record cannot revive them.
const deadRetention = 10 * time.Minute

// maxTargets bounds the targets of one member. A node only has the targets of its
// instance; the bound limits the cost of a malformed record.
const maxTargets = 64

var encodeMode, decodeMode = newCBORModes()

func newCBORModes() (cbor.EncMode, cbor.DecMode) {
	encode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	decode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxMapPairs: 32,
		MaxArrayElements: 4096, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return encode, decode
}

// EncodeMember returns the gossip item of a record.
func EncodeMember(m Member) (gossip.Item, error) {
	payload, err := encodeMode.Marshal(m)
	if err != nil {
		return gossip.Item{}, eris.Wrap(err, "encode member record")
	}
	return gossip.Item{Topic: gossip.TopicMembers, Key: m.Instance, Payload: payload}, nil
}

// DecodeMember decodes and validates a record.
func DecodeMember(payload []byte) (Member, error) {
	var m Member
	if err := decodeMode.Unmarshal(payload, &m); err != nil {
		return Member{}, eris.Wrap(err, "decode member record")
	}
	if m.Instance == "" || m.Address == "" || m.State < Alive || m.State > Left || len(m.Targets) > maxTargets {
		return Member{}, eris.Errorf("invalid record of member %q", m.Instance)
	}
	return m, nil
}

// MergeRecords is the merge rule of topic member. The higher (incarnation,
// sequence, state) wins. Of records that differ only in the time at which the
// state was declared the earlier one wins, so that a second node that declares
// the same state changes nothing.
func MergeRecords(current, incoming []byte) ([]byte, error) {
	in, err := DecodeMember(incoming)
	if err != nil {
		return nil, err
	}
	if current == nil {
		return incoming, nil
	}
	cur, err := DecodeMember(current)
	if err != nil {
		return nil, err
	}
	order := cmp.Or(compareRecords(&cur, &in), in.ChangedAt.Compare(cur.ChangedAt), bytes.Compare(current, incoming))
	if order >= 0 {
		return current, nil
	}
	return incoming, nil
}

func compareRecords(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
	)
}

// RecordExpiry is the expiry rule of topic member: records of dead and left
// members expire after deadRetention.
func RecordExpiry(payload []byte) (time.Time, bool) {
	m, err := DecodeMember(payload)
	if err != nil || m.State < Dead {
		return time.Time{}, false
	}
	return time.UnixMilli(m.ChangedAt.Millis).Add(deadRetention), true
}

// isPresent reports whether a member in state s is part of views.
func (s State) isPresent() bool { return s == Alive || s == Suspect }

// withState returns m with a new state, declared at the given time.
func withState(m Member, state State, at timeline.Timestamp) Member {
	m.State, m.ChangedAt = state, at
	return m
}

// superseded returns the record, in state Left, of a member whose address newer
// has taken over. It depends on the two records only, so that all nodes derive
// the same bytes.
func superseded(old, newer Member) Member {
	at := timeline.Timestamp{Millis: max(old.ChangedAt.Millis, int64(min(newer.Incarnation, 1<<62)))}
	return withState(old, Left, at)
}
