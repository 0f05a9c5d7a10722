// Package idempotency grants each idempotency key to one call only. The keys are
// distributed over 16 shards, whose owners store claims in the platform in batches.
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
	// ownerRetryDelay is the time between attempts to reach the owner of a shard.
	ownerRetryDelay = 20 * time.Millisecond
	// completeTimeout bounds the attempt to report the end of a call to the owner.
	completeTimeout = 2 * time.Second
	// maxConcurrentCompletions is the number of calls whose end is being reported at
	// the same time; further reports are dropped, which leaves their keys in use.
	maxConcurrentCompletions = 256
	// tickInterval is the interval at which the deadlines of waiting claims are checked
	// and expired claims are removed.
	tickInterval = 100 * time.Millisecond
	// replyMargin is the time past the deadline of a claim for which its result is
	// awaited.
	replyMargin = time.Second
	// ownershipGracePeriod is the time for which the state of a shard is retained after
	// this node has lost its ownership, so that a short change in the member table does
	// not cause a full load.
	ownershipGracePeriod = time.Minute
)

// Options configures a Service. Store, Requester and ShardOwner are required.
type Options struct {
	Store     platform.Store
	Requester transport.Requester
	// ShardOwner returns the address of the owner of a shard and whether the owner is
	// this node; an empty address means that no owner is known. Shards are numbered
	// from 0 to ShardCount-1. Two nodes that both believe they own a shard still grant
	// a key only once.
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
	// Fingerprint identifies the content of the request; if it is empty, the content is
	// not compared.
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
	// Granted is set if no other call holds the key. The claimant must then call
	// Complete.
	Granted bool
	// Response is the recorded response of the first call if Granted is not set.
	Response []byte

	key keyHash
	id  claimID
}

// Completion describes how the call of a claim ended.
type Completion struct {
	// NotRun is set if the call did not run, so that the key may be claimed again.
	NotRun bool
	// Response is recorded for retries by the caller if it is at most MaxResponseBytes
	// long; nil means that it is unknown.
	Response []byte
}

// Service claims keys for calls that enter at this node, and stores the claims
// of the shards that this node owns.
type Service struct {
	o      Options
	logger *logrus.Entry
	loop   *reducer.Loop[Event, Effect]

	mu             sync.Mutex
	pendingReplies map[uint64]chan reply
	nextTickAt     time.Time
	// disownedSince holds, per shard that this node served, the time since when it no
	// longer owns the shard. Only the goroutine of watchOwnership uses it.
	disownedSince map[int]time.Time
	servedShards  [ShardCount]atomic.Bool

	lastCorrelationID atomic.Uint64
	completionSlots   chan struct{}
	background        sync.WaitGroup
}

// New returns a service that is not yet running, or an error if a required
// option is missing.
func New(o Options) (*Service, error) {
	if o.Store == nil || o.Requester == nil || o.ShardOwner == nil {
		return nil, eris.New("idempotency needs Store, Requester and ShardOwner")
	}
	o.ClaimTimeout = lo.CoalesceOrEmpty(o.ClaimTimeout, DefaultClaimTimeout)
	if o.Logger == nil {
		o.Logger = logrus.New()
		o.Logger.SetOutput(io.Discard)
	}
	s := &Service{
		o: o, logger: o.Logger.WithField("package", "idempotency"),
		pendingReplies: make(map[uint64]chan reply), disownedSince: make(map[int]time.Time),
		completionSlots: make(chan struct{}, maxConcurrentCompletions),
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

// watchOwnership reports the shards that this node no longer owns to the reducer.
func (s *Service) watchOwnership(ctx context.Context) {
	ticker := time.NewTicker(ownershipGracePeriod / 6)
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
	if !s.servedShards[shard].Load() {
		return
	}
	if _, self := s.o.ShardOwner(shard); self {
		delete(s.disownedSince, shard)
		return
	}
	since, known := s.disownedSince[shard]
	switch {
	case !known:
		s.disownedSince[shard] = now
	case now.Sub(since) >= ownershipGracePeriod:
		s.loop.Submit(ctx, OwnershipLost{Shard: shard})
	}
}

// Claim claims a key. It returns a claim with Granted set if the call may run, or one
// with the recorded response of the call that ran. Otherwise it returns a
// *verdict.Error: key-in-use (may-have-run) if another call holds the key and its
// response is not known, bad-request (not-run) if the key was claimed with another
// fingerprint, or key-store-unavailable (not-run) if the claim could not be stored in
// time. Run must be running.
func (s *Service) Claim(ctx context.Context, key Key) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, s.o.ClaimTimeout)
	defer cancel()
	claim := Claim{key: key.hash()}
	if _, err := rand.Read(claim.id[:]); err != nil {
		return Claim{}, verdict.NotRunErrorf(verdict.KeyStoreUnavailable, "no random claim id: %v", err)
	}
	result, err := s.requestClaim(ctx, request{
		Op: opClaim, Shard: claim.key.shard(), Key: claim.key, ID: claim.id, Fingerprint: key.fingerprint(),
	})
	if err != nil {
		// The claim may still be stored although the call does not run, so it is
		// released.
		s.Complete(ctx, Claim{Granted: true, key: claim.key, id: claim.id}, Completion{NotRun: true})
		rejection := verdict.NotRunErrorf(verdict.KeyStoreUnavailable, "the idempotency key could not be claimed in time")
		rejection.Cause = err
		return Claim{}, rejection
	}
	switch result.Result {
	case Granted:
		claim.Granted = true
		return claim, nil
	case Recorded:
		claim.Response = result.Response
		return claim, nil
	case FingerprintMismatch:
		return Claim{}, verdict.NotRunErrorf(verdict.BadRequest, "the idempotency key was used for another request")
	}
	return Claim{}, verdict.MayHaveRunErrorf(verdict.KeyInUse, nil, "a call with this idempotency key may have run")
}

// requestClaim sends the claim to the owner of the shard until the owner decides or ctx
// ends. Retrying is safe, because the owner recognises the claim by its id.
func (s *Service) requestClaim(ctx context.Context, r request) (reply, error) {
	for {
		result, err := s.sendToOwner(ctx, r)
		switch {
		case err == nil && result.Result >= Granted && result.Result <= FingerprintMismatch:
			return result, nil
		case err == nil && result.Result == StoreUnavailable:
			return reply{}, eris.New("the platform did not store the claim in time")
		case err == nil:
			err = eris.Errorf("the node asked does not own shard %d", r.Shard)
		}
		select {
		case <-time.After(ownerRetryDelay):
		case <-ctx.Done():
			return reply{}, err
		}
	}
}

func (s *Service) sendToOwner(ctx context.Context, r request) (reply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		r.WaitMillis = max(time.Until(deadline).Milliseconds(), 0)
	}
	address, self := s.o.ShardOwner(r.Shard)
	if self {
		return s.handleRequest(ctx, r)
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

// Complete reports the end of the call of a granted claim in the background. If the
// report fails, no error is returned and the key stays in use.
func (s *Service) Complete(ctx context.Context, claim Claim, completion Completion) {
	if !claim.Granted || len(completion.Response) > MaxResponseBytes || (!completion.NotRun && completion.Response == nil) {
		return
	}
	select {
	case s.completionSlots <- struct{}{}:
	default:
		s.logger.Warn("too many completions of keyed calls in progress, one was dropped; its key stays in use")
		return
	}
	r := request{
		Op: opComplete, Shard: claim.key.shard(), Key: claim.key, ID: claim.id,
		NotRun: completion.NotRun, Response: completion.Response,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
	go func() {
		defer func() {
			cancel()
			<-s.completionSlots
		}()
		if _, err := s.sendToOwner(ctx, r); err != nil {
			s.logger.WithError(err).Debug("completion of a keyed call could not be reported to the shard owner")
		}
	}()
}

// HandleMessage implements transport.MessageHandler for transport.KindIdempotency.
func (s *Service) HandleMessage(ctx context.Context, _ transport.Peer, payload []byte) ([]byte, error) {
	r, err := decodeRequest(payload)
	if err != nil {
		return nil, err
	}
	result, err := s.handleRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	return encode(result), nil
}

// handleRequest serves a request as the owner of its shard.
func (s *Service) handleRequest(ctx context.Context, r request) (reply, error) {
	if r.Op == opComplete {
		s.loop.Submit(ctx, CallCompleted{Request: r})
		return reply{}, nil
	}
	if _, self := s.o.ShardOwner(r.Shard); !self {
		return reply{Result: NotOwner}, nil
	}
	s.servedShards[r.Shard].Store(true)
	correlationID, replies := s.lastCorrelationID.Add(1), make(chan reply, 1)
	s.mu.Lock()
	s.pendingReplies[correlationID] = replies
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pendingReplies, correlationID)
	}()
	timeout := max(min(time.Duration(r.WaitMillis)*time.Millisecond, s.o.ClaimTimeout), 0)
	// The reducer replies by the deadline; the margin covers a loop that has ended.
	ctx, cancel := context.WithTimeout(ctx, timeout+replyMargin)
	defer cancel()
	if !s.loop.Submit(ctx, ClaimRequested{CorrelationID: correlationID, Request: r, Deadline: time.Now().Add(timeout)}) {
		return reply{}, eris.New("node is stopping")
	}
	select {
	case result := <-replies:
		return result, nil
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}
