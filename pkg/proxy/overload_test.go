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

// Size of the overload measurement.
const (
	overloadSlots   = 6
	overloadService = 10 * time.Millisecond
	overloadPatient = "100"
)

// BenchmarkOverload offers calls over one hop at multiples of what one target
// can do, in real time, and reports the good answers per capacity and how the
// other calls ended. One iteration is one call.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) { measureOverload(b, load) })
	}
}

func measureOverload(b *testing.B, load float64) {
	f := newFleet(b, "a", "b")
	f.nodes[0].target(testtarget.Options{Slots: overloadSlots},
		testtarget.Behavior{ServiceTime: overloadService, RealSlots: overloadSlots})
	client := &http.Transport{MaxIdleConnsPerHost: 1024}
	defer client.CloseIdleConnections()
	var good, notRun, mayHaveRun atomic.Int64
	call := func() {
		r := f.nodes[1].through(client, f.nodes[1].http.URL, "POST", "/pay", nil, headerTimeout, overloadPatient)
		switch {
		case r.err == nil && r.StatusCode == http.StatusOK:
			good.Add(1)
		case r.err == nil && r.Header.Get(headerVerdict) == "not-run":
			notRun.Add(1)
		default:
			mayHaveRun.Add(1)
		}
	}
	for range 20 {
		call()
	}
	good.Store(0)
	capacity := overloadSlots / overloadService.Seconds()
	b.ResetTimer()
	started := time.Now()
	next := started
	var wg sync.WaitGroup
	for range b.N {
		next = next.Add(time.Duration(rand.ExpFloat64() / (capacity * load) * float64(time.Second)))
		time.Sleep(time.Until(next))
		wg.Go(call)
	}
	offered := time.Since(started).Seconds()
	wg.Wait()
	b.ReportMetric(float64(good.Load())/(offered*capacity), "good/capacity")
	b.ReportMetric(float64(notRun.Load())/float64(b.N), "not-run/call")
	b.ReportMetric(float64(mayHaveRun.Load())/float64(b.N), "may-have-run/call")
}
