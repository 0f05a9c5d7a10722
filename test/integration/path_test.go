package integration

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/loadgen"
)

// TestCallsThroughEachNodeReachTheTarget verifies the complete path, from the operator's
// lists and a target's announcement to the caller's response, with each component as a
// process: every call completes and runs exactly once.
func TestCallsThroughEachNodeReachTheTarget(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a := c.newNode("r1", "d1")
	b := c.newNode("r1", "d2")
	target := c.newTarget(b, stockTarget("1"))
	c.apply(a, 0, lists{version: "1"})
	c.awaitService("stock", a, b)

	result := loadgen.Run(ctx, loadgen.Options{
		Nodes: []string{a.CallerAddress, b.CallerAddress}, Service: "stock", Method: http.MethodGet, Path: "/stock/1",
		CustomerKey: customerKey, CallCount: 200, Concurrency: 4, Timeout: 10 * time.Second,
	})

	assert.Equal(t, result.CompletedCount(), 200, "local replies: %v", result.CountByCode())
	for id, count := range c.runCounts(result, target) {
		assert.Equal(t, count, 1, "runs of request %s", id)
	}
}
