package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	store "github.com/azurespring/azurespring/pkg/platform"
)

// Guards against idle nodes that use up the store's rate as the fleet grows: 2,000
// reads a second for all.
func TestIdleFleetLeavesTheStoresRate(t *testing.T) {
	const lag = 2 * time.Second
	for _, instances := range []int{0, 1, 24, 63, 88, 300, 3800} {
		perSecond := 0.0
		for _, kind := range []store.Kind{store.KindConfiguration, store.KindRollout} {
			var sum time.Duration
			const rounds = 5000
			for range rounds {
				wait := watchWait(kind, lag, instances)
				assert.Assert(t, wait <= 30*time.Second, "%d nodes wait %v, the store allows 30 s", instances, wait)
				sum += wait
			}
			perSecond += float64(instances) / (sum / rounds).Seconds()
		}
		assert.Assert(t, perSecond < 400, "%d idle nodes ask %.0f times a second", instances, perSecond)
	}
}

// Guards against a change that no node reads in time. Watches may hear nothing of it,
// and the change before it made all nodes ask at the same moment: with waits of at
// least half the mean, none of 63 asked for nine seconds (scale-2 of grown priecka).
func TestSomeNodeAsksSoonAfterAllHaveAsked(t *testing.T) {
	const lag, rounds = 3 * time.Second, 2000
	for _, instances := range []int{24, 63, 88, 300, 3800} {
		late := 0
		for range rounds {
			first := time.Minute
			for range instances {
				first = min(first, watchWait(store.KindConfiguration, lag, instances))
			}
			if first > 2*lag/5 {
				late++
			}
		}
		// 1 in 800 is expected; 3,800 nodes are bounded by the longest wait and ask sooner.
		assert.Assert(t, late <= rounds/200, "of %d rounds of %d nodes, %d were late", rounds, instances, late)
	}
}
