package sidecar_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// unusableEntries are values that another writer may store.
var unusableEntries = map[string]string{
	"deeply nested": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"no JSON":       `{"slots":NaN}`,
	"large number":  `{"name":"x","address":"10.0.0.1:1","endpoints":[{"id":"e","service":"s","version":"v1","slots":1e999}]}`,
	"port":          `{"name":"a port","address":"10.0.0.1:99999","endpoints":[{"id":"e","service":"s","version":"v1","slots":4}]}`,
}

// Nodes must follow the store and new ones must start, whatever another writer has
// stored beside the entries and configurations.
func TestUnusableEntriesDoNotStopDiscovery(t *testing.T) {
	e := endpoint("e")
	f, entryNode := startRemoteEndpoint(t, e)
	for name, value := range unusableEntries {
		f.store.Put("azurespring-mesh", "instance-a "+name, value)
		f.store.Put("azurespring-mesh", "rollout-a "+name, value)
		f.store.Put("rollouts", name, value)
		f.store.Put("config", name, value)
	}
	f.storeConfiguration(routeRule("safe", "/safe/", `"kind":"safe"`), routeRule("late", "/late/", `"kind":"safe"`))
	f.waitUntil("the running node follows configurations", func() bool { return entryNode.get("/late/x", "id0").status == http.StatusOK })
	newNode := f.addNode("b", &platformtest.Endpoint{ID: "third", Service: "t", Version: "v1"})
	f.waitUntil("the new node is ready", newNode.isReady)
	f.waitUntil("the new node knows the endpoint", func() bool { return newNode.get("/safe/x", "id1").status == http.StatusOK })
	f.waitUntilReady()
	assert.Equal(t, entryNode.get("/safe/x", "id2").status, http.StatusOK)
}

// A route that allows very many attempts must be served; a buffer for the results of all
// of them does not fit into memory.
func TestRouteWithHugeAttemptLimitIsServed(t *testing.T) {
	f, entryNode := startRemoteEndpoint(t, endpoint("e"))
	f.storeConfiguration(strings.Replace(routeRule("safe", "/many/", `"kind":"safe"`), `"max_attempts":2`, `"max_attempts":9223372036854775807`, 1))
	f.waitUntil("the configuration is active", func() bool { return len(entryNode.log.events("configuration_activated")) > 1 })
	got := entryNode.get("/many/x", "id0")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

// A node must store its entry again if another writer replaced or deleted it. Otherwise
// the other nodes lose its endpoint until the next change of the endpoint.
func TestOverwrittenEntryIsStoredAgain(t *testing.T) {
	const kind, name = "azurespring-mesh", "instance-n1"
	f, entryNode := startRemoteEndpoint(t, endpoint("e"))
	owner := f.nodes[1]
	good := func() bool {
		o, ok := f.store.Get(kind, name)
		return ok && strings.Contains(string(o.Specification), owner.settings.InboundAddress) && strings.Contains(string(o.Specification), `"id":"e"`)
	}
	f.waitUntil("the entry is stored", good)
	values := map[string]string{
		"no endpoints": `{"name":"n1","address":"` + owner.settings.InboundAddress + `","failureDomain":"a","region":"r-a","endpoints":[]}`,
		"other type":   `{"name":"n1","address":"10.0.0.1:1","endpoints":[],"ended":"none"}`,
		"stopping":     `{"name":"n1","address":"10.0.0.1:1","endpoints":[],"stopping":true}`,
	}
	for form, value := range unusableEntries {
		values[form] = value
	}
	for _, value := range values {
		f.store.Put(kind, name, value)
		f.waitUntil("the entry is stored again", good)
	}
	f.store.Delete(kind, name)
	f.waitUntil("the entry is stored again after it was deleted", good)
	f.waitUntil("the endpoint is known", func() bool { return entryNode.get("/safe/x", "id0").status == http.StatusOK })
	if writes := len(owner.log.events("entry_published")); writes > 2*(len(values)+2) {
		t.Errorf("the entry was written %d times", writes)
	}
}

// A configuration that cannot be used must leave the active one in place.
func TestUnusableConfigurationKeepsTheActiveOne(t *testing.T) {
	f, entryNode := startRemoteEndpoint(t, endpoint("e"))
	const change = `"timeout":"3000ms"`
	values := []string{`{"version":"r99",}`, `{"version":"r99999999999999999999"}`, `{"version":["r99"]}`}
	for _, value := range unusableEntries {
		values = append(values, value)
	}
	for _, rule := range []string{`"timeout":"99999999999999s"`, `"timeout":"-1s"`, `"timeout":7`} {
		values = append(values, `{"version":"r99","listeners":[{"host":"h.example","rules":[`+
			strings.Replace(routeRule("safe", "/other/", `"kind":"safe"`), change, rule, 1)+`]}],"clusters":[{"name":"s"}]}`)
	}
	for _, value := range values {
		f.store.Put("config", "main", value)
	}
	f.storeConfiguration(routeRule("safe", "/safe/", `"kind":"safe"`), routeRule("late", "/late/", `"kind":"safe"`))
	f.waitUntil("the next configuration is active", func() bool { return entryNode.get("/late/x", "id0").status == http.StatusOK })
	assert.Equal(t, entryNode.get("/safe/x", "id1").status, http.StatusOK)
	assert.Assert(t, len(entryNode.log.events("object_refused")) > 0)
}
