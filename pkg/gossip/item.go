// Package gossip replicates keyed items over all nodes by flooding along an
// overlay of neighbours and by anti-entropy.
package gossip

// Topic groups items that share a merge rule.
type Topic string

// The topics of azurespring.
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

// Publisher spreads items. Publish merges the item into the local copy and
// passes it on if that changed.
type Publisher interface {
	Publish(item Item)
}

// Subscriber is told of each local change of a topic, after the merge.
type Subscriber func(item Item)
