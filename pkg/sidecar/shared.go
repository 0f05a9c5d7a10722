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
	headers  Headers
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
	// withdrawn is set once calls of other nodes are no longer taken.
	withdrawn atomic.Bool
	// refusing is set for the last part of a stop: new requests are not taken.
	refusing atomic.Bool
	// newerConfiguration is called with a version above the one in force that
	// another node was heard to have.
	newerConfiguration func(version uint64)
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

// observeConfiguration takes in the configuration version of another node. A node
// whose own watch hears nothing learns of a change from the nodes it calls.
func (s *shared) observeConfiguration(version uint64) {
	if version > s.configVersion() {
		s.newerConfiguration(version)
	}
}
