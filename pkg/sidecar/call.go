package sidecar

import (
	"encoding/json"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// call is one try of a request at one endpoint.
type call struct {
	id     string
	method string
	uri    string
	host   string
	// header holds the headers to forward.
	header http.Header
	// body is the part of the request's body in memory; rest follows it, nil if
	// the body is whole. length is the whole length, -1 if unknown.
	body   []byte
	rest   io.Reader
	length int64

	hopTerms
	deadline time.Time
}

// hopTerms are what an entry node tells the gate of the chosen endpoint.
type hopTerms struct {
	Endpoint string `json:"e"`
	Service  string `json:"s"`
	Version  string `json:"v"`
	Route    string `json:"r"`
	Caller   string `json:"c"`
	Priority int    `json:"p,omitempty"`
	// Nested is set for calls that an endpoint makes while it runs a request.
	Nested     bool `json:"n,omitempty"`
	Idempotent bool `json:"i,omitempty"`
	// Stopping is set if the entry node has begun to stop.
	Stopping bool `json:"x,omitempty"`
	// TimeoutUs, SoftTimeoutUs and MaxQueueWaitUs are the times in microseconds until the
	// deadline, until the answer loses worth, and the longest useful wait.
	TimeoutUs      int64 `json:"l"`
	SoftTimeoutUs  int64 `json:"t"`
	MaxQueueWaitUs int64 `json:"w"`
	// BaselineUs is the old version's mean time on the route, for a version that
	// is being judged.
	BaselineUs int64 `json:"f,omitempty"`
	// ConfigurationVersion is the highest configuration version, Orders the revision of the newest
	// rollout that the entry node has read or heard of.
	ConfigurationVersion uint64 `json:"g,omitempty"`
	RolloutRevision      uint64 `json:"o,omitempty"`
}

// answer is an endpoint's answer.
type answer struct {
	status int
	header http.Header
	// length is the length of the body, -1 if it is not known before its end.
	length int64
	body   io.ReadCloser
	// notRun is set if the endpoint stated that it did not run the request.
	notRun bool
	load   placement.Load
	// took is the time at the endpoint until the head of the answer.
	took time.Duration
	// buffered holds the start of the body that was read already, whole says that
	// nothing follows it.
	buffered []byte
	whole    bool
}

// Headers between nodes. They are stripped from what clients send.
const (
	hopPrefix    = "Azurespring-Hop-"
	hopTermsName = hopPrefix + "Terms"
	hopLoadName  = hopPrefix + "Load"
	hopTookName  = hopPrefix + "Took-Us"
	hopErrorName = hopPrefix + "Error"
	hopConfig    = hopPrefix + "Config"
	hopOrders    = hopPrefix + "Orders"
	hopLacks     = hopPrefix + "Lacks-State"
	hopNotRun    = hopPrefix + "Not-Run"
)

// hopError is a rejection or failure on its way to the entry node.
type hopError struct {
	Code         verdict.Code `json:"code"`
	NotRun       bool         `json:"notRun"`
	Detail       string       `json:"detail"`
	RetryAfterUs int64        `json:"retryAfterUs,omitempty"`
}

func encodeHop(v any) string {
	// The types are plain structs, which always encode.
	encoded, _ := json.Marshal(v)
	return string(encoded)
}

func (e hopError) failure() *verdict.Error {
	v := verdict.MayHaveRun
	if e.NotRun {
		v = verdict.NotRun
	}
	return &verdict.Error{
		Code: e.Code, Verdict: v, Detail: e.Detail, RetryAfter: time.Duration(e.RetryAfterUs) * time.Microsecond,
	}
}

func newHopError(err *verdict.Error) hopError {
	return hopError{
		Code: err.Code, NotRun: err.Verdict == verdict.NotRun, Detail: err.Detail,
		RetryAfterUs: err.RetryAfter.Microseconds(),
	}
}

// connectionHeaders concern one connection only and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardable copies the headers that concern the request or answer itself.
func forwardable(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !strings.HasPrefix(name, hopPrefix) {
			forwarded[name] = values
		}
	}
	for _, field := range header["Connection"] {
		for _, name := range strings.Split(field, ",") {
			delete(forwarded, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(forwarded, name)
	}
	return forwarded
}
