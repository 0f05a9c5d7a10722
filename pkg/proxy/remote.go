package proxy

import (
	"context"
	"errors"
	"io"

	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// attemptRemote sends the call to the endpoint's node.
func (c *call) attemptRemote(endpoint *routing.Endpoint) *verdict.Error {
	stream, err := c.handler.options.CallOpener.OpenCall(c.ctx, endpoint.Address)
	if err != nil {
		if c.ctx.Err() != nil {
			return c.contextError(verdict.NotRun)
		}
		rejection := verdict.NotRunErrorf(verdict.TargetFailed, "node of target %q cannot be reached", endpoint.ID)
		rejection.Cause = err
		return rejection
	}
	_ = stream.SetDeadline(c.deadline.Add(c.handler.deadlineGrace))
	// If the caller cancels the call, the stream is canceled at once. After the
	// deadline, SetDeadline leaves the target node deadlineGrace to send its verdict.
	stop := context.AfterFunc(c.ctx, func() {
		if errors.Is(c.ctx.Err(), context.Canceled) {
			stream.Cancel()
		}
	})
	attempt := &remoteAttempt{call: c, stream: stream, reader: newFrameReader(stream)}
	failure := attempt.run()
	stop()
	attempt.reader.release()
	// Nothing more is read, even if the peer's end of the stream has not arrived yet.
	// A stream left open would delay the shutdown of this node.
	stream.Cancel()
	return failure
}

// remoteAttempt is one attempt over a stream to the endpoint's node.
type remoteAttempt struct {
	call   *call
	stream transport.Stream
	reader *frameReader
}

func (a *remoteAttempt) run() *verdict.Error {
	if err := a.sendRequest(); err != nil {
		return a.attemptError(err)
	}
	kind, n, err := a.reader.readPrefix()
	if err != nil {
		return a.attemptError(err)
	}
	switch kind {
	case frameFailure:
		var f failureFrame
		if err := a.reader.decodePayload(n, &f); err != nil {
			return a.attemptError(err)
		}
		return a.attemptError(f.toRemoteError())
	case frameResponseHeader:
		var headerFrame responseHeaderFrame
		if err := a.reader.decodePayload(n, &headerFrame); err != nil {
			return a.attemptError(err)
		}
		a.call.targetLoad = &headerFrame.Load
		return a.receiveResponse(&headerFrame)
	}
	return a.attemptError(errMalformedFrame)
}

// sendRequest sends the header, body and end frames in one write if the body is
// complete. Otherwise it streams the body in the background.
func (a *remoteAttempt) sendRequest() error {
	c := a.call
	buffer := newFrameBuffer()
	defer buffer.release()
	if err := buffer.appendFrame(frameCallHeader, &c.headerFrame); err != nil {
		return verdict.NotRunErrorf(verdict.BadRequest, "request header: %v", err)
	}
	body, ok := c.body.complete()
	if !ok {
		if err := buffer.flush(a.stream); err != nil {
			return err
		}
		go sendBody(a.stream, c.body)
		return nil
	}
	buffer.appendBody(body)
	if err := buffer.appendFrame(frameEnd, endFrame{Total: int64(len(body)), Trailers: c.body.trailers()}); err != nil {
		return verdict.NotRunErrorf(verdict.BadRequest, "request trailers: %v", err)
	}
	if err := buffer.flush(a.stream); err != nil {
		return err
	}
	// The end frame was sent. The target node may even have responded and released the
	// stream by now, in which case closing fails.
	_ = a.stream.CloseWrite()
	return nil
}

// sendBody streams a body. If reading it fails, it cancels the stream, so that the
// target never takes a truncated body for a complete one.
func sendBody(stream transport.Stream, body *requestBody) {
	reader := &bodyReader{body: body}
	buffer := newFrameBuffer()
	defer buffer.release()
	chunk := make([]byte, transport.MaxCallFrameBytes)
	for {
		n, err := reader.Read(chunk)
		buffer.appendBody(chunk[:n])
		if err == io.EOF {
			err = buffer.appendFrame(frameEnd, endFrame{Total: reader.offset, Trailers: body.trailers()})
			if err == nil && buffer.flush(stream) == nil {
				_ = stream.CloseWrite()
				return
			}
		}
		if err != nil || buffer.flush(stream) != nil {
			stream.Cancel()
			return
		}
	}
}

// receiveResponse forwards the response to the caller. It reads a small response
// completely first, so that a truncated one becomes an error response.
func (a *remoteAttempt) receiveResponse(headerFrame *responseHeaderFrame) *verdict.Error {
	response := (*callerResponse)(a.call)
	buffer := newFrameBuffer()
	defer buffer.release()
	chunk := buffer.data[:transport.MaxCallFrameBytes]
	var end endFrame
	if headerFrame.ContentLength >= 0 && headerFrame.ContentLength <= maxBufferedResponseBytes {
		return a.receiveSmallResponse(headerFrame, chunk)
	}
	err := response.start(headerFrame)
	if err == nil && headerFrame.ContentLength < 0 {
		err = response.write(nil, true)
	}
	if err != nil {
		return a.attemptError(err)
	}
	for {
		n, err := a.reader.readBody(chunk, &end)
		if n > 0 {
			if err := response.write(chunk[:n], headerFrame.ContentLength < 0); err != nil {
				return a.attemptError(err)
			}
		}
		if err == io.EOF {
			return a.end(response, end)
		}
		if err != nil {
			return a.attemptError(err)
		}
	}
}

func (a *remoteAttempt) receiveSmallResponse(headerFrame *responseHeaderFrame, chunk []byte) *verdict.Error {
	var end endFrame
	total := 0
	for {
		n, err := a.reader.readBody(chunk[total:], &end)
		total += n
		if err == io.EOF {
			break
		}
		if err == nil && n == 0 && total == len(chunk) {
			err = errLengthMismatch
		}
		if err != nil {
			return a.attemptError(err)
		}
	}
	if isBodyAllowed(a.call.r.Method, headerFrame.Status) && int64(total) != headerFrame.ContentLength {
		return a.attemptError(errLengthMismatch)
	}
	response := (*callerResponse)(a.call)
	if err := response.start(headerFrame); err != nil {
		return a.attemptError(err)
	}
	if total > 0 {
		if err := response.write(chunk[:total], false); err != nil {
			return a.attemptError(err)
		}
	}
	return a.end(response, end)
}

// end finishes the response with the content of the end frame.
func (a *remoteAttempt) end(writer responseWriter, end endFrame) *verdict.Error {
	if err := writer.finish(end.Total, end.Trailers); err != nil {
		return a.attemptError(err)
	}
	return nil
}

// attemptError returns the error of a failed attempt. It trusts a verdict that the
// target node reported; without one, the call may have run.
func (a *remoteAttempt) attemptError(err error) *verdict.Error {
	c := a.call
	var remoteErr *remoteError
	if errors.As(err, &remoteErr) {
		c.targetLoad = &remoteErr.targetLoad
		c.remainingRetries = max(0, min(c.remainingRetries, remoteErr.remainingRetries))
		return remoteErr.verdictErr
	}
	if failure := asVerdictError(err); failure != nil {
		return failure
	}
	if transport.IsStreamRefused(err) {
		return verdict.NotRunErrorf(verdict.NoTarget, "the target's node takes no calls")
	}
	if c.ctx.Err() != nil {
		return c.contextError(verdict.MayHaveRun)
	}
	if c.headerSent {
		return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the answer ended early")
	}
	return verdict.MayHaveRunErrorf(verdict.TargetFailed, err, "the connection to the target's node broke")
}
