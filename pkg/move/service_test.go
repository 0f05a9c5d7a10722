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

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/observation"
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
			Name: "sales", Success: dynamic.Success{Statuses: []string{"2xx", "404"}, Latency: 100 * time.Millisecond},
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
}

type node struct {
	*Service
	cluster  *cluster
	name     string
	items    map[string][]byte
	barriers chan struct{}
}

func newCluster(t *testing.T, versions map[string]string, snapshot *dynamic.Snapshot) *cluster {
	c := &cluster{t: t, now: epoch, snapshot: snapshot, nodes: map[string]*node{}, cut: map[string]bool{}}
	for i := range len(versions) {
		name := fmt.Sprintf("n%d", i)
		c.members = append(c.members, membership.Member{
			Instance: name, Address: name, State: membership.Alive,
			Targets: []membership.Target{{Service: "stock", Version: versions[name], Slots: 6, State: membership.Ready}},
		})
		c.nodes[name] = c.start(t, name)
	}
	return c
}

func (c *cluster) start(t *testing.T, name string) *node {
	n := &node{cluster: c, name: name, items: map[string][]byte{}, barriers: make(chan struct{})}
	n.Service = New(Options{
		Instance: name, Snapshot: func() *dynamic.Snapshot { return c.snapshot }, View: func() *membership.View { return c.view(name) },
		Requester: n, Publisher: n, Now: c.clock, Recorder: n,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.loop.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
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
func (n *node) Record(entry reducer.Entry[Event]) {
	if entry.Event.Service == "barrier" {
		n.barriers <- struct{}{}
	}
}

func (n *node) settle() {
	n.loop.Submit(context.Background(), Event{Service: "barrier", Wanted: &Wanted{}})
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
	c.now = c.now.Add(Period)
	c.mu.Unlock()
	for _, m := range c.members {
		if n := c.nodes[m.Instance]; n != nil {
			n.pulse(context.Background(), c.clock())
			n.settle()
		}
	}
}

func (n *node) calls(version string, status, count int) {
	for range count {
		n.Observe(observation.Call{
			Side: observation.Target, Service: "stock", Route: "check", Department: "sales",
			Version: version, Status: status, Latency: 10 * time.Millisecond,
		})
	}
}

// share returns how many of count calls go to the new version at a node.
func (n *node) share(version string, count int) int {
	share := n.Shares()["stock"].Share
	if version == "v1" {
		share = ShareUnit - share
	}
	return (count*share + ShareUnit - 1) / ShareUnit
}

func TestServiceCarriesOutMove(t *testing.T) {
	versions := map[string]string{"n0": "v1", "n1": "v1", "n2": "v2", "n3": "v2"}
	for _, test := range []struct {
		guards string
		status int
		phase  Phase
		share  int
	}{
		{"a good version that never finishes", 200, Done, ShareUnit},
		{"a bad version that keeps traffic", 500, TakenBack, 0},
	} {
		t.Run(test.guards, func(t *testing.T) {
			move := &dynamic.Move{To: "v2", FinishBy: epoch.Add(3 * time.Minute)}
			c := newCluster(t, versions, config(t, move))
			for range 240 {
				c.second(func(n *node, version string) {
					status := 200
					if version == "v2" {
						status = test.status
					}
					n.calls(version, status, n.share(version, 100))
				})
			}
			for name, n := range c.nodes {
				states := n.States()
				assert.Equal(t, len(states), 1, name)
				assert.Equal(t, states[0].Phase, test.phase, states[0].Reason)
				assert.Equal(t, n.Shares()["stock"], Split{From: "v1", To: "v2", Share: test.share})
			}
		})
	}
}
