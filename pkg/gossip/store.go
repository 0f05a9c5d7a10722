package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ExpiryFunc returns the time at which an item with the given payload expires, or
// false if it never expires. The result must depend on the payload only, so that
// all nodes expire the item at the same time.
type ExpiryFunc func(payload []byte) (at time.Time, ok bool)

// entry is one stored item.
type entry struct {
	key       string
	payload   []byte
	keyHash   uint64
	hash      uint64 // of key and payload
	expiresAt time.Time
}

// topicStore holds the items of one topic and the sums of their hashes, in total
// and per bucket.
type topicStore struct {
	name    Topic
	merge   MergeFunc
	expiry  ExpiryFunc
	items   map[string]*entry
	buckets [bucketCount]bucket
	hashSum uint64
	// nextExpiry is not later than the earliest expiry of an item.
	nextExpiry time.Time
}

type bucket struct {
	entries map[uint64]*entry // by key hash
	hashSum uint64
}

func newTopicStore(name Topic, merge MergeFunc, expiry ExpiryFunc) *topicStore {
	return &topicStore{name: name, merge: merge, expiry: expiry, items: make(map[string]*entry)}
}

func bucketOf(keyHash uint64) int { return int(keyHash % bucketCount) }

func itemHash(key string, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(payload)
	return d.Sum64()
}

func (t *topicStore) put(key string, payload []byte, expiresAt time.Time) {
	if old, ok := t.items[key]; ok {
		t.remove(old)
	}
	e := &entry{
		key: key, payload: payload, keyHash: xxhash.Sum64String(key),
		hash: itemHash(key, payload), expiresAt: expiresAt,
	}
	b := &t.buckets[bucketOf(e.keyHash)]
	if b.entries == nil {
		b.entries = make(map[uint64]*entry)
	}
	b.entries[e.keyHash] = e
	b.hashSum += e.hash
	t.hashSum += e.hash
	t.items[key] = e
	if !expiresAt.IsZero() && (t.nextExpiry.IsZero() || expiresAt.Before(t.nextExpiry)) {
		t.nextExpiry = expiresAt
	}
}

func (t *topicStore) remove(e *entry) {
	b := &t.buckets[bucketOf(e.keyHash)]
	delete(b.entries, e.keyHash)
	b.hashSum -= e.hash
	t.hashSum -= e.hash
	delete(t.items, e.key)
}

// expire removes the items that have expired.
func (t *topicStore) expire(now time.Time) {
	if t.nextExpiry.IsZero() || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for _, e := range t.items {
		switch {
		case e.expiresAt.IsZero():
		case !now.Before(e.expiresAt):
			t.remove(e)
		case t.nextExpiry.IsZero() || e.expiresAt.Before(t.nextExpiry):
			t.nextExpiry = e.expiresAt
		}
	}
}

func (t *topicStore) expiresAt(payload []byte) time.Time {
	if t.expiry == nil {
		return time.Time{}
	}
	at, ok := t.expiry(payload)
	if !ok {
		return time.Time{}
	}
	return at
}

func (t *topicStore) bucketSums() []byte {
	bucketSums := make([]byte, 0, bucketCount*hashBytes)
	for i := range t.buckets {
		bucketSums = appendHash(bucketSums, t.buckets[i].hashSum)
	}
	return bucketSums
}

// differingBuckets returns the mask of the buckets whose hash sum differs from
// the one in sums.
func (t *topicStore) differingBuckets(sums []byte) (mask uint64) {
	for i := range t.buckets {
		if t.buckets[i].hashSum != hashAt(sums, i) {
			mask |= 1 << i
		}
	}
	return mask
}

// sortedEntries returns the entries of a bucket ordered by key hash.
func (b *bucket) sortedEntries() []*entry {
	list := make([]*entry, 0, len(b.entries))
	for _, e := range b.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(x, y *entry) int {
		if x.keyHash < y.keyHash {
			return -1
		}
		return 1
	})
	return list
}
