package integration

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/loadgen"
)

// Guards against any break in the path from an operator's lists and a target's
// announcement to a caller's answer, with every part a process of its own.
func TestWholePath(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a := c.node("r1", "d1")
	b := c.node("r1", "d2")
	target := c.target(b, stock("1"))
	c.apply(a, 0, lists{version: "1"})
	c.await("stock", a, b)

	result := loadgen.Run(ctx, loadgen.Options{
		Nodes: []string{a.CallerAddress, b.CallerAddress}, Service: "stock", Method: http.MethodGet, Path: "/stock/1",
		CustomerKey: customerKey, CallCount: 200, Concurrency: 4, Timeout: 10 * time.Second,
	})

	assert.Equal(t, result.CompletedCount(), 200, "refusals: %v", result.CountByCode())
	for id, count := range c.runs(result, target) {
		assert.Equal(t, count, 1, "request %s", id)
	}
}
