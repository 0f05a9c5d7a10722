package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

var applyCommand = command{
	name: "apply", arguments: "FILE...", summary: "Apply both lists as one new configuration version",
	description: "The lists are checked, compared with the configuration in force and accepted whole or not\n" +
		"at all. Without -base the change is based on the version in force when the command starts.\n" +
		"If the outcome is unknown, the same change is sent again; it is never applied twice. Lists\n" +
		"that are in force already become no new version.",
	examples: []string{
		"apply customers.yaml entitlements.yaml",
		"apply -base 41 -wait *.yaml",
		"apply -dry-run *.yaml",
		"apply -change-id 5f0c1f4e *.yaml   # sends a change of unknown outcome again",
	},
	needsNodes: true,
	make:       func() runner { return &apply{} },
}

// Defaults of the waiting times of apply.
const (
	defaultRetryFor = 2 * time.Minute
	defaultWaitFor  = time.Minute
)

// Bounds of the delay between two rounds over all nodes.
const (
	minRoundDelay = 200 * time.Millisecond
	maxRoundDelay = 5 * time.Second
)

// nodeTimePercent is the part of -timeout for which a node may try to reach the
// platform, so that its answer comes before the request is given up.
const nodeTimePercent = 80

type apply struct {
	base     int64
	changeID string
	dryRun   bool
	wait     bool
	retryFor time.Duration
	waitFor  time.Duration
}

func (a *apply) define(flags *flag.FlagSet) {
	flags.Int64Var(&a.base, "base", -1, "`version` that the change is based on; by default the one in force")
	flags.StringVar(&a.changeID, "change-id", "", "`id` of the change; by default a new one")
	flags.BoolVar(&a.dryRun, "dry-run", false, "show what would change and stop")
	flags.BoolVar(&a.wait, "wait", false, "wait until the version is in force on every node")
	flags.DurationVar(&a.retryFor, "retry-for", defaultRetryFor, "`duration` for which an unknown outcome or an unavailable platform is retried")
	flags.DurationVar(&a.waitFor, "wait-for", defaultWaitFor, "longest `duration` of -wait")
}

// outcome is what apply prints with -o json.
type outcome struct {
	// ChangeID is empty if the lists were in force already.
	ChangeID string `json:"changeId,omitempty"`
	admin.ApplyResult
	// Nodes is the number of nodes on which the version is in force, set by -wait.
	Nodes int `json:"nodes,omitempty"`
}

func (a *apply) run(ctx context.Context, s *session, args []string) error {
	files, err := readLists(args)
	if err != nil {
		return err
	}
	if err := checkLists(files); err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	var preview admin.ValidateResult
	if err := c.validate(ctx, files, &preview); err != nil {
		return err
	}
	if a.dryRun {
		return s.print(preview, func(w io.Writer) {
			fmt.Fprintf(w, "Based on version %d, these entries would change:\n", preview.CurrentVersion)
			printChanges(w, preview.Changes)
		})
	}
	done, err := a.accept(ctx, s, c, files, preview)
	if err != nil {
		return err
	}
	if a.wait {
		if done.Nodes, err = a.await(ctx, s, c, done.Version); err != nil {
			return err
		}
	}
	return s.print(done, func(w io.Writer) { printOutcome(w, done) })
}

// accept sends the change, unless the lists are in force as they are.
func (a *apply) accept(
	ctx context.Context, s *session, c *client, files []dynamic.File, preview admin.ValidateResult,
) (done outcome, err error) {
	current := preview.CurrentVersion
	if a.base < 0 {
		a.base = int64(current)
	}
	if a.changeID == "" && uint64(a.base) == current && current != 0 && len(preview.Changes) == 0 {
		return outcome{ApplyResult: admin.ApplyResult{Version: current, Changes: preview.Changes}}, nil
	}
	if a.changeID == "" {
		a.changeID = uuid.NewString()
	}
	done.ChangeID = a.changeID
	done.ApplyResult, err = a.send(ctx, s, c, files)
	return done, err
}

func printOutcome(w io.Writer, o outcome) {
	if o.ChangeID == "" {
		fmt.Fprintf(w, "Version %d holds these lists already; nothing was changed.\n", o.Version)
		printNodes(w, o)
		return
	}
	already := ""
	if o.AlreadyApplied {
		already = " by an earlier attempt"
	}
	fmt.Fprintf(w, "Version %d was accepted%s (change %s):\n", o.Version, already, o.ChangeID)
	printChanges(w, o.Changes)
	printNodes(w, o)
}

func printNodes(w io.Writer, o outcome) {
	if o.Nodes > 0 {
		fmt.Fprintf(w, "It is in force on all %d nodes.\n", o.Nodes)
	}
}

// send offers the change to the nodes until one accepts or refuses it.
func (a *apply) send(ctx context.Context, s *session, c *client, files []dynamic.File) (admin.ApplyResult, error) {
	request := admin.ApplyRequest{
		ChangeID: a.changeID, BaseVersion: uint64(a.base), Files: listFiles(files),
		TimeoutMillis: max(1, c.timeout.Milliseconds()*nodeTimePercent/100),
	}
	// The end of the retries cuts off no request, whose outcome would then be unknown.
	retries, cancel := context.WithTimeout(ctx, a.retryFor)
	defer cancel()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRoundDelay, maxRoundDelay
	t := &attempts{}
	for {
		for _, node := range c.nodes {
			var result admin.ApplyResult
			err := c.call(ctx, node, "POST", "/v1/configuration", request, &result)
			if err == nil {
				return result, nil
			}
			if final := t.note(node, err); final != nil {
				return result, final
			}
			if retries.Err() != nil {
				break
			}
			s.progress("%v; trying again with change id %s", t.last(), a.changeID)
		}
		if !pause(retries, delay.NextBackOff()) {
			return admin.ApplyResult{}, t.giveUp(a)
		}
	}
}

// pause waits for d and returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempts gathers what the attempts to send one change have shown.
type attempts struct {
	// unknown is set once an attempt may have taken effect.
	unknown bool
	errs    []error
}

// maxKeptErrors bounds the errors that the final message repeats.
const maxKeptErrors = 5

// note takes in a failed attempt and returns an error if trying again is of no use.
func (t *attempts) note(node string, err error) error {
	var p *admin.Problem
	var unanswered *unansweredError
	switch {
	case errors.As(err, &unanswered):
		t.unknown = t.unknown || unanswered.sent
	case !errors.As(err, &p):
		return err
	case p.Code == admin.CodeUnavailable:
		err = fmt.Errorf("%s: %w", node, err)
	case p.Code == admin.CodeConflict:
		// A node looks for the change id first, so a conflict means that no earlier
		// attempt took effect.
		return err
	case p.Status < 500 && !t.unknown:
		return err
	default:
		// A refusal after an attempt of unknown outcome does not say what became of
		// that attempt.
		t.unknown = true
		err = fmt.Errorf("%s: %w", node, err)
	}
	t.errs = append(t.errs, err)
	if len(t.errs) > maxKeptErrors {
		t.errs = t.errs[1:]
	}
	return nil
}

func (t *attempts) last() error { return t.errs[len(t.errs)-1] }

// giveUp returns the error for a change that no node accepted in time.
func (t *attempts) giveUp(a *apply) error {
	cause := errors.Join(t.errs...)
	if !t.unknown {
		return &failure{
			Code:    ExitUnavailable,
			Message: "the change was not accepted:\n  " + strings.ReplaceAll(cause.Error(), "\n", "\n  "),
			Advice:  "Nothing was changed. Try again when the platform answers, or name other nodes in -nodes.",
			cause:   cause,
		}
	}
	return &failure{
		Code:    ExitOutcomeUnknown,
		Message: "it is not known whether the change was accepted:\n  " + strings.ReplaceAll(cause.Error(), "\n", "\n  "),
		Advice: fmt.Sprintf("Run the command again with -change-id %s -base %d and the same files; the change is never applied twice.",
			a.changeID, a.base),
		cause: cause,
	}
}
