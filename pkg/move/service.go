package move

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
)

// Lease is a lease in the platform, implemented by lease.Lease.
type Lease interface {
	// Run contends for the lease until ctx ends.
	Run(ctx context.Context)
	// Held returns the fencing token while the lease is held and has not expired.
	Held() (fencingToken uint64, held bool)
}

// LeaseFactory returns the lease of a name such as "move-stock", not yet
// running. While candidate returns false the lease is released and makes no
// calls. The next fencing token must exceed minFencingToken. It returns nil if no lease
// is possible.
type LeaseFactory func(name string, candidate func() bool, minFencingToken func() uint64) Lease

// Options configures a Service. Leases and Store may be nil: moves then run
// without fencing tokens and store no KindMoveStatus.
type Options struct {
	Instance  string
	Snapshot  func() *dynamic.Snapshot
	View      func() *membership.View
	Requester transport.Requester
	Publisher gossip.Publisher
	Store     platform.Store
	Leases    LeaseFactory
	Timeline  timeline.Recorder
	Now       func() time.Time
	// Recorder receives the events of the deciders; nil records nothing.
	Recorder reducer.Recorder[Event]
}

// Service runs moves on one node: it counts calls, reports them to the deciders,
// runs the deciders elected on this node, and provides the traffic splits to the
// request path.
type Service struct {
	options     Options
	reporter    *reporter
	loop        *reducer.Loop[Event, Effect]
	statusStore *statusStore
	incarnation uint64

	mu        sync.Mutex
	states    map[string]State // by Key
	listeners []func(TrafficSplits)
	splits    atomic.Pointer[TrafficSplits]

	roles    *roles
	lastAcks map[string]ack // by service
	// lastAckTimes is when a decider last acknowledged a report, by service.
	lastAckTimes map[string]time.Time
	// pendingStates are states that the deciders have not received yet. They are
	// queued because gossip may call OnItem from within Publish, where waiting for
	// the loop would block the loop.
	pendingStates []State
	guards        map[string]*serviceGuard // by service; only for runPeriod
}

// New returns a Service that is not yet running.
func New(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Timeline == nil {
		options.Timeline = timeline.NopRecorder{}
	}
	s := &Service{
		options: options, reporter: newReporter(), states: map[string]State{}, lastAcks: map[string]ack{},
		lastAckTimes: map[string]time.Time{}, guards: map[string]*serviceGuard{},
		incarnation: uint64(options.Now().UnixNano()),
	}
	s.roles = newRoles(options.Leases, s.highestFencingToken)
	s.statusStore = newStatusStore(options.Store, options.Now)
	s.splits.Store(&TrafficSplits{})
	s.loop = reducer.NewLoop(NewDeciderSet(options.Instance), reducer.ExecutorFunc[Effect](s.execute),
		reducer.Options[Event]{Now: options.Now, Recorder: options.Recorder})
	return s
}

// Observe implements observation.Observer.
func (s *Service) Observe(call observation.Call) { s.reporter.observe(call) }

// TrafficSplits returns the current traffic splits. It never blocks.
func (s *Service) TrafficSplits() TrafficSplits { return *s.splits.Load() }

// OnTrafficSplitsChange calls f with the traffic splits after each change. It must be
// called before Run.
func (s *Service) OnTrafficSplitsChange(f func(TrafficSplits)) { s.listeners = append(s.listeners, f) }

// Merge is the gossip.Merge of topic gossip.Moves.
func (s *Service) Merge(current, incoming []byte) ([]byte, error) { return Merge(current, incoming) }

// OnItem is the gossip.Subscriber of topic gossip.Moves.
func (s *Service) OnItem(item gossip.Item) {
	state, err := Decode(item.Payload)
	if err != nil {
		return
	}
	if s.storeIfNewer(state) {
		s.queueState(state)
	}
}

// queueState queues a state for the deciders until the next period.
func (s *Service) queueState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingStates = append(s.pendingStates, state)
}

// storeIfNewer stores state if it is newer than the known one and reports whether
// it was.
func (s *Service) storeIfNewer(state State) bool {
	s.mu.Lock()
	known, ok := s.states[state.Key()]
	if ok && CompareStates(known, state) >= 0 {
		s.mu.Unlock()
		return false
	}
	s.states[state.Key()] = state
	s.mu.Unlock()
	s.updateSplits()
	return true
}

// MoveStates returns all known states with their evidence, ordered by key.
func (s *Service) MoveStates() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]State, 0, len(s.states))
	for _, key := range slices.Sorted(maps.Keys(s.states)) {
		states = append(states, s.states[key])
	}
	return states
}

// highestFencingToken returns the highest known fencing token of a service.
func (s *Service) highestFencingToken(service string) (highest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.states {
		if state.Service == service {
			highest = max(highest, state.FencingToken)
		}
	}
	return highest
}

// updateSplits computes the traffic splits from the configuration and the states.
func (s *Service) updateSplits() {
	snapshot := s.options.Snapshot()
	if snapshot == nil {
		return
	}
	s.mu.Lock()
	splits := TrafficSplits{}
	for _, service := range snapshot.Config().Services {
		if service.Move == nil || service.Move.ToVersion == service.Version {
			continue
		}
		split := TrafficSplit{From: service.Version, To: service.Move.ToVersion}
		state, ok := s.states[StateKey(service.Name, service.Move.ToVersion)]
		if ok && state.Phase != PhaseRolledBack && !service.Move.Canceled {
			split.Share = state.Share
		}
		splits[service.Name] = split
	}
	changed := !maps.Equal(splits, *s.splits.Load())
	if changed {
		s.splits.Store(&splits)
	}
	s.mu.Unlock()
	if changed {
		for _, listener := range s.listeners {
			listener(splits)
		}
	}
}

// execute implements reducer.Executor.
func (s *Service) execute(_ context.Context, effect Effect) {
	if state := effect.Publish; state != nil {
		s.storeIfNewer(*state)
		if payload, err := Encode(*state); err == nil {
			s.options.Publisher.Publish(gossip.Item{Topic: gossip.TopicMoves, Key: state.Key(), Payload: payload})
		}
		s.statusStore.put(*state)
	}
	if effect.TimelineEvent != nil {
		s.options.Timeline.Record(*effect.TimelineEvent)
	}
}

// HandleMessage is the transport.MessageHandler of transport.KindMove.
func (s *Service) HandleMessage(ctx context.Context, from transport.Peer, payload []byte) ([]byte, error) {
	snapshot := s.options.Snapshot()
	if snapshot == nil {
		return nil, eris.New("no configuration yet")
	}
	report, err := decodeReport(payload, from.Instance, snapshot.Service)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(s.receive(ctx, report))
}

// receive submits a report if this node is the decider of the service's move.
func (s *Service) receive(ctx context.Context, report EvidenceReport) ack {
	reply := ack{Decider: s.options.Instance, Epoch: s.incarnation}
	if s.roles.acceptsReports(report.Service) && s.loop.Submit(ctx, Event{Service: report.Service, Report: &report}) {
		reply.LastPeriod = report.LastClosedPeriod
	}
	return reply
}

// Run runs the service until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.loop.Run(ctx) })
	group.Go(func() { s.roles.run(ctx) })
	group.Go(func() { s.statusStore.run(ctx) })
	ticker := time.NewTicker(EvidencePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return ctx.Err()
		case <-ticker.C:
			s.runPeriod(ctx, s.options.Now())
		}
	}
}
