package sidecar

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/clientlimit"
)

// responseWriter is the http.ResponseWriter of one request. It holds the response back
// until the responses to earlier requests of the connection have been sent.
type responseWriter struct {
	session *session
	request *http.Request
	header  http.Header
	// previousDone is closed once the earlier responses have been sent, done once this
	// one has.
	previousDone chan struct{}
	done         chan struct{}

	// startsEarly is set if the request is started before the earlier responses have ended.
	startsEarly bool

	isHeaderWritten  bool
	isChunked        bool
	hasNoBody        bool
	closesConnection bool
	// isBodyLeft is set if the body of the request was not read to its end. What follows on
	// the connection is then not a request.
	isBodyLeft    bool
	contentLength int64
	written       int64
	err           error
	// writer is nil before the header section and after the end. heldBytes is what the
	// request holds of the account of its connection.
	writer    *bufio.Writer
	heldBytes int64
}

// responseBuffers holds buffers of responses that are being written.
var responseBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func (w *responseWriter) releaseWriter() {
	if w.writer != nil {
		w.writer.Reset(nil)
		responseBuffers.Put(w.writer)
		w.writer = nil
	}
}

// memoryHolder is implemented by the writer of a response whose request may hold memory.
type memoryHolder interface {
	// HoldMemory counts memory until the end of the request and reports whether there is
	// room.
	HoldMemory(bytes int64) bool
}

// holdMemory counts memory of the request of a response.
func holdMemory(w http.ResponseWriter, bytes int64) bool {
	holder, ok := w.(memoryHolder)
	return !ok || holder.HoldMemory(bytes)
}

// HoldMemory implements memoryHolder. It is called by the goroutine of the request.
func (w *responseWriter) HoldMemory(bytes int64) bool {
	if !w.session.conn.account.Hold(bytes) {
		w.session.conn.account.Refuse(clientlimit.ReasonMemory)
		return false
	}
	w.heldBytes += bytes
	return true
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// SetReadDeadline is called through http.ResponseController.
func (w *responseWriter) SetReadDeadline(t time.Time) error { return w.session.conn.SetReadDeadline(t) }

// EnableFullDuplex is called through http.ResponseController. Reading a body and
// writing a response are always independent here.
func (w *responseWriter) EnableFullDuplex() error { return nil }

// BeginStreaming implements streamStarter.
func (w *responseWriter) BeginStreaming() bool { return w.session.beginStreaming(w) }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.isHeaderWritten {
		return
	}
	w.isHeaderWritten = true
	select {
	case <-w.previousDone:
	case <-w.request.Context().Done():
		w.err = w.request.Context().Err()
		return
	}
	w.setFraming(status)
	_ = w.session.conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	w.writer = responseBuffers.Get().(*bufio.Writer)
	w.writer.Reset(w.session.conn)
	writer := w.writer
	_, _ = io.WriteString(writer, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n")
	if err := w.header.Write(writer); err != nil {
		w.err = err
		return
	}
	_, w.err = io.WriteString(writer, "\r\n")
}

// setFraming decides how the end of the body is marked (by length, chunks or close) and
// sets the corresponding header fields.
func (w *responseWriter) setFraming(status int) {
	w.closesConnection = w.request.Close || w.header.Get("Connection") == "close"
	w.contentLength = -1
	if text := w.header.Get("Content-Length"); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
			w.contentLength = n
		}
	}
	isEmptyByStatus := status == http.StatusNoContent || status == http.StatusNotModified
	if isEmptyByStatus {
		w.header.Del("Content-Length") // A 204 may have none, and that of a 304 is not known here.
	}
	w.hasNoBody = w.request.Method == http.MethodHead || isEmptyByStatus
	switch {
	case w.hasNoBody || w.contentLength >= 0:
	case w.request.ProtoAtLeast(1, 1):
		w.isChunked = true
		w.header.Set("Transfer-Encoding", "chunked")
	default:
		w.closesConnection = true
	}
	if w.closesConnection && !w.session.closeAfter(w) {
		w.closesConnection = false
		w.header.Del("Connection")
	}
	if w.closesConnection {
		w.header.Set("Connection", "close")
	} else if w.request.ProtoMinor == 0 {
		w.header.Set("Connection", "keep-alive")
	}
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil || len(p) == 0 || w.hasNoBody {
		return len(p), w.err
	}
	if w.contentLength >= 0 && w.written+int64(len(p)) > w.contentLength {
		return 0, http.ErrContentLength
	}
	writer := w.writer
	if w.isChunked {
		_, _ = io.WriteString(writer, strconv.FormatInt(int64(len(p)), 16)+"\r\n")
	}
	n, err := writer.Write(p)
	if w.isChunked {
		_, err = io.WriteString(writer, "\r\n")
	}
	w.written += int64(n)
	w.err = err
	return n, err
}

// finish completes the response. The connection is closed if the body is shorter than
// its Content-Length.
func (w *responseWriter) finish() {
	w.WriteHeader(http.StatusOK)
	writer := w.writer
	if w.isChunked && w.err == nil {
		_, w.err = io.WriteString(writer, "0\r\n\r\n")
	}
	if w.err == nil {
		w.err = writer.Flush()
	}
	w.releaseWriter()
	body, hasBody := w.request.Body.(*requestBody)
	if hasBody {
		body.end()
		w.isBodyLeft = true
	}
	if w.err != nil || !w.hasNoBody && w.contentLength >= 0 && w.written < w.contentLength {
		_ = w.session.conn.Close()
		return
	}
	if w.closesConnection {
		w.session.setLingering()
	}
	if hasBody {
		w.isBodyLeft = !body.drain()
		if w.isBodyLeft {
			w.session.setClosing()
		}
	}
	if w.closesConnection || w.isBodyLeft {
		w.session.linger()
	}
}

// abort closes the connection after a response that is not complete. If the end of the
// connection is the end of the body, only a reset shows that.
func (w *responseWriter) abort() {
	defer w.releaseWriter()
	if body, ok := w.request.Body.(*requestBody); ok {
		body.end()
		w.isBodyLeft = true
	}
	isDelimitedByClose := w.isHeaderWritten && !w.isChunked && !w.hasNoBody && w.contentLength < 0
	if tcp, ok := w.session.conn.Conn.(interface{ SetLinger(seconds int) error }); ok && isDelimitedByClose {
		_ = tcp.SetLinger(0)
	}
	_ = w.session.conn.Close()
}
