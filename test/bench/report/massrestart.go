package main

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azurespring/azurespring/internal/testcluster"
)

// survivorCount is the number of nodes that keep running in a mass restart.
const survivorCount = 3

// measureMassRestart kills all nodes but survivorCount at once and starts as many new ones
// together. It records the time until all of them have the configuration and the number
// of platform calls in between.
func (b *bench) measureMassRestart(ctx context.Context, m *measurement) error {
	version := uint64(b.changeCount + 1)
	killed := b.nodes[survivorCount:]
	for _, n := range killed {
		n.Kill()
	}
	b.nodes = b.nodes[:survivorCount]
	before, err := b.cluster.StoreCallCounts(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	activatedAt := make([]time.Time, len(killed))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, old := range killed {
		group.Go(func() error {
			n, err := b.cluster.StartNode(groupCtx, testcluster.NodeOptions{
				Region: old.Region, FailureDomain: old.FailureDomain, Seeds: b.seeds(),
			})
			if err != nil {
				return err
			}
			activatedAt[i], err = awaitActivation(groupCtx, n, version)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	after, err := b.cluster.StoreCallCounts(ctx)
	if err != nil {
		return err
	}
	last := started
	for _, end := range activatedAt {
		if end.After(last) {
			last = end
		}
	}
	m.MassRestartNodes, m.MassRestartMs = len(killed), last.Sub(started).Milliseconds()
	for kind, count := range after {
		m.MassRestartPlatformCalls += count - before[kind]
	}
	return nil
}
