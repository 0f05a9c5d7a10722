// Package egress decides in which order the answers of a node go out on the link
// of its machine.
package egress

import (
	"math"
	"slices"
	"time"
)

// ChunkBytes is the size of the pieces in which large answers are sent. At
// 10 Mbit/s, the slowest links of the users' deployments, one takes 13 ms.
const ChunkBytes = 16 << 10

// rateShare is the part of the link's rate that may be filled. The rest is left to what
// is not counted here: acknowledgements, one of 52 bytes for two full packets received,
// and the store.
const rateShare = 0.98

// packetShare is the size of a full packet, 1,500 bytes, by what it carries: 1,448.
const packetShare = 1500.0 / 1448

// lead is how far ahead of the link chunks are handed out, so that it does not
// run idle between two of them.
const lead = 15 * time.Millisecond

// pathMargin is the time that an answer needs from this link to its caller: up to
// 11 ms of delay between regions and to the client, and its way through the entry
// node of a slow machine. Without it a busy link delivers each answer just too late.
const pathMargin = 100 * time.Millisecond

// Chunk is a piece of a large answer that asks to be sent.
type Chunk struct {
	// ResponseID identifies the answer; it asks for one chunk at a time.
	ResponseID uint64
	Bytes      int
	// RemainingBytes is the number of bytes of the answer that are left, with this chunk.
	RemainingBytes int64
	// SoftDeadline is the time until which the whole answer has its full worth.
	SoftDeadline time.Time
	// Urgent is set for an answer whose node, or whose caller's, is stopping: it must be
	// there before that process ends. There are few of them.
	Urgent bool
}

// LinkScheduler is the deterministic schedule of one machine's outgoing link. It is not
// safe for concurrent use.
//
// Invariant: what was handed out and not yet sent never exceeds lead by more than
// the small answers and one chunk.
//
// The load pattern it answers: large answers beyond the rate of a narrow link. Sent
// all at once they share the link and all end late, and small answers wait behind
// their packets. One after the other, those that can be in time are, and small
// answers pass between two chunks.
type LinkScheduler struct {
	bytesPerSecond float64
	busyUntil      time.Time
	waiting        []Chunk
	// small is the mean rate of what is sent without asking, in bytes per second.
	small   float64
	smallAt time.Time
	// promised is the usual number of bytes of the admitted answers that have not begun.
	promised int64
}

// ExpectedResponse is an answer that does not exist yet.
type ExpectedResponse struct {
	// Bytes is the usual size of such answers, Ready the usual time until one begins.
	Bytes           int64
	TimeToFirstByte time.Duration
	// SoftDeadline is the time until which the answer has its full worth, Deadline the
	// time after which it has none.
	SoftDeadline time.Time
	Deadline     time.Time
}

// Lateness returns how much too late the link would send the answer, behind all that waits
// and all that is promised: past its target or, if it would miss that on an idle link as
// well, past its deadline. 0 or less means that it should run. An answer that is late
// for another reason is not this link's to reject.
//
// The load pattern it answers: more large answers than the link carries, for long.
// Whatever the order, some are never sent in time. They are rejected before they run,
// so that another endpoint may run them and none that was run is thrown away.
func (l *LinkScheduler) Lateness(now time.Time, e ExpectedResponse) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	backlog := l.promised
	for i := range l.waiting {
		// Answers that wait for their reader instead do not hold up others.
		backlog += l.waiting[i].RemainingBytes
	}
	alone := now.Add(e.TimeToFirstByte + l.drained(now, e.Bytes) + pathMargin)
	behind := now.Add(max(l.busyUntil.Sub(now), 0) + l.drained(now, backlog+e.Bytes) + pathMargin)
	switch {
	case !behind.After(alone):
		return 0
	case alone.After(e.SoftDeadline):
		return behind.Sub(e.Deadline)
	}
	return behind.Sub(e.SoftDeadline)
}

// Reserve counts the usual bytes of an answer that was admitted. The caller takes them
// back, with a negative number, once the answer begins or is known not to come.
func (l *LinkScheduler) Reserve(bytes int64) { l.promised += bytes }

// NewLinkScheduler returns the schedule of an idle link of the given rate in bytes per
// second; 0 means that the rate is not known, and nothing waits.
func NewLinkScheduler(bytesPerSecond float64) *LinkScheduler {
	return &LinkScheduler{bytesPerSecond: rateShare * bytesPerSecond}
}

func (l *LinkScheduler) duration(bytes int64) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(packetShare * float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// smallWindow is the time over which the rate of small messages is averaged: as long as
// the targets of large answers.
const smallWindow = time.Second

// AddUnscheduled counts bytes that are sent without asking.
func (l *LinkScheduler) AddUnscheduled(now time.Time, bytes int) {
	if l.bytesPerSecond <= 0 {
		return
	}
	l.small = l.smallRate(now) + float64(bytes)/smallWindow.Seconds()
	l.smallAt = now
	l.take(now, bytes)
}

func (l *LinkScheduler) smallRate(now time.Time) float64 {
	if l.small == 0 {
		return 0
	}
	return l.small * math.Exp(-now.Sub(l.smallAt).Seconds()/smallWindow.Seconds())
}

// drained returns how long large answers of the given bytes take beside the small
// messages, which go first.
func (l *LinkScheduler) drained(now time.Time, bytes int64) time.Duration {
	left := 1 - packetShare*l.smallRate(now)/l.bytesPerSecond
	return time.Duration(float64(l.duration(bytes)) / max(left, leastLarge))
}

// leastLarge is the share of the link that is reckoned to be left for large answers,
// however many small messages there are.
const leastLarge = 0.1

func (l *LinkScheduler) take(now time.Time, bytes int) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(l.duration(int64(bytes)))
}

// Submit reports whether a chunk may be sent at once. If not, Next returns its turn.
func (l *LinkScheduler) Submit(now time.Time, c Chunk) bool {
	if len(l.waiting) == 0 && !l.busy(now) {
		l.take(now, c.Bytes)
		return true
	}
	l.waiting = append(l.waiting, c)
	return false
}

// Cancel takes back a waiting chunk.
func (l *LinkScheduler) Cancel(id uint64) {
	l.waiting = slices.DeleteFunc(l.waiting, func(c Chunk) bool { return c.ResponseID == id })
}

func (l *LinkScheduler) busy(now time.Time) bool { return l.busyUntil.Sub(now) > lead }

// Next returns the answers whose chunks may be sent now, and how long to wait
// before asking again; 0 if none waits.
func (l *LinkScheduler) Next(now time.Time) (granted []uint64, wait time.Duration) {
	for len(l.waiting) > 0 {
		if l.busy(now) {
			return granted, l.busyUntil.Sub(now) - lead
		}
		best := 0
		for i := range l.waiting {
			if before(l.waiting[i], l.waiting[best]) {
				best = i
			}
		}
		granted = append(granted, l.waiting[best].ResponseID)
		l.take(now, l.waiting[best].Bytes)
		l.waiting = slices.Delete(l.waiting, best, best+1)
	}
	return granted, 0
}

// before reports whether a goes before b: first urgent answers, then the most
// pressing. Late answers need no order of their own: Admit bounds how many there are.
func before(a, b Chunk) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	return a.SoftDeadline.Before(b.SoftDeadline)
}
