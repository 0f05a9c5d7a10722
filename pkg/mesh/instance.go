package mesh

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// EndpointState is the state of an endpoint as it announces it.
type EndpointState string

// The states of an endpoint.
const (
	EndpointReady    EndpointState = "ready"
	EndpointDraining EndpointState = "draining"
)

// Announcement is what an endpoint says of itself to the node beside it.
type Announcement struct {
	ID      string
	Service string
	Version string
	// Address is where the node beside the endpoint reaches it.
	Address string
	Slots   int
	State   EndpointState
	// StartUnixMs is the endpoint's start in Unix milliseconds; an endpoint that starts
	// again under its old id has a later one.
	StartUnixMs int64
	// Sequence orders the announcements of one start.
	Sequence int64
	// WarmupRemaining is how much longer the endpoint stays slow.
	WarmupRemaining time.Duration
}

// Endpoint is one endpoint in the entry that its node publishes.
type Endpoint struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	// Address and Born let the next process of the node use the endpoint before
	// it announces itself again.
	Address     string `json:"address,omitempty"`
	StartUnixMs int64  `json:"born,omitempty"`
	// WarmupMs is how long the endpoint stays slow after it was published.
	WarmupMs int64 `json:"warmupMs,omitempty"`
}

// EndedEndpoint is a start of an endpoint that has announced its end.
type EndedEndpoint struct {
	ID string `json:"id"`
	// StartUnixMs is the start in Unix milliseconds; earlier ones have ended as well.
	StartUnixMs int64 `json:"born"`
}

// Instance is the entry that a node publishes for its machine. It lists the
// endpoints that accept new requests, and those that no longer do, for the next
// process of the node.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Stopping is set while the node's process is being replaced: its endpoints
	// take no requests of other nodes until the next process has started.
	Stopping       bool            `json:"stopping,omitempty"`
	Endpoints      []Endpoint      `json:"endpoints"`
	EndedEndpoints []EndedEndpoint `json:"ended,omitempty"`
}

// Encode returns the stored form of the entry.
func (i Instance) Encode() ([]byte, error) {
	value, err := json.Marshal(i)
	return value, eris.Wrap(err, "encode instance entry")
}

// DecodeInstance reads a stored entry. An entry without a name or an address
// is an error; endpoints without id, service or slots are left out.
func DecodeInstance(value []byte) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(value, &i); err != nil {
		return Instance{}, eris.Wrap(err, "decode instance entry")
	}
	if i.Name == "" || i.Address == "" {
		return Instance{}, eris.New("instance entry lacks a name or an address")
	}
	kept := i.Endpoints[:0]
	for _, e := range i.Endpoints {
		if e.ID != "" && e.Service != "" && e.Slots > 0 {
			kept = append(kept, e)
		}
	}
	i.Endpoints = kept
	return i, nil
}

// Rollout is an order to move a service's traffic to a new version.
type Rollout struct {
	Service  string
	Version  string
	Duration time.Duration
	// State is the state that was last written; "" if none was.
	State RolloutState
	// Revision is opaque and changes with each write of the order or its state.
	Revision string
}

// KindRolloutState is the state of a rollout as operators see it.
type RolloutState string

// The states of a rollout. Completed and RolloutRolledBack are final.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Terminal reports whether the state can no longer change.
func (s RolloutState) Terminal() bool { return s == RolloutCompleted || s == RolloutRolledBack }
