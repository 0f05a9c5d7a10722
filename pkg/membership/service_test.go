package membership_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/testcerts"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/transport"
)

// testTimeout bounds a test that hangs; no test depends on its length.
const testTimeout = 2 * time.Minute

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type node struct {
	transport *transport.Transport
	gossip    *gossip.Service
	members   *membership.Service
	stop      func()
}

func startNode(t *testing.T, authority *testcerts.Authority, instance string, seeds ...string) *node {
	t.Helper()
	files, err := authority.IssueFiles(t.TempDir(), instance)
	assert.NilError(t, err)
	source, err := transport.NewTLSSource(files.CertificatePath, files.KeyPath, files.CAPath)
	assert.NilError(t, err)
	tr, err := transport.Listen(transport.Options{ListenAddress: "127.0.0.1:0", TLS: source})
	assert.NilError(t, err)
	g := gossip.New(gossip.Options{Address: tr.Address(), Messenger: tr})
	m := membership.New(membership.Options{
		Self: membership.Member{
			Instance: instance, Address: tr.Address(), Region: "r1", FailureDomain: "a", ProtocolVersion: transport.ProtocolV1,
		},
		Seeds: seeds, Messenger: tr, Gossip: g, StandaloneTimeout: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { g.Run(ctx) })
	tasks.Go(func() { m.Run(ctx) })
	n := &node{transport: tr, gossip: g, members: m, stop: sync.OnceFunc(func() {
		cancel()
		tasks.Wait()
		closeCtx, cancelClose := context.WithTimeout(context.Background(), testTimeout)
		defer cancelClose()
		_ = tr.Close(closeCtx)
	})}
	t.Cleanup(n.stop)
	return n
}

func viewHolds(n *node, want ...string) poll.Check {
	return func(poll.LogT) poll.Result {
		var got []string
		for _, m := range n.members.View().Members {
			got = append(got, m.Instance)
		}
		if slices.Equal(got, want) {
			return poll.Success()
		}
		return poll.Continue("view holds %v, want %v", got, want)
	}
}

// Over real connections, joining nodes, an announced target and a leaving node
// must appear in the views of the other nodes.
func TestViewsFollowJoinAnnouncementAndLeave(t *testing.T) {
	authority, err := testcerts.NewAuthority()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first := startNode(t, authority, "n0")
	assert.NilError(t, first.members.Join(ctx, nil))
	nodes := []*node{first}
	names := []string{"n0"}
	for i := 1; i < 5; i++ {
		instance := fmt.Sprintf("n%d", i)
		n := startNode(t, authority, instance, first.transport.Address())
		assert.NilError(t, n.members.Join(ctx, []string{first.transport.Address()}))
		nodes, names = append(nodes, n), append(names, instance)
	}
	for _, n := range nodes {
		poll.WaitOn(t, viewHolds(n, names...), poll.WithTimeout(testTimeout))
	}
	nodes[4].members.AnnounceTarget(membership.Target{ID: "x", Service: "s", State: membership.Ready, Slots: 6})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if endpoints := first.members.View().Endpoints(); len(endpoints) == 1 && endpoints[0].ID == "x" {
			return poll.Success()
		}
		return poll.Continue("no endpoint")
	}, poll.WithTimeout(testTimeout))
	assert.NilError(t, nodes[2].members.Leave(ctx))
	nodes[2].stop()
	names = slices.Delete(names, 2, 3)
	nodes = slices.Delete(nodes, 2, 3)
	for _, n := range nodes {
		poll.WaitOn(t, viewHolds(n, names...), poll.WithTimeout(testTimeout))
	}
}

// A node whose only seed is unreachable must start standalone instead of waiting
// for the seed forever.
func TestJoinStartsStandaloneWhenSeedIsDead(t *testing.T) {
	authority, err := testcerts.NewAuthority()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	dead := startNode(t, authority, "dead")
	address := dead.transport.Address()
	dead.stop()
	n := startNode(t, authority, "n0", address)
	assert.NilError(t, n.members.Join(ctx, []string{address}))
	poll.WaitOn(t, viewHolds(n, "n0"), poll.WithTimeout(testTimeout))
}

// Two nodes that started standalone must merge if one is a seed of the other.
func TestStandaloneNodesMerge(t *testing.T) {
	authority, err := testcerts.NewAuthority()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first := startNode(t, authority, "n0")
	second := startNode(t, authority, "n1", first.transport.Address())
	for _, n := range []*node{first, second} {
		assert.NilError(t, n.members.Join(ctx, nil))
	}
	for _, n := range []*node{first, second} {
		poll.WaitOn(t, viewHolds(n, "n0", "n1"), poll.WithTimeout(testTimeout))
	}
}

// 16 nodes that start at the same time, seeds included, must form one fleet.
func TestSimultaneousStartConverges(t *testing.T) {
	authority, err := testcerts.NewAuthority()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first, second := startNode(t, authority, "n00"), startNode(t, authority, "n01")
	seeds := []string{first.transport.Address(), second.transport.Address()}
	nodes, names := []*node{first, second}, []string{"n00", "n01"}
	for i := 2; i < 16; i++ {
		instance := fmt.Sprintf("n%02d", i)
		nodes, names = append(nodes, startNode(t, authority, instance, seeds...)), append(names, instance)
	}
	var joins sync.WaitGroup
	for _, n := range nodes {
		joins.Go(func() { assert.Check(t, n.members.Join(ctx, seeds)) })
	}
	joins.Wait()
	for _, n := range nodes {
		poll.WaitOn(t, viewHolds(n, names...), poll.WithTimeout(testTimeout))
	}
}
