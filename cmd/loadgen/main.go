// Command loadgen is a load generator for tests: it sends a fixed number of calls to
// nodes and prints a JSON summary.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/azurespring/azurespring/internal/loadgen"
)

func main() {
	var o loadgen.Options
	nodes := flag.String("nodes", "", "comma-separated caller `addresses` of nodes")
	flag.StringVar(&o.Service, "service", "", "service `name`")
	flag.StringVar(&o.Method, "method", "GET", "HTTP `method`")
	flag.StringVar(&o.Path, "path", "/", "request `path`")
	flag.StringVar(&o.CustomerKey, "key", "", "customer's `key`")
	flag.BoolVar(&o.IdempotencyKeys, "keyed", false, "give each call an idempotency key")
	flag.IntVar(&o.MaxRetries, "resend", 0, "times a call without an answer is sent again")
	flag.Float64Var(&o.CallsPerSecond, "rate", 0, "calls per second; 0 is unlimited")
	flag.IntVar(&o.Concurrency, "workers", 4, "calls in flight")
	flag.IntVar(&o.CallCount, "count", 1000, "number of calls")
	flag.DurationVar(&o.Timeout, "timeout", 10*time.Second, "time limit of a call")
	flag.Parse()
	o.Nodes = strings.Split(*nodes, ",")

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result := loadgen.Run(ctx, o)
	_ = json.NewEncoder(os.Stdout).Encode(map[string]any{
		"calls": len(result.Calls), "ok": result.CompletedCount(), "versions": result.CountByVersion(), "codes": result.CountByCode(),
		"p50us": result.LatencyPercentile(50).Microseconds(), "p99us": result.LatencyPercentile(99).Microseconds(),
		"elapsedMs": result.Elapsed.Milliseconds(),
	})
}
