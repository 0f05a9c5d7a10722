// Package integration tests the complete system, with each component as a process.
package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/loadgen"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

const (
	// testTimeout ends a test that hangs. It is far above what any test needs, so
	// that no test exceeds it on a busy instance.
	testTimeout = 5 * time.Minute
	pollTimeout = 2 * time.Minute
	customerKey = "integration-key"
)

var programs struct {
	once     sync.Once
	dir      string
	binaries testcluster.Binaries
	err      error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
	os.Exit(code)
}

func buildPrograms() (testcluster.Binaries, error) {
	programs.once.Do(func() {
		if programs.dir, programs.err = os.MkdirTemp("", "azurespring-integration-"); programs.err != nil {
			return
		}
		programs.binaries, programs.err = testcluster.Build(context.Background(), filepath.Join("..", ".."), programs.dir)
	})
	return programs.binaries, programs.err
}

// cluster wraps a testcluster.Cluster with helpers that fail the test instead of
// returning errors.
type cluster struct {
	*testcluster.Cluster
	t   *testing.T
	ctx context.Context
	dir string
}

func newCluster(t *testing.T, ctx context.Context) *cluster {
	t.Helper()
	binaries, err := buildPrograms()
	assert.NilError(t, err)
	dir := t.TempDir()
	c, err := testcluster.New(ctx, binaries, dir)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return &cluster{Cluster: c, t: t, ctx: ctx, dir: dir}
}

func (c *cluster) newNode(region, domain string, extra ...string) *testcluster.Node {
	c.t.Helper()
	n, err := c.StartNode(c.ctx, testcluster.NodeOptions{Region: region, FailureDomain: domain, ExtraArgs: extra})
	assert.NilError(c.t, err)
	return n
}

func stockTarget(version string) testcluster.TargetOptions {
	return testcluster.TargetOptions{Service: "stock", Version: version, Slots: 18}
}

func (c *cluster) newTarget(n *testcluster.Node, o testcluster.TargetOptions) *testcluster.Target {
	c.t.Helper()
	newTarget, err := c.StartTarget(c.ctx, n, o)
	assert.NilError(c.t, err)
	return newTarget
}

// lists holds the values of the customer and entitlement lists that tests change.
type lists struct {
	version string
	// moveTo is the target version of a move that must finish within finishIn; empty
	// requests no move.
	moveTo   string
	finishIn time.Duration
	// ratePerSecond is the plan's limit of calls per second; 0 is no limit.
	ratePerSecond int
}

func (l lists) write(t *testing.T, dir string) (customers, entitlements string) {
	t.Helper()
	customers, entitlements = filepath.Join(dir, "customers.yaml"), filepath.Join(dir, "entitlements.yaml")
	assert.NilError(t, os.WriteFile(customers, fmt.Appendf(nil, `
apiVersion: azurespring/v1
kind: CustomerList
customers:
  - {name: integration, plan: all, keyDigests: [%s]}
`, dynamic.SHA256Hex([]byte(customerKey))), 0o600))
	limits, move := "", ""
	if l.ratePerSecond > 0 {
		limits = fmt.Sprintf("    limits: {ratePerSecond: %d, burst: %d}\n", l.ratePerSecond, l.ratePerSecond)
	}
	if l.moveTo != "" {
		finish := time.Now().Add(l.finishIn).UTC().Format(time.RFC3339)
		move = fmt.Sprintf("    move: {to: %q, finishBy: %s}\n", l.moveTo, finish)
	}
	assert.NilError(t, os.WriteFile(entitlements, fmt.Appendf(nil, `
apiVersion: azurespring/v1
kind: EntitlementList
plans:
  - name: all
%s    services: [{service: stock}]
departments:
  - {name: sales, success: {statuses: [2xx], latency: 2s}, promisedShare: 0.99, period: 1h}
services:
  - name: stock
    version: %q
%s    routes:
      - {name: check, methods: [GET], pathPrefix: /stock, idempotent: true, deadline: 5s, department: sales}
      - {name: confirm, methods: [POST], pathPrefix: /stock, deadline: 5s, department: sales}
`, limits, l.version, move), 0o600))
	return customers, entitlements
}

// apply applies lists through a node and fails the test unless they are accepted.
func (c *cluster) apply(n *testcluster.Node, base uint64, l lists) {
	c.t.Helper()
	customers, entitlements := l.write(c.t, c.dir)
	output, code, err := c.RunCtl(c.ctx, "apply", "-nodes", n.AdminAddress, "-base", fmt.Sprint(base), customers, entitlements)
	assert.NilError(c.t, err)
	assert.Equal(c.t, code, 0, output)
}

// awaitService waits until a call of a service succeeds through each of the nodes.
func (c *cluster) awaitService(service string, nodes ...*testcluster.Node) {
	c.t.Helper()
	for _, n := range nodes {
		c.awaitServiceAt(service, n)
	}
}

func (c *cluster) awaitServiceAt(service string, n *testcluster.Node) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		result := loadgen.Run(c.ctx, loadgen.Options{
			Nodes: []string{n.CallerAddress}, Service: service, Method: http.MethodGet, Path: "/stock/probe",
			CustomerKey: customerKey, CallCount: 1, Timeout: 10 * time.Second, Header: http.Header{"X-Probe": {"1"}},
		})
		if result.CompletedCount() == 1 {
			return poll.Success()
		}
		return poll.Continue("last result: %+v", result.Calls)
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(50*time.Millisecond))
}

// runCounts returns by request ID how often each attempt of the result's calls ran on
// the targets.
func (c *cluster) runCounts(result loadgen.Result, targets ...*testcluster.Target) map[string]int {
	c.t.Helper()
	counts := make(map[string]int)
	for _, call := range result.Calls {
		for _, attempt := range call.Attempts {
			counts[attempt.RequestID] = 0
		}
	}
	for _, target := range targets {
		status, err := target.Status(c.ctx)
		assert.NilError(c.t, err)
		for id, count := range status.RunsByRequestID {
			if _, sent := counts[id]; sent {
				counts[id] += count
			}
		}
	}
	return counts
}
