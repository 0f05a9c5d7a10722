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

// breakingStream fails after a number of bytes in one direction and cancels the
// other, as a lost connection would.
type breakingStream struct {
	transport.Stream
	reads, writes *atomic.Int64
}

var errBroken = errors.New("connection lost")

func take(left *atomic.Int64, n int) int {
	if left == nil {
		return n
	}
	return int(max(0, min(int64(n), left.Add(-int64(n))+int64(n))))
}

func (s *breakingStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if allowed := take(s.reads, n); allowed < n {
		s.Cancel()
		return allowed, errBroken
	}
	return n, err
}

func (s *breakingStream) Write(p []byte) (int, error) {
	if allowed := take(s.writes, len(p)); allowed < len(p) {
		n, _ := s.Stream.Write(p[:allowed])
		s.Cancel()
		return n, errBroken
	}
	return s.Stream.Write(p)
}

func limit(n int) *atomic.Int64 {
	left := new(atomic.Int64)
	left.Store(int64(n))
	return left
}

// Guards, for a connection between nodes that breaks at any byte, against
// answers that pass as whole, false not-run verdicts, and second runs of calls
// that must not be repeated.
func TestConnectionBetweenNodesBreaksAnywhere(t *testing.T) {
	f := newFleet(t, "a", "b")
	target := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	number := 0
	for _, size := range []int{100, 100_000} {
		for _, at := range []int{0, 1, 4, 50, 200, 500, 1_000, 40_000} {
			for _, direction := range []string{"read", "write"} {
				f.breakStreams(func(s transport.Stream) transport.Stream {
					broken := &breakingStream{Stream: s}
					if direction == "read" {
						broken.reads = limit(at)
					} else {
						broken.writes = limit(at)
					}
					return broken
				})
				number++
				id := "id" + strconv.Itoa(number)
				r := f.nodes[1].do("POST", "/pay", strings.NewReader("amount=1"), headerRequestID, id,
					testtarget.HeaderBodySize, strconv.Itoa(size))
				whole := r.err == nil && r.StatusCode == http.StatusOK
				assert.Assert(t, !whole || len(r.body) == size, "%s cut at %d passed as whole", direction, at)
				waitFor(t, "no call is left", func() bool { return f.nodes[0].side.InFlight() == 0 })
				assert.Assert(t, target.RunCount(id) <= 1, "%s cut at %d: run twice", direction, at)
				if r.err == nil && !whole && r.Header.Get(headerVerdict) == verdict.NotRun.String() {
					assert.Equal(t, target.RunCount(id), 0, "%s cut at %d: false not-run: %s", direction, at, r)
				}
			}
		}
	}
}

// claims is a store of idempotency keys in memory.
type claims struct {
	mu   sync.Mutex
	keys map[ClaimKey]*Completion
	err  error
}

func (c *claims) Claim(_ context.Context, key ClaimKey) (ClaimResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return ClaimResult{}, c.err
	}
	if known, ok := c.keys[key]; ok {
		if known == nil {
			return ClaimResult{}, nil
		}
		return ClaimResult{Response: known.Response}, nil
	}
	c.keys[key] = nil
	return ClaimResult{Granted: true}, nil
}

func (c *claims) Complete(_ context.Context, key ClaimKey, completion Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if completion.NotRun {
		delete(c.keys, key)
		return
	}
	c.keys[key] = &completion
}

// Guards against a keyed call that runs twice, a key that stays blocked although
// its call did not run, and a store's outage that lets calls through.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	f := newFleet(t)
	store := &claims{keys: make(map[ClaimKey]*Completion)}
	f.claimer = store
	f.add("a")
	f.add("b")
	f.rebuild()
	target := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	send := func(n int, key string, headers ...string) reply {
		return f.nodes[n].do("POST", "/pay", strings.NewReader("x"),
			append(headers, headerKey, key, headerRequestID, key)...)
	}
	first, again := send(0, "k"), send(1, "k")
	assert.Equal(t, first.StatusCode, 200, "%s", first)
	assert.Equal(t, again.StatusCode, 200, "%s", again)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.Header.Get(headerVersion), "v1")
	assert.Equal(t, target.RunCount("k"), 1)

	r := send(1, "cut", testtarget.HeaderBodySize, "1000", testtarget.HeaderTruncate, "5")
	checkProblem(t, r, verdict.AnswerCut, verdict.MayHaveRun)
	checkProblem(t, send(0, "cut"), verdict.KeyInUse, verdict.MayHaveRun)
	assert.Equal(t, target.RunCount("cut"), 1)

	checkProblem(t, send(1, "shed", testtarget.HeaderShed, "1"), verdict.TargetShed, verdict.NotRun)
	assert.Equal(t, send(0, "shed").StatusCode, 200)

	store.err = errBroken
	checkProblem(t, send(0, "down"), verdict.KeyStoreUnavailable, verdict.NotRun)
	assert.Equal(t, target.RunCount("down"), 0)
}

// Guards against a request that takes down target after target, and against
// harm to calls that ran beside it in one crash.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	f := newFleet(t, "a", "b")
	one := f.nodes[0].target(testtarget.Options{ID: "one"}, testtarget.Behavior{})
	neighbour := make(chan reply, 1)
	go func() { neighbour <- f.nodes[0].do("GET", "/pay?n", nil, testtarget.HeaderDelay, "1m") }()
	waitFor(t, "the neighbour runs", func() bool { return one.InFlight() == 1 })
	poison := func() reply {
		return f.nodes[0].do("POST", "/pay?p", strings.NewReader("p"), testtarget.HeaderCrash, "1")
	}
	checkProblem(t, poison(), verdict.TargetCrashed, verdict.MayHaveRun)
	checkProblem(t, <-neighbour, verdict.TargetCrashed, verdict.MayHaveRun)
	f.nodes[0].target(testtarget.Options{ID: "two"}, testtarget.Behavior{})
	checkProblem(t, poison(), verdict.TargetCrashed, verdict.MayHaveRun)
	three := f.nodes[0].target(testtarget.Options{ID: "three"}, testtarget.Behavior{})
	checkProblem(t, poison(), verdict.Quarantined, verdict.NotRun)
	// The target node refuses it, too, if the entry node does not know yet.
	checkProblem(t, f.nodes[1].do("POST", "/pay?p", strings.NewReader("p"), testtarget.HeaderCrash, "1"),
		verdict.Quarantined, verdict.NotRun)
	r := f.nodes[0].do("GET", "/pay?n", nil)
	assert.Equal(t, r.StatusCode, 200, "%s", r)
	assert.Equal(t, three.InFlight(), 0)
}

// Guards against answers that stand still holding a slot until a long deadline.
func TestAnswerThatStandsStillIsEnded(t *testing.T) {
	for entry := range 2 {
		f := newFleet(t)
		f.progress = 50 * time.Millisecond
		f.add("a")
		f.add("b")
		target := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
		r := f.nodes[entry].do("GET", "/look", nil, testtarget.HeaderChunkCount, "2", testtarget.HeaderChunkInterval, "1m")
		assert.Assert(t, r.err != nil, "a cut answer passed as whole: %s", r)
		waitFor(t, "the target is idle", func() bool { return target.InFlight() == 0 })
	}
}

// Guards against calls that outlive their time in the queue of a target that
// never answers, and against a false verdict for them.
func TestQueuedCallsEndAtTheirDeadlineNotRun(t *testing.T) {
	f := newFleet(t, "a", "b")
	target := f.nodes[0].target(testtarget.Options{Slots: 1}, testtarget.Behavior{})
	done := make(chan reply, 1)
	go func() {
		done <- f.nodes[0].do("POST", "/pay", nil, testtarget.HeaderNeverAnswer, "1", headerTimeout, "1500")
	}()
	waitFor(t, "the slot is taken", func() bool { return target.InFlight() == 1 })
	for entry := range 2 {
		r := f.nodes[entry].do("POST", "/pay", nil, headerRequestID, "queued", headerTimeout, "100")
		checkProblem(t, r, verdict.DeadlineExceeded, verdict.NotRun)
	}
	checkProblem(t, <-done, verdict.DeadlineExceeded, verdict.MayHaveRun)
	assert.Equal(t, target.RunCount("queued"), 0)
}

// Guards against retries of calls that shed targets did not run, beyond the call
// tree's budget.
func TestShedCallsAreRetriedWithinTheTree(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	var all []*testtarget.Target
	for _, n := range f.nodes[:3] {
		all = append(all, n.target(testtarget.Options{}, testtarget.Behavior{ShedAbove: -1, ShedEvery: 1}))
	}
	checkProblem(t, f.nodes[3].do("POST", "/pay", nil), verdict.TargetShed, verdict.NotRun)
	all[1].SetBehavior(testtarget.Behavior{})
	r := f.nodes[3].do("POST", "/pay", nil, headerRequestID, "id")
	assert.Equal(t, r.StatusCode, 200, "%s", r)
	assert.Equal(t, all[0].RunCount("id")+all[1].RunCount("id")+all[2].RunCount("id"), 1)
}

// Guards against a caller that stops reading and so holds a target's slot.
func TestCallerThatDoesNotReadFreesTheSlot(t *testing.T) {
	for entry := range 2 {
		f := newFleet(t, "a", "b")
		target := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
		request, err := http.NewRequest("GET", f.nodes[entry].http.URL+"/look", nil)
		assert.NilError(t, err)
		for name, value := range map[string]string{
			"Authorization": "Bearer " + testKey, headerService: "stock", headerTimeout: "1000",
			testtarget.HeaderBodySize: "30000000",
		} {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		waitFor(t, "the slot is free", func() bool { return target.InFlight() == 0 })
		waitFor(t, "no call is left", func() bool { return f.nodes[entry].entry.InFlight() == 0 })
		_, err = io.Copy(io.Discard, response.Body)
		assert.Assert(t, err != nil, "a cut answer passed as whole")
		response.Body.Close()
	}
}

// Guards against the same faults on HTTP/2, where a cut answer must reset the
// stream, and a drain must end the connection in order.
func TestCallsOverHTTP2(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := httptest.NewUnstartedServer(f.nodes[1].entry)
	server.Config.Protocols = &protocols
	server.Start()
	defer server.Close()
	client := &http.Transport{Protocols: &protocols}
	defer client.CloseIdleConnections()
	send := func(headers ...string) reply {
		return f.nodes[1].through(client, server.URL, "GET", "/look", nil, headers...)
	}
	r := send(testtarget.HeaderChunkCount, "3")
	assert.NilError(t, r.err)
	assert.Equal(t, r.ProtoMajor, 2)
	assert.Equal(t, len(r.body), 3<<10)
	assert.Equal(t, r.Trailer.Get(testtarget.TrailerChunkCount), "3")
	r = send(testtarget.HeaderBodySize, "1000000", testtarget.HeaderTruncate, "500000")
	assert.Assert(t, r.err != nil, "a cut answer passed as whole")
	f.nodes[1].entry.Drain()
	checkProblem(t, send(), verdict.Draining, verdict.NotRun)
}

// Guards against announcements that would make a node send calls to nowhere, and
// against targets that stay after they stopped to renew.
func TestAnnouncements(t *testing.T) {
	f := newFleet(t, "a")
	put := func(id, body string) int {
		request, err := http.NewRequest("PUT", f.nodes[0].local.URL+"/v1/targets/"+id, strings.NewReader(body))
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
	request, err := http.NewRequest("DELETE", f.nodes[0].local.URL+"/v1/targets/t", nil)
	assert.NilError(t, err)
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, len(f.nodes[0].endpoints()), 0)
}

// Guards against a suspicion that stalls all streamed requests, whose senders
// wait for the answer's start, and against one that spares streamed bodies.
func TestStreamedBodiesUnderSuspicion(t *testing.T) {
	f := newFleet(t, "a", "b")
	suspect := func(body string) quarantine.Fingerprint {
		hasher := quarantine.NewHasher("stock", "pay", "POST", "/pay")
		_, _ = hasher.Write([]byte(body))
		return hasher.Sum()
	}
	f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	for _, n := range f.nodes {
		n.quarantine.RecordCrash("p1", []quarantine.Fingerprint{suspect("poison")})
		n.quarantine.RecordCrash("p2", []quarantine.Fingerprint{suspect("poison")})
		r := n.do("POST", "/pay", io.MultiReader(strings.NewReader("poison")))
		checkProblem(t, r, verdict.Quarantined, verdict.NotRun)
		reader, writer := io.Pipe()
		request, err := http.NewRequest("POST", n.http.URL+"/pay", reader)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
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
