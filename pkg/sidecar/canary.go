package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

func (la *localAdmission) analyzeResponse(ea *endpointAdmission, c *call, resp *endpointResponse) {
	if resp.notRun {
		return
	}
	result := rollout.Result{Route: c.Route, Failed: resp.status >= http.StatusInternalServerError}
	la.analyze(ea, c, la.withLatency(result, ea, c, resp.headerLatency))
}

// analyzeFailure passes a call without a response to the canary analysis. elapsed is
// the time until the call ended.
func (la *localAdmission) analyzeFailure(ctx context.Context, ea *endpointAdmission, c *call, failure *verdict.Error, elapsed time.Duration) {
	switch {
	case failure.Verdict != verdict.MayHaveRun:
	case ctx.Err() != nil:
		la.analyze(ea, c, la.withLatency(rollout.Result{Route: c.Route, Unfinished: true}, ea, c, elapsed))
	default:
		la.analyze(ea, c, rollout.Result{Route: c.Route, Failed: true})
	}
}

// withLatency adds the latency and its baseline to a result, unless the endpoint is
// still warming up.
func (la *localAdmission) withLatency(result rollout.Result, ea *endpointAdmission, c *call, took time.Duration) rollout.Result {
	if la.deps.now().After(ea.endpoint.WarmUntil) {
		result.Latency, result.Baseline = took, time.Duration(c.BaselineUs)*time.Microsecond
		result.Timeout = time.Duration(c.TimeoutUs) * time.Microsecond
	}
	return result
}

// analyze adds a result to the canary analysis if the version is being rolled out, and
// reports the version if it fails the analysis.
func (la *localAdmission) analyze(ea *endpointAdmission, c *call, result rollout.Result) {
	analyzed, shifted := la.deps.rollouts.isAnalyzed(c.Service, c.Version)
	if !analyzed {
		return
	}
	result.Shifted = shifted
	la.mu.Lock()
	failed := ea.analyzer.Add(result)
	analysis := ea.analyzer.Summary()
	la.mu.Unlock()
	if failed {
		la.deps.rollouts.failVersion(c.Service, c.Version, fields{
			"requestId": c.id, "route": c.Route, "answers": analysis.Results, "compared": analysis.Compared, "slow": analysis.Slow, "fast": analysis.Fast, "tookMs": result.Latency.Milliseconds(),
			"referenceMs": result.Baseline.Milliseconds(), "failed": result.Failed, "unfinished": result.Unfinished, "shifted": shifted,
		})
	}
}
