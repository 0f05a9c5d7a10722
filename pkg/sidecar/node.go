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
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// Deps are what a node needs from outside.
type Deps struct {
	Settings    Settings
	HeaderNames HeaderNames
	Store       platform.Store
	// StoreCallLimits bounds the store calls of this node.
	StoreCallLimits platform.CallLimits
	Codec           DocumentCodec
	// ReadinessPath is where the readiness address answers.
	ReadinessPath string
	// NewAnnouncementHandler returns the handler of the control address; registry takes
	// what endpoints announce.
	NewAnnouncementHandler func(registry Registry) http.Handler
	// LogOutput takes the log as JSON lines.
	LogOutput io.Writer
	// Version is the version of the program.
	Version string
}

// Times of a stop. A node that was told to stop is not ready at once, and takes
// requests of clients that have not noticed for two questions of the platform,
// which come once per second, and a margin.
const (
	stopNotice = 2500 * time.Millisecond
	// stopWithdraw is when other nodes are told to send no more requests for the
	// endpoints beside it; until then the endpoints are of use.
	stopWithdraw = 1500 * time.Millisecond
	// stopRefuseShare is the part of the grace period after which it no longer takes
	// new requests; clients that still come are told that theirs have not run.
	stopRefuseShare = 0.58
	// stopMargin is what remains of the grace period for the end of the process.
	stopMargin = 900 * time.Millisecond
	// stopClose bounds the end of connections on which a request is being read.
	stopClose = 300 * time.Millisecond
	stopPoll  = 50 * time.Millisecond
)

// maintenanceInterval is the time between two sweeps of idle connections and endpoints.
const maintenanceInterval = time.Second

// headerTimeout bounds the time of a node or endpoint to send a request's head,
// maxHeaderBytes its size: a client's head and what a hop adds.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 2 * headBytes
)

// memoryShare is the part of the machine's memory that the heap may take; the
// rest is for stacks, the C library and bytes in sockets.
const memoryShare = 0.6

// Node is the process beside an endpoint.
type Node struct {
	deps     Deps
	injector *do.RootScope
	shared   *shared
	gate     *localGate
	hops     *hopClient
	entry    *EntryHandler
	tracker  *tracker
	hopsIn   *hopServer
}

// Registry takes what endpoints announce.
type Registry interface {
	// Announce reports whether the announcement may be acknowledged.
	Announce(a mesh.Announcement) bool
	// Deregister ends an endpoint and reports whether that may be acknowledged. born is
	// 0 if the endpoint did not say which start ends.
	Deregister(id string, born int64) bool
	// ReportMalformed is told of an announcement that names no endpoint to use.
	ReportMalformed(id string, err error)
}

// New composes a node. It opens no connection.
func New(deps Deps) (*Node, error) {
	deps.Settings = deps.Settings.WithDefaults()
	n := &Node{deps: deps, injector: do.New()}
	do.Provide(n.injector, n.newShared)
	do.Provide(n.injector, func(i do.Injector) (*localGate, error) { return newLocalGate(do.MustInvoke[*shared](i)), nil })
	do.Provide(n.injector, func(i do.Injector) (*hopClient, error) { return newHopClient(do.MustInvoke[*shared](i)), nil })
	do.Provide(n.injector, func(i do.Injector) (*EntryHandler, error) {
		return newEntry(do.MustInvoke[*shared](i), do.MustInvoke[*localGate](i), do.MustInvoke[*hopClient](i)), nil
	})
	do.Provide(n.injector, func(i do.Injector) (*tracker, error) {
		s := do.MustInvoke[*shared](i)
		store := platform.NewRateLimitedStore(platform.NewInstrumentedStore(deps.Store, s.metrics.scope), deps.StoreCallLimits)
		return newTracker(s, store, deps.Codec, do.MustInvoke[*localGate](i)), nil
	})
	var err error
	if n.shared, err = do.Invoke[*shared](n.injector); err != nil {
		return nil, err
	}
	n.gate = do.MustInvoke[*localGate](n.injector)
	n.hops = do.MustInvoke[*hopClient](n.injector)
	n.entry = do.MustInvoke[*EntryHandler](n.injector)
	n.tracker = do.MustInvoke[*tracker](n.injector)
	n.hopsIn = &hopServer{deps: n.shared, gate: n.gate}
	n.shared.endpointsChanged = n.tracker.endpointsChanged
	n.shared.known, n.shared.state, n.shared.adopt = n.tracker.ready, n.tracker.offer, n.tracker.adopt
	n.shared.awaitPublished = n.tracker.awaitPublished
	n.shared.newer = func() { notify(n.tracker.newer) }
	return n, nil
}

func (n *Node) newShared(do.Injector) (*shared, error) {
	s := &shared{settings: n.deps.Settings, headers: n.deps.HeaderNames, now: time.Now}
	s.service.Store(&n.deps.Settings.Service)
	s.uplink = newUplink(s.now, s.settings.LinkBytesPerSecond)
	s.log = newEventLog(n.deps.LogOutput, timeline.Origin{
		Instance: s.settings.Instance, FailureDomain: s.settings.FailureDomain, Region: s.settings.Region,
	}, s.configVersion)
	scope, handler, closer := admin.NewMetrics(s.log.logger)
	s.metrics = &metrics{scope: scope, handler: handler, closer: closer}
	s.rollouts = newRolloutTracker(s.now, s.log, func() { notify(n.tracker.decide) })
	return s, nil
}

// Reload takes over settings that may change while the node runs.
func (n *Node) Reload(s Settings) {
	old := *n.shared.service.Load()
	n.shared.service.Store(&s.Service)
	n.shared.log.event("settings_reloaded", fields{"service": s.Service, "changed": old != s.Service})
}

// LogReloadFailure logs settings that were refused; the old ones stay in force.
func (n *Node) LogReloadFailure(err error) {
	n.shared.log.event("settings_refused", fields{"error": err.Error()})
}

// server is one listening address.
type server struct {
	http     httpServer
	listener net.Listener
}

// httpServer is what net/http's server and the server of clients have in common.
type httpServer interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Run serves until ctx ends, then stops gracefully. The error says what could
// not be started.
func (n *Node) Run(ctx context.Context) error {
	s := n.shared.settings
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
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
	for _, server := range servers {
		running.Go(func() {
			if err := server.http.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
				n.shared.log.event("server_failed", fields{"address": server.listener.Addr().String(), "error": err.Error()})
			}
		})
	}
	<-ctx.Done()
	n.stop(servers)
	cancel()
	running.Wait()
	n.shared.log.event("stopped", fields{"inFlight": n.inFlight()})
	if err := n.shared.metrics.closer.Close(); err != nil {
		n.shared.log.event("metrics_failed", fields{"error": err.Error()})
	}
	n.shared.log.close(stopPoll)
	return nil
}

// stop ends the node gracefully: it is no longer ready, tells other nodes, lets
// clients notice, and waits for the requests in flight.
func (n *Node) stop(servers []server) {
	started := time.Now()
	n.shared.stopping.Store(true)
	n.shared.log.event("stopping", fields{"inFlight": n.inFlight()})
	ctx, cancel := context.WithTimeout(context.Background(), n.shared.settings.GracePeriod-stopMargin)
	defer cancel()
	for {
		elapsed := time.Since(started)
		if elapsed >= stopWithdraw && !n.shared.withdrawn.Swap(true) {
			n.tracker.withdraw()
		}
		if elapsed >= time.Duration(stopRefuseShare*float64(n.shared.settings.GracePeriod)) {
			n.shared.refusing.Store(true)
		}
		if ctx.Err() != nil || elapsed >= stopNotice && n.inFlight() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	n.shared.refusing.Store(true)
	closing, cancelClosing := context.WithTimeout(context.Background(), stopClose)
	defer cancelClosing()
	var ending sync.WaitGroup
	for _, server := range servers {
		ending.Go(func() {
			if server.http.Shutdown(closing) != nil {
				_ = server.http.Close()
			}
		})
	}
	ending.Wait()
}

// inFlight returns the number of requests that have not ended.
func (n *Node) inFlight() int64 { return n.entry.inFlight.Load() + n.hopsIn.inFlight.Load() }

func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.gate.tick()
		n.hops.sweep()
		n.updateGauges()
	}
}

func (n *Node) updateGauges() {
	m := n.shared.metrics
	running, waiting, slots := n.gate.occupancy()
	m.gauge("endpoints_running", running)
	m.gauge("endpoints_waiting", waiting)
	m.gauge("endpoints_slots", slots)
	m.gauge("configuration_version", float64(n.shared.configVersion()))
	m.gauge("requests_in_flight", float64(n.inFlight()))
	m.gauge("log_lines_dropped", float64(n.shared.log.output.dropped.Load()))
	if table := n.shared.table.Load(); table != nil {
		m.gauge("instances_known", float64(len(table.Instances())))
	}
}

// InstanceCount returns the number of nodes known to have endpoints.
func (n *Node) InstanceCount() int {
	if table := n.shared.table.Load(); table != nil {
		return len(table.Instances())
	}
	return 0
}

// listen opens all addresses.
func (n *Node) listen() ([]server, error) {
	s := n.shared.settings
	type listening struct {
		address string
		http    httpServer
	}
	addresses := []listening{
		{s.ControlAddress, &http.Server{Handler: n.deps.NewAnnouncementHandler(n.gate), ReadHeaderTimeout: headerTimeout}},
		{s.InboundAddress, &http.Server{Handler: n.hopsIn, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}},
		{s.OutboundAddress, newClientServer(n.entry, n.limits, n.panicked)},
		{s.ReadinessAddress, &http.Server{Handler: http.HandlerFunc(n.serveReadiness), ReadHeaderTimeout: headerTimeout}},
	}
	if address := metricsAddress(s); address != "" {
		addresses = append(addresses, listening{
			address, &http.Server{Handler: n.shared.metrics.handler, ReadHeaderTimeout: headerTimeout},
		})
	}
	var servers []server
	for _, each := range addresses {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", each.address)
		}
		servers = append(servers, server{http: each.http, listener: listener})
	}
	return servers, nil
}

func (n *Node) panicked(reason any, stack []byte) {
	n.shared.log.event("handler_panicked", fields{"reason": fmt.Sprint(reason), "stack": string(stack)})
}

// limits returns the configuration's bounds on clients.
func (n *Node) limits() mesh.Limits {
	if snapshot := n.shared.snapshot.Load(); snapshot != nil {
		return snapshot.Limits()
	}
	return mesh.Limits{}
}

func (n *Node) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != n.deps.ReadinessPath:
		http.NotFound(w, r)
	case n.shared.stopping.Load() || !n.tracker.ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// metricsAddress returns where the metrics are served, "" for nowhere.
func metricsAddress(s Settings) string {
	host, _, err := net.SplitHostPort(s.InboundAddress)
	if err != nil || s.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(s.MetricsPort))
}
