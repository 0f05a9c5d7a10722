package integration

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/loadgen"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/internal/testtarget"
)

// moveSpan is the time in which moves of the tests must finish. Shorter ones
// are stretched to a minute by the system.
const moveSpan = 65 * time.Second

// phase returns the phase and share of the move of service stock as n knows it.
func (c *cluster) phase(n *testcluster.Node) (phase string, share float64) {
	c.t.Helper()
	var moves []struct {
		Service string  `json:"service"`
		Phase   string  `json:"phase"`
		Share   float64 `json:"share"`
	}
	assert.NilError(c.t, n.GetJSON(c.ctx, "/v1/moves", &moves))
	for _, m := range moves {
		if m.Service == "stock" {
			return m.Phase, m.Share
		}
	}
	return "", 0
}

func (c *cluster) awaitPhase(phase string, nodes ...*testcluster.Node) {
	c.t.Helper()
	for _, n := range nodes {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			if got, share := c.phase(n); got != phase {
				return poll.Continue("%s has phase %q with share %g, not %q", n.Instance, got, share, phase)
			}
			return poll.Success()
		}, poll.WithTimeout(pollTimeout), poll.WithDelay(100*time.Millisecond))
	}
}

// Guards against moves that stop or go wrong when their decider dies, the
// platform is down, or both: a good version must still take over, a bad one must
// still be taken back with a small share of the calls.
func TestMovesUnderFaults(t *testing.T) {
	tests := []struct {
		name     string
		behavior testtarget.Behavior
		phase    string
		down     bool
		kill     bool
	}{
		{"good version while the platform is down", testtarget.Behavior{}, "done", true, false},
		{"good version while a node dies", testtarget.Behavior{}, "done", false, true},
		{"failing version while the platform is down and a node dies", testtarget.Behavior{FailEvery: 2, FailStatus: 500}, "taken-back", true, true},
		{"slow version", testtarget.Behavior{ServiceTime: 2500 * time.Millisecond}, "taken-back", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			entry := c.node("r1", "d0")
			beside := []*testcluster.Node{c.node("r1", "d1"), c.node("r2", "d2"), c.node("r3", "d3")}
			for _, n := range beside {
				c.target(n, stock("1"))
			}
			c.apply(entry, 0, lists{version: "1"})
			c.await("stock", append(beside, entry)...)
			for _, n := range beside {
				target := c.target(n, stock("2"))
				assert.NilError(t, target.SetBehavior(ctx, tt.behavior))
			}
			load := stockLoad(http.MethodGet, entry)
			load.CallsPerSecond, load.Concurrency = 100, 32
			stop := background(ctx, load)
			c.apply(entry, 1, lists{version: "1", moveTo: "2", finishIn: moveSpan})
			c.awaitPhase("running", entry)

			if tt.down {
				assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{Down: true}))
			}
			alive := beside
			if tt.kill {
				beside[0].Kill()
				alive = beside[1:]
			}
			c.awaitPhase(tt.phase, append(alive, entry)...)
			result := stop()
			if tt.phase == "taken-back" {
				share := float64(result.CountByVersion()["2"]) / float64(len(result.Calls))
				assert.Assert(t, share < 0.05, "the bad version answered %.1f%% of the calls", 100*share)
				after := stockLoad(http.MethodGet, entry)
				after.CallCount = 200
				late := loadgen.Run(ctx, after)
				assert.Equal(t, late.CountByVersion()["2"], 0, "calls after the version was taken back")
				assert.Equal(t, late.CompletedCount(), 200, "refusals: %v", late.CountByCode())
			}
		})
	}
}
