package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// stopCase is a point at which a call can be when its entry node ends it.
type stopCase struct {
	name string
	// wantLocal and wantRemote are the codes if the target is local to the entry node and
	// over one hop, where the entry node does not know whether the call has left a queue.
	wantLocal, wantRemote verdict.Code
	wantRuns              int
	// isBodyStalled makes the caller send only the start of the body, which has
	// contentLength bytes, or an unknown number if that is -1.
	isBodyStalled bool
	contentLength int64
	// isQueued makes another call hold the target's only slot.
	isQueued bool
	headers  []string
}

var stopCases = []stopCase{
	{
		name: "at the target", wantLocal: verdict.DeadlineExceeded, wantRemote: verdict.DeadlineExceeded, wantRuns: 1,
		headers: []string{testtarget.HeaderNeverAnswer, "1"},
	},
	{name: "in the target's queue", wantLocal: verdict.Draining, wantRemote: verdict.DeadlineExceeded, isQueued: true},
	{
		name: "small body arriving", wantLocal: verdict.Draining, wantRemote: verdict.Draining,
		isBodyStalled: true, contentLength: 10,
	},
	{
		name: "streamed body arriving", wantLocal: verdict.DeadlineExceeded, wantRemote: verdict.DeadlineExceeded, wantRuns: 1,
		isBodyStalled: true, contentLength: -1,
	},
}

// stopVerdicts are the verdicts of the codes with which a stopping node ends calls.
var stopVerdicts = map[verdict.Code]verdict.Verdict{
	verdict.Draining: verdict.NotRun, verdict.DeadlineExceeded: verdict.MayHaveRun,
}

// Each call that a stopping node ends must get a response with a true verdict long before
// its own deadline, wherever the call is.
func TestCallsThatStopEndsGetTrueVerdict(t *testing.T) {
	for _, c := range stopCases {
		for entryIndex, want := range []verdict.Code{c.wantLocal, c.wantRemote} {
			for _, isHTTP2 := range []bool{false, true} {
				name := c.name + map[int]string{0: "/local", 1: "/remote"}[entryIndex] + map[bool]string{false: "/HTTP1", true: "/HTTP2"}[isHTTP2]
				t.Run(name, func(t *testing.T) { c.check(t, entryIndex, want, isHTTP2) })
			}
		}
	}
}

func (c *stopCase) check(t *testing.T, entryIndex int, want verdict.Code, isHTTP2 bool) {
	f := newFleet(t, "a", "b")
	target := f.nodes[0].newTarget(testtarget.Options{Slots: 1}, testtarget.Behavior{})
	entry := f.nodes[entryIndex]
	calls, endCalls := context.WithCancelCause(t.Context())
	var protocols http.Protocols
	protocols.SetHTTP1(!isHTTP2)
	protocols.SetUnencryptedHTTP2(isHTTP2)
	server := httptest.NewUnstartedServer(entry.entryHandler)
	server.Config.Protocols = &protocols
	server.Config.BaseContext = func(net.Listener) context.Context { return calls }
	server.Start()
	defer server.Close()
	client := &http.Transport{Protocols: &protocols}
	defer client.CloseIdleConnections()
	newRequest := func(ctx context.Context, url, id string, headers ...string) *http.Request {
		request, err := http.NewRequestWithContext(ctx, "POST", url+"/pay", nil)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testCustomerKey)
		request.Header.Set(headerService, "stock")
		request.Header.Set(headerRequestID, id)
		for i := 0; i+1 < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		return request
	}
	if c.isQueued {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		// This call enters at another server, so that it holds the slot until the end of the test.
		running := newRequest(ctx, f.nodes[0].callServer.URL, "running", testtarget.HeaderNeverAnswer, "1")
		go receive(http.DefaultTransport, running)
		waitFor(t, "the slot is taken", func() bool { return target.InFlight() == 1 })
	}
	request := newRequest(t.Context(), server.URL, "id", c.headers...)
	if c.isBodyStalled {
		stalled, writer := io.Pipe()
		defer writer.Close()
		request.ContentLength = c.contentLength
		request.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(strings.NewReader("x"), stalled), stalled}
	}
	result := make(chan callResponse, 1)
	go func() { result <- receive(client, request) }()
	waitFor(t, "the call is where the case wants it", func() bool {
		isQueued := f.nodes[0].targetHandler.InFlight() == 2
		return entry.entryHandler.InFlight() > 0 && target.RunCount("id") == c.wantRuns && (isQueued || !c.isQueued)
	})
	endCalls(ErrNodeStopping)
	r := <-result
	assert.NilError(t, r.err)
	checkProblem(t, r, want, stopVerdicts[want])
	var p problem
	assert.NilError(t, json.Unmarshal([]byte(r.body), &p))
	assert.Equal(t, p.Detail, ErrNodeStopping.Error(), "the call ended by itself: %s", r)
	assert.Equal(t, target.RunCount("id"), c.wantRuns)
}

func receive(client http.RoundTripper, request *http.Request) callResponse {
	response, err := client.RoundTrip(request)
	if err != nil {
		return callResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResponse{Response: response, body: string(data), err: err}
}
