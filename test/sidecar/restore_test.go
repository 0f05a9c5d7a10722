package sidecar_test

import (
	"fmt"
	"net/http"
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
