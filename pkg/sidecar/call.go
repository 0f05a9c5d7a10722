package sidecar

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// call is one attempt of a request at one endpoint.
type call struct {
	id     string
	method string
	uri    string
	host   string
	// header holds the header fields to forward.
	header http.Header
	// body is the part of the request body that is in memory. remainingBody follows it
	// and is nil if body is complete. contentLength is the length of both, -1 if
	// unknown.
	body          []byte
	remainingBody *streamedBody
	contentLength int64

	hopMetadata
	deadline time.Time
	// bodySoftDeadline is the time by which a large body should have been sent, and
	// onBodyStarted is called when its first bytes are.
	bodySoftDeadline time.Time
	onBodyStarted    func()
}

// streamedBody is the part of a request body that is not in memory, so that it can be
// sent only once.
type streamedBody struct {
	source    io.Reader
	isStarted atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.isStarted.Store(true)
	return b.source.Read(p)
}

// prefetchBody reads the first part of a body of which nothing is in memory. The entry
// node takes the call for not run until it has been asked for the body, so that nothing
// of the call may reach the endpoint before.
func (c *call) prefetchBody() error {
	if c.remainingBody == nil || len(c.body) > 0 {
		return nil
	}
	buffer := make([]byte, prefetchedBodyBytes)
	n, err := io.ReadAtLeast(c.remainingBody, buffer, 1)
	c.body = buffer[:n]
	if err == io.EOF {
		return nil // The body is empty.
	}
	return err
}

// prefetchedBodyBytes bounds the part of a body that is read before its call is sent.
const prefetchedBodyBytes = 4 << 10

// bodyBytes is the size of the body as far as it is known.
func (c *call) bodyBytes() int64 { return max(c.contentLength, int64(len(c.body))) }

// hopMetadata is what an entry node tells the node of the chosen endpoint about a call.
// It is sent as JSON in the header Azurespring-Hop-Terms.
type hopMetadata struct {
	Endpoint string `json:"e"`
	Service  string `json:"s"`
	Version  string `json:"v"`
	Route    string `json:"r"`
	Caller   string `json:"c"`
	Priority int    `json:"p,omitempty"`
	// Tenant names the tenant of the request, "" for none, and TenantPriority ranks it.
	Tenant         string `json:"m,omitempty"`
	TenantPriority int    `json:"y,omitempty"`
	// Fingerprint identifies equal requests.
	Fingerprint mesh.Fingerprint `json:"h,omitempty"`
	// Nested is set for calls that an endpoint makes while it runs a request.
	Nested     bool `json:"n,omitempty"`
	Idempotent bool `json:"i,omitempty"`
	// Retry is set if the call counts as a retry at its service. Calls that the endpoint
	// makes meanwhile count as retries as well.
	Retry bool `json:"q,omitempty"`
	// Stopping is set if the entry node is shutting down.
	Stopping bool `json:"x,omitempty"`
	// TimeoutUs is the time until the deadline, SoftTimeoutUs the time until the soft
	// deadline, and MaxQueueWaitUs the longest useful wait for a slot, all in
	// microseconds.
	TimeoutUs      int64 `json:"l"`
	SoftTimeoutUs  int64 `json:"t"`
	MaxQueueWaitUs int64 `json:"w"`
	// BaselineUs is the mean latency of the old version on the route. It is set if the
	// call goes to a version under canary analysis.
	BaselineUs int64 `json:"f,omitempty"`
	// ConfigurationVersion is the highest configuration version and RolloutRevision the
	// revision of the newest rollout that the entry node has read or that other nodes
	// reported to it.
	ConfigurationVersion uint64 `json:"g,omitempty"`
	RolloutRevision      uint64 `json:"o,omitempty"`
	// EvacuationRevision is that of the newest change of the evacuations.
	EvacuationRevision uint64 `json:"z,omitempty"`
}

// endpointResponse is the response of an endpoint to a call.
type endpointResponse struct {
	status int
	header http.Header
	// contentLength is the length of the body, -1 if it is not known in advance.
	contentLength int64
	body          io.ReadCloser
	// notRun is set if the endpoint stated that it did not run the request.
	notRun bool
	load   placement.Load
	// headerLatency is the time from sending the call to the endpoint until its
	// response header arrived.
	headerLatency time.Duration
	// buffered holds the start of the body. isComplete is set if it holds all of the
	// body.
	buffered   []byte
	isComplete bool
}

// maxDiscardedBodyBytes bounds the body of a response that is read only so that its
// connection can be reused.
const maxDiscardedBodyBytes = 64 << 10

var errBodyTooLong = errors.New("the body is too long to discard")

// discardBody reads a body to its end and closes it. The connection of a body that is
// too long is closed.
func discardBody(body io.ReadCloser) error {
	defer body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBodyBytes))
	if err == nil && n == maxDiscardedBodyBytes {
		return errBodyTooLong
	}
	return err
}

// Headers between nodes. They are removed from the requests of clients.
const (
	hopHeaderPrefix          = "Azurespring-Hop-"
	hopMetadataHeader        = hopHeaderPrefix + "Terms"
	hopLoadHeader            = hopHeaderPrefix + "Load"
	hopLatencyHeader         = hopHeaderPrefix + "Took-Us"
	hopErrorHeader           = hopHeaderPrefix + "Error"
	hopConfigVersionHeader   = hopHeaderPrefix + "Config"
	hopRolloutRevisionHeader = hopHeaderPrefix + "Orders"
	hopEvacuationHeader      = hopHeaderPrefix + "Evacuations"
	hopLacksStateHeader      = hopHeaderPrefix + "Lacks-State"
	hopNotRunHeader          = hopHeaderPrefix + "Not-Run"
	hopFailurePercentHeader  = hopHeaderPrefix + "Failure-Percent"
	hopSlowdownHeader        = hopHeaderPrefix + "Slowdown"
)

// hopError is a rejection or failure that the node of an endpoint reports to the entry
// node.
type hopError struct {
	Code         verdict.Code `json:"code"`
	NotRun       bool         `json:"notRun"`
	Detail       string       `json:"detail"`
	RetryAfterUs int64        `json:"retryAfterUs,omitempty"`
}

func encodeHopHeader(v any) string {
	// The types are plain structs, which always encode.
	encoded, _ := json.Marshal(v)
	return string(encoded)
}

func (e hopError) verdictError() *verdict.Error {
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

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardableHeader returns the header fields to forward: those that belong to the
// request or response itself.
func forwardableHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !strings.HasPrefix(name, hopHeaderPrefix) {
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
