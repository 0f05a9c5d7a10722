package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// crashOf returns the crash of an endpoint of service s at a time after the epoch. Its
// suspects are given with the time for which they had been running.
func crashOf(at time.Duration, running map[mesh.Fingerprint]time.Duration) mesh.Crash {
	c := mesh.Crash{EndpointID: fmt.Sprint("e", at), Service: "s", AtUnixMs: epoch.Add(at).UnixMilli()}
	for request, age := range running {
		c.Suspects = append(c.Suspects, mesh.Suspect{Request: request, BeganUnixMs: epoch.Add(at - age).UnixMilli()})
	}
	return c
}

// instancesWith returns one instance for each crash.
func instancesWith(crashes ...mesh.Crash) []mesh.Instance {
	instances := make([]mesh.Instance, len(crashes))
	for i, c := range crashes {
		instances[i] = mesh.Instance{Name: fmt.Sprint("n", i), Crashes: []mesh.Crash{c}}
	}
	return instances
}

type running = map[mesh.Fingerprint]time.Duration

// A request that crashes each endpoint that begins it must be quarantined after the third
// crash; one that was only running when endpoints ended for another reason must not.
func TestOnlyTheCauseOfCrashesIsQuarantined(t *testing.T) {
	const early, late = 5 * time.Millisecond, 700 * time.Millisecond
	for _, c := range []struct {
		name      string
		crashes   []mesh.Crash
		acquitted time.Duration
		want      bool
	}{
		{"two crashes", []mesh.Crash{crashOf(0, running{"x": early}), crashOf(time.Second, running{"x": early})}, 0, false},
		{"three crashes", []mesh.Crash{crashOf(0, running{"x": early}), crashOf(10*time.Millisecond, running{"x": early}), crashOf(time.Second, running{"x": early, "y": late})}, 0, true},
		{"three crashes long after the start", []mesh.Crash{crashOf(0, running{"x": late}), crashOf(time.Second, running{"x": late}), crashOf(2*time.Second, running{"x": late})}, 0, false},
		{"six crashes long after the start", []mesh.Crash{
			crashOf(0, running{"x": late}), crashOf(time.Second, running{"x": late}), crashOf(2*time.Second, running{"x": late}),
			crashOf(3*time.Second, running{"x": late}), crashOf(4*time.Second, running{"x": late}), crashOf(5*time.Second, running{"x": late}),
		}, 0, true},
		{"endpoints that end together", []mesh.Crash{
			crashOf(0, running{"x": 90 * time.Millisecond}), crashOf(10*time.Millisecond, running{"x": 90 * time.Millisecond}),
			crashOf(20*time.Millisecond, running{"x": 90 * time.Millisecond}), crashOf(30*time.Millisecond, running{"x": 90 * time.Millisecond}),
		}, 0, false},
		{"run to its end between the crashes", []mesh.Crash{crashOf(0, running{"x": early}), crashOf(time.Second, running{"x": early}), crashOf(2*time.Second, running{"x": early})}, 1500 * time.Millisecond, false},
		{"run to its end before the crashes", []mesh.Crash{crashOf(0, running{"x": early}), crashOf(time.Second, running{"x": early}), crashOf(2*time.Second, running{"x": early})}, -time.Second, true},
		{"most endpoints crash without it", []mesh.Crash{
			crashOf(0, running{"x": early}), crashOf(time.Second, nil), crashOf(2*time.Second, nil), crashOf(3*time.Second, running{"x": early}),
			crashOf(4*time.Second, nil), crashOf(5*time.Second, nil), crashOf(6*time.Second, nil), crashOf(7*time.Second, nil), crashOf(8*time.Second, nil),
			crashOf(9*time.Second, running{"x": early}),
		}, 0, false},
		{"two causes in turn", []mesh.Crash{
			crashOf(0, running{"x": early}), crashOf(time.Second, running{"y": early}), crashOf(2*time.Second, running{"x": early}),
			crashOf(3*time.Second, running{"y": early}), crashOf(4*time.Second, running{"x": early}),
		}, 0, true},
		{"in the far future", []mesh.Crash{crashOf(time.Second, running{"x": early}), crashOf(2*time.Second, running{"x": early}), crashOf(time.Hour, running{"x": early})}, 0, false},
		{"too long ago", []mesh.Crash{crashOf(-Retention, running{"x": early}), crashOf(time.Second, running{"x": early}), crashOf(2*time.Second, running{"x": early})}, 0, false},
	} {
		instances := instancesWith(c.crashes...)
		if c.acquitted != 0 {
			instances = append(instances, mesh.Instance{Name: "judge", Acquittals: []mesh.Acquittal{{Request: "x", AtUnixMs: epoch.Add(c.acquitted).UnixMilli()}}})
		}
		got := Evaluate(epoch.Add(10*time.Second), instances)
		assert.Equal(t, got["x"].IsQuarantined, c.want, "%s: %+v", c.name, got["x"])
		if c.name != "two causes in turn" {
			assert.Assert(t, !got["y"].IsQuarantined, c.name)
		}
	}
}

// A request that crashes each endpoint may reach three more at most within the minutes
// after its third crash, whatever number of machines it comes to.
func TestTrialsBecomeRare(t *testing.T) {
	var crashes []mesh.Crash
	for at := range 3 {
		crashes = append(crashes, crashOf(time.Duration(at)*time.Second, running{"x": time.Millisecond}))
	}
	third, trials := 2*time.Second, 0
	for next := third; ; trials++ {
		s := Evaluate(epoch.Add(next), instancesWith(crashes...))["x"]
		assert.Assert(t, s.IsQuarantined)
		if next = s.TrialDueAt().Sub(epoch); next > third+5*time.Minute {
			break
		}
		trial := crashOf(next, running{"x": time.Millisecond})
		trial.Suspects[0].IsTrial = true
		crashes = append(crashes, trial)
	}
	assert.Equal(t, trials, 3)
}

// All nodes must choose the same instance for a trial, one that has an endpoint of the
// service. Requests that were quarantined together must not all get the same one.
func TestTrialsAreSpreadOverInstances(t *testing.T) {
	all := running{}
	for n := range 16 {
		all[mesh.Fingerprint(fmt.Sprint("x", n))] = time.Millisecond
	}
	instances := instancesWith(crashOf(0, all), crashOf(time.Second, all), crashOf(2*time.Second, all))
	for n := range 6 {
		service := "s"
		if n%2 == 1 {
			service = "other"
		}
		instances = append(instances, mesh.Instance{Name: fmt.Sprint("m", n), Endpoints: []mesh.Endpoint{{ID: "e", Service: service}}})
	}
	chosen := make(map[string]bool)
	for request, s := range Evaluate(epoch.Add(2*time.Second), instances) {
		assert.Assert(t, s.IsQuarantined, request)
		chosen[s.TrialInstance] = true
	}
	assert.DeepEqual(t, chosen, map[string]bool{"m0": true, "m2": true, "m4": true})
}

// Nodes must come to the same result in whatever order they have read the entries.
func TestOrderOfEntriesDoesNotMatter(t *testing.T) {
	crashes := []mesh.Crash{
		crashOf(0, running{"x": time.Millisecond, "y": time.Second}), crashOf(0, running{"y": 20 * time.Millisecond}),
		crashOf(time.Second, running{"x": time.Millisecond, "y": time.Millisecond}), crashOf(2*time.Second, running{"x": time.Millisecond}),
	}
	instances := instancesWith(crashes...)
	want := Evaluate(epoch.Add(3*time.Second), instances)
	for range instances {
		instances = append(instances[1:], instances[0])
		assert.DeepEqual(t, Evaluate(epoch.Add(3*time.Second), instances), want)
	}
}
