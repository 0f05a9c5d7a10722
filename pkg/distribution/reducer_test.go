package distribution

import (
	"testing"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	v1, v2          = Version{1, "a"}, Version{2, "b"}
	v2Conflicting   = Version{2, "x"}
	v3              = Version{3, "c"}
	heldReaderLease = ReaderLeaseChanged{Lease: "reader-a", Held: true, FencingToken: 5}
)

// describeEffects describes effects in short texts; a RecordEvent is described by the
// kind of its event.
func describeEffects(effects []Effect) []string {
	var names []string
	for _, effect := range effects {
		switch e := effect.(type) {
		case RecordEvent:
			names = append(names, string(e.Event.Kind))
		case ActivateVersion:
			names = append(names, "activate "+e.Version.Digest)
		case FetchVersion:
			names = append(names, "fetch "+e.Version.Digest)
		case WriteBack:
			names = append(names, map[bool]string{false: "write-back", true: "write-back incremented"}[e.IncrementVersion])
		case PublishAnnouncement:
			names = append(names, map[bool]string{false: "publish ", true: "publish conflict "}[e.Conflict]+e.Announcement.Lease)
		case PullVersion:
			names = append(names, "pull above "+e.Base.Digest)
		case DiscardVersion:
			names = append(names, "discard")
		}
	}
	return names
}

// TestStateMachineEffects verifies the effects of single events in a given state.
func TestStateMachineEffects(t *testing.T) {
	announce := func(v Version, fencingToken uint64) Event {
		return AnnouncementReceived{VersionAnnouncement{Version: v, Lease: "reader-a", FencingToken: fencingToken}}
	}
	cases := map[string]struct {
		before []Event
		event  Event
		want   []string
	}{
		"first version":        {event: VersionPrepared{Version: v1}, want: []string{"activate a", "config-activated"}},
		"applied by this node": {event: VersionPrepared{v1, SourceApply}, want: []string{"activate a", "config-activated", "publish "}},
		"lower version":        {before: []Event{VersionPrepared{Version: v2}}, event: VersionPrepared{Version: v1}, want: []string{"discard"}},
		"same version again":   {before: []Event{VersionPrepared{Version: v2}}, event: VersionPrepared{Version: v2}},
		"other digest prepared": {
			before: []Event{VersionPrepared{Version: v2}}, event: VersionPrepared{Version: v2Conflicting},
			want: []string{"discard", "config-conflict", "publish conflict "},
		},
		"newer version announced": {event: announce(v2, 1), want: []string{"pull above "}},
		"older version announced": {before: []Event{VersionPrepared{Version: v2}}, event: announce(v1, 1)},
		"other digest announced":  {before: []Event{VersionPrepared{Version: v2}}, event: announce(v2Conflicting, 1), want: []string{"config-conflict", "publish conflict "}},
		"conflict at the reader": {
			before: []Event{VersionPrepared{Version: v2}, heldReaderLease, HeadObserved{v2}}, event: announce(v2Conflicting, 5),
			want: []string{"config-conflict", "publish conflict ", "write-back incremented", "config-conflict"},
		},
		"stale fencing token":                          {before: []Event{announce(v1, 7)}, event: announce(v3, 6), want: []string{"config-stale-fence"}},
		"pull in flight":                               {before: []Event{announce(v1, 1)}, event: announce(v2, 1)},
		"announced version prepared after a newer one": {before: []Event{announce(v1, 1), VersionPrepared{Version: v3}}, event: VersionPrepared{v2, SourcePeer}, want: []string{"discard"}},
		"newer head":                                   {before: []Event{heldReaderLease}, event: HeadObserved{v2}, want: []string{"fetch b"}},
		"head without reader lease":                    {event: HeadObserved{v2}},
		"head is active version":                       {before: []Event{VersionPrepared{Version: v2}, heldReaderLease}, event: HeadObserved{v2}, want: []string{"publish reader-a"}},
		"older head":                                   {before: []Event{VersionPrepared{Version: v2}, heldReaderLease}, event: HeadObserved{v1}, want: []string{"write-back", "config-write-back"}},
		"missing head":                                 {before: []Event{VersionPrepared{Version: v2}, heldReaderLease}, event: HeadObserved{}, want: []string{"write-back", "config-write-back"}},
		"head with other digest":                       {before: []Event{VersionPrepared{Version: v2}, heldReaderLease}, event: HeadObserved{v2Conflicting}, want: []string{"write-back incremented", "config-conflict"}},
		"no head, no version":                          {before: []Event{heldReaderLease}, event: HeadObserved{}},
		"newer head while fetching": {
			before: []Event{heldReaderLease, HeadObserved{v1}, HeadObserved{v2}}, event: VersionPrepared{v1, SourcePlatform},
			want: []string{"activate a", "config-activated", "fetch b"},
		},
		"invalid head":       {before: []Event{heldReaderLease, HeadObserved{v2}}, event: VersionRejected{v2, "broken"}, want: []string{"config-rejected"}},
		"invalid head again": {before: []Event{heldReaderLease, HeadObserved{v2}, VersionRejected{v2, "broken"}}, event: HeadObserved{v2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m, now := NewStateMachine(1), time.Unix(1_000_000, 0)
			for _, event := range c.before {
				m.Step(now, event)
			}
			assert.DeepEqual(t, describeEffects(m.Step(now, c.event)), c.want)
		})
	}
}

// TestActiveVersionNeverDecreases verifies that the number of the active version only
// increases over arbitrary events, and that a failed pull is retried.
func TestActiveVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := NewStateMachine(1), time.Unix(1_000_000, 0)
		version := func() Version {
			return Version{
				Number: rapid.Uint64Range(0, 5).Draw(t, "number"),
				Digest: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest"),
			}
		}
		var active uint64
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			event := rapid.SampledFrom([]Event{
				Tick{},
				PullEnded{},
				WriteBackEnded{},
				FetchFailed{},
				ReaderLeaseChanged{Lease: "l"},
				heldReaderLease,
				AnnouncementReceived{VersionAnnouncement{Version: version(), Lease: "l", FencingToken: rapid.Uint64Range(1, 3).Draw(t, "fencing token")}},
				VersionPrepared{version(), VersionSource(rapid.IntRange(0, 3).Draw(t, "source"))},
				HeadObserved{version()},
			}).Draw(t, "event")
			for _, effect := range m.Step(now, event) {
				if a, ok := effect.(ActivateVersion); ok {
					if a.Version.Number <= active {
						t.Fatalf("version %d became active after version %d", a.Version.Number, active)
					}
					active = a.Version.Number
				}
			}
		}
		if m.highestAnnounced.Number > m.active.Number {
			m.Step(now, PullEnded{})
			effects := m.Step(now.Add(time.Hour), Tick{})
			if !cmp.Equal(effects[0], Effect(PullVersion{Base: m.active})) {
				t.Fatalf("the highest announced version is not pulled: %v", describeEffects(effects))
			}
		}
	})
}

// TestMergeAnnouncementsIsOrderIndependent verifies that merging is commutative,
// associative and idempotent, so that gossip converges for every order of messages.
func TestMergeAnnouncementsIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) []byte {
			return encode(VersionAnnouncement{
				Version: Version{rapid.Uint64Range(1, 3).Draw(t, label), rapid.SampledFrom([]string{"a", "b"}).Draw(t, label)},
				Lease:   rapid.SampledFrom([]string{"", "l", "m"}).Draw(t, label), FencingToken: rapid.Uint64Range(0, 2).Draw(t, label),
			})
		}
		merge := func(a, b []byte) []byte {
			merged, err := MergeAnnouncements(a, b)
			assert.NilError(t, err)
			return merged
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		assert.DeepEqual(t, merge(a, b), merge(b, a))
		assert.DeepEqual(t, merge(merge(a, b), c), merge(a, merge(b, c)))
		assert.DeepEqual(t, merge(a, a), a)
	})
}

// FuzzDecode verifies that malformed messages cause errors, and neither a panic nor a
// version that was not verified.
func FuzzDecode(f *testing.F) {
	f.Add(encode(head{Manifest: dynamic.NewManifest(1, nil)}))
	f.Add(encode(VersionAnnouncement{Version: v1}))
	f.Add(encode(reply{Version: v2, Full: true, Refs: []dynamic.PartRef{{Name: "service/a"}}}))
	f.Add(encode(request{Op: opPull, Base: v1, WaitMillis: 1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = decodeHead(data)
		_, _ = MergeAnnouncements(nil, data)
		_, _ = MergeAnnouncements(data, data)
		s := &Service{versions: newVersions(), o: Options{Timeline: timeline.NopRecorder{}}}
		_, _ = s.HandleMessage(t.Context(), transport.Peer{}, data)
		if r, err := decode[reply](data); err == nil {
			contents := make(map[string][]byte)
			for _, part := range r.Parts {
				contents[dynamic.SHA256Hex(part)] = part
			}
			_, _ = compileVersion(patch(dynamic.Manifest{}, r), contents)
		}
	})
}
