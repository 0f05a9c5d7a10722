package main

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azurespring/azurespring/internal/testcluster"
)

// survivors is the number of nodes that a herd restart leaves running.
const survivors = 3

// measureHerd kills all nodes but a few at once, starts as many new ones
// together, and reports how long it takes until all have the configuration and
// how many calls of the platform that costs.
func (b *bench) measureHerd(ctx context.Context, m *sample) error {
	version := uint64(b.changes + 1)
	killed := b.nodes[survivors:]
	for _, n := range killed {
		n.Kill()
	}
	b.nodes = b.nodes[:survivors]
	before, err := b.cluster.StoreCallCounts(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	ends := make([]time.Time, len(killed))
	group, joining := errgroup.WithContext(ctx)
	for i, old := range killed {
		group.Go(func() error {
			n, err := b.cluster.StartNode(joining, testcluster.NodeOptions{
				Region: old.Region, FailureDomain: old.FailureDomain, Seeds: b.seeds(),
			})
			if err != nil {
				return err
			}
			ends[i], err = activation(joining, n, version)
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
	for _, end := range ends {
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
