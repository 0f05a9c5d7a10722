package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// refusalRepeater serves connections of a faulty endpoint: once told to, it refuses a
// request, and on the same connection writes that refusal once more before its response
// to the next request, which it runs.
type refusalRepeater struct {
	// omitsID is set if refusals carry no request ID.
	omitsID bool

	mu            sync.Mutex
	isRefusing    bool
	runs          map[string]int
	repeatedCount int
}

// refuseNext makes the endpoint refuse its next request.
func (f *refusalRepeater) refuseNext() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isRefusing = true
}

func (f *refusalRepeater) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *refusalRepeater) repeated() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.repeatedCount
}

func (f *refusalRepeater) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		text := refusal
		switch {
		case f.isRefusing:
			f.isRefusing = false
			refusal = refusalHeader(r) + "Content-Length: 0\r\n\r\n"
			if f.omitsID {
				refusal = strings.Replace(refusal, platformtest.HeaderRequestID, "X-Other", 1)
			}
			text = refusal
		default:
			f.runs[r.Header.Get(platformtest.HeaderRequestID)]++
			if refusal != "" {
				f.repeatedCount++
			}
			refusal = ""
			text += signedHeader(r) + "Content-Length: 2\r\n\r\nok"
		}
		f.mu.Unlock()
		_, _ = io.WriteString(conn, text)
	}
}

// An endpoint's earlier refusal that comes once more must not be taken for the response
// to a later request: that request runs, so that it must not be answered with a promise
// that it did not (REFUSED), nor run at a second endpoint (TWICE).
func TestRepeatedRefusalNeitherPromisesNorRunsTwice(t *testing.T) {
	for _, c := range []struct {
		name    string
		omitsID bool
		// sameID is set if the client sends the refused request again with its ID.
		sameID bool
		// wantStatuses are the statuses that the second request may get.
		wantStatuses []int
	}{
		{"of another request", false, false, []int{http.StatusOK}},
		{"without an ID", true, false, []int{http.StatusOK, http.StatusBadGateway}},
		{"of a request that is sent again", false, true, []int{http.StatusOK}},
	} {
		for _, endpointCount := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, endpoints %d", c.name, endpointCount), func(t *testing.T) {
				f := newFleet(t)
				entryNode := f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
				faulty := make([]*refusalRepeater, endpointCount)
				for i := range faulty {
					faulty[i] = &refusalRepeater{omitsID: c.omitsID, runs: make(map[string]int)}
					e := endpoint(fmt.Sprint("e", i))
					e.ServeConn = faulty[i].serve
					f.addNode("a", e)
				}
				f.waitUntilReady()
				for attempt := 0; !sendBehindRefusal(t, entryNode, faulty, attempt, c.sameID, c.wantStatuses); attempt++ {
					assert.Assert(t, attempt < maxRefusalAttempts, "no request was sent behind a refusal")
				}
			})
		}
	}
}

// maxRefusalAttempts bounds the attempts to send a request on a connection that carried a
// refusal: a connection that has been idle for too long is not used again.
const maxRefusalAttempts = 100

// sendBehindRefusal sends a request that all endpoints refuse and then one that runs. It
// reports whether the second request met the fault.
func sendBehindRefusal(t *testing.T, n *testNode, faulty []*refusalRepeater, attempt int, sameID bool, wantStatuses []int) bool {
	t.Helper()
	firstID, secondID := fmt.Sprint("refused", attempt), fmt.Sprint("run", attempt)
	if sameID {
		secondID = firstID
	}
	for _, each := range faulty {
		each.refuseNext()
	}
	first := n.post("/unsafe/x", firstID)
	assert.NilError(t, first.err)
	assert.Equal(t, first.status, http.StatusServiceUnavailable)
	second := n.post("/unsafe/x", secondID)
	assert.NilError(t, second.err)
	runs, repeated := 0, 0
	for _, each := range faulty {
		runs += each.runCount(secondID)
		repeated += each.repeated()
	}
	assert.Assert(t, runs <= 1, "the request ran %d times", runs)
	assert.Assert(t, runs == 0 || slices.Contains(wantStatuses, second.status), "a request that ran got status %d", second.status)
	// A request that is sent again with its ID gets another connection.
	return repeated > 0 || sameID && runs == 1
}
