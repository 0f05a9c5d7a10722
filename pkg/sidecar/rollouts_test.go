package sidecar

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
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
		for _, e := range rt.candidates(table, "s", true)[:1] {
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
	assert.Equal(t, len(rt.candidates(both, "s", false)), 0)
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
	assert.Equal(t, len(rt.candidates(tableOf(now, "v2"), "s", true)), 0)
}
