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

var bootTime = time.UnixMilli(1_700_000_000_000)

func newTestReducer() *Reducer {
	self := Member{Instance: "self", Address: "10.0.0.1:1", Region: "r", FailureDomain: "a"}
	r := NewReducer(ReducerOptions{Self: self, BootTime: bootTime, RandomSeed: 1})
	r.Step(bootTime, Started{})
	return r
}

func member(i int) Member {
	return Member{
		Instance: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("10.0.1.%d:1", i), Region: "r",
		FailureDomain: fmt.Sprintf("d%d", i%3), State: Alive, Incarnation: 5, Sequence: 1,
	}
}

// advance steps r through duration d with one Tick per TickInterval and returns
// all effects.
func advance(r *Reducer, from time.Time, d time.Duration) (effects []Effect, now time.Time) {
	for now = from; now.Before(from.Add(d)); {
		now = now.Add(TickInterval)
		effects = append(effects, r.Step(now, Tick{})...)
	}
	return effects, now
}

// The merge must be idempotent, commutative and associative. Otherwise the copies
// of the member table would depend on the order in which records arrive.
func TestMergeIsIndependentOfOrder(t *testing.T) {
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

// A target must expire when it is no longer renewed, but not because its node was
// paused, and a renewal without a change must not be published.
func TestTargetExpiresWithoutRenewal(t *testing.T) {
	r := newTestReducer()
	target := Target{ID: "t", Service: "s", State: Starting, Slots: 6}
	assert.Equal(t, len(publishedMembers(r.Step(bootTime, TargetAnnounced{Target: target}))), 1)
	assert.Equal(t, len(publishedMembers(r.Step(bootTime, TargetAnnounced{Target: target}))), 0)
	_, now := advance(r, bootTime, 3*time.Second)
	assert.Equal(t, len(r.Self().Targets), 1)
	target.State = Ready
	assert.Equal(t, len(publishedMembers(r.Step(now, TargetAnnounced{Target: target}))), 1)
	assert.Assert(t, r.Self().Targets[0].ReadySince.Equal(now))
	resumed := now.Add(time.Minute)
	r.Step(resumed, Tick{})
	assert.Equal(t, len(r.Self().Targets), 1)
	effects, now := advance(r, resumed, renewalTimeout)
	assert.Equal(t, len(publishedMembers(effects)), 1)
	assert.Equal(t, len(r.Self().Targets), 0)
	r.Step(now, TargetAnnounced{Target: target})
	assert.Equal(t, len(publishedMembers(r.Step(now, TargetRemoved{ID: "t"}))), 1)
}

func publishedMembers(effects []Effect) (members []Member) {
	for _, effect := range effects {
		if p, ok := effect.(Publish); ok {
			members = append(members, p.Member)
		}
	}
	return members
}

// A member must become suspect only after maxMissedPings consecutive missed pings,
// or twice as many after a refuted suspicion, so that a single missed ping or one
// bad path does not remove it. Without a refutation it must be declared dead, and
// its record must expire.
func TestUnresponsiveMemberIsSuspectThenDead(t *testing.T) {
	r := newTestReducer()
	r.Step(bootTime, RecordsChanged{Members: []Member{member(1)}})
	failPings := func(now time.Time, count int) (members []Member) {
		for range count {
			members = append(members, publishedMembers(r.Step(now, PingFailed{Instance: "m1"}))...)
		}
		return members
	}
	assert.Equal(t, len(failPings(bootTime, maxMissedPings-1)), 0)
	r.Step(bootTime, PingAnswered{Instance: "m1"})
	assert.Equal(t, len(failPings(bootTime, maxMissedPings-1)), 0)
	suspects := failPings(bootTime, 1)
	assert.Equal(t, suspects[0].State, Suspect)
	refuted := member(1)
	refuted.Incarnation++
	r.Step(bootTime, RecordsChanged{Members: []Member{refuted}})
	effects, now := advance(r, bootTime, 2*fallbackTimeout)
	assert.Equal(t, len(publishedMembers(effects)), 0)
	assert.Equal(t, len(failPings(now, 2*maxMissedPings-1)), 0, "a refuted suspicion did not raise the suspicion threshold")
	assert.Equal(t, len(failPings(now, 1)), 1)
	effects, now = advance(r, now, suspicionTimeout)
	dead := publishedMembers(effects)
	assert.Equal(t, len(dead), 1)
	assert.Equal(t, dead[0].State, Dead)
	assert.Equal(t, len(r.presentMembers()), 1)
	advance(r, now.Add(deadRetention), time.Second)
	assert.Equal(t, len(r.members), 0)
}

// A node must not declare members of other regions suspect or dead: a partition
// between regions would otherwise remove all members of the other region.
func TestMembersOfOtherRegionsAreNotDeclaredSuspectOrDead(t *testing.T) {
	r := newTestReducer()
	other := member(1)
	other.Region = "elsewhere"
	r.Step(bootTime, RecordsChanged{Members: []Member{other}})
	for range 10 * maxMissedPings {
		assert.Equal(t, len(publishedMembers(r.Step(bootTime, PingFailed{Instance: "m1"}))), 0)
	}
	other.State = Suspect
	r.Step(bootTime, RecordsChanged{Members: []Member{other}})
	effects, _ := advance(r, bootTime, time.Minute)
	assert.Equal(t, len(publishedMembers(effects)), 0)
}

// A node must refute records that declare it suspect or dead, at most once per
// refutationInterval, and must not refute after it has left.
func TestNodeRefutesSuspicionAtBoundedRate(t *testing.T) {
	r := newTestReducer()
	deadRecord := r.Self()
	deadRecord.State = Dead
	refuted := publishedMembers(r.Step(bootTime, RecordsChanged{Members: []Member{deadRecord}}))
	assert.Equal(t, len(refuted), 1)
	assert.Assert(t, refuted[0].Incarnation > deadRecord.Incarnation && refuted[0].State == Alive)
	assert.Equal(t, len(publishedMembers(r.Step(bootTime, SelfSuspected{Incarnation: deadRecord.Incarnation}))), 0)
	for range 5 {
		assert.Equal(t, len(publishedMembers(r.Step(bootTime, SelfSuspected{Incarnation: refuted[0].Incarnation}))), 0)
	}
	effects, now := advance(r, bootTime, refutationInterval)
	refutedAgain := publishedMembers(effects)
	assert.Equal(t, len(refutedAgain), 1)
	assert.Assert(t, refutedAgain[0].Incarnation > refuted[0].Incarnation)
	left := publishedMembers(r.Step(now, LeaveRequested{}))
	assert.Equal(t, left[0].State, Left)
	assert.Equal(t, len(publishedMembers(r.Step(now, SelfSuspected{Incarnation: left[0].Incarnation}))), 0)
}

// Of two members at one address the one with the lower incarnation must be
// declared left. The running node must keep its address also when its clock is
// behind that of another record with the same address.
func TestHigherIncarnationKeepsAddress(t *testing.T) {
	r := newTestReducer()
	older, newer := member(1), member(2)
	newer.Address, newer.Incarnation = older.Address, older.Incarnation+1
	effects := r.Step(bootTime, RecordsChanged{Members: []Member{newer, older}})
	assert.DeepEqual(t, publishedMembers(effects), []Member{superseded(older, newer)})
	conflicting := member(3)
	conflicting.Address, conflicting.Incarnation = r.Self().Address, r.Self().Incarnation+10
	publishedRecords := publishedMembers(r.Step(bootTime, RecordsChanged{Members: []Member{conflicting}}))
	assert.Equal(t, len(publishedRecords), 2)
	assert.Assert(t, publishedRecords[0].Instance == "self" && publishedRecords[0].Incarnation > conflicting.Incarnation)
	assert.Assert(t, publishedRecords[1].Instance == "m3" && publishedRecords[1].State == Left)
}

// A node must admit at most maxJoinsPerInterval joins per interval and refer the
// other joining nodes to alternatives with a bounded retry delay.
func TestJoinAdmissionRateIsBounded(t *testing.T) {
	r := newTestReducer()
	for i := range 6 {
		r.Step(bootTime, RecordsChanged{Members: []Member{member(i)}})
	}
	requestJoins := func(now time.Time, count int) (admitted int) {
		for i := range count {
			for _, effect := range r.Step(now, JoinRequested{ID: uint64(i), Member: member(100 + i)}) {
				reply, ok := effect.(ReplyToJoin)
				switch {
				case ok && reply.Decision.Admitted:
					admitted++
				case ok:
					assert.Equal(t, len(reply.Decision.Alternatives), maxAlternatives)
					assert.Assert(t, reply.Decision.RetryAfter >= minRetryDelay && reply.Decision.RetryAfter < maxRetryDelay)
				}
			}
		}
		return admitted
	}
	assert.Equal(t, requestJoins(bootTime, 50), maxJoinsPerInterval)
	assert.Equal(t, requestJoins(bootTime.Add(joinInterval/2), 50), 0)
	assert.Equal(t, requestJoins(bootTime.Add(joinInterval), 50), maxJoinsPerInterval)
}

// Replaying a recorded event log must reproduce the same effects, so the reducer
// must not depend on map order, the system clock or unseeded randomness.
func TestReplayReproducesEffects(t *testing.T) {
	var log []reducer.RecordedEvent[Event]
	for i := range 200 {
		at := bootTime.Add(time.Duration(i) * TickInterval)
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

// FuzzDecode checks that no record makes the decoder or the reducer panic.
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
		r.Step(bootTime, RecordsChanged{Members: []Member{m, member(1)}})
		advance(r, bootTime, time.Second)
	})
}
