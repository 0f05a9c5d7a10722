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

// versionsOf counts the versions of the candidates of n requests.
func versionsOf(k *rolloutTracker, table *placement.Table, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		for _, e := range k.candidates(table, "s", true)[:1] {
			counts[e.Version]++
		}
	}
	return counts
}

// Guards against requests that are refused because this node has not yet read that
// all requests moved to the other version: 633 of a day of high load, for seconds
// after the shift.
func TestVersionClosedByRemoteGateIsAvoided(t *testing.T) {
	now := time.Now()
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 1 })
	defer log.close(time.Second)
	k := newRolloutTracker(func() time.Time { return now }, log, func() {})
	both := tableOf(now, "v1", "v2")
	order := mesh.Rollout{Service: "s", Version: "v2", Duration: 10 * time.Second, State: mesh.RolloutRunning}
	k.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: []mesh.Rollout{order}})
	assert.DeepEqual(t, versionsOf(k, both, 5), map[string]int{"v1": 5})

	k.noteClosed("s", "v1")
	assert.DeepEqual(t, versionsOf(k, both, 5), map[string]int{"v2": 5})
	now = now.Add(closedLifetime)
	assert.DeepEqual(t, versionsOf(k, both, 5), map[string]int{"v1": 5})

	// A version that was found bad stays without requests whatever a gate said.
	k.noteClosed("s", "v1")
	order.State = mesh.RolloutRolledBack
	k.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: []mesh.Rollout{order}})
	assert.Equal(t, len(k.candidates(both, "s", false)), 0)
}

// Guards against a new version that gets all requests because no endpoint of the
// old one is known for a moment, as after a restart of all nodes.
func TestNewVersionGetsNoTrafficWhenOldIsUnknown(t *testing.T) {
	now := time.Now()
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 1 })
	defer log.close(time.Second)
	k := newRolloutTracker(func() time.Time { return now }, log, func() {})
	order := mesh.Rollout{Service: "s", Version: "v2", Duration: 10 * time.Second, State: mesh.RolloutRunning}
	k.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: []mesh.Rollout{order}})
	assert.Equal(t, len(k.candidates(tableOf(now, "v2"), "s", true)), 0)
}
