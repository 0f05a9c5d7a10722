package integration

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/faultproxy"
	"github.com/azurespring/azurespring/internal/loadgen"
	"github.com/azurespring/azurespring/internal/testcluster"
)

// newProxiedNode starts a node that other nodes reach only through a UDP proxy.
func (c *cluster) newProxiedNode(region, domain string, seeds ...string) (*testcluster.Node, *faultproxy.UDPProxy) {
	c.t.Helper()
	proxy, err := faultproxy.NewUDPProxyWithoutUpstream()
	assert.NilError(c.t, err)
	c.t.Cleanup(proxy.Close)
	n, err := c.StartNode(c.ctx, testcluster.NodeOptions{
		Region: region, FailureDomain: domain, AdvertiseAddress: proxy.Address(), Seeds: seeds,
	})
	assert.NilError(c.t, err)
	assert.NilError(c.t, proxy.SetUpstream(n.BoundAddress))
	return n, proxy
}

// knownTargetCount returns the number of targets that n knows.
func (c *cluster) knownTargetCount(n *testcluster.Node) int {
	var targets []struct{}
	assert.NilError(c.t, n.GetJSON(c.ctx, "/v1/targets", &targets))
	return len(targets)
}

// TestPartitionedRegionsServeAndRejoin verifies that two regions survive a network
// partition between them: each one keeps serving calls with its own targets, both get a
// new configuration, and after the partition they are one fleet again.
func TestPartitionedRegionsServeAndRejoin(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a, proxyA := c.newProxiedNode("r1", "d1")
	b, proxyB := c.newProxiedNode("r2", "d2", a.AdvertisedAddress)
	c.newTarget(a, stockTarget("1"))
	c.newTarget(b, stockTarget("1"))
	c.apply(a, 0, lists{version: "1"})
	c.awaitService("stock", a, b)
	c.awaitTargets(2, a, b)

	proxyA.SetLossRate(1)
	proxyB.SetLossRate(1)
	time.Sleep(12 * time.Second) // longer than failure detection and the detection of blackholed connections
	for _, n := range []*testcluster.Node{a, b} {
		result := loadgen.Run(ctx, loadgen.Options{
			Nodes: []string{n.CallerAddress}, Service: "stock", Method: http.MethodGet, Path: "/stock/1",
			CustomerKey: customerKey, CallCount: 100, Concurrency: 4, Timeout: 10 * time.Second,
		})
		assert.Equal(t, result.CompletedCount(), 100, "through %s: %v", n.Instance, result.CountByCode())
	}
	c.apply(a, 1, lists{version: "1", ratePerSecond: 100_000})
	c.awaitVersion(2, a, b)

	proxyA.SetLossRate(0)
	proxyB.SetLossRate(0)
	c.awaitTargets(2, a, b)
	late := c.newNode("r2", "d3")
	c.awaitTargets(2, late)
	c.awaitVersion(2, late)
	c.newTarget(late, stockTarget("1"))
	c.awaitTargets(3, a, b, late)
}

func (c *cluster) awaitTargets(count int, nodes ...*testcluster.Node) {
	c.t.Helper()
	for _, n := range nodes {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			if got := c.knownTargetCount(n); got != count {
				return poll.Continue("%s knows %d of %d targets", n.Instance, got, count)
			}
			return poll.Success()
		}, poll.WithTimeout(pollTimeout), poll.WithDelay(50*time.Millisecond))
	}
}

// TestCallsRecoverFromBlackholedConnection verifies that calls soon use a new connection
// when the one between two nodes is blackholed, and that no call gets a wrong verdict.
func TestCallsRecoverFromBlackholedConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	entryNode := c.newNode("r1", "d1")
	targetNode, proxy := c.newProxiedNode("r1", "d2", entryNode.AdvertisedAddress)
	target := c.newTarget(targetNode, stockTarget("1"))
	c.apply(entryNode, 0, lists{version: "1"})
	c.awaitService("stock", entryNode)

	stop := startLoad(ctx, stockLoad(http.MethodPost, entryNode))
	c.awaitCalls(target, 20)
	proxy.BlackholeFlows()
	// Further calls arrive only over a new connection: all datagrams of the old one are
	// dropped.
	c.awaitCalls(target, 50)
	result := stop()
	assertVerdictsMatchRuns(t, result, c.runCounts(result, target))
}

// TestNodeJoinsByBootstrapAddressesWhenSeedsAreDown verifies that a node whose seeds are
// all down joins through the bootstrap addresses kept in the platform. Otherwise it would
// start a fleet of its own.
func TestNodeJoinsByBootstrapAddressesWhenSeedsAreDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	first := c.newNode("r1", "d1")
	second := c.newNode("r1", "d2")
	c.newTarget(second, stockTarget("1"))
	c.apply(first, 0, lists{version: "1"})
	c.awaitTargets(1, first, second)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		counts, err := c.StoreCallCounts(ctx)
		if err != nil {
			return poll.Error(err)
		}
		for kind := range counts {
			if strings.Contains(kind, "contacts") && strings.HasPrefix(kind, "create") {
				return poll.Success()
			}
		}
		return poll.Continue("no bootstrap addresses are stored yet: %v", counts)
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(100*time.Millisecond))
	first.Kill()

	late, err := c.StartNode(ctx, testcluster.NodeOptions{
		Region: "r1", FailureDomain: "d3", Seeds: []string{first.AdvertisedAddress},
	})
	assert.NilError(t, err)
	c.awaitTargets(1, late)
	c.awaitVersion(1, late)
}
