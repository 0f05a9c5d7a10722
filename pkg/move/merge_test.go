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
		Service: "stock", To: "v2", Phase: Phase(rapid.IntRange(int(Running), int(TakenBack)).Draw(t, name+" phase")),
		Share: rapid.SampledFrom(Steps).Draw(t, name+" share"), Fence: small.Draw(t, name+" fence"),
		Takeover: small.Draw(t, name+" takeover"), Sequence: small.Draw(t, name+" sequence"),
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
		assert.Assert(t, first.Phase != TakenBack || result.Phase == TakenBack, "taken-back was lost")
	})
}

// Guards against one malformed item that spoils the local copy.
func TestMergeRejectsMalformedItems(t *testing.T) {
	good, err := Encode(State{Service: "stock", To: "v2", Phase: Running})
	assert.NilError(t, err)
	for _, s := range []State{
		{To: "v2", Phase: Running},
		{Service: "stock", Phase: Running},
		{Service: "stock", To: "v2"},
		{Service: "stock", To: "v2", Phase: Running, Share: ShareUnit + 1},
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
	c := NewClassifier(dynamic.Success{Statuses: []string{"2xx", "404"}, Latency: time.Second})
	for _, test := range []struct {
		guards string
		call   observation.Call
		want   Outcome
	}{
		{"a good class of statuses judged bad", observation.Call{Status: 204}, Good},
		{"a good single status judged bad", observation.Call{Status: 404}, Good},
		{"a bad status judged good", observation.Call{Status: 400}, Failed},
		{"a late answer judged good", observation.Call{Status: 200, Latency: time.Second + 1}, Slow},
		{"a crash judged by its status", observation.Call{Status: 200, TargetCrashed: true}, Failed},
		{"a cut answer judged good", observation.Call{Status: 200, Code: verdict.AnswerCut}, Failed},
		{"a passed deadline judged good", observation.Call{Status: 504, Code: verdict.DeadlineExceeded}, Slow},
		{"a call given up in time held against a version", observation.Call{Code: verdict.Canceled}, Ignored},
		{
			"slowness hidden by callers that give up",
			observation.Call{Code: verdict.Canceled, Latency: 2 * time.Second},
			Slow,
		},
		{
			"shed calls held against a version as failures",
			observation.Call{Status: 503, Code: verdict.TargetShed, Verdict: verdict.NotRun},
			Refused,
		},
		{"a status outside the table that panics", observation.Call{Status: 999}, Failed},
	} {
		t.Run(test.guards, func(t *testing.T) { assert.Equal(t, c.Judge(test.call), test.want) })
	}
}

func TestGuard(t *testing.T) {
	failing, crashing := Counts{Failed: 5}, Counts{Crashed: 4, Crashes: 1}
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
			var g Guard
			now := epoch
			for i := range 40 {
				now = now.Add(Period)
				counts := Counts{Good: 20}
				if i >= 30 {
					counts = test.counts
				}
				g.Add(periodOf(now)-1, counts) // the period that has just ended
			}
			g.Answered(now.Add(-test.silent))
			reason := g.Judge(now, State{Routes: []RouteEvidence{{Old: test.old}}})
			assert.Equal(t, reason != "", test.acts, reason)
		})
	}
}

// Guards against reports that change on the way, that stop the decider, or that
// take a large part of the control traffic.
func TestReportOnTheWire(t *testing.T) {
	service := &dynamic.Service{Name: "stock"}
	sent := Report{Service: "stock", Reporter: "node-0123", Incarnation: 1772352083000000000, Through: 1772352083}
	for i := range 6 {
		route := "availability-" + string(rune('a'+i))
		service.Routes = append(service.Routes, dynamic.Route{Name: route, Department: "operations"})
		sent.Lines = append(sent.Lines, Line{
			Period: sent.Through - int64(i%2), Route: route, Department: "operations",
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
