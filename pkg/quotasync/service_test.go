package quotasync_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/quota"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/quotasync"
)

// memoryStore is a platform.Store with conditional writes in memory.
type memoryStore struct {
	platform.Store
	mu      sync.Mutex
	objects map[string]platform.Object
	version int
	calls   int
}

func (s *memoryStore) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	o, ok := s.objects[name]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Create(_ context.Context, kind platform.Kind, name string, value []byte) (platform.Object, error) {
	return s.write(platform.Object{Kind: kind, Name: name, Value: value}, platform.ErrAlreadyExists)
}

func (s *memoryStore) Update(_ context.Context, o platform.Object) (platform.Object, error) {
	return s.write(o, platform.ErrConflict)
}

func (s *memoryStore) write(o platform.Object, conflict error) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.objects[o.Name].ResourceVersion != o.ResourceVersion {
		return platform.Object{}, conflict
	}
	s.version++
	o.ResourceVersion = strconv.Itoa(s.version)
	s.objects[o.Name] = o
	return o, nil
}

// testNode is a service with its server.
type testNode struct {
	name    string
	service *quotasync.Service
	server  *httptest.Server
	cancel  context.CancelFunc
	done    chan struct{}
}

// testFleet is a fleet of services with one store.
type testFleet struct {
	t        *testing.T
	store    *memoryStore
	snapshot *mesh.Snapshot
	mu       sync.Mutex
	nodes    map[string]*testNode
	started  uint64
	messages int
	admitted []time.Duration
}

func newTestFleet(t *testing.T, count int, tenants ...mesh.Tenant) *testFleet {
	t.Helper()
	snapshot, err := mesh.Compile(mesh.Configuration{Version: 1, Tenants: tenants})
	assert.NilError(t, err)
	f := &testFleet{
		t: t, store: &memoryStore{objects: make(map[string]platform.Object)}, snapshot: snapshot, nodes: make(map[string]*testNode),
	}
	for i := range count {
		f.start(fmt.Sprint("n", i))
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.kill()
		}
	})
	return f
}

func (f *testFleet) start(name string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	n := &testNode{name: name, done: make(chan struct{})}
	n.service = quotasync.New(quotasync.Options{
		Node: name, Incarnation: f.started, Rule: quota.Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		Store: f.store, Snapshot: func() *mesh.Snapshot { return f.snapshot }, Nodes: f.addresses, Post: f.post,
		Now: quotasync.BootClock, Log: func(event string, fields map[string]any) { f.t.Log(name, event, fields) }, Metrics: tally.NoopScope,
	})
	n.server = httptest.NewServer(n.service)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.service.Run(ctx)
	}()
	f.nodes[name] = n
	return n
}

// kill ends a node without notice.
func (n *testNode) kill() {
	n.cancel()
	<-n.done
	n.server.CloseClientConnections()
	n.server.Close()
}

func (f *testFleet) addresses() map[string]quotasync.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := make(map[string]quotasync.Node)
	for name, n := range f.nodes {
		addresses[name] = quotasync.Node{Address: n.server.Listener.Addr().String()}
	}
	return addresses
}

func (f *testFleet) post(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	f.mu.Lock()
	f.messages++
	f.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

// load sends requests of a tenant at n at the given rate for d.
func (f *testFleet) load(n *testNode, tenant *mesh.Tenant, rate float64, d time.Duration, running *sync.WaitGroup) {
	interval := time.Duration(float64(time.Second) / rate)
	running.Go(func() {
		for begin, i := time.Now(), 0; time.Since(begin) < d; i++ {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * interval)))
			running.Go(func() {
				if _, retryAfter := n.service.Admit(context.Background(), tenant, time.Second); retryAfter == 0 {
					f.mu.Lock()
					f.admitted = append(f.admitted, quotasync.BootClock())
					f.mu.Unlock()
				}
			})
		}
	})
}

// mostInWindow returns the largest number of admitted requests in a window.
func (f *testFleet) mostInWindow(window time.Duration) int {
	slices.Sort(f.admitted)
	most, first := 0, 0
	for i, at := range f.admitted {
		for at-f.admitted[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *testFleet) granter(tenant string) string {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	value := f.store.objects[quotasync.ObjectPrefix+strconv.Itoa(quota.SlotOf(tenant))].Value
	_, rest, _ := bytes.Cut(value, []byte(`"node":"`))
	name, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(name)
}

// The rule must hold over real exchanges while the granter is killed and restarted, and the
// limit must be usable before and after that.
func TestRuleHoldsWhenTheGranterIsKilled(t *testing.T) {
	tenant := mesh.Tenant{Name: "t", RatePerSecond: 100, Burst: 20}
	f := newTestFleet(t, 5, tenant)
	limit := quota.Limit{Rate: 100, Burst: 20, Rule: quota.Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}}
	var running sync.WaitGroup
	load := func(d time.Duration) {
		for _, n := range f.nodes {
			f.load(n, &tenant, 60, d, &running)
		}
		running.Wait()
	}
	load(4 * time.Second)
	before := len(f.admitted)
	assert.Assert(t, before >= 300, "%d of 400 requests were admitted", before)
	killed := f.granter("t")
	f.nodes[killed].kill()
	f.start(killed)
	load(4 * time.Second)
	after := len(f.admitted) - before
	most := f.mostInWindow(5 * time.Second)
	t.Logf("admitted %d and %d of 400, most in a window %d of %.0f, %d messages, %d calls of the store",
		before, after, most, limit.Allowed(), f.messages, f.store.calls)
	assert.Assert(t, after >= 200, "%d of 400 requests were admitted after the restart", after)
	assert.Assert(t, float64(most) <= limit.Allowed())
}

// A node that stops must hand over its terms at once: no second without a granter.
func TestStopHandsOver(t *testing.T) {
	tenant := mesh.Tenant{Name: "t", RatePerSecond: 100, Burst: 20}
	f := newTestFleet(t, 3, tenant)
	admits := func(n *testNode) bool {
		_, retryAfter := n.service.Admit(context.Background(), &tenant, time.Second)
		return retryAfter == 0
	}
	first := f.nodes["n0"]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if admits(first) {
			return poll.Success()
		}
		return poll.Continue("a request is admitted")
	}, poll.WithTimeout(10*time.Second))
	stopping := f.granter("t")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	f.nodes[stopping].service.Release()
	f.nodes[stopping].service.Stop(ctx)
	begin := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, n := range f.nodes {
			if name != stopping && admits(n) && f.granter("t") != stopping {
				return poll.Success()
			}
		}
		return poll.Continue("another granter")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	assert.Assert(t, time.Since(begin) < 3*time.Second, "the hand-over took %v", time.Since(begin))
}

// Without a request, nothing may be sent or stored.
func TestIdleServicesAreSilent(t *testing.T) {
	f := newTestFleet(t, 3, mesh.Tenant{Name: "t", RatePerSecond: 100})
	time.Sleep(300 * time.Millisecond)
	_, retryAfter := f.nodes["n0"].service.Admit(context.Background(), &mesh.Tenant{Name: "free"}, time.Second)
	assert.Equal(t, retryAfter, time.Duration(0))
	assert.Equal(t, f.messages+f.store.calls, 0)
}

// A malformed or oversized message must be refused and change nothing.
func TestMalformedMessagesAreRefused(t *testing.T) {
	f := newTestFleet(t, 1, mesh.Tenant{Name: "t", RatePerSecond: 100})
	n := f.nodes["n0"]
	for _, path := range []string{quotasync.GrantPath, quotasync.TermPath} {
		for _, body := range [][]byte{nil, {0xff}, {0xbf, 0xff}, []byte("text"), make([]byte, quotasync.MaxMessageBytes+1)} {
			_, err := f.post(t.Context(), n.server.Listener.Addr().String(), path, body)
			assert.ErrorContains(t, err, "status 400")
		}
	}
}

// BenchmarkExchange measures the processor time of an exchange with five tenants over HTTP,
// on both sides together.
func BenchmarkExchange(b *testing.B) {
	service := quotasync.New(quotasync.Options{
		Node: "g", Incarnation: 1, Snapshot: func() *mesh.Snapshot { return nil },
		Nodes: func() map[string]quotasync.Node { return nil }, Now: quotasync.BootClock, Metrics: tally.NoopScope,
	})
	server := httptest.NewServer(service)
	defer server.Close()
	address := server.Listener.Addr().String()
	pool := exchange.NewPool(address, exchange.Dialer{Timeout: time.Second}, nil)
	defer pool.Close()
	request := quota.Request{Holder: "n", Incarnation: 1, Term: 1}
	for i := range 5 {
		request.Tenants = append(request.Tenants, quota.Usage{Tenant: fmt.Sprint("tenant", i), Share: 0.2, Demand: 5, Want: 1})
	}
	var before, after syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	for b.Loop() {
		request.Sequence++
		body, err := cbor.Marshal(request)
		assert.NilError(b, err)
		r := (&http.Request{
			Method: http.MethodPost, URL: &url.URL{Opaque: quotasync.GrantPath}, Host: address, Header: http.Header{},
			Body: exchange.InMemoryBody(bytes.NewReader(body)), ContentLength: int64(len(body)),
		}).WithContext(b.Context())
		response, failure := pool.Do(b.Context(), exchange.Request{Request: r})
		assert.Assert(b, failure == nil)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, err)
		assert.NilError(b, response.Body.Close())
	}
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(used)/1000/float64(b.N), "cpu-us/op")
}
