package idempotency

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// keyHash is the truncated SHA-256 of a key with its customer, service and route.
type keyHash [16]byte

// claimID identifies one call of Service.Claim, so that its retried requests and writes
// are recognised as its own.
type claimID [8]byte

// entryKind is the kind of an entry of a segment.
type entryKind uint8

const (
	entryClaim entryKind = iota + 1
	// entryRelease releases a claim whose call did not run.
	entryRelease
	// entryResponse records the response of the call of a claim.
	entryResponse
)

// entry is one record of a segment. Segments are append-only logs: an entry is never
// changed.
type entry struct {
	_           struct{} `cbor:",toarray"`
	Kind        entryKind
	Key         keyHash
	ID          claimID
	Fingerprint uint64
	// At is the time of the entry in Unix seconds by the clock of the owner.
	At int64
	// Answer is the recorded response of an entryResponse.
	Answer []byte
}

// maxEntryBytes is the maximum encoded size of an entry without its response.
const maxEntryBytes = 56

func (e entry) maxEncodedBytes() int { return maxEntryBytes + len(e.Answer) }

// segment is the value of a KindIdempotencySegment object.
type segment struct {
	Sequence uint64  `cbor:"1,keyasint"`
	Entries  []entry `cbor:"2,keyasint"`
	// Closed means that further entries go to the next segment.
	Closed bool `cbor:"3,keyasint"`
}

// newest returns the time of the newest entry.
func (s segment) newest() time.Time {
	var newest int64
	for _, e := range s.Entries {
		newest = max(newest, e.At)
	}
	return time.Unix(newest, 0)
}

// segmentIndex names the open segment of a shard. It may be outdated.
type segmentIndex struct {
	OpenSequence uint64 `cbor:"1,keyasint"`
}

type operation uint8

const (
	opClaim operation = iota + 1
	opComplete
)

// request is a message of transport.KindIdempotency.
type request struct {
	Op          operation `cbor:"1,keyasint"`
	Shard       int       `cbor:"2,keyasint"`
	Key         keyHash   `cbor:"3,keyasint"`
	ID          claimID   `cbor:"4,keyasint"`
	Fingerprint uint64    `cbor:"5,keyasint"`
	// WaitMillis is the time for which the claimant waits for the reply.
	WaitMillis int64  `cbor:"6,keyasint"`
	NotRun     bool   `cbor:"7,keyasint"`
	Response   []byte `cbor:"8,keyasint"`
}

// ClaimStatus is the owner's reply to a claim.
type ClaimStatus uint8

// The results of a claim.
const (
	// Granted means that the claim is stored and no other call holds the key.
	Granted ClaimStatus = iota + 1
	// InUse means that another call claimed the key.
	InUse
	// Recorded means the same, and that the response of that call is known.
	Recorded
	// FingerprintMismatch means that the key was claimed with another fingerprint.
	FingerprintMismatch
	// StoreUnavailable means that the claim could not be stored in time.
	StoreUnavailable
	// NotOwner means that the node does not own the shard.
	NotOwner
)

type reply struct {
	Result   ClaimStatus `cbor:"1,keyasint"`
	Response []byte      `cbor:"2,keyasint"`
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
	err := cbor.Unmarshal(data, &value)
	return value, eris.Wrap(err, "decode idempotency record")
}

func decodeRequest(data []byte) (request, error) {
	r, err := decode[request](data)
	if err == nil && (r.Shard < 0 || r.Shard >= ShardCount || len(r.Response) > MaxResponseBytes) {
		err = eris.New("idempotency request with unknown shard or too long answer")
	}
	return r, err
}
