// Command moves simulates moves to good and bad target versions in virtual time and
// compares how they end under pkg/move and under a simple baseline policy.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azurespring/azurespring/pkg/move"
)

// figures summarizes all seeds of one case under one policy.
type figures struct {
	Deployment string `json:"deployment"`
	Case       string `json:"case"`
	Bad        bool   `json:"bad"`
	Policy     string `json:"policy"`
	Moves      int    `json:"moves"`
	DoneInTime int    `json:"doneInTime"`
	Done       int    `json:"done"`
	RolledBack int    `json:"takenBack"`
	// NewShare is the fraction of all calls that ran on the new version, NewCalls
	// their mean number and NewBad the mean number of those that were not good.
	NewShare float64 `json:"newShare"`
	NewCalls float64 `json:"newCalls"`
	NewBad   float64 `json:"newBad"`
	// NewCallsAfterFirstBad is the mean number of calls on the new version after its
	// first bad call. MedianSecondsToRollBack and MaxSecondsToRollBack are the times
	// from that call to the rollback.
	NewCallsAfterFirstBad   float64 `json:"afterShown"`
	MedianSecondsToRollBack float64 `json:"medianSecondsToTakeBack"`
	MaxSecondsToRollBack    float64 `json:"maxSecondsToTakeBack"`
	// Unexpected lists the moves that did not end as expected.
	Unexpected []unexpectedEnd `json:"wrong,omitempty"`
}

// unexpectedEnd is a move that did not end as expected.
type unexpectedEnd struct {
	Seed              uint64  `json:"seed"`
	EndedAfterSeconds float64 `json:"endedAfterSeconds"`
	State             string  `json:"state"`
}

// summary is the JSON report.
type summary struct {
	Seeds     int       `json:"seeds"`
	FirstSeed uint64    `json:"firstSeed"`
	Figures   []figures `json:"figures"`
}

var policies = []struct {
	name string
	make func(d deployment) policy
}{
	{"sequential", newSequential},
	{"threshold", newThreshold},
}

func main() {
	seeds := flag.Int("seeds", 20, "moves per case")
	firstSeed := flag.Uint64("seed", 1, "first seed")
	reportPath := flag.String("json", "", "file for the JSON report; empty writes none")
	flag.Parse()
	if err := measure(os.Stdout, *seeds, *firstSeed, *reportPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(w io.Writer, seeds int, firstSeed uint64, reportPath string) error {
	s := summary{Seeds: seeds, FirstSeed: firstSeed}
	for _, d := range deployments {
		for _, c := range cases {
			for _, p := range policies {
				results := make([]result, seeds)
				var group errgroup.Group
				group.SetLimit(4)
				for i := range seeds {
					group.Go(func() error {
						results[i] = run(d, c, p.make(d), firstSeed+uint64(i))
						return nil
					})
				}
				_ = group.Wait()
				s.Figures = append(s.Figures, summarize(d, c, p.name, firstSeed, results))
			}
		}
	}
	if reportPath != "" {
		data, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(reportPath, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	return writeTable(w, s)
}

func summarize(d deployment, c testCase, policy string, firstSeed uint64, results []result) figures {
	f := figures{Deployment: d.name, Case: c.name, Bad: c.isBad, Policy: policy, Moves: len(results)}
	var rollbackTimes []time.Duration
	calls := 0.0
	n := float64(len(results))
	for i, r := range results {
		if asExpected := c.isBad && r.phase == move.PhaseRolledBack || !c.isBad && r.phase == move.PhaseDone && r.inTime; !asExpected {
			f.Unexpected = append(f.Unexpected, unexpectedEnd{firstSeed + uint64(i), r.endedAfter.Seconds(), r.finalState})
		}
		switch {
		case r.phase == move.PhaseDone:
			f.Done++
			if r.inTime {
				f.DoneInTime++
			}
		case r.phase == move.PhaseRolledBack:
			f.RolledBack++
			if r.hasBadCall {
				rollbackTimes = append(rollbackTimes, r.timeToRollBack)
			}
		}
		calls += float64(r.calls)
		f.NewCalls += float64(r.newCalls) / n
		f.NewBad += float64(r.newBad) / n
		f.NewCallsAfterFirstBad += float64(r.newCallsAfterFirstBad) / n
	}
	f.NewShare = f.NewCalls * n / calls
	if len(rollbackTimes) > 0 {
		slices.Sort(rollbackTimes)
		f.MedianSecondsToRollBack, f.MaxSecondsToRollBack = rollbackTimes[len(rollbackTimes)/2].Seconds(), rollbackTimes[len(rollbackTimes)-1].Seconds()
	}
	return f
}

func writeTable(w io.Writer, s summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d moves per row, seeds from %d\n", s.Seeds, s.FirstSeed)
	fmt.Fprintln(t, "deployment\tcase\tpolicy\tdone in time\trolled back\tas expected\tnew share\tnew calls\tnew bad\tafter first bad\tmedian s\tmax s")
	for _, f := range s.Figures {
		asExpected := f.DoneInTime
		if f.Bad {
			asExpected = f.RolledBack
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d/%d\t%.2f%%\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\n", f.Deployment, f.Case, f.Policy,
			f.DoneInTime, f.RolledBack, asExpected, f.Moves, f.NewShare*100, f.NewCalls, f.NewBad, f.NewCallsAfterFirstBad, f.MedianSecondsToRollBack, f.MaxSecondsToRollBack)
	}
	return t.Flush()
}
