package proxy

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// crashWindow is the time in which a process that ended is seen to have lost all
// its connections. The kernel closes them together.
const crashWindow = 50 * time.Millisecond

// crashPoll is the interval of the looks at the connections within crashWindow.
const crashPoll = 2 * time.Millisecond

// dialError is the failure to open a connection; nothing was handed over.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// connTracker knows the open connections to one target.
type connTracker struct {
	mu   sync.Mutex
	next uint64
	open map[*trackedConn]struct{}
}

// trackedConn counts what was written, so that it is known whether a request
// was handed over.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	number  uint64
	written atomic.Int64
}

func (t *connTracker) add(conn net.Conn) *trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*trackedConn]struct{})
	}
	t.next++
	tracked := &trackedConn{Conn: conn, tracker: t, number: t.next}
	t.open[tracked] = struct{}{}
	return tracked
}

// Write counts before it writes: a failed write may have handed over a part.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.open, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// mark returns the number of the newest connection and whether any but failed
// is open.
func (t *connTracker) mark(failed *trackedConn) (newest uint64, others bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		if conn != failed {
			return t.next, true
		}
	}
	return t.next, false
}

// closed reports whether all connections up to a number are closed.
func (t *connTracker) closed(newest uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		if conn.number <= newest {
			return false
		}
	}
	return true
}

// crashCheck is shared by all calls that lose their connection together.
type crashCheck struct {
	done    chan struct{}
	crashed bool
	// refused is set if the target accepts no connections.
	refused bool
}

// crashed finds out whether the target's process ended, and if so counts the
// crash against each call in flight. Calls that fail together share one check.
func (s *TargetHandler) crashed(target *localTarget, failed *trackedConn) bool {
	target.mu.Lock()
	if failed != nil && failed.number <= target.crashedUpTo {
		// The crash was counted while this call was still in flight.
		target.mu.Unlock()
		return true
	}
	check := target.crash
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		target.crash = check
		go s.checkCrash(target, check, failed)
	}
	target.mu.Unlock()
	<-check.done
	return check.crashed
}

// checkCrash takes a target for crashed if it refuses connections, or if it
// closed all of several ones. A single closed connection is not enough: servers
// close one to abort an answer.
func (s *TargetHandler) checkCrash(target *localTarget, check *crashCheck, failed *trackedConn) {
	newest, several := target.conns.mark(failed)
	deadline := time.NewTimer(crashWindow)
	defer deadline.Stop()
	poll := time.NewTicker(crashPoll)
	defer poll.Stop()
	for waiting := true; waiting; {
		check.refused = refusesConnections(target.address)
		check.crashed = check.refused || (several && target.conns.closed(newest))
		if check.crashed {
			break
		}
		select {
		case <-poll.C:
		case <-deadline.C:
			waiting = false
		}
	}
	target.mu.Lock()
	target.crash = nil
	var calls []*inFlight
	if check.crashed {
		target.crashes++
		target.crashedUpTo = newest
		for call := range target.serving {
			calls = append(calls, call)
		}
	}
	crashes := target.crashes
	target.mu.Unlock()
	if check.crashed {
		s.countCrash(target, calls, crashes)
	}
	if check.refused {
		s.lost(target.record.Load().ID, target)
	}
	close(check.done)
}

func (s *TargetHandler) countCrash(target *localTarget, calls []*inFlight, crashes int) {
	fingerprints := make([]quarantine.Fingerprint, 0, len(calls))
	for _, call := range calls {
		fingerprints = append(fingerprints, call.request.fingerprint())
	}
	record := target.record.Load()
	process := s.deps.Locality.Instance + "/" + record.ID + "/" + strconv.Itoa(crashes) + "/" +
		strconv.FormatInt(s.deps.Now().UnixNano(), 36)
	s.deps.Quarantine.RecordCrash(process, fingerprints)
	s.deps.Timeline.Record(timeline.Event{Kind: eventCrash, Fields: map[string]string{
		"target": record.ID, "service": record.Service, "version": record.Version,
		"callsInFlight": strconv.Itoa(len(calls)),
	}})
}

// refused handles a target that did not accept a connection.
func (s *TargetHandler) refused(target *localTarget, err *dialError) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.lost(target.record.Load().ID, target)
	}
}

// refusesConnections reports whether no process listens at the address.
func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashWindow)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
