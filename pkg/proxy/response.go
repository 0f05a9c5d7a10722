package proxy

import (
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// responseWriter receives a target's response: one start, any number of writes and
// one finish. A response without finish is truncated.
type responseWriter interface {
	start(headerFrame *responseHeaderFrame) error
	// write receives the next bytes of the body. flush asks to send them at once,
	// because the next ones may take long to arrive.
	write(p []byte, flush bool) error
	finish(total int64, trailers []string) error
}

// callerResponse writes a response to the caller of the entry node.
type callerResponse call

func (r *callerResponse) start(headerFrame *responseHeaderFrame) error {
	header := r.w.Header()
	addHeaderPairs(header, headerFrame.Header)
	header[headerVersion] = []string{r.version}
	if headerFrame.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(headerFrame.ContentLength, 10)}
	}
	r.status, r.headerSent, r.responseStarted = headerFrame.Status, true, r.handler.options.Now()
	r.recording.start(headerFrame)
	if headerFrame.ContentLength < 0 || headerFrame.ContentLength > maxBufferedResponseBytes {
		// Without a write deadline, a caller that stops reading would hold the target's
		// slot indefinitely.
		controller := http.NewResponseController(r.w)
		r.hasWriteDeadline = controller.SetWriteDeadline(r.deadline.Add(r.handler.deadlineGrace)) == nil
	}
	r.w.WriteHeader(headerFrame.Status)
	return nil
}

func (r *callerResponse) write(p []byte, flush bool) error {
	r.recording.write(p)
	if _, err := r.w.Write(p); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	if flush {
		return http.NewResponseController(r.w).Flush()
	}
	return nil
}

func (r *callerResponse) finish(_ int64, trailers []string) error {
	header := r.w.Header()
	for i := 0; i+1 < len(trailers); i += 2 {
		header.Add(http.TrailerPrefix+trailers[i], trailers[i+1])
	}
	return nil
}

// streamResponse writes a response as frames to the entry node. It buffers the
// frames, so that a short response takes one write.
type streamResponse struct {
	stream interface{ Write(p []byte) (int, error) }
	buffer *frameBuffer
}

func (r *streamResponse) start(headerFrame *responseHeaderFrame) error {
	return r.buffer.appendFrame(frameResponseHeader, headerFrame)
}

func (r *streamResponse) write(p []byte, flush bool) error {
	r.buffer.appendBody(p)
	if flush || len(r.buffer.data) > frameBufferBytes/2 {
		return r.buffer.flush(r.stream)
	}
	return nil
}

func (r *streamResponse) finish(total int64, trailers []string) error {
	if err := r.buffer.appendFrame(frameEnd, endFrame{Total: total, Trailers: trailers}); err != nil {
		return err
	}
	return r.buffer.flush(r.stream)
}
