package sidecar_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// The limit of both tenants in tests of quotas, and what the rule then allows in a window:
// (quotaRate * window + quotaBurst) * (1 + overage) + slack.
const (
	quotaRate, quotaBurst = 40, 10
	quotaWindow           = 5 * time.Second
	quotaOverage          = 0.1
	quotaSlack            = 20
	quotaAllowed          = (quotaRate*5+quotaBurst)*(1+quotaOverage) + quotaSlack
)

// runTimes records when requests of each tenant reached endpoints.
type runTimes struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// endpoint returns an endpoint that records its requests.
func (r *runTimes) endpoint(id string) *platformtest.Endpoint {
	e := endpoint(id)
	e.Slots = 20
	e.Handler = func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		tenant := request.Header.Get(headerTenant)
		r.at[tenant] = append(r.at[tenant], time.Now())
		r.mu.Unlock()
		e.Sign(w, request)
	}
	return e
}

// mostInWindow returns the largest number of requests of a tenant in any quotaWindow.
func (r *runTimes) mostInWindow(tenant string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.SortedFunc(slices.Values(r.at[tenant]), time.Time.Compare)
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// load sends requests with a key to all nodes in turn at the given rate for d.
func (f *fleet) load(key string, rate float64, d time.Duration) []result {
	var running sync.WaitGroup
	results := make([]result, int(rate*d.Seconds()))
	begin := time.Now()
	for i := range results {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		running.Go(func() {
			results[i] = f.nodes[i%len(f.nodes)].withKey(http.MethodGet, "/safe/", fmt.Sprint(begin.UnixNano(), "-", rate, "-", i), key)
		})
	}
	running.Wait()
	return results
}

// startQuotaFleet returns a fleet of which each node has served a request of both tenants.
func startQuotaFleet(t *testing.T, nodes int) (*fleet, *runTimes) {
	t.Helper()
	f, times := newFleet(t), &runTimes{at: make(map[string][]time.Time)}
	f.tenants = fmt.Sprintf(`[{"name":"ward-a","api_keys":[%q],"priority":1,"rate_per_s":%d,"burst":%d},`+
		`{"name":"ward-b","api_keys":[%q],"priority":1,"rate_per_s":%d,"burst":%d}]`, keyA, quotaRate, quotaBurst, keyB, quotaRate, quotaBurst)
	f.storeConfiguration(tenantRules()...)
	for i := range nodes {
		n := f.prepareNode("a", times.endpoint(fmt.Sprint("e", i)))
		n.settings.QuotaWindow, n.settings.QuotaOverage, n.settings.QuotaSlack = quotaWindow, quotaOverage, quotaSlack
		f.startNode(n)
		f.nodes = append(f.nodes, n)
	}
	f.waitUntilReady()
	for _, n := range f.nodes {
		for _, key := range []string{keyA, keyB} {
			f.waitUntil("a request is served", func() bool { return n.withKey(http.MethodGet, "/safe/", "first", key).status == http.StatusOK })
		}
	}
	return f, times
}

// Over all nodes, no more requests of a tenant may run than its limit and the rule allow;
// the others get 429 with the time to retry and have not run. Another tenant that stays
// below its limit must never be refused after the start, however much the first one sends.
// Guards against a quota that is counted for each node, and against one that refuses needlessly.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	const loadTime = 8 * time.Second
	f, times := startQuotaFleet(t, 4)
	var running sync.WaitGroup
	var a, b []result
	running.Go(func() { a = f.load(keyA, 4*quotaRate, loadTime) })
	running.Go(func() { b = f.load(keyB, quotaRate/2, loadTime) })
	running.Wait()

	for i, r := range b {
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, "request %d of the tenant below its limit: %s", i, r.body)
	}
	served, refused := 0, 0
	for _, r := range a {
		assert.NilError(t, r.err)
		if r.status == http.StatusOK {
			served++
			continue
		}
		refused++
		assert.Equal(t, r.status, http.StatusTooManyRequests, r.body)
		assert.Assert(t, strings.Contains(r.body, `"verdict":"not-run"`), r.body)
		seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 0 && seconds <= 2, "Retry-After %v", seconds)
	}
	most := times.mostInWindow("ward-a")
	t.Logf("served %d and refused %d of the tenant above its limit, at most %d in a window of %.0f allowed; served %d of the other",
		served, refused, most, quotaAllowed, len(b))
	assert.Assert(t, float64(most) <= quotaAllowed)
	assert.Assert(t, float64(served) >= 0.9*quotaRate*loadTime.Seconds(), "%d requests were served", served)
	for _, n := range f.nodes {
		n.assertNoKeys(t)
	}
}
