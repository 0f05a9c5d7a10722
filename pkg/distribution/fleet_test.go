package distribution_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/platform/objectapi"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fleet is a set of nodes in one process. Messages are function calls, and items
// spread at once to all nodes; the platform is served over loopback.
type fleet struct {
	t       testing.TB
	backend *teststore.Store
	url     string

	mu    sync.Mutex
	nodes []*node
	// cut holds addresses that cannot be reached.
	cut map[string]bool
	// bytes counts the payloads of messages between nodes, before compression.
	bytes atomic.Int64
}

type node struct {
	*distribution.Service
	fleet   *fleet
	address string
	counted *platform.InstrumentedStore
	log     *timeline.EventLog
	stop    func()

	mu      sync.Mutex
	items   map[string][]byte
	history []uint64
}

func newFleet(t testing.TB) *fleet {
	backend := teststore.New()
	backend.BookmarkInterval = 20 * time.Millisecond
	server := httptest.NewServer(backend)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &fleet{t: t, backend: backend, url: server.URL, cut: make(map[string]bool)}
}

// add starts a node; change may alter its options.
func (f *fleet) add(change func(*distribution.Options)) *node {
	f.t.Helper()
	client, err := objectapi.New(objectapi.Options{BaseURL: f.url, WatchIdleTimeout: 500 * time.Millisecond})
	assert.NilError(f.t, err)
	f.mu.Lock()
	address := fmt.Sprintf("node-%d", len(f.nodes))
	f.mu.Unlock()
	n := &node{fleet: f, address: address, items: make(map[string][]byte), counted: platform.NewInstrumentedStore(client, nil)}
	n.log = timeline.NewEventLog(timeline.NewClock(time.Now), timeline.Origin{Instance: address}, nil)
	o := distribution.Options{
		Store: n.counted, Requester: f, Publisher: n, Instance: address, Region: "a", Timeline: n.log,
		Peers:         func() []string { return f.peers(address) },
		LeaseDuration: 2 * time.Second, RenewInterval: 100 * time.Millisecond,
	}
	if change != nil {
		change(&o)
	}
	n.Service, err = distribution.New(o)
	assert.NilError(f.t, err)
	n.OnActivate(func(s *dynamic.Snapshot) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.history = append(n.history, s.Version())
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		client.Close()
	})
	f.t.Cleanup(n.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n
}

func reader(o *distribution.Options) { o.IsReaderCandidate = func() bool { return true } }

// peers returns up to 6 other nodes, as many as the overlay gives neighbours.
func (f *fleet) peers(except string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []string
	for _, i := range rand.Perm(len(f.nodes)) {
		if n := f.nodes[i]; n.address != except && len(peers) < 6 {
			peers = append(peers, n.address)
		}
	}
	return peers
}

func (f *fleet) setCut(address string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[address] = cut
}

// Request implements transport.Requester.
func (f *fleet) Request(ctx context.Context, address string, _ transport.Kind, payload []byte) ([]byte, error) {
	f.mu.Lock()
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.address == address })
	if i < 0 || f.cut[address] {
		f.mu.Unlock()
		return nil, errors.New("unreachable")
	}
	n := f.nodes[i]
	f.mu.Unlock()
	reply, err := n.HandleMessage(ctx, transport.Peer{}, payload)
	f.bytes.Add(int64(len(payload) + len(reply)))
	return reply, err
}

// Publish implements gossip.Publisher.
func (n *node) Publish(item gossip.Item) {
	n.fleet.mu.Lock()
	nodes := slices.Clone(n.fleet.nodes)
	if n.fleet.cut[n.address] {
		nodes = []*node{n}
	}
	n.fleet.mu.Unlock()
	for _, other := range nodes {
		n.fleet.mu.Lock()
		cut := n.fleet.cut[other.address] && other != n
		n.fleet.mu.Unlock()
		if cut {
			continue
		}
		other.receive(item)
		// What anti-entropy does: the sender learns of an item that won.
		if other != n {
			n.receive(gossip.Item{Topic: item.Topic, Key: item.Key, Payload: other.held(item.Key)})
		}
	}
}

func (n *node) held(key string) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.items[key]
}

func (n *node) receive(item gossip.Item) {
	n.mu.Lock()
	merged, err := distribution.MergeAnnouncements(n.items[item.Key], item.Payload)
	changed := err == nil && !slices.Equal(merged, n.items[item.Key])
	n.items[item.Key] = merged
	n.mu.Unlock()
	if changed {
		n.OnConfigItem(gossip.Item{Topic: item.Topic, Key: item.Key, Payload: merged})
	}
}

// activated returns the versions that came into force, in order.
func (n *node) activated() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.history)
}

// recorded reports whether the node's timeline holds an event of a kind.
func (n *node) recorded(kind timeline.Kind) bool {
	return slices.ContainsFunc(n.log.Events(), func(e timeline.Event) bool { return e.Kind == kind })
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(time.Minute))
}

// awaitVersion waits until the nodes have a version in force and have told so:
// a version can be read a moment before the callbacks run.
func (f *fleet) awaitVersion(version uint64, nodes ...*node) {
	f.t.Helper()
	for _, n := range nodes {
		f.await(fmt.Sprintf("%s to reach version %d", n.address, version), func() bool {
			told := n.activated()
			return n.Version() >= version && len(told) > 0 && told[len(told)-1] >= version
		})
	}
}

// config returns a configuration with some services; each mark makes other content.
func config(services int, mark string) dynamic.Config {
	c := dynamic.Config{Departments: []dynamic.Department{{Name: "sales", PromisedShare: 0.99, Period: time.Hour}}}
	plan := dynamic.Plan{Name: "gold"}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		s := dynamic.Service{
			Name: name, Version: "v1",
			Routes: []dynamic.Route{{Name: "all", Methods: []string{"GET"}, PathPrefix: "/", Department: "sales"}},
		}
		if i == 0 {
			s.Version = mark
		}
		c.Services = append(c.Services, s)
		plan.Services = append(plan.Services, dynamic.Entitlement{Service: name})
	}
	c.Plans = []dynamic.Plan{plan}
	c.Customers = []dynamic.Customer{{Name: "alice", Plan: "gold", KeyDigests: []string{dynamic.SHA256Hex([]byte("k"))}}}
	return c
}

func change(id string, base uint64, mark string) distribution.ApplyRequest {
	return distribution.ApplyRequest{Config: config(3, mark), ChangeID: id, BaseVersion: base}
}
