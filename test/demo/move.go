package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/azurespring/azurespring/internal/loadgen"
	"github.com/azurespring/azurespring/internal/testtarget"
)

const (
	// moveCallsPerSecond is the load of each service that moves or loses a node.
	moveCallsPerSecond = 250
	// failEvery makes every n-th call of the bad version fail.
	failEvery = 3
	// maxBadVersionShare is the share of its service's calls that the bad version may get
	// before it is rolled back.
	maxBadVersionShare = 0.02
)

// runMoves starts targets of the new versions on the nodes of the old ones, requests both
// moves, and checks that the good version's move is done and the bad one's rolled back.
func (d *demo) runMoves(ctx context.Context) error {
	if err := d.startNewVersions(ctx); err != nil {
		return err
	}
	finish := time.Now().Add(d.options.finishIn).UTC().Format(time.RFC3339)
	err := copyLists(d.options.listDir, d.dir, func(text string) string {
		for _, s := range services {
			newVersion := map[string]string{goodService: goodVersion, badService: badVersion}[s.name]
			line := fmt.Sprintf("    version: %q\n", s.version)
			if newVersion != "" {
				text = strings.Replace(text, line, line+fmt.Sprintf("    move: {to: %q, finishBy: %s}\n", newVersion, finish), 1)
			}
		}
		return text
	})
	if err != nil {
		return err
	}
	if err := d.apply(ctx, d.dir); err != nil {
		return err
	}
	good, bad, err := d.loadUntilMovesEnd(ctx)
	if err != nil {
		return err
	}
	d.checkMoves(good, bad)
	return nil
}

func (d *demo) startNewVersions(ctx context.Context) error {
	for _, v := range []struct{ service, old, version string }{
		{goodService, "3.2.0", goodVersion}, {badService, "7.1.0", badVersion},
	} {
		for _, old := range d.targets[v.service+" "+v.old] {
			if err := d.startTarget(ctx, old.Node, v.service, v.version); err != nil {
				return err
			}
		}
	}
	for _, t := range d.targets[badService+" "+badVersion] {
		if err := t.SetBehavior(ctx, testtarget.Behavior{FailEvery: failEvery, FailStatus: 500}); err != nil {
			return err
		}
	}
	return nil
}

// loadUntilMovesEnd sends calls to both services until azurespringctl reports that both
// moves ended.
func (d *demo) loadUntilMovesEnd(ctx context.Context) (good, bad loadgen.Result, err error) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	send := func(s service, result *loadgen.Result) {
		group.Go(func() {
			o := d.loadOptions(s, d.nodes)
			o.CallsPerSecond, o.CallCount, o.Concurrency = moveCallsPerSecond, 1<<30, 16
			*result = loadgen.Run(loadCtx, o)
		})
	}
	send(services[0], &good)
	send(services[3], &bad)
	// The exit code reports that a move was rolled back, as expected; checkMoves checks
	// the phases.
	output, _, err := d.cluster.RunCtl(ctx, "moves", "-nodes", d.nodes[0].AdminAddress, "-watch", goodService, badService)
	fmt.Println(indent(output))
	stop()
	group.Wait()
	return good, bad, err
}

func (d *demo) checkMoves(good, bad loadgen.Result) {
	versions := bad.CountByVersion()
	d.summary.BadVersionCalls = versions[badVersion]
	d.summary.Calls = len(good.Calls) + len(bad.Calls)
	d.summary.Completed = good.CompletedCount() + bad.CompletedCount()
	d.summary.GoodMove, d.summary.BadMove = d.movePhase(goodService), d.movePhase(badService)
	d.check(d.summary.GoodMove == "done", "the good version's move is %q", d.summary.GoodMove)
	d.check(d.summary.BadMove == "taken-back", "the bad version's move is %q", d.summary.BadMove)
	share := float64(versions[badVersion]) / float64(max(1, len(bad.Calls)))
	d.check(share <= maxBadVersionShare, "the bad version got %.2f%% of the calls", 100*share)
}

func (d *demo) movePhase(service string) string {
	var moves []struct {
		Service string `json:"service"`
		Phase   string `json:"phase"`
	}
	if err := d.nodes[0].GetJSON(context.Background(), "/v1/moves", &moves); err != nil {
		return err.Error()
	}
	for _, m := range moves {
		if m.Service == service {
			return m.Phase
		}
	}
	return "unknown"
}

// shutDownUnderLoad gracefully shuts down one node whose target is under load. Callers
// use other nodes; no call through those may fail.
func (d *demo) shutDownUnderLoad(ctx context.Context) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var result loadgen.Result
	var group sync.WaitGroup
	group.Go(func() {
		o := d.loadOptions(services[2], d.nodes[:2])
		o.CallsPerSecond, o.CallCount, o.Concurrency = moveCallsPerSecond, 1<<30, 16
		result = loadgen.Run(loadCtx, o)
	})
	stoppingNode := d.nodes[2]
	time.Sleep(time.Second)
	err := stoppingNode.Stop(time.Minute)
	time.Sleep(time.Second)
	stop()
	group.Wait()
	for _, call := range result.Calls {
		if call.LastAttempt().Err != nil && !call.Interrupted {
			d.summary.ResetByShutdown++
		}
	}
	localReplies := 0
	for _, count := range result.CountByCode() {
		localReplies += count
	}
	d.check(d.summary.ResetByShutdown == 0, "%d calls were reset by the graceful shutdown", d.summary.ResetByShutdown)
	d.check(localReplies == 0, "local replies during the graceful shutdown: %v", result.CountByCode())
	return err
}
