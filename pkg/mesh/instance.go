package mesh

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// EndpointState is the state that an endpoint announces.
type EndpointState string

// The states of an endpoint.
const (
	EndpointReady    EndpointState = "ready"
	EndpointDraining EndpointState = "draining"
)

// Announcement is the state that an endpoint announces to its local node.
type Announcement struct {
	ID      string
	Service string
	Version string
	// Address is the address at which the local node reaches the endpoint.
	Address string
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	State EndpointState
	// StartUnixMs is the start time of the endpoint process in Unix milliseconds. A
	// process that restarts under the same ID has a later one.
	StartUnixMs int64
	// Sequence orders the announcements of one endpoint process.
	Sequence int64
	// WarmupRemaining is the remaining time of the endpoint's slow start.
	WarmupRemaining time.Duration
}

// Endpoint is an endpoint in the instance entry that its node publishes.
type Endpoint struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	// Address and StartUnixMs let the node's next process use the endpoint before
	// it announces itself again.
	Address     string `json:"address,omitempty"`
	StartUnixMs int64  `json:"born,omitempty"`
	// WarmupMs is the remaining slow start at the time of publication.
	WarmupMs int64 `json:"warmupMs,omitempty"`
}

// EndedEndpoint identifies an endpoint process that has deregistered or drains.
type EndedEndpoint struct {
	ID string `json:"id"`
	// StartUnixMs is the start time of the process in Unix milliseconds; earlier
	// processes under this ID have ended as well.
	StartUnixMs int64 `json:"born"`
}

// Instance is the entry that a node publishes for its instance. It lists the
// endpoints that accept new requests and, for the next process of the node, those
// that have ended.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Stopping is set while the node's process is replaced: other nodes send its
	// endpoints no requests until the next process has started.
	Stopping       bool            `json:"stopping,omitempty"`
	Endpoints      []Endpoint      `json:"endpoints"`
	EndedEndpoints []EndedEndpoint `json:"ended,omitempty"`
	// Crashes are the latest crashes of local endpoints, oldest first, and Acquittals the
	// latest suspects that a local endpoint has run to their end.
	Crashes    []Crash     `json:"crashes,omitempty"`
	Acquittals []Acquittal `json:"acquittals,omitempty"`
	// CPUShare is the part of a core that the instance has, 0 if unknown.
	CPUShare float64 `json:"cpuShare,omitempty"`
	// Era is the era of the store in which the entry was written.
	Era uint64 `json:"era,omitempty"`
}

// Encode returns the stored form of the instance entry.
func (i Instance) Encode() ([]byte, error) {
	value, err := json.Marshal(i)
	return value, eris.Wrap(err, "encode instance entry")
}

// DecodeInstance decodes a stored instance entry. An entry without a name or an address
// that can be used is an error; endpoints that cannot be used are skipped.
func DecodeInstance(value []byte) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(value, &i); err != nil {
		return Instance{}, eris.Wrap(err, "decode instance entry")
	}
	if err := i.validate(); err != nil {
		return Instance{}, err
	}
	seen := make(map[string]bool, len(i.Endpoints))
	i.Endpoints = slices.DeleteFunc(i.Endpoints, func(e Endpoint) bool {
		isUnusable := !e.isValid() || seen[e.ID]
		seen[e.ID] = true
		return isUnusable
	})
	i.limitCrashes()
	return i, nil
}

// Rollout requests to shift a service's traffic to a new target version.
type Rollout struct {
	Service  string
	Version  string
	Duration time.Duration
	// State is the state that was last written; "" if none was.
	State RolloutState
	// Revision is opaque and changes with each write of the rollout or its state.
	Revision string
}

// RolloutState is the state of a rollout as operators see it.
type RolloutState string

// The states of a rollout. RolloutCompleted and RolloutRolledBack are terminal.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Terminal reports whether the state can no longer change.
func (s RolloutState) Terminal() bool { return s == RolloutCompleted || s == RolloutRolledBack }
