// Package distribution delivers accepted configuration versions to all nodes. One
// reader per region watches the platform, new versions are announced by gossip, and
// each node pulls the changed parts from its gossip neighbours.
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
	conflictItemKey                   = "contested"
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
	// Timeline receives the events of distribution; nil records nothing.
	Timeline timeline.Recorder
	// Peers returns the addresses of the nodes to pull from, which are the gossip
	// neighbours.
	Peers func() []string
	// IsReaderCandidate reports whether this node should try to become the reader of
	// its region, for example because it is the first live member by rendezvous hash.
	// Nil means never.
	IsReaderCandidate func() bool
	// BootstrapAddresses returns node addresses that the reader stores in the platform
	// for joining nodes; nil stores none.
	BootstrapAddresses func() []string

	// LeaseDuration and RenewInterval configure the reader lease.
	LeaseDuration time.Duration
	RenewInterval time.Duration
	// GCInterval is the time between searches for unreferenced parts. GCMinAge is the
	// time for which a part must have been unreferenced before it is deleted; it must
	// be longer than any Apply may take.
	GCInterval time.Duration
	GCMinAge   time.Duration
	// BootstrapAddressesInterval is the minimum time between writes of the bootstrap
	// addresses.
	BootstrapAddressesInterval time.Duration
	// Recorder receives the reducer's events; nil records none.
	Recorder reducer.Recorder[Event]
	// Seed makes the retry jitter reproducible; 0 uses a random seed.
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

// Service keeps the active configuration of a node up to date. Its methods are safe for
// concurrent use.
type Service struct {
	o        Options
	logger   *logrus.Entry
	loop     *reducer.Loop[Event, Effect]
	versions *versions
	snapshot atomic.Pointer[dynamic.Snapshot]
	reader   *reader
	lease    atomic.Pointer[lease.Lease]
	// highestFencingToken is the highest fencing token announced for the reader lease
	// of this region.
	highestFencingToken atomic.Uint64
	// highestVersion is the highest version number that was active on this node or
	// announced to it.
	highestVersion atomic.Uint64

	mu        sync.Mutex
	callbacks []func(*dynamic.Snapshot)
	// recentChanges are the newest changes from the heads that this node has read,
	// oldest first.
	recentChanges []change

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

// Run keeps the configuration up to date until ctx ends. While this node is a reader
// candidate, it also tries to acquire the reader lease.
func (s *Service) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		s.reader.stop()
		s.background.Wait()
	}()
	if s.o.IsReaderCandidate != nil {
		s.background.Go(func() { s.runReaderLease(ctx) })
	}
	s.loop.Run(ctx)
}

// runReaderLease acquires and renews the reader lease while this node is a candidate.
func (s *Service) runReaderLease(ctx context.Context) {
	name := readerLeasePrefix + s.o.Region
	l, err := lease.New(lease.Options{
		Store: s.o.Store, Name: name, Holder: s.o.Instance,
		Duration: s.o.LeaseDuration, RenewInterval: s.o.RenewInterval,
		IsCandidate: s.o.IsReaderCandidate, CheckInterval: min(candidateCheckInterval, s.o.RenewInterval/5),
		MinFencingToken: s.highestFencingToken.Load,
		OnChange: func(fencingToken uint64, held bool) {
			s.loop.Submit(ctx, ReaderLeaseChanged{Lease: name, Held: held, FencingToken: fencingToken})
		},
		Logger: s.o.Logger,
	})
	if err != nil {
		s.logger.WithError(err).Error("reader lease could not be started")
		return
	}
	s.lease.Store(l)
	l.Run(ctx)
}

// errNotReader means that the reader lease expired, possibly while the process was
// paused and before the reducer loop received the change.
var errNotReader = eris.New("this node is not its region's reader")

// checkReader returns an error unless this node holds the reader lease.
func (s *Service) checkReader() error {
	if l := s.lease.Load(); l != nil {
		if _, held := l.Held(); held {
			return nil
		}
	}
	return errNotReader
}

// Snapshot returns the active snapshot, or nil before the first activation.
func (s *Service) Snapshot() *dynamic.Snapshot { return s.snapshot.Load() }

// Version returns the number of the active version, or 0 before the first activation.
func (s *Service) Version() uint64 {
	if current := s.Snapshot(); current != nil {
		return current.Version()
	}
	return 0
}

// OnActivate registers a function that the reducer loop calls with each new snapshot,
// in order. It must not block. If a snapshot is active already, the function is called
// with it at once.
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
		s.logger.WithError(err).Warn("malformed version announcement ignored")
		return
	}
	if a.Lease == readerLeasePrefix+s.o.Region {
		storeMax(&s.highestFencingToken, a.FencingToken)
	}
	storeMax(&s.highestVersion, a.Version.Number)
	s.loop.Submit(context.Background(), AnnouncementReceived{Announcement: a})
}

func storeMax(value *atomic.Uint64, candidate uint64) {
	for current := value.Load(); current < candidate; current = value.Load() {
		if value.CompareAndSwap(current, candidate) {
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
		s.versions.discard(e.Version)
	case PublishAnnouncement:
		// Publish calls back into this loop, so the loop must not wait for it.
		key := configItemKey
		if e.Conflict {
			key = conflictItemKey
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

// activate makes a prepared version the active one. Versions that are not above the
// active one are ignored, whatever the reducer decided. Callers of awaitVersion, such
// as Apply, are woken after the callbacks, so that they find the version in use.
func (s *Service) activate(id Version) {
	c := s.versions.preparedAboveActive(id)
	if c == nil {
		return
	}
	storeMax(&s.highestVersion, id.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot.Store(c.snapshot)
	for _, callback := range s.callbacks {
		callback(c.snapshot)
	}
	s.versions.activate(c)
}

func (s *Service) peers() []string { return slices.Clone(s.o.Peers()) }

// awaitVersion waits until the active version is at least number.
func (s *Service) awaitVersion(ctx context.Context, number uint64) error {
	for {
		active, activated := s.versions.activeVersion()
		if active != nil && active.manifest.Version >= number {
			return nil
		}
		select {
		case <-activated:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for version %d", number)
		}
	}
}

// recordChanges merges the changes of a head into recentChanges.
func (s *Service) recordChanges(h head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentChanges = mergeChanges(h.Changes, s.recentChanges)
}

// mergeChanges returns the newest changes of both lists, oldest first.
func mergeChanges(a, b []change) []change {
	all := lo.UniqBy(slices.Concat(a, b), func(c change) string { return c.ID })
	slices.SortStableFunc(all, func(x, y change) int { return int(int64(x.Version) - int64(y.Version)) })
	return all[max(0, len(all)-maxRetainedChanges):]
}
