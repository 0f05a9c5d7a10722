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

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
)

var (
	errStalled = eris.New("no progress within the progress timeout")
	// errCallerBody replaces read errors of the request body, which are the caller's
	// fault and not the target's.
	errCallerBody = eris.New("the request's body was cut")
)

// forwardedCall forwards one call to a local target and its response to
// writer.
type forwardedCall struct {
	handler *TargetHandler
	target  *localTarget
	call    *inFlightCall
	writer  responseWriter
	status  int
	// trailer holds the request's trailers; nil if it declared none.
	trailer http.Header

	ctx           context.Context
	cancel        context.CancelCauseFunc
	progressTimer *time.Timer
	// conn is the connection of this call, and writtenBefore the number of bytes
	// that earlier calls wrote to it.
	conn          atomic.Pointer[trackedConn]
	writtenBefore int64
	// written is the result of the write of the request to conn.
	written atomic.Pointer[exchange.WriteResult]
	// isBodyBroken is set if reading the request body failed.
	isBodyBroken atomic.Bool
}

// run sends the request to the target and forwards the response.
func (f *forwardedCall) run() *verdict.Error {
	f.ctx, f.cancel = context.WithCancelCause(f.call.ctx)
	defer f.cancel(nil)
	request, failure := f.outgoingRequest()
	if failure != nil {
		return failure
	}
	response, err := f.target.transport.RoundTrip(request)
	if err != nil {
		return f.attemptError(err, verdict.TargetFailed)
	}
	defer response.Body.Close()
	if status := response.StatusCode; status < http.StatusOK || status > maxStatus {
		// net/http passes such a response on, and its server panics for a status below 100. The
		// connection is closed with the body that nobody reads.
		return verdict.MayHaveRunErrorf(verdict.TargetFailed, nil, "the target responded with %d, which is no final status", status)
	}
	if err := exchange.CheckFieldNames(response.Header); err != nil {
		return verdict.MayHaveRunErrorf(verdict.TargetFailed, err, "the target's response is malformed")
	}
	f.status = response.StatusCode
	if isShed(response) {
		_, _ = io.CopyN(io.Discard, response.Body, transport.MaxCallFrameBytes)
		return verdict.NotRunErrorf(verdict.TargetShed, "the target shed the call")
	}
	return f.forwardResponse(response)
}

// maxStatus is the highest status of RFC 9110, 15.
const maxStatus = 599

func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(headerShed) == verdict.NotRun.String()
}

// outgoingRequest builds the request to the target. It sets no GetBody, and the body is
// never nil for methods that net/http considers idempotent. Otherwise net/http
// would retry the request after a connection error, but only the route says whether
// a retry is allowed.
func (f *forwardedCall) outgoingRequest() (*http.Request, *verdict.Error) {
	headerFrame := f.call.headerFrame
	uri, err := url.ParseRequestURI(headerFrame.URI)
	if err != nil {
		return nil, verdict.NotRunErrorf(verdict.BadRequest, "request URI is malformed")
	}
	uri.Scheme, uri.Host = "http", f.target.address
	header := make(http.Header, len(headerFrame.Header)/2+4)
	addHeaderPairs(header, headerFrame.Header)
	if key := header[headerIdempotencyKey]; key != nil {
		// net/http also retries requests that have this header under its canonical
		// name. To the target, header names are case-insensitive.
		delete(header, headerIdempotencyKey)
		header["idempotency-key"] = key
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""}
	}
	header[headerCall] = []string{f.call.id}
	header[headerRequestID] = []string{headerFrame.RequestID}
	remaining := f.call.deadline.Sub(f.handler.options.Now())
	header[headerTimeout] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)}
	outgoingRequest := &http.Request{
		Method: headerFrame.Method, URL: uri, Host: headerFrame.Host, Header: header,
		ContentLength: headerFrame.ContentLength, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	f.setBody(outgoingRequest)
	trace := &httptrace.ClientTrace{
		GotConn:      f.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) { f.written.Load().Set(info.Err) },
	}
	return outgoingRequest.WithContext(httptrace.WithClientTrace(f.ctx, trace)), nil
}

func (f *forwardedCall) setBody(request *http.Request) {
	incoming := f.call.request
	switch {
	case incoming.isBodyComplete && len(incoming.completeBody) == 0 && !isRetriedWithoutBody(request.Method):
	case incoming.isBodyComplete:
		request.Body = io.NopCloser(bytes.NewReader(incoming.completeBody))
	default:
		request.Body = io.NopCloser(readerFunc(f.readBody))
		f.startProgressTimer()
	}
	if names := f.call.headerFrame.Trailers; len(names) > 0 && request.Body != nil {
		f.trailer = make(http.Header, len(names))
		for _, name := range names {
			f.trailer[name] = nil
		}
		if incoming.isBodyComplete {
			f.fillTrailers()
		}
		// Only a chunked body can have trailers.
		request.Trailer, request.ContentLength = f.trailer, -1
	}
}

// fillTrailers sets the values of the declared trailers at the end of the body.
func (f *forwardedCall) fillTrailers() {
	pairs := f.call.request.trailers()
	for i := 0; i+1 < len(pairs); i += 2 {
		if values, ok := f.trailer[pairs[i]]; ok {
			f.trailer[pairs[i]] = append(values, pairs[i+1])
		}
	}
}

func isRetriedWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// readBody reads the streamed request body and records whether reading it failed.
func (f *forwardedCall) readBody(p []byte) (int, error) {
	n, err := f.call.request.body.Read(p)
	f.resetProgressTimer()
	if err == io.EOF && f.trailer != nil {
		f.fillTrailers()
	}
	if err != nil && err != io.EOF {
		f.isBodyBroken.Store(true)
		err = errCallerBody
	}
	return n, err
}

func (f *forwardedCall) gotConn(info httptrace.GotConnInfo) {
	f.written.Store(exchange.NewWriteResult())
	if conn, ok := info.Conn.(*trackedConn); ok {
		f.writtenBefore = conn.written.Load()
		f.conn.Store(conn)
	}
}

// hasSentBytes reports whether any byte of the request was sent to the target.
func (f *forwardedCall) hasSentBytes() bool {
	conn := f.conn.Load()
	return conn != nil && conn.written.Load() != f.writtenBefore
}

// startProgressTimer starts the progress timeout unless it runs already.
func (f *forwardedCall) startProgressTimer() {
	if f.progressTimer == nil {
		f.progressTimer = time.AfterFunc(f.handler.progressTimeout, func() { f.cancel(errStalled) })
	}
}

func (f *forwardedCall) resetProgressTimer() {
	if f.progressTimer != nil {
		f.progressTimer.Reset(f.handler.progressTimeout)
	}
}

// forwardResponse forwards the target's response. It reads a small response
// completely first, so that a truncated one becomes an error response.
func (f *forwardedCall) forwardResponse(response *http.Response) *verdict.Error {
	headerFrame := &responseHeaderFrame{
		Status: response.StatusCode, Header: flattenHeader(response.Header, excludedResponseHeaders),
		ContentLength: response.ContentLength, Load: f.target.load(),
	}
	buffer := newFrameBuffer()
	defer buffer.release()
	chunk := buffer.data[:transport.MaxCallFrameBytes]
	if length := response.ContentLength; length >= 0 && length <= maxBufferedResponseBytes {
		return f.forwardSmallResponse(headerFrame, response, chunk)
	}
	if conn := f.conn.Load(); conn != nil && exchange.IsCloseDelimited(response) {
		conn.closeDelimited.Store(f)
	}
	f.startProgressTimer()
	defer f.progressTimer.Stop()
	err := f.writer.start(headerFrame)
	if err == nil && response.ContentLength < 0 {
		err = f.writer.write(nil, true)
	}
	if err != nil {
		return f.responseWriteError(err)
	}
	var total int64
	for {
		n, err := response.Body.Read(chunk)
		f.resetProgressTimer()
		total += int64(n)
		if n > 0 {
			if err := f.writer.write(chunk[:n], response.ContentLength < 0); err != nil {
				return f.responseWriteError(err)
			}
			f.resetProgressTimer()
		}
		if err == io.EOF {
			return f.finishResponse(total, response)
		}
		if err != nil {
			return f.attemptError(err, verdict.AnswerCut)
		}
	}
}

// confirmEnd checks the end of the connection before net/http sees it, which would end the
// write of the request.
func (f *forwardedCall) confirmEnd() error { return f.written.Load().ConfirmEnd(f.ctx) }

func (f *forwardedCall) forwardSmallResponse(headerFrame *responseHeaderFrame, response *http.Response, chunk []byte) *verdict.Error {
	n, err := io.ReadFull(response.Body, chunk[:response.ContentLength])
	if err == io.EOF && !isBodyAllowed(response.Request.Method, response.StatusCode) {
		err = nil
	}
	if err != nil {
		return f.attemptError(err, verdict.AnswerCut)
	}
	if err := f.writer.start(headerFrame); err != nil {
		return f.responseWriteError(err)
	}
	if n > 0 {
		if err := f.writer.write(chunk[:n], false); err != nil {
			return f.responseWriteError(err)
		}
	}
	return f.finishResponse(int64(n), response)
}

// isBodyAllowed reports whether a response with a Content-Length has a body.
func isBodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (f *forwardedCall) finishResponse(total int64, response *http.Response) *verdict.Error {
	var trailers []string
	if len(response.Trailer) > 0 {
		if err := exchange.CheckFieldNames(response.Trailer); err != nil {
			return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the trailers of the target's response are malformed")
		}
		trailers = flattenHeader(response.Trailer, excludedResponseHeaders)
	}
	if err := f.writer.finish(total, trailers); err != nil {
		return f.responseWriteError(err)
	}
	return nil
}

// responseWriteError returns the error of a call whose response could not be
// forwarded.
func (f *forwardedCall) responseWriteError(err error) *verdict.Error {
	if f.call.ctx.Err() != nil {
		return contextError(f.call.ctx, verdict.MayHaveRun)
	}
	return verdict.MayHaveRunErrorf(verdict.Canceled, err, "the answer was not taken")
}

// attemptError returns the error of a call without a complete response. The verdict
// is not-run only if no byte of the request was sent.
func (f *forwardedCall) attemptError(err error, code verdict.Code) *verdict.Error {
	v := verdict.NotRun
	if f.hasSentBytes() {
		v = verdict.MayHaveRun
	}
	switch {
	case f.call.ctx.Err() != nil:
		return contextError(f.call.ctx, v)
	case f.isBodyBroken.Load():
		return &verdict.Error{Code: verdict.Canceled, Verdict: v, Detail: errCallerBody.Error()}
	case errors.Is(context.Cause(f.ctx), errStalled):
		return &verdict.Error{Code: code, Verdict: v, Detail: "the target made no progress", Cause: err}
	}
	failure := &verdict.Error{Code: code, Verdict: v, Detail: "the target did not answer", Cause: err}
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		failure.Detail = "the target does not accept connections"
		f.handler.handleDialError(f.target, dialErr)
		return failure
	}
	if isConnectionLost(err) && f.handler.detectCrash(f.target, f.conn.Load()) {
		failure.Code, failure.Detail = verdict.TargetCrashed, "the target's process ended during the call"
	}
	return failure
}

func isConnectionLost(err error) bool {
	var netErr *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.As(err, &netErr)
}
