package distribution_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/platform/objectapi"
	"gotest.tools/v3/assert"
)

const (
	benchServices       = 40
	benchChanges        = 10
	benchChangeInterval = time.Second
	benchRegions        = 3
)

// BenchmarkPlatformCalls measures the calls to the platform per second, by resource,
// while 1 change a second is made to a configuration of 40 services; each change
// replaces one part. It compares nodes that distribute versions among themselves
// ("distribution") with nodes that each watch the platform ("plain"). Run it with
// -benchtime 1x.
func BenchmarkPlatformCalls(b *testing.B) {
	for _, nodes := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("distribution/nodes=%d", nodes), func(b *testing.B) { benchDistribution(b, nodes) })
		b.Run(fmt.Sprintf("plain/nodes=%d", nodes), func(b *testing.B) { benchDirectWatch(b, nodes) })
	}
}

func benchDistribution(b *testing.B, count int) {
	f := newFleet(b)
	var nodes []*node
	for i := range count {
		nodes = append(nodes, f.add(func(o *distribution.Options) {
			o.Region = fmt.Sprint("region-", i%benchRegions)
			o.LeaseDuration, o.RenewInterval = distribution.DefaultLeaseDuration, distribution.DefaultRenewInterval
			if i < benchRegions {
				asReaderCandidate(o)
			}
		}))
	}
	for _, n := range nodes[:benchRegions] {
		f.awaitReader(n)
	}
	measure(b, f, nodes[count-1], count, func(version uint64) { f.awaitVersion(version, nodes...) })
	b.ReportMetric(float64(f.payloadBytes.Load())/float64(count)/float64(benchChanges*b.N), "peerB/node/change")
}

func benchDirectWatch(b *testing.B, count int) {
	f := newFleet(b)
	writer := f.add(nil)
	ctx, cancel := context.WithCancel(b.Context())
	var group sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		group.Wait()
	})
	versions := make([]atomic.Uint64, count-1)
	for i := range versions {
		client, err := objectapi.New(objectapi.Options{BaseURL: f.url})
		assert.NilError(b, err)
		group.Go(func() {
			defer client.Close()
			for ctx.Err() == nil {
				_ = distribution.WatchPlatform(ctx, client, versions[i].Store)
			}
		})
	}
	f.await("all watches", func() bool { return f.fakePlatform.ActiveWatches() == count-1 })
	measure(b, f, writer, count, func(version uint64) {
		for i := range versions {
			f.await("all nodes to reach the version", func() bool { return versions[i].Load() >= version })
		}
	})
}

// measure applies changes at a fixed rate and reports the rate of platform calls and
// the convergence time.
func measure(b *testing.B, f *fleet, writer *node, count int, await func(version uint64)) {
	content := config(benchServices, "v1")
	version := applyConfig(b, writer, 0, content)
	await(version)
	f.payloadBytes.Store(0)
	before, started := f.fakePlatform.CallCounts(), time.Now()
	var convergenceTime time.Duration
	b.ResetTimer()
	for range b.N {
		ticker := time.NewTicker(benchChangeInterval)
		for range benchChanges {
			content.Services[0].Version = fmt.Sprint("v", version+1)
			accepted := time.Now()
			version = applyConfig(b, writer, version, content)
			await(version)
			convergenceTime += time.Since(accepted)
			<-ticker.C
		}
		ticker.Stop()
	}
	b.StopTimer()
	seconds := time.Since(started).Seconds()
	calls := make(map[string]float64)
	for call, n := range f.fakePlatform.CallCounts() {
		verb, resource, _ := strings.Cut(call, " ")
		kind := map[bool]string{true: "reads", false: "writes"}[verb == "get" || verb == "list" || verb == "watch"]
		calls[resource+"-"+kind+"/s"] += float64(n-before[call]) / seconds
	}
	for name, rate := range calls {
		b.ReportMetric(rate, name)
	}
	b.ReportMetric(float64(f.fakePlatform.ActiveWatches()), "watches")
	b.ReportMetric(convergenceTime.Seconds()*1000/float64(benchChanges*b.N), "ms/change")
	b.ReportMetric(0, "ns/op")
}

func applyConfig(b *testing.B, n *node, base uint64, content dynamic.Config) uint64 {
	result, err := n.Apply(b.Context(), distribution.ApplyRequest{
		Config: content, ChangeID: fmt.Sprint("change-", base), BaseVersion: base,
	})
	assert.NilError(b, err)
	return result.Version
}
