package gossip

import (
	"time"
)

// digest starts a comparison with the node at address.
func (r *Reducer) digest(address string) Effect {
	digests := make([]Digest, 0, len(r.topics))
	for _, t := range r.topics {
		digests = append(digests, Digest{Topic: t.name, HashSum: t.sum})
	}
	return r.send(address, Message{Digests: digests})
}

// receive handles a message and sends at most one reply.
func (r *Reducer) receive(now time.Time, m *Message) (effects []Effect) {
	for _, item := range m.Items {
		effects = append(effects, r.apply(now, item, m.From)...)
	}
	progress := len(effects) != 0
	var reply Message
	for _, d := range m.Digests {
		if t := r.topic(d.Topic); t != nil && t.sum != d.HashSum {
			reply.BucketSums = append(reply.BucketSums, BucketSums{Topic: t.name, Sums: t.sums()})
		}
	}
	budget := syncBudget{bytes: maxItemsBytes, summaries: maxSummaries}
	for _, b := range m.BucketSums {
		if t := r.topic(b.Topic); t != nil {
			r.summarise(&reply, &budget, t, t.differing(b.Sums))
		}
	}
	for _, s := range m.ItemHashes {
		if t := r.topic(s.Topic); t != nil {
			compare(&reply, &budget, t, s)
			reply.Truncated = reply.Truncated || m.Truncated
		}
	}
	for _, w := range m.ItemRequests {
		if t := r.topic(w.Topic); t != nil {
			supply(&reply, &budget, t, w)
		}
	}
	if !reply.empty() {
		effects = append(effects, r.send(m.From, reply))
	}
	if m.Truncated && progress {
		effects = append(effects, r.digest(m.From))
	}
	return effects
}

// syncBudget bounds one reply.
type syncBudget struct {
	bytes     int
	summaries int
}

// summarise adds the items of differing buckets. It starts at a random bucket,
// so that a comparison that is cut short makes progress everywhere in turn.
func (r *Reducer) summarise(reply *Message, budget *syncBudget, t *topicStore, mask uint64) {
	summary := ItemHashes{Topic: t.name}
	first := r.random.IntN(bucketCount)
	for i := range bucketCount {
		index := (first + i) % bucketCount
		b := &t.buckets[index]
		if mask&(1<<index) == 0 {
			continue
		}
		if len(b.entries) > budget.summaries && summary.BucketMask != 0 {
			reply.Truncated = true
			continue
		}
		budget.summaries -= len(b.entries)
		summary.BucketMask |= 1 << index
	}
	bucketsOf(summary.BucketMask, func(index int) {
		for _, e := range t.buckets[index].sorted() {
			summary.Hashes = appendHash(appendHash(summary.Hashes, e.keyHash), e.hash)
		}
	})
	if summary.BucketMask != 0 {
		reply.ItemHashes = append(reply.ItemHashes, summary)
	}
}

// compare answers a summary with the items that the sender lacks and with the
// keys of those that this node lacks. Items that differ go both ways.
func compare(reply *Message, budget *syncBudget, t *topicStore, s ItemHashes) {
	theirs := make(map[uint64]uint64, len(s.Hashes)/summaryBytes)
	want := ItemRequest{Topic: t.name}
	for i := 0; i < len(s.Hashes)/hashBytes; i += 2 {
		keyHash, hash := hashAt(s.Hashes, i), hashAt(s.Hashes, i+1)
		if s.BucketMask&(1<<bucketOf(keyHash)) == 0 {
			continue
		}
		theirs[keyHash] = hash
		if e, ok := t.buckets[bucketOf(keyHash)].entries[keyHash]; !ok || e.hash != hash {
			want.KeyHashes = appendHash(want.KeyHashes, keyHash)
		}
	}
	if len(want.KeyHashes) != 0 {
		reply.ItemRequests = append(reply.ItemRequests, want)
	}
	bucketsOf(s.BucketMask, func(index int) {
		for _, e := range t.buckets[index].sorted() {
			if hash, ok := theirs[e.keyHash]; !ok || hash != e.hash {
				reply.addItem(budget, t, e)
			}
		}
	})
}

// supply answers a want.
func supply(reply *Message, budget *syncBudget, t *topicStore, w ItemRequest) {
	for i := range len(w.KeyHashes) / hashBytes {
		keyHash := hashAt(w.KeyHashes, i)
		if e, ok := t.buckets[bucketOf(keyHash)].entries[keyHash]; ok {
			reply.addItem(budget, t, e)
		}
	}
}

func (m *Message) addItem(budget *syncBudget, t *topicStore, e *entry) {
	item := Item{Topic: t.name, Key: e.key, Payload: e.payload}
	if budget.bytes < item.size() {
		m.Truncated = true
		return
	}
	budget.bytes -= item.size()
	m.Items = append(m.Items, item)
}
