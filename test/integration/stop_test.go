package integration

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/loadgen"
)

// Guards against a planned stop that cuts or refuses calls, runs into its time
// limit, or leaves the member table late: calls enter through another node and
// half of them run beside the node that stops.
func TestPlannedStopOfTargetNode(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	entry, staying, leaving := c.node("r1", "d1"), c.node("r1", "d2"), c.node("r1", "d3")
	o := stock("1")
	o.ServiceTime = 20 * time.Millisecond
	c.target(staying, o)
	beside := c.target(leaving, o)
	c.apply(entry, 0, lists{version: "1"})
	c.await("stock", entry, staying, leaving)

	loading, stop := context.WithCancel(ctx)
	var result loadgen.Result
	var group sync.WaitGroup
	group.Go(func() {
		result = loadgen.Run(loading, loadgen.Options{
			Nodes: []string{entry.CallerAddress}, Service: "stock", Method: http.MethodPost, Path: "/stock/1",
			CustomerKey: customerKey, CallCount: 600, Concurrency: 8, CallsPerSecond: 200, Timeout: 10 * time.Second,
		})
	})
	c.awaitCalls(beside, 20) // calls are in flight when the stop begins
	started := time.Now()
	// The limit is the drain timeout, which a stop without long calls must not need.
	assert.NilError(t, leaving.Stop(25*time.Second))
	t.Logf("stopped after %s", time.Since(started))
	group.Wait()
	stop()

	assert.Equal(t, len(result.Calls), 600)
	assert.Equal(t, result.CompletedCount(), 600, "refusals: %v", result.CountByCode())
}

// Guards against a planned stop that cuts the calls which entered at the
// stopping node. A call that meets the stop may be refused as not run or find
// the listener closed; sent again to another node, it must be answered.
func TestPlannedStopOfEntryNode(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	other, leaving := c.node("r1", "d1"), c.node("r1", "d2")
	o := stock("1")
	o.ServiceTime = 20 * time.Millisecond
	target := c.target(other, o)
	beside := c.target(leaving, o)
	c.apply(other, 0, lists{version: "1"})
	c.await("stock", other, leaving)

	var result loadgen.Result
	var group sync.WaitGroup
	group.Go(func() {
		result = loadgen.Run(ctx, loadgen.Options{
			Nodes: []string{leaving.CallerAddress, other.CallerAddress}, Service: "stock", Method: http.MethodPost, Path: "/stock/1",
			CustomerKey: customerKey, CallCount: 600, Concurrency: 8, CallsPerSecond: 200, Timeout: 10 * time.Second, MaxRetries: 1,
		})
	})
	c.awaitCalls(beside, 20) // calls are in flight when the stop begins
	started := time.Now()
	assert.NilError(t, leaving.Stop(25*time.Second))
	t.Logf("stopped after %s", time.Since(started))
	group.Wait()

	assert.Equal(t, result.CompletedCount(), 600, "refusals: %v", result.CountByCode())
	for _, call := range result.Calls {
		for _, attempt := range call.Attempts {
			refused := attempt.LocalReply && attempt.Verdict.String() == "not-run"
			assert.Assert(t, attempt.Completed() || refused || isDialError(attempt.Err), "attempt %+v", attempt)
		}
	}
	for id, count := range c.runs(result, target) {
		assert.Assert(t, count <= 1, "request %s ran %d times", id, count)
	}
}

// isDialError reports whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
