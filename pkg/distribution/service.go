// Package distribution brings accepted configuration versions to all nodes: one
// reader per region watches the platform, versions spread by gossip, and each
// node pulls from its neighbours the parts that changed.
package distribution

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/lease"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
)

// Defaults of Options.
const (
	DefaultLeaseDuration              = 15 * time.Second
	DefaultRenewInterval              = 5 * time.Second
	DefaultGCInterval                 = time.Hour
	DefaultGCMinAge                   = time.Hour
	DefaultBootstrapAddressesInterval = 10 * time.Minute
	defaultTickInterval               = 100 * time.Millisecond
	configItemKey                     = "head"
	contestedItemKey                  = "contested"
	readerLeasePrefix                 = "reader-"
	candidateCheckInterval            = time.Second
)

// Options configures a Service. Store, Requester, Publisher, Instance and Region
// are required.
type Options struct {
	Store     platform.Store
	Requester transport.Requester
	Publisher gossip.Publisher
	Instance  string
	Region    string
	// Timeline receives what happens; nil records nothing.
	Timeline timeline.Recorder
	// Peers returns the addresses of the nodes to pull from, the gossip neighbours.
	Peers func() []string
	// IsReaderCandidate says whether this node should try to become its region's
	// reader, for example because it is the first live member by rendezvous hash.
	// Nil means never.
	IsReaderCandidate func() bool
	// BootstrapAddresses returns node addresses to write for first contact; nil writes none.
	BootstrapAddresses func() []string

	// LeaseDuration and RenewInterval are those of the reader's lease.
	LeaseDuration time.Duration
	RenewInterval time.Duration
	// GCInterval is the time between searches for unreferenced parts; GCMinAge
	// is the time for which a part must be seen unreferenced before it is deleted.
	// It must be longer than any Apply may take.
	GCInterval time.Duration
	GCMinAge   time.Duration
	// BootstrapAddressesInterval is the least time between writes of the contacts.
	BootstrapAddressesInterval time.Duration
	// Recorder receives the reducer's events; nil records none.
	Recorder reducer.Recorder[Event]
	// Seed makes the jitter of retries reproducible; 0 takes a random one.
	Seed   uint64
	Logger *logrus.Logger
}

func (o *Options) setDefaults() {
	o.LeaseDuration = lo.CoalesceOrEmpty(o.LeaseDuration, DefaultLeaseDuration)
	o.RenewInterval = lo.CoalesceOrEmpty(o.RenewInterval, DefaultRenewInterval)
	o.GCInterval = lo.CoalesceOrEmpty(o.GCInterval, DefaultGCInterval)
	o.GCMinAge = lo.CoalesceOrEmpty(o.GCMinAge, DefaultGCMinAge)
	o.BootstrapAddressesInterval = lo.CoalesceOrEmpty(o.BootstrapAddressesInterval, DefaultBootstrapAddressesInterval)
	if o.Timeline == nil {
		o.Timeline = timeline.NopRecorder{}
	}
	if o.Peers == nil {
		o.Peers = func() []string { return nil }
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Logger == nil {
		o.Logger = logrus.New()
		o.Logger.SetOutput(io.Discard)
	}
}

// Service keeps the configuration in force. Its methods are safe for concurrent use.
type Service struct {
	o        Options
	logger   *logrus.Entry
	loop     *reducer.Loop[Event, Effect]
	versions *versions
	snapshot atomic.Pointer[dynamic.Snapshot]
	reader   *reader
	lease    atomic.Pointer[lease.Lease]
	// fence is the highest fencing number announced for this region's lease.
	fence atomic.Uint64
	// highest is the highest version number in force here or announced.
	highest atomic.Uint64

	mu        sync.Mutex
	callbacks []func(*dynamic.Snapshot)
	// changes are the change ids of the last head that this node saw.
	changes []change

	background sync.WaitGroup
}

// New returns a service that is not yet running, or an error if a required
// option is missing.
func New(o Options) (*Service, error) {
	if o.Store == nil || o.Requester == nil || o.Publisher == nil || o.Instance == "" || o.Region == "" {
		return nil, eris.New("distribution needs Store, Requester, Publisher, Instance and Region")
	}
	o.setDefaults()
	s := &Service{
		o: o, versions: newVersions(),
		logger: o.Logger.WithFields(logrus.Fields{"package": "distribution", "instance": o.Instance}),
	}
	s.reader = &reader{s: s}
	s.loop = reducer.NewLoop(reducer.Reducer[Event, Effect](NewStateMachine(o.Seed)), reducer.Executor[Effect](s),
		reducer.Options[Event]{
			Tick: func() Event { return Tick{} }, TickInterval: defaultTickInterval, Recorder: o.Recorder,
		})
	return s, nil
}

// Run keeps the configuration up to date until ctx ends. While this node is a
// reader candidate, it also contends for the reader's lease.
func (s *Service) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		s.reader.stop()
		s.background.Wait()
	}()
	if s.o.IsReaderCandidate != nil {
		s.background.Go(func() { s.contend(ctx) })
	}
	s.loop.Run(ctx)
}

// contend runs the reader's lease whenever this node is a candidate.
func (s *Service) contend(ctx context.Context) {
	name := readerLeasePrefix + s.o.Region
	l, err := lease.New(lease.Options{
		Store: s.o.Store, Name: name, Holder: s.o.Instance,
		Duration: s.o.LeaseDuration, RenewInterval: s.o.RenewInterval,
		IsCandidate: s.o.IsReaderCandidate, CheckInterval: min(candidateCheckInterval, s.o.RenewInterval/5),
		MinFencingToken: s.fence.Load,
		OnChange: func(fence uint64, held bool) {
			s.loop.Submit(ctx, ReaderLeaseChanged{Lease: name, Held: held, FencingToken: fence})
		},
		Logger: s.o.Logger,
	})
	if err != nil {
		s.logger.WithError(err).Error("reader lease cannot run")
		return
	}
	s.lease.Store(l)
	l.Run(ctx)
}

// errNotReader means that the reader's lease lapsed, perhaps while the process
// was paused and before its loop learnt of it.
var errNotReader = eris.New("this node is not its region's reader")

// checkReader returns an error unless this node holds the reader's lease now.
func (s *Service) checkReader() error {
	if l := s.lease.Load(); l != nil {
		if _, held := l.Held(); held {
			return nil
		}
	}
	return errNotReader
}

// Snapshot returns the snapshot in force, nil before the first.
func (s *Service) Snapshot() *dynamic.Snapshot { return s.snapshot.Load() }

// Version returns the number of the version in force, 0 before the first.
func (s *Service) Version() uint64 {
	if current := s.Snapshot(); current != nil {
		return current.Version()
	}
	return 0
}

// OnActivate registers a function that is called with each new snapshot, in
// order, from the service's loop. It must not block. If a snapshot is in force
// already, the function is called with it at once.
func (s *Service) OnActivate(callback func(*dynamic.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callbacks = append(s.callbacks, callback)
	if current := s.Snapshot(); current != nil {
		callback(current)
	}
}

// OnConfigItem implements gossip.Subscriber for topic config.
func (s *Service) OnConfigItem(item gossip.Item) {
	a, err := decodeAnnouncement(item.Payload)
	if err != nil {
		s.logger.WithError(err).Warn("malformed announcement")
		return
	}
	if a.Lease == readerLeasePrefix+s.o.Region {
		raise(&s.fence, a.FencingToken)
	}
	raise(&s.highest, a.Version.Number)
	s.loop.Submit(context.Background(), AnnouncementReceived{Announcement: a})
}

func raise(value *atomic.Uint64, to uint64) {
	for current := value.Load(); current < to; current = value.Load() {
		if value.CompareAndSwap(current, to) {
			return
		}
	}
}

// Execute implements reducer.Executor.
func (s *Service) Execute(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case PullVersion:
		s.background.Go(func() { s.pull(ctx) })
	case FetchVersion:
		s.background.Go(func() { s.reader.fetch(ctx, e.Version) })
	case ActivateVersion:
		s.activate(e.Version)
	case DiscardVersion:
		s.versions.drop(e.Version)
	case PublishAnnouncement:
		// Gossip calls back into this loop, so the loop must not wait for it.
		key := configItemKey
		if e.Conflict {
			key = contestedItemKey
		}
		item := gossip.Item{Topic: gossip.TopicConfig, Key: key, Payload: encode(e.Announcement)}
		s.background.Go(func() { s.o.Publisher.Publish(item) })
	case StartWatch:
		s.reader.start(ctx)
	case StopWatch:
		s.reader.stop()
	case WriteBack:
		s.background.Go(func() { s.reader.writeBack(ctx, e) })
	case RecordEvent:
		s.o.Timeline.Record(e.Event)
	}
}

// activate swaps in a prepared version. The versions refuse anything that is
// not above the version in force, whatever the reducer decided. Those who wait
// for the version, such as Apply, are woken last, so that they find it in force.
func (s *Service) activate(id Version) {
	c := s.versions.next(id)
	if c == nil {
		return
	}
	raise(&s.highest, id.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot.Store(c.snapshot)
	for _, callback := range s.callbacks {
		callback(c.snapshot)
	}
	s.versions.activate(c)
}

func (s *Service) peers() []string { return slices.Clone(s.o.Peers()) }

// awaitVersion waits until a version of at least number is in force.
func (s *Service) awaitVersion(ctx context.Context, number uint64) error {
	for {
		active, raised := s.versions.current()
		if active != nil && active.manifest.Version >= number {
			return nil
		}
		select {
		case <-raised:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for version %d", number)
		}
	}
}

// noteHead remembers the change ids of the newest head.
func (s *Service) noteHead(h head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = mergeChanges(h.Changes, s.changes)
}

// mergeChanges returns the newest changes of both lists, oldest first.
func mergeChanges(a, b []change) []change {
	all := lo.UniqBy(slices.Concat(a, b), func(c change) string { return c.ID })
	slices.SortStableFunc(all, func(x, y change) int { return int(int64(x.Version) - int64(y.Version)) })
	return all[max(0, len(all)-keptChanges):]
}
