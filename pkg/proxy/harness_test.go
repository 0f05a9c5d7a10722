package proxy

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/testcerts"
	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
)

// opener is a node's QUIC transport, whose new streams wrap may change to break
// them at a chosen point.
type opener struct {
	transport.CallOpener
	fleet *fleet
}

func (o opener) OpenCall(ctx context.Context, address string) (transport.Stream, error) {
	stream, err := o.CallOpener.OpenCall(ctx, address)
	if wrap := o.fleet.wrap.Load(); err == nil && wrap != nil {
		stream = (*wrap)(stream)
	}
	return stream, err
}

// node is an entry and a target side with listeners.
type node struct {
	fleet    *fleet
	name     string
	side     *TargetHandler
	timeline *timeline.EventLog
	// quarantine is not connected to that of other nodes.
	quarantine *quarantine.Registry
	entry      *EntryHandler
	http       *httptest.Server
	local      *httptest.Server
	quic       *transport.Transport
	targets    map[string]membership.Target
	observed   []observation.Call
	mu         sync.Mutex
	// newer is a configuration that only this node has.
	newer atomic.Pointer[dynamic.Snapshot]
}

func (n *node) Observe(call observation.Call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observed = append(n.observed, call)
}

func (n *node) calls(side observation.Reporter) []observation.Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.observed), func(c observation.Call) bool { return c.Reporter != side })
}

func (n *node) AnnounceTarget(target membership.Target, _ string) {
	n.mu.Lock()
	n.targets[target.ID] = target
	n.mu.Unlock()
	n.fleet.rebuild()
}

func (n *node) RemoveTarget(id string) {
	n.mu.Lock()
	delete(n.targets, id)
	n.mu.Unlock()
	n.fleet.rebuild()
}

func (n *node) endpoints() []membership.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	var endpoints []membership.Endpoint
	for _, target := range n.targets {
		endpoints = append(endpoints, membership.Endpoint{
			Target: target, Instance: n.name, Address: n.quic.Address(), Region: "r", FailureDomain: "d",
		})
	}
	return endpoints
}

// fleet is a set of nodes that share one configuration.
type fleet struct {
	t testing.TB
	// wrap changes each new stream of an entry node; nil changes nothing.
	wrap     atomic.Pointer[func(transport.Stream) transport.Stream]
	certs    *testcerts.Authority
	snapshot *dynamic.Snapshot
	shares   move.TrafficSplits
	claimer  IdempotencyClaimer
	progress time.Duration
	mu       sync.Mutex
	nodes    []*node
	builders []*routing.Builder
	tables   []*routing.Table
}

// breakStreams sets wrap.
func (f *fleet) breakStreams(wrap func(transport.Stream) transport.Stream) { f.wrap.Store(&wrap) }

const testGrace = 2 * time.Second

const testKey = "secret"

func testConfig() dynamic.Config {
	routes := []dynamic.Route{
		{Name: "look", Methods: []string{"GET", "HEAD"}, PathPrefix: "/look", Idempotent: true, Deadline: 5 * time.Second, Department: "d"},
		{Name: "pay", Methods: []string{"POST", "GET"}, PathPrefix: "/pay", Deadline: 5 * time.Second, Department: "d"},
		{Name: "secret", Methods: []string{"GET"}, PathPrefix: "/secret", Deadline: 5 * time.Second, Department: "d"},
	}
	return dynamic.Config{
		Customers: []dynamic.Customer{
			{Name: "c", Plan: "p", KeyDigests: []string{dynamic.SHA256Hex([]byte(testKey))}},
			{Name: "limited", Plan: "small", KeyDigests: []string{dynamic.SHA256Hex([]byte("limited"))}},
		},
		Plans: []dynamic.Plan{
			{Name: "p", Services: []dynamic.Entitlement{{Service: "stock", Routes: []string{"look", "pay"}}, {Service: "other"}}},
			{Name: "small", Limits: dynamic.Limits{Concurrency: 1}, Services: []dynamic.Entitlement{{Service: "stock"}}},
		},
		Services:    []dynamic.Service{{Name: "stock", Routes: routes, Version: "v1"}, {Name: "other", Routes: routes, Version: "v1"}},
		Departments: []dynamic.Department{{Name: "d"}},
	}
}

func newFleet(t testing.TB, names ...string) *fleet {
	certs, err := testcerts.NewAuthority()
	assert.NilError(t, err)
	snapshot, err := dynamic.Compile(dynamic.Manifest{Version: 1}, testConfig())
	assert.NilError(t, err)
	f := &fleet{t: t, certs: certs, snapshot: snapshot}
	for _, name := range names {
		f.add(name)
	}
	f.rebuild()
	return f
}

func (f *fleet) add(name string) *node {
	files, err := f.certs.IssueFiles(f.t.TempDir(), name)
	assert.NilError(f.t, err)
	source, err := transport.NewTLSSource(files.CertificatePath, files.KeyPath, files.CAPath)
	assert.NilError(f.t, err)
	quic, err := transport.Listen(transport.Options{ListenAddress: "127.0.0.1:0", TLS: source})
	assert.NilError(f.t, err)
	n := &node{
		timeline:   timeline.NewEventLog(timeline.NewClock(time.Now), timeline.Origin{Instance: name}, nil),
		quarantine: quarantine.New(nil, nil, nil), fleet: f, name: name, quic: quic, targets: make(map[string]membership.Target),
	}
	index := len(f.nodes)
	deps := Options{
		Locality: routing.Locality{Instance: name, Region: "r", FailureDomain: "d"},
		RoutingTable: func() *routing.Table {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.tables[index]
		},
		Snapshot:   func() *dynamic.Snapshot { return cmp.Or(n.newer.Load(), f.snapshot) },
		CallOpener: opener{CallOpener: quic, fleet: f}, Observer: n, Quarantine: n.quarantine,
		Claimer: f.claimer, Timeline: n.timeline,
	}
	n.side = NewTargetHandler(deps)
	n.side.progress = cmp.Or(f.progress, progressTimeout)
	n.entry = NewEntryHandler(deps, n.side)
	// A busy machine may take longer than deadlineGrace to deliver a true verdict.
	n.side.grace, n.entry.grace = testGrace, testGrace
	n.http = httptest.NewServer(n.entry)
	n.local = httptest.NewServer(n.side.AnnouncementHandler(n))
	f.nodes = append(f.nodes, n)
	f.builders = append(f.builders, routing.NewBuilder(nil))
	f.tables = append(f.tables, nil)
	quic.HandleCalls(n.side.ServeCall)
	f.t.Cleanup(func() {
		n.http.Close()
		n.local.Close()
		n.side.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = quic.Close(ctx)
	})
	return n
}

func (f *fleet) rebuild() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []membership.Endpoint
	for _, n := range f.nodes {
		endpoints = append(endpoints, n.endpoints()...)
	}
	for i, n := range f.nodes {
		self := routing.Locality{Instance: n.name, Region: "r", FailureDomain: "d"}
		f.tables[i] = f.builders[i].Build(f.snapshot, endpoints, f.shares, self)
	}
}

// target starts a target beside n and waits until all nodes can choose it.
func (n *node) target(options testtarget.Options, behavior testtarget.Behavior) *testtarget.Target {
	t := n.fleet.t
	options.AnnounceURL, options.CallsURL = n.local.URL, n.http.URL
	if options.ID == "" {
		options.ID = "t-" + n.name
	}
	if options.Service == "" {
		options.Service = "stock"
	}
	if options.Version == "" {
		options.Version = "v1"
	}
	if options.Slots == 0 {
		options.Slots = 8
	}
	target, err := testtarget.Start(options, behavior)
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n.mu.Lock()
		defer n.mu.Unlock()
		if _, ok := n.targets[options.ID]; ok {
			return poll.Success()
		}
		return poll.Continue("target %s is not announced", options.ID)
	}, poll.WithDelay(2*time.Millisecond))
	return target
}

// reply is an answer with its body.
type reply struct {
	*http.Response
	body string
	err  error
}

// do sends a request to n with the test customer's key.
func (n *node) do(method, path string, body io.Reader, headers ...string) reply {
	return n.through(http.DefaultTransport, n.http.URL, method, path, body, headers...)
}

// through sends a request by a client to a base URL.
func (n *node) through(
	client http.RoundTripper, base, method, path string, body io.Reader, headers ...string,
) reply {
	request, err := http.NewRequest(method, base+path, body)
	assert.NilError(n.fleet.t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set(headerService, "stock")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{Response: response, body: string(data), err: err}
}

func (r reply) String() string {
	if r.Response == nil {
		return fmt.Sprintf("error %v", r.err)
	}
	return fmt.Sprintf("%d %s %q %v", r.StatusCode, r.Header.Get(headerVerdict), r.body, r.err)
}
