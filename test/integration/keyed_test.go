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

// Guards against a keyed call that runs twice although its caller sends it again
// through other nodes, while owners of keys die, the platform loses replies, is
// slow, or goes down.
func TestKeyedCallsRunOnceUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults teststore.Faults
		kill   bool
	}{
		{"no fault", teststore.Faults{}, false},
		{"an owner dies", teststore.Faults{}, true},
		{"replies are lost", teststore.Faults{LostReplies: 20}, false},
		{"an owner dies while replies are lost", teststore.Faults{LostReplies: 20}, true},
		{"the platform goes down", teststore.Faults{Down: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			nodes := []*testcluster.Node{c.node("r1", "d1"), c.node("r1", "d2"), c.node("r1", "d3"), c.node("r2", "d4")}
			var targets []*testcluster.Target
			for _, n := range nodes[:3] {
				targets = append(targets, c.target(n, stock("1")))
			}
			c.apply(nodes[0], 0, lists{version: "1"})
			c.await("stock", nodes...)

			load := stockLoad(http.MethodPost, nodes...)
			load.IdempotencyKeys, load.MaxRetries, load.CallsPerSecond, load.Timeout = true, 3, 50, 3*time.Second
			stop := background(ctx, load)
			c.awaitCalls(targets[1], 10)
			assert.NilError(t, c.SetStoreFaults(ctx, tt.faults))
			if tt.kill {
				nodes[2].Kill()
			}
			if tt.faults.Down {
				time.Sleep(3 * time.Second) // calls meet the outage
				assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{}))
			}
			c.awaitCalls(targets[1], 50)
			result := stop()
			assertTruthful(t, result, c.runs(result, targets...))
			assert.Assert(t, result.CompletedCount() > 0)
		})
	}
}

// Guards against a request that crashes one target after another: it must be
// refused as not run after few crashes, on every node, while other calls go on.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	var nodes []*testcluster.Node
	var targets []*testcluster.Target
	for _, domain := range []string{"d1", "d2", "d3", "d4", "d5"} {
		n := c.node("r1", domain)
		nodes = append(nodes, n)
		o := stock("1")
		o.ServiceTime = 5 * time.Millisecond
		targets = append(targets, c.target(n, o))
	}
	c.apply(nodes[0], 0, lists{version: "1"})
	c.await("stock", nodes...)

	stop := background(ctx, stockLoad(http.MethodGet, nodes...))
	c.awaitCalls(targets[0], 20)
	poison := loadgen.Options{
		Service: "stock", Method: http.MethodPost, Path: "/stock/poison", CustomerKey: customerKey, Body: []byte("poison"),
		Header: http.Header{testtarget.HeaderCrash: {"1"}}, CallCount: 1, Concurrency: 1, MaxRetries: 11, Timeout: 10 * time.Second,
	}
	for _, n := range nodes {
		poison.Nodes = append(poison.Nodes, n.CallerAddress)
	}
	poisoned := loadgen.Run(ctx, poison)
	last := poisoned.Calls[0].LastAttempt()
	innocent := stop()

	crashed := 0
	for _, target := range targets {
		select {
		case <-target.Exited():
			crashed++
		default:
		}
	}
	assert.Equal(t, last.Code, verdict.Quarantined, "attempts %+v", poisoned.Calls[0].Attempts)
	assert.Equal(t, last.Verdict, verdict.NotRun)
	assert.Assert(t, crashed <= 2, "%d targets crashed", crashed)
	for code, count := range innocent.CountByCode() {
		assert.Assert(t, code != verdict.Quarantined, "%d innocent calls were quarantined", count)
	}
	assert.Assert(t, innocent.CompletedCount() >= len(innocent.Calls)*9/10, "%d of %d innocent calls answered", innocent.CompletedCount(), len(innocent.Calls))
}
