package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh/egress"
)

// Guards against news that takes one reading of the store for each node on its way:
// with a pause of 1.35 s before each, half of 63 nodes had a configuration 3 s late
// (scale-2 of grown priecka).
func TestRevisionsAreForwardedBeforeTheyAreRead(t *testing.T) {
	told := 0
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	deps := &shared{now: time.Now, log: log, known: func() bool { return true }, newer: func() { told++ }}
	deps.uplink = newUplink(time.Now, 0)
	server := &hopServer{deps: deps, gate: newLocalGate(deps)}
	ask := func(terms hopTerms) http.Header {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set(hopTermsName, encodeHop(terms))
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		return w.Header()
	}
	ask(hopTerms{ConfigurationVersion: 9, RolloutRevision: 70, TimeoutUs: 1e6})
	assert.Equal(t, told, 1)
	header := ask(hopTerms{ConfigurationVersion: 3, TimeoutUs: 1e6})
	assert.Equal(t, header.Get(hopConfig), "9")
	assert.Equal(t, header.Get(hopOrders), "70")
	assert.Equal(t, deps.configVersion(), uint64(0), "news is not in force before it is read")
}

// Guards against a link that is filled by what nobody counts: with 190 rejections a
// second beside large answers, packets waited 100 to 200 ms on links of 10 Mbit/s, and
// small calls that had run came too late (inc-aa4a of grown tmwwc).
func TestRejectionsCountOnTheLink(t *testing.T) {
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	now := time.Now()
	deps := &shared{now: func() time.Time { return now }, log: log, known: func() bool { return true }, newer: func() {}}
	deps.uplink = newUplink(deps.now, 10e6/8)
	server := &hopServer{deps: deps, gate: newLocalGate(deps)}
	for range 190 {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set(hopTermsName, encodeHop(hopTerms{Endpoint: "none", TimeoutUs: 1e6}))
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		assert.Assert(t, w.Header().Get(hopErrorName) != "")
	}
	// A rejection of 250 bytes takes 0.2 ms on this link; answers keep 100 ms for the
	// way to their caller.
	target := now.Add(100*time.Millisecond + 190*200*time.Microsecond)
	_, late := deps.uplink.promise(egress.ExpectedResponse{Bytes: 1, SoftDeadline: target, Deadline: target})
	assert.Assert(t, late > 0)
}
