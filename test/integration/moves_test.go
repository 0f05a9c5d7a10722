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

// moveDuration is the time in which the tests' moves must finish. The system extends
// shorter ones to a minute.
const moveDuration = 65 * time.Second

// movePhase returns the phase and traffic share of service stock's move as n reports them.
func (c *cluster) movePhase(n *testcluster.Node) (movePhase string, share float64) {
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
			if got, share := c.movePhase(n); got != phase {
				return poll.Continue("%s reports phase %q with traffic share %g, want phase %q", n.Instance, got, share, phase)
			}
			return poll.Success()
		}, poll.WithTimeout(pollTimeout), poll.WithDelay(100*time.Millisecond))
	}
}

// TestMovesCompleteOrRollBackUnderFaults verifies that moves continue when a node crashes,
// the platform is down, or both: a healthy version still takes over all traffic, and a
// failing or slow one is still rolled back after less than 5% of the calls.
func TestMovesCompleteOrRollBackUnderFaults(t *testing.T) {
	tests := []struct {
		name         string
		behavior     testtarget.Behavior
		phase        string
		platformDown bool
		killNode     bool
	}{
		{"good version while the platform is down", testtarget.Behavior{}, "done", true, false},
		{"good version while a node crashes", testtarget.Behavior{}, "done", false, true},
		{"failing version while the platform is down and a node crashes", testtarget.Behavior{FailEvery: 2, FailStatus: 500}, "taken-back", true, true},
		{"slow version", testtarget.Behavior{ServiceTime: 2500 * time.Millisecond}, "taken-back", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			entryNode := c.newNode("r1", "d0")
			targetNodes := []*testcluster.Node{c.newNode("r1", "d1"), c.newNode("r2", "d2"), c.newNode("r3", "d3")}
			for _, n := range targetNodes {
				c.newTarget(n, stockTarget("1"))
			}
			c.apply(entryNode, 0, lists{version: "1"})
			c.awaitService("stock", append(targetNodes, entryNode)...)
			for _, n := range targetNodes {
				target := c.newTarget(n, stockTarget("2"))
				assert.NilError(t, target.SetBehavior(ctx, tt.behavior))
			}
			load := stockLoad(http.MethodGet, entryNode)
			load.CallsPerSecond, load.Concurrency = 100, 32
			stop := startLoad(ctx, load)
			c.apply(entryNode, 1, lists{version: "1", moveTo: "2", finishIn: moveDuration})
			c.awaitPhase("running", entryNode)

			if tt.platformDown {
				assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{Down: true}))
			}
			runningNodes := targetNodes
			if tt.killNode {
				targetNodes[0].Kill()
				runningNodes = targetNodes[1:]
			}
			c.awaitPhase(tt.phase, append(runningNodes, entryNode)...)
			result := stop()
			if tt.phase == "taken-back" {
				share := float64(result.CountByVersion()["2"]) / float64(len(result.Calls))
				assert.Assert(t, share < 0.05, "the bad version got %.1f%% of the calls", 100*share)
				after := stockLoad(http.MethodGet, entryNode)
				after.CallCount = 200
				late := loadgen.Run(ctx, after)
				assert.Equal(t, late.CountByVersion()["2"], 0, "calls of the bad version after it was rolled back")
				assert.Equal(t, late.CompletedCount(), 200, "local replies: %v", late.CountByCode())
			}
		})
	}
}
