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

// Bounds of a client's connection.
const (
	// maxPipelined is the number of requests of one connection that are worked on
	// at the same time.
	maxPipelined = 16
	// headTimeout bounds the time of a client to send a request's head, headBytes
	// its size; the configuration's own bounds are lower.
	headTimeout = 10 * time.Second
	headBytes   = 64 << 10
	// answerTimeout bounds the time of a client to take an answer.
	answerTimeout = 30 * time.Second
	// lingerTimeout is how long a connection is kept after its last answer, so that
	// a reset does not overtake the answer.
	lingerTimeout = 500 * time.Millisecond
	// drainedBody is the rest of a body that is read past after an early answer.
	drainedBody = 256 << 10
	writeBuffer = 16 << 10
)

// clientServer serves clients by HTTP/1.1. Unlike net/http's server, it works on
// the requests that a client sends one behind the other at the same time and
// answers them in order. With net/http's codec, each waits only for its own
// endpoint: served one by one, a third request had lost most of its time before
// it was begun.
type clientServer struct {
	handler http.Handler
	limits  func() mesh.Limits
	// panicked is told of a handler that failed other than by http.ErrAbortHandler.
	panicked func(reason any, stack []byte)

	mu       sync.Mutex
	listener net.Listener
	sessions map[*session]struct{}
	closed   bool
}

func newClientServer(
	handler http.Handler, limits func() mesh.Limits, panicked func(reason any, stack []byte),
) *clientServer {
	return &clientServer{handler: handler, limits: limits, panicked: panicked, sessions: make(map[*session]struct{})}
}

// Serve accepts connections until Shutdown or Close and returns
// http.ErrServerClosed then.
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

// Shutdown stops accepting, closes idle connections and waits for the others
// until ctx ends.
func (s *clientServer) Shutdown(ctx context.Context) error {
	s.stopListening()
	ticker := time.NewTicker(stopPoll / 5)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		for session := range s.sessions {
			session.closeIdle(0)
		}
		left := len(s.sessions)
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Close stops accepting and closes all connections.
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
	server *clientServer
	conn   *clientConn
	head   *headReader
	reader *bufio.Reader
	writer *bufio.Writer

	// last is the request that was begun last, inFlight the number of those that have
	// not ended. Once closing is set, the connection ends with the answer to the last,
	// or at once if there is none, and no further request is begun.
	mu       sync.Mutex
	last     *answerWriter
	inFlight int
	closing  bool
	// idleSince is when the last answer ended; idle closes the connection.
	idleSince time.Time
	idle      *time.Timer
}

// begin reports whether work on w's request may begin. A request that crosses the
// close of its connection may not: nobody would get its answer.
func (s *session) begin(w *answerWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.last = w
	s.inFlight++
	return true
}

// end counts a request as ended.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 {
		s.watchIdle()
	}
}

// watchIdle closes the connection once it was idle for as long as the
// configuration allows; s.mu is held.
func (s *session) watchIdle() {
	s.idleSince = time.Now()
	limit := s.server.limits().IdleTimeout
	if limit <= 0 {
		return
	}
	if s.idle != nil {
		s.idle.Stop()
	}
	s.idle = time.AfterFunc(limit, func() { s.closeIdle(limit) })
}

// closeIdle closes the connection if it has been idle for the given time.
func (s *session) closeIdle(least time.Duration) {
	s.mu.Lock()
	idle := s.inFlight == 0 && time.Since(s.idleSince) >= least
	s.closing = s.closing || idle
	s.mu.Unlock()
	if idle {
		_ = s.conn.Close()
	}
}

// close reports whether w's answer may end the connection: not while requests
// behind it have been begun, because their answers would be lost.
func (s *session) close(w *answerWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = s.closing || s.last == w
	return s.closing
}

// headReader fails once more bytes are read than allowed.
type headReader struct {
	reader io.Reader
	left   int64
}

var errHeadTooLarge = errors.New("the request's head is too large")

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.reader.Read(p)
	h.left -= int64(n)
	return n, err
}

func newSession(server *clientServer, conn *clientConn) *session {
	head := &headReader{reader: conn, left: headBytes}
	return &session{
		server: server, conn: conn, head: head,
		reader: bufio.NewReader(head), writer: bufio.NewWriterSize(conn, writeBuffer),
	}
}

// serve reads requests until the connection ends.
func (s *session) serve() {
	defer func() {
		_ = s.conn.Close()
		s.mu.Lock()
		if s.idle != nil {
			s.idle.Stop()
		}
		s.mu.Unlock()
		s.server.mu.Lock()
		delete(s.server.sessions, s)
		s.server.mu.Unlock()
	}()
	previous := make(chan struct{})
	close(previous)
	slots := make(chan struct{}, maxPipelined)
	s.mu.Lock()
	s.watchIdle()
	s.mu.Unlock()
	for {
		r, err := s.readRequest()
		if err != nil {
			<-previous
			s.refuse(err)
			return
		}
		slots <- struct{}{}
		w := &answerWriter{session: s, request: r, header: make(http.Header), turn: previous, done: make(chan struct{})}
		if !s.begin(w) {
			<-previous
			return
		}
		previous = w.done
		end := func() {
			<-slots
			s.end()
		}
		if startsEarly(r) {
			go s.answer(w, end)
		} else {
			// The body is read from the connection, and the request may not be safe
			// to run before the answers in front of it are known.
			<-w.turn
			s.answer(w, end)
		}
		if r.Close {
			<-previous
			return
		}
	}
}

// startsEarly reports whether work on a request may begin before the answers in
// front of it were sent.
func startsEarly(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && (r.Body == nil || r.Body == http.NoBody)
}

// readRequest waits for the next request and reads its head.
func (s *session) readRequest() (*http.Request, error) {
	s.head.left = headBytes
	if _, err := s.reader.Peek(1); err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(headTimeout))
	r, err := http.ReadRequest(s.reader)
	if err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	s.head.left = int64(^uint64(0) >> 1)
	if r.ProtoMajor != 1 || r.Host == "" && r.ProtoMinor > 0 {
		return nil, errMalformed
	}
	r.RemoteAddr = s.conn.RemoteAddr().String()
	return r.WithContext(s.conn.ctx), nil
}

var errMalformed = errors.New("malformed request")

// refuse answers bytes that are no request and ends the connection.
func (s *session) refuse(err error) {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), s.conn.ctx.Err() != nil:
		return
	case errors.As(err, &netErr):
		status = http.StatusRequestTimeout
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	_, _ = io.WriteString(s.writer, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+
		"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = s.writer.Flush()
	s.linger()
}

// answer runs the handler and ends its answer.
func (s *session) answer(w *answerWriter, end func()) {
	defer end()
	defer close(w.done)
	defer func() {
		if p := recover(); p != nil {
			_ = s.conn.Close()
			if p != http.ErrAbortHandler {
				// A fault in one request must not end the process and the requests of
				// others; the client sees a broken connection.
				s.server.panicked(p, debug.Stack())
			}
		}
	}()
	s.server.handler.ServeHTTP(w, w.request)
	w.finish()
}

// linger lets the client take the last answer before the connection is closed.
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

// answerWriter is the http.ResponseWriter of one request. It holds the answer
// back until those in front of it have been sent.
type answerWriter struct {
	session *session
	request *http.Request
	header  http.Header
	// turn is closed once the answers in front are sent, done once this one is.
	turn chan struct{}
	done chan struct{}

	started bool
	chunked bool
	noBody  bool
	closes  bool
	length  int64
	written int64
	err     error
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// SetReadDeadline serves http.ResponseController.
func (w *answerWriter) SetReadDeadline(t time.Time) error { return w.session.conn.SetReadDeadline(t) }

// EnableFullDuplex serves http.ResponseController; bodies and answers are always
// independent here.
func (w *answerWriter) EnableFullDuplex() error { return nil }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if w.started {
		return
	}
	w.started = true
	select {
	case <-w.turn:
	case <-w.request.Context().Done():
		w.err = w.request.Context().Err()
		return
	}
	w.frame(status)
	_ = w.session.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	writer := w.session.writer
	_, _ = io.WriteString(writer, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n")
	if err := w.header.Write(writer); err != nil {
		w.err = err
		return
	}
	_, w.err = io.WriteString(writer, "\r\n")
}

// frame decides how the end of the body is told.
func (w *answerWriter) frame(status int) {
	w.closes = w.request.Close || w.header.Get("Connection") == "close"
	w.length = -1
	if text := w.header.Get("Content-Length"); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
			w.length = n
		}
	}
	w.noBody = w.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	switch {
	case w.noBody || w.length >= 0:
	case w.request.ProtoAtLeast(1, 1):
		w.chunked = true
		w.header.Set("Transfer-Encoding", "chunked")
	default:
		w.closes = true
	}
	if w.closes && !w.session.close(w) {
		w.closes = false
		w.header.Del("Connection")
	}
	if w.closes {
		w.header.Set("Connection", "close")
	} else if w.request.ProtoMinor == 0 {
		w.header.Set("Connection", "keep-alive")
	}
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil || len(p) == 0 || w.noBody {
		return len(p), w.err
	}
	if w.length >= 0 && w.written+int64(len(p)) > w.length {
		return 0, http.ErrContentLength
	}
	writer := w.session.writer
	if w.chunked {
		_, _ = io.WriteString(writer, strconv.FormatInt(int64(len(p)), 16)+"\r\n")
	}
	n, err := writer.Write(p)
	if w.chunked {
		_, err = io.WriteString(writer, "\r\n")
	}
	w.written += int64(n)
	w.err = err
	return n, err
}

// finish ends the answer; one that lacks bytes ends the connection.
func (w *answerWriter) finish() {
	w.WriteHeader(http.StatusOK)
	writer := w.session.writer
	if w.chunked && w.err == nil {
		_, w.err = io.WriteString(writer, "0\r\n\r\n")
	}
	if w.err == nil {
		w.err = writer.Flush()
	}
	if w.err != nil || !w.noBody && w.length >= 0 && w.written < w.length {
		_ = w.session.conn.Close()
		return
	}
	if body := w.request.Body; body != nil && body != http.NoBody {
		if n, err := io.CopyN(io.Discard, body, drainedBody); n == drainedBody || err != io.EOF {
			w.closes = true
		}
	}
	if w.closes {
		w.session.linger()
	}
}
