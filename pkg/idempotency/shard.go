package idempotency

import (
	"bytes"
	"slices"
	"time"
)

// claim is a stored claim of a key.
type claim struct {
	id          claimID
	fingerprint uint64
	unixSeconds int64
	// isForeign is set if another owner granted the claim, which may store its response
	// later.
	isForeign bool
}

// waiter is a requested claim whose result is not known yet.
type waiter struct {
	correlationID uint64
	entry         entry
	deadline      time.Time
	// loadCount is the number of loads of the shard when the claim was requested.
	loadCount int
}

// closedSegment describes a closed segment that was loaded or written.
type closedSegment struct {
	sequence    uint64
	newestEntry time.Time
}

// shard is the state of one shard at its owner.
type shard struct {
	number int
	// isLoaded means that claims holds everything that the platform held at the last
	// load. wasLoaded means that it did so at some time, so that loading the newest
	// segments is enough.
	isLoaded, wasLoaded bool
	// loadCount is the number of loads that have ended.
	loadCount      int
	isCallInFlight bool
	retryAt        time.Time
	// batchAt is the time at which waiting claims and entries are written; zero if
	// there are none.
	batchAt time.Time

	claims        map[keyHash]claim
	responses     map[keyHash][]byte
	responseBytes int

	openSegment     segment
	resourceVersion string
	closedSegments  []closedSegment

	waiters []waiter
	// backgroundEntries are entries that no claimant waits for.
	backgroundEntries []entry
	// writeInFlight is the write whose outcome is not known yet.
	writeInFlight      *segment
	waitersInFlight    []waiter
	backgroundInFlight []entry
	// abandoned holds claims that their claimants released before they were known to be
	// stored, with the time of the release. If one turns out to be stored, it is
	// released in the platform too.
	abandoned map[claimID]time.Time
}

func newShard(number int) *shard {
	return &shard{
		number: number, claims: make(map[keyHash]claim), responses: make(map[keyHash][]byte),
		abandoned: make(map[claimID]time.Time),
	}
}

// checkClaim returns the result of a claim against the stored claims; ok is false if
// the key is free.
func (s *shard) checkClaim(now time.Time, e entry) (r reply, ok bool) {
	c, isClaimed := s.claims[e.Key]
	switch {
	case !isClaimed || now.Sub(time.Unix(c.unixSeconds, 0)) > ClaimRetention:
		return reply{}, false
	case c.id == e.ID:
		return reply{Result: Granted}, true
	case c.fingerprint != e.Fingerprint:
		return reply{Result: FingerprintMismatch}, true
	}
	if response, isRecorded := s.responses[e.Key]; isRecorded {
		return reply{Result: Recorded, Response: response}, true
	}
	return reply{Result: InUse}, true
}

// mayBeAnswered reports whether the response of a foreign claim may have been stored since
// the last load. The request must then wait for another load instead of being told that
// the key is in use.
func (s *shard) mayBeAnswered(w waiter) bool {
	return s.claims[w.entry.Key].isForeign && w.loadCount == s.loadCount
}

// apply updates the state with an entry that the platform holds.
func (s *shard) apply(e entry) {
	switch e.Kind {
	case entryClaim:
		if s.claims[e.Key].id != e.ID {
			s.deleteResponse(e.Key)
		}
		s.claims[e.Key] = claim{id: e.ID, fingerprint: e.Fingerprint, unixSeconds: e.At, isForeign: !s.isOwnClaim(e)}
		if _, abandoned := s.abandoned[e.ID]; abandoned {
			delete(s.abandoned, e.ID)
			s.release(e)
		}
	case entryRelease:
		if s.claims[e.Key].id == e.ID {
			delete(s.claims, e.Key)
			s.deleteResponse(e.Key)
		}
	case entryResponse:
		if s.claims[e.Key].id == e.ID {
			s.storeResponse(e.Key, e.Answer)
		}
	}
}

// isOwnClaim reports whether this owner has granted the claim of e or is about to.
func (s *shard) isOwnClaim(e entry) bool {
	if known := s.claims[e.Key]; known.id == e.ID {
		return !known.isForeign
	}
	isWaiter := func(w waiter) bool { return w.entry.ID == e.ID }
	return slices.ContainsFunc(s.waiters, isWaiter) || slices.ContainsFunc(s.waitersInFlight, isWaiter)
}

// release frees a claim in memory and schedules the entry that stores the release.
// Entries of one write are in order, so that a later claim of the key follows the
// release.
func (s *shard) release(e entry) {
	if s.claims[e.Key].id != e.ID {
		return
	}
	delete(s.claims, e.Key)
	s.deleteResponse(e.Key)
	s.backgroundEntries = append(s.backgroundEntries, entry{Kind: entryRelease, Key: e.Key, ID: e.ID, At: e.At})
}

func (s *shard) storeResponse(key keyHash, response []byte) bool {
	if _, isRecorded := s.responses[key]; isRecorded || s.responseBytes+len(response) > maxResponseMemoryBytes {
		return false
	}
	s.responses[key] = response
	s.responseBytes += len(response)
	return true
}

func (s *shard) deleteResponse(key keyHash) {
	s.responseBytes -= len(s.responses[key])
	delete(s.responses, key)
}

// applySegments updates the state with segments read from the platform.
func (s *shard) applySegments(segments []segment, resourceVersion string) {
	before := s.openSegment
	s.openSegment, s.resourceVersion = segment{}, ""
	var entries []entry
	for _, loaded := range segments {
		entries = append(entries, loaded.Entries...)
		s.openSegment, s.resourceVersion = loaded, resourceVersion
		if loaded.Closed {
			s.recordClosed(loaded)
			s.openSegment, s.resourceVersion = segment{Sequence: loaded.Sequence + 1}, ""
		}
	}
	for _, e := range entries {
		s.apply(e)
	}
	missing := missingEntries(before.Entries, entries)
	if s.wasLoaded && (s.openSegment.Sequence < before.Sequence || len(missing) > 0) {
		s.backgroundEntries = append(s.possiblyLostClaims(entries), s.backgroundEntries...)
	}
	s.isLoaded, s.wasLoaded = true, true
	s.loadCount++
}

// possiblyLostClaims returns the claims in memory that a platform restored from an
// older copy may have lost: those made after the newest loaded entry, or up to a minute
// before it.
func (s *shard) possiblyLostClaims(loaded []entry) []entry {
	since := segment{Entries: loaded}.newest().Add(-time.Minute).Unix()
	var claims []entry
	for key, c := range s.claims {
		if c.unixSeconds >= since {
			claims = append(claims, entry{Kind: entryClaim, Key: key, ID: c.id, Fingerprint: c.fingerprint, At: c.unixSeconds})
		}
	}
	slices.SortFunc(claims, func(a, b entry) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return missingEntries(claims, loaded)
}

func (s *shard) recordClosed(loaded segment) {
	i, found := slices.BinarySearchFunc(s.closedSegments, loaded.Sequence, func(c closedSegment, sequence uint64) int {
		return int(int64(c.sequence) - int64(sequence))
	})
	if !found {
		s.closedSegments = slices.Insert(s.closedSegments, i, closedSegment{sequence: loaded.Sequence, newestEntry: loaded.newest()})
	}
}

type entryIdentity struct {
	kind entryKind
	id   claimID
}

// missingEntries returns the entries of want that got lacks, in order.
func missingEntries(want, got []entry) []entry {
	have := make(map[entryIdentity]bool, len(got))
	for _, e := range got {
		have[entryIdentity{e.Kind, e.ID}] = true
	}
	return slices.DeleteFunc(slices.Clone(want), func(e entry) bool { return have[entryIdentity{e.Kind, e.ID}] })
}

// nextWrite returns the next segment to write, or nil if nothing has to be written.
func (s *shard) nextWrite(now time.Time) *segment {
	b := newSegmentBuilder(s.openSegment)
	for len(s.backgroundEntries) > 0 && b.add(s.backgroundEntries[0]) {
		s.backgroundInFlight = append(s.backgroundInFlight, s.backgroundEntries[0])
		s.backgroundEntries = s.backgroundEntries[1:]
	}
	inBatch := make(map[keyHash]claimID)
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		id, isInBatch := inBatch[w.entry.Key]
		if !isInBatch {
			w.entry.At = now.Unix()
			// Claims follow the releases that they may depend on.
			if len(s.backgroundEntries) > 0 || !b.add(w.entry) {
				return false
			}
			id = w.entry.ID
			inBatch[w.entry.Key] = id
		}
		if id != w.entry.ID {
			return false
		}
		s.waitersInFlight = append(s.waitersInFlight, w)
		return true
	})
	if len(b.segment.Entries) == len(s.openSegment.Entries) && !b.segment.Closed {
		return nil
	}
	return &b.segment
}

// segmentBuilder is a segment that is being extended.
type segmentBuilder struct {
	segment   segment
	sizeBytes int
}

func newSegmentBuilder(open segment) *segmentBuilder {
	b := &segmentBuilder{segment: segment{Sequence: open.Sequence, Entries: slices.Clone(open.Entries)}}
	for _, e := range open.Entries {
		b.sizeBytes += e.maxEncodedBytes()
	}
	return b
}

// add appends e and returns true. If the segment is full, it closes the segment and
// returns false.
func (b *segmentBuilder) add(e entry) bool {
	if b.segment.Closed || b.sizeBytes+e.maxEncodedBytes() > maxSegmentBytes {
		b.segment.Closed = true
		return false
	}
	b.segment.Entries = append(b.segment.Entries, e)
	b.sizeBytes += e.maxEncodedBytes()
	b.segment.Closed = len(b.segment.Entries) >= maxSegmentEntries
	return true
}
