// Package node builds the components of azurespring-node, runs them and shuts them
// down.
package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/config/static"
	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/idempotency"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/proxy"
	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/report"
	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
)

// Kinds of timeline events that record the lifecycle of the node.
const (
	eventListening timeline.Kind = "node-listening"
	eventJoined    timeline.Kind = "node-joined"
	eventReady     timeline.Kind = "node-ready"
	eventLeaving   timeline.Kind = "node-leaving"
	eventStopped   timeline.Kind = "node-stopped"
)

// Node is one running azurespring-node.
type Node struct {
	settings static.Settings
	version  string
	logger   *logrus.Logger
	injector do.Injector

	timeline      *timeline.EventLog
	transport     *transport.Transport
	gossip        *gossip.Service
	membership    *membership.Service
	store         *platform.InstrumentedStore
	distribution  *distribution.Service
	idempotency   *idempotency.Service
	moves         *move.Service
	reports       *report.Service
	quarantine    *quarantine.Registry
	entryHandler  *proxy.EntryHandler
	targetHandler *proxy.TargetHandler
	adminServer   *admin.Server

	self    routing.Locality
	builder *routing.Builder
	table   atomic.Pointer[routing.Table]
	// rebuildRequested holds a value while a rebuild of the routing table is
	// pending.
	rebuildRequested chan struct{}

	started time.Time
	servers *servers
	ready   atomic.Bool
	// seedResponded is true if a seed responded before the node joined.
	seedResponded bool
	// addresses are the listen addresses after binding.
	addresses Addresses
}

// Addresses holds the addresses of a node's listeners, with the port that was
// bound where the setting asks for port 0.
type Addresses struct {
	Caller, Target, NodeAdvertised, Admin string
	// NodeBound is the address that was bound for other nodes; NodeAdvertised is
	// the one that other nodes connect to.
	NodeBound string
}

// New binds all listeners and builds all components. It returns an error if an
// address cannot be bound or a credential cannot be read.
func New(settings static.Settings, version string, logger *logrus.Logger) (*Node, error) {
	n := &Node{
		settings: settings, version: version, logger: logger, injector: do.New(), started: time.Now(),
		self: routing.Locality{
			Instance: settings.Instance, Region: settings.Region, FailureDomain: settings.FailureDomain,
		},
		builder: routing.NewBuilder(nil), rebuildRequested: make(chan struct{}, 1),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.buildComponents(); err != nil {
		n.servers.close()
		return nil, err
	}
	return n, nil
}

// Addresses returns the addresses of the node's listeners.
func (n *Node) Addresses() Addresses { return n.addresses }

// ConfigVersion returns the active configuration version, or 0 if there is none
// yet.
func (n *Node) ConfigVersion() uint64 { return n.distribution.Version() }

// Ready implements admin.NodeProvider.
func (n *Node) Ready() error {
	switch {
	case !n.ready.Load():
		return errors.New("node has not joined or is stopping")
	case n.distribution.Snapshot() == nil:
		return errors.New("no configuration is active yet")
	}
	return nil
}

// Run serves until ctx ends, then shuts down gracefully: the node leaves the
// fleet, waits for calls in flight, ends those that outlast the drain timeout with a
// response, and closes its listeners and connections.
func (n *Node) Run(ctx context.Context) error {
	// Components outlive ctx, because calls in flight need them during the shutdown.
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, componentCtx := errgroup.WithContext(componentCtx)
	n.startComponents(componentCtx, group)
	stopReports := n.startReports(componentCtx)
	n.servers.serve(group, n.entryHandler, n.targetHandler.AnnouncementHandler(announcer{n.membership}), n.adminServer)
	n.recordListening()

	err := n.join(ctx)
	if err == nil {
		n.ready.Store(true)
		n.timeline.Record(timeline.Event{Kind: eventReady, ConfigVersion: n.distribution.Version()})
		select {
		case <-ctx.Done():
		case <-componentCtx.Done():
		}
	}
	n.shutdown(context.WithoutCancel(ctx), stopReports)
	stopComponents()
	waitErr := group.Wait()
	n.timeline.Record(timeline.Event{Kind: eventStopped})
	if ctx.Err() != nil {
		return ignoreShutdownError(waitErr)
	}
	return errors.Join(err, ignoreShutdownError(waitErr))
}

// ignoreShutdownError returns nil for the errors that a normal shutdown causes.
func ignoreShutdownError(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) startComponents(ctx context.Context, group *errgroup.Group) {
	start := func(runComponent func(context.Context)) {
		group.Go(func() error {
			runComponent(ctx)
			return nil
		})
	}
	start(n.gossip.Run)
	start(n.membership.Run)
	start(n.distribution.Run)
	start(n.quarantine.Run)
	start(n.idempotency.Run)
	start(func(ctx context.Context) { _ = n.moves.Run(ctx) })
	start(n.rebuildOnChange)
}

// startReports runs the report service and returns a function that stops it. The
// service must stop before the transport closes, because it sends its last counters
// to other nodes.
func (n *Node) startReports(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.reports.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// join makes the node a member of the fleet and waits until it has the highest
// configuration version that its peers know, so that it never serves an outdated
// version.
func (n *Node) join(ctx context.Context) error {
	if err := n.membership.Join(ctx, n.joinAddresses(ctx)); err != nil {
		return eris.Wrap(err, "join the fleet")
	}
	n.waitForMemberView(ctx)
	n.timeline.Record(timeline.Event{Kind: eventJoined})
	for {
		err := n.distribution.Bootstrap(ctx, n.bootstrapPeers())
		if err == nil || ctx.Err() != nil {
			return err
		}
		n.logger.WithError(err).Warn("cannot fetch the first configuration, retrying")
		select {
		case <-time.After(bootstrapRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// bootstrapRetryDelay is the delay between attempts to fetch the first
// configuration.
const bootstrapRetryDelay = time.Second

const (
	// rebuildInterval is the longest time between two builds. It limits the delay
	// with which the slow start of targets changes the routing table.
	rebuildInterval = time.Second
	// minRebuildDelay is the delay after each build. A build with 3,840 endpoints
	// takes 2.6 ms, and when many nodes join at once, each join changes the member
	// table.
	minRebuildDelay = 20 * time.Millisecond
)

// requestRebuild schedules a rebuild of the routing table.
func (n *Node) requestRebuild() {
	select {
	case n.rebuildRequested <- struct{}{}:
	default:
	}
}

// rebuildOnChange rebuilds the routing table on request and every rebuildInterval.
// A single goroutine builds all tables, so that a table from older inputs never
// replaces a newer one.
func (n *Node) rebuildOnChange(ctx context.Context) {
	ticker := time.NewTicker(rebuildInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.rebuildRequested:
		case <-ticker.C:
		}
		n.rebuildTable()
		select {
		case <-ctx.Done():
			return
		case <-time.After(minRebuildDelay):
		}
	}
}

// rebuildTable builds the routing table from the active configuration, the member
// table and the traffic splits of the moves.
func (n *Node) rebuildTable() {
	if snapshot := n.distribution.Snapshot(); snapshot != nil {
		n.table.Store(n.builder.Build(snapshot, n.membership.View().Endpoints(), n.moves.TrafficSplits(), n.self))
	}
}

func (n *Node) recordListening() {
	n.timeline.Record(timeline.Event{Kind: eventListening, Fields: map[string]string{
		"caller": n.addresses.Caller, "target": n.addresses.Target,
		"node": n.addresses.NodeAdvertised, "nodeBound": n.addresses.NodeBound, "admin": n.addresses.Admin,
	}})
}

// shutdown stops the components in order, within the drain timeout. The node
// leaves the fleet before it waits for calls in flight, so that other nodes stop
// choosing its targets.
func (n *Node) shutdown(ctx context.Context, stopReports func()) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	n.servers.endCallsBefore(ctx)
	n.ready.Store(false)
	n.timeline.Record(timeline.Event{Kind: eventLeaving})
	n.entryHandler.Drain()
	if err := n.membership.Leave(ctx); err != nil {
		n.logger.WithError(err).Warn("cannot notify all neighbours that this node is leaving")
	}
	n.servers.shutdownCaller(ctx)
	n.targetHandler.Drain()
	n.waitForCalls(ctx)
	stopReports()
	n.servers.shutdown(ctx)
	if err := n.transport.Close(ctx); err != nil {
		n.logger.WithError(err).Warn("calls from other nodes were still open at the end of the drain timeout")
	}
	n.targetHandler.Close()
}

// waitPollInterval is the interval at which waits of the startup and the shutdown
// check their condition, for example whether calls are still in flight.
const waitPollInterval = 10 * time.Millisecond

// waitForCalls waits until no calls are in flight or ctx ends.
func (n *Node) waitForCalls(ctx context.Context) {
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for n.entryHandler.InFlight() > 0 || n.targetHandler.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// snapshot returns the active configuration, or nil if there is none yet.
func (n *Node) snapshot() *dynamic.Snapshot { return n.distribution.Snapshot() }
