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
	// maxInstanceEndpoints and maxEndedEndpoints bound the lists of one entry.
	maxInstanceEndpoints = 16
	maxEndedEndpoints    = 1000
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

// isPlausibleStart reports whether a process can have started at the given time.
func isPlausibleStart(now time.Time, startUnixMs int64) bool {
	return startUnixMs >= 0 && startUnixMs <= now.Add(maxClockLead).UnixMilli()
}
