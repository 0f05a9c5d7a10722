package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/transport"
)

const (
	// joinTimeout bounds one join request to one address.
	joinTimeout = 2 * time.Second
	// maxCandidates bounds the addresses that a joining node tries in turn.
	maxCandidates = 16
	// seedStandaloneTimeout and otherStandaloneTimeout are the defaults of
	// Options.StandaloneTimeout for seeds and other nodes. Seeds start first, so
	// that the other nodes find a fleet to join.
	seedStandaloneTimeout  = 3 * time.Second
	otherStandaloneTimeout = 12 * time.Second
	// maxJoinReplyBytes bounds the items of a reply; gossip transfers the rest.
	maxJoinReplyBytes = 3 << 20
)

// joinRequest is the request of a joining node.
type joinRequest struct {
	Member Member `cbor:"1,keyasint"`
}

// joinReply is the reply to a joinRequest; Items are member records.
type joinReply struct {
	Decision JoinDecision  `cbor:"1,keyasint"`
	Items    []gossip.Item `cbor:"2,keyasint,omitempty"`
}

// joinDecodeMode allows more array elements than decodeMode, for the member
// records of a large fleet.
var joinDecodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxMapPairs: 32,
		MaxArrayElements: 64 << 10, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// StandaloneTimer decides when a joining node starts standalone: when no started member
// of a fleet has replied for the timeout. A fleet that has replied may have ended since:
// joining nodes that wait for it would only ever reach each other.
type StandaloneTimer struct {
	timeout  time.Duration
	deadline time.Time
}

// NewStandaloneTimer returns the timer of a node that begins to join at now.
func NewStandaloneTimer(now time.Time, timeout time.Duration) *StandaloneTimer {
	return &StandaloneTimer{timeout: timeout, deadline: now.Add(timeout)}
}

// FleetReplied records that a started member has replied.
func (t *StandaloneTimer) FleetReplied(now time.Time) { t.deadline = now.Add(t.timeout) }

// IsExpired reports whether the node starts standalone.
func (t *StandaloneTimer) IsExpired(now time.Time) bool { return !now.Before(t.deadline) }

// Join makes the node a member of the fleet that one of the seeds belongs to.
// If no member replies within Options.StandaloneTimeout, the node starts
// standalone and merges with the fleet when it reaches a seed later. Join returns
// an error only if ctx ends first. Run must be running.
func (s *Service) Join(ctx context.Context, seeds []string) error {
	j := &joiner{service: s, candidates: s.otherSeeds(seeds), standalone: NewStandaloneTimer(s.options.Now(), s.standaloneTimeout(seeds))}
	for len(j.candidates) != 0 {
		if j.tryCandidates(ctx) {
			break
		}
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "join")
		}
		if j.standalone.IsExpired(s.options.Now()) {
			s.options.Logger.Warn("no fleet member replied within the standalone timeout, starting standalone")
			break
		}
		if err := sleep(ctx, j.retryDelay); err != nil {
			return err
		}
		j.candidates = append(j.candidates, s.otherSeeds(seeds)...)
		j.candidates = lo.Uniq(j.candidates)
	}
	s.queue.Put(Started{})
	return nil
}

func (s *Service) standaloneTimeout(seeds []string) time.Duration {
	d := s.options.StandaloneTimeout
	if d == 0 {
		d = otherStandaloneTimeout
		if slices.Contains(seeds, s.options.Self.Address) {
			d = seedStandaloneTimeout
		}
	}
	return d + rand.N(d/2+1)
}

// otherSeeds returns the seeds without this node, in random order.
func (s *Service) otherSeeds(seeds []string) []string {
	list := slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == s.options.Self.Address })
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list
}

// joiner is the state of one Join.
type joiner struct {
	service    *Service
	candidates []string
	standalone *StandaloneTimer
	retryDelay time.Duration
}

// tryCandidates sends a join request to each candidate in turn and reports
// whether one admitted the node.
func (j *joiner) tryCandidates(ctx context.Context) bool {
	j.retryDelay = minRetryDelay + rand.N(maxRetryDelay-minRetryDelay)
	var alternatives []string
	for _, address := range j.candidates {
		reply, err := j.service.requestJoin(ctx, address)
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			j.service.options.Logger.WithError(err).WithField("peer", address).Debug("join request failed")
			continue
		}
		j.service.options.Gossip.MergeItems(address, reply.Items)
		if reply.Decision.Admitted {
			// Transfers the items of other topics, such as the configuration version.
			j.service.options.Gossip.SyncWith(address)
			return true
		}
		if reply.Decision.Started {
			j.standalone.FleetReplied(j.service.options.Now())
		}
		j.retryDelay = min(max(reply.Decision.RetryAfter, minRetryDelay), maxRetryDelay)
		alternatives = append(alternatives, reply.Decision.Alternatives...)
	}
	alternatives = lo.Uniq(alternatives)
	j.candidates = alternatives[:min(len(alternatives), maxCandidates)]
	return false
}

func (s *Service) requestJoin(ctx context.Context, address string) (reply joinReply, err error) {
	s.mu.Lock()
	self := s.state.Self()
	s.mu.Unlock()
	payload, err := encodeMode.Marshal(joinRequest{Member: self})
	if err != nil {
		return reply, eris.Wrap(err, "encode join")
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	data, err := s.options.Messenger.Request(ctx, address, kindJoin, payload)
	if err != nil {
		return reply, err
	}
	return reply, eris.Wrap(joinDecodeMode.Unmarshal(data, &reply), "decode join reply")
}

// handleJoin replies to a join request. A node that is still joining itself
// sends only its own record.
func (s *Service) handleJoin(ctx context.Context, _ transport.Peer, payload []byte) ([]byte, error) {
	var m joinRequest
	if err := decodeMode.Unmarshal(payload, &m); err != nil {
		return nil, eris.Wrap(err, "decode join")
	}
	decision, err := s.awaitJoinDecision(ctx, m.Member)
	if err != nil {
		return nil, err
	}
	reply := joinReply{Decision: decision}
	switch {
	case decision.Admitted:
		reply.Items = limitItems(s.options.Gossip.Items(gossip.TopicMembers))
	case !decision.Started:
		s.mu.Lock()
		self := s.state.Self()
		s.mu.Unlock()
		item, err := EncodeMember(self)
		if err != nil {
			return nil, err
		}
		reply.Items = []gossip.Item{item}
	}
	data, err := encodeMode.Marshal(reply)
	return data, eris.Wrap(err, "encode join reply")
}

func (s *Service) awaitJoinDecision(ctx context.Context, m Member) (JoinDecision, error) {
	decisions := make(chan JoinDecision, 1)
	s.joinMu.Lock()
	s.lastJoinID++
	id := s.lastJoinID
	s.pendingJoins[id] = decisions
	s.joinMu.Unlock()
	defer func() {
		s.joinMu.Lock()
		delete(s.pendingJoins, id)
		s.joinMu.Unlock()
	}()
	s.queue.Put(JoinRequested{ID: id, Member: m})
	select {
	case decision := <-decisions:
		return decision, nil
	case <-ctx.Done():
		return JoinDecision{}, eris.Wrap(ctx.Err(), "wait for admission")
	}
}

func (s *Service) deliverJoinDecision(e ReplyToJoin) {
	s.joinMu.Lock()
	defer s.joinMu.Unlock()
	if decisions, ok := s.pendingJoins[e.ID]; ok {
		decisions <- e.Decision
	}
}

func limitItems(items []gossip.Item) []gossip.Item {
	size := 0
	for i, item := range items {
		if size += len(item.Topic) + len(item.Key) + len(item.Payload) + 16; size > maxJoinReplyBytes {
			return items[:i]
		}
	}
	return items
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "join")
	}
}
