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
	// loadTimeout bounds a load of one shard. At 10 reads/s it is enough for a day of
	// claims at about 25 claims/s per shard.
	loadTimeout = 2 * time.Minute
	// rateLimitRetryDelay is the time between attempts to read while the client rate
	// limit rejects calls.
	rateLimitRetryDelay = 100 * time.Millisecond
)

func segmentName(shard int, sequence uint64) string { return fmt.Sprintf("%d-%d", shard, sequence) }

func indexName(shard int) string { return fmt.Sprintf("%d-index", shard) }

// Execute implements reducer.Executor.
func (s *Service) Execute(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case LoadSegments:
		s.background.Go(func() { s.loop.Submit(ctx, s.loadSegments(ctx, e)) })
	case WriteSegment:
		s.background.Go(func() { s.loop.Submit(ctx, s.writeSegment(ctx, e)) })
	case WriteIndex:
		s.background.Go(func() { s.writeIndex(ctx, e) })
	case DeleteSegment:
		s.background.Go(func() { s.delete(ctx, e) })
	case Respond:
		s.deliverReply(e)
	case ScheduleTick:
		s.scheduleTick(ctx, e.At)
	}
}

func (s *Service) deliverReply(e Respond) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pendingReply := s.pendingReplies[e.CorrelationID]; pendingReply != nil {
		pendingReply <- e.Reply
		delete(s.pendingReplies, e.CorrelationID)
	}
}

// scheduleTick submits a Tick at a time, unless an earlier one is scheduled already.
func (s *Service) scheduleTick(ctx context.Context, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.nextTickAt.IsZero() && !s.nextTickAt.After(at) {
		return
	}
	s.nextTickAt = at
	time.AfterFunc(time.Until(at), func() {
		s.mu.Lock()
		if s.nextTickAt.Equal(at) {
			s.nextTickAt = time.Time{}
		}
		s.mu.Unlock()
		s.loop.Submit(ctx, Tick{})
	})
}

func (s *Service) writeSegment(ctx context.Context, e WriteSegment) Event {
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
	s.logger.WithError(err).Debug("write of claims failed or has an unknown outcome")
	conflict := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrAlreadyExists) || errors.Is(err, platform.ErrNotFound)
	return WriteEnded{Shard: e.Shard, NotApplied: platform.IsNotApplied(err) && !conflict}
}

// writeIndex advances the index of a shard. An outdated index only makes loads read
// more segments, as long as the segment that it names exists.
func (s *Service) writeIndex(ctx context.Context, e WriteIndex) {
	if err := s.advanceIndex(ctx, e); err != nil {
		s.logger.WithError(err).Debug("segment index could not be written")
	}
}

func (s *Service) advanceIndex(ctx context.Context, e WriteIndex) error {
	name, value := indexName(e.Shard), encode(segmentIndex{OpenSequence: e.OpenSequence})
	stored, found, err := s.getObject(ctx, name)
	if err != nil {
		return err
	}
	if !found {
		_, err = s.o.Store.Create(ctx, platform.KindIdempotencySegment, name, value)
		return err
	}
	if hint, err := decode[segmentIndex](stored.Value); err == nil && hint.OpenSequence >= e.OpenSequence {
		return nil
	}
	stored.Value = value
	_, err = s.o.Store.Update(ctx, stored)
	return err
}

// delete deletes a segment, but only if the index names a later one; otherwise a
// full load would not find the segments after it.
func (s *Service) delete(ctx context.Context, e DeleteSegment) {
	hint, err := s.readIndex(ctx, e.Shard)
	if err != nil || hint <= e.Sequence+1 {
		return
	}
	name := segmentName(e.Shard, e.Sequence)
	stored, found, err := s.getObject(ctx, name)
	if err == nil && found {
		err = s.o.Store.Delete(ctx, platform.KindIdempotencySegment, name, stored.ResourceVersion)
	}
	if err != nil {
		s.logger.WithError(err).Debug("segment past its retention could not be deleted")
	}
}

func (s *Service) loadSegments(ctx context.Context, e LoadSegments) Event {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	loaded, err := s.readSegments(ctx, e)
	if err != nil {
		s.logger.WithError(err).WithField("shard", e.Shard).Warn("shard could not be loaded")
		return LoadEnded{Shard: e.Shard, Failed: true}
	}
	return loaded
}

// readSegments reads forward from a start segment to the open one and, for a full load,
// backward to the first segment with claims within their retention.
func (s *Service) readSegments(ctx context.Context, e LoadSegments) (LoadEnded, error) {
	first, resourceVersion, found, err := s.readStart(ctx, e)
	if err != nil || !found {
		return LoadEnded{Shard: e.Shard}, err
	}
	loaded := LoadEnded{Shard: e.Shard, Segments: []segment{first}, ResourceVersion: resourceVersion}
	for last := first; last.Closed; {
		next, resourceVersion, found, err := s.readSegment(ctx, e.Shard, last.Sequence+1)
		if err != nil {
			return LoadEnded{}, err
		}
		if !found {
			break
		}
		last = next
		loaded.Segments, loaded.ResourceVersion = append(loaded.Segments, next), resourceVersion
	}
	if e.Full {
		err = s.readOlderSegments(ctx, &loaded)
	}
	return loaded, err
}

// readStart returns a segment at or before the open one. It reports found as false only
// if the shard has no segment.
func (s *Service) readStart(ctx context.Context, e LoadSegments) (segment, string, bool, error) {
	if !e.Full {
		if first, resourceVersion, found, err := s.readSegmentOrPrevious(ctx, e.Shard, e.FromSequence); err != nil || found {
			return first, resourceVersion, found, err
		}
		// The platform was restored from an older copy; the load starts from its index.
	}
	hint, err := s.readIndex(ctx, e.Shard)
	if err != nil {
		return segment{}, "", false, err
	}
	first, resourceVersion, found, err := s.readSegmentOrPrevious(ctx, e.Shard, hint)
	if err == nil && !found && hint > 0 {
		err = eris.Errorf("shard %d has no segment near its index %d", e.Shard, hint)
	}
	return first, resourceVersion, found, err
}

// readSegmentOrPrevious returns the segment at sequence or, if it does not exist yet,
// the one before.
func (s *Service) readSegmentOrPrevious(ctx context.Context, shard int, sequence uint64) (segment, string, bool, error) {
	read, resourceVersion, found, err := s.readSegment(ctx, shard, sequence)
	if err != nil || found || sequence == 0 {
		return read, resourceVersion, found, err
	}
	return s.readSegment(ctx, shard, sequence-1)
}

// readOlderSegments prepends older segments until one is missing or all its claims are
// past their retention.
func (s *Service) readOlderSegments(ctx context.Context, loaded *LoadEnded) error {
	for loaded.Segments[0].Sequence > 0 {
		before, _, found, err := s.readSegment(ctx, loaded.Shard, loaded.Segments[0].Sequence-1)
		if err != nil {
			return err
		}
		if !found || time.Since(before.newest()) > ClaimRetention+deletionMargin {
			return nil
		}
		loaded.Segments = slices.Insert(loaded.Segments, 0, before)
	}
	return nil
}

func (s *Service) readIndex(ctx context.Context, shard int) (uint64, error) {
	stored, found, err := s.getObject(ctx, indexName(shard))
	if err != nil || !found {
		return 0, err
	}
	hint, err := decode[segmentIndex](stored.Value)
	return hint.OpenSequence, err
}

func (s *Service) readSegment(ctx context.Context, shard int, sequence uint64) (segment, string, bool, error) {
	stored, found, err := s.getObject(ctx, segmentName(shard, sequence))
	if err != nil || !found {
		return segment{}, "", false, err
	}
	read, err := decode[segment](stored.Value)
	if err == nil && read.Sequence != sequence {
		err = eris.Errorf("segment %s says that it is number %d", stored.Name, read.Sequence)
	}
	return read, stored.ResourceVersion, err == nil, err
}

// getObject reads an object. While the client rate limit rejects the call, it waits and
// retries.
func (s *Service) getObject(ctx context.Context, name string) (platform.Object, bool, error) {
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
		case <-time.After(rateLimitRetryDelay):
		case <-ctx.Done():
			return platform.Object{}, false, ctx.Err()
		}
	}
}
