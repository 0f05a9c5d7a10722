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

// path is one way to the same target.
type path struct {
	name      string
	url       string
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
	// failure describes the last failed call.
	failure string
}

func (p *path) call(client *http.Client) {
	request, err := http.NewRequest("GET", p.url+"/look/up?item=1", nil)
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set(headerService, "stock")
	started := time.Now()
	response, err := client.Do(request)
	ok, failure := false, fmt.Sprint(err)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		ok = response.StatusCode == http.StatusOK && err == nil
		failure = fmt.Sprint(string(data), err)
		response.Body.Close()
	}
	taken := time.Since(started)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.failed++
		p.failure = failure
		return
	}
	_ = p.histogram.RecordValue(taken.Nanoseconds())
}

// BenchmarkAddedTime measures calls that arrive at random times at a given rate
// and go in turn directly to the target, through the node beside it, and over
// one hop. Direct calls in the same run are the base. Client, nodes and target
// share one process, so the figures include their contention.
func BenchmarkAddedTime(b *testing.B) {
	for _, rate := range []int{300, 1500, 6000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { measureAddedTime(b, rate) })
	}
}

func measureAddedTime(b *testing.B, rate int) {
	f := newFleet(b, "a", "b")
	target := f.nodes[0].target(testtarget.Options{Slots: 256}, testtarget.Behavior{})
	paths := []*path{
		{name: "direct", url: "http://" + target.Address()},
		{name: "local", url: f.nodes[0].http.URL},
		{name: "hop", url: f.nodes[1].http.URL},
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
		assert.Equal(b, p.failed, 0, "%s: %s", p.name, p.failure)
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

// BenchmarkHop measures the processor time and allocations of whole calls over
// one hop, client and target included.
func BenchmarkHop(b *testing.B) {
	f := newFleet(b, "a", "b")
	f.nodes[0].target(testtarget.Options{Slots: 256}, testtarget.Behavior{})
	p := &path{url: f.nodes[1].http.URL, histogram: hdrhistogram.New(1, int64(time.Minute), 3)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		p.call(client)
	}
	assert.Equal(b, p.failed, 0, p.failure)
}

// BenchmarkStreamEcho measures the transport alone: a stream of 300 bytes each
// way, as a short call has.
func BenchmarkStreamEcho(b *testing.B) {
	f := newFleet(b, "a", "b")
	f.nodes[0].quic.HandleCalls(func(_ context.Context, _ transport.Peer, s transport.Stream) {
		_, _ = io.Copy(s, s)
		_ = s.CloseWrite()
	})
	data := make([]byte, 300)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s, err := f.nodes[1].quic.OpenCall(context.Background(), f.nodes[0].quic.Address())
		assert.NilError(b, err)
		_, _ = s.Write(data)
		_ = s.CloseWrite()
		_, err = io.ReadAll(s)
		assert.NilError(b, err)
	}
}
