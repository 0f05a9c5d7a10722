package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/azurespring/azurespring/internal/mailbox"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/transport"
)

// Message kinds of this package.
const (
	kindPing = transport.KindMembership
	kindJoin = transport.KindMembership + 1
)

// pingTimeout is less than pingInterval, so that at most one ping to a member is
// in flight.
const pingTimeout = 900 * time.Millisecond

// Messenger is the part of the transport that membership uses.
type Messenger interface {
	transport.Requester
	HandleMessage(kind transport.Kind, h transport.MessageHandler)
}

// Gossip is the part of gossip.Service that membership uses.
type Gossip interface {
	gossip.Publisher
	RegisterTopic(name gossip.Topic, merge gossip.MergeFunc, s gossip.Subscriber, options ...gossip.TopicOption)
	Items(topic gossip.Topic) []gossip.Item
	MergeItems(from string, items []gossip.Item)
	SetNeighbours(list []gossip.Neighbour)
	SyncWith(address string)
	Flush(ctx context.Context) error
}

// Options configures a Service.
type Options struct {
	// Self holds Instance, addresses, Region, FailureDomain and ProtocolVersion.
	Self Member
	// Seeds are addresses that are contacted again while their nodes are not part
	// of the view.
	Seeds     []string
	Messenger Messenger
	Gossip    Gossip
	// RandomSeed makes random choices reproducible.
	RandomSeed uint64
	// StandaloneTimeout is how long Join tries to reach a fleet before the node
	// starts standalone. The default is 3 s for seeds and 12 s for other nodes. A
	// random time of up to half the timeout is added.
	StandaloneTimeout time.Duration
	// Logger defaults to one that discards.
	Logger *logrus.Logger
	// Now defaults to time.Now.
	Now func() time.Time
	// Recorder, if set, receives each event before it is applied.
	Recorder reducer.Recorder[Event]
}

// Service runs the Reducer. It is safe for concurrent use.
type Service struct {
	options        Options
	loop           *reducer.Loop[Event, Effect]
	queue          mailbox.Mailbox[Event]
	changedRecords mailbox.Mailbox[Member]
	view           atomic.Pointer[View]
	// neighbours is the list that was last passed to gossip.
	neighbours atomic.Pointer[[]gossip.Neighbour]
	tasks      sync.WaitGroup
	leaveDone  chan struct{}

	mu    sync.Mutex // guards state
	state *Reducer

	listenersMu   sync.Mutex
	viewListeners []func(*View)

	joinMu       sync.Mutex
	lastJoinID   uint64
	pendingJoins map[uint64]chan JoinDecision
}

// New returns a service whose node has not joined yet. It registers the topic
// member with gossip, and so must be called before gossip runs.
func New(o Options) *Service {
	if o.Logger == nil {
		o.Logger = logrus.New()
		o.Logger.SetLevel(logrus.PanicLevel)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Service{
		options: o, pendingJoins: make(map[uint64]chan JoinDecision), leaveDone: make(chan struct{}),
		state: NewReducer(ReducerOptions{Self: o.Self, BootTime: o.Now(), Seeds: o.Seeds, RandomSeed: o.RandomSeed}),
	}
	self := s.state.Self()
	s.view.Store(&View{Self: self, Members: []Member{self}})
	s.loop = reducer.NewLoop[Event, Effect](lockedReducer{s}, reducer.ExecutorFunc[Effect](s.execute),
		reducer.Options[Event]{
			Now: o.Now, Tick: func() Event { return Tick{} }, TickInterval: TickInterval, Recorder: o.Recorder,
		})
	o.Gossip.RegisterTopic(gossip.TopicMembers, MergeRecords, s.recordChanged, gossip.WithExpiry(RecordExpiry))
	o.Messenger.HandleMessage(kindPing, s.handlePing)
	o.Messenger.HandleMessage(kindJoin, s.handleJoin)
	return s
}

// View returns the current view. It is never nil.
func (s *Service) View() *View { return s.view.Load() }

// Neighbours returns the nodes to which this node keeps connections for gossip.
// Callers must not change the list.
func (s *Service) Neighbours() []gossip.Neighbour {
	if list := s.neighbours.Load(); list != nil {
		return *list
	}
	return nil
}

// OnViewChange calls f with each new view, from the event loop. f must not block.
func (s *Service) OnViewChange(f func(*View)) {
	s.listenersMu.Lock()
	defer s.listenersMu.Unlock()
	s.viewListeners = append(s.viewListeners, f)
}

// AnnounceTarget announces a target of this node or renews its announcement. It
// does not block.
func (s *Service) AnnounceTarget(t Target) { s.queue.Put(TargetAnnounced{Target: t}) }

// RemoveTarget deregisters a target of this node. It does not block.
func (s *Service) RemoveTarget(id string) { s.queue.Put(TargetRemoved{ID: id}) }

// Leave publishes that this node leaves the cluster, and returns when its
// neighbours have acknowledged that. This service and gossip must still be running.
func (s *Service) Leave(ctx context.Context) error {
	s.queue.Put(LeaveRequested{})
	select {
	case <-s.leaveDone:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "leave")
	}
	return s.options.Gossip.Flush(ctx)
}

// Run handles events until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.tasks.Go(func() { s.queue.Run(ctx, s.loop.Submit) })
	s.tasks.Go(func() {
		s.changedRecords.RunBatches(ctx, func(ctx context.Context, members []Member) bool {
			return s.loop.Submit(ctx, RecordsChanged{Members: members})
		})
	})
	s.loop.Run(ctx)
	s.tasks.Wait()
}

// lockedReducer steps the state under the mutex, so that message handlers may
// read it.
type lockedReducer struct{ service *Service }

func (l lockedReducer) Step(now time.Time, event Event) []Effect {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	return l.service.state.Step(now, event)
}

func (s *Service) recordChanged(item gossip.Item) {
	m, err := DecodeMember(item.Payload)
	if err != nil || m.Instance != item.Key {
		s.options.Logger.WithField("key", item.Key).Warn("member record is malformed or names another instance than its key")
		return
	}
	s.changedRecords.Put(m)
}

func (s *Service) execute(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case Publish:
		s.publish(e.Member)
	case Ping:
		s.tasks.Go(func() { s.ping(ctx, e.Member) })
	case Sync:
		s.options.Gossip.SyncWith(e.Address)
	case SetNeighbours:
		s.neighbours.Store(&e.Neighbours)
		s.options.Gossip.SetNeighbours(e.Neighbours)
	case PublishView:
		s.publishView(e.View)
	case ReplyToJoin:
		s.deliverJoinDecision(e)
	case CompleteLeave:
		select {
		case <-s.leaveDone:
		default:
			close(s.leaveDone)
		}
	}
}

func (s *Service) publish(m Member) {
	item, err := EncodeMember(m)
	if err != nil {
		s.options.Logger.WithError(err).Error("cannot encode member record for publication")
		return
	}
	s.options.Gossip.Publish(item)
}

func (s *Service) publishView(view *View) {
	s.view.Store(view)
	s.listenersMu.Lock()
	listeners := s.viewListeners
	s.listenersMu.Unlock()
	for _, listener := range listeners {
		listener(view)
	}
}
