package move

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/verdict"
)

func drawPayload(t *rapid.T, name string) []byte {
	small := rapid.Uint64Range(0, 2)
	payload, err := Encode(State{
		Service: "stock", To: "v2", Phase: Phase(rapid.IntRange(int(PhaseRunning), int(PhaseRolledBack)).Draw(t, name+" phase")),
		Share: rapid.SampledFrom(StepShares).Draw(t, name+" share"), FencingToken: small.Draw(t, name+" fence"),
		TakeoverCount: small.Draw(t, name+" takeover"), Sequence: small.Draw(t, name+" sequence"),
	})
	assert.NilError(t, err)
	return payload
}

func merged(t *rapid.T, a, b []byte) []byte {
	m, err := Merge(a, b)
	assert.NilError(t, err)
	return m
}

// Guards against nodes that end with different states after the same items
// arrived in different orders, and against a taken-back version that returns.
func TestMergeIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawPayload(t, "a"), drawPayload(t, "b"), drawPayload(t, "c")
		assert.Assert(t, bytes.Equal(merged(t, a, b), merged(t, b, a)), "not commutative")
		assert.Assert(t, bytes.Equal(merged(t, merged(t, a, b), c), merged(t, a, merged(t, b, c))), "not associative")
		assert.Assert(t, bytes.Equal(merged(t, a, a), a), "not idempotent")
		assert.Assert(t, bytes.Equal(merged(t, nil, a), a), "first item not taken")
		first, _ := Decode(a)
		result, _ := Decode(merged(t, a, b))
		assert.Assert(t, first.Phase != PhaseRolledBack || result.Phase == PhaseRolledBack, "taken-back was lost")
	})
}

// Guards against one malformed item that spoils the local copy.
func TestMergeRejectsMalformedItems(t *testing.T) {
	good, err := Encode(State{Service: "stock", To: "v2", Phase: PhaseRunning})
	assert.NilError(t, err)
	for _, s := range []State{
		{To: "v2", Phase: PhaseRunning},
		{Service: "stock", Phase: PhaseRunning},
		{Service: "stock", To: "v2"},
		{Service: "stock", To: "v2", Phase: PhaseRunning, Share: ShareDenominator + 1},
	} {
		payload, err := Encode(s)
		assert.NilError(t, err)
		_, err = Merge(good, payload)
		assert.ErrorContains(t, err, "not valid")
	}
	_, err = Merge(good, []byte{0xff})
	assert.ErrorContains(t, err, "decode")
}

func TestClassifier(t *testing.T) {
	c := NewClassifier(dynamic.Success{Statuses: []string{"2xx", "404"}, MaxLatency: time.Second})
	for _, test := range []struct {
		guards string
		call   observation.Call
		want   Outcome
	}{
		{"a good class of statuses judged bad", observation.Call{Status: 204}, OutcomeGood},
		{"a good single status judged bad", observation.Call{Status: 404}, OutcomeGood},
		{"a bad status judged good", observation.Call{Status: 400}, OutcomeFailed},
		{"a late answer judged good", observation.Call{Status: 200, Latency: time.Second + 1}, OutcomeSlow},
		{"a crash judged by its status", observation.Call{Status: 200, TargetCrashed: true}, OutcomeFailed},
		{"a cut answer judged good", observation.Call{Status: 200, Code: verdict.AnswerCut}, OutcomeFailed},
		{"a passed deadline judged good", observation.Call{Status: 504, Code: verdict.DeadlineExceeded}, OutcomeSlow},
		{"a call given up in time held against a version", observation.Call{Code: verdict.Canceled}, OutcomeIgnored},
		{
			"slowness hidden by callers that give up",
			observation.Call{Code: verdict.Canceled, Latency: 2 * time.Second},
			OutcomeSlow,
		},
		{
			"shed calls held against a version as failures",
			observation.Call{Status: 503, Code: verdict.TargetShed, Verdict: verdict.NotRun},
			OutcomeRefused,
		},
		{"a status outside the table that panics", observation.Call{Status: 999}, OutcomeFailed},
	} {
		t.Run(test.guards, func(t *testing.T) { assert.Equal(t, c.Classify(test.call), test.want) })
	}
}

func TestGuard(t *testing.T) {
	failing, crashing := Counts{Failed: 5}, Counts{CrashedCalls: 4, CrashPeriods: 1}
	for _, test := range []struct {
		guards string
		counts Counts
		// silent is for how long the decider has not answered at the end.
		silent time.Duration
		old    Counts
		acts   bool
	}{
		{"a bad version that stays while no decider answers", failing, 10 * time.Second, Counts{Good: 100}, true},
		{"a node that overrules a decider which sees a common outage", failing, time.Second, Counts{Good: 100}, false},
		{"an outage that the old version has as well", failing, 10 * time.Second, Counts{Good: 50, Failed: 50}, false},
		{"a few failures that take a version back", Counts{Good: 5, Failed: 5}, 10 * time.Second, Counts{Good: 100}, false},
		{"a target that keeps crashing until the decider notices", crashing, time.Second, Counts{Good: 100}, true},
	} {
		t.Run(test.guards, func(t *testing.T) {
			var g LocalGuard
			now := epoch
			for i := range 40 {
				now = now.Add(EvidencePeriod)
				counts := Counts{Good: 20}
				if i >= 30 {
					counts = test.counts
				}
				g.AddPeriod(periodOf(now)-1, counts) // the period that has just ended
			}
			g.RecordAck(now.Add(-test.silent))
			reason := g.RollbackReason(now, State{Evidence: []RouteEvidence{{Old: test.old}}})
			assert.Equal(t, reason != "", test.acts, reason)
		})
	}
}

// Guards against reports that change on the way, that stop the decider, or that
// take a large part of the control traffic.
func TestReportOnTheWire(t *testing.T) {
	service := &dynamic.Service{Name: "stock"}
	sent := EvidenceReport{Service: "stock", Reporter: "node-0123", Incarnation: 1772352083000000000, LastClosedPeriod: 1772352083}
	for i := range 6 {
		route := "availability-" + string(rune('a'+i))
		service.Routes = append(service.Routes, dynamic.Route{Name: route, Department: "operations"})
		sent.Samples = append(sent.Samples, Sample{
			PeriodIndex: sent.LastClosedPeriod - int64(i%2), Route: route, Department: "operations",
			Version: "2026-03-01." + string(rune('1'+i%2)), Counts: Counts{Good: 37, Failed: 1, BusyMillis: 3000},
		})
	}
	find := func(name string) *dynamic.Service {
		if name == service.Name {
			return service
		}
		return nil
	}
	payload, err := encodeReport(sent)
	assert.NilError(t, err)
	assert.Assert(t, len(payload) < 270, "%d bytes", len(payload))
	got, err := decodeReport(payload, "node-0123", find)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sent)
	sent.Service = "draw"
	payload, err = encodeReport(sent)
	assert.NilError(t, err)
	_, err = decodeReport(payload, "node-0123", find)
	assert.ErrorContains(t, err, "unknown service")
	_, err = decodeReport([]byte{0xff}, "node-0123", find)
	assert.ErrorContains(t, err, "decode")
}
