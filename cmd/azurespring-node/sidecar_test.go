package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	store "github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/sidecar"
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

// A node that must be sure of its keys polls often enough that two polls, the pause after a
// change and the frames over three followers fit into the bound; otherwise quiet stores would
// make nodes refuse keys. Other deployments and kinds poll as before.
func TestPollsConfirmTheConfigurationInTime(t *testing.T) {
	const followers, frameInterval, frameAgeStep = 3, 400 * time.Millisecond, 100 * time.Millisecond
	s := sidecar.Settings{FailClosed: true, RevokeTimeout: 5 * time.Second, ConfigurationApplyTimeout: 3 * time.Second}
	longest := limitWatchTimeout(store.KindConfiguration, maxWatchTimeout, s)
	age := 2*longest + watchDebounce(store.KindConfiguration, s.ConfigurationApplyTimeout) + followers*(frameInterval+frameAgeStep)
	assert.Assert(t, age < s.RevokeTimeout, "%v", age)
	assert.Equal(t, limitWatchTimeout(store.KindConfiguration, time.Second, s), time.Second)
	assert.Equal(t, limitWatchTimeout(store.KindRollout, maxWatchTimeout, s), maxWatchTimeout)
	s.FailClosed = false
	assert.Equal(t, limitWatchTimeout(store.KindConfiguration, maxWatchTimeout, s), maxWatchTimeout)
}

// Evacuations must be in force within 5 s, also when the watches miss a change: some reader
// must poll within 3 s, which leaves 2 s for the others to learn of it. Idle readers must
// poll seldom, as each call is billed.
func TestEvacuationsArePolledInTime(t *testing.T) {
	const timeout, rounds = 5 * time.Second, 2000
	for _, readers := range []int{1, 3, 6, 14, 40} {
		late := 0
		var sum time.Duration
		for range rounds {
			first := time.Minute
			for range readers {
				wait := evacuationWatchTimeout(timeout, readers)
				assert.Assert(t, wait <= maxWatchTimeout)
				first = min(first, wait)
				sum += wait
			}
			if first > 3*time.Second {
				late++
			}
		}
		assert.Assert(t, late <= rounds/100, "with %d readers, none polled in time in %d of %d rounds", readers, late, rounds)
		perSecond := float64(readers) / (sum / time.Duration(rounds*readers)).Seconds()
		assert.Assert(t, perSecond < 3, "%d readers poll %.1f times a second", readers, perSecond)
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
