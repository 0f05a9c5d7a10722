package move

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/memorystore"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newSnapshot(t *testing.T, move *dynamic.Move) *dynamic.Snapshot {
	t.Helper()
	snapshot, err := dynamic.Compile(dynamic.Manifest{Version: 1}, dynamic.Config{
		Services: []dynamic.Service{{
			Name: "stock", Version: "v1", Move: move,
			Routes: []dynamic.Route{{Name: "check", Department: "sales"}},
		}},
		Departments: []dynamic.Department{{
			Name: "sales", Success: dynamic.Success{Statuses: []string{"2xx", "404"}, MaxLatency: 100 * time.Millisecond},
		}},
	})
	assert.NilError(t, err)
	return snapshot
}

// cluster holds nodes that share a virtual clock and communicate in memory.
type cluster struct {
	t           *testing.T
	mu          sync.Mutex
	now         time.Time
	snapshot    *dynamic.Snapshot
	members     []membership.Member
	nodes       map[string]*node
	partitioned map[string]bool // nodes that neither send nor receive
	store       platform.Store
}

type node struct {
	*Service
	cluster  *cluster
	name     string
	items    map[string][]byte
	barriers chan struct{}
}

func newCluster(t *testing.T, versions map[string]string, snapshot *dynamic.Snapshot, store platform.Store) *cluster {
	c := &cluster{t: t, now: epoch, snapshot: snapshot, nodes: map[string]*node{}, partitioned: map[string]bool{}, store: store}
	for i := range len(versions) {
		name := fmt.Sprintf("n%d", i)
		c.members = append(c.members, membership.Member{
			Instance: name, Address: name, State: membership.Alive,
			Targets: []membership.Target{{Service: "stock", Version: versions[name], Slots: 6, State: membership.Ready}},
		})
		c.startNode(name)
	}
	return c
}

func (c *cluster) startNode(name string) {
	n := &node{cluster: c, name: name, items: map[string][]byte{}, barriers: make(chan struct{})}
	n.Service = New(Options{
		Instance: name, Snapshot: func() *dynamic.Snapshot { return c.snapshot }, View: func() *membership.View { return c.view(name) },
		Requester: n, Publisher: n, Now: c.clock, Recorder: n, Store: c.store,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.loop.Run(ctx) }()
	c.t.Cleanup(func() { cancel(); <-done })
	c.nodes[name] = n
}

// decider returns the name of the elected decider.
func (c *cluster) decider() string {
	reporters, _ := serviceCapacity(c.view("n0"), c.snapshot.Config().Services[0])
	return electDecider("stock", reporters.Reporters)
}

// markDead removes a node and marks it as dead in the member table.
func (c *cluster) markDead(name string) {
	delete(c.nodes, name)
	for i := range c.members {
		if c.members[i].Instance == name {
			c.members[i].State = membership.Dead
		}
	}
}

func (c *cluster) clock() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.now }

func (c *cluster) view(name string) *membership.View {
	v := &membership.View{}
	for _, m := range c.members {
		if m.Instance == name {
			v.Self = m
		}
		if m.State == membership.Alive {
			v.Members = append(v.Members, m)
		}
	}
	return v
}

// Request implements transport.Requester.
func (n *node) Request(ctx context.Context, address string, _ transport.Kind, payload []byte) ([]byte, error) {
	if n.cluster.partitioned[n.name] || n.cluster.partitioned[address] || n.cluster.nodes[address] == nil {
		return nil, eris.New("unreachable")
	}
	return n.cluster.nodes[address].HandleMessage(ctx, transport.Peer{Instance: n.name}, payload)
}

// Publish implements gossip.Publisher. It sends the item to all nodes at once.
func (n *node) Publish(item gossip.Item) {
	for _, other := range n.cluster.nodes {
		if other != n && (n.cluster.partitioned[n.name] || n.cluster.partitioned[other.name]) {
			continue
		}
		go other.OnItem(item)
	}
}

// Record implements reducer.Recorder. A recorded barrier event shows that the loop
// has applied all earlier events.
func (n *node) Record(entry reducer.RecordedEvent[Event]) {
	if entry.Event.Service == "barrier" {
		n.barriers <- struct{}{}
	}
}

func (n *node) waitForLoop() {
	n.loop.Submit(context.Background(), Event{Service: "barrier", Desired: &DesiredMove{}})
	<-n.barriers
}

// runSecond advances the clock by one period and lets each node observe traffic in
// it.
func (c *cluster) runSecond(traffic func(n *node, version string)) {
	for _, m := range c.members {
		if n := c.nodes[m.Instance]; n != nil && m.State == membership.Alive {
			traffic(n, m.Targets[0].Version)
		}
	}
	c.mu.Lock()
	c.now = c.now.Add(EvidencePeriod)
	c.mu.Unlock()
	for _, m := range c.members {
		if n := c.nodes[m.Instance]; n != nil {
			n.runPeriod(context.Background(), c.clock())
			if n.options.Store != nil {
				n.statusStore.runPending(context.Background())
			}
			n.waitForLoop()
		}
	}
}

func (n *node) observeCalls(version string, status, count int) {
	for range count {
		n.Observe(observation.Call{
			Reporter: observation.ReporterTargetNode, Service: "stock", Route: "check", Department: "sales",
			Version: version, Status: status, Latency: 10 * time.Millisecond,
		})
	}
}

// trafficShare returns how many of count calls the node sends to version.
func (n *node) trafficShare(version string, count int) int {
	trafficShare := n.TrafficSplits()["stock"].Share
	if version == "v1" {
		trafficShare = ShareDenominator - trafficShare
	}
	return (count*trafficShare + ShareDenominator - 1) / ShareDenominator
}

// runTraffic gives each node its version's share of 100 calls a second. Calls on v2
// get the status that status returns.
func (c *cluster) runTraffic(seconds int, status func() int) {
	for range seconds {
		c.runSecond(func(n *node, version string) {
			code := 200
			if version == "v2" {
				code = status()
			}
			n.observeCalls(version, code, n.trafficShare(version, 100))
		})
	}
}

func withStatus(status int) func() int { return func() int { return status } }

// Several nodes that exchange reports and states must finish a move to a good version
// and roll back one to a bad version, also if the decider dies or is partitioned.
func TestServicesFinishGoodAndRollBackBadVersions(t *testing.T) {
	versions := map[string]string{"n0": "v1", "n1": "v1", "n2": "v2", "n3": "v2"}
	for _, test := range []struct {
		name  string
		run   func(c *cluster)
		phase Phase
		share int
	}{
		{"good version finishes", func(c *cluster) { c.runTraffic(200, withStatus(200)) }, PhaseDone, ShareDenominator},
		{"bad version is rolled back", func(c *cluster) { c.runTraffic(30, withStatus(500)) }, PhaseRolledBack, 0},
		{"move continues when its decider dies", func(c *cluster) {
			c.runTraffic(60, withStatus(200))
			c.markDead(c.decider())
			c.runTraffic(180, withStatus(200))
		}, PhaseDone, ShareDenominator},
		{"failing version is rolled back while the decider is partitioned", func(c *cluster) {
			c.runTraffic(90, withStatus(200))
			c.partitioned[c.decider()] = true
			c.runTraffic(15, withStatus(500))
			for name, n := range c.nodes {
				poll.WaitOn(c.t, func(poll.LogT) poll.Result {
					if states := n.MoveStates(); !c.partitioned[name] && states[0].Phase != PhaseRolledBack {
						return poll.Continue("%s has %+v", name, states)
					}
					return poll.Success()
				}, poll.WithDelay(time.Millisecond))
			}
			c.partitioned = map[string]bool{}
			c.runTraffic(1, withStatus(500))
		}, PhaseRolledBack, 0},
		{"reports are sent again after a short partition", func(c *cluster) {
			c.runTraffic(60, withStatus(200))
			c.partitioned["n2"] = true
			c.runTraffic(4, withStatus(500))
			c.partitioned = map[string]bool{}
			c.runTraffic(5, withStatus(200))
		}, PhaseRolledBack, 0},
		{"rolled back version stays so after all nodes were replaced", func(c *cluster) {
			c.runTraffic(30, withStatus(500))
			for name := range c.nodes {
				c.startNode(name)
			}
			c.runTraffic(60, withStatus(200))
		}, PhaseRolledBack, 0},
		{"move continues when the decider's target leaves", func(c *cluster) {
			c.runTraffic(60, withStatus(200))
			for i, m := range c.members {
				if m.Instance == c.decider() {
					c.members[i].Targets = []membership.Target{{Service: "other"}}
					break
				}
			}
			c.runTraffic(180, withStatus(200))
		}, PhaseDone, ShareDenominator},
		{"canceled move is rolled back", func(c *cluster) {
			c.runTraffic(60, withStatus(200))
			c.snapshot = newSnapshot(c.t, &dynamic.Move{ToVersion: "v2", FinishBy: epoch.Add(3 * time.Minute), Canceled: true})
			c.runTraffic(2, withStatus(200))
		}, PhaseRolledBack, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			move := &dynamic.Move{ToVersion: "v2", FinishBy: epoch.Add(3 * time.Minute)}
			c := newCluster(t, versions, newSnapshot(t, move), memorystore.New())
			test.run(c)
			for name, n := range c.nodes {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if states := n.MoveStates(); len(states) != 1 || states[0].Phase != test.phase {
						return poll.Continue("%s has %+v", name, states)
					}
					if split := n.TrafficSplits()["stock"]; split != (TrafficSplit{From: "v1", To: "v2", Share: test.share}) {
						return poll.Continue("%s has %+v", name, split)
					}
					return poll.Success()
				}, poll.WithDelay(time.Millisecond))
			}
		})
	}
}

// The status must be written after an outage of the platform, at most once per
// minWriteInterval, and an older state must not overwrite a newer one.
func TestStatusStoreLimitsWrites(t *testing.T) {
	now, store := epoch, memorystore.New()
	a, b := newStatusStore(store, func() time.Time { return now }), newStatusStore(store, func() time.Time { return now })
	store.SetUnavailable(true)
	for i := range 600 {
		now = now.Add(time.Second)
		store.SetUnavailable(i < 100)
		a.put(State{Service: "stock", To: "v2", Phase: PhaseRunning, Sequence: uint64(i + 1)})
		a.runPending(t.Context())
	}
	assert.Assert(t, store.WriteCount() <= 51 && store.WriteCount() >= 45, "%d writes in 500 s", store.WriteCount())
	b.put(State{Service: "stock", To: "v2", Phase: PhaseRolledBack})
	b.runPending(t.Context())
	now = now.Add(minWriteInterval)
	a.put(State{Service: "stock", To: "v2", Phase: PhaseRunning, Sequence: 1000})
	a.runPending(t.Context())
	var restored RestoreResult
	a.load("stock", func(r RestoreResult) { restored = r })
	a.runPending(t.Context())
	assert.Equal(t, len(restored.States), 1)
	assert.Equal(t, restored.States[0].Phase, PhaseRolledBack)
}

// BenchmarkObserve measures the request path, which must not lock or allocate.
func BenchmarkObserve(b *testing.B) {
	move := &dynamic.Move{ToVersion: "v2", FinishBy: epoch}
	snapshot, err := dynamic.Compile(dynamic.Manifest{}, dynamic.Config{
		Services:    []dynamic.Service{{Name: "stock", Version: "v1", Move: move}},
		Departments: []dynamic.Department{{Name: "sales", Success: dynamic.Success{Statuses: []string{"2xx"}}}},
	})
	assert.NilError(b, err)
	r := newReporter()
	r.applySnapshot(snapshot)
	call := observation.Call{Reporter: observation.ReporterTargetNode, Service: "stock", Route: "check", Department: "sales", Version: "v1", Status: 200}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.observe(call)
		}
	})
}
