package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var unitLimits = map[string]Limit{"t": {Rate: 100, Burst: 20, Rule: testRule}}

// newTestGranter returns a granter that has taken over at now from one that shared t.
func newTestGranter(t *testing.T, now time.Duration, nodes ...string) *Granter {
	t.Helper()
	g := NewGranter(SlotOf("t"), "g", 2)
	g.SetLimits(unitLimits)
	g.SetNodes(now, nodes)
	g.Receive(now, Request{Slot: g.slot, Holder: "h"})
	call, ok := g.Step(now)
	assert.Assert(t, ok && call.Verb == StoreGet)
	record := Record{Slot: g.slot, Node: "old", Term: 7, Incarnation: 1, State: StateReleased, Sharing: sharing{Tenants: []uint32{hashOf("t")}}}
	g.Complete(now, call, StoreResult{Outcome: StoreOK, Record: record, Version: "5"})
	call, ok = g.Step(now)
	assert.Assert(t, ok && call.Verb == StoreUpdate && call.Version == "5")
	g.Complete(now, call, StoreResult{Outcome: StoreOK, Version: "6"})
	return g
}

// request returns a request of holder h for tenant t.
func (g *Granter) testRequest(sequence, term uint64, usage Usage) Request {
	usage.Tenant = "t"
	return Request{Slot: g.slot, Holder: "h", Incarnation: 1, Sequence: sequence, Term: term, Tenants: []Usage{usage}}
}

// A request that was sent before a take-over and arrives after it does not say what its
// sender got in between. If it counted as a report, the granter would give that share to
// others.
func TestLateRequestIsNoReport(t *testing.T) {
	g := newTestGranter(t, 0, "h")
	response := g.Receive(0, g.testRequest(3, 7, Usage{Want: 5, Demand: 50}))
	assert.Equal(t, response.Term, uint64(8), "the holder must learn of the term")
	assert.Equal(t, len(response.Grants), 0)
	assert.DeepEqual(t, g.Unreported(), []string{"h"})
	g.Receive(time.Millisecond, g.testRequest(4, 8, Usage{Share: 0.8, Demand: 50}))
	assert.Equal(t, len(g.Unreported()), 0)
	assert.Equal(t, g.tenants["t"].allocated, 0.8)
}

// A reduction must count only when the holder has reported it, and requests that are older
// than another one must be ignored.
func TestReductionCountsWhenReported(t *testing.T) {
	g := newTestGranter(t, 0, "h", "other")
	g.Receive(0, Request{Slot: g.slot, Holder: "other", Incarnation: 1, Sequence: 1, Term: 8, Tenants: []Usage{{Tenant: "t", Demand: 90}}})
	response := g.Receive(0, g.testRequest(1, 8, Usage{Share: 0.9, Demand: 10}))
	assert.Assert(t, response.Grants[0].Share < 0.5)
	assert.Equal(t, g.tenants["t"].allocated, 0.9)
	response = g.Receive(0, g.testRequest(1, 8, Usage{}))
	assert.Equal(t, response.Status, StatusIgnored)
	assert.Equal(t, g.tenants["t"].allocated, 0.9)
	g.Receive(0, g.testRequest(2, 8, Usage{Share: 0.1, Demand: 10}))
	assert.Assert(t, g.tenants["t"].allocated < 0.3)
}

// begin is when the holders of the tests send their first request.
const begin = time.Minute

// newTestHolder returns a holder and its first request, which is sent at begin.
func newTestHolder(t *testing.T) (*Holder, Request) {
	t.Helper()
	h := NewHolder("h", 1)
	h.SetLimits(unitLimits)
	h.SetNodes(nodesOf("g"))
	assert.Assert(t, h.Take(begin, maxGrantWait, "t").Wait)
	sendings := h.Poll(begin)
	assert.Equal(t, len(sendings), 1)
	return h, sendings[0].Request
}

// Single tokens that are used after their life, as by a node that was paused, would exceed
// the rule: the granter's bucket has gained others in the meantime.
func TestTokensEndWithTheirLife(t *testing.T) {
	life := unitLimits["t"].tokenLife()
	for _, c := range []struct {
		name      string
		accept    time.Duration
		use       time.Duration
		admission bool
	}{
		{"in time", time.Millisecond, life - 1, true},
		{"used late", time.Millisecond, life, false},
		{"received late", life, life, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, r := newTestHolder(t)
			h.Accept(begin+c.accept, Response{Slot: r.Slot, Sequence: r.Sequence, Status: StatusGranted, Term: 1, Grants: []Grant{{Tenant: "t", Tokens: 3}}})
			assert.Equal(t, h.TakeWaiting(begin+c.use, "t").Admitted, c.admission)
		})
	}
}

// A share must end with its lease, counted from the sending of its request, and a response
// must be accepted once, and only to the latest request.
func TestShareEndsWithItsLease(t *testing.T) {
	h, r := newTestHolder(t)
	granted := Response{Slot: r.Slot, Sequence: r.Sequence, Status: StatusGranted, Term: 1, Grants: []Grant{{Tenant: "t", Share: 0.5}}}
	h.Accept(begin+20*time.Millisecond, granted)
	assert.Assert(t, h.TakeWaiting(begin+LeaseTime-1, "t").Admitted)
	h.Accept(begin+5*time.Second, granted)
	assert.Assert(t, !h.TakeWaiting(begin+LeaseTime, "t").Admitted)

	h, r = newTestHolder(t)
	_, ok := h.Announced(begin+time.Millisecond, Announcement{Slot: r.Slot, Term: 2, Granter: "g2"})
	assert.Assert(t, ok)
	granted.Sequence = r.Sequence
	h.Accept(begin+2*time.Millisecond, granted)
	assert.Equal(t, h.shares["t"].fraction, 0.0, "a share of an earlier term was accepted")
	sendings := h.Poll(begin + time.Second)
	assert.Equal(t, len(sendings), 1)
	assert.Equal(t, sendings[0].To, "g2")
	granted.Sequence = sendings[0].Request.Sequence
	h.Accept(begin+time.Second, granted)
	assert.Equal(t, h.shares["t"].fraction, 0.0, "a share of an earlier term was accepted")
	_, ok = h.Announced(begin+time.Millisecond, Announcement{Slot: r.Slot, Term: 1, Granter: "g1"})
	assert.Assert(t, !ok)
}

// Giving back an admission must not create a token that the share could not hold: the share
// may have moved to another node since.
func TestReturnNeedsTheSameShare(t *testing.T) {
	h, r := newTestHolder(t)
	h.Accept(begin, Response{Slot: r.Slot, Sequence: r.Sequence, Status: StatusGranted, Term: 1, Grants: []Grant{{Tenant: "t", Share: 0.5}}})
	outcome := h.TakeWaiting(begin+time.Second, "t")
	assert.Assert(t, outcome.Admitted)
	tokens := h.shares["t"].bucket.tokens
	h.Return(begin+time.Second, outcome.Permit)
	assert.Equal(t, h.shares["t"].bucket.tokens, tokens+1)
	h.shares["t"].advance(begin+time.Second, unitLimits["t"])
	h.shares["t"].setFraction(0)
	h.shares["t"].setFraction(0.5)
	h.Return(begin+time.Second, outcome.Permit)
	assert.Equal(t, h.shares["t"].bucket.tokens, 0.0)
}

// A term that is lower than one that a holder has seen comes from an old copy of the store:
// it must not be replaced at once, and not by a lower one.
func TestTermOfAnOldCopyIsNotUsed(t *testing.T) {
	for _, state := range []string{StateIdle, StateReleased, StateHeld} {
		g := NewGranter(SlotOf("t"), "g", 2)
		g.SetLimits(unitLimits)
		g.SetNodes(0, []string{"h"})
		ask := func(now time.Duration) { g.Receive(now, g.testRequest(1, 12, Usage{Want: 1})) }
		ask(0)
		call, _ := g.Step(0)
		g.Complete(0, call, StoreResult{Outcome: StoreOK, Record: Record{Slot: g.slot, Node: "g", Term: 9, State: state}, Version: "5"})
		ask(TakeOverTime - 1)
		_, ok := g.Step(TakeOverTime - 1)
		assert.Assert(t, !ok, "state %s: the term was taken at once", state)
		call, ok = g.Step(TakeOverTime)
		assert.Assert(t, ok)
		assert.Equal(t, call.Record.Term, uint64(13))
		g.Complete(TakeOverTime, call, StoreResult{Outcome: StoreOK, Version: "6"})
		assert.Equal(t, g.unreportedUntil, TakeOverTime+LeaseTime+leaseMargin)
		assert.Assert(t, g.earlier.All)
	}
}

// A node that has just started does not know which nodes hold shares before it has read the
// entries, nor what the limits are before it has read the configuration. If it took its own
// earlier term back before, nobody would be left to report, and it would give shares away
// that are in use.
func TestNodeThatHasReadNothingIsNoGranter(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits map[string]Limit
		nodes  []string
	}{{"no nodes", unitLimits, nil}, {"no limits", nil, []string{"g", "h"}}} {
		g := NewGranter(SlotOf("t"), "g", 2)
		g.SetLimits(c.limits)
		g.SetNodes(0, c.nodes)
		ask := func(now time.Duration) Response {
			return g.Receive(now, g.testRequest(1, 7, Usage{Want: 5, Demand: 50}))
		}
		assert.Equal(t, ask(0).Status, StatusRetry)
		if call, ok := g.Step(0); ok {
			assert.Equal(t, call.Verb, StoreGet)
			record := Record{Slot: g.slot, Node: "g", Term: 7, Incarnation: 1, State: StateHeld, Sharing: sharing{All: true}}
			g.Complete(0, call, StoreResult{Outcome: StoreOK, Record: record, Version: "5"})
		}
		ask(time.Second)
		_, ok := g.Step(time.Second)
		assert.Assert(t, !ok, "%s: the node took the term", c.name)
		g.SetLimits(unitLimits)
		g.SetNodes(2*time.Second, []string{"g", "h", "other"})
		ask(2 * time.Second)
		call, ok := g.Step(2 * time.Second)
		if ok && call.Verb == StoreGet {
			record := Record{Slot: g.slot, Node: "g", Term: 7, Incarnation: 1, State: StateHeld, Sharing: sharing{All: true}}
			g.Complete(2*time.Second, call, StoreResult{Outcome: StoreOK, Record: record, Version: "5"})
			call, ok = g.Step(2 * time.Second)
		}
		assert.Assert(t, ok && call.Verb == StoreUpdate, c.name)
		g.Complete(2*time.Second, call, StoreResult{Outcome: StoreOK, Version: "6"})
		assert.Equal(t, len(g.Unreported()), 3, c.name)
	}
}

// The share of a node whose entry has gone must end: a successor of the granter that does
// not know the node would not wait for its report, and give the share to others as well.
func TestNodeWithoutEntryKeepsNoShare(t *testing.T) {
	g := newTestGranter(t, 0, "h", "other")
	report := g.testRequest(1, 8, Usage{Share: 0.5, Demand: 50})
	other := Request{Slot: g.slot, Holder: "other", Incarnation: 1, Sequence: 1, Term: 8}
	g.Receive(0, report)
	g.Receive(0, other)
	report.Sequence++
	assert.Equal(t, g.Receive(time.Second, report).Grants[0].Share, 0.5)
	g.SetNodes(time.Second, []string{"other"})
	report.Sequence++
	assert.Equal(t, g.Receive(2*time.Second, report).Grants[0].Share, 0.0)
}

// A granter that learns of a higher term has been replaced, although the store shows its own
// term again, from an old copy. It must give that up, and not renew it until it is idle
// while it refuses all requests.
func TestGranterGivesUpAReplacedTerm(t *testing.T) {
	g := newTestGranter(t, 0, "h")
	g.Receive(time.Second, g.testRequest(1, 9, Usage{Want: 1}))
	number, _ := g.Term(time.Second)
	assert.Equal(t, number, uint64(0))
	call, ok := g.Step(time.Second)
	assert.Assert(t, ok && call.Verb == StoreGet)
	record := Record{Slot: g.slot, Node: "g", Term: 8, Incarnation: 2, State: StateHeld}
	g.Complete(time.Second, call, StoreResult{Outcome: StoreOK, Record: record, Version: "6"})
	g.Receive(time.Second+TakeOverTime, g.testRequest(2, 9, Usage{Want: 1}))
	call, ok = g.Step(time.Second + TakeOverTime)
	assert.Assert(t, ok && call.Verb == StoreUpdate)
	assert.Equal(t, call.Record.Term, uint64(10))
	assert.Assert(t, call.Record.Sharing.All)
}
