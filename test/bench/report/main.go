// Command report measures the system with real processes: convergence time,
// control bytes, platform calls, CPU and memory of nodes over several fleet
// sizes. It prints tables and writes a JSON report.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/internal/testcluster"
)

// runTimeout ends a run that hangs.
const runTimeout = 30 * time.Minute

type settings struct {
	binaries     testcluster.Binaries
	sizes        []int
	changeCount  int
	idleDuration time.Duration
	listDir      string
}

// report is the content of the JSON report.
type report struct {
	Date    time.Time     `json:"date"`
	Cores   int           `json:"cores"`
	Changes int           `json:"changes"`
	Sizes   []measurement `json:"sizes"`
}

func main() {
	bin := flag.String("bin", "bin", "`directory` of the built programs")
	sizes := flag.String("sizes", "12,24,48,96", "numbers of nodes")
	changeCount := flag.Int("changes", 10, "configuration changes per size")
	idleDuration := flag.Duration("idle", 15*time.Second, "length of the idle measurement")
	listDir := flag.String("lists", "examples/tatrasoft", "`directory` of the lists")
	out := flag.String("json", filepath.Join("out", "bench.json"), "`file` of the JSON report")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	s := settings{binaries: testcluster.BinariesIn(*bin), changeCount: *changeCount, idleDuration: *idleDuration, listDir: *listDir}
	if err := run(ctx, s, *sizes, *out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, s settings, sizes, out string) error {
	for _, text := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil || size < 2 {
			return eris.Errorf("fleet size %q is not a whole number above 1", text)
		}
		s.sizes = append(s.sizes, size)
	}
	r := report{Date: time.Now().UTC().Truncate(time.Second), Cores: runtime.NumCPU(), Changes: s.changeCount}
	for _, size := range s.sizes {
		fmt.Fprintf(os.Stderr, "measuring %d nodes\n", size)
		m, err := measure(ctx, s, size)
		if err != nil {
			return eris.Wrapf(err, "%d nodes", size)
		}
		r.Sizes = append(r.Sizes, m)
	}
	r.print()
	if err := os.MkdirAll(filepath.Dir(out), 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(out, append(data, '\n'), 0o644)
}

func (r report) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer w.Flush()
	fmt.Fprintln(w, "nodes\tconvergence p50 ms\tp99 ms\tmax ms\tidle B/node/s\tcross-region B/s\tB/change/node\tcross-region B/change\tplatform calls/s\tCPU %/node\tRSS MB/node\tmass restart nodes\tmass restart ms\tmass restart platform calls\t")
	for _, m := range r.Sizes {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.1f\t%d\t%d\t%d\t\n", m.Nodes,
			m.ConvergenceP50Ms, m.ConvergenceP99Ms, m.ConvergenceMaxMs, m.IdleBytesPerNodeSecond,
			m.IdleCrossRegionBytesPerSecond, m.BytesPerChangeAndNode, m.CrossRegionBytesPerChange,
			m.PlatformCallsPerSecond, m.CPUPercent, m.RSSMegabytes, m.MassRestartNodes, m.MassRestartMs, m.MassRestartPlatformCalls)
	}
}
