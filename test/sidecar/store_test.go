package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// rolloutStatus returns the state and version that the nodes stored as the status of a
// rollout.
func (f *fleet) rolloutStatus(service string) string {
	o, ok := f.store.Get("rollouts", service)
	if !ok || len(o.Status) == 0 {
		return ""
	}
	var status struct {
		State   string `json:"state"`
		Version string `json:"target_version"`
	}
	if json.Unmarshal(o.Status, &status) != nil {
		return "malformed"
	}
	return status.State + " " + status.Version
}

// storeRollout stores a rollout of service s.
func (f *fleet) storeRollout(version, duration string) {
	f.store.Put("rollouts", "s", fmt.Sprintf(`{"service":"s","target_version":%q,"duration":%q}`, version, duration))
}

// startLoad sends requests through all nodes until stop is closed. The function that it
// returns waits for their end and counts the responses other than 200 by status.
func (f *fleet) startLoad(stop <-chan struct{}, workers int) func() map[int]int {
	var mu sync.Mutex
	failed := make(map[int]int)
	var running sync.WaitGroup
	var requestCount atomic.Int64
	for w := range workers {
		n := f.nodes[w%len(f.nodes)]
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := n.get("/safe/x", fmt.Sprint("load", requestCount.Add(1)))
				if got.err != nil || got.status != http.StatusOK {
					mu.Lock()
					failed[got.status]++
					mu.Unlock()
				}
				time.Sleep(2 * time.Millisecond) // Limits the request rate.
			}
		})
	}
	return func() map[int]int {
		running.Wait()
		return failed
	}
}

// rolloutFleet returns a fleet with two endpoints of the old version and two of the new
// one. handle serves the requests to the new version.
func rolloutFleet(t *testing.T, handle func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request)) (f *fleet, old, next []*platformtest.Endpoint) {
	t.Helper()
	f = newFleet(t)
	for i := range 2 {
		oldEndpoint := endpoint(fmt.Sprint("old", i))
		newEndpoint := endpoint(fmt.Sprint("new", i))
		newEndpoint.Version = "v2"
		newEndpoint.Handler = func(w http.ResponseWriter, r *http.Request) { handle(newEndpoint, w, r) }
		f.addNode(fmt.Sprint("d", i), oldEndpoint)
		f.addNode(fmt.Sprint("d", i), newEndpoint)
		old, next = append(old, oldEndpoint), append(next, newEndpoint)
	}
	f.waitUntilReady()
	return f, old, next
}

func runCount(endpoints []*platformtest.Endpoint) int {
	total := 0
	for _, e := range endpoints {
		total += e.RunCount()
	}
	return total
}

// The rollout of a healthy version must be completed within its duration. After that,
// the old version must receive no requests, because its endpoints stop at once.
func TestHealthyVersionIsCompleted(t *testing.T) {
	f, old, next := rolloutFleet(t, func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) { e.Sign(w, r) })
	const duration = 5 * time.Second
	started := time.Now()
	f.storeRollout("v2", duration.String())
	stop := make(chan struct{})
	failed := f.startLoad(stop, 8)
	f.waitUntil("the version is completed", func() bool { return f.rolloutStatus("s") == "completed v2" })
	assert.Assert(t, time.Since(started) < duration+time.Second, "completed after %v", time.Since(started))
	for _, n := range f.nodes {
		f.waitUntil("all nodes know", func() bool {
			lines := n.log.events("rollout_policy")
			return len(lines) > 0 && lines[len(lines)-1]["open"] == false
		})
	}
	oldRuns := runCount(old)
	newRuns := runCount(next)
	f.waitUntil("the new version serves", func() bool { return runCount(next) > newRuns+50 })
	close(stop)
	assert.DeepEqual(t, failed(), map[int]int{})
	assert.Equal(t, runCount(old), oldRuns, "the old version received requests after the rollout was completed")
}

// A failing version must not receive more than its traffic share, and no requests after
// it is rolled back. The failure must be detected also while the store is unavailable,
// and if the version is so slow that callers are served by another endpoint before its
// responses arrive.
func TestFailingVersionIsRolledBack(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for _, c := range []struct {
		name             string
		storeUnavailable bool
		fault            http.HandlerFunc
	}{
		{"fails", false, fail},
		{"fails, store unavailable", true, fail},
		{"slower than callers wait", false, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var requestCount atomic.Int64
			f, old, next := rolloutFleet(t, func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) {
				e.Sign(w, r)
				if requestCount.Add(1)%2 == 0 {
					c.fault(w, r)
				}
			})
			f.storeRollout("v2", "10s")
			for _, n := range f.nodes {
				f.waitUntil("all nodes know the rollout", func() bool { return len(n.log.events("rollout_policy")) > 0 })
			}
			if c.storeUnavailable {
				f.store.SetFault(func(*http.Request) platformtest.Fault {
					return platformtest.Fault{Status: http.StatusServiceUnavailable}
				})
			}
			stop := make(chan struct{})
			failed := f.startLoad(stop, 8)
			analysisFailed := func() bool {
				for _, n := range f.nodes {
					if len(n.log.events("rollout_bad")) > 0 {
						return true
					}
				}
				return false
			}
			f.waitUntil("the analysis of the version fails", analysisFailed)
			f.store.SetFault(nil)
			f.waitUntil("the version is rolled back", func() bool { return f.rolloutStatus("s") == "rolled_back v2" })
			for _, n := range f.nodes {
				f.waitUntil("all nodes know", func() bool {
					lines := n.log.events("rollout_policy")
					return lines[len(lines)-1]["share"] == float64(0)
				})
			}
			newRuns, oldRuns := runCount(next), runCount(old)
			f.waitUntil("the old version serves", func() bool { return runCount(old) > oldRuns+50 })
			close(stop)
			failed()
			assert.Equal(t, runCount(next), newRuns, "a failing version received requests after it was rolled back")
			share := float64(newRuns) / float64(newRuns+oldRuns)
			assert.Assert(t, newRuns < 50 || share < 0.1, "the failing version received %d of %d requests", newRuns, newRuns+oldRuns)
		})
	}
}

// A new configuration must become active even if watches deliver no events: the nodes
// learn of it from each other.
func TestConfigurationPropagatesWhenWatchesStall(t *testing.T) {
	e := endpoint("e")
	f, entryNode := startRemoteEndpoint(t, e)
	f.store.SuspendWatches()
	f.storeConfiguration(routeRule("safe", "/safe/", `"kind":"safe"`), routeRule("late", "/late/", `"kind":"safe"`))
	// A new node lists the stored objects when it starts and learns of the configuration.
	newNode := f.addNode("b", &platformtest.Endpoint{ID: "third", Service: "t", Version: "v1"})
	f.waitUntil("the new node is ready", newNode.isReady)
	f.waitUntil("the new node knows the endpoint", func() bool { return newNode.get("/safe/x", "id0").status == http.StatusOK })
	f.waitUntil("the other nodes learn of the route from its calls", func() bool {
		newNode.get("/safe/x", "id1")
		entryNode.get("/safe/x", "id2")
		return entryNode.get("/late/x", "id3").status == http.StatusOK
	})
	f.store.CompactHistory() // Ends the suspension of the watches.
}

// Nodes must learn of a rollout from each other even if their watches deliver no events.
// Otherwise they would keep sending requests to a version that is rolled back.
func TestRolloutsPropagateWhenWatchesStall(t *testing.T) {
	e := endpoint("e")
	f, entryNode := startRemoteEndpoint(t, e)
	f.store.SuspendWatches()
	f.storeRollout("v2", "10s")
	newNode := f.addNode("b", &platformtest.Endpoint{ID: "third", Service: "t", Version: "v1"})
	f.waitUntil("the new node is ready", newNode.isReady)
	f.waitUntil("the other nodes learn of the rollout from its calls", func() bool {
		newNode.get("/safe/x", "id1")
		entryNode.get("/safe/x", "id2")
		return len(entryNode.log.events("rollout_policy")) > 0
	})
	assert.Assert(t, len(entryNode.log.events("rollouts_fetched")) > 0)
	f.store.CompactHistory() // Ends the suspension of the watches.
}

// A node must not return to an older configuration version, and must not activate a
// configuration with a rule to a service that the configuration does not define.
func TestOlderOrInvalidConfigurationIsNotActivated(t *testing.T) {
	f, entryNode := startRemoteEndpoint(t, endpoint("e"))
	activeVersion := func() any {
		lines := entryNode.log.events("configuration_activated")
		return lines[len(lines)-1]["version"]
	}
	f.version = 8
	f.storeConfiguration(routeRule("safe", "/safe/", `"kind":"safe"`))
	f.waitUntil("version 9 is active", func() bool { return activeVersion() == float64(9) })
	f.version = 4
	f.storeConfiguration(routeRule("safe", "/other/", `"kind":"safe"`))
	f.version = 9
	f.storeConfiguration(strings.Replace(routeRule("safe", "/safe/", `"kind":"safe"`), `"service":"s"`, `"service":"none"`, 1))
	f.waitUntil("the invalid version is rejected", func() bool { return len(entryNode.log.events("object_refused")) > 0 })
	assert.Equal(t, activeVersion(), float64(9))
	assert.Equal(t, entryNode.get("/safe/x", "id").status, http.StatusOK)
	f.storeConfiguration(routeRule("safe", "/safe/", `"kind":"safe"`))
	f.waitUntil("version 11 is active", func() bool { return activeVersion() == float64(11) })
}

// The deregistration of an endpoint must be acknowledged only once it is stored.
// Otherwise the node would not know of it after a restart.
func TestDeregistrationIsAcknowledgedOnlyOnceStored(t *testing.T) {
	f := newFleet(t)
	n := f.addNode("a", endpoint("e"))
	f.waitUntilReady()
	f.store.SetFault(func(r *http.Request) platformtest.Fault {
		if r.Method != http.MethodGet {
			return platformtest.Fault{Status: http.StatusServiceUnavailable}
		}
		return platformtest.Fault{}
	})
	n.endpoint.SetState("draining")
	status, err := n.endpoint.Announce(context.Background(), n.settings.ControlAddress)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, n.get("/safe/x", "id").status, http.StatusServiceUnavailable, "the node must apply the deregistration at once")
	f.store.SetFault(nil)
	f.waitUntil("the deregistration is acknowledged", func() bool {
		status, err := n.endpoint.Announce(context.Background(), n.settings.ControlAddress)
		return err == nil && status == http.StatusOK
	})
	o, _ := f.store.Get("azurespring-mesh", "instance-n0")
	assert.Assert(t, strings.Contains(string(o.Specification), `"ended"`), string(o.Specification))
}

// A dropped response to a write must not leave a second or a missing instance entry in
// the store, and must not stop a node from publishing.
func TestDroppedStoreResponsesLeaveOneEntryPerNode(t *testing.T) {
	f := newFleet(t)
	var dropped atomic.Int64
	f.store.SetFault(func(r *http.Request) platformtest.Fault {
		if r.Method != http.MethodGet && dropped.Add(1) <= 2 {
			return platformtest.Fault{DropResponse: true}
		}
		return platformtest.Fault{}
	})
	entryNode := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	f.addNode("a", endpoint("e"))
	f.waitUntilReady()
	assert.Equal(t, entryNode.get("/safe/x", "id").status, http.StatusOK)
	assert.Equal(t, len(f.store.List("azurespring-mesh")), 2)
}

// A node that restarts while the store is unavailable must become ready with what it
// learns from other nodes, and its co-located endpoint must receive requests again.
func TestNodeRestartsWhileStoreIsUnavailable(t *testing.T) {
	f := newFleet(t)
	caller := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	n := f.addNode("a", endpoint("e"))
	f.addNode("b", endpoint("other-domain"))
	f.waitUntilReady()
	f.store.SetFault(func(*http.Request) platformtest.Fault {
		return platformtest.Fault{Status: http.StatusServiceUnavailable}
	})
	n.stop()
	<-n.done
	f.startNode(n)
	f.waitUntil("the node is ready with the state of other nodes", func() bool {
		caller.get("/safe/x", "id1")
		return n.isReady()
	})
	assert.Equal(t, n.get("/safe/x", "id2").status, http.StatusOK)
	before := n.endpoint.RunCount()
	f.waitUntil("its endpoint receives requests", func() bool { n.get("/safe/x", "id3"); return n.endpoint.RunCount() > before })
	f.store.SetFault(nil)
	f.waitUntil("the stored instance entry is read", func() bool { return len(n.log.events("endpoints_restored")) > 0 })
}

// Endpoints of a new version that wait for their order must get no requests when endpoints
// of the version in use leave, nor from nodes that have just started.
func TestVersionWithoutOrderGetsNoRequests(t *testing.T) {
	f, old, next := rolloutFleet(t, sign)
	for _, n := range f.nodes {
		f.waitUntil("the version in use is known", func() bool { return len(n.log.events("version_in_use")) > 0 })
	}
	// Another writer deletes or replaces the stored version. Nodes that start later need it.
	const kind, name = "azurespring-mesh", "version-s"
	isStored := func() bool {
		o, ok := f.store.Get(kind, name)
		return ok && strings.Contains(string(o.Specification), `"v1"`)
	}
	f.store.Delete(kind, name)
	f.waitUntil("the deleted version is stored again", isStored)
	f.store.Put(kind, name, `{"service":"s"}`)
	f.waitUntil("the replaced version is stored again", isStored)
	stop := make(chan struct{})
	failed := f.startLoad(stop, 4)
	leaving := f.nodes[0]
	leaving.endpoint.SetState("draining")
	f.waitUntil("the endpoint has left", func() bool {
		status, err := leaving.endpoint.Announce(context.Background(), leaving.settings.ControlAddress)
		return err == nil && status == http.StatusOK
	})
	late := f.addNode("d0", &platformtest.Endpoint{ID: "late", Service: "s", Version: "v2"})
	f.waitUntil("the new node is ready", late.isReady)
	f.waitUntil("the new node serves requests", func() bool { return late.get("/safe/x", "id").status == http.StatusOK })
	served := runCount(old)
	f.waitUntil("the version in use serves", func() bool { return runCount(old) > served+100 })
	close(stop)
	assert.DeepEqual(t, failed(), map[int]int{})
	assert.Equal(t, runCount(append(next, late.endpoint)), 0, "a version without an order got requests")

	leaving.endpoint.Close()
	f.nodes[2].endpoint.Crash()
	got := f.nodes[1].get("/safe/x", "none left")
	assert.Assert(t, got.status != http.StatusOK, "a version without an order got the requests of one without endpoints")
}
