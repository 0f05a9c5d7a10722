package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

const (
	keyA, keyB, keyUnknown = "secret-a-5f1c", "secret-b-77e0", "secret-x-09aa"
	headerAuthorization    = "Authorization"
	headerTenant           = "X-Tenant"
)

// tenantList returns the list of tenants of a configuration, each with its keys.
func tenantList(keysA, keysB []string) string {
	return fmt.Sprintf(`[{"name":"ward-a","api_keys":["%s"],"priority":1},{"name":"ward-b","api_keys":["%s"],"priority":0}]`,
		strings.Join(keysA, `","`), strings.Join(keysB, `","`))
}

// tenantRules returns the rules of configurations with tenants: a private and a public route.
func tenantRules() []string {
	return []string{
		routeRule("safe", "/safe/", `"kind":"safe"`), routeRule("unsafe", "/unsafe/", `"kind":"unsafe"`),
		routeRule("public", "/public/", `"kind":"safe","public":true`),
	}
}

// startTenantFleet returns a fleet with tenants whose entry node has no endpoint of service
// s, so that its requests go over a hop, and the node of that endpoint.
func startTenantFleet(t *testing.T, e *platformtest.Endpoint) (f *fleet, remote, local *testNode) {
	t.Helper()
	f = newFleet(t)
	f.tenants = tenantList([]string{keyA}, []string{keyB})
	f.storeConfiguration(tenantRules()...)
	remote = f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
	local = f.addNode("a", e)
	f.waitUntilReady()
	return f, remote, local
}

// withKey sends a request with a key and a forged tenant; "" is no key.
func (n *testNode) withKey(method, path, id, key string) result {
	r := n.request(context.Background(), method, path, id, nil)
	if key != "" {
		r.Header.Set(headerAuthorization, "Token "+key)
	}
	r.Header.Set(headerTenant, "forged")
	return do(r)
}

// received returns the request with the given id as the endpoint got it, nil if it did not.
func received(e *platformtest.Endpoint, id string) *http.Request {
	for _, r := range e.Requests() {
		if r.Header.Get(platformtest.HeaderRequestID) == id {
			return r
		}
	}
	return nil
}

// assertNoKeys checks that no key has reached the log or the metrics of a node.
func (n *testNode) assertNoKeys(t *testing.T) {
	t.Helper()
	host := netip.MustParseAddrPort(n.settings.InboundAddress).Addr()
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", host, n.settings.MetricsPort))
	assert.NilError(t, err)
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	n.log.mu.Lock()
	text := n.log.text.String()
	n.log.mu.Unlock()
	for _, place := range []string{text, string(metrics)} {
		assert.Assert(t, !strings.Contains(place, "secret-"), "a key is shown: %s", place)
	}
}

// Only requests with a key may run, unless their route is public. Endpoints must get the
// tenant from the node, never from the client, and must not see keys; nor may these reach
// logs, metrics or bodies of errors. Guards against a forged tenant and against a 401 that
// looks worth a retry.
func TestKeysDecideWhoseRequestsRun(t *testing.T) {
	e := endpoint("e")
	f, remote, local := startTenantFleet(t, e)
	for _, entry := range []struct {
		name string
		node *testNode
	}{{"over a hop", remote}, {"local", local}} {
		for i, c := range []struct {
			path, key string
			status    int
			tenant    string
		}{
			{"/safe/", "", http.StatusUnauthorized, ""},
			{"/safe/", keyUnknown, http.StatusUnauthorized, ""},
			{"/safe/", keyA, http.StatusOK, "ward-a"},
			{"/safe/", keyB, http.StatusOK, "ward-b"},
			{"/public/", "", http.StatusOK, ""},
			{"/public/", keyUnknown, http.StatusOK, ""},
			{"/public/", keyA, http.StatusOK, "ward-a"},
			{"/nowhere/", "", http.StatusNotFound, ""},
			{"/nowhere/", keyUnknown, http.StatusNotFound, ""},
		} {
			name, id := fmt.Sprint(entry.name, ": ", c.path, " ", c.key), fmt.Sprint(entry.node.settings.Instance, "-", i)
			got := entry.node.withKey(http.MethodGet, c.path, id, c.key)
			assert.NilError(t, got.err, name)
			assert.Equal(t, got.status, c.status, name)
			assert.Assert(t, !strings.Contains(got.body, "secret-"), "%s: %s", name, got.body)
			r := received(e, id)
			if c.status != http.StatusOK {
				assert.Assert(t, r == nil, name)
				assert.Equal(t, got.header.Get("Retry-After"), "", name)
				continue
			}
			assert.Assert(t, r != nil, name)
			assert.Equal(t, strings.Join(r.Header.Values(headerTenant), "|"), c.tenant, name)
			assert.Equal(t, len(r.Header.Values(headerAuthorization)), 0, name)
		}
	}
	for _, n := range f.nodes {
		n.assertNoKeys(t)
	}
	served := remote.log.events("request_served")
	assert.Equal(t, served[0]["tenant"], "ward-a")
}

// A body must not be awaited for a request that is refused anyway.
func TestRequestWithoutKeyIsRefusedBeforeItsBody(t *testing.T) {
	f, remote, _ := startTenantFleet(t, endpoint("e"))
	_ = f
	c := remote.dial(t)
	_, err := fmt.Fprintf(c, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n%s: 2000\r\n\r\nfirst", platformtest.HeaderDeadline)
	assert.NilError(t, err)
	began := time.Now()
	assert.Equal(t, c.read(t).status, http.StatusUnauthorized)
	assert.Assert(t, time.Since(began) < time.Second)
}

// A new configuration must count for the next request on a connection that is open: a key
// that moves belongs to its new tenant, and one that is removed to nobody.
func TestKeysChangeOnOpenConnections(t *testing.T) {
	e := endpoint("e")
	f, remote, _ := startTenantFleet(t, e)
	c := remote.dial(t)
	send := func(id string) result {
		_, err := fmt.Fprintf(c, "GET /safe/ HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 2000\r\n%s: Token %s\r\n\r\n",
			platformtest.HeaderRequestID, id, platformtest.HeaderDeadline, headerAuthorization, keyA)
		assert.NilError(t, err)
		return c.read(t)
	}
	apply := func(keysA, keysB []string) {
		f.tenants = tenantList(keysA, keysB)
		f.storeConfiguration(tenantRules()...)
		f.waitUntil("the configuration is active", func() bool {
			version, _ := remote.activeVersion(t)
			return version == f.version
		})
	}
	assert.Equal(t, send("1").status, http.StatusOK)
	assert.Equal(t, received(e, "1").Header.Get(headerTenant), "ward-a")

	apply([]string{"secret-other"}, []string{keyB, keyA})
	assert.Equal(t, send("2").status, http.StatusOK)
	assert.Equal(t, received(e, "2").Header.Get(headerTenant), "ward-b")

	apply([]string{"secret-other"}, []string{keyB})
	assert.Equal(t, send("3").status, http.StatusUnauthorized)
	assert.Assert(t, received(e, "3") == nil)

	apply([]string{keyA}, []string{keyB})
	assert.Equal(t, send("4").status, http.StatusOK)
}

// Calls that the endpoint makes while it runs a request come from the node's own address.
// They need no key and have no tenant; a key that they carry is checked.
func TestCallsOfTheEndpointNeedNoKey(t *testing.T) {
	e := endpoint("e")
	_, _, local := startTenantFleet(t, e)
	address, err := net.ResolveTCPAddr("tcp", nodeIP+":0")
	assert.NilError(t, err)
	own := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{LocalAddr: address}).DialContext}}
	for i, c := range []struct {
		key    string
		status int
		tenant string
	}{{"", http.StatusOK, ""}, {keyA, http.StatusOK, "ward-a"}, {keyUnknown, http.StatusUnauthorized, ""}} {
		id := fmt.Sprint("own-", i)
		r := local.request(context.Background(), http.MethodGet, "/safe/", id, nil)
		if c.key != "" {
			r.Header.Set(headerAuthorization, "Token "+c.key)
		}
		r.Header.Set(headerTenant, "forged")
		response, err := own.Do(r)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, c.status, c.key)
		if c.status == http.StatusOK {
			assert.Equal(t, received(e, id).Header.Get(headerTenant), c.tenant)
		}
	}
}

// A node without a configuration does not know whose keys are valid: a 401, which is final,
// would turn clients away for good.
func TestNodeWithoutConfigurationAnswers503(t *testing.T) {
	f := newFleet(t)
	f.tenants = tenantList([]string{keyA}, []string{keyB})
	f.storeConfiguration(tenantRules()...)
	f.store.SetFault(func(*http.Request) platformtest.Fault {
		return platformtest.Fault{Status: http.StatusServiceUnavailable}
	})
	e := endpoint("e")
	n := f.prepareNode("a", e)
	f.nodes = append(f.nodes, n)
	ctx := f.runNode(n)
	go announceRepeatedly(ctx, n)
	f.waitUntil("the node accepts connections", func() bool { return n.withKey(http.MethodGet, "/safe/", "0", keyA).err == nil })
	for _, key := range []string{keyA, keyUnknown, ""} {
		got := n.withKey(http.MethodGet, "/safe/", "1", key)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	f.store.SetFault(nil)
	f.waitUntil("the key is known", func() bool { return n.withKey(http.MethodGet, "/safe/", "2", keyA).status == http.StatusOK })
	assert.Equal(t, n.withKey(http.MethodGet, "/safe/", "3", "").status, http.StatusUnauthorized)
}

// In a deployment without tenants, the headers are the client's own, as before.
func TestHeadersPassWithoutTenants(t *testing.T) {
	e := endpoint("e")
	_, entryNode := startRemoteEndpoint(t, e)
	assert.Equal(t, entryNode.withKey(http.MethodGet, "/safe/", "1", keyA).status, http.StatusOK)
	r := received(e, "1")
	assert.Equal(t, r.Header.Get(headerAuthorization), "Token "+keyA)
	assert.Equal(t, r.Header.Get(headerTenant), "forged")
}

// While the store is lost, a node goes on with the keys that it knows. With fail_closed it
// may do so only within the bound, whether the store refuses or is silent: a key may have
// been revoked. Requests without a key are decided as before.
func TestKeysExpireWithoutTheStoreIfNodesFailClosed(t *testing.T) {
	for _, c := range []struct {
		name         string
		isFailClosed bool
		fault        platformtest.Fault
	}{
		{"open, refused", false, platformtest.Fault{Status: http.StatusServiceUnavailable}},
		{"closed, refused", true, platformtest.Fault{Status: http.StatusServiceUnavailable}},
		{"closed, silent", true, platformtest.Fault{Hang: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const revoke = 3 * time.Second
			f := newFleet(t)
			f.watchTimeout = 300 * time.Millisecond
			f.tenants = tenantList([]string{keyA}, []string{keyB})
			f.storeConfiguration(tenantRules()...)
			for i := range 3 { // One reads the store, the others follow it.
				n := f.prepareNode("a", endpoint(fmt.Sprint("e", i)))
				n.settings.FailClosed, n.settings.RevokeTimeout = c.isFailClosed, revoke
				f.startNode(n)
				f.nodes = append(f.nodes, n)
			}
			f.waitUntilReady()
			status := func(n *testNode, path, key string) int { return n.withKey(http.MethodGet, path, "1", key).status }
			for _, n := range f.nodes {
				f.waitUntil("keys are accepted", func() bool { return status(n, "/safe/", keyA) == http.StatusOK })
			}
			// A quiet store must not make a node unsure, reader or follower.
			for began := time.Now(); time.Since(began) < revoke+time.Second; time.Sleep(100 * time.Millisecond) {
				for _, n := range f.nodes {
					assert.Equal(t, status(n, "/safe/", keyA), http.StatusOK)
				}
			}
			f.store.SetFault(func(*http.Request) platformtest.Fault { return c.fault })
			lostAt := time.Now()
			if !c.isFailClosed {
				for time.Since(lostAt) < revoke+time.Second {
					assert.Equal(t, status(f.nodes[0], "/safe/", keyA), http.StatusOK)
					time.Sleep(50 * time.Millisecond)
				}
				return
			}
			for _, n := range f.nodes {
				f.waitUntil("keys are refused", func() bool { return status(n, "/safe/", keyA) == http.StatusServiceUnavailable })
				assert.Equal(t, status(n, "/safe/", keyUnknown), http.StatusServiceUnavailable)
				assert.Equal(t, status(n, "/safe/", ""), http.StatusUnauthorized)
				assert.Equal(t, status(n, "/public/", ""), http.StatusOK)
			}
			t.Logf("keys are refused %v after the store was lost", time.Since(lostAt))
			assert.Assert(t, time.Since(lostAt) < 2*revoke)
			f.store.SetFault(nil)
			for _, n := range f.nodes {
				f.waitUntil("keys are accepted again", func() bool { return status(n, "/safe/", keyA) == http.StatusOK })
			}
		})
	}
}

// An urgent request whose time is shorter than the queue of less urgent ones must run ahead
// of them, at the gate of another node as well. Its entry node knows the length of the queue
// only, by which the request would be hopeless: seven views of 250 ms are there, and a shift trade
// has 1 s.
func TestUrgentTenantGoesAheadOfQueue(t *testing.T) {
	e := endpoint("e")
	e.Slots = 1
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(250 * time.Millisecond)
		e.Sign(w, r)
	}
	_, remote, _ := startTenantFleet(t, e)
	for _, id := range []string{"first", "second"} { // The second response tells the time that a request takes.
		assert.Equal(t, remote.withKey(http.MethodGet, "/safe/", id, keyA).status, http.StatusOK)
	}
	const views = 7
	ended := make(chan result, views)
	for i := range views {
		go func() {
			r := remote.request(context.Background(), http.MethodPost, "/unsafe/", fmt.Sprint("view-", i), strings.NewReader("x"))
			r.Header.Set(platformtest.HeaderDeadline, "3000")
			r.Header.Set(headerAuthorization, "Token "+keyA)
			ended <- do(r)
		}()
	}
	time.Sleep(150 * time.Millisecond)
	r := remote.request(context.Background(), http.MethodPost, "/unsafe/", "trade", strings.NewReader("x"))
	r.Header.Set(platformtest.HeaderDeadline, "1000")
	r.Header.Set(headerAuthorization, "Token "+keyB)
	assert.Equal(t, do(r).status, http.StatusOK)
	for range views {
		got := <-ended
		assert.Assert(t, got.status == http.StatusOK || got.header.Get("Retry-After") != "", "%v", got)
	}
	var order []string
	for _, r := range e.Requests() {
		order = append(order, r.Header.Get(platformtest.HeaderRequestID))
	}
	assert.Assert(t, slices.Index(order, "trade") < 5, "order at the endpoint: %v", order)
}
