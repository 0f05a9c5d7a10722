package gossip

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/azurespring/azurespring/internal/mailbox"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/transport"
)

const (
	// sendTimeout bounds the wait for the acknowledgement of a message. If none
	// arrives, a later sync repairs the difference.
	sendTimeout = 2 * time.Second
	// maxInFlightPerPeer bounds the unacknowledged messages to one node.
	maxInFlightPerPeer = 8
	flushPollInterval  = 2 * time.Millisecond
)

// Messenger is the part of the transport that gossip uses.
type Messenger interface {
	transport.Requester
	HandleMessage(kind transport.Kind, h transport.MessageHandler)
}

// Options configures a Service.
type Options struct {
	// Address is the address at which other nodes reach this node.
	Address   string
	Messenger Messenger
	// RandomSeed makes random choices reproducible.
	RandomSeed uint64
	// Logger and Scope default to implementations that discard their input.
	Logger *logrus.Logger
	Scope  tally.Scope
	// Now defaults to time.Now.
	Now func() time.Time
	// Recorder, if set, receives each event before it is applied.
	Recorder reducer.Recorder[Event]
}

// Stats counts messages and the bytes of their payloads, before compression.
type Stats struct {
	MessagesSent     uint64
	MessagesReceived uint64
	BytesSent        uint64
	BytesReceived    uint64
}

// Service runs the Reducer over the transport. It is safe for concurrent use.
type Service struct {
	options     Options
	loop        *reducer.Loop[Event, Effect]
	queue       mailbox.Mailbox[Event]
	subscribers map[Topic]Subscriber

	mu    sync.Mutex // guards state
	state *Reducer

	sendMu         sync.Mutex
	inFlightByPeer map[string]int
	sendsInFlight  atomic.Int64
	tasks          sync.WaitGroup

	messagesSent, messagesReceived, bytesSent, bytesReceived atomic.Uint64
}

var _ Publisher = (*Service)(nil)

// New returns a service that handles messages as soon as Run is called.
func New(o Options) *Service {
	if o.Logger == nil {
		o.Logger = logrus.New()
		o.Logger.SetLevel(logrus.PanicLevel)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Service{
		options: o, state: NewReducer(o.Address, o.RandomSeed),
		subscribers: make(map[Topic]Subscriber), inFlightByPeer: make(map[string]int),
	}
	s.loop = reducer.NewLoop[Event, Effect](lockedReducer{s}, reducer.ExecutorFunc[Effect](s.execute),
		reducer.Options[Event]{
			Now: o.Now, Tick: func() Event { return Tick{} }, TickInterval: TickInterval, Recorder: o.Recorder,
		})
	o.Messenger.HandleMessage(transport.KindGossip, s.handleMessage)
	return s
}

// TopicOption configures a topic.
type TopicOption func(*topicStore)

// WithExpiry makes items of the topic expire at the time that e returns.
func WithExpiry(e ExpiryFunc) TopicOption { return func(t *topicStore) { t.expiry = e } }

// RegisterTopic adds a topic. It must be called before Run. The subscriber may
// be nil; it is called from the event loop and must not block.
func (s *Service) RegisterTopic(name Topic, merge MergeFunc, subscriber Subscriber, options ...TopicOption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.RegisterTopic(name, merge, nil)
	for _, option := range options {
		option(s.state.topic(name))
	}
	if subscriber != nil {
		s.subscribers[name] = subscriber
	}
}

// Publish implements Publisher. It does not block.
func (s *Service) Publish(item Item) { s.queue.Put(Published{Item: item}) }

// MergeItems applies, as one event, items that the node at address from sent
// outside of gossip. It does not block.
func (s *Service) MergeItems(from string, items []Item) {
	s.queue.Put(Received{Message: Message{From: from, Items: items}})
}

// SetNeighbours replaces the nodes to which changes are forwarded. It does not
// block.
func (s *Service) SetNeighbours(list []Neighbour) { s.queue.Put(NeighboursSet{Neighbours: list}) }

// SyncWith starts an anti-entropy sync with the node at address. It does not
// block.
func (s *Service) SyncWith(address string) { s.queue.Put(SyncRequested{Address: address}) }

// Get returns an item of the local copy.
func (s *Service) Get(topic Topic, key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Get(topic, key)
}

// Items returns all items of a topic, ordered by key. Payloads must not be
// changed.
func (s *Service) Items(topic Topic) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Items(topic)
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		MessagesSent: s.messagesSent.Load(), MessagesReceived: s.messagesReceived.Load(),
		BytesSent: s.bytesSent.Load(), BytesReceived: s.bytesReceived.Load(),
	}
}

// Run handles events until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.tasks.Go(func() { s.queue.Run(ctx, s.loop.Submit) })
	s.loop.Run(ctx)
	s.tasks.Wait()
}

// Flush sends all changes that were published before the call and waits until
// the neighbours have acknowledged them, or a send has timed out.
func (s *Service) Flush(ctx context.Context) error {
	b := flushBarrier{done: make(chan struct{})}
	s.queue.Put(b)
	select {
	case <-b.done:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "flush gossip")
	}
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for s.sendsInFlight.Load() != 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "flush gossip")
		}
	}
	return nil
}

// flushBarrier is an event that flushes queued changes, and the effect that
// follows their Send effects and closes done.
type flushBarrier struct{ done chan struct{} }

func (flushBarrier) event()  {}
func (flushBarrier) effect() {}

// lockedReducer steps the state under the mutex, so that Get may read it.
type lockedReducer struct{ service *Service }

func (l lockedReducer) Step(now time.Time, event Event) []Effect {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := event.(flushBarrier); ok {
		return append(s.state.Step(now, FlushDue{}), b)
	}
	return s.state.Step(now, event)
}

func (s *Service) handleMessage(ctx context.Context, _ transport.Peer, payload []byte) ([]byte, error) {
	message, err := DecodeMessage(payload)
	if err != nil {
		return nil, err
	}
	s.messagesReceived.Add(1)
	s.bytesReceived.Add(uint64(len(payload)))
	if !s.loop.Submit(ctx, Received{Message: message}) {
		return nil, eris.New("gossip stopped")
	}
	return nil, nil
}

func (s *Service) execute(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case Send:
		s.send(ctx, e)
	case NotifySubscriber:
		s.notify(e.Item)
	case ScheduleFlush:
		time.AfterFunc(e.Delay, func() { s.queue.Put(FlushDue{}) })
	case flushBarrier:
		close(e.done)
	}
}

func (s *Service) notify(item Item) {
	defer func() {
		if r := recover(); r != nil {
			s.options.Logger.WithField("topic", item.Topic).Errorf("panic in a subscriber: %v\n%s", r, debug.Stack())
		}
	}()
	if subscriber := s.subscribers[item.Topic]; subscriber != nil {
		subscriber(item)
	}
}

func (s *Service) send(ctx context.Context, e Send) {
	payload, err := cbor.Marshal(e.Message)
	if err != nil {
		s.options.Logger.WithError(err).Error("cannot encode gossip message")
		return
	}
	if !s.beginSend(e.To) {
		s.queue.Put(SendFailed{Address: e.To})
		return
	}
	s.messagesSent.Add(1)
	s.bytesSent.Add(uint64(len(payload)))
	s.tasks.Go(func() {
		defer s.endSend(e.To)
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		if _, err := s.options.Messenger.Request(ctx, e.To, transport.KindGossip, payload); err != nil {
			s.options.Scope.Counter("send_failures").Inc(1)
			s.options.Logger.WithError(err).WithField("peer", e.To).Debug("gossip message not acknowledged")
			s.queue.Put(SendFailed{Address: e.To})
		}
	})
}

func (s *Service) beginSend(to string) bool {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.inFlightByPeer[to] >= maxInFlightPerPeer {
		return false
	}
	s.inFlightByPeer[to]++
	s.sendsInFlight.Add(1)
	return true
}

func (s *Service) endSend(to string) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.sendsInFlight.Add(-1)
	if s.inFlightByPeer[to]--; s.inFlightByPeer[to] == 0 {
		delete(s.inFlightByPeer, to)
	}
}
