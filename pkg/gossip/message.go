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
	// in further messages, so that it delays pings by only a few milliseconds.
	maxItemsBytes   = 256 << 10
	maxPayloadBytes = 64 << 10
	maxKeyBytes     = 256
	// maxSummaries bounds the items summarized in one message by a key hash and an
	// item hash, 16 bytes each.
	maxSummaries = 4096
)

// bucketCount is the number of buckets into which the items of a topic are
// divided for anti-entropy syncs. It is the number of bits of
// ItemHashes.BucketMask.
const bucketCount = 64

const (
	hashBytes    = 8
	summaryBytes = 2 * hashBytes
)

// Message is a gossip message between two nodes. All fields but From are optional.
type Message struct {
	// From is the address of the sender.
	From    string   `cbor:"1,keyasint"`
	Items   []Item   `cbor:"2,keyasint,omitempty"`
	Digests []Digest `cbor:"3,keyasint,omitempty"`
	// BucketSums replies to Digests with the bucket sums of the topics that differ.
	BucketSums []BucketSums `cbor:"4,keyasint,omitempty"`
	// ItemHashes replies to BucketSums with the item hashes of the buckets that
	// differ.
	ItemHashes []ItemHashes `cbor:"5,keyasint,omitempty"`
	// ItemRequests replies to ItemHashes with requests for the items that differ.
	ItemRequests []ItemRequest `cbor:"6,keyasint,omitempty"`
	// Truncated says that a size limit truncated this sync, so another one is needed.
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

// ItemHashes lists the items of the buckets in BucketMask as pairs of key hash and item
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

// DecodeMessage decodes and validates a received message.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := decodeMode.Unmarshal(data, &m); err != nil {
		return Message{}, eris.Wrap(err, "decode gossip message")
	}
	return m, m.validate()
}

func (m *Message) validate() error {
	for _, buckets := range m.BucketSums {
		if len(buckets.Sums) != bucketCount*hashBytes {
			return eris.Errorf("%d bytes of bucket sums", len(buckets.Sums))
		}
	}
	for _, itemHashes := range m.ItemHashes {
		if len(itemHashes.Hashes)%summaryBytes != 0 {
			return eris.Errorf("%d bytes of item hashes", len(itemHashes.Hashes))
		}
	}
	for _, request := range m.ItemRequests {
		if len(request.KeyHashes)%hashBytes != 0 {
			return eris.Errorf("%d bytes of key hashes", len(request.KeyHashes))
		}
	}
	return nil
}

func (m *Message) isEmpty() bool {
	return len(m.Items) == 0 && len(m.Digests) == 0 && len(m.BucketSums) == 0 &&
		len(m.ItemHashes) == 0 && len(m.ItemRequests) == 0
}

func (i *Item) size() int { return len(i.Topic) + len(i.Key) + len(i.Payload) }

func (i *Item) isWithinLimits() bool {
	return len(i.Key) <= maxKeyBytes && len(i.Payload) <= maxPayloadBytes
}

func appendHash(to []byte, hash uint64) []byte { return binary.BigEndian.AppendUint64(to, hash) }

func hashAt(from []byte, index int) uint64 {
	return binary.BigEndian.Uint64(from[index*hashBytes:])
}

// forEachBucket calls visit for each bucket in mask, in ascending order.
func forEachBucket(mask uint64, visit func(bucket int)) {
	for ; mask != 0; mask &= mask - 1 {
		visit(bits.TrailingZeros64(mask))
	}
}
