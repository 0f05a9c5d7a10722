// Command demo starts a small deployment as processes, applies lists, moves a
// good target version over, takes a bad one back, and checks what must hold.
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
	endpoints := flag.Int("endpoints", 3, "endpoints of each service")
	finish := flag.Duration("finish", 75*time.Second, "time in which the moves must end")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	os.Exit(run(ctx, options{
		binaries: testcluster.BinariesIn(*binaries), lists: *examples, endpoints: *endpoints, finish: *finish,
	}))
}

type options struct {
	binaries  testcluster.Binaries
	lists     string
	endpoints int
	finish    time.Duration
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
