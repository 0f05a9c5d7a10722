package mesh

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of what an entry or an announcement may say. Values beyond them were not
// written by an endpoint or its node, and would overflow or crowd out other endpoints.
const (
	maxSlots  = 1 << 20
	maxWarmup = time.Hour
	// maxClockLead is how far ahead of the local clock the start of a process may lie.
	maxClockLead = 365 * 24 * time.Hour
	// maxNameBytes bounds each name that an endpoint gives.
	maxNameBytes = 256
	// maxInstanceEndpoints and maxEndedEndpoints bound the lists of one entry.
	maxInstanceEndpoints = 16
	maxEndedEndpoints    = 1000
	// maxTombstones leaves room in an entry for the endpoints that are draining.
	maxTombstones = maxEndedEndpoints - maxInstanceEndpoints
)

// validateAddress checks that an address is an IP address with a port.
func validateAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return eris.Errorf("%.60q is not an IP address with a port", address)
	}
	return nil
}

// validate checks the parts of an entry that all its endpoints depend on.
func (i Instance) validate() error {
	switch {
	case i.Name == "":
		return eris.New("instance entry has no name")
	case len(i.Endpoints) > maxInstanceEndpoints:
		return eris.Errorf("instance entry has %d endpoints", len(i.Endpoints))
	case len(i.EndedEndpoints) > maxEndedEndpoints:
		return eris.Errorf("instance entry has %d ended endpoints", len(i.EndedEndpoints))
	}
	return validateAddress(i.Address)
}

func (e Endpoint) isValid() bool {
	if e.ID == "" || e.Service == "" || e.Slots <= 0 || e.Slots > maxSlots {
		return false
	}
	if e.StartUnixMs < 0 || e.WarmupMs < 0 || e.WarmupMs > maxWarmup.Milliseconds() {
		return false
	}
	return e.Address == "" || validateAddress(e.Address) == nil
}

// IsPlausibleStart reports whether a process can have started at the given time.
func IsPlausibleStart(now time.Time, startUnixMs int64) bool {
	return startUnixMs >= 0 && startUnixMs <= now.Add(maxClockLead).UnixMilli()
}

// Validate checks that an announcement describes an endpoint that can be used.
func (a Announcement) Validate(now time.Time) error {
	for _, name := range []string{a.ID, a.Service, a.Version} {
		if len(name) > maxNameBytes {
			return eris.Errorf("announcement has a name of %d bytes", len(name))
		}
	}
	switch {
	case a.ID == "" || a.Service == "":
		return eris.New("announcement lacks an id or a service")
	case a.Slots <= 0 || a.Slots > maxSlots:
		return eris.Errorf("announcement has %d slots", a.Slots)
	case a.State != EndpointReady && a.State != EndpointDraining:
		return eris.Errorf("state %.60q is unknown", a.State)
	case !IsPlausibleStart(now, a.StartUnixMs):
		return eris.Errorf("announcement of a process that started at %d ms", a.StartUnixMs)
	case a.Sequence < 0:
		return eris.Errorf("announcement has the sequence %d", a.Sequence)
	case a.WarmupRemaining > maxWarmup:
		return eris.Errorf("announcement has a slow start of %v", a.WarmupRemaining)
	}
	return validateAddress(a.Address)
}
