// Package coldstart limits the requests that an endpoint gets while it is cold: after the
// start of its process, and whenever it says so. A cold endpoint that gets many more
// requests than it withstands crashes. The package does no I/O.
package coldstart

import (
	"math"
	"time"
)

// State is what is known about an endpoint.
type State uint8

// The states of an endpoint. Unknown is limited like Cold, and lasts until the endpoint
// has said that it is warm.
const (
	Unknown State = iota
	Cold
	Warm
)

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	switch s {
	case Cold:
		return "cold"
	case Warm:
		return "warm"
	}
	return "unknown"
}

const (
	// window is the time over which requests are counted. windowMargin is added because the
	// endpoint counts by its own clock, at the arrival.
	window       = time.Second
	windowMargin = 20 * time.Millisecond
	// restartShare is the share of the bound that one process of the node uses. A process
	// that was killed may have used as much a moment before, and calls that were counted may
	// reach the endpoint together after a pause.
	restartShare = 0.5
	// maxRemaining bounds what an endpoint may say. Endpoints are cold for some seconds.
	maxRemaining = time.Minute
)

// Times of a statement, in heartbeat intervals. Announcements come once in each interval.
const (
	// queryAge is the age from which a statement is checked with a health query: an
	// announcement is overdue. At maxAge it counts no more.
	queryAge = 1.5
	maxAge   = 2.5
	// settleTime is the time after a doubt in which announcements do not count, because they
	// may have been made before it and delivered late.
	settleTime = 1
)

// Times between two health queries. Each is billed and takes some milliseconds of work.
const (
	minQueryInterval = 250 * time.Millisecond
	maxQueryInterval = 4 * time.Second
)

// defaultServiceTime is assumed while the service time of an endpoint is not known.
const defaultServiceTime = 50 * time.Millisecond

// Limits are the configured limits of a service and the settings that belong to them.
type Limits struct {
	// PerSecond is the number of requests a second that a cold endpoint withstands; 0 means
	// no limit. Overage and Slack bound what it may get: PerSecond * Overage + Slack.
	PerSecond float64
	Overage   float64
	Slack     float64
	// HeartbeatInterval is the usual time between two announcements.
	HeartbeatInterval time.Duration
	// HasHealthCheck is set if the endpoint can be asked.
	HasHealthCheck bool
}

// IsLimited reports whether there is a limit.
func (l Limits) IsLimited() bool { return l.PerSecond > 0 }

// capacity is the number of requests that are sent in any window. It is at least one:
// otherwise, an endpoint without a health check would never be used.
func (l Limits) capacity() int {
	bound := l.PerSecond*max(l.Overage, 1) + max(l.Slack, 0)
	return max(int(min(l.PerSecond, restartShare*bound)), 1)
}

func (l Limits) heartbeats(n float64) time.Duration {
	return time.Duration(n * float64(l.HeartbeatInterval))
}

// Limiter holds the state of one endpoint. It is deterministic and not safe for
// concurrent use.
//
// Invariant: in any window in which the endpoint is not known to be warm, at most
// capacity requests are sent, including those sent in the window while it was warm.
type Limiter struct {
	state     State
	coldUntil time.Time
	// statedAt is the time of the latest statement that the endpoint is warm, or was cold
	// until then.
	statedAt time.Time
	// doubtedAt is the time of the latest event after which earlier statements do not count;
	// zero if there was none. doubts counts them.
	doubtedAt time.Time
	doubts    uint64
	// sends holds the times of the latest sends, at most the capacity, oldest first.
	sends []time.Time
	// isQuerying is set while a health query runs. The next one may start at nextQueryAt,
	// queryInterval after this one.
	isQuerying    bool
	nextQueryAt   time.Time
	queryInterval time.Duration
}

// New returns the limiter of an endpoint of which nothing is known.
func New() *Limiter { return &Limiter{queryInterval: minQueryInterval} }

// State returns what is known at the given time.
func (l *Limiter) State(now time.Time, limits Limits) State {
	if l.state == Cold && !now.Before(l.coldUntil) {
		l.state, l.statedAt = Warm, l.coldUntil
	}
	if l.state == Warm && now.Sub(l.statedAt) > limits.heartbeats(maxAge) {
		l.state = Unknown
	}
	return l.state
}

// Doubt makes earlier statements void: a connection was refused or broken, or the
// endpoint was out of use.
func (l *Limiter) Doubt(now time.Time) {
	l.state, l.doubtedAt = Unknown, now
	l.doubts++
}

// Announced applies an announcement that the endpoint is cold for the given time; 0 if it
// is warm. Announcements must be applied in their order.
func (l *Limiter) Announced(now time.Time, limits Limits, remaining time.Duration) {
	isSettled := l.doubtedAt.IsZero() || now.Sub(l.doubtedAt) >= limits.heartbeats(settleTime)
	switch state := l.State(now, limits); {
	case isSettled || remaining > 0 && state == Warm:
		l.applyStatement(now, remaining)
	case remaining > 0 && state == Cold && now.Add(remaining).After(l.coldUntil):
		l.applyStatement(now, remaining)
	}
}

// applyStatement applies a statement that counts.
func (l *Limiter) applyStatement(now time.Time, remaining time.Duration) {
	if remaining <= 0 {
		l.state, l.statedAt = Warm, now
		return
	}
	l.state, l.coldUntil = Cold, now.Add(min(remaining, maxRemaining))
}

// Query is a health query that is due.
type Query struct{ doubts uint64 }

// DueQuery returns the health query that is to be sent now, if one is needed: requests
// come at a rate that matters, and there is no recent statement. Answered or Failed must
// follow.
func (l *Limiter) DueQuery(now time.Time, limits Limits) (q Query, ok bool) {
	if !limits.IsLimited() || !limits.HasHealthCheck || l.isQuerying || now.Before(l.nextQueryAt) {
		return Query{}, false
	}
	state := l.State(now, limits)
	isOverdue := state == Warm && now.Sub(l.statedAt) > limits.heartbeats(queryAge)
	if state != Unknown && !isOverdue || 2*l.recentSends(now) < limits.capacity() {
		return Query{}, false
	}
	l.isQuerying, l.nextQueryAt = true, now.Add(l.queryInterval)
	return Query{doubts: l.doubts}, true
}

// Answered applies the answer to a health query. An answer to a query from before the
// latest doubt changes nothing.
func (l *Limiter) Answered(now time.Time, q Query, remaining time.Duration) {
	l.isQuerying, l.queryInterval = false, minQueryInterval
	if q.doubts != l.doubts {
		return
	}
	if l.applyStatement(now, remaining); remaining > 0 {
		l.doubtedAt = now // An announcement from before may say that it is warm.
	}
}

// Failed records that a health query got no answer.
func (l *Limiter) Failed(now time.Time) {
	l.isQuerying = false
	l.queryInterval = min(2*l.queryInterval, maxQueryInterval)
	l.nextQueryAt = now.Add(l.queryInterval)
}

// recentSends returns the number of the remembered sends that are in the window.
func (l *Limiter) recentSends(now time.Time) int {
	count := 0
	for _, at := range l.sends {
		if now.Sub(at) < window+windowMargin {
			count++
		}
	}
	return count
}

// Take asks to send a request now. If it may be sent, it is counted. Otherwise wait is
// the time after which the caller should ask again.
func (l *Limiter) Take(now time.Time, limits Limits) (ok bool, wait time.Duration) {
	if wait = l.Wait(now, limits, 1); wait > 0 {
		return false, wait
	}
	l.sends = append(l.sends, now)
	l.sends = l.sends[max(0, len(l.sends)-limits.capacity()):]
	return true, 0
}

// Wait returns how long the request at the given position would wait, where 1 is the
// next one to be sent.
func (l *Limiter) Wait(now time.Time, limits Limits, position int) time.Duration {
	state := l.State(now, limits)
	if !limits.IsLimited() || state == Warm {
		return 0
	}
	capacity := limits.capacity()
	free := capacity - l.recentSends(now)
	if position <= free {
		return 0
	}
	// The sends that are remembered leave the window one after the other, and then those that
	// took their places.
	position -= max(free, 0)
	rounds, index := (position-1)/capacity, (position-1)%capacity
	recent := l.sends[max(0, len(l.sends)-min(l.recentSends(now), capacity)):]
	wait := time.Duration(rounds) * (window + windowMargin)
	if index < len(recent) {
		wait += recent[index].Add(window + windowMargin).Sub(now)
	} else {
		wait += window + windowMargin
	}
	if state == Cold {
		wait = min(wait, l.coldUntil.Sub(now))
	}
	return max(wait, time.Nanosecond)
}

// Slots returns the slots that the endpoint should seem to have: all if it is warm,
// otherwise as many as the limit keeps busy, and one more than the requests at the
// endpoint, so that long ones do not keep others away. serviceTime is the usual time of a
// request; 0 if unknown.
func (l *Limiter) Slots(now time.Time, limits Limits, slots, atEndpoint int, serviceTime time.Duration) int {
	if !limits.IsLimited() || l.State(now, limits) == Warm {
		return slots
	}
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	busy := int(math.Ceil(float64(limits.capacity()) * serviceTime.Seconds()))
	return min(max(busy, atEndpoint+1, 1), slots)
}

// IsIdle reports whether no send is remembered that still counts.
func (l *Limiter) IsIdle(now time.Time) bool { return l.recentSends(now) == 0 }
