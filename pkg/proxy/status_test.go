package proxy

import (
	"testing"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// A status that is none must not be passed on to the client; the request may have run.
func TestResponseWithoutStatusIsNotPassedOn(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	for entryIndex := range 2 {
		for _, status := range []string{"600", "999"} {
			r := f.nodes[entryIndex].send("POST", "/pay", nil, testtarget.HeaderStatus, status)
			checkProblem(t, r, verdict.TargetFailed, verdict.MayHaveRun)
		}
	}
}
