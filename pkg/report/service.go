package report

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/transport"
)

const (
	// sendInterval is the interval at which an entry node sends its counters.
	sendInterval = 30 * time.Second
	// tickInterval is the interval at which the collector checks for due platform calls.
	tickInterval = 5 * time.Second
	// sendTimeout bounds the delivery of one message, also of the last one during a
	// shutdown.
	sendTimeout = 3 * time.Second
)

// Options configures a Service. With a nil Store no counters are stored.
type Options struct {
	Instance  string
	Snapshot  func() *dynamic.Snapshot
	View      func() *membership.View
	Requester transport.Requester
	Store     platform.Store
	Logger    logrus.FieldLogger
	Now       func() time.Time
	// SendInterval defaults to 30 s.
	SendInterval time.Duration
	// Recorder records the events of the collector; nil disables recording.
	Recorder reducer.Recorder[Event]
}

// Service counts the calls of one entry node and sends the counters to the collector
// of the failure domain. If its node is chosen as the collector, it also merges and
// stores the counters of the failure domain.
type Service struct {
	options  Options
	counter  *callCounter
	reporter string
	loop     *reducer.Loop[Event, Effect]

	mu            sync.Mutex
	lastRequestID uint64
	replies       map[uint64]chan CounterAck // by request ID
	loopDone      chan struct{}
	platformCalls sync.WaitGroup
}

// New returns a service. Run starts it.
func New(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.SendInterval == 0 {
		options.SendInterval = sendInterval
	}
	if options.Logger == nil {
		options.Logger = logrus.StandardLogger()
	}
	s := &Service{
		options: options, counter: newCallCounter(options.Now), replies: map[uint64]chan CounterAck{},
		loopDone: make(chan struct{}),
		reporter: fmt.Sprintf("%s/%x", options.Instance, options.Now().UnixNano()),
	}
	s.loop = reducer.NewLoop(NewCollector(), reducer.ExecutorFunc[Effect](s.execute), reducer.Options[Event]{
		Now: options.Now, Recorder: options.Recorder,
		Tick: func() Event { return Event{Tick: true} }, TickInterval: tickInterval,
	})
	s.counter.setSnapshot(options.Snapshot())
	return s
}

// Observe implements observation.Observer.
func (s *Service) Observe(call observation.Call) { s.counter.observe(call) }

// HandleMessage is the transport.MessageHandler of transport.KindReport.
func (s *Service) HandleMessage(ctx context.Context, from transport.Peer, payload []byte) ([]byte, error) {
	var message CounterMessage
	if err := cbor.Unmarshal(payload, &message); err != nil {
		return nil, eris.Wrapf(err, "decode report of %s", from.Instance)
	}
	if !strings.HasPrefix(message.Reporter, from.Instance+"/") {
		return nil, eris.Errorf("report of %q came from %q", message.Reporter, from.Instance)
	}
	ack, err := s.receive(ctx, message)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(ack)
}

// receive submits a message to this node's collector and waits for the reply.
func (s *Service) receive(ctx context.Context, message CounterMessage) (CounterAck, error) {
	reply := make(chan CounterAck, 1)
	s.mu.Lock()
	s.lastRequestID++
	id := s.lastRequestID
	s.replies[id] = reply
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.replies, id)
		s.mu.Unlock()
	}()
	if !s.loop.Submit(ctx, Event{Received: &Received{RequestID: id, Message: message}}) {
		return CounterAck{}, eris.New("the collector has stopped")
	}
	select {
	case ack := <-reply:
		return ack, nil
	case <-s.loopDone:
		return CounterAck{}, eris.New("the collector has stopped")
	case <-ctx.Done():
		return CounterAck{}, ctx.Err()
	}
}

// Run collects and sends counters until ctx ends, and then sends the last ones. It
// must be called only once.
func (s *Service) Run(ctx context.Context) error {
	go func() {
		defer close(s.loopDone)
		s.loop.Run(ctx)
	}()
	ticker := time.NewTicker(s.options.SendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-s.loopDone
			s.platformCalls.Wait()
			lastContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
			defer cancel()
			s.send(lastContext, true)
			return ctx.Err()
		case <-ticker.C:
			s.send(ctx, false)
		}
	}
}

// send sends the counters to the collector and drops those that it acknowledges as
// stored. A node that shuts down does not choose itself as the collector.
func (s *Service) send(ctx context.Context, shuttingDown bool) {
	s.counter.setSnapshot(s.options.Snapshot())
	counters := s.counter.counters()
	collector, ok := s.chooseCollector(shuttingDown)
	if len(counters) == 0 || !ok {
		return
	}
	ack, err := s.deliver(ctx, collector, CounterMessage{Reporter: s.reporter, Counters: counters})
	if err != nil {
		s.options.Logger.WithError(err).WithField("collector", collector.Instance).Debug("report not delivered")
		return
	}
	s.counter.dropStored(ack.Stored)
}

// chooseCollector returns the collector of this failure domain. All nodes choose the
// same member by rendezvous hashing if their views of the cluster are equal.
func (s *Service) chooseCollector(excludeSelf bool) (membership.Member, bool) {
	view := s.options.View()
	if view == nil {
		return membership.Member{}, false
	}
	members := map[string]membership.Member{}
	var names []string
	for _, member := range view.Members {
		if member.State != membership.Alive || member.FailureDomain != view.Self.FailureDomain ||
			excludeSelf && member.Instance == s.options.Instance {
			continue
		}
		members[member.Instance] = member
		names = append(names, member.Instance)
	}
	if len(names) == 0 {
		return membership.Member{}, false
	}
	chosen := rendezvous.New(names, xxhash.Sum64String).Lookup("report-" + view.Self.FailureDomain)
	return members[chosen], true
}

// deliver sends a message to the collector, directly if this node is the collector.
func (s *Service) deliver(ctx context.Context, collector membership.Member, message CounterMessage) (ack CounterAck, err error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if collector.Instance == s.options.Instance {
		return s.receive(ctx, message)
	}
	payload, err := cbor.Marshal(message)
	if err != nil {
		return ack, err
	}
	reply, err := s.options.Requester.Request(ctx, collector.Address, transport.KindReport, payload)
	if err != nil {
		return ack, err
	}
	return ack, cbor.Unmarshal(reply, &ack)
}

// execute implements reducer.Executor.
func (s *Service) execute(ctx context.Context, effect Effect) {
	switch {
	case effect.Reply != nil:
		s.mu.Lock()
		reply := s.replies[effect.Reply.RequestID]
		s.mu.Unlock()
		if reply != nil {
			reply <- effect.Reply.Ack
		}
	case effect.Read != nil:
		s.startPlatformCall(ctx, func(ctx context.Context, domain string) Event { return s.executeRead(ctx, domain, *effect.Read) })
	case effect.Write != nil:
		s.startPlatformCall(ctx, func(ctx context.Context, domain string) Event { return s.executeWrite(ctx, domain, *effect.Write) })
	case effect.AddToIndex:
		s.startPlatformCall(ctx, func(ctx context.Context, domain string) Event {
			return Event{IndexResult: &IndexResult{Failed: addToIndex(ctx, s.options.Store, domain) != nil}}
		})
	case effect.DeleteStart != nil:
		s.platformCalls.Go(func() { s.delete(ctx, *effect.DeleteStart) })
	case effect.DroppedStart != nil:
		s.options.Logger.WithField("start", time.Unix(*effect.DroppedStart, 0)).Warn("report period dropped before it was stored")
	}
}

// startPlatformCall runs a platform call in the background and submits its result as
// an event.
func (s *Service) startPlatformCall(ctx context.Context, platformCall func(ctx context.Context, domain string) Event) {
	if s.options.Store == nil {
		return
	}
	domain := s.options.View().Self.FailureDomain
	s.platformCalls.Go(func() {
		callContext, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		s.loop.Submit(ctx, platformCall(callContext, domain))
	})
}

// delete deletes an expired object. If that fails, it is not retried.
func (s *Service) delete(ctx context.Context, start int64) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	name := objectName(s.options.View().Self.FailureDomain, start)
	if err := deleteObject(ctx, s.options.Store, name); err != nil {
		s.options.Logger.WithError(err).WithField("object", name).Warn("expired report period not deleted")
	}
}

// executeRead executes a ReadObject effect and returns the result.
func (s *Service) executeRead(ctx context.Context, domain string, effect ReadObject) Event {
	content, version, err := readObject(ctx, s.options.Store, objectName(domain, effect.Start))
	return Event{ReadResult: &ReadResult{Start: effect.Start, Failed: err != nil, Version: version, Content: content}}
}

// executeWrite executes a WriteObject effect and returns the result.
func (s *Service) executeWrite(ctx context.Context, domain string, effect WriteObject) Event {
	version, err := writeObject(ctx, s.options.Store, objectName(domain, effect.Start), effect.Version, effect.Content)
	if err != nil {
		s.options.Logger.WithError(err).Warn("report period not written")
	}
	return Event{WriteResult: &WriteResult{Start: effect.Start, Failed: err != nil, Version: version}}
}

// PeriodReports looks up the department in the active configuration and returns the
// reports of its periods that begin at or after since, oldest first.
func (s *Service) PeriodReports(ctx context.Context, department string, since time.Time) ([]Report, error) {
	snapshot := s.options.Snapshot()
	if snapshot == nil || s.options.Store == nil {
		return nil, eris.New("reports are not available")
	}
	found := snapshot.Department(department)
	if found == nil {
		return nil, eris.Errorf("there is no department %q", department)
	}
	return PeriodReports(ctx, s.options.Store, *found, since, s.options.Now())
}
