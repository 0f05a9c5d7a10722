package sidecar

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/platform"
)

// anywhere is the restriction of requests that may be sent to all endpoints, and anyCanary
// the order of canaries without regions and evacuations.
var (
	anywhere  = placement.Restriction{Evacuations: evacuation.None}
	anyCanary = placement.CanaryOrder{Evacuations: evacuation.None}
)

// tableOf returns a table with two endpoints of each version of service s.
func tableOf(now time.Time, versions ...string) *placement.Table {
	var instances []mesh.Instance
	for _, version := range versions {
		for _, n := range []string{"a", "b"} {
			instances = append(instances, mesh.Instance{
				Name: version + n, Address: "127.0.0.1:1", FailureDomain: "d", Region: "r",
				Endpoints: []mesh.Endpoint{{ID: version + n, Service: "s", Version: version, Slots: 4}},
			})
		}
	}
	return placement.NewBuilder(placement.Locality{Instance: "x", FailureDomain: "d", Region: "r"}).Build(now, instances)
}

// countVersions counts the versions of the first candidate of n requests.
func countVersions(rt *rolloutTracker, table *placement.Table, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		for _, e := range rt.candidates(table, "s", true, anywhere, anyCanary)[:1] {
			counts[e.Version]++
		}
	}
	return counts
}

// Verifies that a version is avoided after a node has rejected a call because all
// requests moved to another version. A node that has not read that change yet otherwise
// keeps sending calls that are rejected: 633 on a day of high load, for seconds after
// the shift.
func TestVersionClosedByRemoteNodeIsAvoided(t *testing.T) {
	now := time.Now()
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 1 })
	defer log.close(time.Second)
	rt := newRolloutTracker(func() time.Time { return now }, log, func() {})
	both := tableOf(now, "v1", "v2")
	canary := mesh.Rollout{Service: "s", Version: "v2", Duration: 10 * time.Second, State: mesh.RolloutRunning}
	rt.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: []mesh.Rollout{canary}})
	assert.DeepEqual(t, countVersions(rt, both, 5), map[string]int{"v1": 5})

	rt.markClosed("s", "v1")
	assert.DeepEqual(t, countVersions(rt, both, 5), map[string]int{"v2": 5})
	now = now.Add(closedVersionTTL)
	assert.DeepEqual(t, countVersions(rt, both, 5), map[string]int{"v1": 5})

	// A version that was rolled back gets no requests, whatever other nodes reported.
	rt.markClosed("s", "v1")
	canary.State = mesh.RolloutRolledBack
	rt.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: []mesh.Rollout{canary}})
	assert.Equal(t, len(rt.candidates(both, "s", false, anywhere, anyCanary)), 0)
}

// Verifies that a new version does not get all requests only because no endpoint of the
// old version is known for a moment, as after a restart of all nodes.
func TestNewVersionGetsNoTrafficWhenOldIsUnknown(t *testing.T) {
	now := time.Now()
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 1 })
	defer log.close(time.Second)
	rt := newRolloutTracker(func() time.Time { return now }, log, func() {})
	canary := mesh.Rollout{Service: "s", Version: "v2", Duration: 10 * time.Second, State: mesh.RolloutRunning}
	rt.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: []mesh.Rollout{canary}})
	assert.Equal(t, len(rt.candidates(tableOf(now, "v2"), "s", true, anywhere, anyCanary)), 0)
}

// Verifies that a version gets no requests without an order, however many endpoints it has:
// endpoints of the version in use may leave at any time.
func TestVersionWithoutOrderGetsNoRequests(t *testing.T) {
	now := time.Now()
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 1 })
	defer log.close(time.Second)
	rt := newRolloutTracker(func() time.Time { return now }, log, func() {})
	order := func(version string, state mesh.RolloutState) {
		rt.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: []mesh.Rollout{{Service: "s", Version: version, Duration: 10 * time.Second, State: state}}})
		now = now.Add(handoverPeriod)
	}
	rt.setInUse(rollout.InUse{Service: "s", Version: "v2"})
	all, others := tableOf(now, "v1", "v2", "v3"), tableOf(now, "v1", "v3")
	check := func(name string, table *placement.Table, want map[string]int) {
		t.Helper()
		assert.DeepEqual(t, countVersions(rt, table, 5), want)
		for _, version := range []string{"v1", "v3"} {
			assert.Equal(t, rt.isAllowed("s", version), want[version] > 0 || name == version, name)
		}
	}
	check("no rollout", all, map[string]int{"v2": 5})
	assert.Equal(t, len(rt.candidates(others, "s", false, anywhere, anyCanary)), 0)
	order("v1", mesh.RolloutRolledBack)
	check("another one rolled back", all, map[string]int{"v2": 5})
	order("v1", mesh.RolloutRunning)
	check("v1", all, map[string]int{"v2": 5})
	order("v2", mesh.RolloutCompleted)
	check("completed", all, map[string]int{"v2": 5})
	assert.Equal(t, len(rt.candidates(others, "s", false, anywhere, anyCanary)), 0)
}

// Verifies that a process which was paused does not act on what it saw before: the endpoints
// of the version in use may have been back meanwhile, and its view may be old.
func TestPausedNodeDoesNotReplaceVersionInUse(t *testing.T) {
	tr, logText := newTestTracker(t)
	defer logText()
	now := time.Now()
	tr.deps.now = func() time.Time { return now }
	store := &writeCounter{}
	tr.store = store
	tr.replace(platform.KindMeshState, []platform.Object{
		entryOf(t, "n", 2), stateObject(inUsePrefix+"s", 3, `{"service":"s","version":"gone"}`),
	})
	tr.deps.table.Store(placement.NewBuilder(placement.Locality{Instance: "n"}).Build(now, []mesh.Instance{
		{Name: "n", Address: "10.0.0.9:1", Endpoints: []mesh.Endpoint{{ID: "e", Service: "s", Version: "v", Slots: 1}}},
	}))
	for range 10 {
		tr.storeVersionsInUse(t.Context())
		now = now.Add(inUsePollInterval)
	}
	now = now.Add(2 * time.Minute) // The pause.
	tr.storeVersionsInUse(t.Context())
	assert.Equal(t, store.writes, 0)
	for range int(2 * time.Minute / inUsePollInterval) {
		now = now.Add(inUsePollInterval)
		tr.storeVersionsInUse(t.Context())
	}
	assert.Assert(t, store.writes > 0, "a version that stays away is never replaced")
}

// writeCounter counts writes and fails them.
type writeCounter struct {
	downStore
	writes int
}

func (w *writeCounter) Update(context.Context, platform.Object) (platform.Object, error) {
	w.writes++
	return platform.Object{}, platform.ErrConnectFailed
}

func (w *writeCounter) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	return platform.Object{}, platform.ErrConnectFailed
}
