// Package idempotency lets each idempotency key through once, by claims that
// the owners of 16 shards store in the platform in batches.
package idempotency

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
)

const (
	// DefaultClaimTimeout bounds one Claim whose context has no earlier deadline.
	DefaultClaimTimeout = 2 * time.Second
	// askRetry is the time between attempts to reach the owner of a shard.
	askRetry = 20 * time.Millisecond
	// completeTimeout bounds the attempt to report the end of a call.
	completeTimeout = 2 * time.Second
	// maxCompletions is the number of ends of calls that are reported at the same
	// time; more are dropped, which leaves their keys in use.
	maxCompletions = 256
	// tickInterval paces deadlines of waiting claims and upkeep.
	tickInterval = 100 * time.Millisecond
	// answerMargin is the time past a claim's deadline for which its result is awaited.
	answerMargin = time.Second
	// disownAfter is the time after which a shard that this node no longer owns is
	// forgotten, so that a short change of view does not cause a full load.
	disownAfter = time.Minute
)

// Options configures a Service. Store, Requester and Owners are required.
type Options struct {
	Store     platform.Store
	Requester transport.Requester
	// ShardOwner returns the address of the owner of a shard and whether it is this
	// node; an empty address means that none is known. Shards are numbered from 0
	// to Shards-1. Two nodes that both believe they own a shard do no harm.
	ShardOwner func(shard int) (address string, self bool)
	// ClaimTimeout bounds one Claim.
	ClaimTimeout time.Duration
	// Recorder receives the reducer's events; nil records none.
	Recorder reducer.Recorder[Event]
	Logger   *logrus.Logger
}

// Key identifies a call that must run at most once.
type Key struct {
	Customer, Service, Route, Key string
	// Fingerprint identifies the request's content; empty if it is not compared.
	Fingerprint string
}

func (k Key) hash() keyHash {
	sum := sha256.Sum256([]byte(strings.Join([]string{k.Customer, k.Service, k.Route, k.Key}, "\x00")))
	return keyHash(sum[:])
}

func (k Key) fingerprint() uint64 {
	if k.Fingerprint == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(k.Fingerprint))
	return binary.BigEndian.Uint64(sum[:])
}

func (h keyHash) shard() int { return int(h[0]) % ShardCount }

// Claim is the result of a successful Service.Claim.
type Claim struct {
	// Granted is set if no other call holds the key. The claimant must call Complete.
	Granted bool
	// Response is the recorded answer of the first call if First is not set.
	Response []byte

	key keyHash
	id  claimID
}

// Completion says how a claimed call ended.
type Completion struct {
	// NotRun is set if the call did not run, so that the key may be claimed again.
	NotRun bool
	// Response is recorded for resends if it is at most MaxResponseBytes long; nil if it
	// is unknown.
	Response []byte
}

// Service claims keys for calls that enter at this node, and stores the claims
// of the shards that this node owns.
type Service struct {
	o      Options
	logger *logrus.Entry
	loop   *reducer.Loop[Event, Effect]

	mu      sync.Mutex
	tickets map[uint64]chan reply
	wakeAt  time.Time
	// disowned holds since when this node has not owned a shard that it served.
	disowned map[int]time.Time
	served   [ShardCount]atomic.Bool

	ticket      atomic.Uint64
	completions chan struct{}
	background  sync.WaitGroup
}

// New returns a service that is not yet running, or an error if a required
// option is missing.
func New(o Options) (*Service, error) {
	if o.Store == nil || o.Requester == nil || o.ShardOwner == nil {
		return nil, eris.New("idempotency needs Store, Requester and Owners")
	}
	o.ClaimTimeout = lo.CoalesceOrEmpty(o.ClaimTimeout, DefaultClaimTimeout)
	if o.Logger == nil {
		o.Logger = logrus.New()
		o.Logger.SetOutput(io.Discard)
	}
	s := &Service{
		o: o, logger: o.Logger.WithField("package", "idempotency"),
		tickets: make(map[uint64]chan reply), disowned: make(map[int]time.Time),
		completions: make(chan struct{}, maxCompletions),
	}
	s.loop = reducer.NewLoop(reducer.Reducer[Event, Effect](NewStateMachine()), reducer.Executor[Effect](s),
		reducer.Options[Event]{Tick: s.tick, TickInterval: tickInterval, Recorder: o.Recorder})
	return s, nil
}

// Run serves the shards that this node owns until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		s.background.Wait()
	}()
	s.background.Go(func() { s.watchOwnership(ctx) })
	s.loop.Run(ctx)
}

func (s *Service) tick() Event { return Tick{} }

// watchOwnership forgets shards that this node no longer owns.
func (s *Service) watchOwnership(ctx context.Context) {
	ticker := time.NewTicker(disownAfter / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for shard := range ShardCount {
				s.checkOwnership(ctx, now, shard)
			}
		}
	}
}

func (s *Service) checkOwnership(ctx context.Context, now time.Time, shard int) {
	if !s.served[shard].Load() {
		return
	}
	if _, self := s.o.ShardOwner(shard); self {
		delete(s.disowned, shard)
		return
	}
	since, known := s.disowned[shard]
	switch {
	case !known:
		s.disowned[shard] = now
	case now.Sub(since) >= disownAfter:
		s.loop.Submit(ctx, OwnershipLost{Shard: shard})
	}
}

// Claim claims a key. It returns a claim that is First if the call may run, or
// one with the recorded answer of the call that ran. Otherwise it returns a
// *verdict.Error: key-in-use (may-have-run) if another call holds the key and
// its answer is not known, bad-request (not-run) if the key was claimed with
// another fingerprint, or key-store-unavailable (not-run) if the claim could not
// be stored in time. Run must be running.
func (s *Service) Claim(ctx context.Context, key Key) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, s.o.ClaimTimeout)
	defer cancel()
	claim := Claim{key: key.hash()}
	if _, err := rand.Read(claim.id[:]); err != nil {
		return Claim{}, verdict.NotRunErrorf(verdict.KeyStoreUnavailable, "no random claim id: %v", err)
	}
	answer, err := s.obtain(ctx, request{
		Op: opClaim, Shard: claim.key.shard(), Key: claim.key, ID: claim.id, Fingerprint: key.fingerprint(),
	})
	if err != nil {
		// The claim may still be stored. The call does not run, so it is taken back.
		s.Complete(ctx, Claim{Granted: true, key: claim.key, id: claim.id}, Completion{NotRun: true})
		refusal := verdict.NotRunErrorf(verdict.KeyStoreUnavailable, "the idempotency key could not be claimed in time")
		refusal.Cause = err
		return Claim{}, refusal
	}
	switch answer.Result {
	case Granted:
		claim.Granted = true
		return claim, nil
	case Recorded:
		claim.Response = answer.Answer
		return claim, nil
	case FingerprintMismatch:
		return Claim{}, verdict.NotRunErrorf(verdict.BadRequest, "the idempotency key was used for another request")
	}
	return Claim{}, verdict.MayHaveRunErrorf(verdict.KeyInUse, nil, "a call with this idempotency key may have run")
}

// obtain asks the shard's owner until it decides or ctx ends. Repeating is safe,
// because the owner recognises the claim by its id.
func (s *Service) obtain(ctx context.Context, r request) (reply, error) {
	for {
		answer, err := s.ask(ctx, r)
		switch {
		case err == nil && answer.Result >= Granted && answer.Result <= FingerprintMismatch:
			return answer, nil
		case err == nil && answer.Result == StoreUnavailable:
			return reply{}, eris.New("the platform did not store the claim in time")
		case err == nil:
			err = eris.Errorf("the node asked does not own shard %d", r.Shard)
		}
		select {
		case <-time.After(askRetry):
		case <-ctx.Done():
			return reply{}, err
		}
	}
}

func (s *Service) ask(ctx context.Context, r request) (reply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		r.WaitMillis = max(time.Until(deadline).Milliseconds(), 0)
	}
	address, self := s.o.ShardOwner(r.Shard)
	if self {
		return s.handle(ctx, r)
	}
	if address == "" {
		return reply{}, eris.Errorf("shard %d has no owner", r.Shard)
	}
	data, err := s.o.Requester.Request(ctx, address, transport.KindIdempotency, encode(r))
	if err != nil {
		return reply{}, eris.Wrapf(err, "ask %s", address)
	}
	return decode[reply](data)
}

// Complete reports the end of the call of a claim that was First. It does not
// wait, and it may fail without notice; the key then stays in use.
func (s *Service) Complete(ctx context.Context, claim Claim, completion Completion) {
	if !claim.Granted || len(completion.Response) > MaxResponseBytes || (!completion.NotRun && completion.Response == nil) {
		return
	}
	select {
	case s.completions <- struct{}{}:
	default:
		s.logger.Warn("too many ends of keyed calls at the same time, one was dropped")
		return
	}
	r := request{
		Op: opComplete, Shard: claim.key.shard(), Key: claim.key, ID: claim.id,
		NotRun: completion.NotRun, Answer: completion.Response,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
	go func() {
		defer func() {
			cancel()
			<-s.completions
		}()
		if _, err := s.ask(ctx, r); err != nil {
			s.logger.WithError(err).Debug("end of a keyed call was not reported")
		}
	}()
}

// HandleMessage implements transport.MessageHandler for transport.KindIdempotency.
func (s *Service) HandleMessage(ctx context.Context, _ transport.Peer, payload []byte) ([]byte, error) {
	r, err := decodeRequest(payload)
	if err != nil {
		return nil, err
	}
	answer, err := s.handle(ctx, r)
	if err != nil {
		return nil, err
	}
	return encode(answer), nil
}

// handle serves a request as the owner of its shard.
func (s *Service) handle(ctx context.Context, r request) (reply, error) {
	if r.Op == opComplete {
		s.loop.Submit(ctx, CallCompleted{Request: r})
		return reply{}, nil
	}
	if _, self := s.o.ShardOwner(r.Shard); !self {
		return reply{Result: NotOwner}, nil
	}
	s.served[r.Shard].Store(true)
	ticket, result := s.ticket.Add(1), make(chan reply, 1)
	s.mu.Lock()
	s.tickets[ticket] = result
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.tickets, ticket)
	}()
	wait := max(min(time.Duration(r.WaitMillis)*time.Millisecond, s.o.ClaimTimeout), 0)
	// The reducer answers at the deadline; the margin covers a loop that has ended.
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	if !s.loop.Submit(ctx, ClaimRequested{CorrelationID: ticket, Request: r, Deadline: time.Now().Add(wait)}) {
		return reply{}, eris.New("node is stopping")
	}
	select {
	case answer := <-result:
		return answer, nil
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}
