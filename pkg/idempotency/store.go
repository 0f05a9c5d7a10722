package idempotency

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/rotisserie/eris"
)

const (
	// loadTimeout bounds a load of one shard. At 10 reads/s it covers a day of
	// claims at about 25 claims/s per shard.
	loadTimeout = 2 * time.Minute
	// budgetPause is the time between attempts to read while the budget is spent.
	budgetPause = 100 * time.Millisecond
)

func segmentName(shard int, sequence uint64) string { return fmt.Sprintf("%d-%d", shard, sequence) }

func indexName(shard int) string { return fmt.Sprintf("%d-index", shard) }

// Execute implements reducer.Executor.
func (s *Service) Execute(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case LoadSegments:
		s.background.Go(func() { s.loop.Submit(ctx, s.load(ctx, e)) })
	case WriteSegment:
		s.background.Go(func() { s.loop.Submit(ctx, s.write(ctx, e)) })
	case WriteIndex:
		s.background.Go(func() { s.writeIndex(ctx, e) })
	case DeleteSegment:
		s.background.Go(func() { s.delete(ctx, e) })
	case Respond:
		s.answer(e)
	case ScheduleTick:
		s.wake(ctx, e.At)
	}
}

func (s *Service) answer(e Respond) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result := s.tickets[e.CorrelationID]; result != nil {
		result <- e.Reply
		delete(s.tickets, e.CorrelationID)
	}
}

// wake submits a Tick at a time, unless an earlier one is coming already.
func (s *Service) wake(ctx context.Context, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.wakeAt.IsZero() && !s.wakeAt.After(at) {
		return
	}
	s.wakeAt = at
	time.AfterFunc(time.Until(at), func() {
		s.mu.Lock()
		if s.wakeAt.Equal(at) {
			s.wakeAt = time.Time{}
		}
		s.mu.Unlock()
		s.loop.Submit(ctx, Tick{})
	})
}

func (s *Service) write(ctx context.Context, e WriteSegment) Event {
	name, value := segmentName(e.Shard, e.Segment.Sequence), encode(e.Segment)
	var stored platform.Object
	var err error
	if e.ResourceVersion == "" {
		stored, err = s.o.Store.Create(ctx, platform.KindIdempotencySegment, name, value)
	} else {
		stored, err = s.o.Store.Update(ctx, platform.Object{
			Kind: platform.KindIdempotencySegment, Name: name, ResourceVersion: e.ResourceVersion, Value: value,
		})
	}
	if err == nil {
		return WriteEnded{Shard: e.Shard, ResourceVersion: stored.ResourceVersion}
	}
	s.logger.WithError(err).Debug("claims are not confirmed")
	conflict := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrAlreadyExists) || errors.Is(err, platform.ErrNotFound)
	return WriteEnded{Shard: e.Shard, NotApplied: platform.IsNotApplied(err) && !conflict}
}

// writeIndex raises the hint. An old one only makes loads read more, as long as
// the segment that it names exists.
func (s *Service) writeIndex(ctx context.Context, e WriteIndex) {
	if err := s.raiseIndex(ctx, e); err != nil {
		s.logger.WithError(err).Debug("segment index was not written")
	}
}

func (s *Service) raiseIndex(ctx context.Context, e WriteIndex) error {
	name, value := indexName(e.Shard), encode(index{Open: e.OpenSequence})
	stored, found, err := s.get(ctx, name)
	if err != nil {
		return err
	}
	if !found {
		_, err = s.o.Store.Create(ctx, platform.KindIdempotencySegment, name, value)
		return err
	}
	if hint, err := decode[index](stored.Value); err == nil && hint.Open >= e.OpenSequence {
		return nil
	}
	stored.Value = value
	_, err = s.o.Store.Update(ctx, stored)
	return err
}

// delete removes a segment, but only one before that which the index names;
// otherwise a full load would not find the later ones.
func (s *Service) delete(ctx context.Context, e DeleteSegment) {
	hint, err := s.readIndex(ctx, e.Shard)
	if err != nil || hint <= e.Sequence+1 {
		return
	}
	name := segmentName(e.Shard, e.Sequence)
	stored, found, err := s.get(ctx, name)
	if err == nil && found {
		err = s.o.Store.Delete(ctx, platform.KindIdempotencySegment, name, stored.ResourceVersion)
	}
	if err != nil {
		s.logger.WithError(err).Debug("segment past its retention was not deleted")
	}
}

func (s *Service) load(ctx context.Context, e LoadSegments) Event {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	loaded, err := s.read(ctx, e)
	if err != nil {
		s.logger.WithError(err).WithField("shard", e.Shard).Warn("shard could not be loaded")
		return LoadEnded{Shard: e.Shard, Failed: true}
	}
	return loaded
}

// read follows the chain of segments forward to the open one and, for a full
// load, backward to the first that holds claims in force.
func (s *Service) read(ctx context.Context, e LoadSegments) (LoadEnded, error) {
	first, version, found, err := s.start(ctx, e)
	if err != nil || !found {
		return LoadEnded{Shard: e.Shard}, err
	}
	loaded := LoadEnded{Shard: e.Shard, Segments: []segment{first}, ResourceVersion: version}
	for last := first; last.Closed; {
		next, version, found, err := s.readSegment(ctx, e.Shard, last.Sequence+1)
		if err != nil {
			return LoadEnded{}, err
		}
		if !found {
			break
		}
		last = next
		loaded.Segments, loaded.ResourceVersion = append(loaded.Segments, next), version
	}
	if e.Full {
		err = s.readHistory(ctx, &loaded)
	}
	return loaded, err
}

// start returns a segment at or before the open one. It is not found only if the
// shard has none at all.
func (s *Service) start(ctx context.Context, e LoadSegments) (segment, string, bool, error) {
	if !e.Full {
		if first, version, found, err := s.readNear(ctx, e.Shard, e.FromSequence); err != nil || found {
			return first, version, found, err
		}
		// The platform was restored from an older copy; its index leads on.
	}
	hint, err := s.readIndex(ctx, e.Shard)
	if err != nil {
		return segment{}, "", false, err
	}
	first, version, found, err := s.readNear(ctx, e.Shard, hint)
	if err == nil && !found && hint > 0 {
		err = eris.Errorf("shard %d has no segment near its index %d", e.Shard, hint)
	}
	return first, version, found, err
}

// readNear returns the segment at sequence or, if it is not created yet, the one before.
func (s *Service) readNear(ctx context.Context, shard int, sequence uint64) (segment, string, bool, error) {
	read, version, found, err := s.readSegment(ctx, shard, sequence)
	if err != nil || found || sequence == 0 {
		return read, version, found, err
	}
	return s.readSegment(ctx, shard, sequence-1)
}

// readHistory prepends older segments until one is missing or holds no claims in force.
func (s *Service) readHistory(ctx context.Context, loaded *LoadEnded) error {
	for loaded.Segments[0].Sequence > 0 {
		before, _, found, err := s.readSegment(ctx, loaded.Shard, loaded.Segments[0].Sequence-1)
		if err != nil {
			return err
		}
		if !found || time.Since(before.newest()) > ClaimRetention+deleteMargin {
			return nil
		}
		loaded.Segments = slices.Insert(loaded.Segments, 0, before)
	}
	return nil
}

func (s *Service) readIndex(ctx context.Context, shard int) (uint64, error) {
	stored, found, err := s.get(ctx, indexName(shard))
	if err != nil || !found {
		return 0, err
	}
	hint, err := decode[index](stored.Value)
	return hint.Open, err
}

func (s *Service) readSegment(ctx context.Context, shard int, sequence uint64) (segment, string, bool, error) {
	stored, found, err := s.get(ctx, segmentName(shard, sequence))
	if err != nil || !found {
		return segment{}, "", false, err
	}
	read, err := decode[segment](stored.Value)
	if err == nil && read.Sequence != sequence {
		err = eris.Errorf("segment %s says that it is number %d", stored.Name, read.Sequence)
	}
	return read, stored.ResourceVersion, err == nil, err
}

// get reads an object, waiting while the budget is spent.
func (s *Service) get(ctx context.Context, name string) (platform.Object, bool, error) {
	for {
		stored, err := s.o.Store.Get(ctx, platform.KindIdempotencySegment, name)
		switch {
		case err == nil:
			return stored, true, nil
		case errors.Is(err, platform.ErrNotFound):
			return platform.Object{}, false, nil
		case !errors.Is(err, platform.ErrClientRateLimited):
			return platform.Object{}, false, err
		}
		select {
		case <-time.After(budgetPause):
		case <-ctx.Done():
			return platform.Object{}, false, ctx.Err()
		}
	}
}
