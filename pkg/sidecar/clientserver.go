package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Limits of a client connection.
const (
	// maxPipelinedRequests is the number of requests of one connection that are handled
	// at the same time.
	maxPipelinedRequests = 16
	// clientHeaderTimeout bounds the time that a client takes to send a request header,
	// maxClientHeaderBytes the size of that header. The limits of the configuration are
	// lower.
	clientHeaderTimeout  = 10 * time.Second
	maxClientHeaderBytes = 64 << 10
	// responseWriteTimeout bounds the time that a client takes to read a response.
	responseWriteTimeout = 30 * time.Second
	// lingerTimeout is how long a connection is kept open after its last response, so
	// that a reset doesn't discard the response before the client has read it.
	lingerTimeout = 500 * time.Millisecond
	// maxDrainedBodyBytes is how much of a request body is read and discarded after a
	// response that was sent before the body had been read.
	maxDrainedBodyBytes = 256 << 10
	// bodyDrainTimeout bounds the time that this takes.
	bodyDrainTimeout = 2 * time.Second
	writeBufferBytes = 16 << 10
)

// clientServer is an HTTP/1.1 server for clients. Unlike the server of net/http, it
// handles pipelined requests of one connection concurrently and sends their responses
// in order, so that each request waits only for its own endpoint. Handled one after the
// other, the third of several pipelined requests had lost most of its time before it
// was started. Parsing is left to net/http.
type clientServer struct {
	handler http.Handler
	limits  func() mesh.Limits
	// onPanic is called for a panic of a handler other than http.ErrAbortHandler.
	onPanic func(reason any, stack []byte)

	mu       sync.Mutex
	listener net.Listener
	sessions map[*session]struct{}
	closed   bool
}

func newClientServer(
	handler http.Handler, limits func() mesh.Limits, onPanic func(reason any, stack []byte),
) *clientServer {
	return &clientServer{handler: handler, limits: limits, onPanic: onPanic, sessions: make(map[*session]struct{})}
}

// Serve accepts connections until Shutdown or Close is called, and then returns
// http.ErrServerClosed.
func (s *clientServer) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		c, err := listener.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				return http.ErrServerClosed
			}
			return err
		}
		session := newSession(s, newClientConn(c))
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = c.Close()
			continue
		}
		s.sessions[session] = struct{}{}
		s.mu.Unlock()
		go session.serve()
	}
}

// Shutdown stops accepting connections, closes idle ones and waits for the others until
// ctx ends.
func (s *clientServer) Shutdown(ctx context.Context) error {
	s.stopListening()
	ticker := time.NewTicker(shutdownPollInterval / 5)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		for session := range s.sessions {
			session.closeIfIdle(0)
		}
		remaining := len(s.sessions)
		s.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Close stops accepting connections and closes all open ones.
func (s *clientServer) Close() error {
	s.stopListening()
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		_ = session.conn.Close()
	}
	return nil
}

func (s *clientServer) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// session is one connection of a client.
type session struct {
	server       *clientServer
	conn         *clientConn
	headerReader *headerLimitReader
	reader       *bufio.Reader
	writer       *bufio.Writer

	// lastResponse belongs to the request that was started last; inFlight is the number
	// of requests that have not ended. Once isClosing is set, no further request is
	// started and the connection ends after lastResponse, or at once if nothing is in
	// flight.
	mu           sync.Mutex
	lastResponse *responseWriter
	inFlight     int
	isClosing    bool
	// idleSince is when the last response ended. idleTimer closes the idle connection.
	idleSince time.Time
	idleTimer *time.Timer
}

// begin counts the request of w as in flight and reports whether it may be started. A
// request that arrives while its connection is being closed is not counted and may not
// be started, because its response could not be delivered.
func (s *session) begin(w *responseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing {
		return false
	}
	s.lastResponse = w
	s.inFlight++
	return true
}

// end records that a request has ended.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 {
		s.startIdleTimer()
	}
}

// startIdleTimer arranges that the connection is closed after the idle timeout of the
// configuration; s.mu must be held.
func (s *session) startIdleTimer() {
	s.idleSince = time.Now()
	idleTimeout := s.server.limits().IdleTimeout
	if idleTimeout <= 0 {
		return
	}
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	s.idleTimer = time.AfterFunc(idleTimeout, func() { s.closeIfIdle(idleTimeout) })
}

// closeIfIdle closes the connection if it has been idle for at least minIdle.
func (s *session) closeIfIdle(minIdle time.Duration) {
	s.mu.Lock()
	isIdle := s.inFlight == 0 && time.Since(s.idleSince) >= minIdle
	s.isClosing = s.isClosing || isIdle
	s.mu.Unlock()
	if isIdle {
		_ = s.conn.Close()
	}
}

// closeAfter reports whether the connection may be closed after the response of w. It
// may not if later requests have been started, because their responses would be lost.
// Otherwise no further request is started on the connection.
func (s *session) closeAfter(w *responseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosing = s.isClosing || s.lastResponse == w
	return s.isClosing
}

// headerLimitReader fails once more bytes are read than allowed.
type headerLimitReader struct {
	reader         io.Reader
	remainingBytes int64
}

var errHeaderTooLarge = errors.New("request header is too large")

// Read implements io.Reader.
func (h *headerLimitReader) Read(p []byte) (int, error) {
	if h.remainingBytes <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := h.reader.Read(p)
	h.remainingBytes -= int64(n)
	return n, err
}

func newSession(server *clientServer, conn *clientConn) *session {
	headerReader := &headerLimitReader{reader: conn, remainingBytes: maxClientHeaderBytes}
	return &session{
		server: server, conn: conn, headerReader: headerReader,
		reader: bufio.NewReader(headerReader), writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}
}

// serve reads and handles requests until the connection ends.
func (s *session) serve() {
	defer func() {
		_ = s.conn.Close()
		s.mu.Lock()
		if s.idleTimer != nil {
			s.idleTimer.Stop()
		}
		s.mu.Unlock()
		s.server.mu.Lock()
		delete(s.server.sessions, s)
		s.server.mu.Unlock()
	}()
	earlierDone := make(chan struct{})
	close(earlierDone)
	pipelineSlots := make(chan struct{}, maxPipelinedRequests)
	s.mu.Lock()
	s.startIdleTimer()
	s.mu.Unlock()
	for {
		r, err := s.readRequest()
		if err != nil {
			<-earlierDone
			s.rejectUnreadable(err)
			return
		}
		pipelineSlots <- struct{}{}
		w := &responseWriter{session: s, request: r, header: make(http.Header), previousDone: earlierDone, done: make(chan struct{})}
		if !s.begin(w) {
			<-earlierDone
			return
		}
		earlierDone = w.done
		end := func() {
			<-pipelineSlots
			s.end()
		}
		if mayStartEarly(r) {
			go s.respond(w, end)
		} else {
			// The body is read from the connection, and the request may not be safe to
			// run before the earlier requests have been answered.
			<-w.previousDone
			s.respond(w, end)
		}
		if r.Close {
			<-earlierDone
			return
		}
	}
}

// mayStartEarly reports whether a request may be started before the responses to the
// earlier requests of its connection were sent.
func mayStartEarly(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && (r.Body == nil || r.Body == http.NoBody)
}

// readRequest waits for the next request and reads its header.
func (s *session) readRequest() (*http.Request, error) {
	s.headerReader.remainingBytes = maxClientHeaderBytes
	if _, err := s.reader.Peek(1); err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(clientHeaderTimeout))
	r, err := http.ReadRequest(s.reader)
	if err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	s.headerReader.remainingBytes = int64(^uint64(0) >> 1)
	if r.ProtoMajor != 1 || r.Host == "" && r.ProtoMinor > 0 {
		return nil, errMalformed
	}
	r.RemoteAddr = s.conn.RemoteAddr().String()
	return r.WithContext(s.conn.ctx), nil
}

var errMalformed = errors.New("malformed request")

// rejectUnreadable sends the status for a request that could not be read, and ends the
// connection.
func (s *session) rejectUnreadable(err error) {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), s.conn.ctx.Err() != nil:
		return
	case errors.As(err, &netErr):
		status = http.StatusRequestTimeout
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	_, _ = io.WriteString(s.writer, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+
		"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = s.writer.Flush()
	s.linger()
}

// respond runs the handler and completes the response.
func (s *session) respond(w *responseWriter, end func()) {
	defer end()
	defer close(w.done)
	defer func() {
		if p := recover(); p != nil {
			_ = s.conn.Close()
			if p != http.ErrAbortHandler {
				// A panic in one request must not end the process and the requests of
				// others. The client of this request sees a closed connection.
				s.server.onPanic(p, debug.Stack())
			}
		}
	}()
	s.server.handler.ServeHTTP(w, w.request)
	w.finish()
}

// linger gives the client time to read the last response, then closes the connection.
func (s *session) linger() {
	if tcp, ok := s.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	timer := time.NewTimer(lingerTimeout)
	defer timer.Stop()
	select {
	case <-s.conn.ctx.Done():
	case <-timer.C:
	}
	_ = s.conn.Close()
}

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

	isHeaderWritten  bool
	isChunked        bool
	hasNoBody        bool
	closesConnection bool
	contentLength    int64
	written          int64
	err              error
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// SetReadDeadline is called through http.ResponseController.
func (w *responseWriter) SetReadDeadline(t time.Time) error { return w.session.conn.SetReadDeadline(t) }

// EnableFullDuplex is called through http.ResponseController. Reading a body and
// writing a response are always independent here.
func (w *responseWriter) EnableFullDuplex() error { return nil }

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
	writer := w.session.writer
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
	w.hasNoBody = w.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
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
	writer := w.session.writer
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
	writer := w.session.writer
	if w.isChunked && w.err == nil {
		_, w.err = io.WriteString(writer, "0\r\n\r\n")
	}
	if w.err == nil {
		w.err = writer.Flush()
	}
	if w.err != nil || !w.hasNoBody && w.contentLength >= 0 && w.written < w.contentLength {
		_ = w.session.conn.Close()
		return
	}
	if body := w.request.Body; body != nil && body != http.NoBody {
		_ = w.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
		if n, err := io.CopyN(io.Discard, body, maxDrainedBodyBytes); n == maxDrainedBodyBytes || err != io.EOF {
			w.closesConnection = true
		}
		_ = w.SetReadDeadline(time.Time{})
	}
	if w.closesConnection {
		w.session.linger()
	}
}
