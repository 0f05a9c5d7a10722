package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
)

var (
	errStalled = eris.New("no progress")
	// errCallerBody marks errors of the body's sender, which the target is not
	// blamed for.
	errCallerBody = eris.New("the request's body was cut")
)

// forwarding is one call on its way to the target and back.
type forwarding struct {
	side   *TargetHandler
	target *localTarget
	call   *inFlight
	out    answer
	status int
	// trailer holds the request's trailers; nil if it declared none.
	trailer http.Header

	ctx    context.Context
	cancel context.CancelCauseFunc
	stall  *time.Timer
	// conn is the connection used, and before what it had written by then.
	conn   atomic.Pointer[trackedConn]
	before int64
	// badBody is set if the body's sender broke off.
	badBody atomic.Bool
}

// run forwards the call and passes the answer on.
func (f *forwarding) run() *verdict.Error {
	f.ctx, f.cancel = context.WithCancelCause(f.call.ctx)
	defer f.cancel(nil)
	request, failure := f.request()
	if failure != nil {
		return failure
	}
	response, err := f.target.transport.RoundTrip(request)
	if err != nil {
		return f.failed(err, verdict.TargetFailed)
	}
	defer response.Body.Close()
	f.status = response.StatusCode
	if isShed(response) {
		_, _ = io.CopyN(io.Discard, response.Body, transport.MaxCallFrameBytes)
		return verdict.NotRunErrorf(verdict.TargetShed, "the target shed the call")
	}
	return f.answer(response)
}

func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(headerShed) == verdict.NotRun.String()
}

// request builds the request to the target. Its body has no GetBody and is never
// nil for methods that net/http takes for idempotent, because net/http would
// send such a request again when a connection breaks, and only the route says
// whether that is allowed.
func (f *forwarding) request() (*http.Request, *verdict.Error) {
	head := f.call.head
	uri, err := url.ParseRequestURI(head.URI)
	if err != nil {
		return nil, verdict.NotRunErrorf(verdict.BadRequest, "request URI is malformed")
	}
	uri.Scheme, uri.Host = "http", f.target.address
	header := make(http.Header, len(head.Header)/2+4)
	unflatten(header, head.Header)
	if key := header[headerKey]; key != nil {
		// net/http also repeats requests that have this header under its canonical
		// name. Header names are case-insensitive to the target.
		delete(header, headerKey)
		header["idempotency-key"] = key
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""}
	}
	header[headerCall] = []string{f.call.id}
	header[headerRequestID] = []string{head.RequestID}
	remaining := f.call.deadline.Sub(f.side.deps.Now())
	header[headerTimeout] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)}
	request := &http.Request{
		Method: head.Method, URL: uri, Host: head.Host, Header: header,
		ContentLength: head.ContentLength, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	f.setBody(request)
	trace := &httptrace.ClientTrace{GotConn: f.gotConn}
	return request.WithContext(httptrace.WithClientTrace(f.ctx, trace)), nil
}

func (f *forwarding) setBody(request *http.Request) {
	incoming := f.call.request
	switch {
	case incoming.isWhole && len(incoming.whole) == 0 && !retriedWithoutBody(request.Method):
	case incoming.isWhole:
		request.Body = io.NopCloser(bytes.NewReader(incoming.whole))
	default:
		request.Body = io.NopCloser(readerFunc(f.readBody))
		f.watch()
	}
	if names := f.call.head.Trailers; len(names) > 0 && request.Body != nil {
		f.trailer = make(http.Header, len(names))
		for _, name := range names {
			f.trailer[name] = nil
		}
		if incoming.isWhole {
			f.setTrailers()
		}
		// Only a body in chunks can have trailers.
		request.Trailer, request.ContentLength = f.trailer, -1
	}
}

// setTrailers fills in the declared trailers at the end of the body.
func (f *forwarding) setTrailers() {
	pairs := f.call.request.trailers()
	for i := 0; i+1 < len(pairs); i += 2 {
		if values, ok := f.trailer[pairs[i]]; ok {
			f.trailer[pairs[i]] = append(values, pairs[i+1])
		}
	}
}

func retriedWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// readBody reads the streamed body and notes whose fault its end is.
func (f *forwarding) readBody(p []byte) (int, error) {
	n, err := f.call.request.body.Read(p)
	f.progress()
	if err == io.EOF && f.trailer != nil {
		f.setTrailers()
	}
	if err != nil && err != io.EOF {
		f.badBody.Store(true)
		err = errCallerBody
	}
	return n, err
}

func (f *forwarding) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*trackedConn); ok {
		f.before = conn.written.Load()
		f.conn.Store(conn)
	}
}

// handedOver reports whether any byte of the request went to the target.
func (f *forwarding) handedOver() bool {
	conn := f.conn.Load()
	return conn != nil && conn.written.Load() != f.before
}

// watch starts the progress timeout.
func (f *forwarding) watch() {
	if f.stall == nil {
		f.stall = time.AfterFunc(f.side.progress, func() { f.cancel(errStalled) })
	}
}

func (f *forwarding) progress() {
	if f.stall != nil {
		f.stall.Reset(f.side.progress)
	}
}

// answer passes the response on. A short one is read whole first, so that a cut
// is told by a proper error.
func (f *forwarding) answer(response *http.Response) *verdict.Error {
	head := &answerHead{
		Status: response.StatusCode, Header: flatten(response.Header, ownAnswer),
		ContentLength: response.ContentLength, Load: f.target.load(),
	}
	buffer := newFrameBuffer()
	defer buffer.release()
	chunk := buffer.data[:transport.MaxCallFrameBytes]
	if length := response.ContentLength; length >= 0 && length <= smallAnswerBytes {
		return f.answerSmall(head, response, chunk)
	}
	f.watch()
	defer f.stall.Stop()
	err := f.out.start(head)
	if err == nil && response.ContentLength < 0 {
		err = f.out.write(nil, true)
	}
	if err != nil {
		return f.notTaken(err)
	}
	var total int64
	for {
		n, err := response.Body.Read(chunk)
		f.progress()
		total += int64(n)
		if n > 0 {
			if err := f.out.write(chunk[:n], response.ContentLength < 0); err != nil {
				return f.notTaken(err)
			}
			f.progress()
		}
		if err == io.EOF {
			return f.finish(total, response)
		}
		if err != nil {
			return f.failed(err, verdict.AnswerCut)
		}
	}
}

func (f *forwarding) answerSmall(head *answerHead, response *http.Response, chunk []byte) *verdict.Error {
	n, err := io.ReadFull(response.Body, chunk[:response.ContentLength])
	if err == io.EOF && !bodyAllowed(response.Request.Method, response.StatusCode) {
		err = nil
	}
	if err != nil {
		return f.failed(err, verdict.AnswerCut)
	}
	if err := f.out.start(head); err != nil {
		return f.notTaken(err)
	}
	if n > 0 {
		if err := f.out.write(chunk[:n], false); err != nil {
			return f.notTaken(err)
		}
	}
	return f.finish(int64(n), response)
}

// bodyAllowed reports whether an answer with a Content-Length has a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (f *forwarding) finish(total int64, response *http.Response) *verdict.Error {
	var trailers []string
	if len(response.Trailer) > 0 {
		trailers = flatten(response.Trailer, ownAnswer)
	}
	if err := f.out.finish(total, trailers); err != nil {
		return f.notTaken(err)
	}
	return nil
}

// notTaken is the failure of a call whose answer could not be passed on.
func (f *forwarding) notTaken(err error) *verdict.Error {
	if f.call.ctx.Err() != nil {
		return ctxFailure(f.call.ctx, verdict.MayHaveRun)
	}
	return verdict.MayHaveRunErrorf(verdict.Canceled, err, "the answer was not taken")
}

// failed finds the true verdict of a call that the target did not answer whole.
func (f *forwarding) failed(err error, code verdict.Code) *verdict.Error {
	v := verdict.NotRun
	if f.handedOver() {
		v = verdict.MayHaveRun
	}
	switch {
	case f.call.ctx.Err() != nil:
		return ctxFailure(f.call.ctx, v)
	case f.badBody.Load():
		return &verdict.Error{Code: verdict.Canceled, Verdict: v, Detail: errCallerBody.Error()}
	case errors.Is(context.Cause(f.ctx), errStalled):
		return &verdict.Error{Code: code, Verdict: v, Detail: "the target made no progress", Cause: err}
	}
	failure := &verdict.Error{Code: code, Verdict: v, Detail: "the target did not answer", Cause: err}
	var dial *dialError
	if errors.As(err, &dial) {
		failure.Detail = "the target does not accept connections"
		f.side.refused(f.target, dial)
		return failure
	}
	if connectionLost(err) && f.side.crashed(f.target, f.conn.Load()) {
		failure.Code, failure.Detail = verdict.TargetCrashed, "the target's process ended during the call"
	}
	return failure
}

func connectionLost(err error) bool {
	var netErr *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.As(err, &netErr)
}
