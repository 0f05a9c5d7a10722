package gossip

import (
	"encoding/binary"
	"math/bits"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Bounds of messages and items in bytes.
const (
	// maxItemsBytes bounds the items of one message. A longer transfer continues
	// in further messages, so that it delays pings by some milliseconds only.
	maxItemsBytes   = 256 << 10
	maxPayloadBytes = 64 << 10
	maxKeyBytes     = 256
	// maxSummaries bounds the item hashes of one message, 16 bytes each.
	maxSummaries = 4096
)

// bucketCount is the number of groups into which a topic's items are divided
// for comparison. It is the number of bits of Summary.Mask.
const bucketCount = 64

const (
	hashBytes    = 8
	summaryBytes = 2 * hashBytes
)

// Message is what nodes send each other. Absent parts are empty.
type Message struct {
	// From is the address of the sender.
	From    string   `cbor:"1,keyasint"`
	Items   []Item   `cbor:"2,keyasint,omitempty"`
	Digests []Digest `cbor:"3,keyasint,omitempty"`
	// BucketSums answers Digests with topics that differ.
	BucketSums []BucketSums `cbor:"4,keyasint,omitempty"`
	// ItemHashes answers Buckets with the items of buckets that differ.
	ItemHashes []ItemHashes `cbor:"5,keyasint,omitempty"`
	// ItemRequests asks for items that differ.
	ItemRequests []ItemRequest `cbor:"6,keyasint,omitempty"`
	// Truncated says that the comparison was cut short and must be repeated.
	Truncated bool `cbor:"7,keyasint,omitempty"`
}

// Digest is the sum of all item hashes of a topic.
type Digest struct {
	Topic   Topic  `cbor:"1,keyasint"`
	HashSum uint64 `cbor:"2,keyasint"`
}

// BucketSums holds the sum of item hashes of each bucket of a topic, 8 bytes each.
type BucketSums struct {
	Topic Topic  `cbor:"1,keyasint"`
	Sums  []byte `cbor:"2,keyasint"`
}

// ItemHashes lists the items of the buckets in Mask as pairs of key hash and item
// hash, 8 bytes each.
type ItemHashes struct {
	Topic      Topic  `cbor:"1,keyasint"`
	BucketMask uint64 `cbor:"2,keyasint"`
	Hashes     []byte `cbor:"3,keyasint"`
}

// ItemRequest lists key hashes, 8 bytes each.
type ItemRequest struct {
	Topic     Topic  `cbor:"1,keyasint"`
	KeyHashes []byte `cbor:"2,keyasint"`
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxMapPairs: 16,
		MaxArrayElements: 64 << 10, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// DecodeMessage decodes and checks a received message.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := decodeMode.Unmarshal(data, &m); err != nil {
		return Message{}, eris.Wrap(err, "decode gossip message")
	}
	return m, m.check()
}

func (m *Message) check() error {
	for _, buckets := range m.BucketSums {
		if len(buckets.Sums) != bucketCount*hashBytes {
			return eris.Errorf("%d bytes of bucket sums", len(buckets.Sums))
		}
	}
	for _, summary := range m.ItemHashes {
		if len(summary.Hashes)%summaryBytes != 0 {
			return eris.Errorf("%d bytes of item hashes", len(summary.Hashes))
		}
	}
	for _, want := range m.ItemRequests {
		if len(want.KeyHashes)%hashBytes != 0 {
			return eris.Errorf("%d bytes of key hashes", len(want.KeyHashes))
		}
	}
	return nil
}

func (m *Message) empty() bool {
	return len(m.Items) == 0 && len(m.Digests) == 0 && len(m.BucketSums) == 0 &&
		len(m.ItemHashes) == 0 && len(m.ItemRequests) == 0
}

func (i *Item) size() int { return len(i.Topic) + len(i.Key) + len(i.Payload) }

func (i *Item) valid() bool { return len(i.Key) <= maxKeyBytes && len(i.Payload) <= maxPayloadBytes }

func appendHash(to []byte, hash uint64) []byte { return binary.BigEndian.AppendUint64(to, hash) }

func hashAt(from []byte, index int) uint64 {
	return binary.BigEndian.Uint64(from[index*hashBytes:])
}

// bucketsOf calls visit for each bucket in mask, in ascending order.
func bucketsOf(mask uint64, visit func(bucket int)) {
	for ; mask != 0; mask &= mask - 1 {
		visit(bits.TrailingZeros64(mask))
	}
}
