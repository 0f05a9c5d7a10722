package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against news that takes one reading of the store for each node on its way:
// with a pause of 1.35 s before each, half of 63 nodes had a configuration 3 s late
// (scale-2 of grown priecka).
func TestNewsIsPassedOnBeforeItIsRead(t *testing.T) {
	told := 0
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	deps := &shared{now: time.Now, log: log, known: func() bool { return true }, newer: func() { told++ }}
	server := &hopServer{deps: deps, gate: newLocalGate(deps)}
	ask := func(terms hopTerms) http.Header {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set(hopTermsName, encodeHop(terms))
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		return w.Header()
	}
	ask(hopTerms{Config: 9, Orders: 70, LeftUs: 1e6})
	assert.Equal(t, told, 1)
	header := ask(hopTerms{Config: 3, LeftUs: 1e6})
	assert.Equal(t, header.Get(hopConfig), "9")
	assert.Equal(t, header.Get(hopOrders), "70")
	assert.Equal(t, deps.configVersion(), uint64(0), "news is not in force before it is read")
}
