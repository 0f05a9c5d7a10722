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

func mergePayloads(t *rapid.T, a, b []byte) []byte {
	m, err := Merge(a, b)
	assert.NilError(t, err)
	return m
}

// Nodes must end with the same state whatever the order in which items arrive, and
// a rolled back move must stay so.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawPayload(t, "a"), drawPayload(t, "b"), drawPayload(t, "c")
		assert.Assert(t, bytes.Equal(mergePayloads(t, a, b), mergePayloads(t, b, a)), "not commutative")
		assert.Assert(t, bytes.Equal(mergePayloads(t, mergePayloads(t, a, b), c), mergePayloads(t, a, mergePayloads(t, b, c))), "not associative")
		assert.Assert(t, bytes.Equal(mergePayloads(t, a, a), a), "not idempotent")
		assert.Assert(t, bytes.Equal(mergePayloads(t, nil, a), a), "first item not accepted")
		first, _ := Decode(a)
		result, _ := Decode(mergePayloads(t, a, b))
		assert.Assert(t, first.Phase != PhaseRolledBack || result.Phase == PhaseRolledBack, "rolled back phase was lost")
	})
}

// A malformed item must not replace the local copy.
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

// Each call must be classified by the department's statuses and latency limit.
func TestClassifierAppliesDefinitionOfSuccess(t *testing.T) {
	c := NewClassifier(dynamic.Success{Statuses: []string{"2xx", "404"}, MaxLatency: time.Second})
	for _, test := range []struct {
		name string
		call observation.Call
		want Outcome
	}{
		{"class of successful statuses", observation.Call{Status: 204}, OutcomeGood},
		{"single successful status", observation.Call{Status: 404}, OutcomeGood},
		{"other status", observation.Call{Status: 400}, OutcomeFailed},
		{"late response", observation.Call{Status: 200, Latency: time.Second + 1}, OutcomeSlow},
		{"crash with a successful status", observation.Call{Status: 200, TargetCrashed: true}, OutcomeFailed},
		{"truncated response", observation.Call{Status: 200, Code: verdict.AnswerCut}, OutcomeFailed},
		{"exceeded deadline", observation.Call{Status: 504, Code: verdict.DeadlineExceeded}, OutcomeSlow},
		{"canceled before the latency limit", observation.Call{Code: verdict.Canceled}, OutcomeIgnored},
		{
			"canceled after the latency limit",
			observation.Call{Code: verdict.Canceled, Latency: 2 * time.Second},
			OutcomeSlow,
		},
		{
			"shed by the target",
			observation.Call{Status: 503, Code: verdict.TargetShed, Verdict: verdict.NotRun},
			OutcomeRefused,
		},
		{"status out of range", observation.Call{Status: 999}, OutcomeFailed},
	} {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, c.Classify(test.call), test.want) })
	}
}

// A node must roll a failing version back by itself only while the decider does not
// respond, because it cannot tell a common outage from a failing version. Repeated
// crashes must always cause a rollback.
func TestLocalGuardRollsBackWithoutDecider(t *testing.T) {
	failing, crashing := Counts{Failed: 5}, Counts{CrashedCalls: 4, CrashPeriods: 1}
	for _, test := range []struct {
		name   string
		counts Counts
		// sinceAck is the time since the last acknowledgment from the decider.
		sinceAck     time.Duration
		old          Counts
		wantRollback bool
	}{
		{"failing version without a responsive decider is rolled back", failing, 10 * time.Second, Counts{Good: 100}, true},
		{"failures are left to a responsive decider", failing, time.Second, Counts{Good: 100}, false},
		{"outage of both versions is ignored", failing, 10 * time.Second, Counts{Good: 50, Failed: 50}, false},
		{"failure rate below the limit is ignored", Counts{Good: 5, Failed: 5}, 10 * time.Second, Counts{Good: 100}, false},
		{"repeated crashes cause a rollback despite a responsive decider", crashing, time.Second, Counts{Good: 100}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
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
			g.RecordAck(now.Add(-test.sinceAck))
			reason := g.RollbackReason(now, State{Evidence: []RouteEvidence{{Old: test.old}}})
			assert.Equal(t, reason != "", test.wantRollback, reason)
		})
	}
}

// A report must decode to what was sent, stay small, and be rejected if it is
// malformed or of an unknown service.
func TestReportEncodingRoundTrip(t *testing.T) {
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
	findService := func(name string) *dynamic.Service {
		if name == service.Name {
			return service
		}
		return nil
	}
	payload, err := encodeReport(sent)
	assert.NilError(t, err)
	assert.Assert(t, len(payload) < 270, "%d bytes", len(payload))
	got, err := decodeReport(payload, "node-0123", findService)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sent)
	sent.Service = "draw"
	payload, err = encodeReport(sent)
	assert.NilError(t, err)
	_, err = decodeReport(payload, "node-0123", findService)
	assert.ErrorContains(t, err, "unknown service")
	_, err = decodeReport([]byte{0xff}, "node-0123", findService)
	assert.ErrorContains(t, err, "decode")
}
