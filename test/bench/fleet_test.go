// Package bench measures how traffic, memory and CPU time grow with the size of the fleet.
package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/fleettest"
	"github.com/azurespring/azurespring/pkg/gossip"
)

const (
	regionCount      = 4
	idleDuration     = 30 * time.Second
	changeCount      = 10
	changeSettleTime = 10 * time.Second
	reachTimeout     = 20 * time.Second
)

func totalTraffic(f *fleettest.Fleet) (sum fleettest.Traffic) {
	for _, n := range f.RunningNodes() {
		sum.Messages += n.Traffic.Messages
		sum.Bytes += n.Traffic.Bytes
		sum.CrossRegionBytes += n.Traffic.CrossRegionBytes
		sum.Pings += n.Traffic.Pings
	}
	return sum
}

// BenchmarkFleet reports the messages and payload bytes that gossip and membership send
// per node, and how fast a configuration change reaches all nodes. All times but ns/op
// are virtual. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	f := fleettest.New(uint64(size))
	f.AddNodes(size, regionCount)
	f.Advance(time.Minute)
	nodes := float64(size)

	before := totalTraffic(f)
	f.Advance(idleDuration)
	idle := totalTraffic(f)
	seconds := idleDuration.Seconds() * nodes
	b.ReportMetric(float64(idle.Messages-before.Messages)/seconds, "idle-msg/node/s")
	b.ReportMetric(float64(idle.Pings-before.Pings)/seconds, "pings/node/s")
	b.ReportMetric(float64(idle.Bytes-before.Bytes)/seconds, "idle-B/node/s")
	b.ReportMetric(float64(idle.CrossRegionBytes-before.CrossRegionBytes)/idleDuration.Seconds(), "idle-cross-region-B/s")

	var slowest, sum time.Duration
	maxHops, sumHops := 0, 0
	for i := range changeCount {
		took, hopCount := measureSpread(b, f, byte(i+1))
		slowest, maxHops = max(slowest, took), max(maxHops, hopCount)
		sum, sumHops = sum+took, sumHops+hopCount
		f.Advance(changeSettleTime)
	}
	after := totalTraffic(f)
	idleShare := float64(sum+changeCount*changeSettleTime) / float64(idleDuration)
	extra := float64(after.Bytes-idle.Bytes) - idleShare*float64(idle.Bytes-before.Bytes)
	extraMessages := float64(after.Messages-idle.Messages) - idleShare*float64(idle.Messages-before.Messages)
	b.ReportMetric(extra/changeCount/nodes, "change-B/node")
	b.ReportMetric(extraMessages/changeCount/nodes, "change-msg/node")
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-reach-ms")
	b.ReportMetric(float64(sum.Milliseconds())/changeCount, "mean-reach-ms")
	b.ReportMetric(float64(maxHops), "most-hops")
	b.ReportMetric(float64(sumHops)/changeCount, "mean-hops")
}

// measureSpread publishes a change at one node. It returns the time until all nodes have
// it and the largest number of gossip hops.
func measureSpread(b *testing.B, f *fleettest.Fleet, value byte) (took time.Duration, hops int) {
	b.Helper()
	origin := f.RunningNodes()[int(value)*7%len(f.RunningNodes())]
	hopsFromOrigin := map[string]int{}
	f.OnItemChanged = func(n *fleettest.Node, item gossip.Item, from string) {
		if item.Topic == gossip.TopicConfig {
			if from != "" {
				hopsFromOrigin[n.Self().Address] = hopsFromOrigin[from] + 1
			} else {
				hopsFromOrigin[n.Self().Address] = 0
			}
			hops = max(hops, hopsFromOrigin[n.Self().Address])
		}
	}
	payload := make([]byte, 64)
	payload[0] = value
	f.StepGossip(origin, gossip.Published{Item: gossip.Item{Topic: gossip.TopicConfig, Key: "head", Payload: payload}})
	took, ok := f.AdvanceUntil(time.Millisecond, reachTimeout, func() bool { return len(hopsFromOrigin) == len(f.RunningNodes()) })
	if !ok {
		b.Fatalf("the change reached %d of %d nodes in %v", len(hopsFromOrigin), len(f.RunningNodes()), reachTimeout)
	}
	f.OnItemChanged = nil
	return took, hops
}
