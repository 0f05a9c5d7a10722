// Package loadgen sends a fixed number of calls to nodes and records the outcome of
// each, for tests, the demo and measurements.
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

// Options configures a run. Calls go to Nodes in round-robin order.
type Options struct {
	// Nodes are caller addresses (host:port).
	Nodes   []string
	Service string
	Method  string
	Path    string
	// CustomerKey is the customer's key, sent as a bearer token.
	CustomerKey string
	Body        []byte
	// Header is added to each call.
	Header http.Header
	// IdempotencyKeys gives each call its own idempotency key.
	IdempotencyKeys bool
	// MaxRetries is the maximum number of retries of a call whose outcome is unknown or
	// that did not run. Each retry goes to the next node.
	MaxRetries int
	// CallsPerSecond limits the rate of calls; 0 means as fast as Concurrency allows.
	CallsPerSecond float64
	Concurrency    int
	CallCount      int
	// Timeout bounds each attempt; 0 means 10 s.
	Timeout time.Duration
	Client  *http.Client
}

// Attempt is one attempt of a call.
type Attempt struct {
	RequestID string
	Status    int
	Code      verdict.Code
	Verdict   verdict.Verdict
	// LocalReply is set if a node made the response, as a rejection or an error.
	LocalReply bool
	Version    string
	Latency    time.Duration
	Body       []byte
	// Err is set if no complete response arrived.
	Err error
}

// Completed reports whether the target's complete response arrived.
func (a Attempt) Completed() bool { return a.Err == nil && !a.LocalReply }

// Call is one call with all its attempts.
type Call struct {
	IdempotencyKey string
	Started        time.Time
	Attempts       []Attempt
	// Interrupted is set if the run ended during the call.
	Interrupted bool
}

// LastAttempt returns the newest attempt.
func (c Call) LastAttempt() Attempt { return c.Attempts[len(c.Attempts)-1] }

// Result is the result of a run.
type Result struct {
	Calls   []Call
	Elapsed time.Duration
}

// LatencyPercentile returns the latency at percentile p of the completed calls.
func (r Result) LatencyPercentile(p float64) time.Duration {
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, call := range r.Calls {
		if last := call.LastAttempt(); last.Completed() {
			_ = histogram.RecordValue(last.Latency.Microseconds())
		}
	}
	return time.Duration(histogram.ValueAtPercentile(p)) * time.Microsecond
}

// CompletedCount returns the number of calls that ended with the target's complete
// response.
func (r Result) CompletedCount() int {
	count := 0
	for _, call := range r.Calls {
		if call.LastAttempt().Completed() {
			count++
		}
	}
	return count
}

// CountByVersion counts completed calls by target version.
func (r Result) CountByVersion() map[string]int {
	counts := make(map[string]int)
	for _, call := range r.Calls {
		if last := call.LastAttempt(); last.Completed() {
			counts[last.Version]++
		}
	}
	return counts
}

// CountByCode counts calls that ended with a local reply by its code.
func (r Result) CountByCode() map[verdict.Code]int {
	counts := make(map[verdict.Code]int)
	for _, call := range r.Calls {
		if last := call.LastAttempt(); last.LocalReply {
			counts[last.Code]++
		}
	}
	return counts
}

// Run sends calls until CallCount are done or ctx ends.
func Run(ctx context.Context, o Options) Result {
	g := newGenerator(o)
	started := time.Now()
	var wg sync.WaitGroup
	for range max(1, o.Concurrency) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.runWorker(ctx)
		}()
	}
	wg.Wait()
	return Result{Calls: g.calls, Elapsed: time.Since(started)}
}

type generator struct {
	options  Options
	client   *http.Client
	limiter  *rate.Limiter
	nextCall atomic.Int64

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

func (g *generator) runWorker(ctx context.Context) {
	for ctx.Err() == nil {
		number := g.nextCall.Add(1) - 1
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

func (g *generator) call(ctx context.Context, callNumber int) Call {
	call := Call{Started: time.Now()}
	if g.options.IdempotencyKeys {
		call.IdempotencyKey = uuid.NewString()
	}
	for retries := 0; ; retries++ {
		attempt := g.attempt(ctx, g.options.Nodes[(callNumber+retries)%len(g.options.Nodes)], call.IdempotencyKey)
		call.Attempts = append(call.Attempts, attempt)
		if attempt.Completed() || retries >= g.options.MaxRetries || ctx.Err() != nil {
			return call
		}
	}
}

func (g *generator) attempt(ctx context.Context, node, idempotencyKey string) Attempt {
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
	g.setRequestHeader(request, attempt.RequestID, idempotencyKey, timeout)
	started := time.Now()
	response, err := g.client.Do(request)
	if err != nil {
		attempt.Err = err
		return attempt
	}
	defer response.Body.Close()
	attempt.Body, attempt.Err = io.ReadAll(response.Body)
	attempt.Latency = time.Since(started)
	attempt.recordResponse(response)
	return attempt
}

func (g *generator) setRequestHeader(request *http.Request, requestID, idempotencyKey string, timeout time.Duration) {
	for name, values := range g.options.Header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+g.options.CustomerKey)
	request.Header.Set("Azurespring-Service", g.options.Service)
	request.Header.Set("Azurespring-Request-Id", requestID)
	request.Header.Set("Azurespring-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
}

func (a *Attempt) recordResponse(response *http.Response) {
	a.Status = response.StatusCode
	a.Version = response.Header.Get("Azurespring-Version")
	verdictText := response.Header.Get("Azurespring-Verdict")
	if verdictText == "" {
		return
	}
	a.LocalReply = true
	a.Verdict = verdict.Parse(verdictText)
	var problem struct {
		Code verdict.Code `json:"code"`
	}
	_ = json.Unmarshal(a.Body, &problem)
	a.Code = problem.Code
}
