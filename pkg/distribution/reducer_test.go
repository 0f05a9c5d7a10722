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
	v1, v2   = Version{1, "a"}, Version{2, "b"}
	v2other  = Version{2, "x"}
	v3       = Version{3, "c"}
	leadRole = ReaderLeaseChanged{Lease: "reader-a", Held: true, FencingToken: 5}
)

// kinds names effects, with the timeline kind of reports.
func kinds(effects []Effect) []string {
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
			names = append(names, map[bool]string{false: "write-back", true: "write-back raised"}[e.IncrementVersion])
		case PublishAnnouncement:
			names = append(names, map[bool]string{false: "publish ", true: "contest "}[e.Conflict]+e.Announcement.Lease)
		case PullVersion:
			names = append(names, "pull above "+e.Base.Digest)
		case DiscardVersion:
			names = append(names, "drop")
		}
	}
	return names
}

// TestMachine guards the decisions on what comes into force, event by event.
func TestMachine(t *testing.T) {
	announce := func(v Version, fence uint64) Event {
		return AnnouncementReceived{VersionAnnouncement{Version: v, Lease: "reader-a", FencingToken: fence}}
	}
	cases := map[string]struct {
		before []Event
		event  Event
		want   []string
	}{
		"first version":      {event: VersionPrepared{Version: v1}, want: []string{"activate a", "config-activated"}},
		"accepted here":      {event: VersionPrepared{v1, SourceApply}, want: []string{"activate a", "config-activated", "publish "}},
		"lower version":      {before: []Event{VersionPrepared{Version: v2}}, event: VersionPrepared{Version: v1}, want: []string{"drop"}},
		"same version again": {before: []Event{VersionPrepared{Version: v2}}, event: VersionPrepared{Version: v2}},
		"other digest": {
			before: []Event{VersionPrepared{Version: v2}}, event: VersionPrepared{Version: v2other},
			want: []string{"drop", "config-conflict", "contest "},
		},
		"announced":          {event: announce(v2, 1), want: []string{"pull above "}},
		"announced old":      {before: []Event{VersionPrepared{Version: v2}}, event: announce(v1, 1)},
		"announced conflict": {before: []Event{VersionPrepared{Version: v2}}, event: announce(v2other, 1), want: []string{"config-conflict", "contest "}},
		"conflict at the reader": {
			before: []Event{VersionPrepared{Version: v2}, leadRole, HeadObserved{v2}}, event: announce(v2other, 5),
			want: []string{"config-conflict", "contest ", "write-back raised", "config-conflict"},
		},
		"stale fence":         {before: []Event{announce(v1, 7)}, event: announce(v3, 6), want: []string{"config-stale-fence"}},
		"pull in flight":      {before: []Event{announce(v1, 1)}, event: announce(v2, 1)},
		"crossed updates":     {before: []Event{announce(v1, 1), VersionPrepared{Version: v3}}, event: VersionPrepared{v2, SourcePeer}, want: []string{"drop"}},
		"head read":           {before: []Event{leadRole}, event: HeadObserved{v2}, want: []string{"fetch b"}},
		"head without role":   {event: HeadObserved{v2}},
		"head in force":       {before: []Event{VersionPrepared{Version: v2}, leadRole}, event: HeadObserved{v2}, want: []string{"publish reader-a"}},
		"head older":          {before: []Event{VersionPrepared{Version: v2}, leadRole}, event: HeadObserved{v1}, want: []string{"write-back", "config-write-back"}},
		"head missing":        {before: []Event{VersionPrepared{Version: v2}, leadRole}, event: HeadObserved{}, want: []string{"write-back", "config-write-back"}},
		"head differs":        {before: []Event{VersionPrepared{Version: v2}, leadRole}, event: HeadObserved{v2other}, want: []string{"write-back raised", "config-conflict"}},
		"no head, no version": {before: []Event{leadRole}, event: HeadObserved{}},
		"newer head while fetching": {
			before: []Event{leadRole, HeadObserved{v1}, HeadObserved{v2}}, event: VersionPrepared{v1, SourcePlatform},
			want: []string{"activate a", "config-activated", "fetch b"},
		},
		"invalid head":       {before: []Event{leadRole, HeadObserved{v2}}, event: VersionRejected{v2, "broken"}, want: []string{"config-rejected"}},
		"invalid head again": {before: []Event{leadRole, HeadObserved{v2}, VersionRejected{v2, "broken"}}, event: HeadObserved{v2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m, now := NewStateMachine(1), time.Unix(1_000_000, 0)
			for _, event := range c.before {
				m.Step(now, event)
			}
			assert.DeepEqual(t, kinds(m.Step(now, c.event)), c.want)
		})
	}
}

// TestNeverLower guards that the version in force only rises over arbitrary
// events, and that a failed pull or fetch is always repeated.
func TestNeverLower(t *testing.T) {
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
				leadRole,
				AnnouncementReceived{VersionAnnouncement{Version: version(), Lease: "l", FencingToken: rapid.Uint64Range(1, 3).Draw(t, "fence")}},
				VersionPrepared{version(), VersionSource(rapid.IntRange(0, 3).Draw(t, "source"))},
				HeadObserved{version()},
			}).Draw(t, "event")
			for _, effect := range m.Step(now, event) {
				if a, ok := effect.(ActivateVersion); ok {
					if a.Version.Number <= active {
						t.Fatalf("version %d after %d", a.Version.Number, active)
					}
					active = a.Version.Number
				}
			}
		}
		if m.wanted.Number > m.active.Number {
			m.Step(now, PullEnded{})
			effects := m.Step(now.Add(time.Hour), Tick{})
			if !cmp.Equal(effects[0], Effect(PullVersion{Base: m.active})) {
				t.Fatalf("a wanted version is not pulled: %v", kinds(effects))
			}
		}
	})
}

// TestMergeLaws guards that gossip converges whatever the order of messages.
func TestMergeLaws(t *testing.T) {
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

// FuzzDecode guards that malformed messages cause errors, never a panic or a
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
			_, _ = newCandidate(patch(dynamic.Manifest{}, r), contents)
		}
	})
}
