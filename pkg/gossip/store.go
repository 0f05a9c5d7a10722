package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ExpiryFunc returns the time at which an item with payload is dropped, or false if
// it is kept. It depends on the payload only, so that nodes agree.
type ExpiryFunc func(payload []byte) (at time.Time, ok bool)

// entry is one stored item.
type entry struct {
	key     string
	payload []byte
	keyHash uint64
	hash    uint64 // of key and payload
	expires time.Time
}

// topicStore holds the items of one topic with the sums of their hashes.
type topicStore struct {
	name    Topic
	merge   MergeFunc
	expiry  ExpiryFunc
	items   map[string]*entry
	buckets [bucketCount]bucket
	sum     uint64
	// nextExpiry is not later than the earliest expiry of an item.
	nextExpiry time.Time
}

type bucket struct {
	entries map[uint64]*entry // by key hash
	sum     uint64
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

func (t *topicStore) put(key string, payload []byte, expires time.Time) {
	if old, ok := t.items[key]; ok {
		t.drop(old)
	}
	e := &entry{
		key: key, payload: payload, keyHash: xxhash.Sum64String(key),
		hash: itemHash(key, payload), expires: expires,
	}
	b := &t.buckets[bucketOf(e.keyHash)]
	if b.entries == nil {
		b.entries = make(map[uint64]*entry)
	}
	b.entries[e.keyHash] = e
	b.sum += e.hash
	t.sum += e.hash
	t.items[key] = e
	if !expires.IsZero() && (t.nextExpiry.IsZero() || expires.Before(t.nextExpiry)) {
		t.nextExpiry = expires
	}
}

func (t *topicStore) drop(e *entry) {
	b := &t.buckets[bucketOf(e.keyHash)]
	delete(b.entries, e.keyHash)
	b.sum -= e.hash
	t.sum -= e.hash
	delete(t.items, e.key)
}

// expire drops items whose time has come.
func (t *topicStore) expire(now time.Time) {
	if t.nextExpiry.IsZero() || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for _, e := range t.items {
		switch {
		case e.expires.IsZero():
		case !now.Before(e.expires):
			t.drop(e)
		case t.nextExpiry.IsZero() || e.expires.Before(t.nextExpiry):
			t.nextExpiry = e.expires
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

func (t *topicStore) sums() []byte {
	sums := make([]byte, 0, bucketCount*hashBytes)
	for i := range t.buckets {
		sums = appendHash(sums, t.buckets[i].sum)
	}
	return sums
}

// differing returns the mask of buckets whose sum is not the one in sums.
func (t *topicStore) differing(sums []byte) (mask uint64) {
	for i := range t.buckets {
		if t.buckets[i].sum != hashAt(sums, i) {
			mask |= 1 << i
		}
	}
	return mask
}

// sorted returns the entries of a bucket in the order of their key hashes.
func (b *bucket) sorted() []*entry {
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
