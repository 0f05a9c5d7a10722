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
	// connectionTime is shorter than the time after which unused connections close.
	connectionTime = 10 * time.Second
)

// BenchmarkCallConnections reports what open call connections cost an entry
// node between calls: heap, wire bytes and CPU per connection, both ends
// together in one process. An entry node of a large fleet reaches many target
// nodes. Run it with -benchtime 1x.
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
	entry := startTransport(b, authority, "entry")
	addresses := make([]string, 0, peers)
	for i := range peers {
		target := startTransport(b, authority, fmt.Sprintf("target-%d", i))
		target.HandleCalls(answerCall)
		addresses = append(addresses, target.Address())
	}
	before := heap()
	body := make([]byte, callBytes)
	for _, address := range addresses {
		if err := makeCall(ctx, entry, address, body); err != nil {
			b.Fatal(err)
		}
	}
	held := heap() - before
	sent, cpu := entry.Stats().Calls.SentBytes, cpuTime(b)
	time.Sleep(connectionTime)
	perSecond := connectionTime.Seconds() * float64(peers)
	b.ReportMetric(float64(held)/float64(peers)/2/1000, "heap-KB/end")
	b.ReportMetric(float64(entry.Stats().Calls.SentBytes-sent)/perSecond, "sent-B/conn/s")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/perSecond/2, "cpu-%/end")
}

// heap returns the live bytes after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
