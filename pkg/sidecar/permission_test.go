package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// A call that got its slot before its process was paused, or before its version was
// closed, must not be sent afterwards: the deadline that allowed it has passed, or the
// version must get no more requests.
func TestCallIsNotSentOnExpiredPermission(t *testing.T) {
	for _, c := range []struct {
		name string
		// pause is the time between the slot and the send.
		pause         time.Duration
		closesVersion bool
		wantRuns      int64
		wantCode      verdict.Code
	}{
		{"no pause", 0, false, 1, ""},
		{"the deadline passed in a pause", 5 * time.Second, false, 0, verdict.DeadlineUnreachable},
		{"the version was closed in a pause", 100 * time.Millisecond, true, 0, verdict.VersionClosed},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				w.Header().Set("X-Sig", "1")
			}))
			defer endpoint.Close()
			tracker, _ := newTestTracker(t)
			deps, la := tracker.deps, tracker.admission
			deps.settings.InboundAddress = "127.0.0.1:1"
			deps.headers = HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Sig", NotRun: "X-Not-Run", ExpectedEndpoint: "X-Expected", CallerService: "X-Caller"}
			deps.uplink = newUplink(time.Now, 0)
			deps.rollouts.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: []mesh.Rollout{{Service: "s", Version: "v", Duration: time.Minute}}})
			la.restore(mesh.Instance{}, false)
			la.Announce(mesh.Announcement{
				ID: "e", Service: "s", Version: "v", Address: strings.TrimPrefix(endpoint.URL, "http://"), Slots: 1,
				State: mesh.EndpointReady, StartUnixMs: 1, Sequence: 1,
			})
			started := time.Now()
			var readings atomic.Int64
			deps.now = func() time.Time {
				// The first reading is that of the admission.
				if readings.Add(1) == 1 {
					return started
				}
				if c.closesVersion {
					deps.rollouts.machine.Step(started, rollout.Event{Kind: rollout.VersionFailed, Service: "s", Version: "v"})
					deps.rollouts.policies["s"] = trackedPolicy{Policy: rollout.Policy{Version: "v"}}
				}
				return started.Add(c.pause)
			}
			_, _, failure := la.run(t.Context(), &call{
				id: "id", method: http.MethodGet, uri: "/x", host: "h", header: http.Header{}, deadline: started.Add(time.Second),
				hopMetadata: hopMetadata{Endpoint: "e", Service: "s", Version: "v"},
			})
			assert.Equal(t, runs.Load(), c.wantRuns)
			if c.wantCode == "" {
				assert.Assert(t, failure == nil, "%v", failure)
				return
			}
			assert.Equal(t, failure.Code, c.wantCode)
			assert.Equal(t, failure.Verdict, verdict.NotRun)
		})
	}
}
