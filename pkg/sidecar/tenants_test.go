package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// The age of the configuration must reach a follower, never younger than it is, and must not
// change what older nodes read from a frame.
func TestFramesCarryTheAgeOfTheConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
		isStale := rapid.Bool().Draw(t, "stale")
		frame := appendFrame(nil, nil, isStale)
		setFrameAge(frame, age)
		read, err := readFrame(bytes.NewReader(frame))
		if err != nil || read.isStale != isStale || frame[frameHeaderBytes-1]&frameIsStale != 0 != isStale {
			t.Fatalf("%v, stale %v: %v, %v", frame, isStale, read, err)
		}
		if read.hasAge && (read.age < age || read.age >= age+frameAgeUnit) {
			t.Fatalf("an age of %v is read as %v", age, read.age)
		}
		if read.hasAge != (age <= maxFrameAge*frameAgeUnit) {
			t.Fatalf("an age of %v: known %v", age, read.hasAge)
		}
	})
	read, err := readFrame(bytes.NewReader(appendFrame(nil, nil, true)))
	assert.NilError(t, err)
	assert.Assert(t, !read.hasAge, "a frame of an older node tells no age")
}

// A node must take its configuration for the newest only for RevokeTimeout after the store
// confirmed it, to itself or to the node that it follows, and not by what other kinds or
// offers of other nodes say.
func TestConfigurationIsCertainOnlyByTheStore(t *testing.T) {
	now := time.Now()
	tr, logText := newTestTracker(t)
	defer logText()
	tr.deps.now = func() time.Time { return now }
	tr.deps.settings.FailClosed, tr.deps.settings.RevokeTimeout = true, 5*time.Second
	assert.Assert(t, !tr.isCertain())
	tr.confirmFromStore(platform.KindMeshState, now)
	assert.Assert(t, !tr.isCertain())
	tr.confirmFromStore(platform.KindConfiguration, now.Add(-2*time.Second))
	assert.Assert(t, tr.isCertain())
	now = now.Add(3 * time.Second)
	assert.Assert(t, tr.isCertain())
	now = now.Add(time.Millisecond)
	assert.Assert(t, !tr.isCertain())

	tr.beginFollowing()
	now = now.Add(100 * time.Millisecond)
	tr.confirmFromPeer(now, followFrame{})
	assert.Assert(t, !tr.isCertain(), "a frame without an age")
	now = now.Add(400 * time.Millisecond)
	tr.confirmFromPeer(now, followFrame{age: 4 * time.Second, hasAge: true})
	assert.Assert(t, tr.isCertain())
	age, isKnown := tr.frameAge()
	assert.Assert(t, isKnown)
	assert.Equal(t, age, 4*time.Second, "ages add up over followers")
	now = now.Add(1001 * time.Millisecond)
	assert.Assert(t, !tr.isCertain())

	tr.deps.settings.FailClosed = false
	_, isKnown = tr.frameAge()
	assert.Assert(t, !isKnown, "frames are unchanged where the age is not used")
}

// The tenant of a call and its rank must reach the gate of another node and its endpoint;
// calls without a tenant must look as they did before.
func TestCallsCarryTheirTenant(t *testing.T) {
	log := newEventLog(&bytes.Buffer{}, testOrigin, func() uint64 { return 0 })
	defer log.close(time.Second)
	service := "s"
	deps := &shared{settings: Settings{InboundAddress: "10.0.0.9:1"}, now: time.Now, log: log}
	deps.service.Store(&service)
	deps.rollouts = newRolloutTracker(deps.now, log, func() {})
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	x := &request{entry: &EntryHandler{deps: deps}, r: r, route: &mesh.Route{Kind: mesh.Safe}}
	choice := placement.Choice{Endpoint: &placement.Endpoint{}}
	plain := encodeHopHeader(x.newCall(time.Now(), choice, false).hopMetadata)
	assert.Assert(t, !strings.Contains(plain, `"m":`) && !strings.Contains(plain, `"y":`), plain)
	x.tenant = &mesh.Tenant{Name: "ward-a", Priority: 2}
	var metadata hopMetadata
	assert.NilError(t, json.Unmarshal([]byte(encodeHopHeader(x.newCall(time.Now(), choice, false).hopMetadata)), &metadata))
	assert.Equal(t, metadata.Tenant, "ward-a")
	assert.Equal(t, metadata.TenantPriority, 2)
}

// A waiting call that a more urgent one replaces must get its rejection at once, not at its
// deadline.
func TestReplacedCallIsRejectedAtOnce(t *testing.T) {
	admission, ea := waitingAdmission(t, 1)
	begin := func(tenant string, rank int) <-chan *verdict.Error {
		ended := make(chan *verdict.Error, 1)
		c := &call{deadline: time.Now().Add(testTimeout), hopMetadata: hopMetadata{
			Endpoint: "e", Service: "s", Version: "v", Route: "r", Tenant: tenant, TenantPriority: rank,
			SoftTimeoutUs: testTimeout.Microseconds(), MaxQueueWaitUs: testTimeout.Microseconds(),
		}}
		go func() {
			_, _, rejection := admission.admit(t.Context(), c)
			ended <- rejection
		}()
		return ended
	}
	assert.Assert(t, <-begin("a", 1) == nil, "the first call gets the slot")
	var waiting []<-chan *verdict.Error
	for i := 0; ; i++ {
		waiting = append(waiting, begin("a", 1))
		waitFor(t, "the call waits", func() bool {
			admission.mu.Lock()
			defer admission.mu.Unlock()
			return ea.queue.Waiting() == i+1
		})
		if i == 7 {
			break
		}
	}
	_ = begin("b", 0)
	rejected := make(chan *verdict.Error, len(waiting))
	for _, ended := range waiting {
		go func() { rejected <- <-ended }()
	}
	select {
	case rejection := <-rejected:
		assert.Assert(t, rejection != nil && rejection.Verdict == verdict.NotRun && rejection.RetryAfter > 0, "%v", rejection)
		assert.Equal(t, rejection.Code, verdict.Overloaded)
	case <-time.After(testTimeout / 2):
		t.Fatal("no call was rejected")
	}
	assert.DeepEqual(t, admission.fairnessCounts(), gate.FairnessCounts{Displaced: 1})
}

// waitingAdmission returns the admission of endpoint e of service s with the given slots.
func waitingAdmission(t *testing.T, slots int) (*localAdmission, *endpointAdmission) {
	t.Helper()
	tr, logText := newTestTracker(t)
	t.Cleanup(func() { logText() })
	ea := &endpointAdmission{
		endpoint: &mesh.LocalEndpoint{Announcement: mesh.Announcement{ID: "e", Service: "s", Version: "v", Slots: slots}}, queue: gate.NewQueue(slots),
		waiting: make(map[uint64]chan *verdict.Error),
	}
	tr.admission.admissions["e"] = ea
	return tr.admission, ea
}

// A refusal for want of a key is final: it must not carry a time after which to retry.
func TestRefusalsOfKeysHaveTheirStatus(t *testing.T) {
	for code, status := range map[verdict.Code]int{verdict.Unauthenticated: http.StatusUnauthorized, verdict.ConfigurationStale: http.StatusServiceUnavailable} {
		w := httptest.NewRecorder()
		x := &request{entry: &EntryHandler{deps: &shared{headers: HeaderNames{KeyScheme: "Token"}}}, w: w}
		x.sendProblem(verdict.NotRunErrorf(code, "refused"))
		assert.Equal(t, w.Code, status, fmt.Sprint(code))
		assert.Equal(t, w.Header().Get("Retry-After") == "", status == http.StatusUnauthorized, fmt.Sprint(code))
	}
}
