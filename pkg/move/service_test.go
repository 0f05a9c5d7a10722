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

func config(t *testing.T, move *dynamic.Move) *dynamic.Snapshot {
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

// cluster is nodes that share a virtual clock and reach each other in memory.
type cluster struct {
	t        *testing.T
	mu       sync.Mutex
	now      time.Time
	snapshot *dynamic.Snapshot
	members  []membership.Member
	nodes    map[string]*node
	cut      map[string]bool // nodes that neither send nor receive
	store    platform.Store
}

type node struct {
	*Service
	cluster  *cluster
	name     string
	items    map[string][]byte
	barriers chan struct{}
}

func newCluster(t *testing.T, versions map[string]string, snapshot *dynamic.Snapshot, store platform.Store) *cluster {
	c := &cluster{t: t, now: epoch, snapshot: snapshot, nodes: map[string]*node{}, cut: map[string]bool{}, store: store}
	for i := range len(versions) {
		name := fmt.Sprintf("n%d", i)
		c.members = append(c.members, membership.Member{
			Instance: name, Address: name, State: membership.Alive,
			Targets: []membership.Target{{Service: "stock", Version: versions[name], Slots: 6, State: membership.Ready}},
		})
		c.start(name)
	}
	return c
}

func (c *cluster) start(name string) {
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

// decider returns the name of the node that decides.
func (c *cluster) decider() string {
	reporters, _ := capacity(c.view("n0"), c.snapshot.Config().Services[0])
	return choose("stock", reporters.Reporters)
}

// kill takes a node out of the member table.
func (c *cluster) kill(name string) {
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
	if n.cluster.cut[n.name] || n.cluster.cut[address] || n.cluster.nodes[address] == nil {
		return nil, eris.New("unreachable")
	}
	return n.cluster.nodes[address].HandleMessage(ctx, transport.Peer{Instance: n.name}, payload)
}

// Publish implements gossip.Publisher by flooding at once.
func (n *node) Publish(item gossip.Item) {
	for _, other := range n.cluster.nodes {
		if other != n && (n.cluster.cut[n.name] || n.cluster.cut[other.name]) {
			continue
		}
		go other.OnItem(item)
	}
}

// Record implements reducer.Recorder. A recorded barrier shows that the loop
// has applied all earlier events.
func (n *node) Record(entry reducer.RecordedEvent[Event]) {
	if entry.Event.Service == "barrier" {
		n.barriers <- struct{}{}
	}
}

func (n *node) settle() {
	n.loop.Submit(context.Background(), Event{Service: "barrier", Desired: &DesiredMove{}})
	<-n.barriers
}

// second advances the clock by one period, in which traffic is observed.
func (c *cluster) second(traffic func(n *node, version string)) {
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
				n.statusStore.work(context.Background())
			}
			n.settle()
		}
	}
}

func (n *node) calls(version string, status, count int) {
	for range count {
		n.Observe(observation.Call{
			Reporter: observation.ReporterTargetNode, Service: "stock", Route: "check", Department: "sales",
			Version: version, Status: status, Latency: 10 * time.Millisecond,
		})
	}
}

// share returns how many of count calls go to the new version at a node.
func (n *node) share(version string, count int) int {
	share := n.TrafficSplits()["stock"].Share
	if version == "v1" {
		share = ShareDenominator - share
	}
	return (count*share + ShareDenominator - 1) / ShareDenominator
}

// traffic gives each node 100 calls a second at its version's share; calls on
// v2 have the status that status returns.
func (c *cluster) traffic(seconds int, status func() int) {
	for range seconds {
		c.second(func(n *node, version string) {
			answer := 200
			if version == "v2" {
				answer = status()
			}
			n.calls(version, answer, n.share(version, 100))
		})
	}
}

func always(status int) func() int { return func() int { return status } }

func TestServiceCarriesOutMove(t *testing.T) {
	versions := map[string]string{"n0": "v1", "n1": "v1", "n2": "v2", "n3": "v2"}
	for _, test := range []struct {
		guards string
		run    func(c *cluster)
		phase  Phase
		share  int
	}{
		{"a good version that never finishes", func(c *cluster) { c.traffic(200, always(200)) }, PhaseDone, ShareDenominator},
		{"a bad version that keeps traffic", func(c *cluster) { c.traffic(30, always(500)) }, PhaseRolledBack, 0},
		{"a move that ends with its decider", func(c *cluster) {
			c.traffic(60, always(200))
			c.kill(c.decider())
			c.traffic(180, always(200))
		}, PhaseDone, ShareDenominator},
		{"badness that nobody judges while the decider is cut off", func(c *cluster) {
			c.traffic(90, always(200))
			c.cut[c.decider()] = true
			c.traffic(15, always(500))
			for name, n := range c.nodes {
				poll.WaitOn(c.t, func(poll.LogT) poll.Result {
					if states := n.MoveStates(); !c.cut[name] && states[0].Phase != PhaseRolledBack {
						return poll.Continue("%s has %+v", name, states)
					}
					return poll.Success()
				}, poll.WithDelay(time.Millisecond))
			}
			c.cut = map[string]bool{}
			c.traffic(1, always(500))
		}, PhaseRolledBack, 0},
		{"reports that are lost while links are down for a moment", func(c *cluster) {
			c.traffic(60, always(200))
			c.cut["n2"] = true
			c.traffic(4, always(500))
			c.cut = map[string]bool{}
			c.traffic(5, always(200))
		}, PhaseRolledBack, 0},
		{"a taken-back version that returns after all nodes were replaced", func(c *cluster) {
			c.traffic(30, always(500))
			for name := range c.nodes {
				c.start(name)
			}
			c.traffic(60, always(200))
		}, PhaseRolledBack, 0},
		{"a decider whose target leaves and that takes the move back", func(c *cluster) {
			c.traffic(60, always(200))
			for i, m := range c.members {
				if m.Instance == c.decider() {
					c.members[i].Targets = []membership.Target{{Service: "other"}}
					break
				}
			}
			c.traffic(180, always(200))
		}, PhaseDone, ShareDenominator},
		{"a canceled move that keeps traffic", func(c *cluster) {
			c.traffic(60, always(200))
			c.snapshot = config(c.t, &dynamic.Move{ToVersion: "v2", FinishBy: epoch.Add(3 * time.Minute), Canceled: true})
			c.traffic(2, always(200))
		}, PhaseRolledBack, 0},
	} {
		t.Run(test.guards, func(t *testing.T) {
			move := &dynamic.Move{ToVersion: "v2", FinishBy: epoch.Add(3 * time.Minute)}
			c := newCluster(t, versions, config(t, move), memorystore.New())
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

// Guards against a status that is lost in an outage, that spends the platform's
// writes, or that an older state overwrites.
func TestStatusIsWrittenWithinBudget(t *testing.T) {
	now, store := epoch, memorystore.New()
	a, b := newStatusStore(store, func() time.Time { return now }), newStatusStore(store, func() time.Time { return now })
	store.SetUnavailable(true)
	for i := range 600 {
		now = now.Add(time.Second)
		store.SetUnavailable(i < 100)
		a.put(State{Service: "stock", To: "v2", Phase: PhaseRunning, Sequence: uint64(i + 1)})
		a.work(t.Context())
	}
	assert.Assert(t, store.WriteCount() <= 51 && store.WriteCount() >= 45, "%d writes in 500 s", store.WriteCount())
	b.put(State{Service: "stock", To: "v2", Phase: PhaseRolledBack})
	b.work(t.Context())
	now = now.Add(writeInterval)
	a.put(State{Service: "stock", To: "v2", Phase: PhaseRunning, Sequence: 1000})
	a.work(t.Context())
	var restored RestoreResult
	a.load("stock", func(r RestoreResult) { restored = r })
	a.work(t.Context())
	assert.Equal(t, len(restored.States), 1)
	assert.Equal(t, restored.States[0].Phase, PhaseRolledBack)
}

// Guards against a request path that pays for locks or allocations.
func BenchmarkObserve(b *testing.B) {
	move := &dynamic.Move{ToVersion: "v2", FinishBy: epoch}
	snapshot, err := dynamic.Compile(dynamic.Manifest{}, dynamic.Config{
		Services:    []dynamic.Service{{Name: "stock", Version: "v1", Move: move}},
		Departments: []dynamic.Department{{Name: "sales", Success: dynamic.Success{Statuses: []string{"2xx"}}}},
	})
	assert.NilError(b, err)
	r := newReporter()
	r.use(snapshot)
	call := observation.Call{Reporter: observation.ReporterTargetNode, Service: "stock", Route: "check", Department: "sales", Version: "v1", Status: 200}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.observe(call)
		}
	})
}
