package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/reducer"
	"github.com/azurespring/azurespring/pkg/timeline"
)

var boot = time.UnixMilli(1_700_000_000_000)

func newTestReducer() *Reducer {
	self := Member{Instance: "self", Address: "10.0.0.1:1", Region: "r", FailureDomain: "a"}
	r := NewReducer(ReducerOptions{Self: self, BootTime: boot, RandomSeed: 1})
	r.Step(boot, Started{})
	return r
}

func member(i int) Member {
	return Member{
		Instance: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("10.0.1.%d:1", i), Region: "r",
		FailureDomain: fmt.Sprintf("d%d", i%3), State: Alive, Incarnation: 5, Sequence: 1,
	}
}

// ticks passes time in ticks and returns all effects.
func ticks(r *Reducer, from time.Time, d time.Duration) (effects []Effect, now time.Time) {
	for now = from; now.Before(from.Add(d)); {
		now = now.Add(TickInterval)
		effects = append(effects, r.Step(now, Tick{})...)
	}
	return effects, now
}

// Guards against copies of the member table that depend on the order in which
// records arrive.
func TestMergeRules(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) []byte {
		item, err := EncodeMember(Member{
			Instance: "i", Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(1, 2).Draw(t, "sequence"),
			State:     State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
			ChangedAt: timeline.Timestamp{Millis: rapid.Int64Range(1, 2).Draw(t, "changed")},
		})
		assert.NilError(t, err)
		return item.Payload
	})
	merge := func(a, b []byte) []byte {
		merged, err := MergeRecords(a, b)
		assert.NilError(t, err)
		return merged
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := record.Draw(t, "a"), record.Draw(t, "b"), record.Draw(t, "c")
		assert.DeepEqual(t, merge(a, a), a)
		assert.DeepEqual(t, merge(a, b), merge(b, a))
		assert.DeepEqual(t, merge(merge(a, b), c), merge(a, merge(b, c)))
	})
	_, err := MergeRecords(merge(nil, mustEncode(t, member(1))), []byte("malformed"))
	assert.Assert(t, err != nil)
}

func mustEncode(t *testing.T, m Member) []byte {
	t.Helper()
	item, err := EncodeMember(m)
	assert.NilError(t, err)
	return item.Payload
}

// Guards against targets that stay after their instance went silent, that leave
// because their node was paused, or that are announced without a change.
func TestTargetRenewals(t *testing.T) {
	r := newTestReducer()
	target := Target{ID: "t", Service: "s", State: Starting, Slots: 6}
	assert.Equal(t, len(published(r.Step(boot, TargetAnnounced{Target: target}))), 1)
	assert.Equal(t, len(published(r.Step(boot, TargetAnnounced{Target: target}))), 0)
	_, now := ticks(r, boot, 3*time.Second)
	assert.Equal(t, len(r.Self().Targets), 1)
	target.State = Ready
	assert.Equal(t, len(published(r.Step(now, TargetAnnounced{Target: target}))), 1)
	assert.Assert(t, r.Self().Targets[0].ReadySince.Equal(now))
	resumed := now.Add(time.Minute)
	r.Step(resumed, Tick{})
	assert.Equal(t, len(r.Self().Targets), 1)
	effects, now := ticks(r, resumed, renewalTimeout)
	assert.Equal(t, len(published(effects)), 1)
	assert.Equal(t, len(r.Self().Targets), 0)
	r.Step(now, TargetAnnounced{Target: target})
	assert.Equal(t, len(published(r.Step(now, TargetRemoved{ID: "t"}))), 1)
}

func published(effects []Effect) (members []Member) {
	for _, effect := range effects {
		if p, ok := effect.(Publish); ok {
			members = append(members, p.Member)
		}
	}
	return members
}

// Guards against a member that one missed ping or one bad path takes out, and
// against dead members that stay.
func TestSuspicion(t *testing.T) {
	r := newTestReducer()
	r.Step(boot, RecordsChanged{Members: []Member{member(1)}})
	fail := func(now time.Time, count int) (members []Member) {
		for range count {
			members = append(members, published(r.Step(now, PingFailed{Instance: "m1"}))...)
		}
		return members
	}
	assert.Equal(t, len(fail(boot, maxMisses-1)), 0)
	r.Step(boot, PingAnswered{Instance: "m1"})
	assert.Equal(t, len(fail(boot, maxMisses-1)), 0)
	suspects := fail(boot, 1)
	assert.Equal(t, suspects[0].State, Suspect)
	refuted := member(1)
	refuted.Incarnation++
	r.Step(boot, RecordsChanged{Members: []Member{refuted}})
	effects, now := ticks(r, boot, 2*fallbackTime)
	assert.Equal(t, len(published(effects)), 0)
	assert.Equal(t, len(fail(now, 2*maxMisses-1)), 0, "a refuted accuser is not more patient")
	assert.Equal(t, len(fail(now, 1)), 1)
	effects, now = ticks(r, now, suspicionTime)
	dead := published(effects)
	assert.Equal(t, len(dead), 1)
	assert.Equal(t, dead[0].State, Dead)
	assert.Equal(t, len(r.present()), 1)
	ticks(r, now.Add(deadRetention), time.Second)
	assert.Equal(t, len(r.members), 0)
}

// Guards against regions that judge each other's members.
func TestOtherRegionsAreNotJudged(t *testing.T) {
	r := newTestReducer()
	other := member(1)
	other.Region = "elsewhere"
	r.Step(boot, RecordsChanged{Members: []Member{other}})
	for range 10 * maxMisses {
		assert.Equal(t, len(published(r.Step(boot, PingFailed{Instance: "m1"}))), 0)
	}
	other.State = Suspect
	r.Step(boot, RecordsChanged{Members: []Member{other}})
	effects, _ := ticks(r, boot, time.Minute)
	assert.Equal(t, len(published(effects)), 0)
}

// Guards against nodes that let others call them dead, and against refutations
// without a bound.
func TestRefutation(t *testing.T) {
	r := newTestReducer()
	accusation := r.Self()
	accusation.State = Dead
	refuted := published(r.Step(boot, RecordsChanged{Members: []Member{accusation}}))
	assert.Equal(t, len(refuted), 1)
	assert.Assert(t, refuted[0].Incarnation > accusation.Incarnation && refuted[0].State == Alive)
	assert.Equal(t, len(published(r.Step(boot, SelfSuspected{Incarnation: accusation.Incarnation}))), 0)
	for range 5 {
		assert.Equal(t, len(published(r.Step(boot, SelfSuspected{Incarnation: refuted[0].Incarnation}))), 0)
	}
	effects, now := ticks(r, boot, refuteInterval)
	again := published(effects)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Incarnation > refuted[0].Incarnation)
	left := published(r.Step(now, LeaveRequested{}))
	assert.Equal(t, left[0].State, Left)
	assert.Equal(t, len(published(r.Step(now, SelfSuspected{Incarnation: left[0].Incarnation}))), 0)
}

// Guards against two members at one address, also when the clock of the newer
// process is behind.
func TestReplacementAtTheSameAddress(t *testing.T) {
	r := newTestReducer()
	older, newer := member(1), member(2)
	newer.Address, newer.Incarnation = older.Address, older.Incarnation+1
	effects := r.Step(boot, RecordsChanged{Members: []Member{newer, older}})
	assert.DeepEqual(t, published(effects), []Member{superseded(older, newer)})
	mine := member(3)
	mine.Address, mine.Incarnation = r.Self().Address, r.Self().Incarnation+10
	got := published(r.Step(boot, RecordsChanged{Members: []Member{mine}}))
	assert.Equal(t, len(got), 2)
	assert.Assert(t, got[0].Instance == "self" && got[0].Incarnation > mine.Incarnation)
	assert.Assert(t, got[1].Instance == "m3" && got[1].State == Left)
}

// Guards against a herd of joins that all ask one node at a time.
func TestAdmissionIsBounded(t *testing.T) {
	r := newTestReducer()
	for i := range 6 {
		r.Step(boot, RecordsChanged{Members: []Member{member(i)}})
	}
	ask := func(now time.Time, count int) (admitted int) {
		for i := range count {
			for _, effect := range r.Step(now, JoinRequested{ID: uint64(i), Member: member(100 + i)}) {
				answer, ok := effect.(ReplyToJoin)
				switch {
				case ok && answer.Decision.Admitted:
					admitted++
				case ok:
					assert.Equal(t, len(answer.Decision.Alternatives), maxAlternatives)
					assert.Assert(t, answer.Decision.RetryAfter >= minRetry && answer.Decision.RetryAfter < maxRetry)
				}
			}
		}
		return admitted
	}
	assert.Equal(t, ask(boot, 50), maxJoins)
	assert.Equal(t, ask(boot.Add(joinHold/2), 50), 0)
	assert.Equal(t, ask(boot.Add(joinHold), 50), maxJoins)
}

// Guards against state machines that a recorded log does not reproduce.
func TestReplay(t *testing.T) {
	var log []reducer.RecordedEvent[Event]
	for i := range 200 {
		at := boot.Add(time.Duration(i) * TickInterval)
		events := []Event{
			RecordsChanged{Members: []Member{member(i % 20), member(i % 7)}},
			PingFailed{Instance: "m3"},
			JoinRequested{ID: uint64(i), Member: member(50)},
			Tick{},
		}
		for _, event := range events {
			log = append(log, reducer.RecordedEvent[Event]{Time: at, Event: event})
		}
	}
	assert.DeepEqual(t, reducer.Replay(newTestReducer(), log), reducer.Replay(newTestReducer(), log))
}

// FuzzDecode guards against records that crash a node.
func FuzzDecode(f *testing.F) {
	item, err := EncodeMember(member(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(item.Payload)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMember(data)
		if err != nil {
			return
		}
		r := newTestReducer()
		r.Step(boot, RecordsChanged{Members: []Member{m, member(1)}})
		ticks(r, boot, time.Second)
	})
}
