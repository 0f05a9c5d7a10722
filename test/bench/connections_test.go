package bench

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/testcerts"
)

const (
	// connectionIdleTime is shorter than the idle timeout of connections.
	connectionIdleTime = 10 * time.Second
)

// BenchmarkCallConnections reports the heap, sent bytes and CPU time that an idle call
// connection takes. An entry node of a large fleet keeps connections to many target
// nodes. Both ends run in one process. Run it with -benchtime 1x.
func BenchmarkCallConnections(b *testing.B) {
	for _, peers := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			for b.Loop() {
				measureConnections(b, peers)
			}
		})
	}
}

func measureConnections(b *testing.B, peers int) {
	authority, err := testcerts.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entryNode := startTransport(b, authority, "entry")
	addresses := make([]string, 0, peers)
	for i := range peers {
		target := startTransport(b, authority, fmt.Sprintf("target-%d", i))
		target.HandleCalls(echoCall)
		addresses = append(addresses, target.Address())
	}
	before := liveHeapBytes()
	body := make([]byte, callBytes)
	for _, address := range addresses {
		if err := makeCall(ctx, entryNode, address, body); err != nil {
			b.Fatal(err)
		}
	}
	heapBytes := liveHeapBytes() - before
	sent, cpu := entryNode.Stats().Calls.SentBytes, cpuTime(b)
	time.Sleep(connectionIdleTime)
	perSecond := connectionIdleTime.Seconds() * float64(peers)
	b.ReportMetric(float64(heapBytes)/float64(peers)/2/1000, "heap-KB/end")
	b.ReportMetric(float64(entryNode.Stats().Calls.SentBytes-sent)/perSecond, "sent-B/conn/s")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/perSecond/2, "cpu-%/end")
}

// liveHeapBytes returns the bytes of heap and stacks in use after a garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
