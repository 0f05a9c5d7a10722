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

// version returns the configuration version in force at n.
func (c *cluster) version(n *testcluster.Node) uint64 {
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
			if got := c.version(n); got != version {
				return poll.Continue("%s has version %d in force", n.Instance, got)
			}
			return poll.Success()
		}, poll.WithTimeout(pollTimeout), poll.WithDelay(20*time.Millisecond))
	}
}

// tryApply applies lists and returns the output and exit code.
func (c *cluster) tryApply(n *testcluster.Node, base uint64, l lists, dir string) (output string, code int) {
	c.t.Helper()
	customers, entitlements := l.write(c.t, dir)
	output, code, err := c.RunCtl(c.ctx, "apply", "-nodes", n.AdminAddress, "-base", fmt.Sprint(base), customers, entitlements)
	assert.NilError(c.t, err)
	return output, code
}

// Guards against lists that are accepted or applied in part: each faulty list
// must be refused whole, with the file named, and change nothing.
func TestInvalidListsChangeNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a := c.node("r1", "d1")
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
			assert.Equal(t, c.version(a), uint64(1))
		})
	}
}

// Guards against lost updates: of operators who race from the same version,
// exactly one is accepted, whichever node each one asks.
func TestRacingOperators(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	nodes := []*testcluster.Node{c.node("r1", "d1"), c.node("r1", "d2"), c.node("r2", "d3")}
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

// Guards against changes that are lost or applied twice, versions that revert,
// and nodes that cannot go on or join while the platform is in trouble.
func TestConfigurationUnderPlatformFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults teststore.Faults
	}{
		{"replies lost after the write took effect", teststore.Faults{LostReplies: 3}},
		{"writes rejected", teststore.Faults{RejectedWrites: 3}},
		{"slow", teststore.Faults{Delay: 300 * time.Millisecond}},
		{"rate limited", teststore.Faults{RateLimitedCalls: 3, RetryAfterSeconds: 1}},
		{"replies lost and slow", teststore.Faults{LostReplies: 2, Delay: 100 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := newCluster(t, ctx)
			a, b := c.node("r1", "d1"), c.node("r2", "d2")
			c.apply(a, 0, lists{version: "1"})
			c.awaitVersion(1, a, b)
			assert.NilError(t, c.SetStoreFaults(ctx, tt.faults))
			output, code := c.tryApply(b, 1, lists{version: "2"}, c.dir)
			assert.Equal(t, code, 0, output)
			c.awaitVersion(2, a, b)
		})
	}
}

// Guards against nodes that lose the configuration while the platform is down:
// what is in force stays, a node that joins gets it from peers, and a change is
// refused instead of half accepted.
func TestPlatformDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a, b := c.node("r1", "d1"), c.node("r2", "d2")
	c.target(a, stock("1"))
	c.apply(a, 0, lists{version: "1"})
	c.awaitVersion(1, a, b)
	assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{Down: true}))

	joined := c.node("r2", "d3")
	c.awaitVersion(1, a, b, joined)
	c.await("stock", a, b, joined)
	customers, entitlements := lists{version: "2"}.write(t, c.dir)
	output, code, err := c.RunCtl(ctx, "apply", "-nodes", a.AdminAddress, "-base", "1", "-retry-for", "1s", "-timeout", "2s", customers, entitlements)
	assert.NilError(t, err)
	assert.Assert(t, code != 0, output)

	assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{}))
	output, code = c.tryApply(a, 1, lists{version: "3"}, t.TempDir())
	if code == exitConflict {
		// The change whose outcome was unknown did take effect; that is allowed as
		// long as every node agrees.
		output, code = c.tryApply(a, 2, lists{version: "3"}, t.TempDir())
	}
	assert.Equal(t, code, 0, output)
	final := c.version(a)
	assert.Assert(t, final >= 2)
	c.awaitVersion(final, a, b, joined)
}

// Guards against a return to an older version after the platform was restored
// from an older copy: nodes stay, a fresh node gets the version in force, and
// the platform gets it back.
func TestPlatformRestoredFromOlderCopy(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a, b := c.node("r1", "d1"), c.node("r2", "d2")
	c.apply(a, 0, lists{version: "1"})
	c.awaitVersion(1, a, b)
	assert.NilError(t, c.SendStoreCommand(ctx, teststore.Command{Action: "save"}))
	c.apply(a, 1, lists{version: "2"})
	c.apply(b, 2, lists{version: "3"})
	c.awaitVersion(3, a, b)

	assert.NilError(t, c.SendStoreCommand(ctx, teststore.Command{Action: "restore"}))
	assert.NilError(t, c.SendStoreCommand(ctx, teststore.Command{Action: "expire-watches"}))
	joined := c.node("r1", "d3")
	c.awaitVersion(3, joined)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		output, code := c.tryApply(joined, 3, lists{version: "4"}, c.dir)
		if code != 0 {
			return poll.Continue("apply: %s", output)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(time.Second))
	c.awaitVersion(4, a, b, joined)
	for _, n := range []*testcluster.Node{a, b, joined} {
		assertRising(t, n)
	}
}

// assertRising checks that a node never activated a version twice or a lower one.
func assertRising(t *testing.T, n *testcluster.Node) {
	t.Helper()
	last := uint64(0)
	for _, line := range n.Lines() {
		if line.Event != "config-activated" {
			continue
		}
		assert.Assert(t, line.ConfigVersion > last, "%s activated %d after %d", n.Instance, line.ConfigVersion, last)
		last = line.ConfigVersion
	}
}

// Guards against a fleet that loses the configuration, or overruns the platform,
// when most of its nodes die and return together.
func TestHerdRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	survivor := c.node("r1", "d0")
	var herd []*testcluster.Node
	for i := range 9 {
		herd = append(herd, c.node(fmt.Sprintf("r%d", i%3+1), fmt.Sprintf("d%d", i)))
	}
	c.apply(survivor, 0, lists{version: "1"})
	c.awaitVersion(1, append(herd, survivor)...)
	for _, n := range herd {
		n.Kill()
	}
	assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{Down: true}))

	var returned []*testcluster.Node
	for i := range herd {
		n, err := c.StartNode(ctx, testcluster.NodeOptions{
			Region: fmt.Sprintf("r%d", i%3+1), FailureDomain: fmt.Sprintf("d%d", i), Seeds: []string{survivor.AdvertisedAddress},
		})
		assert.NilError(t, err)
		returned = append(returned, n)
	}
	c.awaitVersion(1, returned...)
	assert.NilError(t, c.SetStoreFaults(ctx, teststore.Faults{}))
	c.apply(returned[0], 1, lists{version: "2"})
	c.awaitVersion(2, append(returned, survivor)...)
}
