package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/quarantine"
	"github.com/azurespring/azurespring/pkg/platform"
)

// entryWithCrashes returns the stored entry of this node with three crashes of one request.
func entryWithCrashes(t *testing.T, name string) (mesh.Instance, platform.Object) {
	t.Helper()
	now := time.Now()
	i := mesh.Instance{Name: name, Address: "10.0.0.9:1", FailureDomain: "d", Region: "r", Endpoints: []mesh.Endpoint{{ID: "e", Service: "s", Version: "v", Slots: 4}}}
	for n := range 3 {
		at := now.Add(time.Duration(n-3) * time.Second).UnixMilli()
		i.Crashes = append(i.Crashes, mesh.Crash{EndpointID: "e", StartUnixMs: at, Service: "s", AtUnixMs: at, Suspects: []mesh.Suspect{{Request: "x", BeganUnixMs: at}}})
	}
	value, err := i.Encode()
	assert.NilError(t, err)
	return i, stateObject(instancePrefix+name, 5, string(value))
}

// The next process of a node must know the crashes that an earlier one reported, and must
// not remove them from its entry: a quarantined request would be forwarded again.
func TestCrashesSurviveRestartOfTheirNode(t *testing.T) {
	tr, logText := newTestTracker(t)
	defer logText()
	entry, stored := entryWithCrashes(t, "n")
	tr.replace(platform.KindMeshState, []platform.Object{stored})
	tr.admission.restore(entry, false)
	assert.Assert(t, mesh.SameCrashes(tr.ownEntry(), entry))
	tr.endpointsChanged()
	assert.Assert(t, tr.admission.crashes.suspicion("x").IsQuarantined)
	_, rejection := tr.admission.crashes.begin(&endpointAdmission{}, "y", 0)
	assert.Assert(t, rejection == nil)
}

// A node must admit a trial only where it is due: at the chosen instance, at an endpoint
// with room, and not beside another trial.
func TestTrialIsAdmittedOnce(t *testing.T) {
	tr, logText := newTestTracker(t)
	defer logText()
	_, stored := entryWithCrashes(t, "other")
	tr.replace(platform.KindMeshState, []platform.Object{stored})
	crashes, ea := tr.admission.crashes, &endpointAdmission{}
	assert.Equal(t, crashes.suspicion("x").TrialInstance, "other")
	_, rejection := crashes.begin(ea, "x", 0)
	assert.Assert(t, rejection != nil, "the trial runs at another instance")

	crashes.suspicions.Store(&map[mesh.Fingerprint]quarantine.Suspicion{
		"x": {Crashes: 3, IsQuarantined: true, TrialInstance: "n"}, "y": {Crashes: 3, IsQuarantined: true, TrialInstance: "n"},
	})
	_, rejection = crashes.begin(ea, "x", maxTrialLoad+0.1)
	assert.Assert(t, rejection != nil && rejection.RetryAfter > 0, "the endpoint is busy")
	running, rejection := crashes.begin(ea, "x", 0)
	assert.Assert(t, rejection == nil && running.isTrial)
	for _, request := range []mesh.Fingerprint{"x", "y"} {
		_, rejection = crashes.begin(ea, request, 0)
		assert.Assert(t, rejection != nil, "a trial is running")
	}
	crashes.end(ea, running, true)
	assert.Assert(t, !crashes.suspicion("x").IsQuarantined, "the request has run to its end")
}
