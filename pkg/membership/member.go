// Package membership maintains the table of all nodes and their local targets,
// detects failed nodes and admits joining ones.
package membership

import (
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// State is the state of a member.
type State uint8

// The states of a member, in ascending precedence: of two records with the same
// incarnation and sequence, the one with the higher state wins.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

// TargetState is the state of an announced target.
type TargetState uint8

// The states of a target.
const (
	Starting TargetState = iota + 1
	Ready
	Draining
)

// Target is a back end that announced itself to the node on its instance.
type Target struct {
	ID      string      `cbor:"1,keyasint" json:"id"`
	Service string      `cbor:"2,keyasint" json:"service"`
	Version string      `cbor:"3,keyasint" json:"version"`
	Slots   int         `cbor:"4,keyasint" json:"slots"`
	State   TargetState `cbor:"5,keyasint" json:"state"`
	// Warmup is the time over which the traffic weight of a ready target rises to
	// its full value.
	Warmup time.Duration `cbor:"6,keyasint" json:"warmup"`
	// ReadySince is when the target became ready, by the clock of its node.
	ReadySince time.Time `cbor:"7,keyasint" json:"readySince"`
}

// Member is the record of one node. Only the node itself increments Incarnation
// and Sequence.
type Member struct {
	Instance        string             `cbor:"1,keyasint" json:"instance"`
	Incarnation     uint64             `cbor:"2,keyasint" json:"incarnation"`
	Sequence        uint64             `cbor:"3,keyasint" json:"sequence"`
	State           State              `cbor:"4,keyasint" json:"state"`
	Address         string             `cbor:"5,keyasint" json:"address"`
	AdminAddress    string             `cbor:"6,keyasint" json:"adminAddress"`
	Region          string             `cbor:"7,keyasint" json:"region"`
	FailureDomain   string             `cbor:"8,keyasint" json:"failureDomain"`
	ProtocolVersion int                `cbor:"9,keyasint" json:"protocol"`
	Targets         []Target           `cbor:"10,keyasint" json:"targets"`
	ChangedAt       timeline.Timestamp `cbor:"11,keyasint" json:"changed"`
}

// Endpoint is one target with the address and location of its node.
type Endpoint struct {
	Target
	Instance      string
	Address       string
	Region        string
	FailureDomain string
}

// View is an immutable copy of the member table.
type View struct {
	// Self is the local node's record.
	Self Member
	// Members holds the alive and suspect members, ordered by Instance.
	Members []Member
}

// Endpoints returns the targets of all members of the view.
func (v *View) Endpoints() []Endpoint {
	var endpoints []Endpoint
	for _, member := range v.Members {
		for _, target := range member.Targets {
			endpoints = append(endpoints, Endpoint{
				Target: target, Instance: member.Instance, Address: member.Address,
				Region: member.Region, FailureDomain: member.FailureDomain,
			})
		}
	}
	return endpoints
}
