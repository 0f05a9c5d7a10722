package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

// Exit codes of the command.
const (
	ExitOK             = 0
	ExitFailure        = 1
	ExitUsage          = 2
	ExitInvalidLists   = 3
	ExitConflict       = 4
	ExitOutcomeUnknown = 5
	ExitUnavailable    = 6
	ExitNotActive      = 7
	ExitRolledBack     = 8
)

var exitCodes = []struct {
	code    int
	meaning string
}{
	{ExitOK, "success"},
	{ExitFailure, "failure of another kind"},
	{ExitUsage, "wrong usage"},
	{ExitInvalidLists, "the lists or the checked configuration are invalid; nothing was changed"},
	{ExitConflict, "somebody else changed the configuration; nothing was changed"},
	{ExitOutcomeUnknown, "it is not known whether the change was accepted; send it again with the same change id"},
	{ExitUnavailable, "no node or no platform answered; nothing was changed"},
	{ExitNotActive, "the change was accepted, but is not in force on every node in time"},
	{ExitRolledBack, "a watched move was taken back"},
}

// failure is an error with an exit code and advice for the operator.
type failure struct {
	Code    int             `json:"exitCode"`
	Message string          `json:"error"`
	Advice  string          `json:"advice,omitempty"`
	Faults  []dynamic.Fault `json:"faults,omitempty"`
	Entries []string        `json:"changedEntries,omitempty"`
	cause   error
}

// Error implements error.
func (f *failure) Error() string { return f.Message }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

func usageError(format string, args ...any) error {
	return &failure{Code: ExitUsage, Message: fmt.Sprintf(format, args...)}
}

// toFailure converts err to a failure.
func toFailure(err error) *failure {
	var f *failure
	var p *admin.Problem
	var faults dynamic.Faults
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &p):
		return problemToFailure(p)
	case errors.As(err, &faults):
		return &failure{
			Code: ExitInvalidLists, Message: fmt.Sprintf("the lists have %d faults", len(faults)),
			Advice: "Correct the faults and try again.", Faults: faults, cause: err,
		}
	}
	return &failure{Code: ExitFailure, Message: err.Error(), cause: err}
}

func problemToFailure(p *admin.Problem) *failure {
	codes := map[string]int{
		admin.CodeInvalidLists: ExitInvalidLists, admin.CodeConflict: ExitConflict,
		admin.CodeOutcomeUnknown: ExitOutcomeUnknown, admin.CodeUnavailable: ExitUnavailable,
	}
	code, ok := codes[p.Code]
	if !ok {
		code = ExitFailure
	}
	return &failure{
		Code: code, Message: p.Detail, Advice: p.Advice, Faults: p.Faults, Entries: p.ChangedEntries, cause: p,
	}
}

// reportError prints err and returns its exit code.
func (s *session) reportError(err error) int {
	f := toFailure(err)
	if s.options.output == outputJSON {
		// A failed write to the standard error output cannot be reported anywhere.
		_ = json.NewEncoder(s.Stderr).Encode(f)
		return f.Code
	}
	for _, fault := range f.Faults {
		fmt.Fprintln(s.Stderr, fault)
	}
	fmt.Fprintf(s.Stderr, "%s: %s\n", ProgramName, f.Message)
	if len(f.Entries) > 0 {
		fmt.Fprintf(s.Stderr, "Entries that somebody else changed: %s\n", strings.Join(f.Entries, ", "))
	}
	if f.Advice != "" {
		fmt.Fprintf(s.Stderr, "What to do: %s\n", f.Advice)
	}
	return f.Code
}
