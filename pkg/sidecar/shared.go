package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/clientlimit"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/quotasync"
)

// shared holds what the components of a node have in common.
type shared struct {
	settings Settings
	headers  HeaderNames
	now      func() time.Time
	log      *eventLog
	metrics  *metrics
	rollouts *rolloutTracker
	// guard counts what clients hold; nil means no limits.
	guard *clientlimit.Guard
	// uplink schedules what this node sends on the link of its instance.
	uplink *uplink
	// snapshot and table are nil until the store has been read.
	snapshot atomic.Pointer[mesh.Snapshot]
	table    atomic.Pointer[placement.Table]
	// evacuations is nil while the deployment has them and they have not been read.
	evacuations atomic.Pointer[evacuation.Set]
	// evacuationRevision is the revision of the store up to which all evacuations are known
	// here; newestEvacuationRevision that of the newest change that any node has read.
	evacuationRevision, newestEvacuationRevision atomic.Uint64
	// service is the service of the local endpoint; a reload of the settings may change
	// it.
	service atomic.Pointer[string]
	// shutdown is nil until the node shuts down. requestsEnd is canceled, by endRequests,
	// when all requests have to end.
	shutdown    atomic.Pointer[shutdownSchedule]
	requestsEnd context.Context
	endRequests context.CancelFunc
	// newestConfigVersion and newestRolloutRevision are the highest that any node,
	// including this one, is known to have read. They are forwarded before this node
	// has read them itself; otherwise an update would be delayed by one fetch pause for
	// each node on its way.
	newestConfigVersion, newestRolloutRevision atomic.Uint64
	// isInboundClosed is set once calls of other nodes are rejected.
	isInboundClosed atomic.Bool
	// isRejectingNew is set for the last part of a shutdown, in which all new requests are
	// rejected.
	isRejectingNew atomic.Bool
	// rolloutRevision is the revision of the newest rollout that this node has read; 0
	// if there is none.
	rolloutRevision atomic.Uint64
	// onNewerRevision is called if another node reported a newer configuration or newer
	// rollouts. newerAt is the address of a node that did; it is nil if none is known.
	onNewerRevision func()
	newerAt         atomic.Pointer[string]
	// hasNodeAt reports whether a node has the given inbound address.
	hasNodeAt func(address string) bool
	// onEndpointsChanged is called after the local endpoints have changed.
	onEndpointsChanged func()
	// isCertain reports whether the store has lately confirmed the configuration.
	isCertain func() bool
	// isLoaded reports whether everything that requests depend on is known. encodeState
	// encodes it for another node; applyState applies what another node sent.
	isLoaded    func() bool
	encodeState func() ([]byte, error)
	applyState  func(encoded []byte) error
	// quota bounds the requests of tenants over all nodes.
	quota *quotasync.Service
	// awaitPublished reports whether all changes so far of this node's entry are stored
	// within the given time.
	awaitPublished func(wait time.Duration) bool
}

func (s *shared) isShuttingDown() bool { return s.shutdown.Load() != nil }

// configVersion returns the active configuration version; 0 if there is none.
func (s *shared) configVersion() uint64 {
	if snapshot := s.snapshot.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// canaryOrder returns the order in which the endpoints of a service take canary requests.
func (s *shared) canaryOrder(service string) placement.CanaryOrder {
	order := placement.CanaryOrder{Evacuations: s.evacuations.Load()}
	if snapshot := s.snapshot.Load(); snapshot != nil {
		order.RegionScore = snapshot.RegionScore(service)
	}
	return order
}

// recordRemoteRevisions records the configuration version and the revision of the
// newest rollout that the node at address reported; "" if its address is not known. A
// node whose own source is silent, or pauses for long, learns of a change from the nodes
// that it calls and from those that call it.
func (s *shared) recordRemoteRevisions(configVersion, rolloutRevision uint64, address string) {
	storeMax(&s.newestConfigVersion, configVersion)
	storeMax(&s.newestRolloutRevision, rolloutRevision)
	if configVersion <= s.configVersion() && rolloutRevision <= s.rolloutRevision.Load() {
		return
	}
	if address != "" {
		s.newerAt.Store(&address)
	}
	s.onNewerRevision()
}

// callerAddress returns the inbound address of the node that sent r, "" if it is not
// known. All nodes of a deployment listen on the same ports.
func (s *shared) callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(s.settings.InboundAddress)
	if err != nil {
		return ""
	}
	if address := net.JoinHostPort(host, port); s.hasNodeAt != nil && s.hasNodeAt(address) {
		return address
	}
	return ""
}

// storeMax sets value to candidate unless it is already as high.
func storeMax(value *atomic.Uint64, candidate uint64) {
	for current := value.Load(); current < candidate; current = value.Load() {
		if value.CompareAndSwap(current, candidate) {
			return
		}
	}
}
