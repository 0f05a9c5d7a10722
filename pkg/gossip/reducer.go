package gossip

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"
)

// Intervals of the protocol.
const (
	// flushDelay is how long changes are batched before they are forwarded. A
	// change crosses the fleet in about 6 forwarding steps, so the delay adds 0.12 s
	// in total.
	flushDelay = 20 * time.Millisecond
	// syncInterval is the mean time between two anti-entropy syncs of a node.
	syncInterval = 2 * time.Second
	// TickInterval is how often the reducer expects a Tick.
	TickInterval = 250 * time.Millisecond
)

// Neighbour is a node to which changes are forwarded.
type Neighbour struct {
	Instance string
	Address  string
	// OtherRegion is set if the node is in another region.
	OtherRegion bool
}

// Event is an input of the Reducer.
type Event interface{ event() }

type (
	// Published carries an item that this node publishes.
	Published struct{ Item Item }
	// Received carries a message of another node.
	Received struct{ Message Message }
	// NeighboursSet replaces the neighbours.
	NeighboursSet struct{ Neighbours []Neighbour }
	// SyncRequested starts an anti-entropy sync with the node at Address.
	SyncRequested struct{ Address string }
	// SendFailed says that a message to Address may have been lost.
	SendFailed struct{ Address string }
	// FlushDue follows the effect ScheduleFlush after its delay.
	FlushDue struct{}
	// Tick is sent every TickInterval.
	Tick struct{}
)

func (Published) event()     {}
func (Received) event()      {}
func (NeighboursSet) event() {}
func (SyncRequested) event() {}
func (SendFailed) event()    {}
func (FlushDue) event()      {}
func (Tick) event()          {}

// Effect is an output of the Reducer.
type Effect interface{ effect() }

type (
	// Send sends a message. If it is lost, later syncs repair the difference.
	Send struct {
		To      string
		Message Message
	}
	// NotifySubscriber passes a changed item to the subscriber of its topic.
	NotifySubscriber struct{ Item Item }
	// ScheduleFlush requests a FlushDue event after Delay.
	ScheduleFlush struct{ Delay time.Duration }
)

func (Send) effect()             {}
func (NotifySubscriber) effect() {}
func (ScheduleFlush) effect()    {}

// Reducer is the state machine of one node's gossip.
type Reducer struct {
	self       string
	random     *rand.Rand
	topics     []*topicStore
	neighbours []*neighbour
	// unsentItems holds items that this node published before it had neighbours.
	unsentItems      []itemRef
	isFlushScheduled bool
	nextSync         time.Time
	syncCount        int
}

// neighbour is a Neighbour with the changes that are queued for it.
type neighbour struct {
	Neighbour
	// pendingOrder lists changes in the order in which they were queued. Those that
	// are no longer in queued are skipped.
	pendingOrder []itemRef
	queued       map[itemRef]struct{}
	// needsSync is set if the neighbour may have missed a message, so that it is
	// preferred for the next sync.
	needsSync bool
}

type itemRef struct {
	topic *topicStore
	key   string
}

// NewReducer returns a reducer of the node at address self.
func NewReducer(self string, seed uint64) *Reducer {
	return &Reducer{self: self, random: rand.New(rand.NewPCG(seed, 0))}
}

// RegisterTopic adds a topic. If expiry is nil, items never expire.
func (r *Reducer) RegisterTopic(name Topic, merge MergeFunc, expiry ExpiryFunc) {
	r.topics = append(r.topics, newTopicStore(name, merge, expiry))
}

// Get returns an item of the local copy.
func (r *Reducer) Get(name Topic, key string) (Item, bool) {
	if t := r.topic(name); t != nil {
		if e, ok := t.items[key]; ok {
			return Item{Topic: name, Key: key, Payload: e.payload}, true
		}
	}
	return Item{}, false
}

// Items returns all items of a topic, ordered by key.
func (r *Reducer) Items(name Topic) []Item {
	t := r.topic(name)
	if t == nil {
		return nil
	}
	items := make([]Item, 0, len(t.items))
	for key, e := range t.items {
		items = append(items, Item{Topic: name, Key: key, Payload: e.payload})
	}
	slices.SortFunc(items, func(x, y Item) int {
		if x.Key < y.Key {
			return -1
		}
		return 1
	})
	return items
}

// Step implements reducer.Reducer.
func (r *Reducer) Step(now time.Time, event Event) (effects []Effect) {
	switch e := event.(type) {
	case Published:
		effects = r.apply(now, e.Item, "")
		if len(effects) != 0 && len(r.neighbours) == 0 {
			r.addUnsent(itemRef{topic: r.topic(e.Item.Topic), key: e.Item.Key})
		}
	case Received:
		effects = r.receive(now, &e.Message)
	case NeighboursSet:
		r.setNeighbours(e.Neighbours)
	case SyncRequested:
		return []Effect{r.startSync(e.Address)}
	case SendFailed:
		if n := r.neighbour(e.Address); n != nil {
			n.needsSync = true
		}
	case FlushDue:
		return r.flush()
	case Tick:
		return r.tick(now)
	}
	if !r.isFlushScheduled && r.hasQueued() {
		r.isFlushScheduled = true
		effects = append(effects, ScheduleFlush{Delay: flushDelay})
	}
	return effects
}

func (r *Reducer) topic(name Topic) *topicStore {
	for _, t := range r.topics {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (r *Reducer) neighbour(address string) *neighbour {
	for _, n := range r.neighbours {
		if n.Address == address {
			return n
		}
	}
	return nil
}

func (r *Reducer) hasQueued() bool {
	return slices.ContainsFunc(r.neighbours, func(n *neighbour) bool { return len(n.queued) != 0 })
}

// setNeighbours replaces the neighbours and retains the queued changes of those
// that remain. A new neighbour is preferred for the next sync, because it may have
// missed earlier changes.
func (r *Reducer) setNeighbours(list []Neighbour) {
	neighbours := make([]*neighbour, 0, len(list))
	for _, n := range list {
		if n.Address == r.self {
			continue
		}
		if known := r.neighbour(n.Address); known != nil {
			known.Neighbour = n
			neighbours = append(neighbours, known)
			continue
		}
		neighbours = append(neighbours, &neighbour{Neighbour: n, queued: make(map[itemRef]struct{}), needsSync: true})
	}
	r.neighbours = neighbours
	if len(neighbours) != 0 {
		for _, ref := range r.unsentItems {
			r.queue(ref.topic, ref.key, "")
		}
		r.unsentItems = nil
	}
}

// apply merges an item and queues the result for all neighbours that may not have
// it. from is the address of the sender, empty for an item of this node.
func (r *Reducer) apply(now time.Time, item Item, from string) []Effect {
	t := r.topic(item.Topic)
	if t == nil || !item.isWithinLimits() {
		return nil
	}
	merged := item.Payload
	current, known := t.items[item.Key]
	if known {
		if bytes.Equal(current.payload, item.Payload) {
			r.unqueue(t, item.Key, from)
			return nil
		}
		var err error
		if merged, err = t.merge(current.payload, item.Payload); err != nil || bytes.Equal(merged, current.payload) {
			return nil
		}
	} else if _, err := t.merge(nil, item.Payload); err != nil {
		return nil
	}
	expiresAt := t.expiresAt(merged)
	if !expiresAt.IsZero() && !now.Before(expiresAt) {
		return nil
	}
	t.put(item.Key, merged, expiresAt)
	excludedAddress := ""
	if bytes.Equal(merged, item.Payload) {
		excludedAddress = from
	}
	r.queue(t, item.Key, excludedAddress)
	return []Effect{NotifySubscriber{Item: Item{Topic: item.Topic, Key: item.Key, Payload: merged}}}
}

func (r *Reducer) addUnsent(ref itemRef) {
	if !slices.Contains(r.unsentItems, ref) {
		r.unsentItems = append(r.unsentItems, ref)
	}
}

func (r *Reducer) queue(t *topicStore, key, excludedAddress string) {
	ref := itemRef{topic: t, key: key}
	for _, n := range r.neighbours {
		if excludedAddress != "" && n.Address == excludedAddress {
			delete(n.queued, ref)
			continue
		}
		if _, ok := n.queued[ref]; !ok {
			n.queued[ref] = struct{}{}
			n.pendingOrder = append(n.pendingOrder, ref)
		}
	}
}

// unqueue removes an item from the queue of the neighbour at address, which has
// sent the same item itself.
func (r *Reducer) unqueue(t *topicStore, key, address string) {
	if n := r.neighbour(address); n != nil {
		delete(n.queued, itemRef{topic: t, key: key})
	}
}

// flush sends the queued changes of all neighbours in messages of bounded size.
func (r *Reducer) flush() (effects []Effect) {
	r.isFlushScheduled = false
	for _, n := range r.neighbours {
		var batch []Item
		size := 0
		for _, ref := range n.pendingOrder {
			_, isQueued := n.queued[ref]
			delete(n.queued, ref)
			e, ok := ref.topic.items[ref.key]
			if !isQueued || !ok {
				continue
			}
			item := Item{Topic: ref.topic.name, Key: ref.key, Payload: e.payload}
			if size+item.size() > maxItemsBytes {
				effects = append(effects, r.send(n.Address, Message{Items: batch}))
				batch, size = nil, 0
			}
			batch = append(batch, item)
			size += item.size()
		}
		n.pendingOrder = nil
		if len(batch) != 0 {
			effects = append(effects, r.send(n.Address, Message{Items: batch}))
		}
	}
	return effects
}

func (r *Reducer) send(to string, m Message) Send {
	m.From = r.self
	return Send{To: to, Message: m}
}

func (r *Reducer) tick(now time.Time) []Effect {
	for _, t := range r.topics {
		t.expire(now)
	}
	if now.Before(r.nextSync) || len(r.neighbours) == 0 {
		return nil
	}
	// The jitter keeps nodes that started together from syncing in step.
	r.nextSync = now.Add(syncInterval*9/10 + time.Duration(r.random.Int64N(int64(syncInterval)/5)))
	return []Effect{r.startSync(r.nextSyncPeer().Address)}
}

// nextSyncPeer returns the neighbour for the next sync. It prefers one that may
// have missed a message, but every second sync goes to the next neighbour in
// order, so that an unreachable neighbour does not starve the others.
func (r *Reducer) nextSyncPeer() *neighbour {
	r.syncCount++
	if r.syncCount%2 == 1 {
		for i := range r.neighbours {
			if n := r.neighbours[(r.syncCount/2+i)%len(r.neighbours)]; n.needsSync {
				n.needsSync = false
				return n
			}
		}
	}
	return r.neighbours[r.syncCount/2%len(r.neighbours)]
}
