package sidecar

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/quotasync"
)

// inEra returns o as it is read in an era of the store.
func inEra(era uint64, o platform.Object) platform.Object {
	o.ResourceVersion = strconv.FormatUint(platform.JoinVersion(era, parseRevision(o.ResourceVersion)), 10)
	return o
}

// list applies a list that was read in an era up to a revision.
func (t *tracker) list(kind platform.Kind, era, revision uint64, objects ...platform.Object) {
	t.replaceView(kind, objects, platform.JoinVersion(era, revision))
	t.refresh(kind)
}

// Endpoints must stay known after the store was restored from a copy without their
// entries, so that requests go on, until their nodes had time to store them again. What
// the copy says instead must not be used before.
func TestEntriesThatTheStoreLostAreUsedForSomeTime(t *testing.T) {
	tracker, logText := newTestTracker(t)
	now := time.Now()
	tracker.deps.now = func() time.Time { return now }
	stale := stateObject(instancePrefix+"b", 3, `{"name":"b","address":"10.0.0.1:80","failureDomain":"d","region":"r","endpoints":[{"id":"old","service":"s","version":"v","slots":4}]}`)
	tracker.list(platform.KindMeshState, 1, 10, inEra(1, entryOf(t, "a", 7)), inEra(1, entryOf(t, "b", 8)), inEra(1, entryOf(t, "c", 2)))
	tracker.list(platform.KindMeshState, 2, 5, inEra(2, stale), inEra(2, entryOf(t, "c", 2)))
	assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"e-a": true, "e-b": true, "e-c": true})

	// Its node stores the entry again, with a revision below that of before.
	again, err := mesh.Instance{Name: "a", Address: "10.0.0.1:80", FailureDomain: "d", Region: "r", Era: 2}.Encode()
	assert.NilError(t, err)
	tracker.applyPut(inEra(2, stateObject(instancePrefix+"a", 6, string(again))))
	assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"e-b": true, "e-c": true})
	now = now.Add(lostWritePeriod)
	_, expired := tracker.takeExpiredLostWrites()
	assert.Assert(t, expired)
	tracker.refresh(platform.KindMeshState)
	assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"old": true, "e-c": true})
	assert.Assert(t, len(logText()) > 0)
}

// The active configuration must not go back, and other nodes must get the newer one from
// here, until the operator has written it again.
func TestConfigurationOutlivesRestoredStore(t *testing.T) {
	tracker, _ := newTestTracker(t)
	configuration := func(version string, revision int) platform.Object {
		return platform.Object{
			Kind: platform.KindConfiguration, Name: "main", ResourceVersion: strconv.Itoa(revision), Value: []byte(`{"Version":` + version + `}`),
		}
	}
	tracker.list(platform.KindConfiguration, 1, 10, inEra(1, configuration("7", 9)))
	tracker.list(platform.KindConfiguration, 2, 5, inEra(2, configuration("6", 4)))
	assert.Equal(t, tracker.deps.configVersion(), uint64(7))
	changes, _ := tracker.changesSince(map[platform.Kind]uint64{platform.KindConfiguration: platform.JoinVersion(1, 8)})
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].IsFull)
	assert.Equal(t, string(changes[0].Objects[0].Value), `{"Version":7}`)
	tracker.applyPut(inEra(2, configuration("8", 6)))
	assert.Equal(t, tracker.deps.configVersion(), uint64(8))
}

// The version in use must not go back with the store, and must count as not stored so that
// it is stored again.
func TestVersionInUseOutlivesRestoredStore(t *testing.T) {
	for _, listed := range [][]platform.Object{nil, {inEra(2, stateObject(inUsePrefix+"s", 3, `{"service":"s","version":"v1"}`))}} {
		tracker, _ := newTestTracker(t)
		tracker.list(platform.KindMeshState, 1, 10, inEra(1, stateObject(inUsePrefix+"s", 9, `{"service":"s","version":"v2","era":1}`)))
		assert.Assert(t, tracker.isInUseStored("s"))
		tracker.list(platform.KindMeshState, 2, 5, listed...)
		assert.Equal(t, tracker.deps.rollouts.versionInUse("s"), "v2")
		assert.Assert(t, !tracker.isInUseStored("s"))
		tracker.applyPut(inEra(2, stateObject(inUsePrefix+"s", 6, `{"service":"s","version":"v2","era":2}`)))
		assert.Assert(t, tracker.isInUseStored("s"))
	}
}

// This node's own entry must be compared with what the store has, and stored again.
func TestOwnEntryIsStoredAgainAfterRestore(t *testing.T) {
	tracker, _ := newTestTracker(t)
	tracker.admission.restore(mesh.Instance{}, false)
	tracker.list(platform.KindMeshState, 1, 10, inEra(1, entryOf(t, "n", 9)))
	for len(tracker.publishWake) > 0 {
		<-tracker.publishWake
	}
	tracker.list(platform.KindMeshState, 2, 5)
	assert.Equal(t, len(tracker.publishWake), 1, "the lost entry is not published")
}

// An evacuation must stay in force after the store was restored from a copy without it: the
// operator needs some time to write it again, and nodes to hear of it. One that is not
// written again must end.
func TestEvacuationOutlivesRestoredStore(t *testing.T) {
	tracker := newEvacuationTracker(t)
	now := time.Now()
	tracker.deps.now = func() time.Time { return now }
	domains := func() []string { return tracker.deps.evacuations.Load().Domains() }
	expire := func() (next time.Time) {
		next, expired := tracker.takeExpiredEvacuations()
		if expired {
			tracker.refresh(platform.KindEvacuation)
		}
		return next
	}
	tracker.list(platform.KindEvacuation, 1, 10, inEra(1, evacuationObject("x", 3)), inEra(1, evacuationObject("y", 8)), inEra(1, evacuationObject("z", 9)))
	tracker.list(platform.KindEvacuation, 2, 5, inEra(2, evacuationObject("x", 3)))
	assert.DeepEqual(t, domains(), []string{"x", "y", "z"})
	tracker.list(platform.KindEvacuation, 2, 6, inEra(2, evacuationObject("x", 3)))
	assert.DeepEqual(t, domains(), []string{"x", "y", "z"}) // A list that is read again changes nothing.

	// y is written again, and x ended as usual.
	tracker.apply(platform.KindEvacuation, put(inEra(2, evacuationObject("y", 7))))
	tracker.apply(platform.KindEvacuation, platform.Event{
		Type: platform.EventDeleted, Object: inEra(2, evacuationObject("x", 3)), AsOf: inEra(2, evacuationObject("x", 8)).ResourceVersion,
	})
	assert.DeepEqual(t, domains(), []string{"y", "z"})

	// A second restore gives the operator as much time again.
	now = now.Add(lostWritePeriod)
	tracker.list(platform.KindEvacuation, 3, 6)
	hold := lostWritePeriod + tracker.deps.settings.EvacuationTimeout
	assert.Assert(t, expire().Equal(now.Add(hold)))
	assert.DeepEqual(t, domains(), []string{"y", "z"})
	tracker.apply(platform.KindEvacuation, put(inEra(3, evacuationObject("y", 7))))
	now = now.Add(hold)
	assert.Assert(t, expire().IsZero())
	assert.DeepEqual(t, domains(), []string{"y"})
}

// A node that started while the store was away knows the objects from other nodes. What the
// store has lost when it is back must outlive that as well.
func TestTransferredStateOutlivesRestoredStore(t *testing.T) {
	tracker := newEvacuationTracker(t)
	tracker.replaceView(platform.KindEvacuation, []platform.Object{inEra(1, evacuationObject("z", 9))}, 0)
	tracker.refresh(platform.KindEvacuation)
	tracker.list(platform.KindEvacuation, 2, 5)
	assert.DeepEqual(t, tracker.deps.evacuations.Load().Domains(), []string{"z"})

	tracker.replaceView(platform.KindMeshState, []platform.Object{inEra(1, entryOf(t, "a", 7))}, 0)
	tracker.refresh(platform.KindMeshState)
	tracker.list(platform.KindMeshState, 2, 5)
	assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"e-a": true})
}

// A store may count its eras from 0: the first restore must be noticed as well.
func TestRestoreAfterEraZeroIsNoticed(t *testing.T) {
	tracker := newEvacuationTracker(t)
	tracker.list(platform.KindEvacuation, 0, 10, evacuationObject("z", 9))
	tracker.list(platform.KindEvacuation, 1, 5)
	assert.DeepEqual(t, tracker.deps.evacuations.Load().Domains(), []string{"z"})

	stale := stateObject(instancePrefix+"b", 3, `{"name":"b","address":"10.0.0.1:80","failureDomain":"d","region":"r"}`)
	tracker.list(platform.KindMeshState, 0, 10, entryOf(t, "a", 7), entryOf(t, "b", 8))
	tracker.list(platform.KindMeshState, 1, 5, inEra(1, stale))
	assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"e-a": true, "e-b": true})
}

// The entries that the store has lost must not be used for longer because evacuations are
// kept for longer.
func TestLostEntriesExpireBeforeLostEvacuations(t *testing.T) {
	tracker := newEvacuationTracker(t)
	var offset atomic.Int64
	tracker.deps.now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	tracker.list(platform.KindEvacuation, 1, 10, inEra(1, evacuationObject("z", 9)))
	tracker.list(platform.KindMeshState, 1, 10, inEra(1, entryOf(t, "a", 7)))
	go tracker.expireLostWrites(t.Context())
	tracker.list(platform.KindEvacuation, 2, 5)
	waitFor(t, "the evacuation is waited for", func() bool { return len(tracker.lostWritesWake) == 0 })
	time.Sleep(50 * time.Millisecond)
	offset.Store(int64(100*time.Millisecond - lostWritePeriod))
	tracker.list(platform.KindMeshState, 2, 5)
	offset.Store(0)
	waitFor(t, "the entry is forgotten", func() bool { return len(knownEndpoints(tracker)) == 0 })
	assert.DeepEqual(t, tracker.deps.evacuations.Load().Domains(), []string{"z"})
}

// Quotas must begin with their burst when a fleet starts for the first time on a store that tells
// an era, and without after any other start: terms may have been lost shortly before.
func TestEraIsTrustedOnlyAtFirstStart(t *testing.T) {
	for _, isFirstStart := range []bool{true, false} {
		tracker, _ := newTestTracker(t)
		tracker.deps.settings.IsFirstStart = isFirstStart
		for era := uint64(1); era <= 2; era++ {
			before := quotasync.BootClock()
			tracker.list(platform.KindMeshState, era, 10)
			since, known := tracker.storeEraSince()
			assert.Equal(t, known, era)
			assert.Equal(t, since < before, isFirstStart && era == 1)
		}
	}
}

// An endpoint of an entry that may not be the latest must show that it runs before it gets
// requests: a single late announcement may be from one that has ended. A later process must not
// wait.
func TestEndpointOfOutdatedEntryAnnouncesItselfFirst(t *testing.T) {
	tracker, logText := newTestTracker(t)
	defer logText()
	now := time.Now()
	tracker.deps.now = func() time.Time { return now }
	la := tracker.admission
	la.startedUnixMs = now.UnixMilli()
	startUnixMs := now.UnixMilli() - 60_000
	la.restore(mesh.Instance{Endpoints: []mesh.Endpoint{{ID: "e", Service: "s", Version: "v", Slots: 4, Address: "10.0.0.9:8305", StartUnixMs: startUnixMs}}}, true)
	published := func() int {
		endpoints, _ := la.endpointsToPublish()
		return len(endpoints)
	}
	announce := func(id string, startUnixMs, sequence int64) {
		la.Announce(mesh.Announcement{
			ID: id, Service: "s", Version: "v", Address: "10.0.0.9:8305", Slots: 4, State: mesh.EndpointReady,
			StartUnixMs: startUnixMs, Sequence: sequence,
		})
	}
	assert.Equal(t, published(), 0)
	for i := range requiredAnnouncements {
		assert.Equal(t, published(), 0, "after %d announcements", i)
		announce("e", startUnixMs, int64(10+i))
		now = now.Add(tracker.deps.settings.HeartbeatInterval)
	}
	assert.Equal(t, published(), 1)
	assert.Equal(t, len(la.admissions), 1)

	// The process that takes its address over has started since.
	announce("later", now.UnixMilli(), 1)
	assert.Equal(t, published(), 1)
	assert.Assert(t, la.admissions["later"] != nil)
}
