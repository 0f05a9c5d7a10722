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
	// maxStatusWait bounds the time for which a peer holds back its reply to a status
	// request until it has a newer version. Holding the reply spreads a version from
	// node to node without polling.
	maxStatusWait = 500 * time.Millisecond
	// peerRequestTimeout bounds one request to a peer.
	peerRequestTimeout = 5 * time.Second
	// maxInlineBytes bounds the part contents in one reply, below
	// transport.MaxMessageBytes.
	maxInlineBytes = 3 << 20
	// peersPerPull is the number of peers that one pull asks at once.
	peersPerPull = 3
	// maxPartRequests bounds the requests for parts in one pull. If each part has 512
	// KB, a reply holds 5 of them.
	maxPartRequests = 256
)

// pull waits until one of several random peers has a version above the active one and
// transfers it from that peer. It asks several at once, because peers may be waiting
// for one another: with one peer at a time, most changes took all of maxStatusWait.
func (s *Service) pull(ctx context.Context) {
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = lo.Slice(peers, 0, peersPerPull)
	base, _ := s.versions.activeContents()
	statusCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	newerPeers := make(chan string, len(peers))
	for _, peer := range peers {
		go func() {
			r := request{Op: opStatus, Base: versionOf(base), WaitMillis: int(maxStatusWait.Milliseconds())}
			status, err := s.sendRequest(statusCtx, peer, r)
			if err != nil || status.Version.Number <= base.Version {
				peer = ""
			}
			newerPeers <- peer
		}()
	}
	for range peers {
		if peer := <-newerPeers; peer != "" && s.pullAndPrepare(ctx, peer) {
			return
		}
	}
	s.loop.Submit(ctx, PullEnded{})
}

// pullAndPrepare transfers the version of a peer and reports whether that ended the
// pull.
func (s *Service) pullAndPrepare(ctx context.Context, peer string) bool {
	c, err := s.pullFrom(ctx, peer)
	if err != nil {
		s.logger.WithError(err).WithField("peer", peer).Debug("configuration version could not be pulled from peer")
	}
	if err != nil || c == nil {
		return false
	}
	s.versions.prepare(c)
	s.loop.Submit(ctx, VersionPrepared{Version: versionOf(c.manifest), Source: SourcePeer})
	return true
}

// pullFrom returns the version of a peer, or nil if it is not above the active version.
func (s *Service) pullFrom(ctx context.Context, peer string) (*compiledVersion, error) {
	base, known := s.versions.activeContents()
	delta, err := s.sendRequest(ctx, peer, request{Op: opPull, Base: versionOf(base)})
	if err != nil {
		return nil, err
	}
	if delta.Version.Number <= base.Version {
		return nil, nil
	}
	if !delta.Full && base.Version == 0 {
		return nil, eris.Errorf("%s sent a delta without a base", peer)
	}
	manifest := patch(base, delta)
	contents, err := s.fetchMissingParts(ctx, peer, manifest, known, delta.Parts)
	if err != nil {
		return nil, err
	}
	c, err := compileVersion(manifest, contents)
	return c, eris.Wrapf(err, "version %d from %s", manifest.Version, peer)
}

// fetchMissingParts returns the contents of all parts of manifest by digest. It
// requests from the peer those that are neither known nor received.
func (s *Service) fetchMissingParts(
	ctx context.Context, peer string, manifest dynamic.Manifest, known map[string][]byte, received [][]byte,
) (map[string][]byte, error) {
	contents := maps.Clone(known)
	if contents == nil {
		contents = make(map[string][]byte)
	}
	for range maxPartRequests {
		for _, data := range received {
			contents[dynamic.SHA256Hex(data)] = data
		}
		missing := missingDigests(manifest, contents)
		if len(missing) == 0 {
			return contents, nil
		}
		partsReply, err := s.sendRequest(ctx, peer, request{Op: opParts, Digests: missing})
		if err != nil {
			return nil, err
		}
		if len(partsReply.Parts) == 0 {
			return nil, eris.Errorf("%s lacks %d parts of version %d", peer, len(missing), manifest.Version)
		}
		received = partsReply.Parts
	}
	return nil, eris.Errorf("version %d still lacks parts after the maximum number of part requests", manifest.Version)
}

func missingDigests(manifest dynamic.Manifest, contents map[string][]byte) []string {
	missing := lo.FilterMap(manifest.Parts, func(ref dynamic.PartRef, _ int) (string, bool) {
		_, ok := contents[ref.Digest]
		return ref.Digest, !ok
	})
	return lo.Uniq(missing)
}

func (s *Service) sendRequest(ctx context.Context, peer string, r request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
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
		return encode(s.handleStatus(ctx, r)), nil
	case opPull:
		return encode(s.handlePull(r)), nil
	case opParts:
		_, contents := s.versions.activeContents()
		return encode(reply{Parts: limitContents(r.Digests, contents)}), nil
	}
	return nil, eris.Errorf("unknown operation %d", r.Op)
}

func (s *Service) handleStatus(ctx context.Context, r request) reply {
	timeout := min(max(time.Duration(r.WaitMillis)*time.Millisecond, 0), maxStatusWait)
	if active := s.awaitVersionAbove(ctx, r.Base.Number, timeout); active != nil {
		return reply{Version: versionOf(active.manifest)}
	}
	return reply{}
}

func (s *Service) handlePull(r request) reply {
	active, _ := s.versions.activeVersion()
	if active == nil {
		return reply{}
	}
	result := reply{Version: versionOf(active.manifest)}
	if active.manifest.Version <= r.Base.Number {
		return result
	}
	base, ok := s.versions.recentManifest(func(m dynamic.Manifest) bool { return versionOf(m) == r.Base })
	if !ok {
		result.Full, result.Refs = true, active.manifest.Parts
		if r.Base.Number != 0 {
			// The requester has most parts already and requests only those that it
			// lacks.
			return result
		}
	} else {
		result.Refs, result.Removed = diff(base, active.manifest)
	}
	digests := lo.Map(result.Refs, func(ref dynamic.PartRef, _ int) string { return ref.Digest })
	result.Parts = limitContents(digests, active.parts)
	return result
}

// awaitVersionAbove waits until the active version is above base, the timeout passes or
// ctx ends, and returns the active version, or nil if there is none.
func (s *Service) awaitVersionAbove(ctx context.Context, base uint64, timeout time.Duration) *compiledVersion {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		active, activated := s.versions.activeVersion()
		if active != nil && active.manifest.Version > base {
			return active
		}
		select {
		case <-activated:
		case <-timer.C:
			return active
		case <-ctx.Done():
			return active
		}
	}
}

// limitContents returns the known contents of digests, in order, up to maxInlineBytes
// in total.
func limitContents(digests []string, contents map[string][]byte) [][]byte {
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
