// Package gossip replicates keyed items to all nodes: it floods changes along an
// overlay of neighbours and repairs differences by anti-entropy syncs.
package gossip

// Topic groups items that share a merge rule.
type Topic string

// Topics of azurespring.
const (
	TopicMembers    Topic = "member"
	TopicConfig     Topic = "config"
	TopicMoves      Topic = "move"
	TopicQuarantine Topic = "quarantine"
)

// Item is one replicated value.
type Item struct {
	Topic   Topic  `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Payload []byte `cbor:"3,keyasint"`
}

// MergeFunc returns the payload that results from current and incoming. It is
// commutative, associative and idempotent, and returns an error if incoming is
// malformed.
type MergeFunc func(current, incoming []byte) (merged []byte, err error)

// Publisher publishes items. Publish merges the item into the local copy and
// forwards it to the neighbours if the copy changed.
type Publisher interface {
	Publish(item Item)
}

// Subscriber is called with each changed item of a topic, after the merge.
type Subscriber func(item Item)
