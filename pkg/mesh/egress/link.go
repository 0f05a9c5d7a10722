// Package egress decides in which order the answers of a node go out on the link
// of its machine.
package egress

import (
	"slices"
	"time"
)

// ChunkBytes is the size of the pieces in which large answers are sent. At
// 10 Mbit/s, the slowest links of the users' deployments, one takes 13 ms.
const ChunkBytes = 16 << 10

// rateShare is the part of the link's rate that answers may fill. The rest is
// left to requests, headers of packets (3 in 100 of full ones) and
// acknowledgements, which are not counted here.
const rateShare = 0.95

// lead is how far ahead of the link chunks are handed out, so that it does not
// run idle between two of them.
const lead = 15 * time.Millisecond

// pathMargin is the time that an answer needs from this link to its caller: up to
// 11 ms of delay between regions and to the client, and its way through the entry
// node of a slow machine. Without it a busy link delivers each answer just too late.
const pathMargin = 100 * time.Millisecond

// Chunk is a piece of a large answer that asks to be sent.
type Chunk struct {
	// ID identifies the answer; it asks for one chunk at a time.
	ID    uint64
	Bytes int
	// Remaining is the number of bytes of the answer that are left, with this chunk.
	Remaining int64
	// TargetAt is the time until which the whole answer has its full worth.
	TargetAt time.Time
	// Urgent is set for an answer whose caller's node is stopping: it must be there
	// before that process ends. There are few of them.
	Urgent bool
}

// Link is the deterministic schedule of one machine's outgoing link. It is not
// safe for concurrent use.
//
// Invariant: what was handed out and not yet sent never exceeds lead by more than
// the small answers and one chunk.
//
// The load pattern it answers: large answers beyond the rate of a narrow link. Sent
// all at once they share the link and all end late, and small answers wait behind
// their packets. One after the other, those that can be in time are, and small
// answers pass between two chunks.
type Link struct {
	bytesPerSecond float64
	busyUntil      time.Time
	waiting        []Chunk
}

// NewLink returns the schedule of an idle link of the given rate in bytes per
// second; 0 means that the rate is not known, and nothing waits.
func NewLink(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: rateShare * bytesPerSecond} }

func (l *Link) duration(bytes int64) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// Spend counts bytes that are sent without asking.
func (l *Link) Spend(now time.Time, bytes int) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(l.duration(int64(bytes)))
}

// Ask reports whether a chunk may be sent at once. If not, Next returns its turn.
func (l *Link) Ask(now time.Time, c Chunk) bool {
	if len(l.waiting) == 0 && !l.busy(now) {
		l.Spend(now, c.Bytes)
		return true
	}
	l.waiting = append(l.waiting, c)
	return false
}

// Withdraw takes back a waiting chunk.
func (l *Link) Withdraw(id uint64) {
	l.waiting = slices.DeleteFunc(l.waiting, func(c Chunk) bool { return c.ID == id })
}

func (l *Link) busy(now time.Time) bool { return l.busyUntil.Sub(now) > lead }

// Next returns the answers whose chunks may be sent now, and how long to wait
// before asking again; 0 if none waits.
func (l *Link) Next(now time.Time) (granted []uint64, wait time.Duration) {
	for len(l.waiting) > 0 {
		if l.busy(now) {
			return granted, l.busyUntil.Sub(now) - lead
		}
		best := 0
		for i := range l.waiting {
			if l.before(now, l.waiting[i], l.waiting[best]) {
				best = i
			}
		}
		granted = append(granted, l.waiting[best].ID)
		l.Spend(now, l.waiting[best].Bytes)
		l.waiting = slices.Delete(l.waiting, best, best+1)
	}
	return granted, 0
}

// before reports whether a goes before b: first urgent answers, then those that can be
// in time, the most pressing first; then late ones, those with the least left to send
// first.
func (l *Link) before(now time.Time, a, b Chunk) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	aInTime, bInTime := l.inTime(now, a), l.inTime(now, b)
	switch {
	case aInTime != bInTime:
		return aInTime
	case aInTime:
		return a.TargetAt.Before(b.TargetAt)
	}
	return a.Remaining < b.Remaining
}

func (l *Link) inTime(now time.Time, c Chunk) bool {
	return !now.Add(l.duration(c.Remaining) + pathMargin).After(c.TargetAt)
}
