package proxy

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// Guards against a refusal that says not-run although an earlier try of the same
// call may have run.
func TestVerdictOverAllTries(t *testing.T) {
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
		{"no try", nil, none, none},
		{"quarantined before any try", nil, quarantined, quarantined},
		{"quarantined after a crash", []*verdict.Error{crashed}, quarantined, crashed},
		{"no target left after a crash", []*verdict.Error{crashed}, none, crashed},
		{"no target left after a refusal", []*verdict.Error{shed}, none, shed},
		{"refused after an answer was cut", []*verdict.Error{cut, shed}, shed, cut},
		{"answer cut after a refusal", []*verdict.Error{shed, cut}, cut, cut},
		{"refused twice", []*verdict.Error{shed, shed}, shed, shed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var failures tryFailures
			for _, err := range tt.failures {
				failures.add(err)
			}
			assert.Equal(t, failures.verdict(tt.ending), tt.want)
		})
	}
}
