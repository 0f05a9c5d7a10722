package integration

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/internal/teststore"
)

// Exit codes of azurespringctl apply.
const (
	exitInvalid  = 3
	exitConflict = 4
)

// activeVersion returns the active configuration version of n.
func (c *cluster) activeVersion(n *testcluster.Node) uint64 {
	var configuration struct {
		Version uint64 `json:"version"`
	}
	assert.NilError(c.t, n.GetJSON(c.ctx, "/v1/configuration", &configuration))
	return configuration.Version
}

func (c *cluster) awaitVersion(version uint64, nodes ...*testcluster.Node) {
	c.t.Helper()
	for _, n := range nodes {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			if got := c.activeVersion(n); got != version {
				return poll.Continue("%s has active version %d", n.Instance, got)
			}
			return poll.Success()
		}, poll.WithTimeout(pollTimeout), poll.WithDelay(20*time.Millisecond))
	}
}

// tryApply applies lists and returns the output and exit code of azurespringctl.
func (c *cluster) tryApply(n *testcluster.Node, base uint64, l lists, dir string) (output string, code int) {
	c.t.Helper()
	customers, entitlements := l.write(c.t, dir)
	output, code, err := c.RunCtl(c.ctx, "apply", "-nodes", n.AdminAddress, "-base", fmt.Sprint(base), customers, entitlements)
	assert.NilError(c.t, err)
	return output, code
}

// TestInvalidListsChangeNothing verifies that an invalid list is rejected as a whole and
// that the active version stays. It fails if lists are accepted or applied in part.
func TestInvalidListsChangeNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a := c.newNode("r1", "d1")
	c.apply(a, 0, lists{version: "1"})
	c.awaitVersion(1, a)
	customers, entitlements := lists{version: "1"}.write(t, c.dir)
	valid, err := os.ReadFile(entitlements)
	assert.NilError(t, err)

	for name, text := range map[string]string{
		"unknown field":      string(valid) + "extra: 1\n",
		"dangling reference": string(valid) + "  - {name: x, version: \"1\", routes: [{name: r, methods: [GET], pathPrefix: /, deadline: 1s, department: none}]}\n",
		"truncated":          string(valid[:len(valid)/2]),
		"not YAML":           "{{{",
		"empty":              "",
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "broken.yaml")
			assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
			output, code, err := c.RunCtl(ctx, "apply", "-nodes", a.AdminAddress, customers, path)
			assert.NilError(t, err)
			assert.Equal(t, code, exitInvalid, output)
			assert.Equal(t, c.activeVersion(a), uint64(1))
		})
	}
}

// TestConcurrentAppliesAcceptExactlyOne verifies that of concurrent changes to the same
// base version, sent through different nodes, exactly one is accepted and the others get
// a conflict. Otherwise an update is lost.
func TestConcurrentAppliesAcceptExactlyOne(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	nodes := []*testcluster.Node{c.newNode("r1", "d1"), c.newNode("r1", "d2"), c.newNode("r2", "d3")}
	c.apply(nodes[0], 0, lists{version: "1"})
	c.awaitVersion(1, nodes...)

	codes := make([]int, len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		dir := t.TempDir()
		group.Go(func() { _, codes[i] = c.tryApply(n, 1, lists{version: fmt.Sprint(i + 2)}, dir) })
	}
	group.Wait()

	accepted, conflicts := 0, 0
	for _, code := range codes {
		switch code {
		case 0:
			accepted++
		case exitConflict:
			conflicts++
		}
	}
	assert.Equal(t, accepted, 1, "exit codes %v", codes)
	assert.Equal(t, conflicts, len(nodes)-1, "exit codes %v", codes)
	c.awaitVersion(2, nodes...)
}

// TestApplySucceedsUnderPlatformFaults verifies that a change is applied exactly once, as
// the next version on all nodes, while the platform fails. A lost response or a rejected
// write must neither lose the change nor apply it twice.
func TestApplySucceedsUnderPlatformFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults teststore.Faults
	}{
		{"responses lost after the write took effect", teststore.Faults{LostReplies: 3}},
		{"writes rejected", teststore.Faults{RejectedWrites: 3}},
		{"slow", teststore.Faults{Delay: 300 * time.Millisecond}},
		{"rate limited", teststore.Faults{RateLimitedCalls: 3, RetryAfterSeconds: 1}},
		{"responses lost and slow", teststore.Faults{LostReplies: 2, Delay: 100 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			a, b := c.newNode("r1", "d1"), c.newNode("r2", "d2")
			c.apply(a, 0, lists{version: "1"})
			c.awaitVersion(1, a, b)
			assert.NilError(t, c.SetStoreFaults(ctx, tt.faults))
			output, code := c.tryApply(b, 1, lists{version: "2"}, c.dir)
			assert.Equal(t, code, 0, output)
			c.awaitVersion(2, a, b)
		})
	}
}

// TestNodesKeepConfigurationWhilePlatformIsDown verifies that during an outage of the
// platform the active configuration stays, a joining node gets it from its peers, and a
// change is rejected instead of accepted in part.
func TestNodesKeepConfigurationWhilePlatformIsDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a, b := c.newNode("r1", "d1"), c.newNode("r2", "d2")
	c.newTarget(a, stockTarget("1"))
	c.apply(a, 0, lists{version: "1"})
	c.awaitVersion(1, a, b)
	assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{Down: true}))

	joiner := c.newNode("r2", "d3")
	c.awaitVersion(1, a, b, joiner)
	c.awaitService("stock", a, b, joiner)
	customers, entitlements := lists{version: "2"}.write(t, c.dir)
	output, code, err := c.RunCtl(ctx, "apply", "-nodes", a.AdminAddress, "-base", "1", "-retry-for", "1s", "-timeout", "2s", customers, entitlements)
	assert.NilError(t, err)
	assert.Assert(t, code != 0, output)

	assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{}))
	output, code = c.tryApply(a, 1, lists{version: "3"}, t.TempDir())
	if code == exitConflict {
		// The change with the unknown outcome did take effect; that is allowed as
		// long as all nodes agree.
		output, code = c.tryApply(a, 2, lists{version: "3"}, t.TempDir())
	}
	assert.Equal(t, code, 0, output)
	final := c.activeVersion(a)
	assert.Assert(t, final >= 2)
	c.awaitVersion(final, a, b, joiner)
}

// TestVersionsIncreaseAfterPlatformRestoresOlderCopy verifies that no node returns to an
// older version after the platform was restored from an older copy: nodes keep the active
// version, a joining node gets it from them, and it is written back to the platform.
func TestVersionsIncreaseAfterPlatformRestoresOlderCopy(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a, b := c.newNode("r1", "d1"), c.newNode("r2", "d2")
	c.apply(a, 0, lists{version: "1"})
	c.awaitVersion(1, a, b)
	assert.NilError(t, c.SendStoreCommand(ctx, teststore.Command{Action: "save"}))
	c.apply(a, 1, lists{version: "2"})
	c.apply(b, 2, lists{version: "3"})
	c.awaitVersion(3, a, b)

	assert.NilError(t, c.SendStoreCommand(ctx, teststore.Command{Action: "restore"}))
	assert.NilError(t, c.SendStoreCommand(ctx, teststore.Command{Action: "expire-watches"}))
	joiner := c.newNode("r1", "d3")
	c.awaitVersion(3, joiner)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		output, code := c.tryApply(joiner, 3, lists{version: "4"}, c.dir)
		if code != 0 {
			return poll.Continue("apply: %s", output)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(time.Second))
	c.awaitVersion(4, a, b, joiner)
	for _, n := range []*testcluster.Node{a, b, joiner} {
		assertVersionsIncrease(t, n)
	}
}

// assertVersionsIncrease checks that each version that a node activated was above the
// one before.
func assertVersionsIncrease(t *testing.T, n *testcluster.Node) {
	t.Helper()
	last := uint64(0)
	for _, line := range n.Lines() {
		if line.Event != "config-activated" {
			continue
		}
		assert.Assert(t, line.ConfigVersion > last, "%s activated version %d after version %d", n.Instance, line.ConfigVersion, last)
		last = line.ConfigVersion
	}
}

// TestConfigurationSurvivesMassRestart verifies that the fleet keeps its configuration when
// most of its nodes crash and restart together while the platform is down, and that it
// applies the next change after the outage.
func TestConfigurationSurvivesMassRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	survivor := c.newNode("r1", "d0")
	var restarting []*testcluster.Node
	for i := range 9 {
		restarting = append(restarting, c.newNode(fmt.Sprintf("r%d", i%3+1), fmt.Sprintf("d%d", i)))
	}
	c.apply(survivor, 0, lists{version: "1"})
	c.awaitVersion(1, append(restarting, survivor)...)
	for _, n := range restarting {
		n.Kill()
	}
	assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{Down: true}))

	var restarted []*testcluster.Node
	for i := range restarting {
		n, err := c.StartNode(ctx, testcluster.NodeOptions{
			Region: fmt.Sprintf("r%d", i%3+1), FailureDomain: fmt.Sprintf("d%d", i), Seeds: []string{survivor.AdvertisedAddress},
		})
		assert.NilError(t, err)
		restarted = append(restarted, n)
	}
	c.awaitVersion(1, restarted...)
	assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{}))
	c.apply(restarted[0], 1, lists{version: "2"})
	c.awaitVersion(2, append(restarted, survivor)...)
}
