// Package egress schedules the responses that a node sends over the outgoing link of
// its instance.
package egress

import (
	"math"
	"slices"
	"time"
)

// ChunkBytes is the size of the chunks in which large responses are sent. At
// 10 Mbit/s, the slowest links of the users' deployments, a chunk takes 13 ms.
const ChunkBytes = 16 << 10

// usableRateFraction is the fraction of the link rate that is scheduled. The rest is
// left to traffic that is not counted here: the metadata store's, and acknowledgements
// (one of 52 bytes for every two full packets received).
const usableRateFraction = 0.98

// packetOverheadFactor is the size of a full packet, 1,500 bytes, over its payload of
// 1,448 bytes.
const packetOverheadFactor = 1500.0 / 1448

// maxSendAhead is how far chunks are released ahead of the link, so that it does not
// run idle between two of them.
const maxSendAhead = 15 * time.Millisecond

// pathLatencyMargin is the time that a response takes from this link to its caller: up
// to 11 ms of latency between regions and to the client, and the processing in the
// entry node of a slow instance. Without it, responses on a busy link arrive slightly
// too late.
const pathLatencyMargin = 100 * time.Millisecond

// Chunk is a part of a large response that waits to be sent.
type Chunk struct {
	// ResponseID identifies the response, which has at most one chunk waiting.
	ResponseID uint64
	Bytes      int
	// RemainingBytes is the unsent size of the response, including this chunk.
	RemainingBytes int64
	// SoftDeadline is the soft deadline of the whole response.
	SoftDeadline time.Time
	// Urgent is set if the response's node or its caller's node is shutting down: it
	// must arrive before that process ends. Urgent chunks are rare.
	Urgent bool
}

// LinkScheduler is the deterministic scheduler of an instance's outgoing link. It is
// not safe for concurrent use.
//
// Invariant: the bytes released but not yet sent never exceed maxSendAhead by more
// than the unscheduled messages and one chunk. Unscheduled messages are small responses
// and others that are sent at once and only counted, by AddUnscheduled.
//
// It serves large responses that together exceed the rate of a narrow link. If they
// shared the link they would all be late, and small responses would queue behind their
// packets. Sent one after the other, as many as possible are in time, and small
// responses pass between two chunks.
type LinkScheduler struct {
	bytesPerSecond float64
	busyUntil      time.Time
	waiting        []Chunk
	// unscheduledRate is the mean rate of unscheduled messages in bytes per second.
	unscheduledRate   float64
	unscheduledRateAt time.Time
	// reservedBytes is the expected size of the admitted responses that have not begun.
	reservedBytes int64
}

// ExpectedResponse describes a response before its request runs.
type ExpectedResponse struct {
	// Bytes is the usual size of such responses, TimeToFirstByte the usual time until
	// one begins.
	Bytes           int64
	TimeToFirstByte time.Duration
	// SoftDeadline and Deadline are those of the request.
	SoftDeadline time.Time
	Deadline     time.Time
}

// Lateness returns by how much the link would miss the response's soft deadline behind
// all waiting and reserved bytes or, if even an idle link would miss that, its
// deadline. At 0 or less the request should run. A response that is late for another
// reason than the link's queue has a lateness of 0.
//
// It limits a lasting overload with large responses, of which some are late in any
// order. These are rejected before their requests run, so that another endpoint can
// run them and no work is wasted.
func (l *LinkScheduler) Lateness(now time.Time, e ExpectedResponse) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	backlog := l.reservedBytes
	for i := range l.waiting {
		// Responses that wait for their reader are not in waiting: they delay no others.
		backlog += l.waiting[i].RemainingBytes
	}
	idleFinish := now.Add(e.TimeToFirstByte + l.transferTime(now, e.Bytes) + pathLatencyMargin)
	queuedFinish := now.Add(max(l.busyUntil.Sub(now), 0) + l.transferTime(now, backlog+e.Bytes) + pathLatencyMargin)
	switch {
	case !queuedFinish.After(idleFinish):
		return 0
	case idleFinish.After(e.SoftDeadline):
		return queuedFinish.Sub(e.Deadline)
	}
	return queuedFinish.Sub(e.SoftDeadline)
}

// Reserve adds the expected size of an admitted response. The caller removes it with
// a negative number once the response begins or is known not to come.
func (l *LinkScheduler) Reserve(bytes int64) { l.reservedBytes += bytes }

// NewLinkScheduler returns the scheduler of an idle link with the given rate in bytes
// per second; 0 means an unknown rate, with which nothing waits.
func NewLinkScheduler(bytesPerSecond float64) *LinkScheduler {
	return &LinkScheduler{bytesPerSecond: usableRateFraction * bytesPerSecond}
}

func (l *LinkScheduler) wireTime(bytes int64) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(packetOverheadFactor * float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// unscheduledRateWindow is the time constant of the moving average of unscheduled
// messages: as long as the target latencies of large responses.
const unscheduledRateWindow = time.Second

// AddUnscheduled counts bytes that are sent without scheduling.
func (l *LinkScheduler) AddUnscheduled(now time.Time, bytes int) {
	if l.bytesPerSecond <= 0 {
		return
	}
	l.unscheduledRate = l.decayedUnscheduledRate(now) + float64(bytes)/unscheduledRateWindow.Seconds()
	l.unscheduledRateAt = now
	l.occupy(now, bytes)
}

func (l *LinkScheduler) decayedUnscheduledRate(now time.Time) float64 {
	if l.unscheduledRate == 0 {
		return 0
	}
	return l.unscheduledRate * math.Exp(-now.Sub(l.unscheduledRateAt).Seconds()/unscheduledRateWindow.Seconds())
}

// transferTime returns how long scheduled responses of the given size take on the part
// of the link that unscheduled messages, which take precedence, leave free.
func (l *LinkScheduler) transferTime(now time.Time, bytes int64) time.Duration {
	scheduledShare := 1 - packetOverheadFactor*l.decayedUnscheduledRate(now)/l.bytesPerSecond
	return time.Duration(float64(l.wireTime(bytes)) / max(scheduledShare, minScheduledShare))
}

// minScheduledShare is the share of the link that is assumed to be left for scheduled
// responses, however many unscheduled messages there are.
const minScheduledShare = 0.1

func (l *LinkScheduler) occupy(now time.Time, bytes int) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(l.wireTime(int64(bytes)))
}

// Submit reports whether a chunk may be sent at once. If not, Next releases it later.
func (l *LinkScheduler) Submit(now time.Time, c Chunk) bool {
	if len(l.waiting) == 0 && !l.isBusy(now) {
		l.occupy(now, c.Bytes)
		return true
	}
	l.waiting = append(l.waiting, c)
	return false
}

// Cancel removes the waiting chunk of a response.
func (l *LinkScheduler) Cancel(id uint64) {
	l.waiting = slices.DeleteFunc(l.waiting, func(c Chunk) bool { return c.ResponseID == id })
}

func (l *LinkScheduler) isBusy(now time.Time) bool { return l.busyUntil.Sub(now) > maxSendAhead }

// Next returns the responses whose chunks may be sent now, and how long to wait
// before the next call; 0 if no chunk waits.
func (l *LinkScheduler) Next(now time.Time) (released []uint64, wait time.Duration) {
	for len(l.waiting) > 0 {
		if l.isBusy(now) {
			return released, l.busyUntil.Sub(now) - maxSendAhead
		}
		best := 0
		for i := range l.waiting {
			if precedes(l.waiting[i], l.waiting[best]) {
				best = i
			}
		}
		released = append(released, l.waiting[best].ResponseID)
		l.occupy(now, l.waiting[best].Bytes)
		l.waiting = slices.Delete(l.waiting, best, best+1)
	}
	return released, 0
}

// precedes reports whether a is sent before b: urgent chunks first, then those with
// the earliest soft deadline. Late responses need no rule: Lateness limits their number.
func precedes(a, b Chunk) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	return a.SoftDeadline.Before(b.SoftDeadline)
}
