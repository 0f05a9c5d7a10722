package distribution

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

const (
	// maxWait bounds how long a peer may be asked to wait for a newer version, so
	// that a version spreads hop by hop without polling.
	maxWait = 500 * time.Millisecond
	// requestTimeout bounds one request to a peer.
	requestTimeout = 5 * time.Second
	// maxInlineBytes bounds the contents in one reply, below transport.MaxMessageBytes.
	maxInlineBytes = 3 << 20
	// pullPeers is the number of peers that one pull asks.
	pullPeers = 3
	// maxPartRounds bounds the requests for contents in one pull; a full
	// configuration of 512 KB parts fits 5 parts in a round.
	maxPartRounds = 256
)

// pull waits until one of some random peers has a version above the one in
// force and takes it from there. It asks several at once, because peers may be
// waiting for one another: with one peer at a time, most changes took the whole
// of maxWait.
func (s *Service) pull(ctx context.Context) {
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = lo.Slice(peers, 0, pullPeers)
	base, _ := s.versions.contents()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	ahead := make(chan string, len(peers))
	for _, peer := range peers {
		go func() {
			r := request{Op: opStatus, Base: versionOf(base), WaitMillis: int(maxWait.Milliseconds())}
			answer, err := s.ask(waiting, peer, r)
			if err != nil || answer.Version.Number <= base.Version {
				peer = ""
			}
			ahead <- peer
		}()
	}
	for range peers {
		if peer := <-ahead; peer != "" && s.pullTo(ctx, peer) {
			return
		}
	}
	s.loop.Submit(ctx, PullEnded{})
}

// pullTo takes the peer's version and reports whether it ended the pull.
func (s *Service) pullTo(ctx context.Context, peer string) bool {
	c, err := s.pullFrom(ctx, peer)
	if err != nil {
		s.logger.WithError(err).WithField("peer", peer).Debug("pull failed")
	}
	if err != nil || c == nil {
		return false
	}
	s.versions.prepare(c)
	s.loop.Submit(ctx, VersionPrepared{Version: versionOf(c.manifest), Source: SourcePeer})
	return true
}

// pullFrom returns the peer's version, or nil if it is not above the version in force.
func (s *Service) pullFrom(ctx context.Context, peer string) (*candidate, error) {
	base, known := s.versions.contents()
	answer, err := s.ask(ctx, peer, request{Op: opPull, Base: versionOf(base)})
	if err != nil {
		return nil, err
	}
	if answer.Version.Number <= base.Version {
		return nil, nil
	}
	if !answer.Full && base.Version == 0 {
		return nil, eris.Errorf("%s sent a delta without a base", peer)
	}
	manifest := patch(base, answer)
	contents, err := s.complete(ctx, peer, manifest, known, answer.Parts)
	if err != nil {
		return nil, err
	}
	c, err := newCandidate(manifest, contents)
	return c, eris.Wrapf(err, "version %d from %s", manifest.Version, peer)
}

// complete fetches the parts of manifest that are neither known nor received.
func (s *Service) complete(
	ctx context.Context, peer string, manifest dynamic.Manifest, known map[string][]byte, received [][]byte,
) (map[string][]byte, error) {
	contents := maps.Clone(known)
	if contents == nil {
		contents = make(map[string][]byte)
	}
	for range maxPartRounds {
		for _, data := range received {
			contents[dynamic.SHA256Hex(data)] = data
		}
		missing := missingDigests(manifest, contents)
		if len(missing) == 0 {
			return contents, nil
		}
		answer, err := s.ask(ctx, peer, request{Op: opParts, Digests: missing})
		if err != nil {
			return nil, err
		}
		if len(answer.Parts) == 0 {
			return nil, eris.Errorf("%s lacks %d parts of version %d", peer, len(missing), manifest.Version)
		}
		received = answer.Parts
	}
	return nil, eris.Errorf("too many rounds for version %d", manifest.Version)
}

func missingDigests(manifest dynamic.Manifest, contents map[string][]byte) []string {
	missing := lo.FilterMap(manifest.Parts, func(ref dynamic.PartRef, _ int) (string, bool) {
		_, ok := contents[ref.Digest]
		return ref.Digest, !ok
	})
	return lo.Uniq(missing)
}

func (s *Service) ask(ctx context.Context, peer string, r request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := s.o.Requester.Request(ctx, peer, transport.KindDistribution, encode(r))
	if err != nil {
		return reply{}, eris.Wrapf(err, "ask %s", peer)
	}
	return decode[reply](data)
}

// HandleMessage implements transport.MessageHandler for transport.KindDistribution.
func (s *Service) HandleMessage(ctx context.Context, _ transport.Peer, payload []byte) ([]byte, error) {
	r, err := decode[request](payload)
	if err != nil {
		return nil, err
	}
	switch r.Op {
	case opStatus:
		return encode(s.answerStatus(ctx, r)), nil
	case opPull:
		return encode(s.answerPull(r)), nil
	case opParts:
		_, contents := s.versions.contents()
		return encode(reply{Parts: inline(r.Digests, contents)}), nil
	}
	return nil, eris.Errorf("unknown operation %d", r.Op)
}

func (s *Service) answerStatus(ctx context.Context, r request) reply {
	wait := min(max(time.Duration(r.WaitMillis)*time.Millisecond, 0), maxWait)
	if active := s.awaitAbove(ctx, r.Base.Number, wait); active != nil {
		return reply{Version: versionOf(active.manifest)}
	}
	return reply{}
}

func (s *Service) answerPull(r request) reply {
	active, _ := s.versions.current()
	if active == nil {
		return reply{}
	}
	answer := reply{Version: versionOf(active.manifest)}
	if active.manifest.Version <= r.Base.Number {
		return answer
	}
	base, ok := s.versions.manifest(func(m dynamic.Manifest) bool { return versionOf(m) == r.Base })
	if !ok {
		answer.Full, answer.Refs = true, active.manifest.Parts
		if r.Base.Number != 0 {
			// The requester has most parts, and asks for those that it lacks.
			return answer
		}
	} else {
		answer.Refs, answer.Removed = diff(base, active.manifest)
	}
	digests := lo.Map(answer.Refs, func(ref dynamic.PartRef, _ int) string { return ref.Digest })
	answer.Parts = inline(digests, active.parts)
	return answer
}

// awaitAbove returns the version in force, after waiting until it is above base.
func (s *Service) awaitAbove(ctx context.Context, base uint64, wait time.Duration) *candidate {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		active, raised := s.versions.current()
		if active != nil && active.manifest.Version > base {
			return active
		}
		select {
		case <-raised:
		case <-timer.C:
			return active
		case <-ctx.Done():
			return active
		}
	}
}

// inline returns contents in order until the size limit.
func inline(digests []string, contents map[string][]byte) [][]byte {
	var parts [][]byte
	size := 0
	for _, digest := range digests {
		data, ok := contents[digest]
		if !ok {
			continue
		}
		if size += len(data); size > maxInlineBytes {
			break
		}
		parts = append(parts, data)
	}
	return parts
}
