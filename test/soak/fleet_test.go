package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/faultproxy"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/platform/platformtest"
)

// Time bounds of the nodes' settings and of the checks, as in the users' small deployments.
const (
	drainTimeout    = 2 * time.Second
	gracePeriod     = 6 * time.Second
	maxApplyTime    = 2 * time.Second
	recoveryTimeout = 15 * time.Second
	settleTime      = 3 * time.Second
)

// firstPort is below the ephemeral port range, so that outgoing connections take no listen port.
const firstPort = 21_000

// serviceCount is the number of services; endpoints are assigned to them round-robin.
const serviceCount = 2

// fleet is a store and a number of instances, each with a node that runs as a
// process and a local endpoint.
type fleet struct {
	programPath   string
	store         *platformtest.Store
	instances     []*instance
	requestLog    *requestLog
	configMu      sync.Mutex
	configVersion atomic.Int64
	// idleTimeout is that of the stored configuration, in nanoseconds.
	idleTimeout atomic.Int64
	logf        func(format string, args ...any)
	errorf      func(format string, args ...any)
}

// instance is a node with its endpoint and the fault-injecting proxies around it.
type instance struct {
	fleet        *fleet
	index        int
	name         string
	service      string
	settingsPath string
	// storeServer serves the store to this instance; the node reaches it through storeProxy.
	storeServer *httptest.Server
	storeProxy  *faultproxy.TCPProxy
	// inbound is where the node listens for other nodes, which reach it through inboundProxy.
	inbound, outbound, readiness, control string
	inboundProxy                          *faultproxy.TCPProxy
	storeFault                            atomic.Pointer[platformtest.Fault]
	storeDelay                            atomic.Int64

	mu       sync.Mutex
	process  *testcluster.Process
	endpoint *endpoint
	// faults are the unplanned faults at this instance.
	faults []*faultSpan
	// stops are the times at which the node got SIGTERM.
	stops     []time.Time
	processes []*testcluster.Process
	// stalls are the times in which the node was ready to run and got no CPU.
	stalls stalls
}

// faultSpan is the duration of a fault; end is zero while the fault lasts.
type faultSpan struct{ start, end time.Time }

func newFleet(t *testing.T, programPath string, size int, seed uint64) (*fleet, error) {
	f := &fleet{programPath: programPath, store: platformtest.NewStore(), requestLog: newRequestLog(), logf: t.Logf, errorf: t.Errorf}
	f.store.BeginEras()
	f.storeConfiguration(defaultLimits)
	dir := t.TempDir()
	// An address per process and seed keeps the ports of concurrent runs apart.
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+seed%250, 1+(seed/250)%250)
	for i := range size {
		inst := &instance{fleet: f, index: i, name: fmt.Sprint("n", i), service: fmt.Sprint("s", i%serviceCount)}
		for portOffset, address := range []*string{&inst.inbound, &inst.outbound, &inst.readiness, &inst.control} {
			*address = fmt.Sprintf("%s:%d", ip, firstPort+4*i+portOffset)
		}
		inst.storeServer = httptest.NewServer(http.HandlerFunc(inst.serveStore))
		var err error
		if inst.storeProxy, err = faultproxy.NewTCPProxy(strings.TrimPrefix(inst.storeServer.URL, "http://")); err != nil {
			return nil, err
		}
		if inst.inboundProxy, err = faultproxy.NewTCPProxy(inst.inbound); err != nil {
			return nil, err
		}
		inst.settingsPath = filepath.Join(dir, inst.name+".yaml")
		if err := os.WriteFile(inst.settingsPath, []byte(inst.settings()), 0o600); err != nil {
			return nil, err
		}
		f.instances = append(f.instances, inst)
	}
	return f, nil
}

func (f *fleet) close() {
	for _, inst := range f.instances {
		inst.mu.Lock()
		process, endpoint := inst.process, inst.endpoint
		inst.mu.Unlock()
		if process != nil {
			process.Kill()
		}
		if endpoint != nil {
			endpoint.stop()
		}
		inst.inboundProxy.Close()
		inst.storeProxy.Close()
	}
	f.store.Close()
	for _, inst := range f.instances {
		inst.storeServer.CloseClientConnections()
		inst.storeServer.Close()
	}
}

// limits are the parts of a configuration that changes alter.
type limits struct{ idleTimeout, routeTimeout time.Duration }

var defaultLimits = limits{idleTimeout: 15 * time.Second, routeTimeout: 6 * time.Second}

var routeTimeouts = []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second}

// storeConfiguration stores a new configuration version with the constant routes and an
// extra one for each version.
func (f *fleet) storeConfiguration(l limits) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	version := f.configVersion.Add(1)
	f.idleTimeout.Store(int64(l.idleTimeout))
	var rules []string
	for s := range serviceCount {
		for _, kind := range []string{"safe", "unsafe", "download"} {
			rules = append(rules, rule(fmt.Sprint(kind, s), fmt.Sprintf("/%s%d/", kind, s), kind, s, l.routeTimeout))
		}
	}
	for i := range int(version) {
		rules = append(rules, rule(fmt.Sprint("extra", i), fmt.Sprintf("/extra%d/", i), "safe", i%serviceCount, l.routeTimeout))
	}
	f.store.Put("config", "main", fmt.Sprintf(`{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,`+
		`"header_timeout":"3000ms","idle_timeout":"%dms"},"listeners":[{"host":"h.example","rules":[%s]}],`+
		`"clusters":[{"name":"s0","max_connections":110},{"name":"s1","max_connections":110}]}`,
		version, l.idleTimeout.Milliseconds(), strings.Join(rules, ",")))
}

func rule(name, prefix, kind string, service int, timeout time.Duration) string {
	return fmt.Sprintf(`{"name":%q,"kind":%q,"target_latency":"300ms","priority":1,"match":{"path_prefix":%q},`+
		`"action":{"service":"s%d","timeout":"%dms","max_attempts":3}}`, name, kind, prefix, service, timeout.Milliseconds())
}

func (inst *instance) settings() string {
	return fmt.Sprintf(`
self: {node: %q, zone: "z%d", region: "r%d", service: %q, limits: {cores: 1, memory_mb: 284, link_mbps: 100}}
network:
  listen_addresses: {inbound: %q, outbound: %q, readiness: %q, control: %q}
platform: {heartbeat_interval: "500ms", platform: {address: %q}}
terms: {bounds: {drain: %q, grace_period: %q, configuration_apply: %q, retry_budget_ratio: 0.2, budget_window: "10s", retry_budget_slack: 50}}
`, inst.name, inst.index%4, inst.index%2, inst.service, inst.inbound, inst.outbound, inst.readiness, inst.control, inst.storeProxy.Address(),
		drainTimeout, gracePeriod, maxApplyTime)
}

// serveStore serves the shared store to this instance and injects the store faults. It
// replaces the addresses of other nodes with those of their proxies.
func (inst *instance) serveStore(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(inst.storeDelay.Load()))
	if fault := inst.storeFault.Load(); fault != nil {
		switch {
		case fault.Hang:
			// net/http detects a closed client connection only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case fault.Status != 0:
			w.WriteHeader(fault.Status)
			return
		case fault.DropResponse && r.Method != http.MethodGet:
			inst.fleet.store.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
	}
	recorded := httptest.NewRecorder()
	inst.fleet.store.ServeHTTP(recorded, r)
	body := recorded.Body.String()
	for _, other := range inst.fleet.instances {
		if other != inst {
			body = strings.ReplaceAll(body, `"`+other.inbound+`"`, `"`+other.inboundProxy.Address()+`"`)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(recorded.Code)
	_, _ = io.WriteString(w, body)
}

// runUnplannedFault runs a fault and records its span: calls that pass the instance
// during the fault may fail.
func (inst *instance) runUnplannedFault(fault func()) {
	s := &faultSpan{start: time.Now()}
	inst.mu.Lock()
	inst.faults = append(inst.faults, s)
	inst.mu.Unlock()
	fault()
	inst.mu.Lock()
	s.end = time.Now()
	inst.mu.Unlock()
}

func (inst *instance) isFaultFreeAt(at time.Time) bool { return inst.isFaultFreeBetween(at, at) }

// isFaultFreeBetween reports whether the instance had no unplanned fault from settleTime
// before the first time to the second one.
func (inst *instance) isFaultFreeBetween(from, to time.Time) bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return !slices.ContainsFunc(inst.faults, func(s *faultSpan) bool {
		return s.start.Before(to) && (s.end.IsZero() || s.end.After(from.Add(-settleTime)))
	})
}

// stopAt returns the SIGTERM of the stop that the given time belongs to, if any.
func (inst *instance) stopAt(at time.Time) (signaledAt time.Time, isStopping bool) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	for _, signaledAt := range slices.Backward(inst.stops) {
		if since := at.Sub(signaledAt); since >= 0 {
			return signaledAt, since <= gracePeriod+time.Second
		}
	}
	return time.Time{}, false
}

// startNode starts the node's process.
func (inst *instance) startNode() error {
	p, err := testcluster.StartProcess(inst.name, inst.fleet.programPath, "sidecar", "-settings", inst.settingsPath)
	if err != nil {
		return err
	}
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.process = p
	inst.processes = append(inst.processes, p)
	return nil
}

func (inst *instance) runningProcess() *testcluster.Process {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.process
}

// lastProcess returns the process that was started last, also while it is stopping.
func (inst *instance) lastProcess() *testcluster.Process {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if len(inst.processes) == 0 {
		return nil
	}
	return inst.processes[len(inst.processes)-1]
}

// replaceEndpoint starts a new local endpoint and stops the old one, if any.
func (inst *instance) replaceEndpoint(r *rand.Rand) error {
	e, err := startEndpoint(inst, fmt.Sprintf("%s-%x", inst.name, r.Uint32()), r.Int64N(4000)-2000)
	if err != nil {
		return err
	}
	inst.mu.Lock()
	old := inst.endpoint
	inst.endpoint = e
	inst.mu.Unlock()
	if old != nil {
		old.stop()
	}
	return nil
}

func (inst *instance) currentEndpoint() *endpoint {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.endpoint
}
