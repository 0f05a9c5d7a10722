// Command demo starts a small deployment as processes and applies lists. It moves one
// service to a good target version, checks that a bad version of another is rolled back,
// and shuts a node down under load. It exits with code 1 if a check fails.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/azurespring/azurespring/internal/testcluster"
)

// runTimeout ends a run that hangs.
const runTimeout = 10 * time.Minute

func main() {
	binaries := flag.String("bin", "bin", "`directory` of the built programs")
	examples := flag.String("lists", "examples/tatrasoft", "`directory` of the lists")
	endpointsPerService := flag.Int("endpoints", 3, "endpoints of each service")
	finishIn := flag.Duration("finish", 75*time.Second, "time in which the moves must end")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	os.Exit(run(ctx, options{
		binaries: testcluster.BinariesIn(*binaries), listDir: *examples, endpointsPerService: *endpointsPerService, finishIn: *finishIn,
	}))
}

type options struct {
	binaries            testcluster.Binaries
	listDir             string
	endpointsPerService int
	finishIn            time.Duration
}

func run(ctx context.Context, o options) int {
	dir, err := os.MkdirTemp("", "azurespring-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	d := &demo{options: o, dir: dir}
	defer d.close()
	err = d.run(ctx)
	d.summary.OK = err == nil && len(d.summary.Failures) == 0
	if err != nil {
		d.fail("%v", err)
	}
	line, _ := json.Marshal(d.summary)
	fmt.Println(string(line))
	if !d.summary.OK {
		return 1
	}
	return 0
}
