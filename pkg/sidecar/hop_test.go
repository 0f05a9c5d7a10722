package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh/egress"
)

// Verifies that a node forwards revisions that it has not read from the store yet.
// Otherwise an update takes one read of the store for each node on its way: with a
// pause of 1.35 s before each read, half of 63 nodes got a configuration 3 s late
// (recorded as scale-2 of grown priecka).
func TestRevisionsAreForwardedBeforeTheyAreRead(t *testing.T) {
	newerCount := 0
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	deps := &shared{now: time.Now, log: log, isLoaded: func() bool { return true }, onNewerRevision: func() { newerCount++ }}
	deps.uplink = newUplink(time.Now, 0)
	server := &hopServer{deps: deps, admission: newLocalAdmission(deps)}
	send := func(metadata hopMetadata) http.Header {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set(hopMetadataHeader, encodeHopHeader(metadata))
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		return w.Header()
	}
	send(hopMetadata{ConfigurationVersion: 9, RolloutRevision: 70, TimeoutUs: 1e6})
	assert.Equal(t, newerCount, 1)
	header := send(hopMetadata{ConfigurationVersion: 3, TimeoutUs: 1e6})
	assert.Equal(t, header.Get(hopConfigVersionHeader), "9")
	assert.Equal(t, header.Get(hopRolloutRevisionHeader), "70")
	assert.Equal(t, deps.configVersion(), uint64(0), "a reported version must not be active before it is read")
}

// Verifies that rejections count towards the usage of the link. Otherwise uncounted
// traffic fills the link: with 190 rejections a second next to large responses, packets
// waited 100 to 200 ms on links of 10 Mbit/s, and responses to small calls that had run
// came too late (recorded as inc-aa4a of grown tmwwc).
func TestRejectionsCountTowardsLinkUsage(t *testing.T) {
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	now := time.Now()
	deps := &shared{now: func() time.Time { return now }, log: log, isLoaded: func() bool { return true }, onNewerRevision: func() {}}
	deps.uplink = newUplink(deps.now, 10e6/8)
	server := &hopServer{deps: deps, admission: newLocalAdmission(deps)}
	for range 190 {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set(hopMetadataHeader, encodeHopHeader(hopMetadata{Endpoint: "none", TimeoutUs: 1e6}))
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		assert.Assert(t, w.Header().Get(hopErrorHeader) != "")
	}
	// A rejection of 250 bytes takes 0.2 ms on this link. 100 ms are reserved for the
	// way of a response to its caller.
	softDeadline := now.Add(100*time.Millisecond + 190*200*time.Microsecond)
	_, lateness := deps.uplink.reserve(egress.ExpectedResponse{Bytes: 1, SoftDeadline: softDeadline, Deadline: softDeadline})
	assert.Assert(t, lateness > 0)
}

// Verifies that a call whose sender stalls within the body ends at its deadline.
// Otherwise its memory is never released, and a shutdown waits for it.
func TestCallWithUnfinishedBodyEndsAtDeadline(t *testing.T) {
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	deps := &shared{now: time.Now, log: log, isLoaded: func() bool { return true }, onNewerRevision: func() {}}
	deps.uplink = newUplink(time.Now, 0)
	server := httptest.NewServer(&hopServer{deps: deps, admission: newLocalAdmission(deps)})
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 10\r\n\r\nx",
		hopMetadataHeader, encodeHopHeader(hopMetadata{Endpoint: "e", TimeoutUs: 50_000}))
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "the call is still waiting for its body")
	assert.Assert(t, response.Header.Get(hopErrorHeader) != "")
	_ = response.Body.Close()
}
