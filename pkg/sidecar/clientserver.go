package sidecar

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/clientlimit"
	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/overload"
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
	// acceptRetryDelay is the pause after a connection could not be accepted. net/http waits
	// for between 5 ms and a second.
	acceptRetryDelay = 20 * time.Millisecond
	// requestBufferBytes is the size of the buffer that requests are parsed in.
	requestBufferBytes = 4 << 10
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
	// onCut is called when the server closes a connection on which a request has begun to
	// arrive or has not been answered.
	onCut func(cutConnection)
	// headers bounds header sections, headerTimeout the time in which one arrives and
	// maxPipelined the requests of one connection that are handled at the same time.
	headers       overload.HeaderScanner
	headerTimeout time.Duration
	maxPipelined  int

	mu       sync.Mutex
	listener net.Listener
	sessions map[*session]struct{}
	closed   bool
}

func newClientServer(
	handler http.Handler, limits func() mesh.Limits, onPanic func(reason any, stack []byte), onCut func(cutConnection),
) *clientServer {
	return &clientServer{
		handler: handler, limits: limits, onPanic: onPanic, onCut: onCut, sessions: make(map[*session]struct{}),
		headers: overload.HeaderScanner{MaxBytes: maxClientHeaderBytes}, headerTimeout: clientHeaderTimeout, maxPipelined: maxPipelinedRequests,
	}
}

// cutConnection describes a connection that the server closed before a request on it
// was answered.
type cutConnection struct {
	reason string
	client string
	// inFlight is the number of requests without a complete response. isReading is set if
	// a further request was arriving; unreadBytes is what had arrived behind it.
	inFlight    int
	isReading   bool
	unreadBytes int
	// idle is the time since the last response ended; it means nothing unless inFlight is
	// 0.
	idle time.Duration
}

// cutByShutdown is the reason of a connection that is closed at the end of a shutdown.
const cutByShutdown = "shutdown"

// Serve accepts connections until Shutdown or Close is called, and then returns
// http.ErrServerClosed.
func (s *clientServer) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		c, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return http.ErrServerClosed
			}
			if !clientlimit.IsTemporary(err) {
				return err
			}
			time.Sleep(acceptRetryDelay)
			continue
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
		go session.conn.readAhead()
		go session.serve()
	}
}

func (s *clientServer) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
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
		session.mu.Lock()
		session.reportCut(cutByShutdown)
		session.mu.Unlock()
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
	headerReader *exchange.LimitedReader
	reader       *bufio.Reader
	// scanner finds the end of header sections, so that only complete ones are parsed.
	scanner overload.HeaderScanner

	// isReading is set while a request is arriving that has not been started, isLingering
	// once the response that closes the connection has been sent.
	// lastResponse belongs to the request that was started last; inFlight is the number
	// of requests that have not ended. Once isClosing is set, no further request is
	// started and the connection ends after lastResponse, or at once if nothing is in
	// flight.
	mu          sync.Mutex
	isReading   bool
	isLingering bool
	// streaming is the response that is sent while it arrives from its endpoint, nil if there
	// is none. It ends the connection if it is cut, so that no further request is started
	// before its end.
	lastResponse *responseWriter
	streaming    *responseWriter
	inFlight     int
	isClosing    bool
	// idleSince is when the last response ended. idleTimer closes the idle connection.
	// minIdle is the idle time from which closeIfIdle closes it.
	idleSince time.Time
	idleTimer *time.Timer
	minIdle   time.Duration
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
	// What follows the header may be the begin of the next request.
	s.isReading = s.reader.Buffered() > 0 || !mayStartEarly(w.request)
	s.lastResponse = w
	s.conn.account.Enter(overload.Running)
	w.startsEarly = mayStartEarly(w.request) && s.streaming == nil
	s.inFlight++
	return true
}

// beginStreaming reports whether the response of w may be sent while it arrives. It may not
// if later requests have been started: if the response is cut, theirs are lost.
func (s *session) beginStreaming(w *responseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastResponse != w {
		return false
	}
	s.streaming = w
	return true
}

// endStreaming lets further requests be started once the response of w has ended.
func (s *session) endStreaming(w *responseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streaming == w {
		s.streaming = nil
	}
}

// end records that a request has ended.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 {
		s.enterPhase()
		s.startIdleTimer()
	}
}

// enterPhase records what a connection without requests in flight does; s.mu must be held.
func (s *session) enterPhase() {
	if s.isReading {
		s.conn.account.Enter(overload.Sending)
	} else {
		s.conn.account.Enter(overload.Idle)
	}
}

// startIdleTimer arranges that the connection is closed after the idle timeout of the
// configuration; s.mu must be held.
func (s *session) startIdleTimer() {
	s.idleSince = time.Now()
	if idleTimeout := s.server.limits().IdleTimeout; idleTimeout > 0 {
		s.resetIdleTimer(idleTimeout)
	}
}

// resetIdleTimer lets the idle timeout be checked after wait; s.mu must be held.
func (s *session) resetIdleTimer(wait time.Duration) {
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	s.idleTimer = time.AfterFunc(wait, s.checkIdleTimeout)
}

// checkIdleTimeout closes the connection if it has been idle for the idle timeout. A
// configuration may have changed the timeout since the timer was started: clients go by
// the new one.
func (s *session) checkIdleTimeout() {
	s.mu.Lock()
	idleTimeout := s.server.limits().IdleTimeout
	remaining := idleTimeout - time.Since(s.idleSince)
	if idleTimeout > 0 && remaining > 0 && s.inFlight == 0 {
		s.resetIdleTimer(remaining)
	}
	s.mu.Unlock()
	if idleTimeout > 0 && remaining <= 0 {
		s.closeIfIdle(idleTimeout)
	}
}

// closeIfIdle closes the connection if no request has been in flight or arriving for at
// least minIdle. The goroutine that reads from the socket decides that, because a request
// may be on its way from the socket to the buffer.
func (s *session) closeIfIdle(minIdle time.Duration) {
	s.mu.Lock()
	mayBeIdle := s.inFlight == 0 && !s.isReading
	s.minIdle = minIdle
	s.mu.Unlock()
	if mayBeIdle {
		s.conn.interruptRead()
	}
}

// closeInterrupted closes the connection whose read closeIfIdle interrupted if it is idle.
func (s *session) closeInterrupted() {
	s.mu.Lock()
	isIdle := s.inFlight == 0 && !s.isReading && time.Since(s.idleSince) >= s.minIdle && !s.conn.hasUnread()
	s.isClosing = s.isClosing || isIdle
	s.mu.Unlock()
	if isIdle {
		_ = s.conn.Close()
	}
}

// reportCut reports that the server closes the connection if a request on it is not
// answered; s.mu must be held.
func (s *session) reportCut(reason string) {
	unreadBytes := s.conn.unreadBytes()
	if s.conn.ctx.Err() != nil || s.isLingering || s.inFlight == 0 && !s.isReading && unreadBytes == 0 {
		return
	}
	s.server.onCut(cutConnection{
		reason: reason, client: s.conn.RemoteAddr().String(), inFlight: s.inFlight, isReading: s.isReading,
		unreadBytes: unreadBytes, idle: time.Since(s.idleSince),
	})
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

var errHeaderTooLarge = errors.New("request header is too large")

func newSession(server *clientServer, conn *clientConn) *session {
	headerReader := &exchange.LimitedReader{Source: conn, RemainingBytes: maxClientHeaderBytes, Err: errHeaderTooLarge}
	s := &session{
		server: server, conn: conn, headerReader: headerReader,
		reader: bufio.NewReaderSize(headerReader, requestBufferBytes), idleSince: time.Now(),
		scanner: overload.HeaderScanner{MaxBytes: server.headers.MaxBytes, MaxFields: server.headers.MaxFields},
	}
	conn.onInterrupted = s.closeInterrupted
	return s
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
	pipelineSlots := make(chan struct{}, s.server.maxPipelined)
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
		w := &responseWriter{session: s, request: r, header: make(http.Header), previousDone: earlierDone, done: make(chan struct{}), heldBytes: s.requestBytes()}
		if !s.conn.account.BeginCall() {
			<-earlierDone
			s.rejectUnreadable(errNoDescriptor)
			return
		}
		if !s.begin(w) {
			<-earlierDone
			return
		}
		earlierDone = w.done
		end := func() {
			<-pipelineSlots
			s.conn.account.EndCall()
			s.conn.account.Release(w.heldBytes)
			s.end()
		}
		if !w.startsEarly {
			// The body is read from the connection, or the request may not be safe to run
			// before the earlier requests have been answered.
			<-w.previousDone
			if mayStartEarly(r) && s.conn.ctx.Err() != nil {
				// The response before was cut, and the connection with it.
				close(w.done)
				end()
				return
			}
		}
		if mayStartEarly(r) {
			go s.respond(w, end)
		} else {
			s.respond(w, end)
		}
		if r.Close || w.isBodyLeft {
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

// respond runs the handler and completes the response.
func (s *session) respond(w *responseWriter, end func()) {
	defer end()
	defer close(w.done)
	defer s.endStreaming(w)
	defer func() {
		if p := recover(); p != nil {
			w.abort()
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
