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

// On the deployment with the fewest calls, moves to bad versions must be rolled back
// and moves to good ones must finish in time.
func TestSequentialPolicyRollsBackOnlyBadVersions(t *testing.T) {
	council := deployments[1]
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := run(council, c, newSequential(council), 1)
			want := move.PhaseDone
			if c.isBad {
				want = move.PhaseRolledBack
			}
			assert.Equal(t, r.phase, want, r.finalState)
			assert.Assert(t, c.isBad || r.inTime, r.finalState)
		})
	}
}

// Runs with equal seeds must give equal results, and the JSON report must be
// complete and well-formed.
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
