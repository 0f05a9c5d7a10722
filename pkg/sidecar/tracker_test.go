package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/platform"
)

// testCodec decodes documents that have the fields of the decoded types.
type testCodec struct{}

func (testCodec) ConfigurationName() string { return "main" }

func (testCodec) DecodeConfiguration(value []byte) (c mesh.Configuration, err error) {
	return c, json.Unmarshal(value, &c)
}

func (testCodec) DecodeRollout(value []byte) (r mesh.Rollout, err error) {
	return r, json.Unmarshal(value, &r)
}

func (testCodec) EncodeRolloutState(string, mesh.RolloutState) ([]byte, error) {
	return nil, eris.New("not used")
}

// newTestTracker returns the tracker of node n and a function that ends its log and
// returns it.
func newTestTracker(t *testing.T) (*tracker, func() string) {
	t.Helper()
	var output bytes.Buffer
	log := newEventLog(&output, testOrigin, func() uint64 { return 1 })
	deps := &shared{
		settings: Settings{Instance: "n", InboundAddress: "10.0.0.9:1", FailureDomain: "d", Region: "r", HeartbeatInterval: time.Second},
		now:      time.Now, log: log, metrics: &metrics{scope: tally.NoopScope},
	}
	deps.rollouts = newRolloutTracker(deps.now, log, func() {})
	admission := newLocalAdmission(deps)
	tracker := newTracker(deps, nil, testCodec{}, admission)
	deps.onEndpointsChanged = tracker.endpointsChanged
	return tracker, func() string {
		log.close(testTimeout)
		return output.String()
	}
}

// entryOf returns the stored entry of an instance with one endpoint of service s.
func entryOf(t *testing.T, instance string, revision int) platform.Object {
	t.Helper()
	value, err := mesh.Instance{
		Name: instance, Address: "10.0.0.1:80", FailureDomain: "d", Region: "r",
		Endpoints: []mesh.Endpoint{{ID: "e-" + instance, Service: "s", Version: "v", Slots: 4, Address: "10.0.0.1:81"}},
	}.Encode()
	assert.NilError(t, err)
	return stateObject(instancePrefix+instance, revision, string(value))
}

func stateObject(name string, revision int, value string) platform.Object {
	return platform.Object{Kind: platform.KindMeshState, Name: name, ResourceVersion: fmt.Sprint(revision), Value: []byte(value)}
}

// replace applies the complete list of a kind that was read from the store.
func (t *tracker) replace(kind platform.Kind, objects []platform.Object) {
	t.replaceView(kind, objects, 0)
	t.refresh(kind)
}

func (t *tracker) applyPut(o platform.Object) {
	t.apply(o.Kind, platform.Event{Type: platform.EventPut, Object: o})
}

// knownEndpoints returns the IDs of the endpoints in the table.
func knownEndpoints(t *tracker) map[string]bool {
	ids := make(map[string]bool)
	for _, endpoints := range t.deps.table.Load().EndpointsByVersion("s") {
		for _, e := range endpoints {
			ids[e.ID] = true
		}
	}
	return ids
}

// An entry that cannot be decoded must leave the last good one in place, also when the
// kind is listed again, until the object is deleted. It must be logged once.
func TestUndecodableEntryKeepsLastGoodOne(t *testing.T) {
	for _, value := range []string{`{`, `5`, strings.Repeat("[", 20_000), `{"name":"a","address":"10.0.0.1:80","endpoints":[{"slots":1e99}]}`} {
		tracker, logText := newTestTracker(t)
		unusable := stateObject("instance-a", 7, value)
		tracker.replace(platform.KindMeshState, []platform.Object{entryOf(t, "a", 2), entryOf(t, "b", 3)})
		tracker.applyPut(unusable)
		assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"e-a": true, "e-b": true})
		for range 3 {
			tracker.replace(platform.KindMeshState, []platform.Object{unusable, entryOf(t, "b", 3)})
			assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"e-a": true, "e-b": true})
		}
		tracker.apply(platform.KindMeshState, platform.Event{Type: platform.EventDeleted, Object: unusable})
		assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"e-b": true})
		tracker.applyPut(entryOf(t, "a", 9))
		tracker.replace(platform.KindMeshState, []platform.Object{entryOf(t, "a", 9)})
		assert.DeepEqual(t, knownEndpoints(tracker), map[string]bool{"e-a": true})
		assert.Equal(t, strings.Count(logText(), `"event":"object_refused"`), 1)
	}
}

// An entry of another writer must not add endpoints under another instance's name, nor
// crowd out the endpoints of other entries.
func TestEntryOfOtherWriterTakesNoEndpointAway(t *testing.T) {
	endpoints := func(ids ...string) string {
		var list []string
		for _, id := range ids {
			list = append(list, fmt.Sprintf(`{"id":%q,"service":"s","version":"v","slots":1}`, id))
		}
		return strings.Join(list, ",")
	}
	var many []string
	for i := range 2000 {
		many = append(many, fmt.Sprint("x", i))
	}
	for _, c := range []struct {
		value string
		want  map[string]bool
	}{
		{`{"name":"a","address":"10.0.0.7:1","failureDomain":"d","endpoints":[` + endpoints("e-x") + `]}`, map[string]bool{"e-a": true}},
		{`{"name":"n","address":"10.0.0.7:1","failureDomain":"d","endpoints":[` + endpoints("e-x") + `]}`, map[string]bool{"e-a": true}},
		{`{"name":"x","address":"10.0.0.7:99999","failureDomain":"d","endpoints":[` + endpoints("e-x") + `]}`, map[string]bool{"e-a": true}},
		{`{"name":"x","address":"10.0.0.7:1","failureDomain":"d","endpoints":[` + endpoints(many...) + `]}`, map[string]bool{"e-a": true}},
		{`{"name":"x","address":"10.0.0.7:1","failureDomain":"unknown","endpoints":[` + endpoints("e-a", "e-x") + `]}`, map[string]bool{"e-a": true, "e-x": true}},
	} {
		tracker, logText := newTestTracker(t)
		tracker.replace(platform.KindMeshState, []platform.Object{entryOf(t, "a", 2), stateObject("instance-x", 3, c.value)})
		assert.DeepEqual(t, knownEndpoints(tracker), c.want)
		nodes := make(map[string]bool)
		for _, e := range tracker.deps.table.Load().EndpointsByVersion("s")["v"] {
			nodes[e.ID+" at "+e.NodeAddress] = true
		}
		assert.Assert(t, nodes["e-a at 10.0.0.1:80"], "%v", nodes)
		logText()
	}
}

// An announcement of an address on another instance must name no endpoint.
func TestAnnouncementOfOtherInstanceIsRefused(t *testing.T) {
	tracker, logText := newTestTracker(t)
	defer logText()
	assert.NilError(t, tracker.admission.Check(mesh.Announcement{Address: "10.0.0.7:1"}), "the settings name no address")
	tracker.deps.settings.EndpointAddress = "10.0.0.9:8301"
	assert.NilError(t, tracker.admission.Check(mesh.Announcement{Address: "10.0.0.9:8305"}))
	for _, address := range []string{"10.0.0.7:8301", "10.0.0.9", "", "[::1]:8301"} {
		assert.Assert(t, tracker.admission.Check(mesh.Announcement{Address: address}) != nil, address)
	}
}

// One object that another writer stored must not keep a node that cannot read the store
// from the objects of other nodes.
func TestStateTransferHoldsDespiteUnusableObjects(t *testing.T) {
	deep := strings.Repeat("[", 20_000)
	// encoding/json accepts this value alone but not inside of another document.
	almostTooDeep := strings.Repeat("[", 9_998) + strings.Repeat("]", 9_998)
	sender, senderLog := newTestTracker(t)
	defer senderLog()
	entry := string(entryOf(t, "c", 1).Value)
	sender.replace(platform.KindMeshState, []platform.Object{
		entryOf(t, "a", 2), entryOf(t, "b", 3), stateObject("instance-c", 4, entry[:len(entry)-1]+`,"more":`+almostTooDeep+`}`),
		stateObject("instance-d", 5, deep), stateObject("other", 6, `{`), stateObject("rollout-s", 7, `NaN`), stateObject("", 8, ""),
	})
	sender.replace(platform.KindConfiguration, []platform.Object{
		{Name: "main", ResourceVersion: "9", Value: []byte(`{"Version":3}`)}, {Name: "other", ResourceVersion: "10", Value: []byte(deep)},
	})
	sender.replace(platform.KindRollout, []platform.Object{{Name: "s", ResourceVersion: "11", Value: []byte(deep)}})
	encoded, err := sender.encodeState()
	assert.NilError(t, err)

	for _, transfer := range []string{string(encoded), strings.Replace(string(encoded), `"version":"2"`, `"version":2`, 1)} {
		receiver, receiverLog := newTestTracker(t)
		assert.NilError(t, receiver.applyState([]byte(transfer)))
		assert.Assert(t, receiver.isLoaded())
		known := knownEndpoints(receiver)
		assert.Assert(t, known["e-b"] && known["e-c"], "%v", known)
		receiverLog()
	}
	assert.DeepEqual(t, knownEndpoints(sender), map[string]bool{"e-a": true, "e-b": true, "e-c": true})
}

// A rollout or progress that another writer stored under another name must not shift
// the traffic of a service.
func TestRolloutUnderAnotherNameIsRefused(t *testing.T) {
	tracker, logText := newTestTracker(t)
	defer logText()
	rollout := func(name, version string, revision int) platform.Object {
		value := fmt.Sprintf(`{"Service":"s","Version":%q,"Duration":10000000000}`, version)
		return platform.Object{Kind: platform.KindRollout, Name: name, ResourceVersion: fmt.Sprint(revision), Value: []byte(value)}
	}
	tracker.replace(platform.KindMeshState, []platform.Object{
		entryOf(t, "a", 2), stateObject("rollout-x", 3, `{"service":"s","version":"v2","phase":"shift"}`),
	})
	for round := range 10 {
		tracker.replace(platform.KindRollout, []platform.Object{rollout("s", "v2", 3+round), rollout("x", "v3", 3+round)})
		p := tracker.deps.rollouts.policies["s"]
		assert.Equal(t, p.Version, "v2")
		assert.Assert(t, p.Share < 1, "the traffic was shifted")
	}
}

// An announcement that contradicts what is known of its process is ignored, and must not
// be acknowledged: an endpoint that drains would count on it.
func TestContradictingAnnouncementIsNotAcknowledged(t *testing.T) {
	tracker, logText := newTestTracker(t)
	defer logText()
	known := mesh.Announcement{ID: "e", Service: "s", Version: "v", Address: "10.0.0.9:1", Slots: 4, State: mesh.EndpointReady, StartUnixMs: 5, Sequence: 1}
	assert.Assert(t, tracker.admission.Announce(known))
	draining := known
	draining.State, draining.Sequence = mesh.EndpointDraining, 2
	assert.NilError(t, tracker.admission.Check(draining))
	draining.Version = "v9"
	assert.Assert(t, tracker.admission.Check(draining) != nil)
}

// A node must not take over endpoints on other instances from an entry that another
// writer stored in its name.
func TestEndpointOfOtherInstanceIsNotRestored(t *testing.T) {
	tracker, logText := newTestTracker(t)
	defer logText()
	tracker.deps.settings.EndpointAddress = "10.0.0.9:8301"
	entry := mesh.Instance{Endpoints: []mesh.Endpoint{
		{ID: "own", Service: "s", Version: "v", Slots: 4, Address: "10.0.0.9:8305"},
		{ID: "other", Service: "s", Version: "v", Slots: 4, Address: "10.0.0.7:8305"},
	}}
	tracker.admission.restore(entry, false)
	endpoints, _ := tracker.admission.endpointsToPublish()
	assert.Equal(t, len(endpoints), 1)
	assert.Equal(t, endpoints[0].ID, "own")
}

// The log line of an object must not hold all that another writer stored in it.
func TestLogLineOfRefusedObjectIsBounded(t *testing.T) {
	tracker, logText := newTestTracker(t)
	tracker.applyPut(stateObject("instance-x"+strings.Repeat("x", 1<<20), 3, `{"name":"x","address":"10.0.0.1:1","endpoints":[{"slots":`+strings.Repeat("9", 1<<20)+`}]}`))
	text := logText()
	assert.Assert(t, strings.Contains(text, `"event":"object_refused"`))
	assert.Assert(t, len(text) < 64<<10, "the line has %d bytes", len(text))
}

// No sequence of objects that other writers may store may end the process, add an
// endpoint that cannot be used, or keep the other objects from being transferred.
func FuzzTracker(f *testing.F) {
	for _, value := range []string{
		`{"name":"x","address":"10.0.0.1:1","endpoints":[{"id":"e","service":"s","version":"v","slots":4,"warmupMs":5,"born":1}],"ended":[{"id":"f","born":9}]}`,
		`{"service":"s","version":"v2","phase":"shift","startedMs":-9223372036854775808}`,
		`{"Service":"s","Version":"v2","Duration":9223372036854775807}`, `[[[[`, `1e999`, ``,
	} {
		f.Add([]byte(value), "x")
	}
	log := newEventLog(io.Discard, testOrigin, func() uint64 { return 1 })
	f.Fuzz(func(t *testing.T, value []byte, name string) {
		tracker, logText := newTestTracker(t)
		logText()
		tracker.deps.log, tracker.deps.rollouts.log = log, log
		good := entryOf(t, "good", 1)
		tracker.replace(platform.KindConfiguration, []platform.Object{{Name: "main", ResourceVersion: "1", Value: value}})
		tracker.replace(platform.KindRollout, []platform.Object{{Name: name, ResourceVersion: "1", Value: value}})
		tracker.replace(platform.KindMeshState, []platform.Object{good, stateObject(instancePrefix+name, 2, string(value)), stateObject(rolloutPrefix+name, 3, string(value))})
		tracker.applyPut(stateObject(tracker.entryName(), 4, string(value)))
		tracker.rolloutRoles()
		if name != "good" && !knownEndpoints(tracker)["e-good"] {
			t.Fatal("an endpoint of another entry is gone")
		}
		for id := range knownEndpoints(tracker) {
			for _, e := range tracker.deps.table.Load().EndpointsByVersion("s")["v"] {
				if _, err := netip.ParseAddrPort(e.NodeAddress); err != nil || e.Slots <= 0 {
					t.Fatalf("endpoint %q cannot be used: %+v", id, e)
				}
			}
		}
		encoded, err := tracker.encodeState()
		if err != nil {
			t.Fatal(err)
		}
		receiver, receiverLog := newTestTracker(t)
		receiverLog()
		receiver.deps.log, receiver.deps.rollouts.log = log, log
		if encoded != nil && receiver.applyState(encoded) != nil {
			t.Fatal("the receiver refused the state")
		}
		_ = receiver.applyState(value)
	})
}
