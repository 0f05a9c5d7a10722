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

// state returns what the nodes wrote of a rollout.
func (f *fleet) state(service string) string {
	o, ok := f.store.Get("rollouts", service)
	if !ok || len(o.Status) == 0 {
		return ""
	}
	var status struct {
		State   string `json:"state"`
		Version string `json:"target_version"`
	}
	if json.Unmarshal(o.Status, &status) != nil {
		return "unreadable"
	}
	return status.State + " " + status.Version
}

// order stores a rollout of service s.
func (f *fleet) order(version, duration string) {
	f.store.Put("rollouts", "s", fmt.Sprintf(`{"service":"s","target_version":%q,"duration":%q}`, version, duration))
}

// load sends requests from all nodes until stop is closed and returns once all
// have ended. Each answer that is not 200 is counted by its status.
func (f *fleet) load(stop <-chan struct{}, workers int) func() map[int]int {
	var mu sync.Mutex
	failed := make(map[int]int)
	var running sync.WaitGroup
	var next atomic.Int64
	for w := range workers {
		n := f.nodes[w%len(f.nodes)]
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := n.get("/safe/x", fmt.Sprint("load", next.Add(1)))
				if a.err != nil || a.status != http.StatusOK {
					mu.Lock()
					failed[a.status]++
					mu.Unlock()
				}
				time.Sleep(2 * time.Millisecond) // Paces the load.
			}
		})
	}
	return func() map[int]int {
		running.Wait()
		return failed
	}
}

// rolloutFleet has two endpoints of the old version and two of the new one.
func rolloutFleet(t *testing.T, handle func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request)) (f *fleet, old, next []*platformtest.Endpoint) {
	t.Helper()
	f = newFleet(t)
	for i := range 2 {
		before := endpoint(fmt.Sprint("old", i))
		after := endpoint(fmt.Sprint("new", i))
		after.Version = "v2"
		after.Handler = func(w http.ResponseWriter, r *http.Request) { handle(after, w, r) }
		f.add(fmt.Sprint("d", i), before)
		f.add(fmt.Sprint("d", i), after)
		old, next = append(old, before), append(next, after)
	}
	f.ready()
	return f, old, next
}

func runs(endpoints []*platformtest.Endpoint) int {
	total := 0
	for _, e := range endpoints {
		total += e.RunCount()
	}
	return total
}

// Guards against a good version that is not completed in time, and against
// requests to the old version, whose endpoints stop at once, after that.
func TestGoodVersionIsCompleted(t *testing.T) {
	f, old, next := rolloutFleet(t, func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) { e.Sign(w, r) })
	const duration = 5 * time.Second
	started := time.Now()
	f.order("v2", duration.String())
	stop := make(chan struct{})
	failed := f.load(stop, 8)
	f.wait("the version is completed", func() bool { return f.state("s") == "completed v2" })
	assert.Assert(t, time.Since(started) < duration+time.Second, "completed after %v", time.Since(started))
	for _, n := range f.nodes {
		f.wait("all nodes know", func() bool {
			lines := n.output.lines("rollout_policy")
			return len(lines) > 0 && lines[len(lines)-1]["open"] == false
		})
	}
	before := runs(old)
	taken := runs(next)
	f.wait("the new version serves", func() bool { return runs(next) > taken+50 })
	close(stop)
	assert.DeepEqual(t, failed(), map[int]int{})
	assert.Equal(t, runs(old), before, "the old version got requests after its end")
}

// Guards against a bad version that gets more than its share, or stays in use
// after its badness showed, also while the store cannot be written, and if its
// slow answers never arrive because their callers are served elsewhere first.
func TestBadVersionIsRolledBack(t *testing.T) {
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for _, c := range []struct {
		name string
		away bool
		bad  http.HandlerFunc
	}{
		{"fails", false, fails},
		{"fails, store away", true, fails},
		{"slower than callers wait", false, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var answered atomic.Int64
			f, old, next := rolloutFleet(t, func(e *platformtest.Endpoint, w http.ResponseWriter, r *http.Request) {
				e.Sign(w, r)
				if answered.Add(1)%2 == 0 {
					c.bad(w, r)
				}
			})
			f.order("v2", "10s")
			for _, n := range f.nodes {
				f.wait("all nodes know the order", func() bool { return len(n.output.lines("rollout_policy")) > 0 })
			}
			if c.away {
				f.store.SetFault(func(*http.Request) platformtest.Fault {
					return platformtest.Fault{Status: http.StatusServiceUnavailable}
				})
			}
			stop := make(chan struct{})
			failed := f.load(stop, 8)
			found := func() bool {
				for _, n := range f.nodes {
					if len(n.output.lines("rollout_bad")) > 0 {
						return true
					}
				}
				return false
			}
			f.wait("the version is found bad", found)
			f.store.SetFault(nil)
			f.wait("the version is rolled back", func() bool { return f.state("s") == "rolled_back v2" })
			for _, n := range f.nodes {
				f.wait("all nodes know", func() bool {
					lines := n.output.lines("rollout_policy")
					return lines[len(lines)-1]["share"] == float64(0)
				})
			}
			before, taken := runs(next), runs(old)
			f.wait("the old version serves", func() bool { return runs(old) > taken+50 })
			close(stop)
			failed()
			assert.Equal(t, runs(next), before, "a bad version got requests after it was rolled back")
			share := float64(before) / float64(before+taken)
			assert.Assert(t, before < 50 || share < 0.1, "the bad version got %d of %d requests", before, before+taken)
		})
	}
}

// Guards against a configuration that is not in force because a watch hears
// nothing: the nodes learn of it from each other.
func TestConfigurationPropagatesWhenWatchesStall(t *testing.T) {
	e := endpoint("e")
	f, entry := remote(t, e)
	f.store.SuspendWatches()
	f.configure(route("safe", "/safe/", `"kind":"safe"`), route("late", "/late/", `"kind":"safe"`))
	// One node hears of it: its watch is cut and it lists anew.
	heard := f.add("b", &platformtest.Endpoint{ID: "third", Service: "t", Version: "v1"})
	f.wait("the new node is ready", heard.isReady)
	f.wait("the new node knows the endpoint", func() bool { return heard.get("/safe/x", "id0").status == http.StatusOK })
	f.wait("the others learn of the route by calls", func() bool {
		heard.get("/safe/x", "id1")
		entry.get("/safe/x", "id2")
		return entry.get("/late/x", "id3").status == http.StatusOK
	})
	f.store.CompactHistory()
}

// Guards against nodes that go on sending requests to a version for as long as
// their watch hears nothing, because nobody tells them of the rollout.
func TestRolloutsPropagateWhenWatchesStall(t *testing.T) {
	e := endpoint("e")
	f, entry := remote(t, e)
	f.store.SuspendWatches()
	f.order("v2", "10s")
	heard := f.add("b", &platformtest.Endpoint{ID: "third", Service: "t", Version: "v1"})
	f.wait("the new node is ready", heard.isReady)
	f.wait("the others learn of the order by calls", func() bool {
		heard.get("/safe/x", "id1")
		entry.get("/safe/x", "id2")
		return len(entry.output.lines("rollout_policy")) > 0
	})
	assert.Assert(t, len(entry.output.lines("rollouts_fetched")) > 0)
	f.store.CompactHistory()
}

// Guards against a node that goes back to an older configuration, or takes one
// that names a service it lacks.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f, entry := remote(t, endpoint("e"))
	inForce := func() any {
		lines := entry.output.lines("configuration_activated")
		return lines[len(lines)-1]["version"]
	}
	f.version = 8
	f.configure(route("safe", "/safe/", `"kind":"safe"`))
	f.wait("version 9 is in force", func() bool { return inForce() == float64(9) })
	f.version = 4
	f.configure(route("safe", "/other/", `"kind":"safe"`))
	f.version = 9
	f.configure(strings.Replace(route("safe", "/safe/", `"kind":"safe"`), `"service":"s"`, `"service":"none"`, 1))
	f.wait("the faulty version is refused", func() bool { return len(entry.output.lines("object_refused")) > 0 })
	assert.Equal(t, inForce(), float64(9))
	assert.Equal(t, entry.get("/safe/x", "id").status, http.StatusOK)
	f.configure(route("safe", "/safe/", `"kind":"safe"`))
	f.wait("version 11 is in force", func() bool { return inForce() == float64(11) })
}

// Guards against an acknowledged end of an endpoint that is not stored: a
// restart of the node would not know of it.
func TestEndIsAcknowledgedOnlyOnceStored(t *testing.T) {
	f := newFleet(t)
	n := f.add("a", endpoint("e"))
	f.ready()
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
	assert.Equal(t, n.get("/safe/x", "id").status, http.StatusServiceUnavailable, "the end holds here at once")
	f.store.SetFault(nil)
	f.wait("the end is acknowledged", func() bool {
		status, err := n.endpoint.Announce(context.Background(), n.settings.ControlAddress)
		return err == nil && status == http.StatusOK
	})
	o, _ := f.store.Get("azurespring-mesh", "instance-n0")
	assert.Assert(t, strings.Contains(string(o.Specification), `"ended"`), string(o.Specification))
}

// Guards against a lost answer of the store that leaves two entries, an entry
// that is missing, or a node that stops publishing.
func TestLostAnswersOfTheStore(t *testing.T) {
	f := newFleet(t)
	var lost atomic.Int64
	f.store.SetFault(func(r *http.Request) platformtest.Fault {
		if r.Method != http.MethodGet && lost.Add(1) <= 2 {
			return platformtest.Fault{DropResponse: true}
		}
		return platformtest.Fault{}
	})
	entry := f.add("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	f.add("a", endpoint("e"))
	f.ready()
	assert.Equal(t, entry.get("/safe/x", "id").status, http.StatusOK)
	assert.Equal(t, len(f.store.List("azurespring-mesh")), 2)
}

// Guards against a node that serves nobody because it was replaced while the
// store was away, and against an endpoint beside it that stays unused.
func TestNodeReplacedWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(t)
	caller := f.add("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	n := f.add("a", endpoint("e"))
	f.add("b", endpoint("far"))
	f.ready()
	f.store.SetFault(func(*http.Request) platformtest.Fault {
		return platformtest.Fault{Status: http.StatusServiceUnavailable}
	})
	n.stop()
	<-n.done
	f.start(n)
	f.wait("the node is ready by what others know", func() bool {
		caller.get("/safe/x", "id1")
		return n.isReady()
	})
	assert.Equal(t, n.get("/safe/x", "id2").status, http.StatusOK)
	before := n.endpoint.RunCount()
	f.wait("its endpoint is used", func() bool { n.get("/safe/x", "id3"); return n.endpoint.RunCount() > before })
	f.store.SetFault(nil)
	f.wait("the stored entry is read", func() bool { return len(n.output.lines("endpoints_restored")) > 0 })
}
