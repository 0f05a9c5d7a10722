package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/verdict"
)

func tenantOf(name string, rank int) func(*Request) {
	return func(r *Request) { r.Tenant, r.TenantPriority, r.Route = name, rank, "r" }
}

// drain releases one slot after the other and returns the order in which the waiting
// requests get it.
func drain(t *testing.T, q *Queue) (ids []uint64) {
	t.Helper()
	for q.Waiting() > 0 {
		for _, d := range q.Release(epoch, 50*time.Millisecond) {
			assert.Assert(t, d.Rejection == nil)
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// The order must be: calls of endpoints, the priority of tenants, that of routes, turns of
// tenants, requests that can be in time.
func TestOrderBetweenTenants(t *testing.T) {
	late := softDeadlineIn(10 * time.Millisecond)
	for _, c := range []struct {
		name    string
		waiting []Request
		want    []uint64
	}{
		{"tenant before route", []Request{request(1, tenantOf("a", 1), priority(0)), request(2, tenantOf("b", 0), priority(5))}, []uint64{2, 1}},
		{"calls of endpoints first", []Request{request(1, tenantOf("a", 0), priority(0)), request(2, nested, priority(9))}, []uint64{2, 1}},
		{"route within a tenant", []Request{request(1, tenantOf("a", 1), priority(2)), request(2, tenantOf("a", 1), priority(1))}, []uint64{2, 1}},
		{"without a tenant last", []Request{request(1, priority(0)), request(2, tenantOf("a", 9), priority(9))}, []uint64{2, 1}},
		{"turns", []Request{
			request(1, tenantOf("a", 1)), request(2, tenantOf("a", 1)), request(3, tenantOf("a", 1)), request(4, tenantOf("b", 1)), request(5, tenantOf("c", 1)),
		}, []uint64{1, 4, 5, 2, 3}},
		{"in time before late", []Request{request(1, tenantOf("a", 1), late), request(2, tenantOf("a", 1))}, []uint64{2, 1}},
		{"a late request gets its turn before one that is turns ahead", []Request{
			request(1, tenantOf("a", 1), late), request(2, tenantOf("b", 1)), request(3, tenantOf("b", 1)), request(4, tenantOf("b", 1)),
			request(5, tenantOf("b", 1)), request(6, tenantOf("b", 1)),
		}, []uint64{2, 3, 4, 5, 1, 6}},
	} {
		q := NewQueue(1)
		fillSlots(t, q, c.waiting...)
		assert.DeepEqual(t, drain(t, q), c.want)
	}
}

// A more urgent request must find room in a full queue, in place of the least urgent one,
// which learns that it has not run and when to retry. A less urgent one must not.
func TestUrgentRequestReplacesLeastUrgent(t *testing.T) {
	fill := func() *Queue {
		q := NewQueue(1)
		var waiting []Request
		for i := range maxQueuePerSlot {
			waiting = append(waiting, request(uint64(i+1), tenantOf("a", 1), priority(i/4)))
		}
		fillSlots(t, q, waiting...)
		return q
	}
	for _, c := range []struct {
		name     string
		request  Request
		displace uint64
	}{
		{"more urgent tenant", request(99, tenantOf("b", 0), priority(9)), 8},
		{"more urgent route", request(99, tenantOf("a", 1), priority(0)), 8},
		{"call of an endpoint", request(99, nested, priority(9)), 8},
		{"tenant without a waiting request", request(99, tenantOf("b", 1), priority(1)), 8},
		{"same tenant, same urgency", request(99, tenantOf("a", 1), priority(1)), 0},
		{"less urgent tenant", request(99, tenantOf("b", 2), priority(0)), 0},
	} {
		q := fill()
		admitted, rejection := q.Admit(epoch, c.request)
		displaced := q.TakeDisplaced()
		assert.Assert(t, !admitted)
		assert.Equal(t, q.Waiting(), maxQueuePerSlot)
		if c.displace == 0 {
			assert.Assert(t, rejection != nil && rejection.Code == verdict.Overloaded && len(displaced) == 0, c.name)
			continue
		}
		assert.Assert(t, rejection == nil && len(displaced) == 1, c.name)
		assert.Equal(t, displaced[0].ID, c.displace, c.name)
		assert.Equal(t, displaced[0].Rejection.Verdict, verdict.NotRun)
		assert.Assert(t, displaced[0].Rejection.RetryAfter > 0)
		assert.Equal(t, q.FairnessCounts().Displaced, uint64(1))
		assert.Assert(t, len(q.TakeDisplaced()) == 0, "a decision is delivered once")
	}
}

// A tenant that fills the queue must not make the wait of another one look long: the sender
// would go elsewhere although its turn comes at once. The other way round, the wait behind
// more urgent tenants must count.
func TestEstimatedWaitFollowsTheOrder(t *testing.T) {
	q := NewQueue(1)
	var waiting []Request
	for i := range 6 {
		waiting = append(waiting, request(uint64(i+1), tenantOf("a", 1)))
	}
	fillSlots(t, q, waiting...)
	estimate := func(change ...func(*Request)) time.Duration {
		r := request(99, change...)
		q.updateFairness(epoch, &r)
		r.startBy = q.latestStart(epoch, &r)
		w := waiter{Request: r}
		q.fair.enter(&w)
		return q.estimateFairWait(epoch, &w)
	}
	assert.Equal(t, estimate(tenantOf("b", 1)), 2*defaultServiceTime, "its turn comes after the next one")
	assert.Equal(t, estimate(tenantOf("a", 1)), 7*defaultServiceTime)
	assert.Equal(t, estimate(tenantOf("b", 0)), defaultServiceTime)
	assert.Equal(t, estimate(tenantOf("b", 2)), 7*defaultServiceTime)
	assert.Equal(t, estimate(nested), defaultServiceTime)
}

// Without tenants, nothing of the order between them may act, and it must end some time
// after the last request of a tenant, when a configuration has removed them.
func TestOrderBetweenTenantsEndsWithTheirRequests(t *testing.T) {
	q := NewQueue(1)
	fillSlots(t, q, request(1), request(2))
	assert.Assert(t, q.fair == nil)
	_, _ = q.Admit(epoch, request(3, tenantOf("a", 0)))
	assert.Assert(t, q.fair != nil)
	assert.DeepEqual(t, drain(t, q), []uint64{3, 1, 2})
	later := epoch.Add(fairnessExpiry + time.Second)
	_, _ = q.Admit(later, request(4, func(r *Request) { r.Deadline = later.Add(time.Second) }))
	assert.Assert(t, q.fair == nil)
}

// The state must stay bounded whatever names requests carry, and idle tenants must be
// forgotten.
func TestStateOfTenantsIsBounded(t *testing.T) {
	q := NewQueue(1)
	for i := range 3 * maxFlows {
		r := request(uint64(i+1), tenantOf(fmt.Sprint("t", i), 0))
		r.Route = fmt.Sprint("r", i)
		_, _ = q.Admit(epoch, r)
	}
	assert.Assert(t, len(q.fair.flows) <= maxFlows+1 && len(q.fair.routes) <= maxFlows, "%d, %d", len(q.fair.flows), len(q.fair.routes))
	_ = drain(t, q)
	later := epoch.Add(2 * fairnessExpiry)
	_, _ = q.Admit(later, request(1, tenantOf("a", 0), func(r *Request) { r.Deadline = later.Add(time.Second) }))
	assert.Equal(t, len(q.fair.flows), 1)
}

// Slots and places in the queue must be conserved with tenants as well, each waiting request
// must get exactly one decision, and the counts by tenant must be those of the queue.
func TestSlotsAreConservedWithTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(rapid.IntRange(1, 3).Draw(t, "slots"))
		running, waiting := make(map[uint64]bool), make(map[uint64]string)
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				if _, ok := waiting[d.ID]; !ok {
					t.Fatalf("decision for request %d, which does not wait", d.ID)
				}
				delete(waiting, d.ID)
				if d.Rejection == nil {
					running[d.ID] = true
				} else if d.Rejection.Verdict != verdict.NotRun {
					t.Fatal("a rejected request is said to have run")
				}
			}
		}
		now, next := epoch, uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2, 3:
				next++
				r := request(next, priority(rapid.IntRange(0, 2).Draw(t, "priority")))
				r.Nested = rapid.IntRange(0, 9).Draw(t, "nested") == 0
				r.Tenant = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "tenant")
				r.TenantPriority = rapid.IntRange(0, 1).Draw(t, "tenant priority")
				r.Route = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "route")
				r.SoftDeadline = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "soft ms")) * time.Millisecond)
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "remaining ms")) * time.Millisecond)
				admitted, rejection := q.Admit(now, r)
				switch {
				case admitted:
					running[next] = true
				case rejection == nil:
					waiting[next] = r.Tenant
				}
				apply(q.TakeDisplaced())
			case 4:
				for id := range running {
					delete(running, id)
					apply(q.Release(now, 20*time.Millisecond))
					break
				}
			case 5:
				for id := range waiting {
					if !q.Cancel(id) {
						t.Fatalf("waiting request %d cannot be canceled", id)
					}
					delete(waiting, id)
					break
				}
			case 6:
				apply(q.Resize(now, rapid.IntRange(1, 3).Draw(t, "new slots")))
			}
			if q.Running() != len(running) || q.Waiting() != len(waiting) {
				t.Fatalf("queue counts %d and %d, want %d and %d", q.Running(), q.Waiting(), len(running), len(waiting))
			}
			if len(waiting) > 0 && len(running) < q.Slots() {
				t.Fatalf("a slot is free while %d requests wait", len(waiting))
			}
			if q.fair == nil {
				continue
			}
			byTenant := make(map[string]int)
			for _, tenant := range waiting {
				byTenant[tenant]++
			}
			for name, f := range q.fair.flows {
				if f.waiting != byTenant[name] || f.inTime != 0 || f.late != 0 {
					t.Fatalf("tenant %q has %d waiting requests, want %d; %d and %d are left of an estimate", name, f.waiting, byTenant[name], f.inTime, f.late)
				}
			}
		}
	})
}

// BenchmarkAdmitWithTenants measures one request through a full queue of 12 slots, by the
// way of a release. Instances have 0.16 of a core.
func BenchmarkAdmitWithTenants(b *testing.B) {
	for _, withTenants := range []bool{false, true} {
		b.Run(fmt.Sprint("tenants=", withTenants), func(b *testing.B) {
			const slots = 12
			q := NewQueue(slots)
			now, id := epoch, uint64(0)
			admit := func() {
				id++
				r := Request{
					ID: id, Priority: int(id % 3), SoftDeadline: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour), MaxWait: time.Hour,
					ServiceTime: time.Millisecond, Route: [...]string{"x", "y"}[id%2],
				}
				if withTenants {
					r.Tenant = [...]string{"a", "b", "c", "d", "e", "f", "g"}[id%7]
				}
				_, _ = q.Admit(now, r)
				q.TakeDisplaced()
			}
			for range slots * (maxQueuePerSlot + 1) {
				admit()
			}
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Microsecond)
				_ = q.Release(now, time.Millisecond)
				admit()
			}
		})
	}
}

// An urgent request that is late must not be refused as hopeless because of late requests
// that are less urgent: it is the next one.
func TestLateUrgentRequestIsNotHopeless(t *testing.T) {
	q := NewQueue(1)
	lateSoon := func(r *Request) {
		r.SoftDeadline, r.Deadline = epoch.Add(60*time.Millisecond), epoch.Add(10*time.Second)
	}
	var waiting []Request
	for i := range 6 {
		waiting = append(waiting, request(uint64(i+1), tenantOf("a", 1), lateSoon, priority(2)))
	}
	waiting = append(waiting, request(7, tenantOf("a", 1), lateSoon, priority(0), func(r *Request) { r.Deadline = epoch.Add(time.Second) }))
	fillSlots(t, q, waiting...)
	q.lateShare = 0.2 // As behind requests that were in time lately.
	decisions := q.Release(epoch.Add(100*time.Millisecond), 50*time.Millisecond)
	assert.DeepEqual(t, decisions, []Decision{{ID: 7}})
}

// A tenant that becomes active must share the slots at once with another one that is as
// urgent and has been waiting, also if a more urgent tenant has had most of the slots
// meanwhile. Guards against turns of the urgent tenant that count for the others.
func TestTurnsOfUrgentTenantsDoNotCountForOthers(t *testing.T) {
	q := NewQueue(1)
	fillSlots(t, q)
	waiting := make(map[uint64]string)
	add := func(tenant string, rank int) {
		id := uint64(len(waiting) + 1)
		waiting[id] = tenant
		_, rejection := q.Admit(epoch, request(id, tenantOf(tenant, rank)))
		assert.Assert(t, rejection == nil)
	}
	serve := func() string {
		for _, d := range q.Release(epoch, 50*time.Millisecond) {
			assert.Assert(t, d.Rejection == nil)
			return waiting[d.ID]
		}
		return ""
	}
	for range 3 {
		add("busy", 1)
	}
	for range 50 { // The busy tenant gets one slot of three.
		for range 2 {
			add("urgent", 0)
			assert.Equal(t, serve(), "urgent")
		}
		assert.Equal(t, serve(), "busy")
		add("busy", 1)
	}
	for range 2 {
		add("busy", 1)
		add("new", 1)
	}
	served := make(map[string]int)
	for range 4 {
		served[serve()]++
	}
	assert.DeepEqual(t, served, map[string]int{"busy": 2, "new": 2})
}
