package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// After the store came back from a copy that lacks entries of nodes, a configuration and
// the end of a rollout, no request may fail, no older configuration or version may be
// used, and the nodes must store again what they had written.
func TestFleetOutlivesRestoredStore(t *testing.T) {
	f := newFleet(t)
	f.store.BeginEras()
	for i := range 2 {
		f.addNode("d0", endpoint(fmt.Sprint("old", i)))
	}
	f.waitUntilReady()
	f.storeRollout("v2", "4s")
	saved := f.store.Copy()
	for i := range 2 {
		next := endpoint(fmt.Sprint("new", i))
		next.Version = "v2"
		f.addNode("d1", next)
	}
	f.waitUntilReady()
	stop := make(chan struct{})
	failed := f.startLoad(stop, 8)
	f.waitUntil("the version is completed", func() bool { return f.rolloutStatus("s") == "completed v2" })
	f.storeConfiguration(routeRule("safe", "/safe/", `"kind":"safe"`), routeRule("added", "/added/", `"kind":"safe"`))
	for _, n := range f.nodes {
		f.waitUntil("the route is active", func() bool { return n.get("/added/x", "").status == http.StatusOK })
	}
	oldRuns := f.nodes[0].endpoint.RunCount() + f.nodes[1].endpoint.RunCount()

	f.store.Restore(saved)
	f.waitUntil("the entries are stored again", func() bool {
		_, first := f.store.Get("azurespring-mesh", "instance-n2")
		_, second := f.store.Get("azurespring-mesh", "instance-n3")
		return first && second
	})
	f.waitUntil("the end of the rollout is stored again", func() bool { return f.rolloutStatus("s") == "completed v2" })
	for _, n := range f.nodes {
		f.waitUntil("all nodes have seen the restore", func() bool { return len(n.log.events("store_restored")) > 0 })
		assert.Equal(t, n.get("/added/x", "").status, http.StatusOK)
	}
	close(stop)
	assert.DeepEqual(t, failed(), map[int]int{})
	assert.Equal(t, f.nodes[0].endpoint.RunCount()+f.nodes[1].endpoint.RunCount(), oldRuns, "the old version got requests again")
}

// A node that starts after the store came back from a copy must not send requests to an endpoint
// whose end its earlier process has acknowledged, although the copy has the endpoint as ready
// (review/9).
func TestEndedEndpointStaysEndedAfterRestoredStore(t *testing.T) {
	f := newFleet(t)
	f.store.BeginEras()
	leaving := endpoint("leaving")
	n := f.addNode("a", leaving)
	f.addNode("b", endpoint("other"))
	f.waitUntilReady()
	f.waitUntil("both endpoints are used", func() bool {
		f.nodes[1].get("/safe/x", "")
		n.get("/safe/x", "")
		return leaving.RunCount() > 0
	})
	saved := f.store.Copy()
	status, err := leaving.Deregister(context.Background(), n.settings.ControlAddress)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	n.stop()
	<-n.done
	runs := leaving.RunCount()
	f.store.Restore(saved)
	f.runNode(n) // The endpoint announces itself no more.
	f.waitUntil("the node is ready again", n.isReady)
	for i := range 50 {
		got := f.nodes[i%2].get("/safe/x", fmt.Sprint("id", i))
		assert.NilError(t, got.err)
	}
	assert.Equal(t, leaving.RunCount(), runs, "a deregistered endpoint received requests")
}

// Each node must store its entry in the new era, also if the copy has the same one: otherwise its
// next process could not tell whether it is the latest, and would wait for announcements.
func TestEntriesAreStoredInNewEra(t *testing.T) {
	f := newFleet(t)
	f.store.BeginEras()
	n := f.addNode("a", endpoint("e"))
	f.waitUntilReady()
	f.waitUntil("the endpoint is used", func() bool { return n.get("/safe/x", "").status == http.StatusOK })
	f.store.Restore(f.store.Copy())
	f.waitUntil("the entry is stored in the new era", func() bool {
		entry, _ := f.store.Get("azurespring-mesh", "instance-"+n.settings.Instance)
		return strings.Contains(string(entry.Specification), `"era":2`)
	})
	n.stop()
	<-n.done
	f.runNode(n)
	f.waitUntil("the endpoint responds without a new announcement", func() bool { return n.get("/safe/x", "").status == http.StatusOK })
}
