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

// Values of Problem.Code.
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

// Problem is the body of every error response, sent as application/problem+json
// (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Code   string `json:"code" doc:"Stable name of the kind of problem"`
	Detail string `json:"detail"`
	// Advice tells the operator what to do next.
	Advice string `json:"advice,omitempty" doc:"What to do"`
	// Faults are all validation errors of the lists or of the request.
	Faults []dynamic.Fault `json:"faults,omitempty"`
	// ChangedEntries are the configuration entries that a conflicting change
	// modified, for example "service/stock".
	ChangedEntries []string `json:"changedEntries,omitempty"`
	// CurrentVersion is the active configuration version, set with code "conflict".
	CurrentVersion uint64 `json:"currentVersion,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Detail }

// GetStatus implements huma.StatusError.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType implements huma.ContentTypeFilter.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// init makes every huma API of the process respond with a Problem, also for
// errors that huma detects itself. huma offers only this package variable for it.
func init() {
	huma.NewError = func(status int, detail string, errs ...error) huma.StatusError {
		p := newProblem(status, codeForStatus(status), detail, "")
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

func codeForStatus(status int) string {
	switch {
	case status == http.StatusNotFound:
		return CodeNotFound
	case status < http.StatusInternalServerError:
		return CodeBadRequest
	}
	return CodeInternal
}

func newProblem(status int, code, detail, advice string) *Problem {
	return &Problem{Title: http.StatusText(status), Status: status, Code: code, Detail: detail, Advice: advice}
}

// ConflictError means that a change was based on a configuration version that is
// not the active one.
type ConflictError struct {
	BaseVersion    uint64
	CurrentVersion uint64
	// ChangedParts are the names of the configuration parts that changed since
	// BaseVersion.
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

// applyProblem converts an error of ConfigurationService.Apply.
func applyProblem(err error, requested dynamic.Config, current *dynamic.Snapshot) *Problem {
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	var invalid *distribution.InvalidError
	switch {
	case errors.As(err, &conflict):
		p := newProblem(http.StatusConflict, CodeConflict, conflict.Error(),
			"Read the lists in force, bring your change into them and apply it with their version as the base.")
		if conflict.BaseVersion <= conflict.CurrentVersion {
			p.ChangedEntries = expandCustomerParts(conflict.ChangedParts, requested, current)
		}
		p.CurrentVersion = conflict.CurrentVersion
		return p
	case errors.As(err, &unknown):
		return newProblem(http.StatusServiceUnavailable, CodeOutcomeUnknown, unknown.Error(),
			"Send the same lists again with the same change id; a change is never applied twice.")
	case errors.As(err, &invalid):
		return invalidLists(dynamic.Faults{{Detail: invalid.Cause.Error()}})
	}
	return newProblem(http.StatusServiceUnavailable, CodeUnavailable, "the change was not accepted: "+err.Error(),
		"Nothing was changed. The configuration in force goes on; try again when the platform answers.")
}

// maxListedCustomers is the largest number of customers that are listed instead
// of the name of their part.
const maxListedCustomers = 10

// expandCustomerParts replaces parts that hold several customers, such as
// "customers/17", by the customers of the part that differ between requested and
// current. If none differs, it lists all customers of a part that has at most
// maxListedCustomers, and keeps the name of a larger part.
func expandCustomerParts(parts []string, requested dynamic.Config, current *dynamic.Snapshot) []string {
	var active dynamic.Config
	if current != nil {
		active = current.Config()
	}
	changedByPart, customersByPart := make(map[string][]string), make(map[string][]string)
	for _, change := range dynamic.Diff(requested, active) {
		part := dynamic.PartNameForEntry(change.Entry)
		changedByPart[part] = append(changedByPart[part], change.Entry)
	}
	for _, customer := range active.Customers {
		entry := "customer/" + customer.Name
		customersByPart[dynamic.PartNameForEntry(entry)] = append(customersByPart[dynamic.PartNameForEntry(entry)], entry)
	}
	var entries []string
	for _, part := range parts {
		switch {
		case len(changedByPart[part]) > 0:
			entries = append(entries, changedByPart[part]...)
		case len(customersByPart[part]) > 0 && len(customersByPart[part]) <= maxListedCustomers:
			entries = append(entries, customersByPart[part]...)
		default:
			entries = append(entries, part)
		}
	}
	slices.Sort(entries)
	return entries
}

func invalidLists(faults dynamic.Faults) *Problem {
	p := newProblem(http.StatusUnprocessableEntity, CodeInvalidLists,
		fmt.Sprintf("the lists have %d faults and were refused whole", len(faults)), "Correct the faults and try again.")
	p.Faults = faults
	return p
}

// authenticate rejects requests without the bearer token, if one is configured.
func (s *Server) authenticate(ctx huma.Context, next func(huma.Context)) {
	if s.options.TokenFile == "" {
		next(ctx)
		return
	}
	token, err := static.ReadToken(s.options.TokenFile)
	if err != nil {
		s.writeProblem(ctx, newProblem(http.StatusInternalServerError, CodeInternal, "the token file of this node is not readable",
			"Repair the file that -admin-token-file of the node names."))
		return
	}
	presented, _ := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
	// Digests have equal length, so the comparison time reveals nothing about the token.
	presentedDigest, tokenDigest := sha256.Sum256([]byte(presented)), sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(presentedDigest[:], tokenDigest[:]) != 1 {
		s.writeProblem(ctx, newProblem(http.StatusUnauthorized, CodeUnauthorized, "the bearer token is missing or wrong",
			"Give azurespringctl the token with -token-file."))
		return
	}
	next(ctx)
}

func (s *Server) writeProblem(ctx huma.Context, p *Problem) {
	ctx.SetHeader("Content-Type", p.ContentType(""))
	ctx.SetStatus(p.Status)
	// A failed write means that the client has disconnected.
	_ = s.api.Marshal(ctx.BodyWriter(), "application/json", p)
}
