package sidecar_test

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// An endpoint that is only silent for a while must keep the requests that it is running:
// they are neither given up nor run again elsewhere.
func TestSilentEndpointKeepsItsRunningRequests(t *testing.T) {
	f := newFleet(t)
	release := make(chan struct{})
	silent := endpoint("silent")
	silent.Handler = func(w http.ResponseWriter, r *http.Request) {
		<-release
		silent.Sign(w, r)
	}
	n := f.addNode("a", silent)
	f.waitUntilReady()
	n.stop()
	<-n.done
	// The node runs again, and its endpoint announces itself only once.
	ctx := f.runNode(n)
	f.waitUntil("the node accepts announcements", func() bool {
		status, err := silent.Announce(ctx, n.settings.ControlAddress)
		return err == nil && status == http.StatusOK
	})
	f.waitUntil("the endpoint is used", func() bool { return n.gauge("endpoints_slots") > 0 })
	f.storeConfiguration(longRouteRule())
	f.waitUntil("the configuration is active", func() bool { return n.gauge("configuration_version") == float64(f.version) })
	done := make(chan result, 1)
	go func() {
		r := n.request(context.Background(), http.MethodPost, "/safe/x", "id1", nil)
		r.Header.Set(platformtest.HeaderDeadline, "25000")
		done <- do(r)
	}()
	f.waitUntil("the request runs", func() bool { return silent.RunCount() == 1 })
	f.waitUntil("the endpoint counts as silent", func() bool { return len(n.log.events("endpoint_silent")) > 0 })
	close(release)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, silent.RunCount(), 1)
}
