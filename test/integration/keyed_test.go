package integration

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/loadgen"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// TestCallsWithIdempotencyKeyRunOnceUnderFaults verifies that a call with an idempotency
// key runs at most once when its caller retries it through other nodes, while key owners
// crash, the platform's responses are lost, or the platform is down.
func TestCallsWithIdempotencyKeyRunOnceUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults teststore.Faults
		kill   bool
	}{
		{"no fault", teststore.Faults{}, false},
		{"a key owner crashes", teststore.Faults{}, true},
		{"responses are lost", teststore.Faults{LostReplies: 20}, false},
		{"a key owner crashes while responses are lost", teststore.Faults{LostReplies: 20}, true},
		{"the platform is down and a key owner crashes", teststore.Faults{Down: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			nodes := []*testcluster.Node{c.newNode("r1", "d1"), c.newNode("r1", "d2"), c.newNode("r1", "d3"), c.newNode("r2", "d4")}
			var targets []*testcluster.Target
			for _, n := range nodes[:3] {
				targets = append(targets, c.newTarget(n, stockTarget("1")))
			}
			c.apply(nodes[0], 0, lists{version: "1"})
			c.awaitService("stock", nodes...)

			load := stockLoad(http.MethodPost, nodes...)
			load.IdempotencyKeys, load.MaxRetries, load.CallsPerSecond, load.Timeout = true, 3, 50, 3*time.Second
			stop := startLoad(ctx, load)
			c.awaitCalls(targets[1], 10)
			assert.NilError(t, c.SetStoreFaults(ctx, tt.faults))
			if tt.kill {
				nodes[2].Kill()
			}
			if tt.faults.Down {
				time.Sleep(3 * time.Second) // calls are sent during the outage
				assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{}))
			}
			c.awaitCalls(targets[1], 50)
			result := stop()
			assertVerdictsMatchRuns(t, result, c.runCounts(result, targets...))
			assert.Assert(t, result.CompletedCount() > 0)
		})
	}
}

// TestCrashingRequestIsQuarantined verifies that a request that crashes its targets is
// rejected by every node as not run after two crashes at most, while other calls
// complete. Otherwise retries would crash one target after another.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	var nodes []*testcluster.Node
	var targets []*testcluster.Target
	for _, domain := range []string{"d1", "d2", "d3", "d4", "d5"} {
		n := c.newNode("r1", domain)
		nodes = append(nodes, n)
		o := stockTarget("1")
		o.ServiceTime = 5 * time.Millisecond
		targets = append(targets, c.newTarget(n, o))
	}
	c.apply(nodes[0], 0, lists{version: "1"})
	c.awaitService("stock", nodes...)

	stop := startLoad(ctx, stockLoad(http.MethodGet, nodes...))
	c.awaitCalls(targets[0], 20)
	crashing := loadgen.Options{
		Service: "stock", Method: http.MethodPost, Path: "/stock/poison", CustomerKey: customerKey, Body: []byte("poison"),
		Header: http.Header{testtarget.HeaderCrash: {"1"}}, CallCount: 1, Concurrency: 1, MaxRetries: 11, Timeout: 10 * time.Second,
	}
	for _, n := range nodes {
		crashing.Nodes = append(crashing.Nodes, n.CallerAddress)
	}
	crashingResult := loadgen.Run(ctx, crashing)
	last := crashingResult.Calls[0].LastAttempt()
	otherResult := stop()

	crashed := 0
	for _, target := range targets {
		select {
		case <-target.Exited():
			crashed++
		default:
		}
	}
	assert.Equal(t, last.Code, verdict.Quarantined, "attempts %+v", crashingResult.Calls[0].Attempts)
	assert.Equal(t, last.Verdict, verdict.NotRun)
	assert.Assert(t, crashed <= 2, "%d targets crashed", crashed)
	for code, count := range otherResult.CountByCode() {
		assert.Assert(t, code != verdict.Quarantined, "%d calls of the other load were quarantined", count)
	}
	assert.Assert(t, otherResult.CompletedCount() >= len(otherResult.Calls)*9/10, "%d of %d calls of the other load completed", otherResult.CompletedCount(), len(otherResult.Calls))
}
