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
	// joinTimeout bounds one attempt at one address.
	joinTimeout = 2 * time.Second
	// maxCandidates bounds the addresses that a joining node tries in turn.
	maxCandidates = 16
	// seedAloneAfter and aloneAfter are the defaults of Options.StandaloneTimeout. Nodes
	// that are seeds start first, so that others find a fleet to join.
	seedAloneAfter = 3 * time.Second
	aloneAfter     = 12 * time.Second
	// maxJoinBytes bounds the items of an answer; gossip brings the rest.
	maxJoinBytes = 3 << 20
)

// joinMessage is the request of a joining node.
type joinMessage struct {
	Member Member `cbor:"1,keyasint"`
}

// joinReply is the answer; Items are the member records.
type joinReply struct {
	Admission JoinDecision  `cbor:"1,keyasint"`
	Items     []gossip.Item `cbor:"2,keyasint,omitempty"`
}

// joinDecodeMode allows for the records of a large fleet.
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

// Join makes the node a member of the fleet that one of the seeds belongs to.
// If no member of a fleet answers for Options.StandaloneTimeout, the node starts alone
// and merges with the fleet when a seed is reached later. Join returns an error
// only if ctx ends before. Run must be running.
func (s *Service) Join(ctx context.Context, seeds []string) error {
	j := &joiner{service: s, candidates: s.others(seeds)}
	deadline := s.options.Now().Add(s.aloneAfter(seeds))
	for len(j.candidates) != 0 {
		if j.round(ctx) {
			break
		}
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "join")
		}
		if !j.fleetSeen && !s.options.Now().Before(deadline) {
			s.options.Logger.Warn("no member of a fleet answers, starting alone")
			break
		}
		if err := pause(ctx, j.delay); err != nil {
			return err
		}
		j.candidates = append(j.candidates, s.others(seeds)...)
		j.candidates = lo.Uniq(j.candidates)
	}
	s.queue.Put(Started{})
	return nil
}

func (s *Service) aloneAfter(seeds []string) time.Duration {
	d := s.options.StandaloneTimeout
	if d == 0 {
		d = aloneAfter
		if slices.Contains(seeds, s.options.Self.Address) {
			d = seedAloneAfter
		}
	}
	return d + rand.N(d/2+1)
}

// others returns the seeds without this node, in random order.
func (s *Service) others(seeds []string) []string {
	list := slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == s.options.Self.Address })
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list
}

// joiner is the state of one Join.
type joiner struct {
	service    *Service
	candidates []string
	// fleetSeen is set once a member has answered: then the node does not start
	// alone, however busy the members are.
	fleetSeen bool
	delay     time.Duration
}

// round tries each candidate once and reports whether one admitted the node.
func (j *joiner) round(ctx context.Context) bool {
	j.delay = minRetry + rand.N(maxRetry-minRetry)
	var next []string
	for _, address := range j.candidates {
		reply, err := j.service.requestJoin(ctx, address)
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			j.service.options.Logger.WithError(err).WithField("peer", address).Debug("no answer to a join")
			continue
		}
		j.service.options.Gossip.MergeItems(address, reply.Items)
		if reply.Admission.Admitted {
			// Brings the items of other topics, such as the configuration version.
			j.service.options.Gossip.SyncWith(address)
			return true
		}
		j.fleetSeen = j.fleetSeen || reply.Admission.Started
		j.delay = min(max(reply.Admission.RetryAfter, minRetry), maxRetry)
		next = append(next, reply.Admission.Alternatives...)
	}
	next = lo.Uniq(next)
	j.candidates = next[:min(len(next), maxCandidates)]
	return false
}

func (s *Service) requestJoin(ctx context.Context, address string) (reply joinReply, err error) {
	s.mu.Lock()
	self := s.state.Self()
	s.mu.Unlock()
	payload, err := encodeMode.Marshal(joinMessage{Member: self})
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

// handleJoin answers a joining node. A node that is itself joining sends its own
// record only.
func (s *Service) handleJoin(ctx context.Context, _ transport.Peer, payload []byte) ([]byte, error) {
	var m joinMessage
	if err := decodeMode.Unmarshal(payload, &m); err != nil {
		return nil, eris.Wrap(err, "decode join")
	}
	answer, err := s.awaitAdmission(ctx, m.Member)
	if err != nil {
		return nil, err
	}
	reply := joinReply{Admission: answer}
	switch {
	case answer.Admitted:
		reply.Items = boundItems(s.options.Gossip.Items(gossip.TopicMembers))
	case !answer.Started:
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

func (s *Service) awaitAdmission(ctx context.Context, m Member) (JoinDecision, error) {
	answer := make(chan JoinDecision, 1)
	s.joinMu.Lock()
	s.joinID++
	id := s.joinID
	s.answers[id] = answer
	s.joinMu.Unlock()
	defer func() {
		s.joinMu.Lock()
		delete(s.answers, id)
		s.joinMu.Unlock()
	}()
	s.queue.Put(JoinRequested{ID: id, Member: m})
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return JoinDecision{}, eris.Wrap(ctx.Err(), "wait for admission")
	}
}

func (s *Service) answerJoin(e ReplyToJoin) {
	s.joinMu.Lock()
	defer s.joinMu.Unlock()
	if answer, ok := s.answers[e.ID]; ok {
		answer <- e.Decision
	}
}

func boundItems(items []gossip.Item) []gossip.Item {
	size := 0
	for i, item := range items {
		if size += len(item.Topic) + len(item.Key) + len(item.Payload) + 16; size > maxJoinBytes {
			return items[:i]
		}
	}
	return items
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "join")
	}
}
