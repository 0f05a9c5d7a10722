package coldstart

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// failback are the limits of the deployment with cold endpoints.
var failback = Limits{PerSecond: 17, Overage: 1.5, Slack: 8, HeartbeatInterval: 1500 * time.Millisecond, HasHealthCheck: true}

var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// mostInWindow returns the largest number of times in any second.
func mostInWindow(times []time.Time) int {
	most := 0
	for i, first := range times {
		end := i
		for end < len(times) && times[end].Sub(first) <= time.Second {
			end++
		}
		most = max(most, end-i)
	}
	return most
}

// takeAll asks for 200 requests a second over the given time and returns when they were
// sent.
func takeAll(l *Limiter, limits Limits, from, to time.Duration) (sent []time.Time) {
	for d := from; d < to; d += 5 * time.Millisecond {
		if ok, _ := l.Take(at(d), limits); ok {
			sent = append(sent, at(d))
		}
	}
	return sent
}

// A cold endpoint crashes above its limit, whatever the alignment of the second, and also
// if the node is killed and starts again at once (failback, 200 requests a second).
func TestLimitHoldsInAnySecondAcrossRestart(t *testing.T) {
	bound := int(failback.PerSecond*failback.Overage + failback.Slack)
	for restart := time.Duration(0); restart < 3*time.Second; restart += 50 * time.Millisecond {
		sent := takeAll(New(), failback, 0, restart)
		sent = append(sent, takeAll(New(), failback, restart, 6*time.Second)...)
		assert.Assert(t, mostInWindow(sent) <= bound, "restart after %v: %d", restart, mostInWindow(sent))
		assert.Assert(t, len(sent) >= 6*14, "restart after %v: only %d are sent", restart, len(sent))
	}
}

// Whatever the endpoint says and whatever happens, the limit must hold over each second in
// which the endpoint was not warm, and requests that come later must not be released
// together with those that wait.
func TestLimitHoldsWhileNotWarm(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l, now := New(), epoch
		var sent []time.Time
		var query *Query
		warmAt := time.Time{}
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0:
				l.Announced(now, failback, time.Duration(rapid.IntRange(0, 3).Draw(r, "remaining"))*time.Second)
			case 1:
				l.Doubt(now)
			case 2:
				if query != nil {
					l.Answered(now, *query, time.Duration(rapid.IntRange(0, 3).Draw(r, "remaining"))*time.Second)
					query = nil
				}
			default:
				if q, ok := l.DueQuery(now, failback); ok {
					query = &q
				}
				for range rapid.IntRange(1, 40).Draw(r, "requests") {
					wait := l.Wait(now, failback, 1)
					ok, retry := l.Take(now, failback)
					assert.Equal(t, ok, wait == 0)
					assert.Equal(t, ok, retry == 0)
					if ok {
						sent = append(sent, now)
					}
				}
			}
			if l.State(now, failback) == Warm {
				warmAt = now
			}
			if now.Sub(warmAt) > time.Second {
				recent := slices.DeleteFunc(slices.Clone(sent), func(s time.Time) bool { return now.Sub(s) > time.Second })
				assert.Assert(t, len(recent) <= failback.capacity(), "%d requests", len(recent))
			}
		}
	})
}

// Requests that were sent while the endpoint was warm count once it is in doubt.
func TestSendsOfTheWarmEndpointCountAfterADoubt(t *testing.T) {
	l := New()
	l.Announced(at(0), failback, 0)
	assert.Equal(t, len(takeAll(l, failback, 0, time.Second)), 200)
	l.Doubt(at(time.Second))
	ok, wait := l.Take(at(time.Second), failback)
	assert.Assert(t, !ok && wait > 900*time.Millisecond, "%v", wait)
}

// After the end of an evacuation, or a broken connection, an announcement that was made
// before must not end the limit; a health response to a query from before neither.
func TestStatementsFromBeforeADoubtDoNotCount(t *testing.T) {
	l := New()
	l.Announced(at(0), failback, 0)
	assert.Equal(t, l.State(at(0), failback), Warm)
	takeAll(l, failback, 0, 2400*time.Millisecond)
	query, ok := l.DueQuery(at(2400*time.Millisecond), failback)
	assert.Assert(t, ok)
	l.Doubt(at(2410 * time.Millisecond))
	l.Announced(at(2420*time.Millisecond), failback, 0)
	assert.Equal(t, l.State(at(2420*time.Millisecond), failback), Unknown)
	l.Answered(at(2430*time.Millisecond), query, 0)
	assert.Equal(t, l.State(at(2430*time.Millisecond), failback), Unknown)
	query, ok = l.DueQuery(at(2700*time.Millisecond), failback)
	assert.Assert(t, ok)
	l.Answered(at(2710*time.Millisecond), query, 0)
	assert.Equal(t, l.State(at(2710*time.Millisecond), failback), Warm)
}

// An announcement made more than an interval after the doubt counts: without a health
// check, the endpoint would stay limited.
func TestLaterAnnouncementEndsADoubt(t *testing.T) {
	l := New()
	l.Doubt(at(0))
	l.Announced(at(time.Second), failback, 0)
	assert.Equal(t, l.State(at(time.Second), failback), Unknown)
	l.Announced(at(1600*time.Millisecond), failback, 0)
	assert.Equal(t, l.State(at(1600*time.Millisecond), failback), Warm)
}

// An announcement that an endpoint is cold must count at once, also soon after a health
// response that said otherwise, or that its cold time ends earlier.
func TestColdAnnouncementCountsAfterAHealthResponse(t *testing.T) {
	for _, remaining := range []time.Duration{0, 200 * time.Millisecond} {
		l := New()
		l.Doubt(at(0))
		takeAll(l, failback, 0, 100*time.Millisecond)
		query, ok := l.DueQuery(at(100*time.Millisecond), failback)
		assert.Assert(t, ok)
		l.Answered(at(110*time.Millisecond), query, remaining)
		l.Announced(at(150*time.Millisecond), failback, 3*time.Second)
		assert.Equal(t, l.State(at(3*time.Second), failback), Cold)
		l.Announced(at(500*time.Millisecond), failback, 100*time.Millisecond)
		assert.Equal(t, l.State(at(3*time.Second), failback), Cold, "one from before must not shorten it")
	}
}

// An endpoint that becomes cold again says so in an announcement; the end of its cold time
// needs no further message.
func TestColdEndpointIsWarmAfterItsTime(t *testing.T) {
	l := New()
	l.Announced(at(0), failback, 0)
	l.Announced(at(1500*time.Millisecond), failback, 3*time.Second)
	assert.Equal(t, l.State(at(4400*time.Millisecond), failback), Cold)
	assert.Equal(t, l.State(at(4500*time.Millisecond), failback), Warm)
}

// Health queries are billed: there must be none without a limit, at low load, while the
// endpoint is known to be cold, or while announcements arrive; and few without an answer.
func TestQueriesAreFew(t *testing.T) {
	queries := func(limits Limits, perSecond int, announced bool) int {
		l, count := New(), 0
		interval := time.Second / time.Duration(perSecond)
		for d := time.Duration(0); d < 60*time.Second; d += interval {
			if announced && d%(1500*time.Millisecond) < interval {
				l.Announced(at(d), limits, 0)
			}
			if _, ok := l.DueQuery(at(d), limits); ok {
				count++
				l.Failed(at(d + 5*time.Millisecond))
			}
			l.Take(at(d), limits)
		}
		return count
	}
	unlimited, blind := failback, failback
	unlimited.PerSecond, blind.HasHealthCheck = 0, false
	assert.Equal(t, queries(unlimited, 100, false), 0)
	assert.Equal(t, queries(blind, 100, false), 0)
	assert.Equal(t, queries(failback, 5, false), 0, "low load")
	assert.Equal(t, queries(failback, 100, true), 0, "announcements arrive")
	if count := queries(failback, 100, false); count < 10 || count > 25 {
		t.Errorf("%d queries in a minute without an answer", count)
	}
	l := New()
	takeAll(l, failback, 0, 100*time.Millisecond)
	query, ok := l.DueQuery(at(100*time.Millisecond), failback)
	assert.Assert(t, ok)
	_, ok = l.DueQuery(at(400*time.Millisecond), failback)
	assert.Assert(t, !ok, "one at a time")
	l.Answered(at(500*time.Millisecond), query, 3*time.Second)
	_, ok = l.DueQuery(at(time.Second), failback)
	assert.Assert(t, !ok, "the endpoint is known to be cold")
}

// A lost announcement must lead to a query before the limit applies again.
func TestLostAnnouncementIsReplacedByAQuery(t *testing.T) {
	l := New()
	l.Announced(at(0), failback, 0)
	for d := time.Duration(0); d < 30*time.Second; d += 10 * time.Millisecond {
		if q, ok := l.DueQuery(at(d), failback); ok {
			l.Answered(at(d+6*time.Millisecond), q, 0)
		}
		ok, _ := l.Take(at(d+7*time.Millisecond), failback)
		assert.Assert(t, ok, "after %v", d)
	}
}

// Senders must see the reduced capacity, and long requests that were sent before must not
// keep all others away.
func TestSlotsWhileCold(t *testing.T) {
	l := New()
	for _, c := range []struct {
		atEndpoint  int
		serviceTime time.Duration
		want        int
	}{
		{0, 0, 1}, {0, 50 * time.Millisecond, 1}, {0, 500 * time.Millisecond, 8}, {0, 5 * time.Second, 12}, {7, 50 * time.Millisecond, 8}, {12, 0, 12},
	} {
		assert.Equal(t, l.Slots(epoch, failback, 12, c.atEndpoint, c.serviceTime), c.want)
	}
	l.Announced(epoch, failback, 0)
	assert.Equal(t, l.Slots(epoch, failback, 12, 0, 0), 12)
	assert.Equal(t, New().Slots(epoch, Limits{}, 12, 0, 0), 12)
}

// The wait that is told to a request must be the one after which it is sent, so that
// hopeless requests are refused at once and others are not.
func TestWaitByPosition(t *testing.T) {
	for position := 1; position <= 100; position++ {
		l := New()
		takeAll(l, failback, 0, 30*time.Millisecond) // Six requests.
		now := 100 * time.Millisecond
		told, sent := l.Wait(at(now), failback, position), 0
		for d := now; ; d += time.Millisecond {
			ok, _ := l.Take(at(d), failback)
			for ok {
				if sent++; sent == position {
					break
				}
				ok, _ = l.Take(at(d), failback)
			}
			if sent == position {
				assert.Assert(t, (d-now-told).Abs() <= time.Millisecond, "position %d: told %v, sent after %v", position, told, d-now)
				break
			}
		}
	}
}

func BenchmarkTake(b *testing.B) {
	l, now := New(), epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Take(now, failback)
	}
}
