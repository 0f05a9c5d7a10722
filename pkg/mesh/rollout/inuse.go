package rollout

import (
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// InUse is the stored version that serves a service's requests while no rollout says
// otherwise. Endpoints of another version wait for the order to move traffic to them.
type InUse struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Era is the era of the store in which the object was written.
	Era uint64 `json:"era,omitempty"`
}

// Times after which the version in use is stored.
const (
	// firstUseDelay lets the endpoints of a fleet that starts announce themselves.
	firstUseDelay = time.Second
	// abandonedDelay is how long a version must have had no endpoint before the service is
	// taken to be of another one. Endpoints that have crashed are back within seconds.
	abandonedDelay = time.Minute
)

// ServiceView is what a node knows of the versions of a service.
type ServiceView struct {
	// InUse is the version in use; "" if none is known. IsStored is set if it is what the
	// store holds: another writer may have replaced or deleted it.
	InUse    string
	IsStored bool
	// EndpointCounts holds the number of endpoints by version.
	EndpointCounts map[string]int
	// Target and TargetState are those of the service's rollout; "" if there is none.
	Target      string
	TargetState mesh.RolloutState
}

// NextInUse returns the version that is to be stored as in use, and the time for which
// this must have been so. ok is false if the stored version is right.
func (v ServiceView) NextInUse() (version string, delay time.Duration, ok bool) {
	switch {
	case v.TargetState == mesh.RolloutCompleted:
		return v.Target, 0, v.InUse != v.Target || !v.IsStored
	case v.TargetState == mesh.RolloutRolledBack && v.InUse == v.Target:
		// One node was about to complete the rollout when another one rolled it back.
		version = v.mostCommon()
		return version, 0, version != ""
	case v.InUse != "" && !v.IsStored:
		return v.InUse, 0, true
	}
	if v.InUse != "" && v.EndpointCounts[v.InUse] > 0 {
		return "", 0, false
	}
	version = v.mostCommon()
	delay = firstUseDelay
	if v.InUse != "" {
		delay = abandonedDelay
	}
	return version, delay, version != ""
}

// mostCommon returns the version with the most endpoints, without that of a rollout that is
// not completed; "" if there is none.
func (v ServiceView) mostCommon() string {
	best := ""
	for version, count := range v.EndpointCounts {
		if version == v.Target || count == 0 {
			continue
		}
		if most := v.EndpointCounts[best]; best == "" || count > most || count == most && version < best {
			best = version
		}
	}
	return best
}
