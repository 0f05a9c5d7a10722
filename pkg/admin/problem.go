package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/danielgtaylor/huma/v2"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/config/static"
	"github.com/azurespring/azurespring/pkg/distribution"
)

// Codes of problems.
const (
	CodeInvalidLists   = "invalid-lists"
	CodeConflict       = "conflict"
	CodeOutcomeUnknown = "outcome-unknown"
	CodeUnavailable    = "unavailable"
	CodeUnauthorized   = "unauthorized"
	CodeNotFound       = "not-found"
	CodeBadRequest     = "bad-request"
	CodeInternal       = "internal"
)

// Problem is the body of every error, as application/problem+json (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Code   string `json:"code" doc:"Stable name of the kind of problem"`
	Detail string `json:"detail"`
	// Advice says what the operator can do.
	Advice string `json:"advice,omitempty" doc:"What to do"`
	// Faults are all reasons why lists or a request are refused.
	Faults []dynamic.Fault `json:"faults,omitempty"`
	// ChangedEntries are the entries that another change touched, for example "service/stock".
	ChangedEntries []string `json:"changedEntries,omitempty"`
	// CurrentVersion is the version in force, set with code "conflict".
	CurrentVersion uint64 `json:"currentVersion,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Detail }

// GetStatus implements huma.StatusError.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType implements huma.ContentTypeFilter.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// Every API of the process gives its errors as Problem, also those that huma
// finds itself. huma offers only this package variable for it.
func init() {
	huma.NewError = func(status int, detail string, errs ...error) huma.StatusError {
		p := problem(status, codeOf(status), detail, "")
		for _, err := range errs {
			var located *huma.ErrorDetail
			if errors.As(err, &located) {
				p.Faults = append(p.Faults, dynamic.Fault{Field: located.Location, Detail: located.Message})
			} else if err != nil {
				p.Faults = append(p.Faults, dynamic.Fault{Detail: err.Error()})
			}
		}
		return p
	}
}

func codeOf(status int) string {
	switch {
	case status == http.StatusNotFound:
		return CodeNotFound
	case status < http.StatusInternalServerError:
		return CodeBadRequest
	}
	return CodeInternal
}

func problem(status int, code, detail, advice string) *Problem {
	return &Problem{Title: http.StatusText(status), Status: status, Code: code, Detail: detail, Advice: advice}
}

// ConflictError means that the configuration is no longer the one that a
// change was based on.
type ConflictError struct {
	BaseVersion    uint64
	CurrentVersion uint64
	// ChangedParts are names of the parts that changed since BaseVersion.
	ChangedParts []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.BaseVersion > e.CurrentVersion {
		return fmt.Sprintf("the change was based on version %d, which does not exist; version %d is in force",
			e.BaseVersion, e.CurrentVersion)
	}
	return fmt.Sprintf("the change was based on version %d, but version %d is in force", e.BaseVersion, e.CurrentVersion)
}

// OutcomeUnknownError means that a change may or may not have been accepted.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// applyProblem translates an error of Configurations.Apply.
func applyProblem(err error, requested dynamic.Config, current *dynamic.Snapshot) *Problem {
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	var invalid *distribution.InvalidError
	switch {
	case errors.As(err, &conflict):
		p := problem(http.StatusConflict, CodeConflict, conflict.Error(),
			"Read the lists in force, bring your change into them and apply it with their version as the base.")
		if conflict.BaseVersion <= conflict.CurrentVersion {
			p.ChangedEntries = namedEntries(conflict.ChangedParts, requested, current)
		}
		p.CurrentVersion = conflict.CurrentVersion
		return p
	case errors.As(err, &unknown):
		return problem(http.StatusServiceUnavailable, CodeOutcomeUnknown, unknown.Error(),
			"Send the same lists again with the same change id; a change is never applied twice.")
	case errors.As(err, &invalid):
		return invalidLists(dynamic.Faults{{Detail: invalid.Cause.Error()}})
	}
	return problem(http.StatusServiceUnavailable, CodeUnavailable, "the change was not accepted: "+err.Error(),
		"Nothing was changed. The configuration in force goes on; try again when the platform answers.")
}

// maxNamedCustomers bounds how many customers stand for their group.
const maxNamedCustomers = 10

// namedEntries replaces groups of customers, such as "customers/17", by the
// customers of the group that differ between requested and current. If none
// differs, all customers of a small group are named.
func namedEntries(parts []string, requested dynamic.Config, current *dynamic.Snapshot) []string {
	var inForce dynamic.Config
	if current != nil {
		inForce = current.Config()
	}
	changed, members := make(map[string][]string), make(map[string][]string)
	for _, change := range dynamic.Diff(requested, inForce) {
		part := dynamic.PartNameForEntry(change.Entry)
		changed[part] = append(changed[part], change.Entry)
	}
	for _, customer := range inForce.Customers {
		entry := "customer/" + customer.Name
		members[dynamic.PartNameForEntry(entry)] = append(members[dynamic.PartNameForEntry(entry)], entry)
	}
	var entries []string
	for _, part := range parts {
		switch {
		case len(changed[part]) > 0:
			entries = append(entries, changed[part]...)
		case len(members[part]) > 0 && len(members[part]) <= maxNamedCustomers:
			entries = append(entries, members[part]...)
		default:
			entries = append(entries, part)
		}
	}
	slices.Sort(entries)
	return entries
}

func invalidLists(faults dynamic.Faults) *Problem {
	p := problem(http.StatusUnprocessableEntity, CodeInvalidLists,
		fmt.Sprintf("the lists have %d faults and were refused whole", len(faults)), "Correct the faults and try again.")
	p.Faults = faults
	return p
}

// authenticate refuses requests without the token, if there is one.
func (s *Server) authenticate(ctx huma.Context, next func(huma.Context)) {
	if s.options.TokenFile == "" {
		next(ctx)
		return
	}
	token, err := static.ReadToken(s.options.TokenFile)
	if err != nil {
		s.refuse(ctx, problem(http.StatusInternalServerError, CodeInternal, "the token file of this node is not readable",
			"Repair the file that -admin-token-file of the node names."))
		return
	}
	given, _ := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
	// Digests have equal length, so that the comparison tells nothing of the token.
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(a[:], b[:]) != 1 {
		s.refuse(ctx, problem(http.StatusUnauthorized, CodeUnauthorized, "the bearer token is missing or wrong",
			"Give azurespringctl the token with -token-file."))
		return
	}
	next(ctx)
}

func (s *Server) refuse(ctx huma.Context, p *Problem) {
	ctx.SetHeader("Content-Type", p.ContentType(""))
	ctx.SetStatus(p.Status)
	// A failed write means that the client has gone; there is nobody to tell.
	_ = s.api.Marshal(ctx.BodyWriter(), "application/json", p)
}
