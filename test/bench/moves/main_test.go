package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/move"
)

// Guards against rules that no longer separate good from bad versions, with
// the deployment that has the fewest calls.
func TestSequentialEndsMovesRight(t *testing.T) {
	council := deployments[1]
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := run(council, c, newSequential(council), 1)
			want := move.PhaseDone
			if c.bad {
				want = move.PhaseRolledBack
			}
			assert.Equal(t, r.phase, want, r.last)
			assert.Assert(t, c.bad || r.inTime, r.last)
		})
	}
}

// Guards against runs with equal seeds that differ, and a JSON report that
// tools cannot read.
func TestMeasureIsReproducible(t *testing.T) {
	allDeployments, allCases := deployments, cases
	deployments, cases = deployments[1:], cases[6:8]
	defer func() { deployments, cases = allDeployments, allCases }()
	out := filepath.Join(t.TempDir(), "moves.json")
	var first, second bytes.Buffer
	assert.NilError(t, measure(&first, 1, 7, out))
	assert.NilError(t, measure(&second, 1, 7, ""))
	assert.Equal(t, first.String(), second.String())
	data, err := os.ReadFile(out)
	assert.NilError(t, err)
	var s summary
	assert.NilError(t, json.Unmarshal(data, &s))
	assert.Equal(t, len(s.Figures), len(cases)*len(policies))
}
