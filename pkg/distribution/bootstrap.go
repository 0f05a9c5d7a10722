package distribution

import (
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// bootstrapPeers is the number of answers after which a joining node takes the
// highest version it was told of.
const bootstrapPeers = 3

// Bootstrap puts a first version in force. It asks peers in their order, at most
// 3 at a time, until 3 have answered; the first ones should lie in different
// failure domains. It takes the highest version of those. If no peer answers, it
// reads the platform. It returns nil with nothing in force if peers or the
// platform answered that there is no configuration yet. It returns an error if
// neither could be reached or no version could be transferred. Run must be running.
func (s *Service) Bootstrap(ctx context.Context, peers []string) error {
	answers := s.askVersions(ctx, peers)
	if len(answers) == 0 {
		return s.bootstrapFromPlatform(ctx)
	}
	slices.SortStableFunc(answers, func(a, b answer) int { return int(int64(b.version.Number) - int64(a.version.Number)) })
	if answers[0].version.Number == 0 {
		return nil
	}
	var last error
	for _, a := range answers {
		if a.version.Number == 0 {
			break
		}
		if last = s.take(ctx, a.peer); last == nil {
			return nil
		}
		s.logger.WithError(last).WithField("peer", a.peer).Warn("first transfer failed")
	}
	return eris.Wrap(last, "no peer could transfer its configuration")
}

type answer struct {
	peer    string
	version Version
}

func (s *Service) askVersions(ctx context.Context, peers []string) []answer {
	var answers []answer
	for batch := range slices.Chunk(peers, bootstrapPeers) {
		var mu sync.Mutex
		var group sync.WaitGroup
		for _, peer := range batch {
			group.Go(func() {
				r, err := s.ask(ctx, peer, request{Op: opStatus})
				if err != nil {
					s.logger.WithError(err).WithField("peer", peer).Debug("peer did not answer")
					return
				}
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, answer{peer: peer, version: r.Version})
			})
		}
		group.Wait()
		if len(answers) >= bootstrapPeers || ctx.Err() != nil {
			break
		}
	}
	return answers
}

func (s *Service) take(ctx context.Context, peer string) error {
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
	c, err := s.load(ctx, h)
	if err != nil {
		return err
	}
	s.versions.prepare(c)
	s.loop.Submit(ctx, VersionPrepared{Version: versionOf(c.manifest), Source: SourceBootstrap})
	return s.awaitVersion(ctx, c.manifest.Version)
}

// load reads the parts of a head that are not at hand from the platform.
func (s *Service) load(ctx context.Context, h head) (*candidate, error) {
	_, known := s.versions.contents()
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
	return newCandidate(h.Manifest, contents)
}
