// Package quarantine identifies requests that crash the targets which run them and
// blocks equal requests for a time.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/gossip"
)

// Duration is how long a fingerprint stays quarantined after its last crash.
// Crashes that are further apart than this are not counted together.
const Duration = 10 * time.Minute

// minCrashes is the number of crashes of different processes that quarantine a
// fingerprint. One is not enough, because any call in flight may have caused it.
const minCrashes = 2

// maxCrashes bounds the crashes recorded per fingerprint.
const maxCrashes = 4

// MaxHashedBodyBytes is the number of bytes from the start of the body that a
// fingerprint covers.
const MaxHashedBodyBytes = 64 << 10

// Fingerprint identifies equal requests.
type Fingerprint [sha256.Size]byte

// String returns the fingerprint in hex; it is the key of gossip items.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint is the inverse of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	if len(s) != hex.EncodedLen(len(f)) {
		return f, eris.Errorf("fingerprint has %d characters instead of 64", len(s))
	}
	if _, err := hex.Decode(f[:], []byte(s)); err != nil {
		return f, eris.Wrap(err, "decode fingerprint")
	}
	return f, nil
}

// Hasher computes a fingerprint while the body is forwarded.
type Hasher struct {
	hash           hash.Hash
	remainingBytes int
}

// NewHasher starts the fingerprint of a request.
func NewHasher(service, route, method, uri string) *Hasher {
	h := &Hasher{hash: sha256.New(), remainingBytes: MaxHashedBodyBytes}
	for _, part := range [...]string{service, route, method, uri} {
		_, _ = io.WriteString(h.hash, part)
		_, _ = h.hash.Write([]byte{0})
	}
	return h
}

// Write adds the next part of the body. It never fails.
func (h *Hasher) Write(p []byte) (int, error) {
	n := min(len(p), h.remainingBytes)
	_, _ = h.hash.Write(p[:n])
	h.remainingBytes -= n
	return len(p), nil
}

// Sum returns the fingerprint of the request with the body written so far.
func (h *Hasher) Sum() Fingerprint {
	var f Fingerprint
	h.hash.Sum(f[:0])
	return f
}

// Crash is one crash of a target process.
type Crash struct {
	// Process identifies the process that crashed.
	Process string `cbor:"1,keyasint"`
	// AtMicros is in microseconds since the Unix epoch.
	AtMicros int64 `cbor:"2,keyasint"`
}

// Record is the replicated state of one fingerprint.
type Record struct {
	// Crashes are the newest ones, newest first, each process once.
	Crashes []Crash `cbor:"1,keyasint"`
	// ClearedAtMicros is the time, in microseconds since the Unix epoch, at which the
	// newest call that completed ended. Crashes up to it don't count: a request that
	// completes does not crash its target.
	ClearedAtMicros int64 `cbor:"2,keyasint"`
}

// QuarantinedUntil returns the end of the quarantine, or the zero time if there is none.
func (r Record) QuarantinedUntil() time.Time {
	if len(r.Crashes) < minCrashes {
		return time.Time{}
	}
	newest, oldest := r.Crashes[0].AtMicros, r.Crashes[minCrashes-1].AtMicros
	if newest-oldest > Duration.Microseconds() {
		return time.Time{}
	}
	return time.UnixMicro(newest).Add(Duration)
}

// merge returns the union of the crashes, reduced to the newest ones. It is
// commutative, associative and idempotent.
func (r Record) merge(other Record) Record {
	merged := Record{ClearedAtMicros: max(r.ClearedAtMicros, other.ClearedAtMicros)}
	all := slices.Concat(r.Crashes, other.Crashes)
	slices.SortFunc(all, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.AtMicros, a.AtMicros), cmp.Compare(a.Process, b.Process))
	})
	seen := make(map[string]bool, len(all))
	for _, crash := range all {
		if seen[crash.Process] || crash.AtMicros <= merged.ClearedAtMicros || len(merged.Crashes) == maxCrashes {
			continue
		}
		seen[crash.Process] = true
		merged.Crashes = append(merged.Crashes, crash)
	}
	return merged
}

func (r Record) equal(other Record) bool {
	return r.ClearedAtMicros == other.ClearedAtMicros && slices.Equal(r.Crashes, other.Crashes)
}

func (r Record) isExpired(now time.Time) bool {
	newest := r.ClearedAtMicros
	if len(r.Crashes) > 0 {
		newest = max(newest, r.Crashes[0].AtMicros)
	}
	return now.UnixMicro()-newest > Duration.Microseconds()
}

var cborMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decode(payload []byte) (Record, error) {
	var r Record
	if len(payload) == 0 {
		return r, nil
	}
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return r, eris.Wrap(err, "decode quarantine record")
	}
	return r, nil
}

func encode(r Record) ([]byte, error) {
	payload, err := cborMode.Marshal(r)
	return payload, eris.Wrap(err, "encode quarantine record")
}

// Merge is the gossip.MergeFunc of gossip.TopicQuarantine.
func Merge(current, incoming []byte) ([]byte, error) {
	a, err := decode(current)
	if err != nil {
		return nil, err
	}
	b, err := decode(incoming)
	if err != nil {
		return nil, err
	}
	return encode(a.merge(b))
}

var _ gossip.MergeFunc = Merge
