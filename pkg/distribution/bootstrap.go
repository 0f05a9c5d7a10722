package distribution

import (
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// minBootstrapReplies is the number of peers whose versions a joining node compares
// before it takes the highest one. It is also the number of peers asked at a time.
const minBootstrapReplies = 3

// Bootstrap activates a first version. It asks peers in the given order, at most 3 at a
// time, until 3 have replied, and takes the highest version among the replies; the
// first peers should lie in different failure domains. If no peer replies, it reads the
// platform. It returns nil without an active version if the peers or the platform
// replied that there is no configuration yet, and an error if neither could be reached
// or no version could be transferred. Run must be running.
func (s *Service) Bootstrap(ctx context.Context, peers []string) error {
	versions := s.requestVersions(ctx, peers)
	if len(versions) == 0 {
		return s.bootstrapFromPlatform(ctx)
	}
	slices.SortStableFunc(versions, func(a, b peerVersion) int { return int(int64(b.version.Number) - int64(a.version.Number)) })
	if versions[0].version.Number == 0 {
		return nil
	}
	var lastErr error
	for _, v := range versions {
		if v.version.Number == 0 {
			break
		}
		if lastErr = s.transferFrom(ctx, v.peer); lastErr == nil {
			return nil
		}
		s.logger.WithError(lastErr).WithField("peer", v.peer).Warn("peer could not transfer its configuration version")
	}
	return eris.Wrap(lastErr, "no peer could transfer its configuration")
}

type peerVersion struct {
	peer    string
	version Version
}

func (s *Service) requestVersions(ctx context.Context, peers []string) []peerVersion {
	var versions []peerVersion
	for batch := range slices.Chunk(peers, minBootstrapReplies) {
		var mu sync.Mutex
		var group sync.WaitGroup
		for _, peer := range batch {
			group.Go(func() {
				r, err := s.sendRequest(ctx, peer, request{Op: opStatus})
				if err != nil {
					s.logger.WithError(err).WithField("peer", peer).Debug("peer did not reply with its version")
					return
				}
				mu.Lock()
				defer mu.Unlock()
				versions = append(versions, peerVersion{peer: peer, version: r.Version})
			})
		}
		group.Wait()
		if len(versions) >= minBootstrapReplies || ctx.Err() != nil {
			break
		}
	}
	return versions
}

func (s *Service) transferFrom(ctx context.Context, peer string) error {
	c, err := s.pullFrom(ctx, peer)
	if err != nil {
		return err
	}
	if c == nil {
		return nil
	}
	s.versions.prepare(c)
	s.loop.Submit(ctx, VersionPrepared{Version: versionOf(c.manifest), Source: SourceBootstrap})
	return s.awaitVersion(ctx, c.manifest.Version)
}

func (s *Service) bootstrapFromPlatform(ctx context.Context) error {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return eris.Wrap(err, "no peer answered and the platform failed")
	}
	if h.Manifest.Version == 0 {
		return nil
	}
	c, err := s.loadFromPlatform(ctx, h)
	if err != nil {
		return err
	}
	s.versions.prepare(c)
	s.loop.Submit(ctx, VersionPrepared{Version: versionOf(c.manifest), Source: SourceBootstrap})
	return s.awaitVersion(ctx, c.manifest.Version)
}

// loadFromPlatform compiles the version of a head. It reads from the platform the parts
// that the active version does not contain.
func (s *Service) loadFromPlatform(ctx context.Context, h head) (*compiledVersion, error) {
	_, known := s.versions.activeContents()
	contents := make(map[string][]byte, len(h.Manifest.Parts))
	for _, ref := range h.Manifest.Parts {
		data, ok := known[ref.Digest]
		if !ok {
			err := retry(ctx, func() (err error) {
				data, err = s.readPart(ctx, ref.Digest)
				return err
			})
			if err != nil {
				return nil, err
			}
		}
		contents[ref.Digest] = data
	}
	return compileVersion(h.Manifest, contents)
}
