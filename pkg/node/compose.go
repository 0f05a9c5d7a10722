package node

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/uber-go/tally/v4"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/idempotency"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/platform/objectapi"
	"github.com/azurespring/azurespring/pkg/proxy"
	"github.com/azurespring/azurespring/pkg/quarantine"
	"github.com/azurespring/azurespring/pkg/report"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
)

// buildComponents registers the constructors of all components and invokes each
// once, so that a missing or failing component is reported before the node serves.
func (n *Node) buildComponents() error {
	do.Provide(n.injector, n.newClock)
	do.Provide(n.injector, n.newTimeline)
	do.Provide(n.injector, n.newMetrics)
	do.Provide(n.injector, n.newTransport)
	do.Provide(n.injector, n.newStore)
	do.Provide(n.injector, n.newRateLimitedStore)
	do.Provide(n.injector, n.newGossip)
	do.Provide(n.injector, n.newMembership)
	do.Provide(n.injector, n.newDistribution)
	do.Provide(n.injector, n.newMoves)
	do.Provide(n.injector, n.newReports)
	do.Provide(n.injector, n.newIdempotency)
	do.Provide(n.injector, n.newQuarantine)
	do.Provide(n.injector, n.newTargetHandler)
	do.Provide(n.injector, n.newEntryHandler)
	do.Provide(n.injector, n.newAdminServer)

	steps := []func() error{
		invoke(n, &n.timeline), invoke(n, &n.transport), invoke(n, &n.store), invoke(n, &n.gossip),
		invoke(n, &n.membership), invoke(n, &n.distribution), invoke(n, &n.moves), invoke(n, &n.reports), invoke(n, &n.idempotency),
		invoke(n, &n.quarantine), invoke(n, &n.targetHandler), invoke(n, &n.entryHandler), invoke(n, &n.adminServer),
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	n.wireComponents()
	return nil
}

// invoke returns a function that builds the component of type T and stores it in
// field.
func invoke[T any](n *Node, field *T) func() error {
	return func() (err error) {
		*field, err = do.Invoke[T](n.injector)
		return err
	}
}

// wireComponents registers the callbacks and message handlers between components.
func (n *Node) wireComponents() {
	n.distribution.OnActivate(func(*dynamic.Snapshot) { n.requestRebuild() })
	n.membership.OnViewChange(func(*membership.View) { n.requestRebuild() })
	n.moves.OnTrafficSplitsChange(func(move.TrafficSplits) { n.requestRebuild() })
	n.gossip.RegisterTopic(gossip.TopicConfig, distribution.MergeAnnouncements, n.distribution.OnConfigItem)
	n.gossip.RegisterTopic(gossip.TopicMoves, n.moves.Merge, n.moves.OnItem)
	n.gossip.RegisterTopic(gossip.TopicQuarantine, quarantine.Merge, n.quarantine.OnItem)
	n.transport.HandleMessage(transport.KindDistribution, n.distribution.HandleMessage)
	n.transport.HandleMessage(transport.KindMove, n.moves.HandleMessage)
	n.transport.HandleMessage(transport.KindReport, n.reports.HandleMessage)
	n.transport.HandleMessage(transport.KindIdempotency, n.idempotency.HandleMessage)
	n.transport.HandleCalls(n.targetHandler.ServeCall)
}

func (n *Node) newClock(do.Injector) (*timeline.Clock, error) {
	return timeline.NewClock(time.Now), nil
}

func (n *Node) newTimeline(i do.Injector) (*timeline.EventLog, error) {
	origin := timeline.Origin{
		Instance: n.settings.Instance, FailureDomain: n.settings.FailureDomain, Region: n.settings.Region,
	}
	return timeline.NewEventLog(do.MustInvoke[*timeline.Clock](i), origin, n.logger), nil
}

// metrics holds the root metrics scope and the HTTP handler that serves it.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

func (n *Node) newMetrics(do.Injector) (*metrics, error) {
	scope, handler, closer := admin.NewMetrics(n.logger)
	return &metrics{scope: scope, handler: handler, closer: closer}, nil
}

func (n *Node) newTransport(i do.Injector) (*transport.Transport, error) {
	files := n.settings.TLS
	source, err := transport.NewTLSSource(files.CertFile, files.KeyFile, files.CAFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the node's certificate")
	}
	t, err := transport.Listen(transport.Options{
		ListenAddress: n.settings.NodeListenAddress, TLS: source, Logger: n.logger,
		Scope: do.MustInvoke[*metrics](i).scope, Clock: do.MustInvoke[*timeline.Clock](i),
		IsOtherRegion: n.isOtherRegion,
	})
	if err != nil {
		return nil, eris.Wrap(err, "listen for connections from other nodes")
	}
	n.addresses.NodeBound = t.Address()
	n.addresses.NodeAdvertised = advertisedAddress(n.settings.NodeAdvertiseAddress, t.Address())
	return t, nil
}

func (n *Node) newStore(i do.Injector) (*platform.InstrumentedStore, error) {
	settings := n.settings.Platform
	options := objectapi.Options{BaseURL: settings.URL}
	if settings.TokenFile != "" {
		token, err := os.ReadFile(settings.TokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read the platform's token")
		}
		options.Token = strings.TrimSpace(string(token))
	}
	if settings.CAFile != "" {
		client, err := newClientWithCA(settings.CAFile)
		if err != nil {
			return nil, err
		}
		options.HTTPClient = client
	}
	client, err := objectapi.New(options)
	if err != nil {
		return nil, err
	}
	return platform.NewInstrumentedStore(client, do.MustInvoke[*metrics](i).scope), nil
}

// newClientWithCA returns an HTTP client that trusts the certificate authorities
// in a PEM file.
func newClientWithCA(caFile string) (*http.Client, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the platform's CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("CA file %s contains no certificate", caFile)
	}
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: base}, nil
}

// idempotencySegmentLimits are the rate limits for stored idempotency claims on a
// node that owns shards. A caller waits for each write. With these limits, 16
// owners together stay within the several hundred writes per second that the
// platform accepts.
var idempotencySegmentLimits = platform.RateLimits{WritesPerSecond: 20, ReadsPerSecond: 20, WriteBurst: 40, ReadBurst: 200}

// newRateLimitedStore returns the platform client for the components of this node,
// which share one rate limit per kind of object.
func (n *Node) newRateLimitedStore(i do.Injector) (*platform.RateLimitedStore, error) {
	limits := platform.DefaultCallLimits()
	limits.Default.WritesPerSecond = n.settings.Platform.WritesPerSecond
	limits.Default.ReadsPerSecond = n.settings.Platform.ReadsPerSecond
	limits.MaxWatches = n.settings.Platform.MaxWatches
	limits.PerKind[platform.KindIdempotencySegment] = idempotencySegmentLimits
	return platform.NewRateLimitedStore(do.MustInvoke[*platform.InstrumentedStore](i), limits), nil
}

func (n *Node) newGossip(i do.Injector) (*gossip.Service, error) {
	t := do.MustInvoke[*transport.Transport](i)
	return gossip.New(gossip.Options{
		Address: n.addresses.NodeAdvertised, Messenger: t, RandomSeed: rand.Uint64(), Logger: n.logger,
		Scope: do.MustInvoke[*metrics](i).scope,
	}), nil
}

func (n *Node) newMembership(i do.Injector) (*membership.Service, error) {
	return membership.New(membership.Options{
		Self: membership.Member{
			Instance: n.settings.Instance, Address: n.addresses.NodeAdvertised, AdminAddress: n.addresses.Admin,
			Region: n.settings.Region, FailureDomain: n.settings.FailureDomain, ProtocolVersion: transport.ProtocolV1,
		},
		Seeds: n.settings.Seeds, Messenger: do.MustInvoke[*transport.Transport](i),
		Gossip: do.MustInvoke[*gossip.Service](i), RandomSeed: rand.Uint64(), Logger: n.logger,
	}), nil
}

func (n *Node) newDistribution(i do.Injector) (*distribution.Service, error) {
	return distribution.New(distribution.Options{
		Store: do.MustInvoke[*platform.RateLimitedStore](i), Requester: do.MustInvoke[*transport.Transport](i),
		Publisher: do.MustInvoke[*gossip.Service](i), Instance: n.settings.Instance, Region: n.settings.Region,
		Timeline: do.MustInvoke[*timeline.EventLog](i), Logger: n.logger,
		Peers: n.pullPeers, IsReaderCandidate: n.isReaderCandidate, BootstrapAddresses: n.bootstrapAddresses,
	})
}

func (n *Node) newMoves(i do.Injector) (*move.Service, error) {
	store := do.MustInvoke[*platform.RateLimitedStore](i)
	return move.New(move.Options{
		Instance: n.settings.Instance, Snapshot: n.snapshot, View: do.MustInvoke[*membership.Service](i).View,
		Requester: do.MustInvoke[*transport.Transport](i), Publisher: do.MustInvoke[*gossip.Service](i),
		Store: store, Leases: newLeaseFactory(store, n.settings.Instance, n.logger),
		Timeline: do.MustInvoke[*timeline.EventLog](i),
	}), nil
}

func (n *Node) newReports(i do.Injector) (*report.Service, error) {
	return report.New(report.Options{
		Instance: n.settings.Instance, Snapshot: n.snapshot, View: do.MustInvoke[*membership.Service](i).View,
		Requester: do.MustInvoke[*transport.Transport](i), Store: do.MustInvoke[*platform.RateLimitedStore](i),
		Logger: n.logger,
	}), nil
}

func (n *Node) newIdempotency(i do.Injector) (*idempotency.Service, error) {
	return idempotency.New(idempotency.Options{
		Store: do.MustInvoke[*platform.RateLimitedStore](i), Requester: do.MustInvoke[*transport.Transport](i),
		ShardOwner: n.shardOwner, Logger: n.logger,
	})
}

func (n *Node) newQuarantine(i do.Injector) (*quarantine.Registry, error) {
	return quarantine.New(nil, do.MustInvoke[*gossip.Service](i), nil), nil
}

// proxyOptions returns the options that the entry and the target handler share.
func (n *Node) proxyOptions(i do.Injector) proxy.Options {
	return proxy.Options{
		Locality: n.self, RoutingTable: n.table.Load, Snapshot: n.snapshot, CallOpener: do.MustInvoke[*transport.Transport](i),
		Observer:   observation.MultiObserver{do.MustInvoke[*move.Service](i), do.MustInvoke[*report.Service](i)},
		Timeline:   do.MustInvoke[*timeline.EventLog](i),
		Quarantine: do.MustInvoke[*quarantine.Registry](i),
		Claimer:    &claimer{service: do.MustInvoke[*idempotency.Service](i)},
	}
}

func (n *Node) newTargetHandler(i do.Injector) (*proxy.TargetHandler, error) {
	return proxy.NewTargetHandler(n.proxyOptions(i)), nil
}

func (n *Node) newEntryHandler(i do.Injector) (*proxy.EntryHandler, error) {
	return proxy.NewEntryHandler(n.proxyOptions(i), do.MustInvoke[*proxy.TargetHandler](i)), nil
}
