package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/move"
)

var movesCommand = command{
	name: "moves", arguments: "[SERVICE...]", summary: "Show moves to new target versions",
	description: "With -watch, changes are shown until every shown move is done or taken back. The exit\n" +
		"code then says whether one was taken back.",
	examples:   []string{"moves", "moves -evidence stock", "moves -watch stock prices"},
	needsNodes: true,
	make:       func() runner { return &moves{} },
}

// defaultMovesInterval is the default poll interval of moves -watch.
const defaultMovesInterval = 2 * time.Second

type moves struct {
	watch    bool
	evidence bool
	interval time.Duration
}

func (m *moves) defineFlags(flags *flag.FlagSet) {
	flags.BoolVar(&m.watch, "watch", false, "show changes until every move has ended")
	flags.BoolVar(&m.evidence, "evidence", false, "show the evidence of each route")
	flags.DurationVar(&m.interval, "interval", defaultMovesInterval, "`duration` between two looks of -watch")
}

func (m *moves) run(ctx context.Context, s *session, services []string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	if m.interval <= 0 {
		return usageError("-interval must be above 0")
	}
	if m.watch {
		return m.watchMoves(ctx, s, c, services)
	}
	shown, err := fetchMoves(ctx, c, services)
	if err != nil {
		return err
	}
	return s.print(shown, func(w io.Writer) { m.print(w, shown) })
}

func fetchMoves(ctx context.Context, c *client, services []string) ([]admin.Move, error) {
	var all []admin.Move
	if err := c.get(ctx, "/v1/moves", &all); err != nil {
		return nil, err
	}
	return lo.Filter(all, func(move admin.Move, _ int) bool {
		return len(services) == 0 || slices.Contains(services, move.Service)
	}), nil
}

func (m *moves) print(w io.Writer, shown []admin.Move) {
	if len(shown) == 0 {
		fmt.Fprintln(w, "There are no moves.")
		return
	}
	if m.evidence {
		printEvidence(w, shown)
		return
	}
	table(w, "SERVICE\tFROM\tTO\tPHASE\tSHARE\tFINISH BY\tREASON", shown, func(move admin.Move) []any {
		return []any{
			move.Service, move.From, move.To, move.Phase, formatPercent(move.Share),
			move.FinishBy.Format(time.RFC3339), moveReason(move),
		}
	})
}

// moveReason returns why a step of the move is stalled, or why the move ended.
func moveReason(move admin.Move) string {
	if move.Held {
		return "held: " + move.Reason
	}
	return move.Reason
}

// printEvidence prints the outcome counts of each move by route and version.
func printEvidence(w io.Writer, shown []admin.Move) {
	type routeEvidence struct {
		move     admin.Move
		evidence admin.Evidence
	}
	routes := lo.FlatMap(shown, func(move admin.Move, _ int) []routeEvidence {
		return lo.Map(move.Evidence, func(e admin.Evidence, _ int) routeEvidence { return routeEvidence{move, e} })
	})
	if len(routes) == 0 {
		fmt.Fprintln(w, "There is no evidence yet.")
		return
	}
	table(w, "SERVICE\tROUTE\tDEPARTMENT\tVERSION\tGOOD\tFAILED\tSLOW\tCRASHED\tREFUSED", lo.FlatMap(routes,
		func(r routeEvidence, _ int) [][]any {
			return [][]any{
				evidenceRow(r.move.Service, r.move.From, r.evidence, r.evidence.Old),
				evidenceRow(r.move.Service, r.move.To, r.evidence, r.evidence.New),
			}
		}), func(row []any) []any { return row })
}

func evidenceRow(service, version string, e admin.Evidence, c move.Counts) []any {
	return []any{
		service, lo.CoalesceOrEmpty(e.Route, "(all)"), lo.CoalesceOrEmpty(e.Department, "-"), version,
		c.Good, c.Failed, c.Slow, c.CrashedCalls, c.Refused,
	}
}

func formatPercent(share float64) string {
	text := fmt.Sprintf("%.4f", share*100)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".") + "%"
}

// watchResponseTimeout is how long moves -watch continues without a response from
// any node.
const watchResponseTimeout = time.Minute

// watchMoves prints each change of the moves until all of them have ended.
func (m *moves) watchMoves(ctx context.Context, s *session, c *client, services []string) error {
	last := make(map[string]string)
	lastResponse := time.Now()
	for {
		shown, err := fetchMoves(ctx, c, services)
		switch {
		case err == nil:
			lastResponse = time.Now()
			if err := m.printChanged(s, shown, last); err != nil {
				return err
			}
			if allFinished(shown, services) {
				return rolledBackError(shown)
			}
		case toFailure(err).Code != ExitUnavailable || time.Since(lastResponse) > watchResponseTimeout:
			return err
		default:
			s.progress("%v; retrying", err)
		}
		if !sleep(ctx, m.interval) {
			return ctx.Err()
		}
	}
}

// printChanged prints the moves that differ from last, one line each, and updates
// last.
func (m *moves) printChanged(s *session, shown []admin.Move, last map[string]string) error {
	var changed []admin.Move
	for _, move := range shown {
		key := move.Service + "/" + move.To
		text := fmt.Sprint(move.Phase, move.Share, move.Held, move.Reason)
		if last[key] != text {
			last[key] = text
			changed = append(changed, move)
		}
	}
	if s.options.output == outputJSON {
		encoder := json.NewEncoder(s.Stdout)
		for _, move := range changed {
			if err := encoder.Encode(move); err != nil {
				return err
			}
		}
		return nil
	}
	for _, move := range changed {
		fmt.Fprintf(s.Stdout, "%s %s -> %s: %s, %s of traffic, finish by %s %s\n", move.Service, move.From,
			move.To, move.Phase, formatPercent(move.Share), move.FinishBy.Format(time.RFC3339), moveReason(move))
	}
	return nil
}

// allFinished reports whether no move is running and each named service has a move.
func allFinished(shown []admin.Move, services []string) bool {
	for _, service := range services {
		if !slices.ContainsFunc(shown, func(m admin.Move) bool { return m.Service == service }) {
			return false
		}
	}
	return !slices.ContainsFunc(shown, func(m admin.Move) bool { return m.Phase == "running" })
}

func rolledBackError(shown []admin.Move) error {
	var names []string
	for _, move := range shown {
		if move.Phase == "taken-back" {
			names = append(names, fmt.Sprintf("%s to %s (%s)", move.Service, move.To, move.Reason))
		}
	}
	if len(names) == 0 {
		return nil
	}
	return &failure{
		Code: ExitRolledBack, Message: "taken back: " + strings.Join(names, ", "),
		Advice: "All traffic is on the old version. Repair the new one and start it under another version name; " +
			"see azurespringctl moves -evidence.",
	}
}
