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

// streamWrappingOpener is a node's QUIC transport. The fleet's streamWrapper may wrap
// its new streams, for example to break them.
type streamWrappingOpener struct {
	transport.CallOpener
	fleet *fleet
}

func (o streamWrappingOpener) OpenCall(ctx context.Context, address string) (transport.Stream, error) {
	stream, err := o.CallOpener.OpenCall(ctx, address)
	if wrap := o.fleet.streamWrapper.Load(); err == nil && wrap != nil {
		stream = (*wrap)(stream)
	}
	return stream, err
}

// node is an EntryHandler and a TargetHandler with their listeners.
type node struct {
	fleet         *fleet
	name          string
	targetHandler *TargetHandler
	timeline      *timeline.EventLog
	// quarantine shares nothing with the registries of other nodes.
	quarantine     *quarantine.Registry
	entryHandler   *EntryHandler
	callServer     *httptest.Server
	announceServer *httptest.Server
	quicTransport  *transport.Transport
	targets        map[string]membership.Target
	observedCalls  []observation.Call
	mu             sync.Mutex
	// newerSnapshot is a configuration that only this node has; nil for none.
	newerSnapshot atomic.Pointer[dynamic.Snapshot]
}

func (n *node) Observe(call observation.Call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observedCalls = append(n.observedCalls, call)
}

func (n *node) callsReportedBy(reporter observation.Reporter) []observation.Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.observedCalls), func(c observation.Call) bool { return c.Reporter != reporter })
}

func (n *node) AnnounceTarget(target membership.Target, _ string) {
	n.mu.Lock()
	n.targets[target.ID] = target
	n.mu.Unlock()
	n.fleet.rebuildTables()
}

func (n *node) RemoveTarget(id string) {
	n.mu.Lock()
	delete(n.targets, id)
	n.mu.Unlock()
	n.fleet.rebuildTables()
}

func (n *node) endpoints() []membership.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	var endpoints []membership.Endpoint
	for _, target := range n.targets {
		endpoints = append(endpoints, membership.Endpoint{
			Target: target, Instance: n.name, Address: n.quicTransport.Address(), Region: "r", FailureDomain: "d",
		})
	}
	return endpoints
}

// fleet is a set of nodes that share one configuration.
type fleet struct {
	t testing.TB
	// streamWrapper wraps each new stream of an entry node; nil wraps none.
	streamWrapper   atomic.Pointer[func(transport.Stream) transport.Stream]
	certs           *testcerts.Authority
	snapshot        *dynamic.Snapshot
	trafficSplits   move.TrafficSplits
	claimer         IdempotencyClaimer
	progressTimeout time.Duration
	mu              sync.Mutex
	nodes           []*node
	builders        []*routing.Builder
	tables          []*routing.Table
}

// wrapStreams sets streamWrapper.
func (f *fleet) wrapStreams(wrap func(transport.Stream) transport.Stream) {
	f.streamWrapper.Store(&wrap)
}

const testDeadlineGrace = 2 * time.Second

const testCustomerKey = "secret"

func testConfig() dynamic.Config {
	routes := []dynamic.Route{
		{Name: "look", Methods: []string{"GET", "HEAD"}, PathPrefix: "/look", Idempotent: true, Deadline: 5 * time.Second, Department: "d"},
		{Name: "pay", Methods: []string{"POST", "GET"}, PathPrefix: "/pay", Deadline: 5 * time.Second, Department: "d"},
		{Name: "secret", Methods: []string{"GET"}, PathPrefix: "/secret", Deadline: 5 * time.Second, Department: "d"},
	}
	return dynamic.Config{
		Customers: []dynamic.Customer{
			{Name: "c", Plan: "p", KeyDigests: []string{dynamic.SHA256Hex([]byte(testCustomerKey))}},
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
		f.addNode(name)
	}
	f.rebuildTables()
	return f
}

func (f *fleet) addNode(name string) *node {
	files, err := f.certs.IssueFiles(f.t.TempDir(), name)
	assert.NilError(f.t, err)
	source, err := transport.NewTLSSource(files.CertificatePath, files.KeyPath, files.CAPath)
	assert.NilError(f.t, err)
	quicTransport, err := transport.Listen(transport.Options{ListenAddress: "127.0.0.1:0", TLS: source})
	assert.NilError(f.t, err)
	n := &node{
		timeline:   timeline.NewEventLog(timeline.NewClock(time.Now), timeline.Origin{Instance: name}, nil),
		quarantine: quarantine.New(nil, nil, nil), fleet: f, name: name, quicTransport: quicTransport, targets: make(map[string]membership.Target),
	}
	index := len(f.nodes)
	options := Options{
		Locality: routing.Locality{Instance: name, Region: "r", FailureDomain: "d"},
		RoutingTable: func() *routing.Table {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.tables[index]
		},
		Snapshot:   func() *dynamic.Snapshot { return cmp.Or(n.newerSnapshot.Load(), f.snapshot) },
		CallOpener: streamWrappingOpener{CallOpener: quicTransport, fleet: f}, Observer: n, Quarantine: n.quarantine,
		Claimer: f.claimer, Timeline: n.timeline,
	}
	n.targetHandler = NewTargetHandler(options)
	n.targetHandler.progressTimeout = cmp.Or(f.progressTimeout, progressTimeout)
	n.entryHandler = NewEntryHandler(options, n.targetHandler)
	// On a busy instance, the target node's verdict may take longer than deadlineGrace.
	n.targetHandler.deadlineGrace, n.entryHandler.deadlineGrace = testDeadlineGrace, testDeadlineGrace
	n.callServer = httptest.NewServer(n.entryHandler)
	n.announceServer = httptest.NewServer(n.targetHandler.AnnouncementHandler(n))
	f.nodes = append(f.nodes, n)
	f.builders = append(f.builders, routing.NewBuilder(nil))
	f.tables = append(f.tables, nil)
	quicTransport.HandleCalls(n.targetHandler.ServeCall)
	f.t.Cleanup(func() {
		n.callServer.Close()
		n.announceServer.Close()
		n.targetHandler.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = quicTransport.Close(ctx)
	})
	return n
}

func (f *fleet) rebuildTables() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []membership.Endpoint
	for _, n := range f.nodes {
		endpoints = append(endpoints, n.endpoints()...)
	}
	for i, n := range f.nodes {
		self := routing.Locality{Instance: n.name, Region: "r", FailureDomain: "d"}
		f.tables[i] = f.builders[i].Build(f.snapshot, endpoints, f.trafficSplits, self)
	}
}

// newTarget starts a local target of n and waits until all nodes can choose it.
func (n *node) newTarget(options testtarget.Options, behavior testtarget.Behavior) *testtarget.Target {
	t := n.fleet.t
	options.AnnounceURL, options.CallsURL = n.announceServer.URL, n.callServer.URL
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
	newTarget, err := testtarget.Start(options, behavior)
	assert.NilError(t, err)
	t.Cleanup(newTarget.Close)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n.mu.Lock()
		defer n.mu.Unlock()
		if _, ok := n.targets[options.ID]; ok {
			return poll.Success()
		}
		return poll.Continue("target %s is not announced", options.ID)
	}, poll.WithDelay(2*time.Millisecond))
	return newTarget
}

// callResponse is a response with its body, or the error of the call.
type callResponse struct {
	*http.Response
	body string
	err  error
}

// send sends a request to n with the key of the test customer.
func (n *node) send(method, path string, body io.Reader, headers ...string) callResponse {
	return n.sendVia(http.DefaultTransport, n.callServer.URL, method, path, body, headers...)
}

// sendVia sends a request through the given client to a base URL.
func (n *node) sendVia(
	client http.RoundTripper, base, method, path string, body io.Reader, headers ...string,
) callResponse {
	request, err := http.NewRequest(method, base+path, body)
	assert.NilError(n.fleet.t, err)
	request.Header.Set("Authorization", "Bearer "+testCustomerKey)
	request.Header.Set(headerService, "stock")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		return callResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResponse{Response: response, body: string(data), err: err}
}

func (r callResponse) String() string {
	if r.Response == nil {
		return fmt.Sprintf("error %v", r.err)
	}
	return fmt.Sprintf("%d %s %q %v", r.StatusCode, r.Header.Get(headerVerdict), r.body, r.err)
}
