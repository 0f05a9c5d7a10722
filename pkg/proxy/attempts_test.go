package proxy

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// The final error of a call must not say not-run if an earlier attempt of the call may
// have run.
func TestFinalErrorCoversAllAttempts(t *testing.T) {
	crashed := verdict.MayHaveRunErrorf(verdict.TargetCrashed, nil, "crashed")
	cut := verdict.MayHaveRunErrorf(verdict.AnswerCut, nil, "cut")
	shed := verdict.NotRunErrorf(verdict.TargetShed, "shed")
	none := verdict.NotRunErrorf(verdict.NoTarget, "none")
	quarantined := verdict.NotRunErrorf(verdict.Quarantined, "quarantined")
	tests := []struct {
		name     string
		failures []*verdict.Error
		ending   *verdict.Error
		want     *verdict.Error
	}{
		{"no attempt", nil, none, none},
		{"quarantined before any attempt", nil, quarantined, quarantined},
		{"quarantined after a crash", []*verdict.Error{crashed}, quarantined, crashed},
		{"no target left after a crash", []*verdict.Error{crashed}, none, crashed},
		{"no target left after a rejection", []*verdict.Error{shed}, none, shed},
		{"rejected after a truncated response", []*verdict.Error{cut, shed}, shed, cut},
		{"truncated response after a rejection", []*verdict.Error{shed, cut}, cut, cut},
		{"rejected twice", []*verdict.Error{shed, shed}, shed, shed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var failures attemptFailures
			for _, err := range tt.failures {
				failures.add(err)
			}
			assert.Equal(t, failures.finalError(tt.ending), tt.want)
		})
	}
}
