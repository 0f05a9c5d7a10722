package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// Bounds on what is kept in memory of a body. A request or answer up to this
// size can be repeated or replaced as a whole.
const (
	bufferedRequestBytes = 64 << 10
	bufferedAnswerBytes  = 64 << 10
)

// defaultTimeout bounds requests without a deadline on routes without a timeout.
const defaultTimeout = 30 * time.Second

// maxRejections bounds how often a request is placed anew after gates rejected
// it. Each costs a round trip between nodes but no work at an endpoint.
const maxRejections = 6

// hedgeFactor is the multiple of the expected time after which a request that
// may run twice is also sent to a second endpoint: its answer may be lost.
const (
	hedgeFactor = 3
	hedgeLeast  = 60 * time.Millisecond
	// hedgeLatest is the latest part of the time left at which a second try is
	// still of use.
	hedgeLatest = 0.5
)

// request is one request of a client on its way through the entry node.
type request struct {
	entry   *EntryHandler
	w       http.ResponseWriter
	r       *http.Request
	id      string
	started time.Time

	snapshot *mesh.Snapshot
	route    *mesh.Route
	service  string
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	header   http.Header
	body     []byte
	rest     io.Reader

	// tried holds the endpoints that the request was sent to, arrivals the number
	// of tries that ended there, pending those that have not ended.
	tried      []*placement.Endpoint
	arrivals   int
	pending    int
	rejections int
	rejected   []placement.Rejection
	tries      int
	// cancels ends the tries that have not ended.
	cancels map[int]context.CancelFunc
	results chan tryResult
	// judgedFor is the time for which a try at a new version is left alone, so that
	// a slow answer shows; 0 for other tries.
	judgedFor time.Duration
	// decided is set once no further result is taken; mu guards it.
	mu      sync.Mutex
	decided bool
	// mayHaveRun is set once a failed try may have run at an endpoint.
	mayHaveRun bool
	// fallback is an endpoint's failure that is passed on if no repeat succeeds.
	fallback *answer
	status   int
	// served is the try whose answer was passed on.
	served tryResult
}

// tryResult is the end of one try.
type tryResult struct {
	number   int
	endpoint *placement.Endpoint
	repeat   bool
	answer   *answer
	failure  *verdict.Error
}

// run takes the request through all stages. A nil error means that an answer of
// an endpoint was chosen.
func (x *request) run() (*answer, *verdict.Error) {
	if err := x.locate(); err != nil {
		return nil, err
	}
	if err := x.bound(); err != nil {
		return nil, err
	}
	if err := x.readBody(); err != nil {
		return nil, err
	}
	x.service = x.entry.pickService(x.route)
	x.entry.budget(x.service).RecordRequest(x.entry.deps.now())
	return x.place()
}

// locate finds the route.
func (x *request) locate() *verdict.Error {
	if x.entry.deps.refusing.Load() {
		return verdict.NotRunErrorf(verdict.Draining, "the node is stopping")
	}
	if x.snapshot = x.entry.deps.snapshot.Load(); x.snapshot == nil || x.entry.deps.table.Load() == nil {
		err := verdict.NotRunErrorf(verdict.NoTarget, "the node has no configuration yet")
		err.RetryAfter = startRetryAfter
		return err
	}
	if x.route = x.snapshot.Match(x.r.Host, x.r.URL.Path); x.route == nil {
		return verdict.NotRunErrorf(verdict.UnknownRoute, "no route for %s%s", x.r.Host, x.r.URL.Path)
	}
	if limit := x.snapshot.Limits().MaxBodyBytes; limit > 0 && x.r.ContentLength > limit {
		return verdict.NotRunErrorf(verdict.BadRequest, "the body is larger than %d bytes", limit)
	}
	return nil
}

// startRetryAfter is the usual time until a node that has just started knows its
// configuration.
const startRetryAfter = 200 * time.Millisecond

// bound sets the deadline: the client's, or the route's timeout if that is sooner.
func (x *request) bound() *verdict.Error {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if text := x.r.Header.Get(x.entry.deps.headers.Deadline); text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || millis < 0 {
			return verdict.NotRunErrorf(verdict.BadRequest, "the deadline %q is not a number of milliseconds", text)
		}
		timeout = min(timeout, time.Duration(millis*float64(time.Millisecond)))
	}
	x.deadline = x.started.Add(timeout)
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline)
	return nil
}

// readBody reads the start of the body; a small body is read whole.
func (x *request) readBody() *verdict.Error {
	x.header = forwardable(x.r.Header)
	if x.r.ContentLength == 0 || x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline)
	buffer := make([]byte, bufferedRequestBytes)
	if length := x.r.ContentLength; length > 0 && length < bufferedRequestBytes {
		buffer = buffer[:length]
	}
	n, err := io.ReadFull(x.r.Body, buffer)
	x.body = buffer[:n]
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF && (x.r.ContentLength < 0 || int64(n) == x.r.ContentLength):
	case err != nil:
		switch {
		case x.ctx.Err() != nil:
			return x.ended()
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The connection's deadline is noticed before the context's.
			return verdict.NotRunErrorf(verdict.DeadlineExceeded, "the deadline has passed before the body was here")
		}
		return verdict.NotRunErrorf(verdict.BadRequest, "the body was cut: %v", err)
	case x.r.ContentLength < 0 || x.r.ContentLength > int64(n):
		x.rest = x.r.Body
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return nil
}

// ended is the error of a request whose context has ended.
func (x *request) ended() *verdict.Error {
	v := verdict.NotRun
	if x.mayHaveRun {
		v = verdict.MayHaveRun
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return &verdict.Error{Code: verdict.DeadlineExceeded, Verdict: v, Detail: "the deadline has passed"}
	}
	return &verdict.Error{Code: verdict.Canceled, Verdict: v, Detail: "the client gave up"}
}
