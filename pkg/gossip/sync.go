package gossip

import (
	"time"
)

// startSync sends the digests of all topics to the node at address, which starts
// an anti-entropy sync.
func (r *Reducer) startSync(address string) Effect {
	digests := make([]Digest, 0, len(r.topics))
	for _, t := range r.topics {
		digests = append(digests, Digest{Topic: t.name, HashSum: t.hashSum})
	}
	return r.send(address, Message{Digests: digests})
}

// receive applies the items of a message and sends at most one reply, the next
// step of the sync. If a truncated message brought new items, it also starts
// another sync.
func (r *Reducer) receive(now time.Time, m *Message) (effects []Effect) {
	for _, item := range m.Items {
		effects = append(effects, r.apply(now, item, m.From)...)
	}
	isAnyItemNew := len(effects) != 0
	var reply Message
	for _, d := range m.Digests {
		if t := r.topic(d.Topic); t != nil && t.hashSum != d.HashSum {
			reply.BucketSums = append(reply.BucketSums, BucketSums{Topic: t.name, Sums: t.bucketSums()})
		}
	}
	limit := replyLimit{bytes: maxItemsBytes, summaries: maxSummaries}
	for _, b := range m.BucketSums {
		if t := r.topic(b.Topic); t != nil {
			r.addItemHashes(&reply, &limit, t, t.differingBuckets(b.Sums))
		}
	}
	for _, s := range m.ItemHashes {
		if t := r.topic(s.Topic); t != nil {
			addDifferences(&reply, &limit, t, s)
			reply.Truncated = reply.Truncated || m.Truncated
		}
	}
	for _, request := range m.ItemRequests {
		if t := r.topic(request.Topic); t != nil {
			addRequestedItems(&reply, &limit, t, request)
		}
	}
	if !reply.isEmpty() {
		effects = append(effects, r.send(m.From, reply))
	}
	if m.Truncated && isAnyItemNew {
		effects = append(effects, r.startSync(m.From))
	}
	return effects
}

// replyLimit is what may still be added to one reply.
type replyLimit struct {
	bytes     int
	summaries int
}

// addItemHashes adds the item hashes of the buckets in mask to reply. It starts at
// a random bucket, so that repeated truncated syncs reach all buckets.
func (r *Reducer) addItemHashes(reply *Message, limit *replyLimit, t *topicStore, mask uint64) {
	itemHashes := ItemHashes{Topic: t.name}
	first := r.random.IntN(bucketCount)
	for i := range bucketCount {
		index := (first + i) % bucketCount
		b := &t.buckets[index]
		if mask&(1<<index) == 0 {
			continue
		}
		if len(b.entries) > limit.summaries && itemHashes.BucketMask != 0 {
			reply.Truncated = true
			continue
		}
		limit.summaries -= len(b.entries)
		itemHashes.BucketMask |= 1 << index
	}
	forEachBucket(itemHashes.BucketMask, func(index int) {
		for _, e := range t.buckets[index].sortedEntries() {
			itemHashes.Hashes = appendHash(appendHash(itemHashes.Hashes, e.keyHash), e.hash)
		}
	})
	if itemHashes.BucketMask != 0 {
		reply.ItemHashes = append(reply.ItemHashes, itemHashes)
	}
}

// addDifferences compares the item hashes s of the peer with the local items. It
// adds to reply the items that the peer does not have, and requests for those that
// this node does not have. Items that differ are both sent and requested.
func addDifferences(reply *Message, limit *replyLimit, t *topicStore, s ItemHashes) {
	peerHashes := make(map[uint64]uint64, len(s.Hashes)/summaryBytes)
	request := ItemRequest{Topic: t.name}
	for i := 0; i < len(s.Hashes)/hashBytes; i += 2 {
		keyHash, hash := hashAt(s.Hashes, i), hashAt(s.Hashes, i+1)
		if s.BucketMask&(1<<bucketOf(keyHash)) == 0 {
			continue
		}
		peerHashes[keyHash] = hash
		if e, ok := t.buckets[bucketOf(keyHash)].entries[keyHash]; !ok || e.hash != hash {
			request.KeyHashes = appendHash(request.KeyHashes, keyHash)
		}
	}
	if len(request.KeyHashes) != 0 {
		reply.ItemRequests = append(reply.ItemRequests, request)
	}
	forEachBucket(s.BucketMask, func(index int) {
		for _, e := range t.buckets[index].sortedEntries() {
			if hash, ok := peerHashes[e.keyHash]; !ok || hash != e.hash {
				reply.addItem(limit, t, e)
			}
		}
	})
}

// addRequestedItems adds to reply the items that the peer requested.
func addRequestedItems(reply *Message, limit *replyLimit, t *topicStore, request ItemRequest) {
	for i := range len(request.KeyHashes) / hashBytes {
		keyHash := hashAt(request.KeyHashes, i)
		if e, ok := t.buckets[bucketOf(keyHash)].entries[keyHash]; ok {
			reply.addItem(limit, t, e)
		}
	}
}

func (m *Message) addItem(limit *replyLimit, t *topicStore, e *entry) {
	item := Item{Topic: t.name, Key: e.key, Payload: e.payload}
	if limit.bytes < item.size() {
		m.Truncated = true
		return
	}
	limit.bytes -= item.size()
	m.Items = append(m.Items, item)
}
