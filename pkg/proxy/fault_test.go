package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
)

func targetLoad(inFlight int) routing.Load { return routing.Load{InFlight: inFlight} }

// breakingStream fails after a number of bytes in one direction and then cancels the
// stream, as after a connection loss. A nil limit means no limit.
type breakingStream struct {
	transport.Stream
	bytesToRead, bytesToWrite *atomic.Int64
}

var errConnectionLost = errors.New("connection lost")

func takeBytes(remaining *atomic.Int64, n int) int {
	if remaining == nil {
		return n
	}
	return int(max(0, min(int64(n), remaining.Add(-int64(n))+int64(n))))
}

func (s *breakingStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if allowed := takeBytes(s.bytesToRead, n); allowed < n {
		s.Cancel()
		return allowed, errConnectionLost
	}
	return n, err
}

func (s *breakingStream) Write(p []byte) (int, error) {
	if allowed := takeBytes(s.bytesToWrite, len(p)); allowed < len(p) {
		n, _ := s.Stream.Write(p[:allowed])
		s.Cancel()
		return n, errConnectionLost
	}
	return s.Stream.Write(p)
}

func newByteLimit(n int) *atomic.Int64 {
	remaining := new(atomic.Int64)
	remaining.Store(int64(n))
	return remaining
}

// Breaks the connection between two nodes at different bytes in each direction. A
// truncated response must not pass as complete, a not-run verdict must be true, and
// a call that is not idempotent must not run twice.
func TestVerdictIsTrueWhenConnectionBetweenNodesBreaks(t *testing.T) {
	f := newFleet(t, "a", "b")
	target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	callNumber := 0
	for _, size := range []int{100, 100_000} {
		for _, cutAt := range []int{0, 1, 4, 50, 200, 500, 1_000, 40_000} {
			for _, direction := range []string{"read", "write"} {
				f.wrapStreams(func(s transport.Stream) transport.Stream {
					breaking := &breakingStream{Stream: s}
					if direction == "read" {
						breaking.bytesToRead = newByteLimit(cutAt)
					} else {
						breaking.bytesToWrite = newByteLimit(cutAt)
					}
					return breaking
				})
				callNumber++
				id := "id" + strconv.Itoa(callNumber)
				r := f.nodes[1].send("POST", "/pay", strings.NewReader("amount=1"), headerRequestID, id,
					testtarget.HeaderBodySize, strconv.Itoa(size))
				isComplete := r.err == nil && r.StatusCode == http.StatusOK
				assert.Assert(t, !isComplete || len(r.body) == size, "%s broken at byte %d: truncated response passed as complete", direction, cutAt)
				waitFor(t, "no call is in flight", func() bool { return f.nodes[0].targetHandler.InFlight() == 0 })
				assert.Assert(t, target.RunCount(id) <= 1, "%s broken at byte %d: call ran twice", direction, cutAt)
				if r.err == nil && !isComplete && r.Header.Get(headerVerdict) == verdict.NotRun.String() {
					assert.Equal(t, target.RunCount(id), 0, "%s broken at byte %d: call ran despite verdict not-run: %s", direction, cutAt, r)
				}
			}
		}
	}
}

// memoryClaimer is an in-memory store of idempotency keys. A set err fails all claims.
type memoryClaimer struct {
	mu   sync.Mutex
	keys map[ClaimKey]*Completion
	err  error
}

func (c *memoryClaimer) Claim(_ context.Context, key ClaimKey) (ClaimResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return ClaimResult{}, c.err
	}
	if completion, ok := c.keys[key]; ok {
		if completion == nil {
			return ClaimResult{}, nil
		}
		return ClaimResult{Response: completion.Response}, nil
	}
	c.keys[key] = nil
	return ClaimResult{Granted: true}, nil
}

func (c *memoryClaimer) Complete(_ context.Context, key ClaimKey, completion Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if completion.NotRun {
		delete(c.keys, key)
		return
	}
	c.keys[key] = &completion
}

// Sends calls with the same idempotency key to both nodes. A call that may have run
// must not run again under its key, the key of a call that did not run must be
// released, and no call may run while the store of idempotency keys fails.
func TestCallsWithIdempotencyKeyRunAtMostOnce(t *testing.T) {
	f := newFleet(t)
	store := &memoryClaimer{keys: make(map[ClaimKey]*Completion)}
	f.claimer = store
	f.addNode("a")
	f.addNode("b")
	f.rebuildTables()
	target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	send := func(n int, key string, headers ...string) callResponse {
		return f.nodes[n].send("POST", "/pay", strings.NewReader("x"),
			append(headers, headerIdempotencyKey, key, headerRequestID, key)...)
	}
	first, retry := send(0, "k"), send(1, "k")
	assert.Equal(t, first.StatusCode, 200, "%s", first)
	assert.Equal(t, retry.StatusCode, 200, "%s", retry)
	assert.Equal(t, retry.body, first.body)
	assert.Equal(t, retry.Header.Get(headerVersion), "v1")
	assert.Equal(t, target.RunCount("k"), 1)

	r := send(1, "cut", testtarget.HeaderBodySize, "1000", testtarget.HeaderTruncate, "5")
	checkProblem(t, r, verdict.AnswerCut, verdict.MayHaveRun)
	checkProblem(t, send(0, "cut"), verdict.KeyInUse, verdict.MayHaveRun)
	assert.Equal(t, target.RunCount("cut"), 1)

	checkProblem(t, send(1, "shed", testtarget.HeaderShed, "1"), verdict.TargetShed, verdict.NotRun)
	assert.Equal(t, send(0, "shed").StatusCode, 200)

	store.err = errConnectionLost
	checkProblem(t, send(0, "down"), verdict.KeyStoreUnavailable, verdict.NotRun)
	assert.Equal(t, target.RunCount("down"), 0)
}

// A request that crashed two targets must be rejected before it reaches a third one.
// A request that was in flight at only one of the crashes must still run.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	f := newFleet(t, "a", "b")
	first := f.nodes[0].newTarget(testtarget.Options{ID: "one"}, testtarget.Behavior{})
	concurrentCall := make(chan callResponse, 1)
	go func() { concurrentCall <- f.nodes[0].send("GET", "/pay?n", nil, testtarget.HeaderDelay, "1m") }()
	waitFor(t, "the concurrent call runs", func() bool { return first.InFlight() == 1 })
	sendCrashing := func() callResponse {
		return f.nodes[0].send("POST", "/pay?p", strings.NewReader("p"), testtarget.HeaderCrash, "1")
	}
	checkProblem(t, sendCrashing(), verdict.TargetCrashed, verdict.MayHaveRun)
	checkProblem(t, <-concurrentCall, verdict.TargetCrashed, verdict.MayHaveRun)
	f.nodes[0].newTarget(testtarget.Options{ID: "two"}, testtarget.Behavior{})
	checkProblem(t, sendCrashing(), verdict.TargetCrashed, verdict.MayHaveRun)
	third := f.nodes[0].newTarget(testtarget.Options{ID: "three"}, testtarget.Behavior{})
	checkProblem(t, sendCrashing(), verdict.Quarantined, verdict.NotRun)
	// The target node rejects it if the entry node does not know of the crashes yet.
	checkProblem(t, f.nodes[1].send("POST", "/pay?p", strings.NewReader("p"), testtarget.HeaderCrash, "1"),
		verdict.Quarantined, verdict.NotRun)
	r := f.nodes[0].send("GET", "/pay?n", nil)
	assert.Equal(t, r.StatusCode, 200, "%s", r)
	assert.Equal(t, third.InFlight(), 0)
}

// A response without progress must be aborted after the progress timeout. Otherwise
// it holds the target's slot until the call's deadline.
func TestStalledResponseIsAborted(t *testing.T) {
	for entryIndex := range 2 {
		f := newFleet(t)
		f.progressTimeout = 50 * time.Millisecond
		f.addNode("a")
		f.addNode("b")
		target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
		r := f.nodes[entryIndex].send("GET", "/look", nil, testtarget.HeaderChunkCount, "2", testtarget.HeaderChunkInterval, "1m")
		assert.Assert(t, r.err != nil, "truncated response passed as complete: %s", r)
		waitFor(t, "the target is idle", func() bool { return target.InFlight() == 0 })
	}
}

// A call that waits in the queue of a target that never responds must end at its
// deadline with the verdict not-run.
func TestQueuedCallsExpireAsNotRun(t *testing.T) {
	f := newFleet(t, "a", "b")
	target := f.nodes[0].newTarget(testtarget.Options{Slots: 1}, testtarget.Behavior{})
	done := make(chan callResponse, 1)
	go func() {
		done <- f.nodes[0].send("POST", "/pay", nil, testtarget.HeaderNeverAnswer, "1", headerTimeout, "1500")
	}()
	waitFor(t, "the slot is taken", func() bool { return target.InFlight() == 1 })
	for entryIndex := range 2 {
		r := f.nodes[entryIndex].send("POST", "/pay", nil, headerRequestID, "queued", headerTimeout, "100")
		checkProblem(t, r, verdict.DeadlineExceeded, verdict.NotRun)
	}
	checkProblem(t, <-done, verdict.DeadlineExceeded, verdict.MayHaveRun)
	assert.Equal(t, target.RunCount("queued"), 0)
}

// A call that one target sheds must be retried on another one and run once. Retries
// must stay within the limit of the call tree, and if all targets shed the call, the
// verdict must be not-run.
func TestShedCallsAreRetriedWithinRetryLimit(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	var targets []*testtarget.Target
	for _, n := range f.nodes[:3] {
		targets = append(targets, n.newTarget(testtarget.Options{}, testtarget.Behavior{ShedAbove: -1, ShedEvery: 1}))
	}
	checkProblem(t, f.nodes[3].send("POST", "/pay", nil), verdict.TargetShed, verdict.NotRun)
	targets[1].SetBehavior(testtarget.Behavior{})
	r := f.nodes[3].send("POST", "/pay", nil, headerRequestID, "id")
	assert.Equal(t, r.StatusCode, 200, "%s", r)
	assert.Equal(t, targets[0].RunCount("id")+targets[1].RunCount("id")+targets[2].RunCount("id"), 1)
}

// A caller that stops reading the response must not hold the target's slot
// indefinitely.
func TestSlotIsReleasedWhenCallerStopsReading(t *testing.T) {
	for entryIndex := range 2 {
		f := newFleet(t, "a", "b")
		target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
		request, err := http.NewRequest("GET", f.nodes[entryIndex].callServer.URL+"/look", nil)
		assert.NilError(t, err)
		for name, value := range map[string]string{
			"Authorization": "Bearer " + testCustomerKey, headerService: "stock", headerTimeout: "1000",
			testtarget.HeaderBodySize: "30000000",
		} {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		waitFor(t, "the slot is free", func() bool { return target.InFlight() == 0 })
		waitFor(t, "no call is in flight", func() bool { return f.nodes[entryIndex].entryHandler.InFlight() == 0 })
		_, err = io.Copy(io.Discard, response.Body)
		assert.Assert(t, err != nil, "truncated response passed as complete")
		response.Body.Close()
	}
}

// On HTTP/2, a truncated response must reset the stream, and a draining node must
// reject new calls with a regular response.
func TestHTTP2ResetsTruncatedResponseAndRejectsCallsWhenDraining(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := httptest.NewUnstartedServer(f.nodes[1].entryHandler)
	server.Config.Protocols = &protocols
	server.Start()
	defer server.Close()
	client := &http.Transport{Protocols: &protocols}
	defer client.CloseIdleConnections()
	send := func(headers ...string) callResponse {
		return f.nodes[1].sendVia(client, server.URL, "GET", "/look", nil, headers...)
	}
	r := send(testtarget.HeaderChunkCount, "3")
	assert.NilError(t, r.err)
	assert.Equal(t, r.ProtoMajor, 2)
	assert.Equal(t, len(r.body), 3<<10)
	assert.Equal(t, r.Trailer.Get(testtarget.TrailerChunkCount), "3")
	r = send(testtarget.HeaderBodySize, "1000000", testtarget.HeaderTruncate, "500000")
	assert.Assert(t, r.err != nil, "truncated response passed as complete")
	f.nodes[1].entryHandler.Drain()
	checkProblem(t, send(), verdict.Draining, verdict.NotRun)
}

// Malformed announcements must be rejected, because calls would be sent to addresses
// without a target. An announcement that is not renewed must expire.
func TestAnnouncementsAreValidatedAndExpire(t *testing.T) {
	f := newFleet(t, "a")
	put := func(id, body string) int {
		request, err := http.NewRequest("PUT", f.nodes[0].announceServer.URL+"/v1/targets/"+id, strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.NilError(t, err)
		response.Body.Close()
		return response.StatusCode
	}
	announce := func(state, address string, slots int) string {
		return `{"service":"stock","version":"v1","address":"` + address + `","slots":` + strconv.Itoa(slots) +
			`,"warmupMs":5,"state":"` + state + `"}`
	}
	for want, bodies := range map[int][]string{
		400: {"", "{"},
		422: {"{}", announce("lost", "127.0.0.1:1", 1), announce("ready", "localhost:1", 1), announce("ready", "127.0.0.1:1", 0)},
		204: {announce("starting", "127.0.0.1:1", 1), announce("ready", "127.0.0.1:1", 2)},
	} {
		for _, body := range bodies {
			assert.Equal(t, put("t", body), want, body)
		}
	}
	endpoints := f.nodes[0].endpoints()
	assert.Equal(t, len(endpoints), 1)
	assert.Assert(t, endpoints[0].Slots == 2 && !endpoints[0].ReadySince.IsZero())
	waitFor(t, "the announcement expires", func() bool { return len(f.nodes[0].endpoints()) == 0 })
	assert.Equal(t, put("t", announce("ready", "127.0.0.1:1", 2)), 204)
	request, err := http.NewRequest("DELETE", f.nodes[0].announceServer.URL+"/v1/targets/t", nil)
	assert.NilError(t, err)
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, len(f.nodes[0].endpoints()), 0)
}

// While the quarantine registry is not empty, a streamed request with a quarantined
// body must be rejected. Another streamed request must not stall, although its sender
// waits for the start of the response before it sends the rest of the body.
func TestQuarantineChecksStreamedBodiesWithoutBlockingThem(t *testing.T) {
	f := newFleet(t, "a", "b")
	fingerprintOf := func(body string) quarantine.Fingerprint {
		hasher := quarantine.NewHasher("stock", "pay", "POST", "/pay")
		_, _ = hasher.Write([]byte(body))
		return hasher.Sum()
	}
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	for _, n := range f.nodes {
		n.quarantine.RecordCrash("p1", []quarantine.Fingerprint{fingerprintOf("poison")})
		n.quarantine.RecordCrash("p2", []quarantine.Fingerprint{fingerprintOf("poison")})
		r := n.send("POST", "/pay", io.MultiReader(strings.NewReader("poison")))
		checkProblem(t, r, verdict.Quarantined, verdict.NotRun)
		reader, writer := io.Pipe()
		request, err := http.NewRequest("POST", n.callServer.URL+"/pay", reader)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testCustomerKey)
		request.Header.Set(headerService, "stock")
		request.Header.Set(testtarget.HeaderEcho, "1")
		go func() { _, _ = io.WriteString(writer, "first") }()
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		go func() {
			_, _ = io.WriteString(writer, "last")
			_ = writer.Close()
		}()
		all, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(all), "firstlast")
		response.Body.Close()
	}
}
