package idempotency

import (
	"maps"
	"slices"
	"time"
)

// Limits and times of the claims of one shard.
const (
	// ShardCount is the number of shards that keys are distributed over.
	ShardCount = 16
	// ClaimRetention is the time for which a claim is retained; a retry by the caller
	// after that is a new call.
	ClaimRetention = 24 * time.Hour
	// MaxResponseBytes bounds a recorded response.
	MaxResponseBytes = 8 << 10
	// maxSegmentEntries is the number of entries at which a segment is closed.
	maxSegmentEntries = 2000
	// maxSegmentBytes bounds a segment, below platform.MaxValueBytes.
	maxSegmentBytes = 700 << 10
	// maxResponseMemoryBytes bounds the recorded responses of a shard in memory.
	maxResponseMemoryBytes = 4 << 20
	// batchDelay is the time for which a claim waits for others to share its write.
	batchDelay = 10 * time.Millisecond
	// backgroundBatchDelay is the same for entries that no claimant waits for.
	backgroundBatchDelay = time.Second
	// retryDelay is the time before a failed call to the platform is retried.
	retryDelay = 50 * time.Millisecond
	// deletionMargin is the time past ClaimRetention after which a segment is deleted.
	// It covers differences between the clocks of successive owners.
	deletionMargin = time.Hour
	// pruneInterval is the time between removals of claims past their retention.
	pruneInterval = 10 * time.Minute
	// abandonedRetention is the time for which an abandoned claim may still turn out to
	// be stored.
	abandonedRetention = time.Minute
)

// StateMachine is the state of the shards that a node owns. It implements
// reducer.Reducer. A claim is granted only after a conditional write has stored it or a
// load has shown that it is stored. The resource version of the open segment is the
// fencing token against other owners.
type StateMachine struct {
	shards  map[int]*shard
	pruneAt time.Time
}

// NewStateMachine returns a state machine without loaded shards.
func NewStateMachine() *StateMachine { return &StateMachine{shards: make(map[int]*shard)} }

// Step implements reducer.Reducer.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case ClaimRequested:
		return m.handleClaim(now, e)
	case CallCompleted:
		return m.handleCompletion(now, e.Request)
	case LoadEnded:
		return m.withShard(e.Shard, func(s *shard) []Effect { return s.handleLoadEnded(now, e) })
	case WriteEnded:
		return m.withShard(e.Shard, func(s *shard) []Effect { return s.handleWriteEnded(now, e) })
	case OwnershipLost:
		return m.handleOwnershipLost(e.Shard)
	}
	return m.tick(now)
}

func (m *StateMachine) withShard(number int, step func(*shard) []Effect) []Effect {
	if s := m.shards[number]; s != nil {
		return step(s)
	}
	return nil
}

func (m *StateMachine) handleClaim(now time.Time, e ClaimRequested) []Effect {
	s := m.shards[e.Request.Shard]
	if s == nil {
		s = newShard(e.Request.Shard)
		m.shards[s.number] = s
	}
	s.waiters = append(s.waiters, waiter{
		correlationID: e.CorrelationID, deadline: e.Deadline, loadCount: s.loadCount,
		entry: entry{Kind: entryClaim, Key: e.Request.Key, ID: e.Request.ID, Fingerprint: e.Request.Fingerprint},
	})
	return s.scheduleBatch(now, batchDelay)
}

func (m *StateMachine) handleCompletion(now time.Time, r request) []Effect {
	s := m.shards[r.Shard]
	if s == nil {
		return nil
	}
	e := entry{Kind: entryClaim, Key: r.Key, ID: r.ID, At: now.Unix()}
	if r.NotRun {
		s.abandoned[r.ID] = now
		s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool { return w.entry.ID == r.ID })
		if s.claims[r.Key].id == r.ID {
			delete(s.abandoned, r.ID)
			s.release(e)
		}
	} else if s.claims[r.Key].id == r.ID && s.storeResponse(r.Key, r.Response) {
		s.backgroundEntries = append(s.backgroundEntries, entry{Kind: entryResponse, Key: r.Key, ID: r.ID, At: now.Unix(), Answer: r.Response})
	}
	return s.scheduleBatch(now, backgroundBatchDelay)
}

func (m *StateMachine) handleOwnershipLost(number int) []Effect {
	s := m.shards[number]
	if s == nil || s.isCallInFlight || len(s.waiters) > 0 || len(s.backgroundEntries) > 0 {
		return nil
	}
	delete(m.shards, number)
	return nil
}

func (m *StateMachine) tick(now time.Time) []Effect {
	var effects []Effect
	isPruneDue := !now.Before(m.pruneAt)
	if isPruneDue {
		m.pruneAt = now.Add(pruneInterval)
	}
	for _, number := range slices.Sorted(maps.Keys(m.shards)) {
		s := m.shards[number]
		if isPruneDue {
			effects = append(effects, s.prune(now)...)
		}
		effects = append(effects, s.advance(now)...)
	}
	return effects
}

// scheduleBatch makes sure that the waiting claims and entries are written after delay
// at the latest.
func (s *shard) scheduleBatch(now time.Time, delay time.Duration) []Effect {
	at := now.Add(delay)
	if s.batchAt.IsZero() || at.Before(s.batchAt) {
		s.batchAt = at
	}
	return s.advance(now)
}

// advance replies to the waiters whose result is known and starts the next call to the
// platform.
func (s *shard) advance(now time.Time) []Effect {
	effects := s.replyToWaiters(now)
	if s.isCallInFlight || (len(s.waiters) == 0 && len(s.backgroundEntries) == 0) {
		return effects
	}
	if at := latest(s.batchAt, s.retryAt); now.Before(at) {
		return append(effects, ScheduleTick{At: at})
	}
	if !s.isLoaded {
		s.isCallInFlight = true
		return append(effects, LoadSegments{Shard: s.number, Full: !s.wasLoaded, FromSequence: s.openSegment.Sequence})
	}
	next := s.nextWrite(now)
	if next == nil {
		return effects
	}
	s.isCallInFlight, s.writeInFlight, s.batchAt = true, next, time.Time{}
	return append(effects, WriteSegment{Shard: s.number, Segment: *next, ResourceVersion: s.resourceVersion})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// replyToWaiters replies to the waiters whose result is known or whose deadline has
// passed.
func (s *shard) replyToWaiters(now time.Time) []Effect {
	var effects []Effect
	needsLoad := false
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		if s.isLoaded {
			r, ok := s.checkClaim(now, w.entry)
			if ok && r.Result == InUse && s.mayBeAnswered(w) {
				needsLoad = true
				return s.rejectExpired(now, w, &effects)
			}
			if ok {
				effects = append(effects, Respond{CorrelationID: w.correlationID, Reply: r})
				return true
			}
		}
		return s.rejectExpired(now, w, &effects)
	})
	s.isLoaded = s.isLoaded && !needsLoad
	s.waitersInFlight = slices.DeleteFunc(s.waitersInFlight, func(w waiter) bool { return s.rejectExpired(now, w, &effects) })
	return effects
}

// rejectExpired rejects a waiter whose deadline has passed. It does not release the
// claim, because another owner may have granted it to the claimant meanwhile; a
// claimant that gives up releases it itself.
func (s *shard) rejectExpired(now time.Time, w waiter, effects *[]Effect) bool {
	if now.Before(w.deadline) {
		return false
	}
	*effects = append(*effects, Respond{CorrelationID: w.correlationID, Reply: reply{Result: StoreUnavailable}})
	return true
}

func (s *shard) handleLoadEnded(now time.Time, e LoadEnded) []Effect {
	s.isCallInFlight = false
	if e.Failed {
		s.retryAt = now.Add(retryDelay)
	} else {
		s.applySegments(e.Segments, e.ResourceVersion)
	}
	return s.advance(now)
}

func (s *shard) handleWriteEnded(now time.Time, e WriteEnded) []Effect {
	if s.writeInFlight == nil {
		return nil
	}
	written, waiters, backgroundEntries := *s.writeInFlight, s.waitersInFlight, s.backgroundInFlight
	s.isCallInFlight, s.writeInFlight, s.waitersInFlight, s.backgroundInFlight = false, nil, nil, nil
	if e.ResourceVersion == "" {
		s.waiters = append(waiters, s.waiters...)
		s.backgroundEntries = append(backgroundEntries, s.backgroundEntries...)
		s.batchAt = now
		s.retryAt = now.Add(retryDelay)
		// Unless the write certainly had no effect and was not rejected by a conflict,
		// only a load shows whether it took effect and what other owners wrote.
		s.isLoaded = e.NotApplied
		return s.advance(now)
	}
	for _, added := range written.Entries[len(s.openSegment.Entries):] {
		s.apply(added)
	}
	s.openSegment, s.resourceVersion = written, e.ResourceVersion
	var effects []Effect
	for _, w := range waiters {
		effects = append(effects, Respond{CorrelationID: w.correlationID, Reply: reply{Result: Granted}})
	}
	if written.Closed {
		s.recordClosed(written)
		s.openSegment, s.resourceVersion = segment{Sequence: written.Sequence + 1}, ""
		effects = append(effects, WriteIndex{Shard: s.number, OpenSequence: s.openSegment.Sequence})
	}
	if len(s.waiters) > 0 || len(s.backgroundEntries) > 0 {
		return append(effects, s.scheduleBatch(now, batchDelay)...)
	}
	return append(effects, s.advance(now)...)
}

// prune removes claims past their retention and returns the deletion of the oldest
// segment if all its claims are.
func (s *shard) prune(now time.Time) []Effect {
	for key, c := range s.claims {
		if now.Sub(time.Unix(c.unixSeconds, 0)) > ClaimRetention {
			delete(s.claims, key)
			s.deleteResponse(key)
		}
	}
	maps.DeleteFunc(s.abandoned, func(_ claimID, at time.Time) bool { return now.Sub(at) > abandonedRetention })
	if len(s.closedSegments) == 0 || now.Sub(s.closedSegments[0].newestEntry) <= ClaimRetention+deletionMargin {
		return nil
	}
	oldest := s.closedSegments[0]
	s.closedSegments = s.closedSegments[1:]
	return []Effect{DeleteSegment{Shard: s.number, Sequence: oldest.sequence}}
}
