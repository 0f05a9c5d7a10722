package integration

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/loadgen"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// startLoad sends calls until stop is called; stop returns their result.
func startLoad(ctx context.Context, o loadgen.Options) (stop func() loadgen.Result) {
	ctx, cancel := context.WithCancel(ctx)
	var result loadgen.Result
	var group sync.WaitGroup
	group.Go(func() { result = loadgen.Run(ctx, o) })
	return func() loadgen.Result {
		cancel()
		group.Wait()
		return result
	}
}

// unlimitedCalls is a call count that no test reaches: the load runs until it is stopped.
const unlimitedCalls = 1 << 30

func stockLoad(method string, nodes ...*testcluster.Node) loadgen.Options {
	o := loadgen.Options{
		Service: "stock", Method: method, Path: "/stock/1", CustomerKey: customerKey, CallCount: unlimitedCalls, Concurrency: 8,
		CallsPerSecond: 200, Timeout: 10 * time.Second,
	}
	for _, n := range nodes {
		o.Nodes = append(o.Nodes, n.CallerAddress)
	}
	return o
}

// assertVerdictsMatchRuns checks that no call ran twice, that no call with the verdict
// not-run ran, and that each completed call did run.
func assertVerdictsMatchRuns(t *testing.T, result loadgen.Result, runs map[string]int) {
	t.Helper()
	for _, call := range result.Calls {
		total := 0
		for _, attempt := range call.Attempts {
			count := runs[attempt.RequestID]
			total += count
			assert.Assert(t, count <= 1, "request %s ran %d times", attempt.RequestID, count)
			if attempt.LocalReply && attempt.Verdict == verdict.NotRun {
				assert.Equal(t, count, 0, "request %s ran and got verdict not-run with code %s", attempt.RequestID, attempt.Code)
			}
			if attempt.Completed() {
				assert.Equal(t, count, 1, "runs of the completed request %s", attempt.RequestID)
			}
		}
		if call.IdempotencyKey != "" {
			assert.Assert(t, total <= 1, "calls with idempotency key %s ran %d times", call.IdempotencyKey, total)
		}
	}
}

// TestVerdictsWhileNodesFail verifies that no call runs twice and that no rejection has
// the verdict not-run for a call that ran, while nodes crash, pause and shut down under
// load. Targets keep running, so that their counters show which calls ran.
func TestVerdictsWhileNodesFail(t *testing.T) {
	tests := []struct {
		name  string
		fault func(t *testing.T, n *testcluster.Node)
	}{
		{"killed", func(_ *testing.T, n *testcluster.Node) { n.Kill() }},
		{"paused and resumed", func(t *testing.T, n *testcluster.Node) {
			assert.NilError(t, n.Pause())
			time.Sleep(6 * time.Second) // longer than failure detection
			assert.NilError(t, n.Resume())
		}},
		{"stopped", func(t *testing.T, n *testcluster.Node) { assert.NilError(t, n.Stop(time.Minute)) }},
		{"paused and killed", func(t *testing.T, n *testcluster.Node) {
			assert.NilError(t, n.Pause())
			time.Sleep(time.Second)
			n.Kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			entryNode := c.newNode("r1", "d1")
			targetNodes := []*testcluster.Node{c.newNode("r1", "d2"), c.newNode("r1", "d3"), c.newNode("r2", "d4")}
			var targets []*testcluster.Target
			for _, n := range targetNodes {
				o := stockTarget("1")
				o.ServiceTime = 10 * time.Millisecond
				targets = append(targets, c.newTarget(n, o))
			}
			c.apply(entryNode, 0, lists{version: "1"})
			c.awaitService("stock", append(targetNodes, entryNode)...)

			confirmLoad := stockLoad(http.MethodPost, entryNode)
			stopConfirm := startLoad(ctx, confirmLoad)
			stopCheck := startLoad(ctx, stockLoad(http.MethodGet, entryNode))
			c.awaitCalls(targets[0], 20)
			tt.fault(t, targetNodes[0])
			c.awaitCalls(targets[1], 200) // enough calls to cover the time after the fault
			confirmed, checked := stopConfirm(), stopCheck()

			assertVerdictsMatchRuns(t, confirmed, c.runCounts(confirmed, targets...))
			assert.Assert(t, confirmed.CompletedCount() > 0 && checked.CompletedCount() > 0)
			// The other targets have slots for all calls, so that only calls in flight to
			// the failing node may fail.
			failed := len(checked.Calls) - checked.CompletedCount()
			assert.Assert(t, failed <= checked.CompletedCount()/5, "%d of %d idempotent calls failed: %v",
				failed, len(checked.Calls), checked.CountByCode())
		})
	}
}

// awaitCalls waits until a target has received that many more calls.
func (c *cluster) awaitCalls(target *testcluster.Target, more int64) {
	c.t.Helper()
	first := int64(-1)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		status, err := target.Status(c.ctx)
		if err != nil {
			return poll.Error(err)
		}
		if first < 0 {
			first = status.Calls
		}
		if got := status.Calls - first; got < more {
			return poll.Continue("%s received %d of %d calls", target.ID, got, more)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(10*time.Millisecond))
}

// TestLeavingTargetGetsNoNewCalls verifies that no node sends calls to a target a few
// seconds after it became unavailable: it drains, stops renewing its announcement, or its
// node shuts down or crashes.
func TestLeavingTargetGetsNoNewCalls(t *testing.T) {
	// rerouteBound is the bound for "a few seconds" in the users' requirements.
	const rerouteBound = 5 * time.Second
	tests := []struct {
		name  string
		leave func(c *cluster, target *testcluster.Target)
	}{
		{"draining", func(c *cluster, target *testcluster.Target) {
			assert.NilError(c.t, target.SetBehavior(c.ctx, testtarget.Behavior{State: "draining"}))
		}},
		{"without renewals", func(c *cluster, target *testcluster.Target) {
			assert.NilError(c.t, target.Pause())
		}},
		{"its node shuts down", func(c *cluster, target *testcluster.Target) {
			assert.NilError(c.t, target.Node.Stop(time.Minute))
		}},
		{"its node crashes", func(_ *cluster, target *testcluster.Target) { target.Node.Kill() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			entryNodes := []*testcluster.Node{c.newNode("r1", "d1"), c.newNode("r2", "d2")}
			stayingNode, leavingNode := c.newNode("r1", "d3"), c.newNode("r1", "d4")
			c.newTarget(stayingNode, stockTarget("1"))
			leavingTarget := c.newTarget(leavingNode, stockTarget("1"))
			c.apply(entryNodes[0], 0, lists{version: "1"})
			c.awaitService("stock", append(entryNodes, stayingNode, leavingNode)...)

			stop := startLoad(ctx, stockLoad(http.MethodGet, entryNodes...))
			c.awaitCalls(leavingTarget, 20)
			tt.leave(c, leavingTarget)
			time.Sleep(rerouteBound)
			before := len(stop().Calls)
			assert.Assert(t, before > 0)
			result := loadgen.Run(ctx, loadgen.Options{
				Nodes: []string{entryNodes[0].CallerAddress, entryNodes[1].CallerAddress}, Service: "stock", Method: http.MethodGet,
				Path: "/stock/1", CustomerKey: customerKey, CallCount: 300, Concurrency: 4, Timeout: 10 * time.Second,
			})
			if tt.name == "without renewals" {
				assert.NilError(t, leavingTarget.Resume())
			}
			assert.Equal(t, result.CompletedCount(), 300, "local replies: %v", result.CountByCode())
			for id, count := range c.runCounts(result, leavingTarget) {
				assert.Equal(t, count, 0, "runs of request %s on the unavailable target", id)
			}
		})
	}
}
