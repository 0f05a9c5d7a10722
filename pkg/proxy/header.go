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

// Headers that callers and targets use; see docs/design.md, section 5.
const (
	headerService        = "Azurespring-Service"
	headerTimeout        = "Azurespring-Timeout-Ms"
	headerIdempotent     = "Azurespring-Idempotent"
	headerIdempotencyKey = "Idempotency-Key"
	headerCall           = "Azurespring-Call"
	headerRequestID      = "Azurespring-Request-Id"
	headerVerdict        = "Azurespring-Verdict"
	headerVersion        = "Azurespring-Version"
	headerShed           = "Azurespring-Shed"
)

// callHeaderFrame is the first frame of a call from an entry node to a target node.
type callHeaderFrame struct {
	RequestID string `cbor:"1,keyasint"`
	Customer  string `cbor:"2,keyasint"`
	Plan      string `cbor:"3,keyasint"`
	// Weight is the customer's weight in the fair sharing of the target's slots.
	Weight     int    `cbor:"4,keyasint"`
	Service    string `cbor:"5,keyasint"`
	Route      string `cbor:"6,keyasint"`
	Department string `cbor:"7,keyasint"`
	TargetID   string `cbor:"8,keyasint"`
	Version    string `cbor:"9,keyasint"`
	Method     string `cbor:"10,keyasint"`
	URI        string `cbor:"11,keyasint"`
	Host       string `cbor:"12,keyasint"`
	// Header holds alternating names and values, without hop-by-hop headers.
	Header []string `cbor:"13,keyasint"`
	// ContentLength is -1 if unknown.
	ContentLength int64 `cbor:"14,keyasint"`
	// RemainingTime is the time until the call's deadline. It is relative because the
	// nodes' clocks differ.
	RemainingTime time.Duration `cbor:"15,keyasint"`
	Depth         int           `cbor:"16,keyasint"`
	// RemainingRetries is the number of retries left to this call and all calls
	// nested in it.
	RemainingRetries int `cbor:"17,keyasint"`
	// ConfigVersion is the configuration version with which the entry node admitted
	// the call.
	ConfigVersion uint64 `cbor:"18,keyasint"`
	Sampled       bool   `cbor:"19,keyasint"`
	// Trailers are the names of trailers that may follow the body.
	Trailers []string `cbor:"20,keyasint,omitempty"`
}

// responseHeaderFrame is the first frame of a response.
type responseHeaderFrame struct {
	Status        int          `cbor:"1,keyasint"`
	Header        []string     `cbor:"2,keyasint"`
	ContentLength int64        `cbor:"3,keyasint"`
	Load          routing.Load `cbor:"4,keyasint"`
}

// failureFrame rejects a call, or ends a response that cannot be completed.
type failureFrame struct {
	Code       verdict.Code  `cbor:"1,keyasint"`
	NotRun     bool          `cbor:"2,keyasint"`
	Detail     string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint"`
	Load       routing.Load  `cbor:"5,keyasint"`
	// RemainingRetries is the number of retries that the nested calls did not use.
	RemainingRetries int `cbor:"6,keyasint"`
}

func newFailureFrame(err *verdict.Error, targetLoad routing.Load, remainingRetries int) failureFrame {
	return failureFrame{
		RemainingRetries: remainingRetries,
		Code:             err.Code, NotRun: err.Verdict == verdict.NotRun,
		Detail: err.Detail, RetryAfter: err.RetryAfter, Load: targetLoad,
	}
}

// remoteError is an error that the target node reported.
type remoteError struct {
	verdictErr       *verdict.Error
	targetLoad       routing.Load
	remainingRetries int
}

// Error implements error.
func (e *remoteError) Error() string { return e.verdictErr.Error() }

// Unwrap returns the reported error.
func (e *remoteError) Unwrap() error { return e.verdictErr }

func (f failureFrame) toRemoteError() *remoteError {
	v := verdict.MayHaveRun
	if f.NotRun {
		v = verdict.NotRun
	}
	return &remoteError{
		verdictErr:       &verdict.Error{Code: f.Code, Verdict: v, Detail: f.Detail, RetryAfter: f.RetryAfter},
		targetLoad:       f.Load,
		remainingRetries: f.RemainingRetries,
	}
}

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, section
// 7.6.1), in canonical form.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// excludedRequestHeaders are request headers that are not forwarded to targets. The
// customer key must not reach targets.
var excludedRequestHeaders = []string{"Authorization", headerCall, headerTimeout, headerRequestID, "Expect", "Host"}

// excludedResponseHeaders are response headers that only nodes may set.
var excludedResponseHeaders = []string{headerVerdict, headerVersion, headerRequestID, headerShed}

// flattenHeader returns the end-to-end headers as alternating names and values, without
// those in excluded. Pairs cost less to encode than a map of lists.
func flattenHeader(header http.Header, excluded []string) []string {
	connectionHeaders := connectionOptions(header)
	pairs := make([]string, 0, 2*len(header))
	for name, values := range header {
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(excluded, name) ||
			(len(connectionHeaders) > 0 && slices.Contains(connectionHeaders, name)) {
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

// addHeaderPairs adds the alternating names and values of pairs to header.
func addHeaderPairs(header http.Header, pairs []string) {
	for i := 0; i+1 < len(pairs); i += 2 {
		header[pairs[i]] = append(header[pairs[i]], pairs[i+1])
	}
}
