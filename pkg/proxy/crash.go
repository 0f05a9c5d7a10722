package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// crashDetectionWindow is the time within which all connections of a process that
// ended must be closed. The kernel closes them together.
const crashDetectionWindow = 50 * time.Millisecond

// crashPollInterval is the interval of the checks within crashDetectionWindow.
const crashPollInterval = 2 * time.Millisecond

// dialError is the failure to open a connection; no byte of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// connTracker tracks the open connections to one target.
type connTracker struct {
	mu         sync.Mutex
	lastNumber uint64
	open       map[*trackedConn]struct{}
}

// trackedConn counts the bytes written, which shows whether any byte of a request
// was sent.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	number  uint64
	written atomic.Int64
	// closeDelimited is the call whose response ends with this connection; nil if there is none.
	closeDelimited atomic.Pointer[forwardedCall]
}

func (t *connTracker) add(conn net.Conn) *trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*trackedConn]struct{})
	}
	t.lastNumber++
	tracked := &trackedConn{Conn: conn, tracker: t, number: t.lastNumber}
	t.open[tracked] = struct{}{}
	return tracked
}

// Read returns an error in place of an end that does not complete a response.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if call := c.closeDelimited.Load(); err == io.EOF && call != nil {
		if endErr := call.confirmEnd(); endErr != nil {
			return n, endErr
		}
	}
	return n, err
}

// Write counts the bytes before it writes them: a failed write may have sent a part.
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

// snapshot returns the number of the newest connection and whether any connection
// other than failed is open.
func (t *connTracker) snapshot(failed *trackedConn) (newestConnNumber uint64, hasOthers bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		if conn != failed {
			return t.lastNumber, true
		}
	}
	return t.lastNumber, false
}

// allClosedUpTo reports whether all connections up to newestConnNumber are closed.
func (t *connTracker) allClosedUpTo(newestConnNumber uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		if conn.number <= newestConnNumber {
			return false
		}
	}
	return true
}

// crashCheck is one check for a crash. All calls whose connections close at the same
// time share it.
type crashCheck struct {
	done      chan struct{}
	isCrashed bool
	// isRefusingConnections is set if no process listens at the target's address.
	isRefusingConnections bool
}

// detectCrash reports whether the target's process ended, and if so records the
// crash for each call in flight. Calls that fail together share one check.
func (h *TargetHandler) detectCrash(target *localTarget, failed *trackedConn) bool {
	target.mu.Lock()
	if failed != nil && failed.number <= target.lastCrashedConnNumber {
		// The crash was recorded while this call was still in flight.
		target.mu.Unlock()
		return true
	}
	check := target.crashCheck
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		target.crashCheck = check
		go h.runCrashCheck(target, check, failed)
	}
	target.mu.Unlock()
	<-check.done
	return check.isCrashed
}

// runCrashCheck declares a target crashed if it refuses connections, or if it had
// several connections and all of them closed. A single closed connection is not
// enough: servers close one to abort a response.
func (h *TargetHandler) runCrashCheck(target *localTarget, check *crashCheck, failed *trackedConn) {
	newestConnNumber, hasOthers := target.conns.snapshot(failed)
	windowEnd := time.NewTimer(crashDetectionWindow)
	defer windowEnd.Stop()
	poll := time.NewTicker(crashPollInterval)
	defer poll.Stop()
	for polling := true; polling; {
		check.isRefusingConnections = refusesConnections(target.address)
		check.isCrashed = check.isRefusingConnections || (hasOthers && target.conns.allClosedUpTo(newestConnNumber))
		if check.isCrashed {
			break
		}
		select {
		case <-poll.C:
		case <-windowEnd.C:
			polling = false
		}
	}
	target.mu.Lock()
	target.crashCheck = nil
	var calls []*inFlightCall
	if check.isCrashed {
		target.crashCount++
		target.lastCrashedConnNumber = newestConnNumber
		for call := range target.inFlightCalls {
			calls = append(calls, call)
		}
	}
	crashCount := target.crashCount
	target.mu.Unlock()
	if check.isCrashed {
		h.recordCrash(target, calls, crashCount)
	}
	if check.isRefusingConnections {
		h.deregister(target.announced.Load().ID, target)
	}
	close(check.done)
}

func (h *TargetHandler) recordCrash(target *localTarget, calls []*inFlightCall, crashCount int) {
	fingerprints := make([]quarantine.Fingerprint, 0, len(calls))
	for _, call := range calls {
		fingerprints = append(fingerprints, call.request.fingerprint())
	}
	announced := target.announced.Load()
	processID := h.options.Locality.Instance + "/" + announced.ID + "/" + strconv.Itoa(crashCount) + "/" +
		strconv.FormatInt(h.options.Now().UnixNano(), 36)
	h.options.Quarantine.RecordCrash(processID, fingerprints)
	h.options.Timeline.Record(timeline.Event{Kind: eventCrash, Fields: map[string]string{
		"target": announced.ID, "service": announced.Service, "version": announced.Version,
		"callsInFlight": strconv.Itoa(len(calls)),
	}})
}

// handleDialError deregisters a target that refuses connections.
func (h *TargetHandler) handleDialError(target *localTarget, err *dialError) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.deregister(target.announced.Load().ID, target)
	}
}

// refusesConnections reports whether no process listens at the address.
func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashDetectionWindow)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
