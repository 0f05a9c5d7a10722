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

// waitRunning returns the target that is serving a call, and the other one.
func waitRunning(t *testing.T, a, b *testtarget.Target) (running, other *testtarget.Target) {
	t.Helper()
	waitFor(t, "a target serves the call", func() bool { return a.InFlight()+b.InFlight() > 0 })
	if a.InFlight() > 0 {
		return a, b
	}
	return b, a
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// Guards against work that nobody waits for: a caller that leaves must reach
// every nested call below it.
func TestCancellationReachesAllDepths(t *testing.T) {
	for _, depth := range []int{0, 3} {
		f := newFleet(t, "a", "b")
		one := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
		two := f.nodes[1].target(testtarget.Options{}, testtarget.Behavior{})
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, "GET", f.nodes[0].http.URL+"/look", nil)
		assert.NilError(t, err)
		for name, value := range map[string]string{
			"Authorization": "Bearer " + testKey, headerService: "stock", testtarget.HeaderNestedService: "stock",
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
		waitFor(t, "all depths run", func() bool { return one.InFlight()+two.InFlight() == depth+1 })
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		waitFor(t, "all work stopped", func() bool {
			// An outer target may get its nested call's 499 before its own cancellation, so
			// only the innermost one counts a cancellation for sure.
			return one.Canceled()+two.Canceled() > 0 && one.InFlight()+two.InFlight() == 0
		})
		waitFor(t, "no call is left", func() bool {
			return f.nodes[0].entry.InFlight()+f.nodes[1].side.InFlight()+f.nodes[0].side.InFlight() == 0
		})
	}
}

// Guards against calls that nest without end, and against a lost customer or
// deadline on the way down.
func TestNestedCallsAreAtMostSevenDeep(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].target(testtarget.Options{Slots: 50}, testtarget.Behavior{})
	f.nodes[1].target(testtarget.Options{Slots: 50}, testtarget.Behavior{})
	for depth, status := range map[int]int{1: 200, maxDepth: 200, maxDepth + 1: 508} {
		r := f.nodes[0].do("GET", "/look", nil, testtarget.HeaderNestedService, "stock",
			testtarget.HeaderNestedDepth, strconv.Itoa(depth))
		assert.NilError(t, r.err)
		assert.Equal(t, r.StatusCode, status, "depth %d: %s", depth, r)
	}
	r := f.nodes[0].do("GET", "/look", nil, testtarget.HeaderNestedService, "stock", testtarget.HeaderNestedDepth, "2",
		testtarget.HeaderDelay, "1m", headerTimeout, "200")
	// The outer target may still pass on its nested call's refusal as its own answer,
	// which has no verdict of the system.
	assert.Equal(t, r.StatusCode, http.StatusGatewayTimeout, "%s", r)
	assert.Assert(t, strings.Contains(r.body, string(verdict.DeadlineExceeded)), "%s", r)
	for _, n := range f.nodes {
		waitFor(t, "no call is left", func() bool { return n.entry.InFlight()+n.side.InFlight() == 0 })
	}
}

// Guards against buffering or cutting of streams: the answer's first bytes must
// arrive while the request is still being sent, and the total must be whole.
func TestBodiesStreamBothWays(t *testing.T) {
	for _, entry := range []int{0, 1} {
		f := newFleet(t, "a", "b")
		f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
		reader, writer := io.Pipe()
		request, err := http.NewRequest("POST", f.nodes[entry].http.URL+"/pay", reader)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
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

// Guards against lost trailers and against a body that was cut by its sender
// passing as whole at the target.
func TestTrailersPassAndCutBodiesDoNot(t *testing.T) {
	for _, entry := range []int{0, 1} {
		f := newFleet(t, "a", "b")
		target := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
		r := f.nodes[entry].do("GET", "/look", nil, testtarget.HeaderChunkCount, "3")
		assert.NilError(t, r.err)
		assert.Equal(t, r.Trailer.Get(testtarget.TrailerChunkCount), "3")
		assert.Equal(t, len(r.body), 3<<10)
		reader, writer := io.Pipe()
		go func() {
			_, _ = writer.Write(make([]byte, 1<<20))
			_ = writer.CloseWithError(io.ErrClosedPipe)
		}()
		r = f.nodes[entry].do("POST", "/pay", reader)
		assert.Assert(t, r.err != nil || r.StatusCode != 200, "%s", r)
		waitFor(t, "the target is idle", func() bool { return target.InFlight() == 0 })
	}
}

// Guards against cutting off calls in a planned stop: streams and their nested
// calls end whole while new calls are refused truthfully.
func TestDrainLetsOpenStreamsFinish(t *testing.T) {
	for _, entry := range []int{0, 1} {
		f := newFleet(t, "a", "b")
		target := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
		done := make(chan reply, 1)
		go func() {
			done <- f.nodes[entry].do("GET", "/look", nil, testtarget.HeaderChunkCount, "50", testtarget.HeaderChunkInterval, "5ms")
		}()
		waitFor(t, "the stream is open", func() bool { return target.InFlight() == 1 })
		f.nodes[entry].entry.Drain()
		f.nodes[0].side.Drain()
		r := f.nodes[entry].do("POST", "/pay", nil)
		checkProblem(t, r, verdict.Draining, verdict.NotRun)
		assert.Assert(t, r.Close, "the connection of a refused call stays open")
		r = <-done
		assert.NilError(t, r.err)
		assert.Equal(t, len(r.body), 50<<10)
		waitFor(t, "no call is left", func() bool { return f.nodes[entry].entry.InFlight() == 0 })
	}
}

// Guards against new work for a draining target after its announcement, and
// against lost work that it already has.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	f := newFleet(t, "a", "b")
	leaving := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	done := make(chan reply, 1)
	go func() { done <- f.nodes[1].do("GET", "/look", nil, testtarget.HeaderDelay, "200ms") }()
	waitFor(t, "the call runs", func() bool { return leaving.InFlight() == 1 })
	staying := f.nodes[1].target(testtarget.Options{}, testtarget.Behavior{})
	leaving.SetBehavior(testtarget.Behavior{State: "draining"})
	waitFor(t, "the state is announced", func() bool { return f.nodes[0].endpoints()[0].State != 2 })
	for i := range 20 {
		id := "n" + strconv.Itoa(i)
		r := f.nodes[i%2].do("GET", "/look", nil, headerRequestID, id)
		assert.Equal(t, r.StatusCode, 200, "%s", r)
		assert.Equal(t, leaving.RunCount(id), 0)
		assert.Equal(t, staying.RunCount(id), 1)
	}
	assert.Equal(t, (<-done).StatusCode, 200)
}

// Guards against a customer whose plan lost a route being served by a target
// node that knows it, because the entry node lags behind.
func TestTargetNodeChecksEntitlementByTheNewerConfiguration(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	config := testConfig()
	config.Plans[0].Services = []dynamic.Entitlement{{Service: "other"}}
	newer, err := dynamic.Compile(dynamic.Manifest{Version: 2}, config)
	assert.NilError(t, err)
	table := f.builders[0].Build(newer, f.nodes[0].endpoints(), nil, f.nodes[0].side.deps.Locality)
	f.nodes[0].newer.Store(newer)
	f.mu.Lock()
	f.tables[0] = table
	f.mu.Unlock()
	r := f.nodes[1].do("GET", "/look", nil)
	checkProblem(t, r, verdict.NotEntitled, verdict.NotRun)
}

// Guards against plan limits that do not hold and against a nested call that is
// blocked by the limit its own outer call has used up.
func TestConcurrencyLimitCountsCallsFromOutsideOnly(t *testing.T) {
	f := newFleet(t, "a")
	target := f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	key := []string{"Authorization", "Bearer limited"}
	done := make(chan reply, 1)
	go func() {
		done <- f.nodes[0].do("GET", "/look", nil, append(key, testtarget.HeaderNestedService, "stock",
			testtarget.HeaderNestedDepth, "1", testtarget.HeaderDelay, "300ms")...)
	}()
	waitFor(t, "the nested call runs", func() bool { return target.InFlight() == 2 })
	checkProblem(t, f.nodes[0].do("GET", "/look", nil, key...), verdict.ConcurrencyLimited, verdict.NotRun)
	assert.Equal(t, (<-done).StatusCode, 200)
	assert.Equal(t, f.nodes[0].do("GET", "/look", nil, key...).StatusCode, 200)
}

// Guards against evidence that is missing or blames the wrong side.
func TestBothSidesObserveEachCall(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	f.nodes[1].do("GET", "/look", nil, testtarget.HeaderStatus, "500")
	f.nodes[1].do("POST", "/pay", nil, testtarget.HeaderCrash, "1")
	waitFor(t, "both calls are observed", func() bool {
		return len(f.nodes[0].calls(observation.ReporterTargetNode)) == 2 && len(f.nodes[1].calls(observation.ReporterEntryNode)) == 2
	})
	for _, calls := range [][]observation.Call{
		f.nodes[0].calls(observation.ReporterTargetNode), f.nodes[1].calls(observation.ReporterEntryNode),
	} {
		assert.Equal(t, calls[0].Status, 500)
		assert.Equal(t, calls[0].Code, verdict.Code(""))
		assert.Equal(t, calls[0].Version, "v1")
		assert.Equal(t, calls[0].Department, "d")
		assert.Assert(t, calls[1].TargetCrashed)
		assert.Equal(t, calls[1].Verdict, verdict.MayHaveRun)
	}
}

// Guards against failures that leave no trace under their request id on one of
// the nodes, and against a trace of each good call, which would cost too much.
func TestFailuresAreOnTheTimelineOfBothNodes(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].target(testtarget.Options{}, testtarget.Behavior{})
	for id, path := range map[string]string{"good": "/look", "bad": "/pay"} {
		f.nodes[1].do("GET", path, nil, headerRequestID, id, testtarget.HeaderTruncate, map[string]string{"bad": "header"}[id])
	}
	waitFor(t, "the target side has reported", func() bool { return f.nodes[0].side.InFlight() == 0 })
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
