package proxy

import (
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// answer takes a target's answer: start once, then write, then finish. An
// answer that is not finished is cut.
type answer interface {
	start(head *answerHead) error
	// write takes the next bytes; flush is set if more may be long in coming.
	write(p []byte, flush bool) error
	finish(total int64, trailers []string) error
}

// callerAnswer writes an answer to the caller of the entry node.
type callerAnswer call

func (a *callerAnswer) start(head *answerHead) error {
	header := a.w.Header()
	unflatten(header, head.Header)
	header[headerVersion] = []string{a.version}
	if head.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(head.ContentLength, 10)}
	}
	a.status, a.headSent, a.answered = head.Status, true, a.entry.deps.Now()
	a.recording.start(head)
	if head.ContentLength < 0 || head.ContentLength > smallAnswerBytes {
		// A caller that does not read must not hold the target's slot for good.
		control := http.NewResponseController(a.w)
		a.writeBounded = control.SetWriteDeadline(a.deadline.Add(a.entry.grace)) == nil
	}
	a.w.WriteHeader(head.Status)
	return nil
}

func (a *callerAnswer) write(p []byte, flush bool) error {
	a.recording.write(p)
	if _, err := a.w.Write(p); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	if flush {
		return http.NewResponseController(a.w).Flush()
	}
	return nil
}

func (a *callerAnswer) finish(_ int64, trailers []string) error {
	header := a.w.Header()
	for i := 0; i+1 < len(trailers); i += 2 {
		header.Add(http.TrailerPrefix+trailers[i], trailers[i+1])
	}
	return nil
}

// streamAnswer writes an answer as frames to the entry node. Frames are
// collected, so that a short answer is one write.
type streamAnswer struct {
	stream interface{ Write(p []byte) (int, error) }
	buffer *frameBuffer
}

func (a *streamAnswer) start(head *answerHead) error { return a.buffer.encode(frameAnswer, head) }

func (a *streamAnswer) write(p []byte, flush bool) error {
	a.buffer.body(p)
	if flush || len(a.buffer.data) > frameBufferBytes/2 {
		return a.buffer.flush(a.stream)
	}
	return nil
}

func (a *streamAnswer) finish(total int64, trailers []string) error {
	if err := a.buffer.encode(frameEnd, end{Total: total, Trailers: trailers}); err != nil {
		return err
	}
	return a.buffer.flush(a.stream)
}
