package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	store "github.com/azurespring/azurespring/pkg/platform"
)

// Verifies that the watches of idle readers leave room in the store's rate limit of 2,000
// reads/s for the whole fleet, however many nodes read the store.
func TestIdleFleetStaysWithinStoreReadRate(t *testing.T) {
	const applyTimeout = 2 * time.Second
	for _, instances := range []int{0, 1, 24, 63, 88, 300, 3800} {
		perSecond := 0.0
		for _, kind := range []store.Kind{store.KindConfiguration, store.KindRollout} {
			var sum time.Duration
			const rounds = 5000
			for range rounds {
				wait := watchTimeout(kind, applyTimeout, instances)
				assert.Assert(t, wait <= 30*time.Second, "watch timeout with %d nodes: %v, the store accepts at most 30 s", instances, wait)
				sum += wait
			}
			perSecond += float64(instances) / (sum / rounds).Seconds()
		}
		assert.Assert(t, perSecond < 400, "%d idle nodes poll %.0f times/s, want below 400", instances, perSecond)
	}
}

// Verifies that some node reads a change in time although the watches miss it and the
// previous change made all nodes poll at the same moment. With timeouts of at least half
// the mean, none of 63 nodes polled for nine seconds.
func TestSomeNodePollsSoonAfterAllNodesPolled(t *testing.T) {
	const applyTimeout, rounds = 3 * time.Second, 2000
	for _, instances := range []int{24, 63, 88, 300, 3800} {
		late := 0
		for range rounds {
			first := time.Minute
			for range instances {
				first = min(first, watchTimeout(store.KindConfiguration, applyTimeout, instances))
			}
			if first > 2*applyTimeout/5 {
				late++
			}
		}
		// 1 in 800 is expected; with 3,800 nodes, maxWatchTimeout makes some node poll sooner.
		assert.Assert(t, late <= rounds/200, "in %d rounds with %d nodes, no node polled in time in %d", rounds, instances, late)
	}
}

// A mistyped mode of -zone-overflow must end the start, whether it comes by flag or by
// environment; the flag wins.
func TestZoneOverflowFlag(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := "self: {node: n, zone: z, region: r, service: s}\n" +
		`network: {listen_addresses: {inbound: "127.0.0.1:1", outbound: "127.0.0.1:2", readiness: "127.0.0.1:3", control: "127.0.0.1:4"}}` + "\n" +
		`platform: {platform: {address: "127.0.0.1:5"}}` + "\n" + "terms: {}\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	for _, c := range []struct {
		variable string
		args     []string
		want     int
	}{
		{"", nil, 0},
		{"off", nil, 0},
		{"maybe", nil, exitUsage},
		{"", []string{"-zone-overflow", "maybe"}, exitUsage},
		{"maybe", []string{"-zone-overflow", "on"}, 0},
	} {
		t.Setenv(zoneOverflowEnvVar, c.variable)
		assert.Equal(t, runSidecar(append([]string{"-check", "-settings", path}, c.args...)), c.want, "%q %v", c.variable, c.args)
	}
}
