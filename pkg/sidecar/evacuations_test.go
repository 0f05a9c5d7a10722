package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// newEvacuationTracker returns a tracker that follows evacuations.
func newEvacuationTracker(t *testing.T) *tracker {
	t.Helper()
	plain := newFollower(t)
	plain.deps.settings.EvacuationTimeout = 5 * time.Second
	plain.deps.evacuations.Store(nil)
	tr := newTracker(plain.deps, nil, testCodec{}, plain.admission)
	tr.peers = plain.peers
	tr.deps.onEndpointsChanged = tr.endpointsChanged
	tr.deps.onNewerRevision = func() { notify(tr.fetchWake) }
	return tr
}

func evacuationObject(domain string, revision int) platform.Object {
	return platform.Object{Kind: platform.KindEvacuation, Name: domain, ResourceVersion: fmt.Sprint(revision), Value: []byte(`{}`)}
}

func put(o platform.Object) platform.Event {
	return platform.Event{Type: platform.EventPut, Object: o, AsOf: o.ResourceVersion}
}

// A node must not be ready, take requests or admit calls before it knows the evacuations:
// another process of it may have known one. Without the setting nothing must change.
func TestNodeWaitsForEvacuations(t *testing.T) {
	tr := newEvacuationTracker(t)
	loadAll(t, tr, 10, 1)
	assert.Assert(t, !tr.isLoaded())
	x := &request{entry: &EntryHandler{deps: tr.deps}, r: httptest.NewRequest(http.MethodGet, "/x", nil)}
	failure := x.matchRoute()
	assert.Equal(t, failure.Code, verdict.NoTarget)
	assert.Equal(t, tr.admission.evacuationRejection().Verdict, verdict.NotRun)
	tr.replaceView(platform.KindEvacuation, nil, 10)
	tr.refresh(platform.KindEvacuation)
	assert.Assert(t, tr.isLoaded())
	assert.Assert(t, tr.admission.evacuationRejection() == nil)

	plain := newFollower(t)
	loadAll(t, plain, 10, 1)
	assert.Assert(t, plain.isLoaded())
	assert.Assert(t, plain.admission.evacuationRejection() == nil)
	assert.DeepEqual(t, plain.kinds, trackedKinds)
}

// An evacuation must be in force at the entry and at the gate, and end when its object is
// deleted, whatever its content.
func TestEvacuationFollowsItsObject(t *testing.T) {
	tr := newEvacuationTracker(t)
	loadAll(t, tr, 10, 1)
	tr.replaceView(platform.KindEvacuation, []platform.Object{{Kind: platform.KindEvacuation, Name: "z", ResourceVersion: "4", Value: []byte(`[`)}}, 10)
	tr.refresh(platform.KindEvacuation)
	assert.Assert(t, !tr.deps.evacuations.Load().Admits("z") && tr.deps.evacuations.Load().Admits("d"))
	_, err := tr.encodeState()
	assert.NilError(t, err)
	tr.apply(platform.KindEvacuation, put(evacuationObject("d", 11)))
	assert.Equal(t, tr.admission.evacuationRejection().Code, verdict.NoTarget)
	x := &request{entry: &EntryHandler{deps: tr.deps}, route: &mesh.Route{}}
	assert.Equal(t, len(x.eligible(tr.deps.table.Load().EndpointsByVersion("s")["v"])), 0)
	tr.apply(platform.KindEvacuation, platform.Event{Type: platform.EventDeleted, Object: evacuationObject("d", 11), AsOf: "12"})
	assert.Assert(t, tr.admission.evacuationRejection() == nil)
	assert.Equal(t, len(x.eligible(tr.deps.table.Load().EndpointsByVersion("s")["v"])), 2)
}

// The store may be away while an evacuation holds, and a deletion may be missed: the node
// keeps what it knows until it learns better.
func TestLastEvacuationsHoldWithoutTheStore(t *testing.T) {
	tr := newEvacuationTracker(t)
	loadAll(t, tr, 10, 1)
	tr.replaceView(platform.KindEvacuation, []platform.Object{evacuationObject("z", 4)}, 10)
	tr.refresh(platform.KindEvacuation)
	tr.store = downStore{}
	_, err := tr.versionToWatch(t.Context(), platform.KindConfiguration)
	assert.NilError(t, err)
	tr.recordStoreLost(platform.KindEvacuation)
	_, err = tr.versionToWatch(t.Context(), platform.KindEvacuation)
	assert.Assert(t, err != nil)
	assert.Assert(t, !tr.deps.evacuations.Load().Admits("z"))
	tr.replaceView(platform.KindEvacuation, nil, 20)
	tr.refresh(platform.KindEvacuation)
	assert.Assert(t, tr.deps.evacuations.Load().Admits("z"))
}

// Evacuations must pass through followers, also their ends, but not to followers that do not
// ask for them: these refuse frames with kinds that they do not know.
func TestFollowersGetEvacuations(t *testing.T) {
	reader, follower, old := newEvacuationTracker(t), newEvacuationTracker(t), newFollower(t)
	loadAll(t, reader, 10, 1)
	reader.replaceView(platform.KindEvacuation, []platform.Object{evacuationObject("z", 4), evacuationObject("y", 5)}, 10)
	reader.refresh(platform.KindEvacuation)
	address := peerServer(t, reader)
	for _, each := range []*tracker{follower, old} {
		go func() {
			_ = each.peers.follow(t.Context(), address, followRequest{Since: each.versions()}, func(f followFrame) error { return each.applyChanges(f.changes) })
		}()
	}
	waitFor(t, "the evacuations are known", follower.isLoaded)
	waitFor(t, "the old follower has its first frame", old.isLoaded)
	assert.DeepEqual(t, follower.deps.evacuations.Load().Domains(), []string{"y", "z"})
	reader.apply(platform.KindEvacuation, platform.Event{Type: platform.EventDeleted, Object: evacuationObject("z", 4), AsOf: "12"})
	reader.apply(platform.KindEvacuation, put(evacuationObject("x", 13)))
	reader.apply(platform.KindConfiguration, platform.Event{Type: platform.EventPut, Object: configurationObject(t, 2, 14), AsOf: "14"})
	waitFor(t, "the changes are known", func() bool { return !follower.deps.evacuations.Load().Admits("x") })
	assert.DeepEqual(t, follower.deps.evacuations.Load().Domains(), []string{"x", "y"})
	waitFor(t, "the old follower still follows", func() bool { return old.deps.configVersion() == 2 })
	assert.Equal(t, follower.deps.newestEvacuationRevision.Load(), uint64(13))
}

// A node that starts without the store must learn the evacuations by state transfer. A
// transfer of a node that does not follow them must not pass for an empty list.
func TestStateTransferOfEvacuations(t *testing.T) {
	sender, old := newEvacuationTracker(t), newFollower(t)
	loadAll(t, sender, 10, 1)
	loadAll(t, old, 10, 1)
	encoded, err := sender.encodeState()
	assert.NilError(t, err)
	assert.Assert(t, encoded == nil, "the evacuations are not known yet")
	sender.replaceView(platform.KindEvacuation, []platform.Object{evacuationObject("z", 4)}, 10)
	sender.refresh(platform.KindEvacuation)
	for _, c := range []struct {
		from       *tracker
		wantLoaded bool
	}{{sender, true}, {old, false}} {
		encoded, err := c.from.encodeState()
		assert.NilError(t, err)
		receiver, oldReceiver := newEvacuationTracker(t), newFollower(t)
		assert.NilError(t, receiver.applyState(encoded))
		assert.Equal(t, receiver.isLoaded(), c.wantLoaded)
		assert.NilError(t, oldReceiver.applyState(encoded))
		assert.Assert(t, oldReceiver.isLoaded())
		if c.wantLoaded {
			assert.Assert(t, !receiver.deps.evacuations.Load().Admits("z"))
		}
	}
	empty := newEvacuationTracker(t)
	loadAll(t, empty, 10, 1)
	empty.replaceView(platform.KindEvacuation, nil, 10)
	empty.refresh(platform.KindEvacuation)
	encoded, err = empty.encodeState()
	assert.NilError(t, err)
	receiver := newEvacuationTracker(t)
	assert.NilError(t, receiver.applyState(encoded))
	assert.Assert(t, receiver.isLoaded(), "a listed kind without objects is known")
}

// A node whose watch is silent must learn of an evacuation from the calls of other nodes.
func TestCallsTellOfNewerEvacuations(t *testing.T) {
	tr := newEvacuationTracker(t)
	loadAll(t, tr, 10, 1)
	tr.replaceView(platform.KindEvacuation, nil, 10)
	tr.refresh(platform.KindEvacuation)
	assert.Assert(t, !tr.isBehind())
	header, err := json.Marshal(hopMetadata{EvacuationRevision: 17})
	assert.NilError(t, err)
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set(hopMetadataHeader, string(header))
	tr.deps.isLoaded = tr.isLoaded
	w := httptest.NewRecorder()
	(&hopServer{deps: tr.deps, admission: tr.admission, tracker: tr}).ServeHTTP(w, r)
	assert.Assert(t, tr.isBehind())
	assert.Equal(t, len(tr.fetchWake), 1)
	tr.store = listStore{objects: []platform.Object{evacuationObject("z", 17)}, version: "18"}
	tr.fetchEvacuations(t.Context(), 17)
	assert.Assert(t, !tr.isBehind())
	assert.Assert(t, !tr.deps.evacuations.Load().Admits("z"))
	w = httptest.NewRecorder()
	(&hopServer{deps: tr.deps, admission: tr.admission, tracker: tr}).ServeHTTP(w, r)
	assert.Equal(t, w.Header().Get(hopEvacuationHeader), "17")
}

// listStore is a store with one list.
type listStore struct {
	platform.Store
	objects []platform.Object
	version string
}

func (s listStore) List(context.Context, platform.Kind) ([]platform.Object, string, error) {
	return s.objects, s.version, nil
}

// A call that waits for a slot in an evacuated failure domain must be refused as not run, and
// one that runs must be finished. A call that got its slot before must not be sent.
func TestGateOfEvacuatedDomain(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{}, 2)
	releaseAll := sync.OnceFunc(func() { close(release) })
	defer releaseAll()
	g := newTestGate(t, mesh.Service{Name: "s"}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Sig", "1")
		began <- struct{}{}
		<-release
	})
	g.announce(1, 1, 0)
	type outcome struct {
		resp    *endpointResponse
		failure *verdict.Error
	}
	run := func() chan outcome {
		done := make(chan outcome, 1)
		go func() {
			resp, _, failure := g.la.run(t.Context(), g.call(5*time.Second))
			done <- outcome{resp, failure}
		}()
		return done
	}
	running := run()
	<-began
	waiting := run()
	waitFor(t, "a call waits", func() bool { return g.la.loadOf(g.la.admissions["e"], "").Waiting == 1 })
	g.tracker.apply(platform.KindEvacuation, put(evacuationObject("d", 11)))
	refused := <-waiting
	assert.Equal(t, refused.failure.Verdict, verdict.NotRun)
	assert.Equal(t, refused.failure.Code, verdict.Draining, "not at its deadline")
	_, _, failure := g.la.run(t.Context(), g.call(time.Second))
	assert.Equal(t, failure.Code, verdict.NoTarget)
	assert.Equal(t, failure.Verdict, verdict.NotRun)
	_, failure = g.la.recheck(g.la.admissions["e"], g.call(time.Second), time.Now())
	assert.Equal(t, failure.Code, verdict.NoTarget)
	releaseAll()
	finished := <-running
	assert.Assert(t, finished.failure == nil, "%v", finished.failure)
	assert.Equal(t, finished.resp.status, http.StatusOK)
	assert.NilError(t, finished.resp.body.Close())
	assert.Equal(t, len(began), 0)
}

// A request with home regions must never be sent elsewhere: not as the canary, not as a trial
// of a quarantined request. Other requests must still reach the share of the canary.
func TestRolloutsAndTrialsKeepToRegions(t *testing.T) {
	tr := newEvacuationTracker(t)
	now := time.Now()
	var instances []mesh.Instance
	for _, region := range []string{"r1", "r2"} {
		for _, version := range []string{"v1", "v2"} {
			instances = append(instances, mesh.Instance{
				Name: region + version, Address: "10.0.0.1:1", FailureDomain: "d" + region, Region: region,
				Endpoints: []mesh.Endpoint{{ID: region + version, Service: "s", Version: version, Slots: 4}},
			})
		}
	}
	table := placement.NewBuilder(placement.Locality{Instance: "x", FailureDomain: "dr1", Region: "r1"}).Build(now, instances)
	rt := tr.deps.rollouts
	rt.policies["s"] = trackedPolicy{isActive: true}
	p := rt.policies["s"]
	p.Version, p.Share = "v2", 0.1
	rt.policies["s"] = p
	order := placement.CanaryOrder{Evacuations: evacuation.None}
	canary := table.CanaryEndpoint("s", "v2", now, order)
	other := map[string]string{"r1": "r2", "r2": "r1"}[canary.Region]
	counts := make(map[string]int)
	for i := range 2000 {
		region := []string{canary.Region, other}[i%2]
		list := rt.candidates(table, "s", false, placement.Restriction{Regions: [][]string{{region}}, Evacuations: evacuation.None}, order)
		assert.Assert(t, len(list) > 0)
		for _, e := range list {
			assert.Equal(t, e.Region, region)
			counts[region+e.Version]++
		}
	}
	assert.Equal(t, counts[other+"v2"], 0, "not counted for the analysis, so not sent")
	assert.Assert(t, counts[canary.Region+"v2"] >= 95 && counts[canary.Region+"v2"] <= 105, "%v", counts)

	x := &request{entry: &EntryHandler{deps: tr.deps}, route: &mesh.Route{AllowedRegions: []string{"r1"}}, tenant: &mesh.Tenant{AllowedRegions: []string{"r1", "r2"}}}
	tr.deps.evacuations.Store(evacuation.None)
	assert.Equal(t, len(x.eligible(table.InstanceEndpoints("s", "r2v1"))), 0)
	assert.Equal(t, len(x.eligible(table.InstanceEndpoints("s", "r1v1"))), 1)
	x.tenant.AllowedRegions = []string{"r2"}
	assert.Equal(t, len(x.eligible(table.InstanceEndpoints("s", "r1v1"))), 0, "the intersection is empty")
}

// A request that may be sent nowhere must be refused at once as not run, with 503.
func TestRequestWithoutEligibleEndpoint(t *testing.T) {
	tr := newEvacuationTracker(t)
	loadAll(t, tr, 10, 1)
	tr.replaceView(platform.KindEvacuation, nil, 10)
	tr.refresh(platform.KindEvacuation)
	x := &request{
		entry: newEntry(tr.deps, tr.admission, tr.peers), r: httptest.NewRequest(http.MethodGet, "/x", nil), service: "s",
		route: &mesh.Route{AllowedRegions: []string{"r9"}}, started: time.Now(), deadline: time.Now().Add(time.Second), ctx: t.Context(),
	}
	_, failure := x.runAttempts()
	assert.Equal(t, failure.Code, verdict.NoTarget)
	assert.Equal(t, failure.Verdict, verdict.NotRun)
	assert.Equal(t, statusOf(failure), http.StatusServiceUnavailable)
	x.r = httptest.NewRequest(http.MethodPost, "/x", iotest.ErrReader(io.ErrUnexpectedEOF))
	x.route.WeightedServices = []mesh.WeightedService{{Service: "s", Weight: 1}}
	early := x.checkEligible()
	assert.Equal(t, early.Verdict, verdict.NotRun, "before the body is read")
	x.route.AllowedRegions = []string{"r"}
	assert.Assert(t, x.checkEligible() == nil)
	assert.Assert(t, failure.RetryAfter > 0 && strings.Contains(failure.Error(), "no endpoint"))
}
