package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/azurespring/azurespring/pkg/lease"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/platform"
)

// errNoAnswer means that the platform has not answered calls for a lease lately.
var errNoAnswer = errors.New("the platform gives no answer")

// wantedFor is how long a lease is renewed after the last Acquire. The decider
// asks every second while it has the role.
const wantedFor = 10 * time.Second

// newLeaseFactory returns leases for deciders of moves.
func newLeaseFactory(store platform.Store, holder string, logger *logrus.Logger) move.LeaseFactory {
	return func(name string) move.Lease {
		l := &moveLease{answers: &answeringStore{Store: store}}
		l.build = func() (*lease.Lease, error) {
			return lease.New(lease.Options{
				Store: l.answers, Name: name, Holder: holder, Candidate: l.wanted, Logger: logger,
			})
		}
		return l
	}
}

// moveLease runs a lease for as long as the decider asks for it.
type moveLease struct {
	build   func() (*lease.Lease, error)
	answers *answeringStore

	mu    sync.Mutex
	asked time.Time
	// lease is nil while it does not run.
	lease *lease.Lease
}

func (l *moveLease) wanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.asked) < wantedFor
}

// Acquire implements move.Lease.
func (l *moveLease) Acquire(context.Context) (fence uint64, granted bool, err error) {
	if err := l.start(); err != nil {
		return 0, false, err
	}
	if fence, held := l.Held(); held {
		return fence, true, nil
	}
	if !l.answers.recent() {
		return 0, false, errNoAnswer
	}
	return 0, false, nil
}

// start runs the lease in the background until it is no longer wanted.
func (l *moveLease) start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = time.Now()
	if l.lease != nil {
		return nil
	}
	running, err := l.build()
	if err != nil {
		return err
	}
	l.lease = running
	ctx, cancel := context.WithCancel(context.Background())
	go running.Run(ctx)
	go l.stopWhenUnwanted(cancel)
	return nil
}

// stopWhenUnwanted ends the loop some time after the lease is no longer wanted,
// so that its release still reaches the platform.
func (l *moveLease) stopWhenUnwanted(cancel context.CancelFunc) {
	defer cancel()
	for unwanted := false; !unwanted; {
		time.Sleep(wantedFor / 2)
		unwanted = !l.wanted()
	}
	time.Sleep(wantedFor / 2)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = nil
}

// Held implements move.Lease.
func (l *moveLease) Held() (fence uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == nil {
		return 0, false
	}
	return l.lease.Held()
}

// Release implements move.Lease.
func (l *moveLease) Release(context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = time.Time{}
}

// answeringStore remembers when the platform last answered, be it with a refusal.
type answeringStore struct {
	platform.Store

	mu   sync.Mutex
	last time.Time
}

// answerWindow is the time after which an answer no longer shows that the
// platform is up: two looks of a candidate at the lease.
const answerWindow = 2 * lease.DefaultRenewEvery

func (s *answeringStore) recent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.last) < answerWindow
}

func (s *answeringStore) answered(err error) {
	if err != nil && !eris.Is(err, platform.ErrNotFound) && !eris.Is(err, platform.ErrConflict) && !eris.Is(err, platform.ErrExists) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = time.Now()
}

// Get implements platform.Store.
func (s *answeringStore) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	object, err := s.Store.Get(ctx, kind, name)
	s.answered(err)
	return object, err
}

// Create implements platform.Store.
func (s *answeringStore) Create(ctx context.Context, kind platform.Kind, name string, value []byte) (platform.Object, error) {
	object, err := s.Store.Create(ctx, kind, name, value)
	s.answered(err)
	return object, err
}

// Update implements platform.Store.
func (s *answeringStore) Update(ctx context.Context, object platform.Object) (platform.Object, error) {
	object, err := s.Store.Update(ctx, object)
	s.answered(err)
	return object, err
}
