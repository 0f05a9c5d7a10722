package proxy

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// waitRunning waits until one of two targets serves a call and returns that one first
// and the other one second.
func waitRunning(t *testing.T, a, b *testtarget.Target) (running, other *testtarget.Target) {
	t.Helper()
	waitFor(t, "a target serves the call", func() bool { return a.InFlight()+b.InFlight() > 0 })
	if a.InFlight() > 0 {
		return a, b
	}
	return b, a
}

func waitFor(t testing.TB, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", description)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// If the caller cancels a call, all calls nested in it must be canceled too.
// Otherwise targets keep working on results that nobody waits for.
func TestCancellationReachesAllNestedCalls(t *testing.T) {
	for _, depth := range []int{0, 3} {
		f := newFleet(t, "a", "b")
		first := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
		second := f.nodes[1].newTarget(testtarget.Options{}, testtarget.Behavior{})
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, "GET", f.nodes[0].callServer.URL+"/look", nil)
		assert.NilError(t, err)
		for name, value := range map[string]string{
			"Authorization": "Bearer " + testCustomerKey, headerService: "stock", testtarget.HeaderNestedService: "stock",
			testtarget.HeaderNestedDepth: strconv.Itoa(depth), testtarget.HeaderDelay: "1m",
		} {
			request.Header.Set(name, value)
		}
		done := make(chan error, 1)
		go func() {
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				response.Body.Close()
			}
			done <- err
		}()
		waitFor(t, "all depths run", func() bool { return first.InFlight()+second.InFlight() == depth+1 })
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		waitFor(t, "all work stopped", func() bool {
			// An outer target may receive the status 499 of its nested call before its own
			// cancellation, so only the innermost target is certain to count one.
			return first.Canceled()+second.Canceled() > 0 && first.InFlight()+second.InFlight() == 0
		})
		waitFor(t, "no call is in flight", func() bool {
			return f.nodes[0].entryHandler.InFlight()+f.nodes[1].targetHandler.InFlight()+f.nodes[0].targetHandler.InFlight() == 0
		})
	}
}

// Calls may be nested up to maxNestingDepth levels. Nested calls must inherit the
// customer and the deadline of the call from outside.
func TestNestedCallsAreAtMostSevenDeep(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{Slots: 50}, testtarget.Behavior{})
	f.nodes[1].newTarget(testtarget.Options{Slots: 50}, testtarget.Behavior{})
	for depth, status := range map[int]int{1: 200, maxNestingDepth: 200, maxNestingDepth + 1: 508} {
		r := f.nodes[0].send("GET", "/look", nil, testtarget.HeaderNestedService, "stock",
			testtarget.HeaderNestedDepth, strconv.Itoa(depth))
		assert.NilError(t, r.err)
		assert.Equal(t, r.StatusCode, status, "depth %d: %s", depth, r)
	}
	r := f.nodes[0].send("GET", "/look", nil, testtarget.HeaderNestedService, "stock", testtarget.HeaderNestedDepth, "2",
		testtarget.HeaderDelay, "1m", headerTimeout, "200")
	// The outer target may still forward the rejection of its nested call as its own
	// response, which then has no verdict header.
	assert.Equal(t, r.StatusCode, http.StatusGatewayTimeout, "%s", r)
	assert.Assert(t, strings.Contains(r.body, string(verdict.DeadlineExceeded)), "%s", r)
	for _, n := range f.nodes {
		waitFor(t, "no call is in flight", func() bool { return n.entryHandler.InFlight()+n.targetHandler.InFlight() == 0 })
	}
}

// Streamed bodies must be forwarded without buffering: the start of the response must
// arrive while the request is still being sent, and the response must be complete.
func TestBodiesStreamBothWays(t *testing.T) {
	for _, entryIndex := range []int{0, 1} {
		f := newFleet(t, "a", "b")
		f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
		reader, writer := io.Pipe()
		request, err := http.NewRequest("POST", f.nodes[entryIndex].callServer.URL+"/pay", reader)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testCustomerKey)
		request.Header.Set(headerService, "stock")
		request.Header.Set(testtarget.HeaderEcho, "1")
		go func() { _, _ = io.WriteString(writer, "first\n") }()
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		lines := bufio.NewReader(response.Body)
		line, err := lines.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "first\n")
		large := strings.Repeat("0123456789abcdef", 1<<16)
		go func() {
			_, _ = io.WriteString(writer, large)
			_ = writer.Close()
		}()
		rest, err := io.ReadAll(lines)
		assert.NilError(t, err)
		assert.Equal(t, len(rest), len(large))
		assert.Assert(t, string(rest) == large)
		response.Body.Close()
	}
}

// Response trailers must reach the caller. A call whose sender aborts the request
// body must not succeed at the target.
func TestTrailersAreForwardedAndTruncatedBodiesFail(t *testing.T) {
	for _, entryIndex := range []int{0, 1} {
		f := newFleet(t, "a", "b")
		target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
		r := f.nodes[entryIndex].send("GET", "/look", nil, testtarget.HeaderChunkCount, "3")
		assert.NilError(t, r.err)
		assert.Equal(t, r.Trailer.Get(testtarget.TrailerChunkCount), "3")
		assert.Equal(t, len(r.body), 3<<10)
		reader, writer := io.Pipe()
		go func() {
			_, _ = writer.Write(make([]byte, 1<<20))
			_ = writer.CloseWithError(io.ErrClosedPipe)
		}()
		r = f.nodes[entryIndex].send("POST", "/pay", reader)
		assert.Assert(t, r.err != nil || r.StatusCode != 200, "%s", r)
		waitFor(t, "the target is idle", func() bool { return target.InFlight() == 0 })
	}
}

// During a graceful shutdown, open streams must complete, while new calls must be
// rejected with the verdict not-run.
func TestDrainLetsOpenStreamsFinish(t *testing.T) {
	for _, entryIndex := range []int{0, 1} {
		f := newFleet(t, "a", "b")
		target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
		done := make(chan callResponse, 1)
		go func() {
			done <- f.nodes[entryIndex].send("GET", "/look", nil, testtarget.HeaderChunkCount, "50", testtarget.HeaderChunkInterval, "5ms")
		}()
		waitFor(t, "the stream is open", func() bool { return target.InFlight() == 1 })
		f.nodes[entryIndex].entryHandler.Drain()
		f.nodes[0].targetHandler.Drain()
		r := f.nodes[entryIndex].send("POST", "/pay", nil)
		checkProblem(t, r, verdict.Draining, verdict.NotRun)
		assert.Assert(t, r.Close, "connection of a rejected call stays open")
		r = <-done
		assert.NilError(t, r.err)
		assert.Equal(t, len(r.body), 50<<10)
		waitFor(t, "no call is in flight", func() bool { return f.nodes[entryIndex].entryHandler.InFlight() == 0 })
	}
}

// A target that announced that it is draining must get no new calls, and its calls in
// flight must complete.
func TestDrainingTargetGetsNoNewCalls(t *testing.T) {
	f := newFleet(t, "a", "b")
	drainingTarget := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	done := make(chan callResponse, 1)
	go func() { done <- f.nodes[1].send("GET", "/look", nil, testtarget.HeaderDelay, "200ms") }()
	waitFor(t, "the call runs", func() bool { return drainingTarget.InFlight() == 1 })
	readyTarget := f.nodes[1].newTarget(testtarget.Options{}, testtarget.Behavior{})
	drainingTarget.SetBehavior(testtarget.Behavior{State: "draining"})
	waitFor(t, "the state is announced", func() bool { return f.nodes[0].endpoints()[0].State != 2 })
	for i := range 20 {
		id := "n" + strconv.Itoa(i)
		r := f.nodes[i%2].send("GET", "/look", nil, headerRequestID, id)
		assert.Equal(t, r.StatusCode, 200, "%s", r)
		assert.Equal(t, drainingTarget.RunCount(id), 0)
		assert.Equal(t, readyTarget.RunCount(id), 1)
	}
	assert.Equal(t, (<-done).StatusCode, 200)
}

// The target node must reject a call that its newer configuration no longer allows,
// although the entry node admitted it with an older configuration.
func TestTargetNodeChecksEntitlementAgainstNewerConfiguration(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	config := testConfig()
	config.Plans[0].Services = []dynamic.Entitlement{{Service: "other"}}
	newerSnapshot, err := dynamic.Compile(dynamic.Manifest{Version: 2}, config)
	assert.NilError(t, err)
	table := f.builders[0].Build(newerSnapshot, f.nodes[0].endpoints(), nil, f.nodes[0].targetHandler.options.Locality)
	f.nodes[0].newerSnapshot.Store(newerSnapshot)
	f.mu.Lock()
	f.tables[0] = table
	f.mu.Unlock()
	r := f.nodes[1].send("GET", "/look", nil)
	checkProblem(t, r, verdict.NotEntitled, verdict.NotRun)
}

// A plan's concurrency limit must reject a second call from outside. It must not
// reject a nested call, whose parent already counts towards the limit.
func TestConcurrencyLimitExcludesNestedCalls(t *testing.T) {
	f := newFleet(t, "a")
	target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	authorization := []string{"Authorization", "Bearer limited"}
	done := make(chan callResponse, 1)
	go func() {
		done <- f.nodes[0].send("GET", "/look", nil, append(authorization, testtarget.HeaderNestedService, "stock",
			testtarget.HeaderNestedDepth, "1", testtarget.HeaderDelay, "300ms")...)
	}()
	waitFor(t, "the nested call runs", func() bool { return target.InFlight() == 2 })
	checkProblem(t, f.nodes[0].send("GET", "/look", nil, authorization...), verdict.ConcurrencyLimited, verdict.NotRun)
	assert.Equal(t, (<-done).StatusCode, 200)
	assert.Equal(t, f.nodes[0].send("GET", "/look", nil, authorization...).StatusCode, 200)
}

// Entry node and target node must each report the outcome of a call to their
// observers, with the same status, verdict and crash flag.
func TestEntryNodeAndTargetNodeObserveEachCall(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	f.nodes[1].send("GET", "/look", nil, testtarget.HeaderStatus, "500")
	f.nodes[1].send("POST", "/pay", nil, testtarget.HeaderCrash, "1")
	waitFor(t, "both calls are observed", func() bool {
		return len(f.nodes[0].callsReportedBy(observation.ReporterTargetNode)) == 2 && len(f.nodes[1].callsReportedBy(observation.ReporterEntryNode)) == 2
	})
	for _, calls := range [][]observation.Call{
		f.nodes[0].callsReportedBy(observation.ReporterTargetNode), f.nodes[1].callsReportedBy(observation.ReporterEntryNode),
	} {
		assert.Equal(t, calls[0].Status, 500)
		assert.Equal(t, calls[0].Code, verdict.Code(""))
		assert.Equal(t, calls[0].Version, "v1")
		assert.Equal(t, calls[0].Department, "d")
		assert.Assert(t, calls[1].TargetCrashed)
		assert.Equal(t, calls[1].Verdict, verdict.MayHaveRun)
	}
}

// A failed call must be on the timeline of both nodes under its request ID. A
// successful call must not be, because recording each call would cost too much.
func TestFailuresAreRecordedOnTimelineOfBothNodes(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	for id, path := range map[string]string{"good": "/look", "bad": "/pay"} {
		f.nodes[1].send("GET", path, nil, headerRequestID, id, testtarget.HeaderTruncate, map[string]string{"bad": "header"}[id])
	}
	waitFor(t, "the target node has reported the calls", func() bool { return f.nodes[0].targetHandler.InFlight() == 0 })
	for n, want := range map[*node]string{
		f.nodes[0]: "bad call-served target-failed may-have-run\n",
		f.nodes[1]: "bad call-try target-failed may-have-run\nbad call-verdict target-failed may-have-run\n",
	} {
		got := ""
		for _, event := range n.timeline.Events() {
			got += strings.Join([]string{
				event.RequestID, string(event.Kind), event.Fields["code"], event.Fields["verdict"],
			}, " ") + "\n"
		}
		assert.Equal(t, got, want)
	}
}
