package sidecar

import (
	"context"
	"sync"
	"time"
)

// Times of a graceful shutdown. The node reports at once that it is not ready. For at
// least two readiness checks of the platform, which come once per second, and a margin,
// it still accepts requests of clients that have not noticed yet.
const (
	minShutdownDuration = 2500 * time.Millisecond
	// maxCloseInboundDelay is when other nodes are told to send no more calls to the local
	// endpoints, at the latest after a quarter of the grace period. Until then these
	// endpoints still take calls.
	maxCloseInboundDelay = 1500 * time.Millisecond
	// maxNoticeTime is the time, at most half of the grace period, in which clients notice
	// the shutdown. Afterwards requests that may last longer than the node are rejected.
	// Earlier ones are accepted, because most take much less than their deadline allows.
	maxNoticeTime = 3 * time.Second
	// maxShutdownMargin and minShutdownMargin bound the part of the grace period that is
	// left for the end of the process. The platform accepts that requests are broken off
	// in the last sixth of the grace period; workMargin keeps the end of the attempts in it.
	maxShutdownMargin = 800 * time.Millisecond
	minShutdownMargin = closeTimeout + 100*time.Millisecond
	workMargin        = finalResponseMargin + 30*time.Millisecond
	// finalResponseMargin is the time between the end of the attempts and that of the
	// requests, in which other nodes report whether an attempt has run. The longest round
	// trip takes about 20 ms.
	finalResponseMargin = 100 * time.Millisecond
	// closeTimeout bounds the wait for final responses and for connections on which a
	// request is still being read.
	closeTimeout         = 300 * time.Millisecond
	shutdownPollInterval = 50 * time.Millisecond
)

// shutdownSchedule holds the times of a graceful shutdown.
//
// Invariant: each request that was begun gets a final response before the process ends.
type shutdownSchedule struct {
	earliestEndAt   time.Time
	closeInboundAt  time.Time
	rejectingFromAt time.Time
	// attemptsEndAt is the deadline of all attempts, requestsEndAt that of all requests.
	attemptsEndAt time.Time
	requestsEndAt time.Time
}

func newShutdownSchedule(started time.Time, gracePeriod time.Duration) shutdownSchedule {
	margin := max(min(maxShutdownMargin, gracePeriod/6-workMargin), minShutdownMargin)
	end := started.Add(gracePeriod - margin)
	return shutdownSchedule{
		earliestEndAt:   started.Add(minShutdownDuration),
		closeInboundAt:  started.Add(min(maxCloseInboundDelay, gracePeriod/4)),
		rejectingFromAt: started.Add(min(maxNoticeTime, gracePeriod/2)),
		attemptsEndAt:   end.Add(-finalResponseMargin), requestsEndAt: end,
	}
}

// admits reports whether a request with the given deadline is begun at now.
func (s shutdownSchedule) admits(now, deadline time.Time) bool {
	return now.Before(s.rejectingFromAt) || now.Before(deadline) && !deadline.After(s.attemptsEndAt)
}

// shutDown shuts the node down gracefully: it reports that it is not ready, informs
// other nodes, gives clients time to notice, and waits for the requests in flight.
func (n *Node) shutDown(servers []server) {
	schedule := newShutdownSchedule(n.shared.now(), n.shared.settings.GracePeriod)
	n.shared.shutdown.Store(&schedule)
	n.shared.log.event("stopping", fields{"inFlight": n.inFlight()})
	n.awaitRequests(schedule)
	n.shared.endRequests()
	var shutdowns sync.WaitGroup
	shutdowns.Go(func() {
		returning, cancel := context.WithTimeout(context.Background(), quotaStopTimeout)
		defer cancel()
		n.shared.quota.Stop(returning)
	})
	for _, server := range servers {
		wait := closeTimeout
		if _, ok := server.http.(*clientServer); ok {
			// Waits for responses that are still being written and requests that are arriving.
			// Open connections without any do not delay it.
			wait += max(schedule.requestsEndAt.Sub(n.shared.now()), 0)
		}
		shutdowns.Go(func() {
			closing, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			if server.http.Shutdown(closing) != nil {
				_ = server.http.Close()
			}
		})
	}
	shutdowns.Wait()
}

// awaitRequests waits until no request is in flight, at the latest until all requests
// have to end. Then all new requests are rejected.
func (n *Node) awaitRequests(schedule shutdownSchedule) {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		now := n.shared.now()
		if !now.Before(schedule.closeInboundAt) && !n.shared.isInboundClosed.Swap(true) {
			n.tracker.markStopping()
			n.shared.quota.Release()
		}
		if !now.Before(schedule.attemptsEndAt) {
			n.admission.rejectWaiting()
		}
		mayEnd := !now.Before(schedule.earliestEndAt) && n.inFlight() == 0
		if mayEnd || !now.Before(schedule.requestsEndAt) {
			n.shared.isRejectingNew.Store(true)
			// A request may have begun before the flag was set.
			if n.inFlight() == 0 || !now.Before(schedule.requestsEndAt) {
				return
			}
		}
		<-ticker.C
	}
}
