package idempotency

import (
	"bytes"
	"slices"
	"time"
)

// claim is a claim in force.
type claim struct {
	id          claimID
	fingerprint uint64
	at          int64
}

// waiter is a claim whose result is open.
type waiter struct {
	ticket   uint64
	entry    entry
	deadline time.Time
}

// stored describes a segment that was loaded or written.
type stored struct {
	sequence uint64
	newest   time.Time
}

// shard is the state of one shard at its owner.
type shard struct {
	number int
	// loaded means that claims holds all that the platform held at the last load;
	// known means that it did once, so that a load of the newest segments is enough.
	loaded, known bool
	busy          bool
	retryAt       time.Time
	// batchAt is the time at which what waits is written; zero if nothing does.
	batchAt time.Time

	claims      map[keyHash]claim
	answers     map[keyHash][]byte
	answerBytes int

	open    segment
	version string
	closed  []stored

	waiting []waiter
	// extra are entries that nobody waits for.
	extra []entry
	// flying is the write whose outcome is open.
	flying        *segment
	flyingWaiters []waiter
	flyingExtra   []entry
	// abandoned are claims that their claimants took back before they were known to
	// be stored. They are released if it turns out that they are.
	abandoned map[claimID]time.Time
}

func newShard(number int) *shard {
	return &shard{
		number: number, claims: make(map[keyHash]claim), answers: make(map[keyHash][]byte),
		abandoned: make(map[claimID]time.Time),
	}
}

// check returns the result of a claim against the claims in force; ok is false
// if the key is free.
func (s *shard) check(now time.Time, e entry) (r reply, ok bool) {
	c, taken := s.claims[e.Key]
	switch {
	case !taken || now.Sub(time.Unix(c.at, 0)) > ClaimRetention:
		return reply{}, false
	case c.id == e.ID:
		return reply{Result: Granted}, true
	case c.fingerprint != e.Fingerprint:
		return reply{Result: FingerprintMismatch}, true
	}
	if answer, known := s.answers[e.Key]; known {
		return reply{Result: Recorded, Answer: answer}, true
	}
	return reply{Result: InUse}, true
}

// apply takes in an entry that the platform holds.
func (s *shard) apply(e entry) {
	switch e.Kind {
	case entryClaim:
		if s.claims[e.Key].id != e.ID {
			s.forgetAnswer(e.Key)
		}
		s.claims[e.Key] = claim{id: e.ID, fingerprint: e.Fingerprint, at: e.At}
		if _, abandoned := s.abandoned[e.ID]; abandoned {
			delete(s.abandoned, e.ID)
			s.release(e)
		}
	case entryRelease:
		if s.claims[e.Key].id == e.ID {
			delete(s.claims, e.Key)
			s.forgetAnswer(e.Key)
		}
	case entryAnswer:
		if s.claims[e.Key].id == e.ID {
			s.remember(e.Key, e.Answer)
		}
	}
}

// release frees a claim here and has that stored. Entries of one write are in
// order, so that a later claim of the key follows the release.
func (s *shard) release(e entry) {
	if s.claims[e.Key].id != e.ID {
		return
	}
	delete(s.claims, e.Key)
	s.forgetAnswer(e.Key)
	s.extra = append(s.extra, entry{Kind: entryRelease, Key: e.Key, ID: e.ID, At: e.At})
}

func (s *shard) remember(key keyHash, answer []byte) bool {
	if _, known := s.answers[key]; known || s.answerBytes+len(answer) > maxAnswerMemory {
		return false
	}
	s.answers[key] = answer
	s.answerBytes += len(answer)
	return true
}

func (s *shard) forgetAnswer(key keyHash) {
	s.answerBytes -= len(s.answers[key])
	delete(s.answers, key)
}

// load takes in segments read from the platform.
func (s *shard) load(segments []segment, version string) {
	before := s.open
	s.open, s.version = segment{}, ""
	var entries []entry
	for _, loaded := range segments {
		entries = append(entries, loaded.Entries...)
		s.open, s.version = loaded, version
		if loaded.Closed {
			s.close(loaded)
			s.open, s.version = segment{Sequence: loaded.Sequence + 1}, ""
		}
	}
	for _, e := range entries {
		s.apply(e)
	}
	lost := missing(before.Entries, entries)
	if s.known && (s.open.Sequence < before.Sequence || len(lost) > 0) {
		s.extra = append(s.unstored(entries), s.extra...)
	}
	s.loaded, s.known = true, true
}

// unstored returns the claims in force that a platform restored from an older
// copy may have lost: those made after the newest loaded entry, or shortly before.
func (s *shard) unstored(loaded []entry) []entry {
	since := segment{Entries: loaded}.newest().Add(-time.Minute).Unix()
	var claims []entry
	for key, c := range s.claims {
		if c.at >= since {
			claims = append(claims, entry{Kind: entryClaim, Key: key, ID: c.id, Fingerprint: c.fingerprint, At: c.at})
		}
	}
	slices.SortFunc(claims, func(a, b entry) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return missing(claims, loaded)
}

func (s *shard) close(loaded segment) {
	i, found := slices.BinarySearchFunc(s.closed, loaded.Sequence, func(c stored, sequence uint64) int {
		return int(int64(c.sequence) - int64(sequence))
	})
	if !found {
		s.closed = slices.Insert(s.closed, i, stored{sequence: loaded.Sequence, newest: loaded.newest()})
	}
}

type entryIdentity struct {
	kind entryKind
	id   claimID
}

// missing returns the entries of want that got lacks, in order.
func missing(want, got []entry) []entry {
	have := make(map[entryIdentity]bool, len(got))
	for _, e := range got {
		have[entryIdentity{e.Kind, e.ID}] = true
	}
	return slices.DeleteFunc(slices.Clone(want), func(e entry) bool { return have[entryIdentity{e.Kind, e.ID}] })
}

// batch returns the next write, or nil if nothing has to be written.
func (s *shard) batch(now time.Time) *segment {
	b := newBatch(s.open)
	for len(s.extra) > 0 && b.add(s.extra[0]) {
		s.flyingExtra = append(s.flyingExtra, s.extra[0])
		s.extra = s.extra[1:]
	}
	inBatch := make(map[keyHash]claimID)
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool {
		id, again := inBatch[w.entry.Key]
		if !again {
			w.entry.At = now.Unix()
			// Claims follow the releases that they may depend on.
			if len(s.extra) > 0 || !b.add(w.entry) {
				return false
			}
			id = w.entry.ID
			inBatch[w.entry.Key] = id
		}
		if id != w.entry.ID {
			return false
		}
		s.flyingWaiters = append(s.flyingWaiters, w)
		return true
	})
	if len(b.next.Entries) == len(s.open.Entries) && !b.next.Closed {
		return nil
	}
	return &b.next
}

// batch is a segment that is being extended.
type batch struct {
	next segment
	size int
}

func newBatch(open segment) *batch {
	b := &batch{next: segment{Sequence: open.Sequence, Entries: slices.Clone(open.Entries)}}
	for _, e := range open.Entries {
		b.size += e.size()
	}
	return b
}

// add appends e, or closes the segment and returns false if it is full.
func (b *batch) add(e entry) bool {
	if b.next.Closed || b.size+e.size() > maxSegmentBytes {
		b.next.Closed = true
		return false
	}
	b.next.Entries = append(b.next.Entries, e)
	b.size += e.size()
	b.next.Closed = len(b.next.Entries) >= segmentEntries
	return true
}
