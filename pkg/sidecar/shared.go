package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
)

// shared is what the parts of a node have in common.
type shared struct {
	settings Settings
	headers  HeaderNames
	now      func() time.Time
	log      *eventLog
	metrics  *metrics
	rollouts *rolloutTracker
	// uplink orders what this node sends on its machine's link.
	uplink *uplink
	// snapshot and table are nil until the store was read.
	snapshot atomic.Pointer[mesh.Snapshot]
	table    atomic.Pointer[placement.Table]
	// service is the service of the endpoint beside this node, which a reload of
	// the settings may change.
	service  atomic.Pointer[string]
	stopping atomic.Bool
	// heardConfig and heardOrders are the highest that any node, this one included,
	// is known to have read. They are passed on before this node has read them too:
	// else news took one pause for each node on its way.
	heardConfig, heardOrders atomic.Uint64
	// withdrawn is set once calls of other nodes are no longer taken.
	withdrawn atomic.Bool
	// refusing is set for the last part of a stop: new requests are not taken.
	refusing atomic.Bool
	// orders is the revision of the newest rollout known here; 0 if there is none.
	orders atomic.Uint64
	// newer is called if another node was heard to know a newer configuration or
	// newer rollouts.
	newer func()
	// endpointsChanged is called after the endpoints beside this node changed.
	endpointsChanged func()
	// known reports whether all that requests depend on is known; state encodes it
	// for another node, and adopt takes it in from one.
	known func() bool
	state func() ([]byte, error)
	adopt func(encoded []byte) error
	// awaitPublished reports whether this node's entry is stored as it is now
	// within the given time.
	awaitPublished func(wait time.Duration) bool
}

// configVersion returns the configuration version in force; 0 if there is none.
func (s *shared) configVersion() uint64 {
	if snapshot := s.snapshot.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// observe takes in what another node knows: the version of its configuration and
// the revision of its newest rollout. A node whose own watch hears nothing, or is
// about to wait for long, learns of a change from the nodes that it calls or that
// call it.
func (s *shared) observe(config, orders uint64) {
	raise(&s.heardConfig, config)
	raise(&s.heardOrders, orders)
	if config > s.configVersion() || orders > s.orders.Load() {
		s.newer()
	}
}

func raise(value *atomic.Uint64, to uint64) {
	for current := value.Load(); current < to; current = value.Load() {
		if value.CompareAndSwap(current, to) {
			return
		}
	}
}
