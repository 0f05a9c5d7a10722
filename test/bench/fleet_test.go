// Package bench measures how costs grow with the size of the fleet.
package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/fleettest"
	"github.com/azurespring/azurespring/pkg/gossip"
)

const (
	regions   = 4
	idleTime  = 30 * time.Second
	changes   = 10
	settle    = 10 * time.Second
	reachTime = 20 * time.Second
)

func total(f *fleettest.Fleet) (sum fleettest.Traffic) {
	for _, n := range f.RunningNodes() {
		sum.Messages += n.Traffic.Messages
		sum.Bytes += n.Traffic.Bytes
		sum.CrossRegionBytes += n.Traffic.CrossRegionBytes
		sum.Pings += n.Traffic.Pings
	}
	return sum
}

// BenchmarkFleet reports what gossip and membership of one node send, in
// payload bytes, and how a change of the configuration version spreads. All
// times but ns/op are virtual. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				measure(b, size)
			}
		})
	}
}

func measure(b *testing.B, size int) {
	f := fleettest.New(uint64(size))
	f.AddNodes(size, regions)
	f.Advance(time.Minute)
	nodes := float64(size)

	before := total(f)
	f.Advance(idleTime)
	idle := total(f)
	seconds := idleTime.Seconds() * nodes
	b.ReportMetric(float64(idle.Messages-before.Messages)/seconds, "idle-msg/node/s")
	b.ReportMetric(float64(idle.Pings-before.Pings)/seconds, "pings/node/s")
	b.ReportMetric(float64(idle.Bytes-before.Bytes)/seconds, "idle-B/node/s")
	b.ReportMetric(float64(idle.CrossRegionBytes-before.CrossRegionBytes)/idleTime.Seconds(), "idle-cross-region-B/s")

	var slowest, sum time.Duration
	hops, sumHops := 0, 0
	for i := range changes {
		took, far := spread(b, f, byte(i+1))
		slowest, hops = max(slowest, took), max(hops, far)
		sum, sumHops = sum+took, sumHops+far
		f.Advance(settle)
	}
	after := total(f)
	idleShare := float64(sum+changes*settle) / float64(idleTime)
	extra := float64(after.Bytes-idle.Bytes) - idleShare*float64(idle.Bytes-before.Bytes)
	extraMessages := float64(after.Messages-idle.Messages) - idleShare*float64(idle.Messages-before.Messages)
	b.ReportMetric(extra/changes/nodes, "change-B/node")
	b.ReportMetric(extraMessages/changes/nodes, "change-msg/node")
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-reach-ms")
	b.ReportMetric(float64(sum.Milliseconds())/changes, "mean-reach-ms")
	b.ReportMetric(float64(hops), "most-hops")
	b.ReportMetric(float64(sumHops)/changes, "mean-hops")
}

// spread publishes a change at one node and returns when the last node has it,
// and over how many hops.
func spread(b *testing.B, f *fleettest.Fleet, value byte) (took time.Duration, hops int) {
	b.Helper()
	origin := f.RunningNodes()[int(value)*7%len(f.RunningNodes())]
	distance := map[string]int{}
	f.OnItemChanged = func(n *fleettest.Node, item gossip.Item, from string) {
		if item.Topic == gossip.TopicConfig {
			if from != "" {
				distance[n.Self().Address] = distance[from] + 1
			} else {
				distance[n.Self().Address] = 0
			}
			hops = max(hops, distance[n.Self().Address])
		}
	}
	payload := make([]byte, 64)
	payload[0] = value
	f.StepGossip(origin, gossip.Published{Item: gossip.Item{Topic: gossip.TopicConfig, Key: "head", Payload: payload}})
	took, ok := f.AdvanceUntil(time.Millisecond, reachTime, func() bool { return len(distance) == len(f.RunningNodes()) })
	if !ok {
		b.Fatalf("the change reached %d of %d nodes in %v", len(distance), len(f.RunningNodes()), reachTime)
	}
	f.OnItemChanged = nil
	return took, hops
}
