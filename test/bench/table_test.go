package bench

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/membership"
)

// memberRecords returns the member records of a fleet of one target per node.
func memberRecords(b *testing.B, size int) (items []gossip.Item) {
	b.Helper()
	for i := range size {
		item, err := membership.EncodeMember(membership.Member{
			Instance: fmt.Sprintf("instance-%08x", i*2654435761), Incarnation: 1_700_000_000_000 + uint64(i), Sequence: 4,
			State: membership.Alive, Address: fmt.Sprintf("10.%d.%d.%d:7400", i%4, i/250, i%250),
			AdminAddress: fmt.Sprintf("10.%d.%d.%d:7401", i%4, i/250, i%250), Region: fmt.Sprintf("region-%d", i%4),
			FailureDomain: fmt.Sprintf("domain-%d", i%14), ProtocolVersion: 1,
			Targets: []membership.Target{{
				ID: "target", Service: fmt.Sprintf("service-%d", i%320), Version: "v12", Slots: 18,
				State: membership.Ready, Warmup: time.Minute, ReadySince: time.UnixMilli(1_700_000_000_000 + int64(i)),
			}},
		})
		if err != nil {
			b.Fatal(err)
		}
		items = append(items, item)
	}
	return items
}

// BenchmarkMemberTable reports the time in which a joining node applies the member records
// of a fleet (ns/op, gossip and membership), the heap of the two tables and one view, and
// the size of the records in the reply to the join.
func BenchmarkMemberTable(b *testing.B) {
	for _, size := range []int{950, 1900, 3800} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			items := memberRecords(b, size)
			encoded, err := cbor.Marshal(items)
			if err != nil {
				b.Fatal(err)
			}
			compressor, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var g *gossip.Reducer
			var m *membership.Reducer
			var view []membership.Effect
			for b.Loop() {
				var received []gossip.Item
				if err := cbor.Unmarshal(encoded, &received); err != nil {
					b.Fatal(err)
				}
				g, m, view = applyRecords(received)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
			b.ReportMetric(float64(len(encoded)), "records-B")
			b.ReportMetric(float64(len(compressor.EncodeAll(encoded, nil))), "compressed-B")
			runtime.KeepAlive(g)
			runtime.KeepAlive(m)
			runtime.KeepAlive(view)
		})
	}
}

func applyRecords(items []gossip.Item) (*gossip.Reducer, *membership.Reducer, []membership.Effect) {
	now := time.UnixMilli(1_700_000_100_000)
	g := gossip.NewReducer("10.0.0.1:1", 1)
	g.RegisterTopic(gossip.TopicMembers, membership.MergeRecords, membership.RecordExpiry)
	m := membership.NewReducer(membership.ReducerOptions{
		Self: membership.Member{Instance: "self", Address: "10.0.0.1:1", Region: "region-0"}, BootTime: now,
	})
	var members []membership.Member
	for _, effect := range g.Step(now, gossip.Received{Message: gossip.Message{From: "seed", Items: items}}) {
		if changed, ok := effect.(gossip.NotifySubscriber); ok {
			if record, err := membership.DecodeMember(changed.Item.Payload); err == nil {
				members = append(members, record)
			}
		}
	}
	return g, m, m.Step(now, membership.RecordsChanged{Members: members})
}
