package distribution

import (
	"context"
	"errors"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/rotisserie/eris"
)

const (
	headName   = "head"
	partPrefix = "part-"
)

// readHead returns the head and the stored object, whose ResourceVersion is empty if
// there is no head.
func (s *Service) readHead(ctx context.Context) (head, platform.Object, error) {
	stored, err := s.o.Store.Get(ctx, platform.KindConfigHead, headName)
	if errors.Is(err, platform.ErrNotFound) {
		return head{}, platform.Object{Kind: platform.KindConfigHead, Name: headName}, nil
	}
	if err != nil {
		return head{}, platform.Object{}, eris.Wrap(err, "read head")
	}
	h, err := decodeHead(stored.Value)
	return h, stored, err
}

// writeHead replaces the stored head by next if it has not changed since it was read.
func (s *Service) writeHead(ctx context.Context, stored platform.Object, next head) error {
	stored.Value = encode(next)
	var err error
	if stored.ResourceVersion == "" {
		_, err = s.o.Store.Create(ctx, stored.Kind, stored.Name, stored.Value)
	} else {
		_, err = s.o.Store.Update(ctx, stored)
	}
	return eris.Wrap(err, "write head")
}

// ensureParts stores the parts that the referenced manifest does not contain. It
// retries failed calls, including those rejected by the rate limit, until ctx ends.
func (s *Service) ensureParts(ctx context.Context, referenced dynamic.Manifest, parts []dynamic.Part) error {
	stored := make(map[string]bool, len(referenced.Parts))
	for _, ref := range referenced.Parts {
		stored[ref.Digest] = true
	}
	for _, part := range parts {
		if stored[part.Digest] {
			continue
		}
		err := retry(ctx, func() error { return s.ensurePart(ctx, part) })
		if err != nil {
			return eris.Wrapf(err, "store part %s", part.Name)
		}
		stored[part.Digest] = true
	}
	return nil
}

// ensurePart creates a part. An existing part that is not referenced may be about to be
// deleted as garbage; writing it again changes its resource version, so that a delete
// decided before the write fails.
func (s *Service) ensurePart(ctx context.Context, part dynamic.Part) error {
	name := partPrefix + part.Digest
	_, err := s.o.Store.Create(ctx, platform.KindConfigPart, name, part.Data)
	if !errors.Is(err, platform.ErrAlreadyExists) {
		return err
	}
	stored, err := s.o.Store.Get(ctx, platform.KindConfigPart, name)
	if err != nil {
		return err
	}
	stored.Value = part.Data
	_, err = s.o.Store.Update(ctx, stored)
	return err
}

// readPart returns the content of a part after it has checked the digest.
func (s *Service) readPart(ctx context.Context, digest string) ([]byte, error) {
	stored, err := s.o.Store.Get(ctx, platform.KindConfigPart, partPrefix+digest)
	if err != nil {
		return nil, eris.Wrapf(err, "read part %s", digest)
	}
	if dynamic.SHA256Hex(stored.Value) != digest {
		return nil, eris.Errorf("part %s has other content than its digest says", digest)
	}
	return stored.Value, nil
}

// retry repeats an idempotent call to the platform until it succeeds or ctx ends. It
// returns the error of the last call.
func retry(ctx context.Context, call func() error) error {
	delay := newPlatformBackOff()
	for {
		err := call()
		if err == nil {
			return nil
		}
		if wait(ctx, delay.NextBackOff(), err) != nil {
			return err
		}
	}
}
