package proxy

import (
	"context"
	"errors"
	"io"

	"github.com/azurespring/azurespring/pkg/routing"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// tryRemote sends the call over one hop.
func (c *call) tryRemote(endpoint *routing.Endpoint) *verdict.Error {
	stream, err := c.entry.deps.CallOpener.OpenCall(c.ctx, endpoint.Address)
	if err != nil {
		if c.ctx.Err() != nil {
			return c.ended(verdict.NotRun)
		}
		refusal := verdict.NotRunErrorf(verdict.TargetFailed, "node of target %q cannot be reached", endpoint.ID)
		refusal.Cause = err
		return refusal
	}
	_ = stream.SetDeadline(c.deadline.Add(c.entry.grace))
	// A cancelled caller cancels the stream at once. At the deadline the target
	// node's verdict is awaited for deadlineGrace, bounded by SetDeadline.
	stop := context.AfterFunc(c.ctx, func() {
		if errors.Is(c.ctx.Err(), context.Canceled) {
			stream.Cancel()
		}
	})
	x := &exchange{call: c, stream: stream, reader: newFrameReader(stream)}
	failure := x.run()
	stop()
	x.reader.release()
	// Nothing more is read, even if the peer's end of the stream is still on its
	// way; a stream left open would hold up the shutdown of this node.
	stream.Cancel()
	return failure
}

// exchange is one try over a stream.
type exchange struct {
	call   *call
	stream transport.Stream
	reader *frameReader
}

func (x *exchange) run() *verdict.Error {
	if err := x.send(); err != nil {
		return x.broken(err)
	}
	kind, n, err := x.reader.next()
	if err != nil {
		return x.broken(err)
	}
	switch kind {
	case frameFailure:
		var f failure
		if err := x.reader.decode(n, &f); err != nil {
			return x.broken(err)
		}
		return x.broken(f.err())
	case frameAnswer:
		var head answerHead
		if err := x.reader.decode(n, &head); err != nil {
			return x.broken(err)
		}
		x.call.load = &head.Load
		return x.receive(&head)
	}
	return x.broken(errBadFrame)
}

// send writes the head and, if the body is whole, body and end in one write.
// Other bodies are sent while the answer is awaited.
func (x *exchange) send() error {
	c := x.call
	buffer := newFrameBuffer()
	defer buffer.release()
	if err := buffer.encode(frameCall, &c.head); err != nil {
		return verdict.NotRunErrorf(verdict.BadRequest, "request header: %v", err)
	}
	whole, ok := c.body.whole()
	if !ok {
		if err := buffer.flush(x.stream); err != nil {
			return err
		}
		go sendBody(x.stream, c.body)
		return nil
	}
	buffer.body(whole)
	if err := buffer.encode(frameEnd, end{Total: int64(len(whole)), Trailers: c.body.trailers()}); err != nil {
		return verdict.NotRunErrorf(verdict.BadRequest, "request trailers: %v", err)
	}
	if err := buffer.flush(x.stream); err != nil {
		return err
	}
	// The target node has the end frame. It may even have answered and released the
	// stream by now, in which case closing fails.
	_ = x.stream.CloseWrite()
	return nil
}

// sendBody streams a body. If the caller's side breaks, the stream is cancelled,
// so that the target never takes a cut body for a whole one.
func sendBody(stream transport.Stream, body *requestBody) {
	reader := &bodyReader{body: body}
	buffer := newFrameBuffer()
	defer buffer.release()
	chunk := make([]byte, transport.MaxCallFrameBytes)
	for {
		n, err := reader.Read(chunk)
		buffer.body(chunk[:n])
		if err == io.EOF {
			err = buffer.encode(frameEnd, end{Total: reader.offset, Trailers: body.trailers()})
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

// receive takes the answer to the caller. A short answer is awaited whole, so
// that a cut is told by a proper error.
func (x *exchange) receive(head *answerHead) *verdict.Error {
	out := (*callerAnswer)(x.call)
	buffer := newFrameBuffer()
	defer buffer.release()
	chunk := buffer.data[:transport.MaxCallFrameBytes]
	var finish end
	if head.ContentLength >= 0 && head.ContentLength <= smallAnswerBytes {
		return x.receiveSmall(head, chunk)
	}
	err := out.start(head)
	if err == nil && head.ContentLength < 0 {
		err = out.write(nil, true)
	}
	if err != nil {
		return x.broken(err)
	}
	for {
		n, err := x.reader.body(chunk, &finish)
		if n > 0 {
			if err := out.write(chunk[:n], head.ContentLength < 0); err != nil {
				return x.broken(err)
			}
		}
		if err == io.EOF {
			return x.finish(out, finish)
		}
		if err != nil {
			return x.broken(err)
		}
	}
}

func (x *exchange) receiveSmall(head *answerHead, chunk []byte) *verdict.Error {
	var finish end
	total := 0
	for {
		n, err := x.reader.body(chunk[total:], &finish)
		total += n
		if err == io.EOF {
			break
		}
		if err == nil && n == 0 && total == len(chunk) {
			err = errLength
		}
		if err != nil {
			return x.broken(err)
		}
	}
	if bodyAllowed(x.call.r.Method, head.Status) && int64(total) != head.ContentLength {
		return x.broken(errLength)
	}
	out := (*callerAnswer)(x.call)
	if err := out.start(head); err != nil {
		return x.broken(err)
	}
	if total > 0 {
		if err := out.write(chunk[:total], false); err != nil {
			return x.broken(err)
		}
	}
	return x.finish(out, finish)
}

func (x *exchange) finish(out answer, finish end) *verdict.Error {
	if err := out.finish(finish.Total, finish.Trailers); err != nil {
		return x.broken(err)
	}
	return nil
}

// broken finds the verdict of a try that did not end well. What the target node
// said is true; without its word the call may have run.
func (x *exchange) broken(err error) *verdict.Error {
	c := x.call
	var told *remoteError
	if errors.As(err, &told) {
		c.load = &told.load
		c.retries = max(0, min(c.retries, told.retries))
		return told.failure
	}
	if failure := asVerdict(err); failure != nil {
		return failure
	}
	if transport.IsStreamRefused(err) {
		return verdict.NotRunErrorf(verdict.NoTarget, "the target's node takes no calls")
	}
	if c.ctx.Err() != nil {
		return c.ended(verdict.MayHaveRun)
	}
	if c.headSent {
		return verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the answer ended early")
	}
	return verdict.MayHaveRunErrorf(verdict.TargetFailed, err, "the connection to the target's node broke")
}
