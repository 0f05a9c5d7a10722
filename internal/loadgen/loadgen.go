// Package loadgen sends a bounded number of calls to nodes and keeps the
// outcome of each, for tests, the demo and measurements.
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// Options describes a run. Calls go to Nodes in turn.
type Options struct {
	// Nodes are caller addresses (host:port).
	Nodes   []string
	Service string
	Method  string
	Path    string
	// CustomerKey is the customer's key.
	CustomerKey string
	Body        []byte
	// Header is added to each call.
	Header http.Header
	// IdempotencyKeys gives each call its own idempotency key.
	IdempotencyKeys bool
	// MaxRetries sends a call again to the next node while its outcome is unknown or
	// it did not run, up to this number of times.
	MaxRetries int
	// CallsPerSecond is calls per second; 0 means as fast as Workers allow.
	CallsPerSecond float64
	Concurrency    int
	CallCount      int
	Timeout        time.Duration
	Client         *http.Client
}

// Attempt is one sending of a call.
type Attempt struct {
	RequestID string
	Status    int
	Code      verdict.Code
	Verdict   verdict.Verdict
	// LocalReply is set if the answer is a refusal or error of the system.
	LocalReply bool
	Version    string
	Latency    time.Duration
	Body       []byte
	// Err is set if no whole answer arrived.
	Err error
}

// Completed reports whether the target's whole answer arrived.
func (a Attempt) Completed() bool { return a.Err == nil && !a.LocalReply }

// Call is one call with all its attempts.
type Call struct {
	IdempotencyKey string
	Started        time.Time
	Attempts       []Attempt
	// Interrupted is set if the run was ended during the call.
	Interrupted bool
}

// LastAttempt returns the newest attempt.
func (c Call) LastAttempt() Attempt { return c.Attempts[len(c.Attempts)-1] }

// Result is what a run gave.
type Result struct {
	Calls   []Call
	Elapsed time.Duration
}

// LatencyPercentile returns the latency that p percent of the answered calls did not exceed.
func (r Result) LatencyPercentile(p float64) time.Duration {
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, call := range r.Calls {
		if last := call.LastAttempt(); last.Completed() {
			_ = histogram.RecordValue(last.Latency.Microseconds())
		}
	}
	return time.Duration(histogram.ValueAtPercentile(p)) * time.Microsecond
}

// CompletedCount counts the calls that ended with the target's whole answer.
func (r Result) CompletedCount() int {
	count := 0
	for _, call := range r.Calls {
		if call.LastAttempt().Completed() {
			count++
		}
	}
	return count
}

// CountByVersion counts whole answers by target version.
func (r Result) CountByVersion() map[string]int {
	counts := make(map[string]int)
	for _, call := range r.Calls {
		if last := call.LastAttempt(); last.Completed() {
			counts[last.Version]++
		}
	}
	return counts
}

// CountByCode counts the last refusals by code.
func (r Result) CountByCode() map[verdict.Code]int {
	counts := make(map[verdict.Code]int)
	for _, call := range r.Calls {
		if last := call.LastAttempt(); last.LocalReply {
			counts[last.Code]++
		}
	}
	return counts
}

// Run sends calls until Count are done or ctx ends.
func Run(ctx context.Context, o Options) Result {
	g := newGenerator(o)
	started := time.Now()
	var wg sync.WaitGroup
	for range max(1, o.Concurrency) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.work(ctx)
		}()
	}
	wg.Wait()
	return Result{Calls: g.calls, Elapsed: time.Since(started)}
}

type generator struct {
	options Options
	client  *http.Client
	limiter *rate.Limiter
	next    atomic.Int64

	mu    sync.Mutex
	calls []Call
}

func newGenerator(o Options) *generator {
	g := &generator{options: o, client: o.Client, limiter: rate.NewLimiter(rate.Inf, 1)}
	if o.CallsPerSecond > 0 {
		g.limiter = rate.NewLimiter(rate.Limit(o.CallsPerSecond), 1)
	}
	if g.client == nil {
		g.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(1, o.Concurrency), DisableCompression: true}}
	}
	return g
}

func (g *generator) work(ctx context.Context) {
	for ctx.Err() == nil {
		number := g.next.Add(1) - 1
		if number >= int64(g.options.CallCount) || g.limiter.Wait(ctx) != nil {
			return
		}
		call := g.call(ctx, int(number))
		call.Interrupted = ctx.Err() != nil && !call.LastAttempt().Completed()
		g.mu.Lock()
		g.calls = append(g.calls, call)
		g.mu.Unlock()
	}
}

func (g *generator) call(ctx context.Context, number int) Call {
	call := Call{Started: time.Now()}
	if g.options.IdempotencyKeys {
		call.IdempotencyKey = uuid.NewString()
	}
	for try := 0; ; try++ {
		attempt := g.attempt(ctx, g.options.Nodes[(number+try)%len(g.options.Nodes)], call.IdempotencyKey)
		call.Attempts = append(call.Attempts, attempt)
		if attempt.Completed() || try >= g.options.MaxRetries || ctx.Err() != nil {
			return call
		}
	}
}

func (g *generator) attempt(ctx context.Context, node, key string) Attempt {
	attempt := Attempt{RequestID: uuid.NewString()}
	timeout := g.options.Timeout
	if timeout <= 0 {
		timeout = 10 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, g.options.Method, "http://"+node+g.options.Path, bytes.NewReader(g.options.Body))
	if err != nil {
		attempt.Err = err
		return attempt
	}
	g.setHeader(request, attempt.RequestID, key, timeout)
	started := time.Now()
	response, err := g.client.Do(request)
	if err != nil {
		attempt.Err = err
		return attempt
	}
	defer response.Body.Close()
	attempt.Body, attempt.Err = io.ReadAll(response.Body)
	attempt.Latency = time.Since(started)
	attempt.readHeader(response)
	return attempt
}

func (g *generator) setHeader(request *http.Request, id, key string, timeout time.Duration) {
	for name, values := range g.options.Header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+g.options.CustomerKey)
	request.Header.Set("Azurespring-Service", g.options.Service)
	request.Header.Set("Azurespring-Request-Id", id)
	request.Header.Set("Azurespring-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
}

func (a *Attempt) readHeader(response *http.Response) {
	a.Status = response.StatusCode
	a.Version = response.Header.Get("Azurespring-Version")
	text := response.Header.Get("Azurespring-Verdict")
	if text == "" {
		return
	}
	a.LocalReply = true
	a.Verdict = verdict.Parse(text)
	var problem struct {
		Code verdict.Code `json:"code"`
	}
	_ = json.Unmarshal(a.Body, &problem)
	a.Code = problem.Code
}
