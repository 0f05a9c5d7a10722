// Package lease gives a role to one instance at a time, by conditional updates
// of an object in the platform.
package lease

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
)

// Defaults of Options.
const (
	DefaultDuration      = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
)

// Options configures a Lease. Store, Name and Holder are required.
type Options struct {
	Store platform.Store
	// Name is the name of the lease object.
	Name string
	// Holder identifies this process. No two processes may use the same one.
	Holder string
	// Duration is the time without renewal after which another instance may take
	// the lease. Its holder stops acting a tenth of it earlier.
	Duration time.Duration
	// RenewInterval is the time between renewals by the holder and between reads by
	// other candidates.
	RenewInterval time.Duration
	// IsCandidate says whether this instance wants the lease; nil means always. An
	// instance that does not want it makes no calls, and releases it if it holds it.
	IsCandidate func() bool
	// MinFencingToken returns a fencing number known from elsewhere that the next
	// acquisition must exceed, so that numbers rise even if the platform is
	// restored from an older copy. Nil means 0.
	MinFencingToken func() uint64
	// CheckInterval is the time between looks at Candidate and the clock.
	CheckInterval time.Duration
	// OnViewChange is called in order with each change of the role, never
	// concurrently. Renewals are not changes.
	OnChange func(fence uint64, held bool)
	// Now is the clock; nil means time.Now. It must be monotonic.
	Now func() time.Time
	// Recorder receives the reducer's events; nil records none.
	Recorder reducer.Recorder[Event]
	Logger   *logrus.Logger
}

func (o *Options) setDefaults() {
	o.Duration = lo.CoalesceOrEmpty(o.Duration, DefaultDuration)
	o.RenewInterval = lo.CoalesceOrEmpty(o.RenewInterval, DefaultRenewInterval)
	o.CheckInterval = lo.CoalesceOrEmpty(o.CheckInterval, o.RenewInterval/10)
	if o.IsCandidate == nil {
		o.IsCandidate = func() bool { return true }
	}
	if o.MinFencingToken == nil {
		o.MinFencingToken = func() uint64 { return 0 }
	}
	if o.OnChange == nil {
		o.OnChange = func(uint64, bool) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = logrus.New()
		o.Logger.SetOutput(io.Discard)
	}
}

type holding struct {
	fence uint64
	until time.Time
}

// Lease is this instance's view of one lease.
type Lease struct {
	o       Options
	logger  *logrus.Entry
	loop    *reducer.Loop[Event, Effect]
	holding atomic.Pointer[holding]
	// acting is the last state given to OnViewChange.
	acting holding
}

// New returns a lease that is not yet running, or an error if a required option
// is missing or the durations do not allow two renewals within the lease.
func New(o Options) (*Lease, error) {
	if o.Store == nil || o.Name == "" || o.Holder == "" {
		return nil, eris.New("a lease needs Store, Name and Holder")
	}
	o.setDefaults()
	if o.RenewInterval*2 > o.Duration {
		return nil, eris.Errorf("lease of %v cannot be renewed every %v", o.Duration, o.RenewInterval)
	}
	l := &Lease{o: o, logger: o.Logger.WithFields(logrus.Fields{"package": "lease", "lease": o.Name, "holder": o.Holder})}
	machine := NewStateMachine(o.Holder, o.Duration, o.RenewInterval)
	l.loop = reducer.NewLoop(reducer.Reducer[Event, Effect](machine), reducer.Executor[Effect](l),
		reducer.Options[Event]{Now: o.Now, Tick: l.tick, TickInterval: o.CheckInterval, Recorder: o.Recorder})
	return l, nil
}

func (l *Lease) tick() Event {
	return Tick{Candidate: l.o.IsCandidate(), MinFencingToken: l.o.MinFencingToken()}
}

// Run contends for the lease until ctx ends. It does not release it then; a
// process that stops in order makes Candidate return false first.
func (l *Lease) Run(ctx context.Context) {
	l.loop.Run(ctx)
	l.holding.Store(nil)
	l.notify(holding{})
}

// Held returns the fencing number and whether this instance may act under the
// lease now. It is false as soon as the lease's time is over by the local clock,
// even if the process was paused and Run had no turn since.
func (l *Lease) Held() (fence uint64, ok bool) {
	h := l.holding.Load()
	if h == nil || !l.o.Now().Before(h.until) {
		return 0, false
	}
	return h.fence, true
}

// Execute implements reducer.Executor.
func (l *Lease) Execute(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case Read:
		go func() { l.loop.Submit(ctx, l.read(ctx)) }()
	case Write:
		go func() { l.loop.Submit(ctx, l.write(ctx, e)) }()
	case HoldingChanged:
		if !e.Held {
			l.holding.Store(nil)
			l.notify(holding{})
			return
		}
		h := holding{fence: e.FencingToken, until: e.HeldUntil}
		l.holding.Store(&h)
		l.notify(h)
	}
}

func (l *Lease) notify(h holding) {
	if l.acting.fence == h.fence {
		return
	}
	before := l.acting
	l.acting = h
	if before.fence != 0 {
		l.o.OnChange(before.fence, false)
	}
	if h.fence != 0 {
		l.o.OnChange(h.fence, true)
	}
}

// callTimeout leaves time for a second attempt within the lease.
func (l *Lease) callTimeout() time.Duration { return l.o.Duration / 3 }

func (l *Lease) read(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	stored, err := l.o.Store.Get(ctx, platform.KindLease, l.o.Name)
	if errors.Is(err, platform.ErrNotFound) {
		return ReadEnded{}
	}
	if err != nil {
		l.logger.WithError(err).Debug("lease could not be read")
		return ReadEnded{Failed: true}
	}
	record, err := decodeRecord(stored.Value)
	if err != nil {
		// A malformed lease is replaced like one that another instance holds.
		l.logger.WithError(err).Error("stored lease is malformed")
		record = Record{Holder: "unknown", Duration: l.o.Duration}
	}
	return ReadEnded{Record: record, ResourceVersion: stored.ResourceVersion}
}

func (l *Lease) write(ctx context.Context, w Write) Event {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	var stored platform.Object
	var err error
	if w.ResourceVersion == "" {
		stored, err = l.o.Store.Create(ctx, platform.KindLease, l.o.Name, w.Record.encode())
	} else {
		stored, err = l.o.Store.Update(ctx, platform.Object{
			Kind: platform.KindLease, Name: l.o.Name, ResourceVersion: w.ResourceVersion, Value: w.Record.encode(),
		})
	}
	if err != nil {
		l.logger.WithError(err).Debug("lease write is not confirmed")
		return WriteEnded{}
	}
	return WriteEnded{ResourceVersion: stored.ResourceVersion}
}
