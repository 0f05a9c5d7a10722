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
	leadRole = RoleChanged{Lease: "reader-a", Held: true, Fence: 5}
)

// kinds names effects, with the timeline kind of reports.
func kinds(effects []Effect) []string {
	var names []string
	for _, effect := range effects {
		switch e := effect.(type) {
		case Report:
			names = append(names, string(e.Event.Kind))
		case Activate:
			names = append(names, "activate "+e.Version.Digest)
		case Fetch:
			names = append(names, "fetch "+e.Version.Digest)
		case WriteBack:
			names = append(names, map[bool]string{false: "write-back", true: "write-back raised"}[e.Raise])
		case Publish:
			names = append(names, map[bool]string{false: "publish ", true: "contest "}[e.Contested]+e.Announcement.Lease)
		case Pull:
			names = append(names, "pull above "+e.Base.Digest)
		case Drop:
			names = append(names, "drop")
		}
	}
	return names
}

// TestMachine guards the decisions on what comes into force, event by event.
func TestMachine(t *testing.T) {
	announce := func(v Version, fence uint64) Event {
		return Announced{Announcement{Version: v, Lease: "reader-a", Fence: fence}}
	}
	cases := map[string]struct {
		before []Event
		event  Event
		want   []string
	}{
		"first version":      {event: Prepared{Version: v1}, want: []string{"activate a", "config-activated"}},
		"accepted here":      {event: Prepared{v1, Accepted}, want: []string{"activate a", "config-activated", "publish "}},
		"lower version":      {before: []Event{Prepared{Version: v2}}, event: Prepared{Version: v1}, want: []string{"drop"}},
		"same version again": {before: []Event{Prepared{Version: v2}}, event: Prepared{Version: v2}},
		"other digest": {
			before: []Event{Prepared{Version: v2}}, event: Prepared{Version: v2other},
			want: []string{"drop", "config-conflict", "contest "},
		},
		"announced":          {event: announce(v2, 1), want: []string{"pull above "}},
		"announced old":      {before: []Event{Prepared{Version: v2}}, event: announce(v1, 1)},
		"announced conflict": {before: []Event{Prepared{Version: v2}}, event: announce(v2other, 1), want: []string{"config-conflict", "contest "}},
		"conflict at the reader": {
			before: []Event{Prepared{Version: v2}, leadRole, HeadSeen{v2}}, event: announce(v2other, 5),
			want: []string{"config-conflict", "contest ", "write-back raised", "config-conflict"},
		},
		"stale fence":         {before: []Event{announce(v1, 7)}, event: announce(v3, 6), want: []string{"config-stale-fence"}},
		"pull in flight":      {before: []Event{announce(v1, 1)}, event: announce(v2, 1)},
		"crossed updates":     {before: []Event{announce(v1, 1), Prepared{Version: v3}}, event: Prepared{v2, Pulled}, want: []string{"drop"}},
		"head read":           {before: []Event{leadRole}, event: HeadSeen{v2}, want: []string{"fetch b"}},
		"head without role":   {event: HeadSeen{v2}},
		"head in force":       {before: []Event{Prepared{Version: v2}, leadRole}, event: HeadSeen{v2}, want: []string{"publish reader-a"}},
		"head older":          {before: []Event{Prepared{Version: v2}, leadRole}, event: HeadSeen{v1}, want: []string{"write-back", "config-write-back"}},
		"head missing":        {before: []Event{Prepared{Version: v2}, leadRole}, event: HeadSeen{}, want: []string{"write-back", "config-write-back"}},
		"head differs":        {before: []Event{Prepared{Version: v2}, leadRole}, event: HeadSeen{v2other}, want: []string{"write-back raised", "config-conflict"}},
		"no head, no version": {before: []Event{leadRole}, event: HeadSeen{}},
		"newer head while fetching": {
			before: []Event{leadRole, HeadSeen{v1}, HeadSeen{v2}}, event: Prepared{v1, Fetched},
			want: []string{"activate a", "config-activated", "fetch b"},
		},
		"invalid head":       {before: []Event{leadRole, HeadSeen{v2}}, event: Rejected{v2, "broken"}, want: []string{"config-rejected"}},
		"invalid head again": {before: []Event{leadRole, HeadSeen{v2}, Rejected{v2, "broken"}}, event: HeadSeen{v2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m, now := NewMachine(1), time.Unix(1_000_000, 0)
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
		m, now := NewMachine(1), time.Unix(1_000_000, 0)
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
				RoleChanged{Lease: "l"},
				leadRole,
				Announced{Announcement{Version: version(), Lease: "l", Fence: rapid.Uint64Range(1, 3).Draw(t, "fence")}},
				Prepared{version(), Source(rapid.IntRange(0, 3).Draw(t, "source"))},
				HeadSeen{version()},
			}).Draw(t, "event")
			for _, effect := range m.Step(now, event) {
				if a, ok := effect.(Activate); ok {
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
			if !cmp.Equal(effects[0], Effect(Pull{Base: m.active})) {
				t.Fatalf("a wanted version is not pulled: %v", kinds(effects))
			}
		}
	})
}

// TestMergeLaws guards that gossip converges whatever the order of messages.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) []byte {
			return encode(Announcement{
				Version: Version{rapid.Uint64Range(1, 3).Draw(t, label), rapid.SampledFrom([]string{"a", "b"}).Draw(t, label)},
				Lease:   rapid.SampledFrom([]string{"", "l", "m"}).Draw(t, label), Fence: rapid.Uint64Range(0, 2).Draw(t, label),
			})
		}
		merge := func(a, b []byte) []byte {
			merged, err := MergeConfig(a, b)
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
	f.Add(encode(Announcement{Version: v1}))
	f.Add(encode(reply{Version: v2, Full: true, Refs: []dynamic.PartRef{{Name: "service/a"}}}))
	f.Add(encode(request{Op: opPull, Base: v1, WaitMillis: 1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = decodeHead(data)
		_, _ = MergeConfig(nil, data)
		_, _ = MergeConfig(data, data)
		s := &Service{versions: newVersions(), o: Options{Timeline: timeline.Discard{}}}
		_, _ = s.HandleMessage(t.Context(), transport.Peer{}, data)
		if r, err := decode[reply](data); err == nil {
			contents := make(map[string][]byte)
			for _, part := range r.Parts {
				contents[dynamic.DigestOf(part)] = part
			}
			_, _ = newCandidate(patch(dynamic.Manifest{}, r), contents)
		}
	})
}
