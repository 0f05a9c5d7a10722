package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
)

func splitTable(t *testing.T, sticky bool, share int) *Table {
	t.Helper()
	snapshot, err := dynamic.Compile(dynamic.Manifest{Version: 1}, dynamic.Config{
		Services: []dynamic.Service{{Name: "stock", Version: "1", Sticky: sticky}},
	})
	assert.NilError(t, err)
	endpoint := func(version string) membership.Endpoint {
		return membership.Endpoint{
			Target:   membership.Target{ID: version, Service: "stock", Version: version, Slots: 8, State: membership.Ready},
			Instance: "node-" + version,
		}
	}
	splits := move.TrafficSplits{"stock": {From: "1", To: "2", Share: share}}
	endpoints := []membership.Endpoint{endpoint("1"), endpoint("2")}
	return NewBuilder(nil).Build(snapshot, endpoints, splits, Locality{})
}

// The share of the new version must not depend on the number of customers, and all
// calls of a customer to a sticky service must reach the same version.
func TestTrafficSplitDividesCalls(t *testing.T) {
	const calls = 10_000
	// The discrepancy of multiples of the golden ratio grows as the logarithm of
	// their number; for 10,000 it is below 5 calls.
	const tolerance = 5
	tests := []struct {
		name      string
		sticky    bool
		share     int
		low, high int
	}{
		{"one percent of one customer's calls", false, 100, 100 - tolerance, 100 + tolerance},
		{"half of one customer's calls", false, 5000, 5000 - tolerance, 5000 + tolerance},
		{"none", false, 0, 0, 0},
		{"all", false, move.ShareDenominator, calls, calls},
		{"sticky customer inside the share", true, StickyPosition("a", "stock") + 1, calls, calls},
		{"sticky customer outside the share", true, StickyPosition("a", "stock"), 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := splitTable(t, tt.sticky, tt.share)
			callsToNewVersion := 0
			for range calls {
				e, err := table.Choose("stock", "a", nil, time.Now())
				assert.Assert(t, err == nil)
				if e.Version == "2" {
					callsToNewVersion++
				}
			}
			assert.Assert(t, callsToNewVersion >= tt.low && callsToNewVersion <= tt.high, "%d calls reached the new version", callsToNewVersion)
		})
	}
}

// A retry after an attempt at the new version must go to the old version, so that
// it doesn't add to the new version's share.
func TestRetryReachesOldVersion(t *testing.T) {
	table := splitTable(t, false, 5000)
	for range 100 {
		first, err := table.Choose("stock", "a", nil, time.Now())
		assert.Assert(t, err == nil)
		if first.Version != "2" {
			continue
		}
		second, err := table.Choose("stock", "a", []*Endpoint{first}, time.Now())
		assert.Assert(t, err == nil)
		assert.Equal(t, second.Version, "1")
	}
}
