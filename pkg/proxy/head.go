package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// Headers that callers and targets see; docs/design.md section 5.
const (
	headerService    = "Azurespring-Service"
	headerTimeout    = "Azurespring-Timeout-Ms"
	headerIdempotent = "Azurespring-Idempotent"
	headerKey        = "Idempotency-Key"
	headerCall       = "Azurespring-Call"
	headerRequestID  = "Azurespring-Request-Id"
	headerVerdict    = "Azurespring-Verdict"
	headerVersion    = "Azurespring-Version"
	headerShed       = "Azurespring-Shed"
)

// callHead is the first frame of a call from an entry node to a target node.
type callHead struct {
	RequestID string `cbor:"1,keyasint"`
	Customer  string `cbor:"2,keyasint"`
	Plan      string `cbor:"3,keyasint"`
	// Weight is the customer's share at the target's slots.
	Weight     int    `cbor:"4,keyasint"`
	Service    string `cbor:"5,keyasint"`
	Route      string `cbor:"6,keyasint"`
	Department string `cbor:"7,keyasint"`
	TargetID   string `cbor:"8,keyasint"`
	Version    string `cbor:"9,keyasint"`
	Method     string `cbor:"10,keyasint"`
	URI        string `cbor:"11,keyasint"`
	Host       string `cbor:"12,keyasint"`
	// Header holds names and values in turn, without hop-by-hop headers.
	Header []string `cbor:"13,keyasint"`
	// ContentLength is -1 if unknown.
	ContentLength int64 `cbor:"14,keyasint"`
	// Remaining is the time that the caller still waits. It is relative because the
	// nodes' clocks differ.
	Remaining time.Duration `cbor:"15,keyasint"`
	Depth     int           `cbor:"16,keyasint"`
	// Retries is what is left of the call tree's retry budget.
	Retries int `cbor:"17,keyasint"`
	// ConfigVersion is the configuration under which the entry node let it in.
	ConfigVersion uint64 `cbor:"18,keyasint"`
	Sampled       bool   `cbor:"19,keyasint"`
	// Trailers are the names of trailers that may follow the body.
	Trailers []string `cbor:"20,keyasint,omitempty"`
}

// answerHead is the first frame of an answer.
type answerHead struct {
	Status        int          `cbor:"1,keyasint"`
	Header        []string     `cbor:"2,keyasint"`
	ContentLength int64        `cbor:"3,keyasint"`
	Load          routing.Load `cbor:"4,keyasint"`
}

// failure is a refusal, or the end of an answer that cannot be completed.
type failure struct {
	Code       verdict.Code  `cbor:"1,keyasint"`
	NotRun     bool          `cbor:"2,keyasint"`
	Detail     string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint"`
	Load       routing.Load  `cbor:"5,keyasint"`
	// Retries is what the calls nested in this one left of the retry budget.
	Retries int `cbor:"6,keyasint"`
}

func newFailure(err *verdict.Error, load routing.Load, retries int) failure {
	return failure{
		Retries: retries,
		Code:    err.Code, NotRun: err.Verdict == verdict.NotRun,
		Detail: err.Detail, RetryAfter: err.RetryAfter, Load: load,
	}
}

// remoteError is a failure that the target node reported.
type remoteError struct {
	failure *verdict.Error
	load    routing.Load
	retries int
}

// Error implements error.
func (e *remoteError) Error() string { return e.failure.Error() }

// Unwrap returns the failure.
func (e *remoteError) Unwrap() error { return e.failure }

func (f failure) err() *remoteError {
	v := verdict.MayHaveRun
	if f.NotRun {
		v = verdict.NotRun
	}
	return &remoteError{
		failure: &verdict.Error{Code: f.Code, Verdict: v, Detail: f.Detail, RetryAfter: f.RetryAfter},
		load:    f.Load,
		retries: f.Retries,
	}
}

// hopByHop are the headers that concern one connection only (RFC 9110, section
// 7.6.1), in canonical form.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// ownRequest are request headers that are meant for the system only. The
// customer's key must not reach targets.
var ownRequest = []string{"Authorization", headerCall, headerTimeout, headerRequestID, "Expect", "Host"}

// ownAnswer are answer headers that only the system may set.
var ownAnswer = []string{headerVerdict, headerVersion, headerRequestID, headerShed}

// flatten lists the end-to-end headers as names and values in turn. Pairs cost
// less to encode than a map of lists.
func flatten(header http.Header, own []string) []string {
	named := connectionOptions(header)
	pairs := make([]string, 0, 2*len(header))
	for name, values := range header {
		if slices.Contains(hopByHop, name) || slices.Contains(own, name) ||
			(len(named) > 0 && slices.Contains(named, name)) {
			continue
		}
		for _, value := range values {
			pairs = append(pairs, name, value)
		}
	}
	return pairs
}

// connectionOptions returns the headers that the Connection header names.
func connectionOptions(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// unflatten adds pairs to header.
func unflatten(header http.Header, pairs []string) {
	for i := 0; i+1 < len(pairs); i += 2 {
		header[pairs[i]] = append(header[pairs[i]], pairs[i+1])
	}
}
