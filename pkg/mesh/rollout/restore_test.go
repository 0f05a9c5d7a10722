package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

func rolloutsInEra(era uint64, rollouts ...mesh.Rollout) Event {
	return Event{Kind: RolloutsReplaced, Era: era, Rollouts: rollouts}
}

// A rollout that was decided must stay decided while the store lacks it or has an older
// state of it, and its state must be stored again. Otherwise a bad version would get
// requests again, or the endpoints of a good one, whose predecessor has stopped, none.
func TestDecidedRolloutOutlivesRestoredStore(t *testing.T) {
	begin := time.Now()
	for _, decided := range []mesh.RolloutState{mesh.RolloutCompleted, mesh.RolloutRolledBack} {
		share := map[mesh.RolloutState]float64{mesh.RolloutCompleted: 1, mesh.RolloutRolledBack: 0}[decided]
		order := mesh.Rollout{Service: "s", Version: "v2", Duration: 10 * time.Second}
		known := order
		known.State = decided
		m := NewStateMachine()
		m.Step(begin, rolloutsInEra(3, known))

		m.Step(begin, rolloutsInEra(4)) // The copy lacks the rollout.
		assert.Equal(t, m.Policies()["s"].Share, share)
		ranked := Event{Kind: Tick, Roles: map[string]NodeRole{"s": {Rank: -1, RestoreRank: 0}}}
		assert.Equal(t, len(m.Step(begin, ranked)), 0, "the order of the operator is not there yet")

		m.Step(begin.Add(time.Second), rolloutsInEra(4, order)) // The operator writes it again.
		assert.Equal(t, m.Policies()["s"].Share, share)
		assert.Equal(t, len(m.Active()), 0)
		effects := m.Step(begin.Add(2*time.Second), ranked)
		assert.Equal(t, len(effects), 1)
		assert.Equal(t, effects[0].State, decided)
		m.Step(begin.Add(3*time.Second), rolloutsInEra(4, known))
		assert.Equal(t, len(m.Unstored()), 0)
		m.Step(begin.Add(4*time.Second), rolloutsInEra(4)) // The operator removes it.
		assert.Equal(t, len(m.Policies()), 1, "removals count only some time after the restore")
		m.Step(begin.Add(restorePeriod+time.Second), rolloutsInEra(4))
		assert.Equal(t, len(m.Policies()), 0)
	}
}

// The state of one version must not be taken for that of the next one, which the operator
// orders after the store was restored.
func TestRestoredStateBelongsToItsVersion(t *testing.T) {
	now := time.Now()
	m := NewStateMachine()
	m.Step(now, rolloutsInEra(1, mesh.Rollout{Service: "s", Version: "v2", State: mesh.RolloutRolledBack}))
	m.Step(now, rolloutsInEra(2))
	m.Step(now, rolloutsInEra(2, mesh.Rollout{Service: "s", Version: "v3", Duration: time.Second}))
	assert.Equal(t, m.Policies()["s"], Policy{Version: "v3", Share: CanaryShare})
}

// Without an era, a rollout that is removed must be gone at once, as before.
func TestRolloutIsRemovedAtOnceWithoutEra(t *testing.T) {
	now := time.Now()
	m := NewStateMachine()
	m.Step(now, rolloutsInEra(0, mesh.Rollout{Service: "s", Version: "v2", State: mesh.RolloutCompleted}))
	m.Step(now, rolloutsInEra(0))
	assert.Equal(t, len(m.Policies()), 0)
}

// A store may count its eras from 0: a decided rollout must outlive the first restore too.
func TestDecidedRolloutOutlivesRestoreAfterEraZero(t *testing.T) {
	m, now := NewStateMachine(), time.Unix(0, 0)
	m.Step(now, rolloutsInEra(0, mesh.Rollout{Service: "s", Version: "v2", State: mesh.RolloutRolledBack}))
	m.Step(now, rolloutsInEra(1))
	_, ok := m.Rollout("s")
	assert.Assert(t, ok)
}
