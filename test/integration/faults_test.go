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

// background sends calls until stop is called, and then returns their result.
func background(ctx context.Context, o loadgen.Options) (stop func() loadgen.Result) {
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

// unlimited is a number of calls that no test reaches; its load is ended by stop.
const unlimited = 1 << 30

func stockLoad(method string, nodes ...*testcluster.Node) loadgen.Options {
	o := loadgen.Options{
		Service: "stock", Method: method, Path: "/stock/1", CustomerKey: customerKey, CallCount: unlimited, Concurrency: 8,
		CallsPerSecond: 200, Timeout: 10 * time.Second,
	}
	for _, n := range nodes {
		o.Nodes = append(o.Nodes, n.CallerAddress)
	}
	return o
}

// assertTruthful checks that no call ran twice and that none ran whose caller
// was told that it did not.
func assertTruthful(t *testing.T, result loadgen.Result, runs map[string]int) {
	t.Helper()
	for _, call := range result.Calls {
		total := 0
		for _, attempt := range call.Attempts {
			count := runs[attempt.RequestID]
			total += count
			assert.Assert(t, count <= 1, "request %s ran %d times", attempt.RequestID, count)
			if attempt.LocalReply && attempt.Verdict == verdict.NotRun {
				assert.Equal(t, count, 0, "request %s ran, but its caller was told %s", attempt.RequestID, attempt.Code)
			}
			if attempt.Completed() {
				assert.Equal(t, count, 1, "request %s was answered without having run", attempt.RequestID)
			}
		}
		if call.IdempotencyKey != "" {
			assert.Assert(t, total <= 1, "key %s ran %d times", call.IdempotencyKey, total)
		}
	}
}

// Guards against calls that run twice, and against refusals that say not-run
// although the call ran, while nodes die, freeze and stop under load. Targets
// stay up, so that their counters tell what ran.
func TestVerdictsWhileNodesFail(t *testing.T) {
	tests := []struct {
		name  string
		fault func(t *testing.T, n *testcluster.Node)
	}{
		{"killed", func(_ *testing.T, n *testcluster.Node) { n.Kill() }},
		{"frozen and resumed", func(t *testing.T, n *testcluster.Node) {
			assert.NilError(t, n.Pause())
			time.Sleep(6 * time.Second) // longer than failure detection
			assert.NilError(t, n.Resume())
		}},
		{"stopped", func(t *testing.T, n *testcluster.Node) { assert.NilError(t, n.Stop(time.Minute)) }},
		{"frozen and killed", func(t *testing.T, n *testcluster.Node) {
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
			entry := c.node("r1", "d1")
			beside := []*testcluster.Node{c.node("r1", "d2"), c.node("r1", "d3"), c.node("r2", "d4")}
			var targets []*testcluster.Target
			for _, n := range beside {
				o := stock("1")
				o.ServiceTime = 10 * time.Millisecond
				targets = append(targets, c.target(n, o))
			}
			c.apply(entry, 0, lists{version: "1"})
			c.await("stock", append(beside, entry)...)

			confirm := stockLoad(http.MethodPost, entry)
			stopConfirm := background(ctx, confirm)
			stopCheck := background(ctx, stockLoad(http.MethodGet, entry))
			c.awaitCalls(targets[0], 20)
			tt.fault(t, beside[0])
			c.awaitCalls(targets[1], 200) // calls meet the state after the fault
			confirmed, checked := stopConfirm(), stopCheck()

			assertTruthful(t, confirmed, c.runs(confirmed, targets...))
			assert.Assert(t, confirmed.CompletedCount() > 0 && checked.CompletedCount() > 0)
			// The other targets have slots for all calls, so that only calls caught by
			// the fault itself may fail.
			failed := len(checked.Calls) - checked.CompletedCount()
			assert.Assert(t, failed <= checked.CompletedCount()/5, "%d of %d idempotent calls failed: %v",
				failed, len(checked.Calls), checked.CountByCode())
		})
	}
}

// awaitCalls waits until a target has got that many more calls.
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
			return poll.Continue("%s got %d of %d calls", target.ID, got, more)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(10*time.Millisecond))
}

// Guards against new work for a target that leaves: after a few seconds no node
// may send it a call, whichever way it leaves.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	// leaveLimit is what the users call a few seconds.
	const leaveLimit = 5 * time.Second
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
		{"its node stops", func(c *cluster, target *testcluster.Target) {
			assert.NilError(c.t, target.Node.Stop(time.Minute))
		}},
		{"its node dies", func(_ *cluster, target *testcluster.Target) { target.Node.Kill() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			entries := []*testcluster.Node{c.node("r1", "d1"), c.node("r2", "d2")}
			stays, leaves := c.node("r1", "d3"), c.node("r1", "d4")
			c.target(stays, stock("1"))
			leaving := c.target(leaves, stock("1"))
			c.apply(entries[0], 0, lists{version: "1"})
			c.await("stock", append(entries, stays, leaves)...)

			stop := background(ctx, stockLoad(http.MethodGet, entries...))
			c.awaitCalls(leaving, 20)
			tt.leave(c, leaving)
			time.Sleep(leaveLimit)
			before := len(stop().Calls)
			assert.Assert(t, before > 0)
			result := loadgen.Run(ctx, loadgen.Options{
				Nodes: []string{entries[0].CallerAddress, entries[1].CallerAddress}, Service: "stock", Method: http.MethodGet,
				Path: "/stock/1", CustomerKey: customerKey, CallCount: 300, Concurrency: 4, Timeout: 10 * time.Second,
			})
			if tt.name == "without renewals" {
				assert.NilError(t, leaving.Resume())
			}
			assert.Equal(t, result.CompletedCount(), 300, "refusals: %v", result.CountByCode())
			for id, count := range c.runs(result, leaving) {
				assert.Equal(t, count, 0, "request %s ran on the target that left", id)
			}
		})
	}
}
