package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// termStore is a store for the terms of granters. Without objects, all calls fail.
type termStore struct {
	platform.Store
	mu      sync.Mutex
	objects map[string]platform.Object
	version int
}

func (s *termStore) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		return platform.Object{}, errors.New("the store is away")
	}
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (s *termStore) Create(ctx context.Context, kind platform.Kind, name string, value []byte) (platform.Object, error) {
	return s.Update(ctx, platform.Object{Kind: kind, Name: name, Value: value})
}

func (s *termStore) Update(_ context.Context, o platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.Name].ResourceVersion != o.ResourceVersion {
		return platform.Object{}, platform.ErrConflict
	}
	s.version++
	o.ResourceVersion = strconv.Itoa(s.version)
	s.objects[o.Name] = o
	return o, nil
}

// newQuotaEntry returns the entry of a node with the given tenant, whose quota is run.
func newQuotaEntry(t *testing.T, store platform.Store, tenant mesh.Tenant) *EntryHandler {
	t.Helper()
	tracker, logText := newTestTracker(t)
	t.Cleanup(func() { logText() })
	tracker.store = store
	tracker.deps.uplink = newUplink(time.Now, 0)
	entry, err := mesh.Instance{Name: "n", Address: "10.0.0.9:1", FailureDomain: "d", Region: "r"}.Encode()
	assert.NilError(t, err)
	tracker.replace(platform.KindMeshState, []platform.Object{stateObject(instancePrefix+"n", 1, string(entry))})
	snapshot, err := mesh.Compile(mesh.Configuration{Version: 1, Tenants: []mesh.Tenant{tenant}})
	assert.NilError(t, err)
	tracker.deps.snapshot.Store(snapshot)
	return runQuota(t, tracker)
}

// runQuota runs the quota of a node and returns its entry.
func runQuota(t *testing.T, tracker *tracker) *EntryHandler {
	t.Helper()
	hops := newHopClient(tracker.deps)
	tracker.deps.quota = newQuota(tracker.deps, tracker, hops)
	go tracker.deps.quota.Run(t.Context())
	return newEntry(tracker.deps, tracker.admission, hops)
}

// Nodes must share a quota over the port between nodes: the demand of a single node must
// be served although it is above its part, and the sum must obey the rule.
func TestNodesShareAQuotaOverTheirPort(t *testing.T) {
	const count, window = 4, 5 * time.Second
	tenant := &mesh.Tenant{Name: "w", RatePerSecond: 100, Burst: 20}
	snapshot, err := mesh.Compile(mesh.Configuration{Version: 1, Tenants: []mesh.Tenant{*tenant}})
	assert.NilError(t, err)
	store := &termStore{objects: make(map[string]platform.Object)}
	var trackers []*tracker
	var entries []*EntryHandler
	var objects []platform.Object
	for i := range count {
		tracker := newFollower(t)
		tracker.store = store
		tracker.deps.settings.Instance = "n" + strconv.Itoa(i)
		tracker.deps.settings.QuotaWindow, tracker.deps.settings.QuotaOverage, tracker.deps.settings.QuotaSlack = window, 0.1, 20
		tracker.deps.snapshot.Store(snapshot)
		entries = append(entries, runQuota(t, tracker))
		trackers = append(trackers, tracker)
		entry, err := mesh.Instance{
			Name: tracker.deps.settings.Instance, Address: peerServer(t, tracker), FailureDomain: "d", Region: "r",
		}.Encode()
		assert.NilError(t, err)
		objects = append(objects, stateObject(instancePrefix+tracker.deps.settings.Instance, i+1, string(entry)))
	}
	for _, tracker := range trackers {
		tracker.replace(platform.KindMeshState, objects)
	}
	var admitted, offered atomic.Int64
	var running sync.WaitGroup
	send := func(entry *EntryHandler, perSecond int, d time.Duration) {
		running.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for begin := time.Now(); time.Since(begin) < d; <-ticker.C {
				offered.Add(1)
				running.Go(func() {
					if newQuotaRequest(entry, tenant).takeQuota() == nil {
						admitted.Add(1)
					}
				})
			}
		})
	}
	send(entries[0], 80, 2*time.Second)
	running.Wait()
	assert.Assert(t, admitted.Load() >= offered.Load()*8/10, "%d of %d requests below the limit were admitted", admitted.Load(), offered.Load())
	for _, entry := range entries {
		send(entry, 100, 2500*time.Millisecond)
	}
	running.Wait()
	// The whole test is within one window.
	limit := (tenant.RatePerSecond*window.Seconds()+tenant.Burst)*1.1 + 20
	t.Logf("admitted %d of %d, %.0f allowed in a window", admitted.Load(), offered.Load(), limit)
	assert.Assert(t, float64(admitted.Load()) <= limit)
	for _, tracker := range trackers {
		ctx, cancel := context.WithTimeout(t.Context(), quotaStopTimeout)
		tracker.deps.quota.Stop(ctx)
		cancel()
	}
}

// newQuotaRequest returns a request of a tenant that has a second left.
func newQuotaRequest(entry *EntryHandler, tenant *mesh.Tenant) *request {
	now := time.Now()
	return &request{
		entry: entry, w: httptest.NewRecorder(), r: httptest.NewRequest("GET", "/", nil), tenant: tenant,
		started: now, deadline: now.Add(time.Second), ctx: context.Background(),
	}
}

// A request beyond the quota must get 429 with a Retry-After and the verdict not run, and
// requests without a tenant or a limit must not be counted.
func TestRequestBeyondTheQuotaGets429(t *testing.T) {
	tenant := &mesh.Tenant{Name: "w", RatePerSecond: 1, Burst: 2}
	entry := newQuotaEntry(t, &termStore{objects: make(map[string]platform.Object)}, *tenant)
	admitted := 0
	var failure *verdict.Error
	var refused *request
	for range 100 {
		refused = newQuotaRequest(entry, tenant)
		if failure = refused.takeQuota(); failure != nil {
			break
		}
		admitted++
	}
	assert.Assert(t, admitted >= 2 && admitted <= 28, "%d requests were admitted", admitted)
	assert.Equal(t, failure.Verdict, verdict.NotRun)
	refused.sendProblem(failure)
	response := refused.w.(*httptest.ResponseRecorder).Result()
	assert.Equal(t, response.StatusCode, 429)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0 && seconds <= 1.5, "Retry-After %v", seconds)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var p problem
	assert.NilError(t, json.Unmarshal(body, &p))
	assert.Equal(t, p.Verdict, "not-run")
	for range 50 {
		assert.Assert(t, newQuotaRequest(entry, nil).takeQuota() == nil)
		assert.Assert(t, newQuotaRequest(entry, &mesh.Tenant{Name: "free"}).takeQuota() == nil)
	}
}

// Without a granter, a request must be refused after the wait for a grant, and not hang.
func TestRequestIsRefusedWithoutAGranter(t *testing.T) {
	tenant := &mesh.Tenant{Name: "w", RatePerSecond: 100, Burst: 10}
	entry := newQuotaEntry(t, &termStore{}, *tenant)
	begin := time.Now()
	failure := newQuotaRequest(entry, tenant).takeQuota()
	assert.Assert(t, failure != nil && failure.Code == verdict.QuotaExceeded)
	assert.Assert(t, time.Since(begin) < 2*time.Second, "it waited for %v", time.Since(begin))
}

// The terms of granters change each second: nodes must not read them with the kinds that
// they follow, or each renewal would wake all watches and followers.
func TestTermsOfQuotasAreNotTracked(t *testing.T) {
	for _, settings := range []Settings{{}, {EvacuationTimeout: time.Second}} {
		assert.Assert(t, !slices.Contains(kindsOf(settings), platform.KindQuotaTerm))
	}
	tracker, _ := newTestTracker(t)
	err := tracker.applyChanges([]kindChanges{{Kind: platform.KindQuotaTerm, AsOf: 5, IsFull: true}})
	assert.ErrorContains(t, err, "changes of kind")
}
