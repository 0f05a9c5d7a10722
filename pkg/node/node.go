// Package node composes the roles of azurespring-node and runs them.
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

// Kinds of timeline events of the node itself.
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

	timeline     *timeline.EventLog
	transport    *transport.Transport
	gossip       *gossip.Service
	membership   *membership.Service
	store        *platform.InstrumentedStore
	distribution *distribution.Service
	idempotency  *idempotency.Service
	moves        *move.Service
	reports      *report.Service
	quarantine   *quarantine.Registry
	entry        *proxy.EntryHandler
	target       *proxy.TargetHandler
	admin        *admin.Server

	self    routing.Locality
	builder *routing.Builder
	table   atomic.Pointer[routing.Table]
	// changed holds a token while the routing table must be rebuilt.
	changed chan struct{}

	started time.Time
	servers *servers
	ready   atomic.Bool
	// fleetAnswers is set if a seed answered before the node joined.
	fleetAnswers bool
	// addresses are the addresses that were bound.
	addresses Addresses
}

// Addresses are the addresses that a node listens on, with the ports that were bound.
type Addresses struct {
	Caller, Target, NodeAdvertised, Admin string
	// NodeBound is the address that was bound; Node is the one that is advertised.
	NodeBound string
}

// New binds all listeners and composes the node. It returns an error if an
// address cannot be bound or a credential cannot be read.
func New(settings static.Settings, version string, logger *logrus.Logger) (*Node, error) {
	n := &Node{
		settings: settings, version: version, logger: logger, injector: do.New(), started: time.Now(),
		self: routing.Locality{
			Instance: settings.Instance, Region: settings.Region, FailureDomain: settings.FailureDomain,
		},
		builder: routing.NewBuilder(nil), changed: make(chan struct{}, 1),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.compose(); err != nil {
		n.servers.close()
		return nil, err
	}
	return n, nil
}

// Addresses returns the addresses that were bound.
func (n *Node) Addresses() Addresses { return n.addresses }

// ConfigVersion returns the configuration version in force, 0 before the first.
func (n *Node) ConfigVersion() uint64 { return n.distribution.Version() }

// Ready returns nil if the node serves callers.
func (n *Node) Ready() error {
	switch {
	case !n.ready.Load():
		return errors.New("node has not joined or is stopping")
	case n.distribution.Snapshot() == nil:
		return errors.New("no configuration is active yet")
	}
	return nil
}

// Run serves until ctx ends, then shuts down in order: it leaves the fleet,
// lets calls in flight end for at most the drain timeout, and closes.
func (n *Node) Run(ctx context.Context) error {
	// Roles outlive ctx, because calls in flight need them during the shutdown.
	roles, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRoles()
	group, roles := errgroup.WithContext(roles)
	n.startRoles(roles, group)
	stopReports := n.startReports(roles)
	n.servers.serve(group, n.entry, n.target.AnnouncementHandler(announcer{n.membership}), n.admin)
	n.recordListening()

	err := n.join(ctx)
	if err == nil {
		n.ready.Store(true)
		n.timeline.Record(timeline.Event{Kind: eventReady, ConfigVersion: n.distribution.Version()})
		select {
		case <-ctx.Done():
		case <-roles.Done():
		}
	}
	n.shutdown(context.WithoutCancel(ctx), stopReports)
	stopRoles()
	waitErr := group.Wait()
	n.timeline.Record(timeline.Event{Kind: eventStopped})
	if ctx.Err() != nil {
		return ignoreEnd(waitErr)
	}
	return errors.Join(err, ignoreEnd(waitErr))
}

func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) startRoles(ctx context.Context, group *errgroup.Group) {
	run := func(role func(context.Context)) {
		group.Go(func() error {
			role(ctx)
			return nil
		})
	}
	run(n.gossip.Run)
	run(n.membership.Run)
	run(n.distribution.Run)
	run(n.quarantine.Run)
	run(n.idempotency.Run)
	run(func(ctx context.Context) { _ = n.moves.Run(ctx) })
	run(n.rebuildOnChange)
}

// startReports runs the reports and returns the function that ends them, which
// must happen while the transport can still carry the last counters.
func (n *Node) startReports(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.reports.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// join makes the node a member of the fleet and waits until it has the highest
// configuration version that its peers know, so that it never serves an old one.
func (n *Node) join(ctx context.Context) error {
	if err := n.membership.Join(ctx, n.firstContacts(ctx)); err != nil {
		return eris.Wrap(err, "join the fleet")
	}
	n.awaitView(ctx)
	n.timeline.Record(timeline.Event{Kind: eventJoined})
	for {
		err := n.distribution.Bootstrap(ctx, n.bootstrapPeers())
		if err == nil || ctx.Err() != nil {
			return err
		}
		n.logger.WithError(err).Warn("no configuration could be had yet, trying again")
		select {
		case <-time.After(bootstrapRetry):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// bootstrapRetry is the time between attempts to get a first configuration.
const bootstrapRetry = time.Second

const (
	// rebuildInterval bounds how late the ramp of cold targets shows in the routing table.
	rebuildInterval = time.Second
	// rebuildPause is the least time between two builds. A build at 3,840 endpoints
	// takes 2.6 ms, and a herd of nodes changes the member table at each join.
	rebuildPause = 20 * time.Millisecond
)

// requestRebuild makes the routing table be rebuilt soon.
func (n *Node) requestRebuild() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// rebuildOnChange builds the routing table from one goroutine, so that a table
// of older parts never replaces a newer one.
func (n *Node) rebuildOnChange(ctx context.Context) {
	ticker := time.NewTicker(rebuildInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
		case <-ticker.C:
		}
		n.rebuildTable()
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebuildPause):
		}
	}
}

// rebuildTable compiles the routing table from the active configuration, the
// member table and the moves as they are now.
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

// shutdown ends the node's work in order, within the drain timeout. Other nodes
// stop choosing this one's targets before its calls are awaited.
func (n *Node) shutdown(ctx context.Context, stopReports func()) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	n.ready.Store(false)
	n.timeline.Record(timeline.Event{Kind: eventLeaving})
	n.entry.Drain()
	if err := n.membership.Leave(ctx); err != nil {
		n.logger.WithError(err).Warn("not all neighbours know that this node leaves")
	}
	n.servers.shutdownCaller(ctx)
	n.target.Drain()
	n.awaitCalls(ctx)
	stopReports()
	n.servers.shutdown(ctx)
	if err := n.transport.Close(ctx); err != nil {
		n.logger.WithError(err).Warn("calls from other nodes were still open at the end of the drain timeout")
	}
	n.target.Close()
}

// drainPoll is the time between looks at the calls in flight during a shutdown.
const drainPoll = 10 * time.Millisecond

func (n *Node) awaitCalls(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for n.entry.InFlight() > 0 || n.target.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// snapshot returns the active configuration, nil before the first.
func (n *Node) snapshot() *dynamic.Snapshot { return n.distribution.Snapshot() }
