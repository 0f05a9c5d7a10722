package gossip

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the protocol.
const (
	// flushDelay is how long changes are collected before they are passed on. A
	// change crosses the fleet in about 6 hops, so it adds 0.12 s in all.
	flushDelay = 20 * time.Millisecond
	// syncInterval is the time between two comparisons with a neighbour.
	syncInterval = 2 * time.Second
	// TickInterval is how often the reducer expects a Tick.
	TickInterval = 250 * time.Millisecond
)

// Neighbour is a node to which changes are passed on.
type Neighbour struct {
	Instance string
	Address  string
	// OtherRegion is set for nodes of other regions.
	OtherRegion bool
}

// Event is an input of the Reducer.
type Event interface{ event() }

type (
	// Published is an item of this node.
	Published struct{ Item Item }
	// Received is a message of another node.
	Received struct{ Message Message }
	// NeighboursSet replaces the neighbours.
	NeighboursSet struct{ Neighbours []Neighbour }
	// SyncRequested starts a comparison with the node at Address at once.
	SyncRequested struct{ Address string }
	// SendFailed says that a message to Address may be lost.
	SendFailed struct{ Address string }
	// FlushDue answers the effect Wake.
	FlushDue struct{}
	// Tick is the passing of time.
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
	// Send sends a message. Its loss is repaired by later comparisons.
	Send struct {
		To      string
		Message Message
	}
	// NotifySubscriber tells subscribers of an item.
	NotifySubscriber struct{ Item Item }
	// ScheduleFlush asks for a FlushDue event.
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
	// unsent holds items of this node from before it had neighbours.
	unsent   []itemRef
	flushing bool
	nextSync time.Time
	turn     int
}

// neighbour is what is to be sent to one neighbour.
type neighbour struct {
	Neighbour
	// pending holds the order of changes, queued those that are still to be sent.
	pending []itemRef
	queued  map[itemRef]struct{}
	// dirty is set when a message may be lost, so that the next comparison is
	// with this neighbour.
	dirty bool
}

type itemRef struct {
	topic *topicStore
	key   string
}

// NewReducer returns a reducer of the node at address self.
func NewReducer(self string, seed uint64) *Reducer {
	return &Reducer{self: self, random: rand.New(rand.NewPCG(seed, 0))}
}

// RegisterTopic adds a topic. A nil expiry keeps items for good.
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
			r.keepUnsent(itemRef{topic: r.topic(e.Item.Topic), key: e.Item.Key})
		}
	case Received:
		effects = r.receive(now, &e.Message)
	case NeighboursSet:
		r.setNeighbours(e.Neighbours)
	case SyncRequested:
		return []Effect{r.digest(e.Address)}
	case SendFailed:
		if n := r.neighbour(e.Address); n != nil {
			n.dirty = true
		}
	case FlushDue:
		return r.flush()
	case Tick:
		return r.tick(now)
	}
	if !r.flushing && r.anyPending() {
		r.flushing = true
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

func (r *Reducer) anyPending() bool {
	return slices.ContainsFunc(r.neighbours, func(n *neighbour) bool { return len(n.queued) != 0 })
}

// setNeighbours keeps what is pending for neighbours that stay. A new neighbour
// is compared with first, because it may have missed earlier changes.
func (r *Reducer) setNeighbours(list []Neighbour) {
	next := make([]*neighbour, 0, len(list))
	for _, n := range list {
		if n.Address == r.self {
			continue
		}
		if known := r.neighbour(n.Address); known != nil {
			known.Neighbour = n
			next = append(next, known)
			continue
		}
		next = append(next, &neighbour{Neighbour: n, queued: make(map[itemRef]struct{}), dirty: true})
	}
	r.neighbours = next
	if len(next) != 0 {
		for _, ref := range r.unsent {
			r.queue(ref.topic, ref.key, "")
		}
		r.unsent = nil
	}
}

// apply merges an item and queues it for all neighbours that may lack the
// result. from is the address of the sender, empty for an item of this node.
func (r *Reducer) apply(now time.Time, item Item, from string) []Effect {
	t := r.topic(item.Topic)
	if t == nil || !item.valid() {
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
	expires := t.expiresAt(merged)
	if !expires.IsZero() && !now.Before(expires) {
		return nil
	}
	t.put(item.Key, merged, expires)
	except := ""
	if bytes.Equal(merged, item.Payload) {
		except = from
	}
	r.queue(t, item.Key, except)
	return []Effect{NotifySubscriber{Item: Item{Topic: item.Topic, Key: item.Key, Payload: merged}}}
}

func (r *Reducer) keepUnsent(ref itemRef) {
	if !slices.Contains(r.unsent, ref) {
		r.unsent = append(r.unsent, ref)
	}
}

func (r *Reducer) queue(t *topicStore, key, except string) {
	ref := itemRef{topic: t, key: key}
	for _, n := range r.neighbours {
		if except != "" && n.Address == except {
			delete(n.queued, ref)
			continue
		}
		if _, ok := n.queued[ref]; !ok {
			n.queued[ref] = struct{}{}
			n.pending = append(n.pending, ref)
		}
	}
}

// unqueue forgets an item that the neighbour at address has sent itself.
func (r *Reducer) unqueue(t *topicStore, key, address string) {
	if n := r.neighbour(address); n != nil {
		delete(n.queued, itemRef{topic: t, key: key})
	}
}

// flush sends what is pending, in messages of bounded size.
func (r *Reducer) flush() (effects []Effect) {
	r.flushing = false
	for _, n := range r.neighbours {
		var batch []Item
		size := 0
		for _, ref := range n.pending {
			_, wanted := n.queued[ref]
			delete(n.queued, ref)
			e, ok := ref.topic.items[ref.key]
			if !wanted || !ok {
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
		n.pending = nil
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
	// The jitter keeps nodes that started together from comparing in step.
	r.nextSync = now.Add(syncInterval*9/10 + time.Duration(r.random.Int64N(int64(syncInterval)/5)))
	return []Effect{r.digest(r.nextPartner().Address)}
}

// nextPartner prefers a neighbour that may have missed a message, but every
// second turn is the next one in order, so that an unreachable neighbour does
// not keep the others from being compared with.
func (r *Reducer) nextPartner() *neighbour {
	r.turn++
	if r.turn%2 == 1 {
		for i := range r.neighbours {
			if n := r.neighbours[(r.turn/2+i)%len(r.neighbours)]; n.dirty {
				n.dirty = false
				return n
			}
		}
	}
	return r.neighbours[r.turn/2%len(r.neighbours)]
}
