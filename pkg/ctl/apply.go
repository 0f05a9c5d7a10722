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

// Default values of -retry-for and -wait-for.
const (
	defaultRetryFor = 2 * time.Minute
	defaultWaitFor  = time.Minute
)

// Limits of the exponential backoff after the change was sent to every node
// without a final outcome.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// nodeTimeoutPercent is the percentage of -timeout for which a node may try to
// reach the platform, so that its response arrives before the request times out.
const nodeTimeoutPercent = 80

type apply struct {
	baseVersion int64
	changeID    string
	dryRun      bool
	wait        bool
	retryFor    time.Duration
	waitFor     time.Duration
}

func (a *apply) defineFlags(flags *flag.FlagSet) {
	flags.Int64Var(&a.baseVersion, "base", -1, "`version` that the change is based on; by default the one in force")
	flags.StringVar(&a.changeID, "change-id", "", "`id` of the change; by default a new one")
	flags.BoolVar(&a.dryRun, "dry-run", false, "show what would change and stop")
	flags.BoolVar(&a.wait, "wait", false, "wait until the version is in force on every node")
	flags.DurationVar(&a.retryFor, "retry-for", defaultRetryFor, "`duration` for which an unknown outcome or an unavailable platform is retried")
	flags.DurationVar(&a.waitFor, "wait-for", defaultWaitFor, "longest `duration` of -wait")
}

// applyOutcome is what apply prints with -o json.
type applyOutcome struct {
	// ChangeID is empty if the lists were active already.
	ChangeID string `json:"changeId,omitempty"`
	admin.ApplyResult
	// Nodes is the number of nodes on which the version is active, set by -wait.
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
	result, err := a.submit(ctx, s, c, files, preview)
	if err != nil {
		return err
	}
	if a.wait {
		if result.Nodes, err = a.waitUntilActive(ctx, s, c, result.Version); err != nil {
			return err
		}
	}
	return s.print(result, func(w io.Writer) { printOutcome(w, result) })
}

// submit sends the change, unless exactly these lists are active already.
func (a *apply) submit(
	ctx context.Context, s *session, c *client, files []dynamic.File, preview admin.ValidateResult,
) (result applyOutcome, err error) {
	current := preview.CurrentVersion
	if a.baseVersion < 0 {
		a.baseVersion = int64(current)
	}
	if a.changeID == "" && uint64(a.baseVersion) == current && current != 0 && len(preview.Changes) == 0 {
		return applyOutcome{ApplyResult: admin.ApplyResult{Version: current, Changes: preview.Changes}}, nil
	}
	if a.changeID == "" {
		a.changeID = uuid.NewString()
	}
	result.ChangeID = a.changeID
	result.ApplyResult, err = a.sendWithRetries(ctx, s, c, files)
	return result, err
}

func printOutcome(w io.Writer, o applyOutcome) {
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

func printNodes(w io.Writer, o applyOutcome) {
	if o.Nodes > 0 {
		fmt.Fprintf(w, "It is in force on all %d nodes.\n", o.Nodes)
	}
}

// sendWithRetries sends the change to the nodes in turn until one accepts or
// rejects it.
func (a *apply) sendWithRetries(ctx context.Context, s *session, c *client, files []dynamic.File) (admin.ApplyResult, error) {
	request := admin.ApplyRequest{
		ChangeID: a.changeID, BaseVersion: uint64(a.baseVersion), Files: listFiles(files),
		TimeoutMillis: max(1, c.timeout.Milliseconds()*nodeTimeoutPercent/100),
	}
	// retryCtx limits only the retries. It cancels no request in flight, because
	// the outcome of a canceled request is unknown.
	retryCtx, cancel := context.WithTimeout(ctx, a.retryFor)
	defer cancel()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRetryDelay, maxRetryDelay
	failed := &failedAttempts{}
	for {
		for _, node := range c.nodes {
			var result admin.ApplyResult
			err := c.call(ctx, node, "POST", "/v1/configuration", request, &result)
			if err == nil {
				return result, nil
			}
			if finalErr := failed.record(node, err); finalErr != nil {
				return result, finalErr
			}
			if retryCtx.Err() != nil {
				break
			}
			s.progress("%v; trying again with change id %s", failed.last(), a.changeID)
		}
		if !sleep(retryCtx, delay.NextBackOff()) {
			return admin.ApplyResult{}, failed.timeoutError(a)
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// failedAttempts collects the errors of the failed attempts to send one change.
type failedAttempts struct {
	// outcomeUnknown is true once an attempt may have taken effect.
	outcomeUnknown bool
	errs           []error
}

// maxReportedErrors limits the errors in the final message.
const maxReportedErrors = 5

// record adds a failed attempt. It returns an error if the attempt must not be
// retried.
func (f *failedAttempts) record(node string, err error) error {
	var p *admin.Problem
	var noResponse *noResponseError
	switch {
	case errors.As(err, &noResponse):
		f.outcomeUnknown = f.outcomeUnknown || noResponse.maybeReceived
	case !errors.As(err, &p):
		return err
	case p.Code == admin.CodeUnavailable:
		err = fmt.Errorf("%s: %w", node, err)
	case p.Code == admin.CodeConflict:
		// A node checks the change ID before the base version, so a conflict means
		// that no earlier attempt took effect.
		return err
	case p.Status < 500 && !f.outcomeUnknown:
		return err
	default:
		// The node reported an unknown outcome or an internal error, or it rejected
		// the change after an attempt with an unknown outcome. Neither says whether
		// an attempt took effect.
		f.outcomeUnknown = true
		err = fmt.Errorf("%s: %w", node, err)
	}
	f.errs = append(f.errs, err)
	if len(f.errs) > maxReportedErrors {
		f.errs = f.errs[1:]
	}
	return nil
}

func (f *failedAttempts) last() error { return f.errs[len(f.errs)-1] }

// timeoutError returns the error for a change that no node accepted within
// -retry-for.
func (f *failedAttempts) timeoutError(a *apply) error {
	cause := errors.Join(f.errs...)
	if !f.outcomeUnknown {
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
			a.changeID, a.baseVersion),
		cause: cause,
	}
}
