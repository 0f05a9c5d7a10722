// Package sidecar_test checks nodes on the users' platform against stand-ins of
// its store and of endpoints.
package sidecar_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/pkg/exchange"
	store "github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/sidecar"
	"github.com/azurespring/azurespring/platform"
	"github.com/azurespring/azurespring/platform/platformtest"
)

// deadline bounds what the tests wait for.
const deadline = 20 * time.Second

// fleet is a store with nodes, each with an endpoint beside it.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	server  *httptest.Server
	nodes   []*node
	version int
}

type node struct {
	settings sidecar.Settings
	endpoint *platformtest.Endpoint
	stop     context.CancelFunc
	done     chan struct{}
	output   *output
}

// output keeps the log of a node.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// lines returns the log lines of an event.
func (o *output) lines(event string) []map[string]any {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []map[string]any
	for _, line := range strings.Split(o.text.String(), "\n") {
		var f map[string]any
		if json.Unmarshal([]byte(line), &f) == nil && f["event"] == event {
			found = append(found, f)
		}
	}
	return found
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	f := &fleet{t: t, store: platformtest.NewStore()}
	f.server = httptest.NewServer(f.store)
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
		for _, n := range f.nodes {
			<-n.done
			n.endpoint.Close()
			if t.Failed() {
				t.Logf("log of %s:\n%s", n.settings.Instance, n.output.text.String())
			}
		}
		f.store.Close()
		f.server.Close()
	})
	f.configure(route("safe", "/safe/", `"kind":"safe"`), route("unsafe", "/unsafe/", `"kind":"unsafe"`), route("download", "/download/", `"kind":"download"`))
	return f
}

// route returns a rule of the configuration to service s.
func route(name, prefix, more string) string {
	return fmt.Sprintf(`{"name":%q,%s,"target_latency":"500ms","priority":1,"match":{"path_prefix":%q},`+
		`"action":{"service":"s","timeout":"3000ms","max_attempts":2}}`, name, more, prefix)
}

// configure stores the next version of the configuration.
func (f *fleet) configure(rules ...string) {
	f.version++
	f.store.Put("config", "main", fmt.Sprintf(`{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,`+
		`"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"h.example","rules":[%s]}],`+
		`"clusters":[{"name":"s","max_connections":110},{"name":"t","max_connections":110}]}`, f.version, strings.Join(rules, ",")))
}

// Ports of nodes are taken from below the range of ephemeral ports: a free port
// of that range may be taken by a connection before the node listens.
const (
	firstPort = 20_000
	portSpan  = 12_000
)

var nextPort = func() *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(rand.Int64N(portSpan))
	return n
}()

// nodeIP is a loopback address of this process's own, so that copies of the
// tests that run at the same time do not meet at a port: a node of one was taken
// for a node of another.
var nodeIP = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8%250, os.Getpid()%256)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portSpan {
		address := fmt.Sprintf("%s:%d", nodeIP, firstPort+nextPort.Add(1)%portSpan)
		if l, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, l.Close())
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// add starts a node in a failure domain with an endpoint beside it.
func (f *fleet) add(domain string, endpoint *platformtest.Endpoint) *node {
	f.t.Helper()
	assert.NilError(f.t, endpoint.Start())
	n := &node{endpoint: endpoint, settings: sidecar.Settings{
		Instance: fmt.Sprint("n", len(f.nodes)), FailureDomain: domain, Region: "r-" + domain, Service: endpoint.Service,
		InboundAddress: freeAddress(f.t), OutboundAddress: freeAddress(f.t),
		ReadinessAddress: freeAddress(f.t), ControlAddress: freeAddress(f.t), StoreAddress: strings.TrimPrefix(f.server.URL, "http://"),
		HeartbeatInterval: time.Second, GracePeriod: 6 * time.Second, ConfigurationApplyTimeout: 2 * time.Second,
		RetryBudgetRatio: 0.2, RetryBudgetWindow: 10 * time.Second, RetryBudgetSlack: 1000,
	}}
	f.start(n)
	f.nodes = append(f.nodes, n)
	return n
}

// start runs the node's program and lets its endpoint announce itself.
func (f *fleet) start(n *node) {
	f.t.Helper()
	ctx := f.run(n)
	f.wait("the node takes announcements", func() bool {
		status, err := n.endpoint.Announce(ctx, n.settings.ControlAddress)
		return err == nil && status == http.StatusOK
	})
	go announce(ctx, n)
}

// run runs the node's program without announcements until n.stop.
func (f *fleet) run(n *node) context.Context {
	f.t.Helper()
	n.output, n.done = &output{}, make(chan struct{})
	client := platform.NewStore(platform.StoreOptions{
		Address: n.settings.StoreAddress, Dial: exchange.Dialer{Timeout: time.Second}.DialContext, CallTimeout: time.Second,
		WatchTimeout: func(store.Kind) time.Duration { return 5 * time.Second }, WatchDebounce: func(store.Kind) time.Duration { return 10 * time.Millisecond },
	})
	running, err := sidecar.New(sidecar.Deps{
		Settings: n.settings, HeaderNames: platform.HeaderNames(), Store: client, StoreCallLimits: store.CallLimits{
			Default: store.RateLimits{WritesPerSecond: 50, ReadsPerSecond: 50, WriteBurst: 50, ReadBurst: 50}, MaxWatches: 3,
		}, Codec: platform.DocumentCodec{},
		ReadinessPath:          platform.ReadinessPath,
		NewAnnouncementHandler: func(r sidecar.Registry) http.Handler { return platform.AnnouncementHandler(r) },
		LogOutput:              n.output,
	})
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	done := n.done
	go func() {
		defer close(done)
		defer client.Close()
		if err := running.Run(ctx); err != nil {
			f.t.Errorf("node %s: %v", n.settings.Instance, err)
		}
	}()
	return ctx
}

func announce(ctx context.Context, n *node) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_, _ = n.endpoint.Announce(ctx, n.settings.ControlAddress)
		}
	}
}

// wait polls until ok holds.
func (f *fleet) wait(what string, ok func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(deadline), poll.WithDelay(10*time.Millisecond))
}

// ready waits until all nodes are ready and have published their endpoints.
func (f *fleet) ready() {
	f.t.Helper()
	for _, n := range f.nodes {
		f.wait("node "+n.settings.Instance+" is ready", func() bool { return n.isReady() })
	}
	for _, n := range f.nodes {
		f.wait("node "+n.settings.Instance+" knows all endpoints", func() bool {
			lines := n.output.lines("endpoints_known")
			return len(lines) > 0 && lines[len(lines)-1]["endpoints"] == float64(len(f.nodes))
		})
	}
}

func (n *node) isReady() bool {
	response, err := http.Get("http://" + n.settings.ReadinessAddress + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// request builds a client's request to a node.
func (n *node) request(ctx context.Context, method, path, id string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.OutboundAddress+path, body)
	if err != nil {
		panic(err) // Only a wrong path of the test itself fails here.
	}
	r.Host = "h.example"
	r.Header.Set(platformtest.HeaderRequestID, id)
	r.Header.Set(platformtest.HeaderDeadline, "2000")
	return r
}

// answer is a whole answer as a client got it.
type answer struct {
	status int
	header http.Header
	body   string
	// closes is set if the node closes the connection after the answer.
	closes bool
	err    error
}

// client sends each request on a connection of its own.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func do(r *http.Request) answer {
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (n *node) get(path, id string) answer {
	return do(n.request(context.Background(), http.MethodGet, path, id, nil))
}

func (n *node) post(path, id string) answer {
	return do(n.request(context.Background(), http.MethodPost, path, id, strings.NewReader("a booking")))
}

// rawConn is a client's connection on which bytes are sent as they are.
type rawConn struct {
	net.Conn
	reader *bufio.Reader
}

func (n *node) dial(t *testing.T) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", n.settings.OutboundAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &rawConn{Conn: c, reader: bufio.NewReader(c)}
}

func (c *rawConn) send(t *testing.T, path string, ids ...string) {
	t.Helper()
	for _, id := range ids {
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 2000\r\n\r\n",
			path, platformtest.HeaderRequestID, id, platformtest.HeaderDeadline)
		assert.NilError(t, err)
	}
}

func (c *rawConn) read(t *testing.T) answer {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}
