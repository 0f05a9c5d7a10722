package idempotency

import (
	"maps"
	"slices"
	"time"
)

// Sizes and times of the claims of one shard.
const (
	// ShardCount is the number of shards that keys are spread over.
	ShardCount = 16
	// ClaimRetention is the time for which a claim is kept; a resend after that is a new call.
	ClaimRetention = 24 * time.Hour
	// MaxResponseBytes bounds a recorded answer.
	MaxResponseBytes = 8 << 10
	// segmentEntries is the number of entries after which a segment is closed.
	segmentEntries = 2000
	// maxSegmentBytes bounds a segment, below platform.MaxValueBytes.
	maxSegmentBytes = 700 << 10
	// maxAnswerMemory bounds the recorded answers of a shard in memory.
	maxAnswerMemory = 4 << 20
	// batchDelay is the time for which a claim waits for others to share its write.
	batchDelay = 10 * time.Millisecond
	// lazyDelay is the same for entries that nobody waits for.
	lazyDelay = time.Second
	// retryDelay passes before a failed call to the platform is repeated.
	retryDelay = 50 * time.Millisecond
	// deleteMargin is the time past Retention after which a segment is deleted,
	// against clocks of owners that differ.
	deleteMargin = time.Hour
	// pruneEvery is the time between removals of what is past its retention.
	pruneEvery = 10 * time.Minute
	// abandonedFor is the time for which a refused claim may still turn out stored.
	abandonedFor = time.Minute
)

// StateMachine is the state of the shards that a node owns. It implements
// reducer.Reducer. A claim is granted only after a conditional write has stored
// it, or after a load has shown that it is stored; the stored version of the
// open segment is the fence against other owners.
type StateMachine struct {
	shards  map[int]*shard
	pruneAt time.Time
}

// NewStateMachine returns a machine that has loaded nothing.
func NewStateMachine() *StateMachine { return &StateMachine{shards: make(map[int]*shard)} }

// Step implements reducer.Reducer.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case ClaimRequested:
		return m.claimed(now, e)
	case CallCompleted:
		return m.completed(now, e.Request)
	case LoadEnded:
		return m.with(e.Shard, func(s *shard) []Effect { return s.loadEnded(now, e) })
	case WriteEnded:
		return m.with(e.Shard, func(s *shard) []Effect { return s.writeEnded(now, e) })
	case OwnershipLost:
		return m.disowned(e.Shard)
	}
	return m.tick(now)
}

func (m *StateMachine) with(number int, step func(*shard) []Effect) []Effect {
	if s := m.shards[number]; s != nil {
		return step(s)
	}
	return nil
}

func (m *StateMachine) claimed(now time.Time, e ClaimRequested) []Effect {
	s := m.shards[e.Request.Shard]
	if s == nil {
		s = newShard(e.Request.Shard)
		m.shards[s.number] = s
	}
	s.waiting = append(s.waiting, waiter{
		ticket: e.CorrelationID, deadline: e.Deadline,
		entry: entry{Kind: entryClaim, Key: e.Request.Key, ID: e.Request.ID, Fingerprint: e.Request.Fingerprint},
	})
	return s.schedule(now, batchDelay)
}

func (m *StateMachine) completed(now time.Time, r request) []Effect {
	s := m.shards[r.Shard]
	if s == nil {
		return nil
	}
	e := entry{Kind: entryClaim, Key: r.Key, ID: r.ID, At: now.Unix()}
	if r.NotRun {
		s.abandoned[r.ID] = now
		s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.entry.ID == r.ID })
		if s.claims[r.Key].id == r.ID {
			delete(s.abandoned, r.ID)
			s.release(e)
		}
	} else if s.claims[r.Key].id == r.ID && s.remember(r.Key, r.Answer) {
		s.extra = append(s.extra, entry{Kind: entryAnswer, Key: r.Key, ID: r.ID, At: now.Unix(), Answer: r.Answer})
	}
	return s.schedule(now, lazyDelay)
}

func (m *StateMachine) disowned(number int) []Effect {
	s := m.shards[number]
	if s == nil || s.busy || len(s.waiting) > 0 || len(s.extra) > 0 {
		return nil
	}
	delete(m.shards, number)
	return nil
}

func (m *StateMachine) tick(now time.Time) []Effect {
	var effects []Effect
	prune := !now.Before(m.pruneAt)
	if prune {
		m.pruneAt = now.Add(pruneEvery)
	}
	for _, number := range slices.Sorted(maps.Keys(m.shards)) {
		s := m.shards[number]
		if prune {
			effects = append(effects, s.prune(now)...)
		}
		effects = append(effects, s.advance(now)...)
	}
	return effects
}

// schedule sees to it that what waits is written after delay at the latest.
func (s *shard) schedule(now time.Time, delay time.Duration) []Effect {
	at := now.Add(delay)
	if s.batchAt.IsZero() || at.Before(s.batchAt) {
		s.batchAt = at
	}
	return s.advance(now)
}

// advance answers what can be answered and starts the next call to the platform.
func (s *shard) advance(now time.Time) []Effect {
	effects := s.settle(now)
	if s.busy || (len(s.waiting) == 0 && len(s.extra) == 0) {
		return effects
	}
	if at := latest(s.batchAt, s.retryAt); now.Before(at) {
		return append(effects, ScheduleTick{At: at})
	}
	if !s.loaded {
		s.busy = true
		return append(effects, LoadSegments{Shard: s.number, Full: !s.known, FromSequence: s.open.Sequence})
	}
	next := s.batch(now)
	if next == nil {
		return effects
	}
	s.busy, s.flying, s.batchAt = true, next, time.Time{}
	return append(effects, WriteSegment{Shard: s.number, Segment: *next, ResourceVersion: s.version})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// settle answers the waiters whose result is known or whose time is over.
func (s *shard) settle(now time.Time) []Effect {
	var effects []Effect
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool {
		if s.loaded {
			if r, ok := s.check(now, w.entry); ok {
				effects = append(effects, Respond{CorrelationID: w.ticket, Reply: r})
				return true
			}
		}
		return s.refuseLate(now, w, &effects)
	})
	s.flyingWaiters = slices.DeleteFunc(s.flyingWaiters, func(w waiter) bool { return s.refuseLate(now, w, &effects) })
	return effects
}

// refuseLate refuses a waiter whose time is over. It does not take the claim back,
// because the claimant may have been granted it by another owner meanwhile; the
// claimant does so itself if it gives up.
func (s *shard) refuseLate(now time.Time, w waiter, effects *[]Effect) bool {
	if now.Before(w.deadline) {
		return false
	}
	*effects = append(*effects, Respond{CorrelationID: w.ticket, Reply: reply{Result: StoreUnavailable}})
	return true
}

func (s *shard) loadEnded(now time.Time, e LoadEnded) []Effect {
	s.busy = false
	if e.Failed {
		s.retryAt = now.Add(retryDelay)
	} else {
		s.load(e.Segments, e.ResourceVersion)
	}
	return s.advance(now)
}

func (s *shard) writeEnded(now time.Time, e WriteEnded) []Effect {
	if s.flying == nil {
		return nil
	}
	written, waiters, extra := *s.flying, s.flyingWaiters, s.flyingExtra
	s.busy, s.flying, s.flyingWaiters, s.flyingExtra = false, nil, nil, nil
	if e.ResourceVersion == "" {
		s.waiting = append(waiters, s.waiting...)
		s.extra = append(extra, s.extra...)
		s.batchAt = now
		s.retryAt = now.Add(retryDelay)
		// Unless the write certainly had no effect and nothing else changed, only a
		// load shows whether it took effect and what others wrote.
		s.loaded = e.NotApplied
		return s.advance(now)
	}
	for _, added := range written.Entries[len(s.open.Entries):] {
		s.apply(added)
	}
	s.open, s.version = written, e.ResourceVersion
	var effects []Effect
	for _, w := range waiters {
		effects = append(effects, Respond{CorrelationID: w.ticket, Reply: reply{Result: Granted}})
	}
	if written.Closed {
		s.close(written)
		s.open, s.version = segment{Sequence: written.Sequence + 1}, ""
		effects = append(effects, WriteIndex{Shard: s.number, OpenSequence: s.open.Sequence})
	}
	if len(s.waiting) > 0 || len(s.extra) > 0 {
		return append(effects, s.schedule(now, batchDelay)...)
	}
	return append(effects, s.advance(now)...)
}

// prune forgets what is past its retention.
func (s *shard) prune(now time.Time) []Effect {
	for key, c := range s.claims {
		if now.Sub(time.Unix(c.at, 0)) > ClaimRetention {
			delete(s.claims, key)
			s.forgetAnswer(key)
		}
	}
	maps.DeleteFunc(s.abandoned, func(_ claimID, at time.Time) bool { return now.Sub(at) > abandonedFor })
	if len(s.closed) == 0 || now.Sub(s.closed[0].newest) <= ClaimRetention+deleteMargin {
		return nil
	}
	oldest := s.closed[0]
	s.closed = s.closed[1:]
	return []Effect{DeleteSegment{Shard: s.number, Sequence: oldest.sequence}}
}
