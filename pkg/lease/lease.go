// Package lease elects one instance at a time for a role, by conditional updates of
// a lease object in the platform.
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
	// Duration is the time without renewal after which another instance may acquire
	// the lease. The holder stops using it a tenth of the duration earlier.
	Duration time.Duration
	// RenewInterval is the time between renewals by the holder and between reads by
	// other candidates.
	RenewInterval time.Duration
	// IsCandidate reports whether this instance wants the lease; nil means always. An
	// instance that does not want it makes no calls, and releases it if it holds it.
	IsCandidate func() bool
	// MinFencingToken returns a fencing token learned from another source. The token of
	// the next acquisition must exceed it, so that tokens rise even if the platform is
	// restored from an older copy. Nil means 0.
	MinFencingToken func() uint64
	// CheckInterval is the time between checks of IsCandidate and of the lease's expiry.
	CheckInterval time.Duration
	// OnChange is called in order for each acquisition and loss of the lease, never
	// concurrently. Renewals are not reported.
	OnChange func(fencingToken uint64, held bool)
	// Now is the clock; nil means time.Now. It must be monotonic.
	Now func() time.Time
	// Recorder receives the events of the state machine; nil records none.
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

type activeLease struct {
	fencingToken uint64
	heldUntil    time.Time
}

// Lease is this instance's view of one lease.
type Lease struct {
	o      Options
	logger *logrus.Entry
	loop   *reducer.Loop[Event, Effect]
	active atomic.Pointer[activeLease]
	// notified is the last state reported to OnChange.
	notified activeLease
}

// New returns a lease that is not yet running, or an error if a required option
// is missing or the durations do not allow two renewals within the lease.
func New(o Options) (*Lease, error) {
	if o.Store == nil || o.Name == "" || o.Holder == "" {
		return nil, eris.New("lease options need Store, Name and Holder")
	}
	o.setDefaults()
	if o.RenewInterval*2 > o.Duration {
		return nil, eris.Errorf("lease duration %v is less than twice the renew interval %v", o.Duration, o.RenewInterval)
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

// Run tries to acquire and renew the lease until ctx ends. It does not release the
// lease then; in a graceful shutdown, IsCandidate must return false first.
func (l *Lease) Run(ctx context.Context) {
	l.loop.Run(ctx)
	l.active.Store(nil)
	l.notify(activeLease{})
}

// Held returns the fencing token and whether this instance holds the lease now. It
// returns false as soon as the lease has expired by the local clock, even if the
// process was paused and Run has not been scheduled since.
func (l *Lease) Held() (fencingToken uint64, ok bool) {
	h := l.active.Load()
	if h == nil || !l.o.Now().Before(h.heldUntil) {
		return 0, false
	}
	return h.fencingToken, true
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
			l.active.Store(nil)
			l.notify(activeLease{})
			return
		}
		h := activeLease{fencingToken: e.FencingToken, heldUntil: e.HeldUntil}
		l.active.Store(&h)
		l.notify(h)
	}
}

func (l *Lease) notify(h activeLease) {
	if l.notified.fencingToken == h.fencingToken {
		return
	}
	previous := l.notified
	l.notified = h
	if previous.fencingToken != 0 {
		l.o.OnChange(previous.fencingToken, false)
	}
	if h.fencingToken != 0 {
		l.o.OnChange(h.fencingToken, true)
	}
}

// callTimeout returns the timeout of one call to the platform. It leaves time for a
// second attempt within the lease.
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
		// A malformed lease is treated as held by another instance and replaced once it
		// expires.
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
