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

// fleet is a set of nodes in one process. Messages are function calls, gossip items
// reach all nodes at once, and the fake platform is served over loopback.
type fleet struct {
	t            testing.TB
	fakePlatform *teststore.Store
	url          string

	mu    sync.Mutex
	nodes []*node
	// unreachable holds the addresses that cannot be reached.
	unreachable map[string]bool
	// payloadBytes counts the payload bytes of messages between nodes, before
	// compression.
	payloadBytes atomic.Int64
}

type node struct {
	*distribution.Service
	fleet         *fleet
	address       string
	countingStore *platform.InstrumentedStore
	eventLog      *timeline.EventLog
	stop          func()

	mu                sync.Mutex
	items             map[string][]byte
	activatedVersions []uint64
}

func newFleet(t testing.TB) *fleet {
	fakePlatform := teststore.New()
	fakePlatform.BookmarkInterval = 20 * time.Millisecond
	server := httptest.NewServer(fakePlatform)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &fleet{t: t, fakePlatform: fakePlatform, url: server.URL, unreachable: make(map[string]bool)}
}

// add starts a node; configure may modify its options.
func (f *fleet) add(configure func(*distribution.Options)) *node {
	f.t.Helper()
	client, err := objectapi.New(objectapi.Options{BaseURL: f.url, WatchIdleTimeout: 500 * time.Millisecond})
	assert.NilError(f.t, err)
	f.mu.Lock()
	address := fmt.Sprintf("node-%d", len(f.nodes))
	f.mu.Unlock()
	n := &node{fleet: f, address: address, items: make(map[string][]byte), countingStore: platform.NewInstrumentedStore(client, nil)}
	n.eventLog = timeline.NewEventLog(timeline.NewClock(time.Now), timeline.Origin{Instance: address}, nil)
	o := distribution.Options{
		Store: n.countingStore, Requester: f, Publisher: n, Instance: address, Region: "a", Timeline: n.eventLog,
		Peers:         func() []string { return f.peers(address) },
		LeaseDuration: 2 * time.Second, RenewInterval: 100 * time.Millisecond,
	}
	if configure != nil {
		configure(&o)
	}
	n.Service, err = distribution.New(o)
	assert.NilError(f.t, err)
	n.OnActivate(func(s *dynamic.Snapshot) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.activatedVersions = append(n.activatedVersions, s.Version())
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

func asReaderCandidate(o *distribution.Options) { o.IsReaderCandidate = func() bool { return true } }

// peers returns up to 6 other nodes, which is the number of gossip neighbours of a
// node.
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

func (f *fleet) setUnreachable(address string, isUnreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[address] = isUnreachable
}

// Request implements transport.Requester.
func (f *fleet) Request(ctx context.Context, address string, _ transport.Kind, payload []byte) ([]byte, error) {
	f.mu.Lock()
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.address == address })
	if i < 0 || f.unreachable[address] {
		f.mu.Unlock()
		return nil, errors.New("unreachable")
	}
	n := f.nodes[i]
	f.mu.Unlock()
	reply, err := n.HandleMessage(ctx, transport.Peer{}, payload)
	f.payloadBytes.Add(int64(len(payload) + len(reply)))
	return reply, err
}

// Publish implements gossip.Publisher.
func (n *node) Publish(item gossip.Item) {
	n.fleet.mu.Lock()
	nodes := slices.Clone(n.fleet.nodes)
	if n.fleet.unreachable[n.address] {
		nodes = []*node{n}
	}
	n.fleet.mu.Unlock()
	for _, other := range nodes {
		n.fleet.mu.Lock()
		isUnreachable := n.fleet.unreachable[other.address] && other != n
		n.fleet.mu.Unlock()
		if isUnreachable {
			continue
		}
		other.receive(item)
		// As in an anti-entropy sync, the sender receives the item if the merge kept a
		// higher one.
		if other != n {
			n.receive(gossip.Item{Topic: item.Topic, Key: item.Key, Payload: other.item(item.Key)})
		}
	}
}

func (n *node) item(key string) []byte {
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

// activated returns the versions that became active, in order.
func (n *node) activated() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.activatedVersions)
}

// recorded reports whether the timeline of the node holds an event of this kind.
func (n *node) recorded(kind timeline.Kind) bool {
	return slices.ContainsFunc(n.eventLog.Events(), func(e timeline.Event) bool { return e.Kind == kind })
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

// awaitVersion waits until the version is active on the nodes and their callbacks have
// run: the version can be read a moment before the callbacks run.
func (f *fleet) awaitVersion(version uint64, nodes ...*node) {
	f.t.Helper()
	for _, n := range nodes {
		f.await(fmt.Sprintf("%s to reach version %d", n.address, version), func() bool {
			activated := n.activated()
			return n.Version() >= version && len(activated) > 0 && activated[len(activated)-1] >= version
		})
	}
}

// config returns a configuration with this number of services; serviceVersion makes the
// content of the first one distinct.
func config(services int, serviceVersion string) dynamic.Config {
	c := dynamic.Config{Departments: []dynamic.Department{{Name: "sales", PromisedShare: 0.99, Period: time.Hour}}}
	plan := dynamic.Plan{Name: "gold"}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		s := dynamic.Service{
			Name: name, Version: "v1",
			Routes: []dynamic.Route{{Name: "all", Methods: []string{"GET"}, PathPrefix: "/", Department: "sales"}},
		}
		if i == 0 {
			s.Version = serviceVersion
		}
		c.Services = append(c.Services, s)
		plan.Services = append(plan.Services, dynamic.Entitlement{Service: name})
	}
	c.Plans = []dynamic.Plan{plan}
	c.Customers = []dynamic.Customer{{Name: "alice", Plan: "gold", KeyDigests: []string{dynamic.SHA256Hex([]byte("k"))}}}
	return c
}

func change(id string, base uint64, serviceVersion string) distribution.ApplyRequest {
	return distribution.ApplyRequest{Config: config(3, serviceVersion), ChangeID: id, BaseVersion: base}
}
