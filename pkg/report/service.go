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
	// sendInterval is the time between messages of an entry node.
	sendInterval = 30 * time.Second
	// tickInterval is the time between looks for due writes.
	tickInterval = 5 * time.Second
	// sendTimeout bounds one message, also the last one of a node that stops.
	sendTimeout = 3 * time.Second
)

// Options configures a Service. A nil Store keeps nothing.
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
	// Recorder receives the events of the collector; nil records nothing.
	Recorder reducer.Recorder[Event]
}

// Service counts the calls that enter at one node, sends the counters to the
// collector of the failure domain, and collects if it is that collector.
type Service struct {
	options  Options
	counter  *counter
	reporter string
	loop     *reducer.Loop[Event, Effect]

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan CounterAck
	ended   chan struct{}
	calls   sync.WaitGroup
}

// New returns a service that is not yet running.
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
		options: options, counter: newCounter(options.Now), waiting: map[uint64]chan CounterAck{},
		ended:    make(chan struct{}),
		reporter: fmt.Sprintf("%s/%x", options.Instance, options.Now().UnixNano()),
	}
	s.loop = reducer.NewLoop(NewCollector(), reducer.ExecutorFunc[Effect](s.execute), reducer.Options[Event]{
		Now: options.Now, Recorder: options.Recorder,
		Tick: func() Event { return Event{Tick: true} }, TickInterval: tickInterval,
	})
	s.counter.use(options.Snapshot())
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
	answer, err := s.receive(ctx, message)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(answer)
}

// receive hands a message to the collector and waits for its answer.
func (s *Service) receive(ctx context.Context, message CounterMessage) (CounterAck, error) {
	reply := make(chan CounterAck, 1)
	s.mu.Lock()
	s.next++
	id := s.next
	s.waiting[id] = reply
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
	}()
	if !s.loop.Submit(ctx, Event{Received: &Received{RequestID: id, Message: message}}) {
		return CounterAck{}, eris.New("the collector has stopped")
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-s.ended:
		return CounterAck{}, eris.New("the collector has stopped")
	case <-ctx.Done():
		return CounterAck{}, ctx.Err()
	}
}

// Run works until ctx ends, and then sends the last counters. It must be called
// once.
func (s *Service) Run(ctx context.Context) error {
	go func() {
		defer close(s.ended)
		s.loop.Run(ctx)
	}()
	ticker := time.NewTicker(s.options.SendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-s.ended
			s.calls.Wait()
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
			defer cancel()
			s.send(last, true)
			return ctx.Err()
		case <-ticker.C:
			s.send(ctx, false)
		}
	}
}

// send reports to the collector. A node that stops reports to another one.
func (s *Service) send(ctx context.Context, stopping bool) {
	s.counter.use(s.options.Snapshot())
	lines := s.counter.lines()
	collector, ok := s.collector(stopping)
	if len(lines) == 0 || !ok {
		return
	}
	answer, err := s.deliver(ctx, collector, CounterMessage{Reporter: s.reporter, Counters: lines})
	if err != nil {
		s.options.Logger.WithError(err).WithField("collector", collector.Instance).Debug("report not delivered")
		return
	}
	s.counter.forget(answer.Stored)
}

// collector returns the member that collects for this failure domain.
func (s *Service) collector(withoutSelf bool) (membership.Member, bool) {
	view := s.options.View()
	if view == nil {
		return membership.Member{}, false
	}
	members := map[string]membership.Member{}
	var names []string
	for _, member := range view.Members {
		if member.State != membership.Alive || member.FailureDomain != view.Self.FailureDomain ||
			withoutSelf && member.Instance == s.options.Instance {
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

func (s *Service) deliver(ctx context.Context, collector membership.Member, message CounterMessage) (answer CounterAck, err error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if collector.Instance == s.options.Instance {
		return s.receive(ctx, message)
	}
	payload, err := cbor.Marshal(message)
	if err != nil {
		return answer, err
	}
	reply, err := s.options.Requester.Request(ctx, collector.Address, transport.KindReport, payload)
	if err != nil {
		return answer, err
	}
	return answer, cbor.Unmarshal(reply, &answer)
}

// execute implements reducer.Executor.
func (s *Service) execute(ctx context.Context, effect Effect) {
	switch {
	case effect.Reply != nil:
		s.mu.Lock()
		reply := s.waiting[effect.Reply.RequestID]
		s.mu.Unlock()
		if reply != nil {
			reply <- effect.Reply.Ack
		}
	case effect.Read != nil:
		s.call(ctx, func(ctx context.Context, domain string) Event { return s.load(ctx, domain, *effect.Read) })
	case effect.Write != nil:
		s.call(ctx, func(ctx context.Context, domain string) Event { return s.write(ctx, domain, *effect.Write) })
	case effect.AddToIndex:
		s.call(ctx, func(ctx context.Context, domain string) Event {
			return Event{IndexResult: &IndexResult{Failed: enterIndex(ctx, s.options.Store, domain) != nil}}
		})
	case effect.DeleteStart != nil:
		s.calls.Go(func() { s.delete(ctx, *effect.DeleteStart) })
	case effect.DroppedStart != nil:
		s.options.Logger.WithField("start", time.Unix(*effect.DroppedStart, 0)).Warn("report period given up unwritten")
	}
}

// call runs a platform call in the background and submits its result.
func (s *Service) call(ctx context.Context, work func(ctx context.Context, domain string) Event) {
	if s.options.Store == nil {
		return
	}
	domain := s.options.View().Self.FailureDomain
	s.calls.Go(func() {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		s.loop.Submit(ctx, work(callContext, domain))
	})
}

// delete removes an old object. A failure leaves it behind.
func (s *Service) delete(ctx context.Context, start int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := objectName(s.options.View().Self.FailureDomain, start)
	if err := deleteObject(ctx, s.options.Store, name); err != nil {
		s.options.Logger.WithError(err).WithField("object", name).Warn("old report period not deleted")
	}
}

func (s *Service) load(ctx context.Context, domain string, l ReadObject) Event {
	content, version, err := readObject(ctx, s.options.Store, objectName(domain, l.Start))
	return Event{ReadResult: &ReadResult{Start: l.Start, Failed: err != nil, Version: version, Content: content}}
}

func (s *Service) write(ctx context.Context, domain string, w WriteObject) Event {
	version, err := writeObject(ctx, s.options.Store, objectName(domain, w.Start), w.Version, w.Content)
	if err != nil {
		s.options.Logger.WithError(err).Warn("report period not written")
	}
	return Event{WriteResult: &WriteResult{Start: w.Start, Failed: err != nil, Version: version}}
}

// PeriodReports returns the reports of a department's periods that begin at or after
// since, oldest first.
func (s *Service) PeriodReports(ctx context.Context, department string, since time.Time) ([]Report, error) {
	snapshot := s.options.Snapshot()
	if snapshot == nil || s.options.Store == nil {
		return nil, eris.New("reports are not available")
	}
	known := snapshot.Department(department)
	if known == nil {
		return nil, eris.Errorf("there is no department %q", department)
	}
	return PeriodReports(ctx, s.options.Store, *known, since, s.options.Now())
}
