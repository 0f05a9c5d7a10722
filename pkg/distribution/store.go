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

// readHead returns the head and the stored object, whose Version is empty if
// there is none.
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

// writeHead replaces the stored head by next, on condition that it is unchanged.
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

// ensureParts stores the parts that the head does not refer to. It waits while
// the budget is spent.
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

// ensurePart creates a part. One that exists but is not referenced may be about
// to be deleted as garbage; writing it again changes its version, so that a
// delete that was decided before fails.
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

// readPart returns the content of a part after checking its digest.
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

// retry repeats an idempotent call to the platform until it succeeds or ctx ends.
func retry(ctx context.Context, call func() error) error {
	delay := newBackOff()
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
