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
	"time"

	"github.com/azurespring/azurespring/internal/faultproxy"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/platform/platformtest"
)

// Bounds that the nodes are told, as the users' small deployments have them.
const (
	drain            = 2 * time.Second
	grace            = 6 * time.Second
	configurationLag = 2 * time.Second
	recovery         = 15 * time.Second
	settle           = 3 * time.Second
)

// firstPort is below the range of ephemeral ports, which connections take.
const firstPort = 21_000

// services is the number of services; the endpoints are dealt to them in turn.
const services = 2

// fleet is a store and a number of machines, each with a node that runs as a
// process and an endpoint beside it.
type fleet struct {
	program  string
	dir      string
	store    *platformtest.Store
	machines []*machine
	ledger   *ledger
	version  atomic.Int64
	log      func(format string, args ...any)
}

// machine is a node with its endpoint and the relays around it.
type machine struct {
	fleet   *fleet
	index   int
	name    string
	service string
	path    string
	// front is this machine's way to the store, storeLink the relay before it.
	front     *httptest.Server
	storeLink *faultproxy.TCPProxy
	// inbound is where the node listens for other nodes, link the relay that they use.
	inbound, outbound, readiness, control string
	link                                  *faultproxy.TCPProxy
	storeFault                            atomic.Pointer[platformtest.Fault]
	storeDelay                            atomic.Int64

	mu       sync.Mutex
	process  *testcluster.Process
	endpoint *endpoint
	// faults are the spans of unplanned faults at this machine.
	faults []*span
	logs   []*testcluster.Process
	// stalls are the times in which the node got no processor.
	stalls stalls
}

// span is a time with a fault; it is open while end is zero.
type span struct{ begin, end time.Time }

func newFleet(program, dir string, size int, seed uint64, log func(string, ...any)) (*fleet, error) {
	f := &fleet{program: program, dir: dir, store: platformtest.NewStore(), ledger: newLedger(), log: log}
	f.configure(0)
	// A loopback address of this process and seed keeps runs beside each other apart.
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+seed%250, 1+(seed/250)%250)
	for i := range size {
		m := &machine{fleet: f, index: i, name: fmt.Sprint("n", i), service: fmt.Sprint("s", i%services)}
		for role, address := range []*string{&m.inbound, &m.outbound, &m.readiness, &m.control} {
			*address = fmt.Sprintf("%s:%d", ip, firstPort+4*i+role)
		}
		m.front = httptest.NewServer(http.HandlerFunc(m.serveStore))
		var err error
		if m.storeLink, err = faultproxy.NewTCPProxy(strings.TrimPrefix(m.front.URL, "http://")); err != nil {
			return nil, err
		}
		if m.link, err = faultproxy.NewTCPProxy(m.inbound); err != nil {
			return nil, err
		}
		m.path = filepath.Join(dir, m.name+".yaml")
		if err := os.WriteFile(m.path, []byte(m.settings()), 0o600); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

func (f *fleet) close() {
	for _, m := range f.machines {
		m.mu.Lock()
		process, endpoint := m.process, m.endpoint
		m.mu.Unlock()
		if process != nil {
			process.Kill()
		}
		if endpoint != nil {
			endpoint.stop()
		}
		m.link.Close()
		m.storeLink.Close()
	}
	f.store.Close()
	for _, m := range f.machines {
		m.front.CloseClientConnections()
		m.front.Close()
	}
}

// configure stores a configuration with extra routes beside the constant ones.
func (f *fleet) configure(extra int) {
	version := f.version.Add(1)
	var rules []string
	for s := range services {
		for _, kind := range []string{"safe", "unsafe", "download"} {
			rules = append(rules, rule(fmt.Sprint(kind, s), fmt.Sprintf("/%s%d/", kind, s), kind, s))
		}
	}
	for i := range extra {
		rules = append(rules, rule(fmt.Sprint("extra", i), fmt.Sprintf("/extra%d/", i), "safe", i%services))
	}
	f.store.Put("config", "main", fmt.Sprintf(`{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,`+
		`"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"h.example","rules":[%s]}],`+
		`"clusters":[{"name":"s0","max_connections":110},{"name":"s1","max_connections":110}]}`, version, strings.Join(rules, ",")))
}

func rule(name, prefix, kind string, service int) string {
	return fmt.Sprintf(`{"name":%q,"kind":%q,"target_latency":"300ms","priority":1,"match":{"path_prefix":%q},`+
		`"action":{"service":"s%d","timeout":"1500ms","max_attempts":3}}`, name, kind, prefix, service)
}

func (m *machine) settings() string {
	return fmt.Sprintf(`
self: {node: %q, zone: "z%d", region: "r%d", service: %q, limits: {cores: 1, memory_mb: 284, link_mbps: 100}}
network:
  listen_addresses: {inbound: %q, outbound: %q, readiness: %q, control: %q}
platform: {heartbeat_interval: "500ms", platform: {address: %q}}
terms: {bounds: {drain: %q, grace_period: %q, configuration_apply: %q, retry_budget_ratio: 0.2, budget_window: "10s", retry_budget_slack: 50}}
`, m.name, m.index%4, m.index%2, m.service, m.inbound, m.outbound, m.readiness, m.control, m.storeLink.Address(),
		drain, grace, configurationLag)
}

// serveStore is this machine's way to the shared store. Other nodes' addresses are
// replaced by those of the relays before them.
func (m *machine) serveStore(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(m.storeDelay.Load()))
	if fault := m.storeFault.Load(); fault != nil {
		switch {
		case fault.Hang:
			// The server notices that the client left only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case fault.Status != 0:
			w.WriteHeader(fault.Status)
			return
		case fault.DropResponse && r.Method != http.MethodGet:
			m.fleet.store.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
	}
	recorded := httptest.NewRecorder()
	m.fleet.store.ServeHTTP(recorded, r)
	body := recorded.Body.String()
	for _, other := range m.fleet.machines {
		if other != m {
			body = strings.ReplaceAll(body, `"`+other.inbound+`"`, `"`+other.link.Address()+`"`)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(recorded.Code)
	_, _ = io.WriteString(w, body)
}

// unplanned runs a fault that excuses what calls for a machine in touch.
func (m *machine) unplanned(fault func()) {
	s := &span{begin: time.Now()}
	m.mu.Lock()
	m.faults = append(m.faults, s)
	m.mu.Unlock()
	fault()
	m.mu.Lock()
	s.end = time.Now()
	m.mu.Unlock()
}

// calmAt reports whether no unplanned fault was at the machine from settle before
// the given time until that time.
func (m *machine) calmAt(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.faults, func(s *span) bool {
		return s.begin.Before(at) && (s.end.IsZero() || s.end.After(at.Add(-settle)))
	})
}

// start runs the node's program.
func (m *machine) start() error {
	p, err := testcluster.StartProcess(m.name, m.fleet.program, "sidecar", "-settings", m.path)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = p
	m.logs = append(m.logs, p)
	return nil
}

func (m *machine) running() *testcluster.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// replaceEndpoint starts a new endpoint beside the node.
func (m *machine) replaceEndpoint(r *rand.Rand) error {
	e, err := startEndpoint(m, fmt.Sprintf("%s-%x", m.name, r.Uint32()), r.Int64N(4000)-2000)
	if err != nil {
		return err
	}
	m.mu.Lock()
	old := m.endpoint
	m.endpoint = e
	m.mu.Unlock()
	if old != nil {
		old.stop()
	}
	return nil
}

func (m *machine) current() *endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoint
}
