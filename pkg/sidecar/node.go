package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/overload"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// Deps are the external dependencies of a node.
type Deps struct {
	Settings    Settings
	HeaderNames HeaderNames
	Store       platform.Store
	// StoreCallLimits bounds the store calls of this node.
	StoreCallLimits platform.CallLimits
	Codec           DocumentCodec
	// ReadinessPath is the path of the readiness check on the readiness address.
	ReadinessPath string
	// NewAnnouncementHandler returns the handler of the control address, which passes
	// the announcements of endpoints to registry.
	NewAnnouncementHandler func(registry Registry) http.Handler
	// LogOutput receives the log as JSON lines.
	LogOutput io.Writer
	// Version is the version of the program.
	Version string
}

// maintenanceInterval is the time between two sweeps of idle connections and
// unresponsive endpoints.
const maintenanceInterval = time.Second

// headerTimeout bounds the time that a node takes to send a request header.
// maxHeaderBytes bounds the size of the header: that of a client plus the fields added
// for a hop.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 2 * maxClientHeaderBytes
)

// localReadTimeout bounds the time that a local peer takes to send a request to the
// control, readiness or metrics address, localIdleTimeout the time between two requests.
const (
	localReadTimeout = 5 * time.Second
	localIdleTimeout = time.Minute
)

// heapMemoryFraction is the fraction of the memory of the instance that the heap may
// use. The rest is for stacks, the C library and socket buffers.
const heapMemoryFraction = 0.6

// Node is the sidecar process of an instance.
type Node struct {
	deps      Deps
	injector  *do.RootScope
	shared    *shared
	admission *localAdmission
	hopClient *hopClient
	entry     *EntryHandler
	tracker   *tracker
	hopServer *hopServer
}

// Registry receives the announcements of the local endpoints.
type Registry interface {
	// Check returns an error for an announcement that is not of an endpoint on this
	// instance.
	Check(a mesh.Announcement) error
	// Announce applies an announcement and reports whether it may be acknowledged.
	Announce(a mesh.Announcement) bool
	// Deregister removes an endpoint and reports whether that may be acknowledged.
	// startUnixMs identifies the process of the endpoint by its start time; it is 0 if
	// the endpoint did not give it.
	Deregister(id string, startUnixMs int64) bool
	// ReportMalformed is called for an announcement that does not describe a usable
	// endpoint.
	ReportMalformed(id string, err error)
}

// New builds a node from its components. It opens no connection.
func New(deps Deps) (*Node, error) {
	deps.Settings = deps.Settings.WithDefaults()
	n := &Node{deps: deps, injector: do.New()}
	do.Provide(n.injector, n.newShared)
	do.Provide(n.injector, func(i do.Injector) (*localAdmission, error) { return newLocalAdmission(do.MustInvoke[*shared](i)), nil })
	do.Provide(n.injector, func(i do.Injector) (*hopClient, error) { return newHopClient(do.MustInvoke[*shared](i)), nil })
	do.Provide(n.injector, func(i do.Injector) (*EntryHandler, error) {
		return newEntry(do.MustInvoke[*shared](i), do.MustInvoke[*localAdmission](i), do.MustInvoke[*hopClient](i)), nil
	})
	do.Provide(n.injector, func(i do.Injector) (*tracker, error) {
		s := do.MustInvoke[*shared](i)
		store := platform.NewRateLimitedStore(platform.NewInstrumentedStore(deps.Store, s.metrics.scope), deps.StoreCallLimits)
		return newTracker(s, store, deps.Codec, do.MustInvoke[*localAdmission](i)), nil
	})
	var err error
	if n.shared, err = do.Invoke[*shared](n.injector); err != nil {
		return nil, err
	}
	n.admission = do.MustInvoke[*localAdmission](n.injector)
	n.hopClient = do.MustInvoke[*hopClient](n.injector)
	n.entry = do.MustInvoke[*EntryHandler](n.injector)
	n.tracker = do.MustInvoke[*tracker](n.injector)
	n.tracker.peers = n.hopClient
	n.hopServer = &hopServer{deps: n.shared, admission: n.admission, tracker: n.tracker}
	n.shared.onEndpointsChanged = n.tracker.endpointsChanged
	n.shared.hasNodeAt = n.tracker.hasNodeAt
	n.shared.isCertain = n.tracker.isCertain
	n.shared.isLoaded, n.shared.encodeState, n.shared.applyState = n.tracker.isLoaded, n.tracker.encodeState, n.tracker.applyState
	n.shared.quota = newQuota(n.shared, n.tracker, n.hopClient)
	n.shared.awaitPublished = n.tracker.awaitPublished
	n.shared.onNewerRevision = func() { notify(n.tracker.fetchWake) }
	return n, nil
}

func (n *Node) newShared(do.Injector) (*shared, error) {
	s := &shared{settings: n.deps.Settings, headers: n.deps.HeaderNames, now: time.Now}
	s.requestsEnd, s.endRequests = context.WithCancel(context.Background())
	s.service.Store(&n.deps.Settings.Service)
	s.uplink = newUplink(s.now, s.settings.LinkBytesPerSecond)
	s.log = newEventLog(n.deps.LogOutput, timeline.Origin{
		Instance: s.settings.Instance, FailureDomain: s.settings.FailureDomain, Region: s.settings.Region,
	}, s.configVersion)
	scope, handler, closer := admin.NewMetrics(s.log.logger)
	s.metrics = &metrics{scope: scope, handler: handler, closer: closer}
	s.guard = newClientGuard(s)
	s.rollouts = newRolloutTracker(s.now, s.log, func() { notify(n.tracker.rolloutWake) })
	return s, nil
}

// Reload applies those settings that may change while the node runs.
func (n *Node) Reload(s Settings) {
	old := *n.shared.service.Load()
	n.shared.service.Store(&s.Service)
	n.shared.log.event("settings_reloaded", fields{"service": s.Service, "changed": old != s.Service})
}

// LogReloadFailure logs that new settings were rejected; the old ones stay active.
func (n *Node) LogReloadFailure(err error) {
	n.shared.log.event("settings_refused", fields{"error": err.Error()})
}

// server is an HTTP server with its listener.
type server struct {
	http     httpServer
	listener net.Listener
}

// httpServer is the common interface of http.Server and clientServer.
type httpServer interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Run serves until ctx ends and then shuts down gracefully. It returns an error if an
// address cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	s := n.shared.settings
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapMemoryFraction * float64(s.MemoryBytes)))
	}
	servers, err := n.listen()
	if err != nil {
		return err
	}
	n.shared.log.event("started", fields{"program": n.deps.Version, "service": s.Service, "inbound": s.InboundAddress, "outbound": s.OutboundAddress})
	background, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.tracker.run(background) })
	running.Go(func() { n.maintain(background) })
	running.Go(func() { n.shared.quota.Run(background) })
	for _, server := range servers {
		running.Go(func() {
			if err := server.http.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
				n.shared.log.event("server_failed", fields{"address": server.listener.Addr().String(), "error": err.Error()})
			}
		})
	}
	<-ctx.Done()
	n.shutDown(servers)
	cancel()
	running.Wait()
	n.shared.log.event("stopped", fields{"inFlight": n.inFlight()})
	if err := n.shared.metrics.closer.Close(); err != nil {
		n.shared.log.event("metrics_failed", fields{"error": err.Error()})
	}
	n.shared.log.close(shutdownPollInterval)
	return nil
}

// inFlight returns the number of requests that have not ended.
func (n *Node) inFlight() int64 { return n.entry.inFlight.Load() + n.hopServer.inFlight.Load() }

func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.admission.sweep()
		n.hopClient.sweep()
		n.updateGauges()
		n.tracker.logCertainty()
	}
}

func (n *Node) updateGauges() {
	m := n.shared.metrics
	running, waiting, slots := n.admission.occupancy()
	m.gauge("endpoints_running", running)
	m.gauge("endpoints_waiting", waiting)
	m.gauge("endpoints_slots", slots)
	if len(n.tenants()) > 0 {
		counts := n.admission.fairnessCounts()
		m.gauge("gate_requests_displaced", float64(counts.Displaced))
		m.gauge("gate_requests_guarded", float64(counts.Guarded))
	}
	m.gauge("clients_held_bytes", float64(n.shared.guard.HeldBytes()))
	m.gauge("clients_outbound_descriptors", float64(n.shared.guard.Descriptors(overload.Outbound)))
	m.gauge("configuration_version", float64(n.shared.configVersion()))
	m.gauge("requests_in_flight", float64(n.inFlight()))
	m.gauge("log_lines_dropped", float64(n.shared.log.output.dropped.Load()))
	n.entry.overflow.updateGauges(n.shared)
	if table := n.shared.table.Load(); table != nil {
		m.gauge("instances_known", float64(len(table.Instances())))
	}
}

// ReaderCount returns the number of nodes that are expected to read the store.
func (n *Node) ReaderCount() int { return n.tracker.readerCount() }

// listen opens a listener on each address of the node.
func (n *Node) listen() ([]server, error) {
	s := n.shared.settings
	type listenAddress struct {
		address string
		name    overload.Listener
		http    httpServer
	}
	guard := n.shared.guard
	addresses := []listenAddress{
		{s.ControlAddress, overload.Control, guard.KeepHeaders(newLocalServer(n.deps.NewAnnouncementHandler(n.admission)))},
		{s.InboundAddress, overload.Inbound, guard.KeepHeaders(&http.Server{Handler: n.hopServer, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes})},
		{s.OutboundAddress, overload.Outbound, n.newOutboundServer()},
		{s.ReadinessAddress, overload.Readiness, guard.KeepHeaders(newLocalServer(http.HandlerFunc(n.serveReadiness)))},
	}
	if address := metricsAddress(s); address != "" {
		addresses = append(addresses, listenAddress{address, overload.Metrics, guard.KeepHeaders(newLocalServer(n.shared.metrics.handler))})
	}
	var servers []server
	for _, each := range addresses {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", each.address)
		}
		servers = append(servers, server{http: each.http, listener: guard.Listen(listener, each.name)})
	}
	return servers, nil
}

// newLocalServer returns a server for short requests with small bodies or none.
func newLocalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: localReadTimeout, IdleTimeout: localIdleTimeout, MaxHeaderBytes: maxClientHeaderBytes,
	}
}

func (n *Node) logPanic(reason any, stack []byte) {
	n.shared.log.event("handler_panicked", fields{"reason": fmt.Sprint(reason), "stack": string(stack)})
}

func (n *Node) logCut(c cutConnection) {
	n.shared.metrics.connectionCut(c.reason)
	n.shared.log.event("connection_cut", fields{
		"reason": c.reason, "client": c.client, "inFlight": c.inFlight, "reading": c.isReading,
		"unreadBytes": c.unreadBytes, "idleMs": c.idle.Milliseconds(),
	})
}

// limits returns the limits on clients from the active configuration.
func (n *Node) limits() mesh.Limits {
	if snapshot := n.shared.snapshot.Load(); snapshot != nil {
		return snapshot.Limits()
	}
	return mesh.Limits{}
}

// tenants returns the tenants of the active configuration.
func (n *Node) tenants() []mesh.Tenant {
	if snapshot := n.shared.snapshot.Load(); snapshot != nil {
		return snapshot.Tenants()
	}
	return nil
}

func (n *Node) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != n.deps.ReadinessPath:
		http.NotFound(w, r)
	case n.shared.isShuttingDown() || !n.tracker.isLoaded():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// metricsAddress returns the address of the metrics server, "" if there is none.
func metricsAddress(s Settings) string {
	host, _, err := net.SplitHostPort(s.InboundAddress)
	if err != nil || s.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(s.MetricsPort))
}
