// Package verdict defines the errors of failed calls and whether the target may have
// run such a call.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Verdict says whether a request may have run on a target. The zero value is
// MayHaveRun, so that a call that failed with an error of unknown origin is never
// retried by mistake.
type Verdict uint8

const (
	// MayHaveRun means that the target may have run the request in whole or in part.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request was passed to a target, or that the
	// target's documented shed response stated that it did not run the request.
	NotRun
)

// String returns the value of the Azurespring-Verdict header.
func (v Verdict) String() string {
	if v == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// Parse returns the verdict whose String is s. Any other text is MayHaveRun.
func Parse(s string) Verdict {
	if s == NotRun.String() {
		return NotRun
	}
	return MayHaveRun
}

// Code identifies the kind of a rejection or failure in responses, logs and metrics.
type Code string

// The codes that callers see. httpStatuses holds the HTTP status of each.
const (
	Unauthenticated     Code = "unauthenticated"
	NotEntitled         Code = "not-entitled"
	UnknownService      Code = "unknown-service"
	UnknownRoute        Code = "unknown-route"
	BadRequest          Code = "bad-request"
	RateLimited         Code = "rate-limited"
	ConcurrencyLimited  Code = "concurrency-limited"
	QuotaExceeded       Code = "quota-exceeded"
	TooDeep             Code = "too-deep"
	NoTarget            Code = "no-target"
	Overloaded          Code = "overloaded"
	DeadlineUnreachable Code = "deadline-unreachable"
	Draining            Code = "draining"
	VersionClosed       Code = "version-closed"
	Quarantined         Code = "quarantined"
	ConfigurationStale  Code = "configuration-stale"
	KeyInUse            Code = "key-in-use"
	KeyStoreUnavailable Code = "key-store-unavailable"
	TargetShed          Code = "target-shed"
	TargetFailed        Code = "target-failed"
	TargetCrashed       Code = "target-crashed"
	AnswerCut           Code = "answer-cut"
	DeadlineExceeded    Code = "deadline-exceeded"
	Canceled            Code = "canceled"
	Internal            Code = "internal"
)

// statusClientClosedRequest is the conventional status of a call that its caller
// canceled.
const statusClientClosedRequest = 499

var httpStatuses = map[Code]int{
	Unauthenticated:     http.StatusUnauthorized,
	NotEntitled:         http.StatusForbidden,
	UnknownService:      http.StatusNotFound,
	UnknownRoute:        http.StatusNotFound,
	BadRequest:          http.StatusBadRequest,
	RateLimited:         http.StatusTooManyRequests,
	ConcurrencyLimited:  http.StatusTooManyRequests,
	QuotaExceeded:       http.StatusTooManyRequests,
	TooDeep:             http.StatusLoopDetected,
	NoTarget:            http.StatusServiceUnavailable,
	Overloaded:          http.StatusServiceUnavailable,
	DeadlineUnreachable: http.StatusGatewayTimeout,
	Draining:            http.StatusServiceUnavailable,
	VersionClosed:       http.StatusServiceUnavailable,
	Quarantined:         http.StatusUnprocessableEntity,
	ConfigurationStale:  http.StatusServiceUnavailable,
	KeyInUse:            http.StatusConflict,
	KeyStoreUnavailable: http.StatusServiceUnavailable,
	TargetShed:          http.StatusServiceUnavailable,
	TargetFailed:        http.StatusBadGateway,
	TargetCrashed:       http.StatusBadGateway,
	AnswerCut:           http.StatusBadGateway,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	Canceled:            statusClientClosedRequest,
	Internal:            http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status of c, 500 for an unknown code.
func (c Code) HTTPStatus() int {
	if status, ok := httpStatuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Error describes a rejected or failed call and holds its verdict.
type Error struct {
	Code    Code
	Verdict Verdict
	Detail  string
	// RetryAfter is the time after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
	Cause      error
}

// NotRunErrorf returns an error for a call that did not run.
func NotRunErrorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// MayHaveRunErrorf returns an error for a call that may have run.
func MayHaveRunErrorf(code Code, cause error, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: MayHaveRun, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Detail)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// FromError returns the verdict of err: that of the first *Error in its chain, otherwise MayHaveRun.
func FromError(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
