package sidecar

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/upstream"
	"github.com/azurespring/azurespring/pkg/platform"
)

// configurationObject returns a stored configuration of the given version.
func configurationObject(t *testing.T, version uint64, revision int) platform.Object {
	t.Helper()
	value, err := json.Marshal(mesh.Configuration{Version: version})
	assert.NilError(t, err)
	return platform.Object{Kind: platform.KindConfiguration, Name: "main", ResourceVersion: fmt.Sprint(revision), Value: value}
}

// newFollower returns a tracker with everything that following needs.
func newFollower(t *testing.T) *tracker {
	t.Helper()
	follower, logText := newTestTracker(t)
	t.Cleanup(func() { logText() })
	follower.deps.uplink = newUplink(time.Now, 0)
	follower.peers = newHopClient(follower.deps)
	return follower
}

// loadAll gives a tracker a view of all kinds as of a version.
func loadAll(t *testing.T, tr *tracker, asOf uint64, configVersion uint64) {
	t.Helper()
	tr.replaceView(platform.KindConfiguration, []platform.Object{configurationObject(t, configVersion, int(asOf))}, asOf)
	tr.replaceView(platform.KindRollout, nil, asOf)
	tr.replaceView(platform.KindMeshState, []platform.Object{entryOf(t, "a", 2), entryOf(t, "b", 3)}, asOf)
	for _, kind := range trackedKinds {
		tr.refresh(kind)
	}
}

// peerServer serves the followers of a tracker.
func peerServer(t *testing.T, tr *tracker) string {
	t.Helper()
	server := httptest.NewServer(&hopServer{deps: tr.deps, admission: tr.admission, tracker: tr})
	t.Cleanup(func() {
		tr.deps.isInboundClosed.Store(true)
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// A follower must get everything once and then only what has changed, removals included,
// and must pass it on to its own followers.
func TestFollowersGetChangesOverTwoHops(t *testing.T) {
	reader, middle, last := newFollower(t), newFollower(t), newFollower(t)
	loadAll(t, reader, 10, 1)
	addresses := []string{peerServer(t, reader), peerServer(t, middle)}
	for i, follower := range []*tracker{middle, last} {
		go func() {
			_ = follower.peers.follow(t.Context(), addresses[i], followRequest{Since: follower.versions()}, func(f followFrame) error { return follower.applyChanges(f.changes) })
		}()
	}
	waitFor(t, "all is known", last.isLoaded)
	assert.DeepEqual(t, knownEndpoints(last), map[string]bool{"e-a": true, "e-b": true})

	reader.apply(platform.KindMeshState, platform.Event{Type: platform.EventDeleted, Object: entryOf(t, "b", 3), AsOf: "12", MoreFollow: true})
	reader.apply(platform.KindMeshState, platform.Event{Type: platform.EventPut, Object: entryOf(t, "c", 12), AsOf: "12"})
	reader.apply(platform.KindConfiguration, platform.Event{Type: platform.EventPut, Object: configurationObject(t, 2, 13), AsOf: "13"})
	waitFor(t, "the changes are known", func() bool { return last.deps.configVersion() == 2 && knownEndpoints(last)["e-c"] })
	assert.DeepEqual(t, knownEndpoints(last), map[string]bool{"e-a": true, "e-c": true})

	changes, versions := last.changesSince(map[platform.Kind]uint64{platform.KindConfiguration: 10, platform.KindRollout: 10, platform.KindMeshState: 10})
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, versions[platform.KindMeshState], uint64(12))
	for _, c := range changes {
		assert.Assert(t, !c.IsFull && len(c.Objects) == 1, "%v", c)
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), what)
	}
}

// Changes that are older than what a node has shown must change nothing, whether they are
// complete or not: a configuration would go back, and an endpoint that has left would be
// in use again.
func TestOlderChangesAreIgnored(t *testing.T) {
	older, newer := newFollower(t), newFollower(t)
	loadAll(t, older, 10, 1)
	loadAll(t, newer, 10, 1)
	newer.apply(platform.KindMeshState, platform.Event{Type: platform.EventDeleted, Object: entryOf(t, "b", 3), AsOf: "20"})
	newer.apply(platform.KindConfiguration, platform.Event{Type: platform.EventPut, Object: configurationObject(t, 5, 20), AsOf: "20"})
	older.apply(platform.KindConfiguration, platform.Event{Type: platform.EventPut, Object: configurationObject(t, 3, 15), AsOf: "15"})
	older.apply(platform.KindMeshState, platform.Event{Type: platform.EventPut, Object: entryOf(t, "b", 15), AsOf: "15"})
	for _, since := range []uint64{0, 10} {
		changes, _ := older.changesSince(map[platform.Kind]uint64{platform.KindConfiguration: since, platform.KindRollout: since, platform.KindMeshState: since})
		assert.Assert(t, len(changes) > 0)
		assert.NilError(t, newer.applyChanges(changes))
		assert.Equal(t, newer.deps.configVersion(), uint64(5))
		assert.DeepEqual(t, knownEndpoints(newer), map[string]bool{"e-a": true})
	}
}

// A follower that missed more removals than are remembered must get the complete list.
func TestForgottenRemovalsLeadToCompleteList(t *testing.T) {
	reader, follower := newFollower(t), newFollower(t)
	loadAll(t, reader, 10, 1)
	loadAll(t, follower, 10, 1)
	for i := range maxRemovals + 10 {
		asOf := fmt.Sprint(11 + i)
		reader.apply(platform.KindMeshState, platform.Event{Type: platform.EventDeleted, Object: stateObject(fmt.Sprint(instancePrefix, "x", i), 1, ""), AsOf: asOf})
	}
	reader.apply(platform.KindMeshState, platform.Event{Type: platform.EventDeleted, Object: entryOf(t, "b", 3), AsOf: "1000"})
	changes, _ := reader.changesSince(follower.versions())
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].IsFull)
	assert.NilError(t, follower.applyChanges(changes))
	assert.DeepEqual(t, knownEndpoints(follower), map[string]bool{"e-a": true})
}

// A peer that sends something unusable, too much, or nothing must be left within the
// timeout, and must not change the view.
func TestUnusablePeersAreLeft(t *testing.T) {
	payload, err := encodeChanges([]kindChanges{{Kind: "other", AsOf: 99, IsFull: true}})
	assert.NilError(t, err)
	good := appendFrame(nil, nil, false)
	for _, c := range []struct {
		name  string
		serve func(w http.ResponseWriter)
	}{
		{"wrong checksum", func(w http.ResponseWriter) {
			frame := appendFrame(nil, payload, false)
			frame[5]++
			_, _ = w.Write(frame)
		}},
		{"unknown kind", func(w http.ResponseWriter) { _, _ = w.Write(appendFrame(nil, payload, false)) }},
		{"not compressed", func(w http.ResponseWriter) { _, _ = w.Write(appendFrame(nil, []byte(`{"kind":1}`), false)) }},
		{"cut", func(w http.ResponseWriter) { _, _ = w.Write(appendFrame(nil, payload, false)[:frameHeaderBytes+3]) }},
		{"too large", func(w http.ResponseWriter) {
			_, _ = w.Write(binary.BigEndian.AppendUint32(nil, maxStateBytes+1))
			_, _ = w.Write(bytes.Repeat([]byte{0}, 1<<20))
		}},
		{"decompresses to too much", func(w http.ResponseWriter) {
			_, _ = w.Write(appendFrame(nil, binary.AppendUvarint(nil, maxStateBytes+1), false))
		}},
		{"no follower accepted", func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }},
		{"silent", func(w http.ResponseWriter) {
			_, _ = w.Write(good)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * followTimeout)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			follower := newFollower(t)
			loadAll(t, follower, 10, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.serve(w) }))
			defer server.Close()
			started := time.Now()
			err := follower.peers.follow(t.Context(), strings.TrimPrefix(server.URL, "http://"), followRequest{Since: follower.versions()},
				func(f followFrame) error { return follower.applyChanges(f.changes) })
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(started) < testTimeout)
			assert.DeepEqual(t, knownEndpoints(follower), map[string]bool{"e-a": true, "e-b": true})
		})
	}
}

// The address of a node that is gone may be used again. A node that is asked under the name
// of its predecessor must be left, or nodes could follow each other in a circle.
func TestOtherNodeAtThePeersAddressIsLeft(t *testing.T) {
	other, follower := newFollower(t), newFollower(t)
	loadAll(t, other, 10, 1)
	address := peerServer(t, other)
	peer := upstream.Peer{Name: "predecessor", Address: address}
	loadAll(t, follower, 5, 1)
	assert.ErrorIs(t, follower.followPeer(t.Context(), peer), errOtherPeer)
	assert.ErrorContains(t, follower.pull(t.Context(), peer), errOtherPeer.Error())
	assert.Equal(t, follower.versions()[platform.KindConfiguration], uint64(5))

	assert.NilError(t, follower.pull(t.Context(), upstream.Peer{Name: other.deps.settings.Instance, Address: address}))
	assert.Equal(t, follower.versions()[platform.KindConfiguration], uint64(10))
}

// A reader that cannot read the store must tell its followers, and a follower must tell
// its own, so that another node reads the store for them.
func TestLossOfTheStoreIsPassedOn(t *testing.T) {
	reader := newFollower(t)
	loadAll(t, reader, 10, 1)
	now := time.Now()
	reader.deps.now = func() time.Time { return now }
	assert.Assert(t, reader.recordStoreLost(platform.KindMeshState))
	assert.Assert(t, !reader.isStale(), "a moment is tolerated")
	now = now.Add(2 * storeLostTolerance)
	assert.Assert(t, reader.isStale())
	frame, err := readFrame(bytes.NewReader(appendFrame(nil, nil, reader.isStale())))
	assert.NilError(t, err)
	assert.Assert(t, frame.isStale)
	follower := newFollower(t)
	follower.setSourceStale(frame.isStale)
	assert.Assert(t, follower.isStale())
	assert.Assert(t, reader.recordStoreReached(platform.KindMeshState))
	assert.Assert(t, !reader.isStale())
}

// downStore is a store that cannot be reached.
type downStore struct{ platform.Store }

func (downStore) List(context.Context, platform.Kind) ([]platform.Object, string, error) {
	return nil, "", platform.ErrConnectFailed
}

func (downStore) Watch(context.Context, platform.Kind, string, func(platform.Event) error) error {
	return platform.ErrConnectFailed
}

// A reader with a view must notice that its watches fail. It goes on from the view without
// a call of the store, which must not count as reaching it.
func TestReaderNoticesThatTheStoreIsLost(t *testing.T) {
	reader := newFollower(t)
	reader.store = downStore{}
	loadAll(t, reader, 10, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		reader.followKind(ctx, platform.KindConfiguration)
	}()
	waitFor(t, "the reader reports that it has lost the store", reader.isStale)
	cancel()
	<-done
}
