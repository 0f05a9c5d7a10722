package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/transport"
)

// callPath is one of several ways to call the same target, with the latencies of its
// calls.
type callPath struct {
	name        string
	url         string
	mu          sync.Mutex
	histogram   *hdrhistogram.Histogram
	failedCalls int
	// lastFailure describes the last failed call.
	lastFailure string
}

func (p *callPath) call(client *http.Client) {
	request, err := http.NewRequest("GET", p.url+"/look/up?item=1", nil)
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+testCustomerKey)
	request.Header.Set(headerService, "stock")
	started := time.Now()
	response, err := client.Do(request)
	isSuccess, failure := false, fmt.Sprint(err)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		isSuccess = response.StatusCode == http.StatusOK && err == nil
		failure = fmt.Sprint(string(data), err)
		response.Body.Close()
	}
	latency := time.Since(started)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isSuccess {
		p.failedCalls++
		p.lastFailure = failure
		return
	}
	_ = p.histogram.RecordValue(latency.Nanoseconds())
}

// BenchmarkAddedTime measures the latency that nodes add to a call. Calls arrive at
// random times at a given rate and go in turn directly to the target, through the
// target's own node, and over one hop. The direct calls of the same run are the
// baseline. Client, nodes and target share one process, so the figures include their
// contention.
func BenchmarkAddedTime(b *testing.B) {
	for _, rate := range []int{300, 1500, 6000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { runAddedTime(b, rate) })
	}
}

func runAddedTime(b *testing.B, rate int) {
	f := newFleet(b, "a", "b")
	target := f.nodes[0].newTarget(testtarget.Options{Slots: 256}, testtarget.Behavior{})
	paths := []*callPath{
		{name: "direct", url: "http://" + target.Address()},
		{name: "local", url: f.nodes[0].callServer.URL},
		{name: "hop", url: f.nodes[1].callServer.URL},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	for range 300 {
		for _, p := range paths {
			p.histogram = hdrhistogram.New(1, int64(time.Minute), 3)
			p.call(client)
		}
	}
	for _, p := range paths {
		p.histogram.Reset()
	}
	b.ResetTimer()
	var wg sync.WaitGroup
	next := time.Now()
	for i := range b.N {
		next = next.Add(time.Duration(rand.ExpFloat64() / float64(rate) * float64(time.Second)))
		time.Sleep(time.Until(next))
		wg.Go(func() { paths[i%len(paths)].call(client) })
	}
	wg.Wait()
	b.StopTimer()
	direct := paths[0].histogram
	for _, p := range paths {
		assert.Equal(b, p.failedCalls, 0, "%s: %s", p.name, p.lastFailure)
		for _, percentile := range []float64{50, 99} {
			value := p.histogram.ValueAtPercentile(percentile)
			b.ReportMetric(float64(value)/1e3, fmt.Sprintf("%s-p%.0f-µs", p.name, percentile))
			if p != paths[0] {
				added := value - direct.ValueAtPercentile(percentile)
				b.ReportMetric(float64(added)/1e3, fmt.Sprintf("%s-added-p%.0f-µs", p.name, percentile))
			}
		}
	}
}

// BenchmarkHop measures the CPU time and allocations of complete calls over one hop,
// including those of the client and the target.
func BenchmarkHop(b *testing.B) {
	f := newFleet(b, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{Slots: 256}, testtarget.Behavior{})
	p := &callPath{url: f.nodes[1].callServer.URL, histogram: hdrhistogram.New(1, int64(time.Minute), 3)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		p.call(client)
	}
	assert.Equal(b, p.failedCalls, 0, p.lastFailure)
}

// BenchmarkStreamEcho measures the transport alone, with streams of 300 bytes in each
// direction, which is the size of a short call.
func BenchmarkStreamEcho(b *testing.B) {
	f := newFleet(b, "a", "b")
	f.nodes[0].quicTransport.HandleCalls(func(_ context.Context, _ transport.Peer, s transport.Stream) {
		_, _ = io.Copy(s, s)
		_ = s.CloseWrite()
	})
	data := make([]byte, 300)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s, err := f.nodes[1].quicTransport.OpenCall(context.Background(), f.nodes[0].quicTransport.Address())
		assert.NilError(b, err)
		_, _ = s.Write(data)
		_ = s.CloseWrite()
		_, err = io.ReadAll(s)
		assert.NilError(b, err)
	}
}
