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
	// moveRate is calls per second to each moving service.
	moveRate = 250
	// failEvery makes each n-th call of the bad version fail.
	failEvery = 3
	// maxBadShare is the share of its service's calls that the bad version may get
	// before it is taken back.
	maxBadShare = 0.02
)

// move starts new versions beside the old ones, asks for both moves, and waits
// until the good one is done and the bad one is taken back.
func (d *demo) move(ctx context.Context) error {
	if err := d.startVersions(ctx); err != nil {
		return err
	}
	finish := time.Now().Add(d.options.finish).UTC().Format(time.RFC3339)
	err := copyLists(d.options.lists, d.dir, func(text string) string {
		for _, s := range services {
			wanted := map[string]string{goodService: goodVersion, badService: badVersion}[s.name]
			line := fmt.Sprintf("    version: %q\n", s.version)
			if wanted != "" {
				text = strings.Replace(text, line, line+fmt.Sprintf("    move: {to: %q, finishBy: %s}\n", wanted, finish), 1)
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
	good, bad, err := d.loadUntilDecided(ctx)
	if err != nil {
		return err
	}
	d.judge(good, bad)
	return nil
}

func (d *demo) startVersions(ctx context.Context) error {
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

// loadUntilDecided sends calls to both services while azurespringctl watches.
func (d *demo) loadUntilDecided(ctx context.Context) (good, bad loadgen.Result, err error) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	send := func(s service, result *loadgen.Result) {
		group.Go(func() {
			o := d.load(s, d.nodes)
			o.CallsPerSecond, o.CallCount, o.Concurrency = moveRate, 1<<30, 16
			*result = loadgen.Run(loading, o)
		})
	}
	send(services[0], &good)
	send(services[3], &bad)
	// The exit code says that one move was taken back, which is what is wanted.
	output, _, err := d.cluster.RunCtl(ctx, "moves", "-nodes", d.nodes[0].AdminAddress, "-watch", goodService, badService)
	fmt.Println(indent(output))
	stop()
	group.Wait()
	return good, bad, err
}

func (d *demo) judge(good, bad loadgen.Result) {
	versions := bad.CountByVersion()
	d.summary.BadCalls = versions[badVersion]
	d.summary.Calls = len(good.Calls) + len(bad.Calls)
	d.summary.Answered = good.CompletedCount() + bad.CompletedCount()
	d.summary.GoodMove, d.summary.BadMove = d.outcome(goodService), d.outcome(badService)
	d.check(d.summary.GoodMove == "done", "the good version's move is %q", d.summary.GoodMove)
	d.check(d.summary.BadMove == "taken-back", "the bad version's move is %q", d.summary.BadMove)
	share := float64(versions[badVersion]) / float64(max(1, len(bad.Calls)))
	d.check(share <= maxBadShare, "the bad version got %.2f%% of the calls", 100*share)
}

func (d *demo) outcome(service string) string {
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

// plannedStop stops one node with its target under load. Callers use the other
// nodes; no call through those may fail.
func (d *demo) plannedStop(ctx context.Context) error {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var result loadgen.Result
	var group sync.WaitGroup
	group.Go(func() {
		o := d.load(services[2], d.nodes[:2])
		o.CallsPerSecond, o.CallCount, o.Concurrency = moveRate, 1<<30, 16
		result = loadgen.Run(loading, o)
	})
	leaving := d.nodes[2]
	time.Sleep(time.Second)
	err := leaving.Stop(time.Minute)
	time.Sleep(time.Second)
	stop()
	group.Wait()
	for _, call := range result.Calls {
		if call.LastAttempt().Err != nil && !call.Interrupted {
			d.summary.CutByStop++
		}
	}
	refused := 0
	for _, count := range result.CountByCode() {
		refused += count
	}
	d.check(d.summary.CutByStop == 0, "%d calls were cut by the planned stop", d.summary.CutByStop)
	d.check(refused == 0, "calls were refused during the planned stop: %v", result.CountByCode())
	return err
}
