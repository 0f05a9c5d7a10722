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

// relayed starts a node that other nodes reach only through a relay.
func (c *cluster) relayed(region, domain string, seeds ...string) (*testcluster.Node, *faultproxy.UDPProxy) {
	c.t.Helper()
	relay, err := faultproxy.NewUDPProxyWithoutUpstream()
	assert.NilError(c.t, err)
	c.t.Cleanup(relay.Close)
	n, err := c.StartNode(c.ctx, testcluster.NodeOptions{
		Region: region, FailureDomain: domain, AdvertiseAddress: relay.Address(), Seeds: seeds,
	})
	assert.NilError(c.t, err)
	assert.NilError(c.t, relay.SetUpstream(n.BoundAddress))
	return n, relay
}

// targetsKnown returns the number of targets that n knows.
func (c *cluster) targetsKnown(n *testcluster.Node) int {
	var targets []struct{}
	assert.NilError(c.t, n.GetJSON(c.ctx, "/v1/targets", &targets))
	return len(targets)
}

// Guards against regions that stop serving, or that do not find each other
// again, when they lose each other for a while: each side goes on with its own
// targets, both get a new configuration, and afterwards they are one fleet.
func TestRegionsLoseEachOther(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	a, relayA := c.relayed("r1", "d1")
	b, relayB := c.relayed("r2", "d2", a.AdvertisedAddress)
	c.target(a, stock("1"))
	c.target(b, stock("1"))
	c.apply(a, 0, lists{version: "1"})
	c.await("stock", a, b)
	c.awaitTargets(2, a, b)

	relayA.SetLossRate(1)
	relayB.SetLossRate(1)
	time.Sleep(12 * time.Second) // longer than failure detection and silence of connections
	for _, n := range []*testcluster.Node{a, b} {
		result := loadgen.Run(ctx, loadgen.Options{
			Nodes: []string{n.CallerAddress}, Service: "stock", Method: http.MethodGet, Path: "/stock/1",
			CustomerKey: customerKey, CallCount: 100, Concurrency: 4, Timeout: 10 * time.Second,
		})
		assert.Equal(t, result.CompletedCount(), 100, "through %s: %v", n.Instance, result.CountByCode())
	}
	c.apply(a, 1, lists{version: "1", rate: 100_000})
	c.awaitVersion(2, a, b)

	relayA.SetLossRate(0)
	relayB.SetLossRate(0)
	c.awaitTargets(2, a, b)
	late := c.node("r2", "d3")
	c.awaitTargets(2, late)
	c.awaitVersion(2, late)
	c.target(late, stock("1"))
	c.awaitTargets(3, a, b, late)
}

func (c *cluster) awaitTargets(count int, nodes ...*testcluster.Node) {
	c.t.Helper()
	for _, n := range nodes {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			if got := c.targetsKnown(n); got != count {
				return poll.Continue("%s knows %d of %d targets", n.Instance, got, count)
			}
			return poll.Success()
		}, poll.WithTimeout(pollTimeout), poll.WithDelay(50*time.Millisecond))
	}
}

// Guards against connections between nodes that went silent: calls over them
// must find another connection soon, without a wrong verdict.
func TestSilentConnectionBetweenNodes(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	entry := c.node("r1", "d1")
	beside, relay := c.relayed("r1", "d2", entry.AdvertisedAddress)
	target := c.target(beside, stock("1"))
	c.apply(entry, 0, lists{version: "1"})
	c.await("stock", entry)

	stop := background(ctx, stockLoad(http.MethodPost, entry))
	c.awaitCalls(target, 20)
	relay.BlackholeFlows()
	// Calls arrive again only over a new connection, because the old one is dropped.
	c.awaitCalls(target, 50)
	result := stop()
	assertTruthful(t, result, c.runs(result, target))
}

// Guards against a node that starts a fleet of its own because none of its seeds
// lives any more: the platform's contacts lead it to the fleet.
func TestJoinByContactsWhenSeedsAreGone(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, ctx)
	first := c.node("r1", "d1")
	second := c.node("r1", "d2")
	c.target(second, stock("1"))
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
		return poll.Continue("no contacts are stored yet: %v", counts)
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(100*time.Millisecond))
	first.Kill()

	late, err := c.StartNode(ctx, testcluster.NodeOptions{
		Region: "r1", FailureDomain: "d3", Seeds: []string{first.AdvertisedAddress},
	})
	assert.NilError(t, err)
	c.awaitTargets(1, late)
	c.awaitVersion(1, late)
}
