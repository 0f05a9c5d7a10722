package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// homeRule routes a path prefix to service s, to be served in the given regions only.
func homeRule(name, prefix string, regions ...string) string {
	rule := routeRule(name, prefix, `"kind":"safe"`)
	return strings.Replace(rule, `"action":{`, fmt.Sprintf(`"action":{"allowed_regions":["%s"],`, strings.Join(regions, `","`)), 1)
}

// A request with home regions must run only there, whichever node it enters at, also when
// the endpoints there fail; without any endpoint there it is refused with 503.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	f := newFleet(t)
	f.storeConfiguration(homeRule("home", "/home/", "r-b"), homeRule("none", "/none/", "r-x"), routeRule("safe", "/safe/", `"kind":"safe"`))
	var isFailing sync.Map
	for _, domain := range []string{"a", "b", "c"} {
		e := &platformtest.Endpoint{ID: "e-" + domain, Service: "s", Version: "v1"}
		e.Handler = func(w http.ResponseWriter, r *http.Request) {
			e.Sign(w, r)
			if _, fails := isFailing.Load(e.ID); fails {
				w.WriteHeader(http.StatusInternalServerError)
			}
			_, _ = fmt.Fprint(w, e.ID)
		}
		f.addNode(domain, e)
	}
	f.waitUntilReady()
	for i := range 60 {
		n := f.nodes[i%3]
		got := n.get("/home/x", fmt.Sprint("home", i))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "e-b")
	}
	isFailing.Store("e-b", true)
	for i := range 20 {
		assert.Equal(t, f.nodes[i%3].get("/home/x", fmt.Sprint("failing", i)).status, http.StatusInternalServerError)
	}
	for _, id := range []string{"e-a", "e-c"} {
		for _, n := range f.nodes {
			if n.endpoint.ID == id {
				assert.Equal(t, n.endpoint.RunCount(), 0, id)
			}
		}
	}
	refused := f.nodes[0].get("/none/x", "none")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Equal(t, f.nodes[0].get("/safe/x", "safe").body, "e-a")
}

// evacuatingFleet returns a fleet of two nodes in each of two failure domains, with the bound
// for evacuations in its settings.
func evacuatingFleet(t *testing.T) *fleet {
	f := newFleet(t)
	for i, domain := range []string{"a", "a", "b", "b"} {
		n := f.prepareNode(domain, &platformtest.Endpoint{ID: fmt.Sprint("e", i, "-", domain), Service: "s", Version: "v1"})
		n.settings.EvacuationTimeout = 5 * time.Second
		f.startNode(n)
		f.nodes = append(f.nodes, n)
	}
	f.waitUntilReady()
	return f
}

// runsIn returns the number of requests that ran in a failure domain.
func (f *fleet) runsIn(domain string) (count int) {
	for _, n := range f.nodes {
		if n.settings.FailureDomain == domain {
			count += n.endpoint.RunCount()
		}
	}
	return count
}

// No request may run in an evacuated zone once the evacuation is in force, clients there
// must be served elsewhere, and none of them may see an error. Afterwards the zone is used
// again. All must know within the bound of 5 s.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	f := evacuatingFleet(t)
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for i, n := range f.nodes {
		clients.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				got := n.get("/safe/x", fmt.Sprint("client", i, "-", k))
				if !assert.Check(t, got.err == nil && got.status == http.StatusOK, "%v", got) {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for range 2 {
		f.waitUntil("the zone is used", func() bool {
			before := f.runsIn("a")
			time.Sleep(50 * time.Millisecond)
			return f.runsIn("a") > before
		})
		f.store.Put("evacuations", "a", `{"why":"drill"}`)
		started := time.Now()
		f.waitUntil("the zone is evacuated", func() bool {
			before := f.runsIn("a")
			time.Sleep(100 * time.Millisecond)
			return f.runsIn("a") == before
		})
		assert.Assert(t, time.Since(started) < 5*time.Second, "%v", time.Since(started))
		before, elsewhere := f.runsIn("a"), f.runsIn("b")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, f.runsIn("a"), before)
		assert.Assert(t, f.runsIn("b") > elsewhere)
		f.store.Delete("evacuations", "a")
	}
	stop()
	clients.Wait()
}

// A node that starts while the store is unavailable must not send requests to a zone whose
// evacuation the others know.
func TestNodeStartsWithoutStoreDuringEvacuation(t *testing.T) {
	f := evacuatingFleet(t)
	f.store.Put("evacuations", "a", `{}`)
	for _, n := range f.nodes {
		f.waitUntil("the evacuation is known", func() bool { return len(n.log.events("evacuations_changed")) > 0 })
	}
	f.store.SetFault(func(*http.Request) platformtest.Fault {
		return platformtest.Fault{Status: http.StatusServiceUnavailable}
	})
	n := f.nodes[2]
	n.stop()
	<-n.done
	before := f.runsIn("a")
	f.startNode(n)
	f.waitUntil("the node is ready with the state of other nodes", func() bool {
		// The calls of others tell them that the node lacks its state.
		f.nodes[1].get("/safe/x", "other")
		n.get("/safe/x", "own")
		return n.isReady()
	})
	for i := range 100 {
		assert.Equal(t, n.get("/safe/x", fmt.Sprint("ready", i)).status, http.StatusOK)
	}
	assert.Equal(t, f.runsIn("a"), before)
	f.store.SetFault(nil)
	f.store.Delete("evacuations", "a")
	f.waitUntil("the zone is used again", func() bool {
		f.nodes[0].get("/safe/x", "again")
		return f.runsIn("a") > before
	})
}

// A cold endpoint must get no more than its limit in any second, also while its node stops
// and starts again; what is above it must be served by the warm endpoint.
func TestColdEndpointOfAFleet(t *testing.T) {
	f := newFleet(t)
	f.version++
	f.store.Put("config", "main", fmt.Sprintf(`{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout":"3000ms","idle_timeout":"15000ms"},`+
		`"listeners":[{"host":"h.example","rules":[%s]}],"clusters":[{"name":"s","max_connections":110,"health_check_path":%q,"cold_start":"3s","cold_per_s":17}]}`,
		f.version, f.maxBodyBytes, routeRule("safe", "/safe/", `"kind":"safe"`), platformtest.HealthCheckPath))
	var mu sync.Mutex
	var arrivals []time.Time
	cold := &platformtest.Endpoint{ID: "cold", Service: "s", Version: "v1", Slots: 12}
	cold.Handler = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		cold.Sign(w, r)
		_, _ = fmt.Fprint(w, "cold")
	}
	cold.SetCold(10 * time.Second)
	for _, e := range []*platformtest.Endpoint{cold, {ID: "warm", Service: "s", Version: "v1", Slots: 12}} {
		n := f.prepareNode("a", e)
		n.settings.ColdOverage, n.settings.ColdSlack = 1.5, 8
		f.startNode(n)
		f.nodes = append(f.nodes, n)
	}
	f.waitUntilReady()
	bodies := make(map[string]int)
	var clients sync.WaitGroup
	end := time.Now().Add(7 * time.Second)
	for i := range 8 {
		clients.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				got := f.nodes[1].get("/safe/x", fmt.Sprint("c", i, "-", k))
				assert.Check(t, got.status == http.StatusOK, "%v", got)
				mu.Lock()
				bodies[got.body]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	n := f.nodes[0]
	n.stop()
	<-n.done
	mu.Lock()
	beforeRestart := bodies["cold"]
	mu.Unlock()
	f.startNode(n)
	clients.Wait()
	assert.Assert(t, beforeRestart > 5 && bodies["cold"] > beforeRestart+5, "%v, %d before the restart", bodies, beforeRestart)
	most := 0
	for i, first := range arrivals {
		last := i
		for last < len(arrivals) && arrivals[last].Sub(first) <= time.Second {
			last++
		}
		most = max(most, last-i)
	}
	assert.Assert(t, most <= 33, "%d requests in a second", most)
	assert.Assert(t, bodies["warm"] > 100, "%v", bodies)
	assert.Assert(t, cold.HealthCheckCount() <= 2, "%d health checks", cold.HealthCheckCount())
	f.waitUntil("the endpoint is warm", func() bool { return f.nodes[0].gauge("endpoints_slots") == 12 })
}

// Nodes must learn of an evacuation, and of its end, from each other even if their watches
// deliver no events.
func TestEvacuationsPropagateWhenWatchesStall(t *testing.T) {
	f := evacuatingFleet(t)
	f.store.SuspendWatches()
	f.store.Put("evacuations", "a", `{}`)
	n := f.prepareNode("c", &platformtest.Endpoint{ID: "third", Service: "t", Version: "v1"})
	n.settings.EvacuationTimeout = 5 * time.Second
	f.startNode(n)
	f.nodes = append(f.nodes, n)
	f.waitUntil("the new node is ready", n.isReady)
	knows := func(n *testNode) bool { return n.gauge("failure_domains_evacuated") == 1 }
	f.waitUntil("the others learn of it by calls", func() bool {
		for i, each := range f.nodes {
			each.get("/safe/x", fmt.Sprint("tell", i))
		}
		return knows(f.nodes[2]) || knows(f.nodes[3])
	})
	f.store.CompactHistory() // Ends the suspension of the watches.
	f.store.Delete("evacuations", "a")
	f.waitUntil("the zone is used again", func() bool {
		before := f.runsIn("a")
		f.nodes[0].get("/safe/x", "again")
		return f.runsIn("a") > before
	})
}
