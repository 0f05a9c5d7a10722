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
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/loadgen"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/internal/testtarget"
)

// TestShutdownOfTargetNodeCompletesAllCalls verifies that a graceful shutdown resets and
// rejects no calls, ends before the drain timeout, and that the node leaves the member
// table in time. Calls enter at another node; half of them run on the local target of the
// node that stops.
func TestShutdownOfTargetNodeCompletesAllCalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	entryNode, stayingNode, stoppingNode := c.newNode("r1", "d1"), c.newNode("r1", "d2"), c.newNode("r1", "d3")
	o := stockTarget("1")
	o.ServiceTime = 20 * time.Millisecond
	c.newTarget(stayingNode, o)
	stoppingTarget := c.newTarget(stoppingNode, o)
	c.apply(entryNode, 0, lists{version: "1"})
	c.awaitService("stock", entryNode, stayingNode, stoppingNode)

	loadCtx, stop := context.WithCancel(ctx)
	var result loadgen.Result
	var group sync.WaitGroup
	group.Go(func() {
		result = loadgen.Run(loadCtx, loadgen.Options{
			Nodes: []string{entryNode.CallerAddress}, Service: "stock", Method: http.MethodPost, Path: "/stock/1",
			CustomerKey: customerKey, CallCount: 600, Concurrency: 8, CallsPerSecond: 200, Timeout: 10 * time.Second,
		})
	})
	c.awaitCalls(stoppingTarget, 20) // calls are in flight when the shutdown begins
	started := time.Now()
	// The bound is the drain timeout, which a shutdown without long calls must not reach.
	assert.NilError(t, stoppingNode.Stop(25*time.Second))
	t.Logf("stopped after %s", time.Since(started))
	group.Wait()
	stop()

	assert.Equal(t, len(result.Calls), 600)
	assert.Equal(t, result.CompletedCount(), 600, "local replies: %v", result.CountByCode())
}

// TestShutdownOfEntryNodeCompletesRetriedCalls verifies that a graceful shutdown resets no
// calls that entered at the node. A call during the shutdown may be rejected as not run or
// find the listener closed; a retry by the caller through another node must complete.
func TestShutdownOfEntryNodeCompletesRetriedCalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	otherNode, stoppingNode := c.newNode("r1", "d1"), c.newNode("r1", "d2")
	o := stockTarget("1")
	o.ServiceTime = 20 * time.Millisecond
	target := c.newTarget(otherNode, o)
	stoppingTarget := c.newTarget(stoppingNode, o)
	c.apply(otherNode, 0, lists{version: "1"})
	c.awaitService("stock", otherNode, stoppingNode)

	var result loadgen.Result
	var group sync.WaitGroup
	group.Go(func() {
		result = loadgen.Run(ctx, loadgen.Options{
			Nodes: []string{stoppingNode.CallerAddress, otherNode.CallerAddress}, Service: "stock", Method: http.MethodPost, Path: "/stock/1",
			CustomerKey: customerKey, CallCount: 600, Concurrency: 8, CallsPerSecond: 200, Timeout: 10 * time.Second, MaxRetries: 1,
		})
	})
	c.awaitCalls(stoppingTarget, 20) // calls are in flight when the shutdown begins
	started := time.Now()
	assert.NilError(t, stoppingNode.Stop(25*time.Second))
	t.Logf("stopped after %s", time.Since(started))
	group.Wait()

	assert.Equal(t, result.CompletedCount(), 600, "local replies: %v", result.CountByCode())
	for _, call := range result.Calls {
		for _, attempt := range call.Attempts {
			isRejected := attempt.LocalReply && attempt.Verdict.String() == "not-run"
			assert.Assert(t, attempt.Completed() || isRejected || isDialError(attempt.Err), "attempt %+v", attempt)
		}
	}
	for id, count := range c.runCounts(result, target) {
		assert.Assert(t, count <= 1, "request %s ran %d times", id, count)
	}
}

// TestCallsThatOutlastShutdownAreAnswered verifies that a node that stops answers the
// calls that are in flight at the end of its drain timeout, at a target of its own and at
// one of another node, before it closes their connections.
func TestCallsThatOutlastShutdownAreAnswered(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	const drainTimeout = 2 * time.Second // less than the deadline of the calls
	otherNode, stoppingNode := c.newNode("r1", "d1"), c.newNode("r1", "d2", "-drain-timeout", drainTimeout.String())
	targets := []*testcluster.Target{c.newTarget(otherNode, stockTarget("1")), c.newTarget(stoppingNode, stockTarget("1"))}
	c.apply(otherNode, 0, lists{version: "1"})
	c.awaitService("stock", otherNode, stoppingNode)
	for _, target := range targets {
		assert.NilError(t, target.SetBehavior(ctx, testtarget.Behavior{NeverAnswer: true}))
	}

	callsReceived := func() (count int64) {
		for _, target := range targets {
			status, err := target.Status(ctx)
			assert.NilError(t, err)
			count += status.Calls
		}
		return count
	}
	const callCount = 16 // all find a slot
	before := callsReceived()
	var result loadgen.Result
	var group sync.WaitGroup
	group.Go(func() {
		result = loadgen.Run(ctx, loadgen.Options{
			Nodes: []string{stoppingNode.CallerAddress}, Service: "stock", Method: http.MethodPost, Path: "/stock/1",
			CustomerKey: customerKey, CallCount: callCount, Concurrency: callCount, Timeout: 10 * time.Second,
		})
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if count := callsReceived() - before; count < callCount {
			return poll.Continue("targets received %d calls", count)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(pollTimeout))
	started := time.Now()
	assert.NilError(t, stoppingNode.Stop(25*time.Second))
	t.Logf("stopped after %s", time.Since(started))
	group.Wait()

	assert.Equal(t, len(result.Calls), callCount)
	runs := c.runCounts(result, targets...)
	for _, call := range result.Calls {
		for _, attempt := range call.Attempts {
			assert.Assert(t, attempt.LocalReply, "attempt without a response of the node: %+v", attempt)
			assert.Assert(t, runs[attempt.RequestID] == 0 || attempt.Verdict.String() == "may-have-run", "attempt that ran: %+v", attempt)
		}
	}
}

// isDialError reports whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
