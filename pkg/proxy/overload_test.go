package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/testtarget"
)

// Parameters of the overload benchmark.
const (
	overloadSlots         = 6
	overloadServiceTime   = 10 * time.Millisecond
	overloadTimeoutMillis = "100"
)

// BenchmarkOverload sends calls over one hop at multiples of the capacity of one
// target, in real time. It reports the successful calls relative to the capacity and
// the verdicts of the other calls. One iteration is one call.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) { runOverload(b, load) })
	}
}

func runOverload(b *testing.B, load float64) {
	f := newFleet(b, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{Slots: overloadSlots},
		testtarget.Behavior{ServiceTime: overloadServiceTime, RealSlots: overloadSlots})
	client := &http.Transport{MaxIdleConnsPerHost: 1024}
	defer client.CloseIdleConnections()
	var successful, notRun, mayHaveRun atomic.Int64
	call := func() {
		r := f.nodes[1].sendVia(client, f.nodes[1].callServer.URL, "POST", "/pay", nil, headerTimeout, overloadTimeoutMillis)
		switch {
		case r.err == nil && r.StatusCode == http.StatusOK:
			successful.Add(1)
		case r.err == nil && r.Header.Get(headerVerdict) == "not-run":
			notRun.Add(1)
		default:
			mayHaveRun.Add(1)
		}
	}
	for range 20 {
		call()
	}
	successful.Store(0)
	capacity := overloadSlots / overloadServiceTime.Seconds()
	b.ResetTimer()
	started := time.Now()
	next := started
	var wg sync.WaitGroup
	for range b.N {
		next = next.Add(time.Duration(rand.ExpFloat64() / (capacity * load) * float64(time.Second)))
		time.Sleep(time.Until(next))
		wg.Go(call)
	}
	offeredSeconds := time.Since(started).Seconds()
	wg.Wait()
	b.ReportMetric(float64(successful.Load())/(offeredSeconds*capacity), "good/capacity")
	b.ReportMetric(float64(notRun.Load())/float64(b.N), "not-run/call")
	b.ReportMetric(float64(mayHaveRun.Load())/float64(b.N), "may-have-run/call")
}
