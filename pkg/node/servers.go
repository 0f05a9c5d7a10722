package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/azurespring/azurespring/pkg/config/static"
	"github.com/azurespring/azurespring/pkg/proxy"
)

// Limits of connections from callers, targets and operators.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// http2PingIdleDelay and http2PingTimeout detect connections with an
	// unresponsive peer.
	http2PingIdleDelay = 10 * time.Second
	http2PingTimeout   = 5 * time.Second
)

// servers holds the HTTP servers of a node and their listeners.
type servers struct {
	caller, target, admin                         *http.Server
	callerListener, targetListener, adminListener net.Listener
	callerTLS                                     static.TLSFiles
	// callerConnections is the number of open connections from callers.
	callerConnections atomic.Int64
	// calls is the parent of the contexts of all calls; endCalls ends it.
	calls    context.Context
	endCalls context.CancelCauseFunc
}

// listen binds the TCP listeners for callers, targets and operators, so that the
// ports are known before the node announces its addresses.
func (n *Node) listen() error {
	s := &servers{callerTLS: n.settings.CallerTLS}
	n.servers = s
	for _, l := range []struct {
		address      string
		listener     *net.Listener
		boundAddress *string
	}{
		{n.settings.CallerListenAddress, &s.callerListener, &n.addresses.Caller},
		{n.settings.TargetListenAddress, &s.targetListener, &n.addresses.Target},
		{n.settings.AdminListenAddress, &s.adminListener, &n.addresses.Admin},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			s.close()
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		*l.listener, *l.boundAddress = listener, listener.Addr().String()
	}
	n.addresses.Admin = advertisedAddress(n.settings.AdminAdvertiseAddress, n.addresses.Admin)
	return nil
}

// advertisedAddress returns advertised, with port 0 replaced by the port of
// listening, or listening if no address is advertised.
func advertisedAddress(advertised, listening string) string {
	host, port, err := net.SplitHostPort(advertised)
	if err != nil {
		return listening
	}
	if port != "0" {
		return advertised
	}
	_, port, _ = net.SplitHostPort(listening)
	return net.JoinHostPort(host, port)
}

func newServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		HTTP2:          &http.HTTP2Config{SendPingTimeout: http2PingIdleDelay, PingTimeout: http2PingTimeout},
	}
}

// serve starts the servers in group. Targets send both their calls and their
// announcements to the target listener.
func (s *servers) serve(group *errgroup.Group, entryHandler, announcements, admin http.Handler) {
	targetMux := http.NewServeMux()
	targetMux.Handle("/v1/targets/", announcements)
	targetMux.Handle("/", entryHandler)
	s.caller, s.target, s.admin = newServer(entryHandler), newServer(targetMux), newServer(admin)
	s.caller.ConnState = s.countCallerConnection
	s.calls, s.endCalls = context.WithCancelCause(context.Background())
	callContext := func(net.Listener) context.Context { return s.calls }
	s.caller.BaseContext, s.target.BaseContext = callContext, callContext
	group.Go(func() error {
		if s.callerTLS.Enabled() {
			return ignoreServerClosed(s.caller.ServeTLS(s.callerListener, s.callerTLS.CertFile, s.callerTLS.KeyFile))
		}
		return ignoreServerClosed(s.caller.Serve(s.callerListener))
	})
	group.Go(func() error { return ignoreServerClosed(s.target.Serve(s.targetListener)) })
	group.Go(func() error { return ignoreServerClosed(s.admin.Serve(s.adminListener)) })
}

// ignoreServerClosed returns nil for the errors of a server that was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *servers) countCallerConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.callerConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.callerConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// finalResponseTimeout is the last part of a shutdown, in which the responses to calls
// that the shutdown ended are sent.
const finalResponseTimeout = 500 * time.Millisecond

// endCallsBefore ends the calls that are still in flight finalResponseTimeout before the
// deadline of ctx, so that each gets a response before its connection is closed.
func (s *servers) endCallsBefore(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		time.AfterFunc(time.Until(deadline)-finalResponseTimeout, func() { s.endCalls(proxy.ErrNodeStopping) })
	}
}

// callerCloseTimeout is the longest time for which idle connections from callers
// stay open during a shutdown. The response to the next request on a connection
// tells the caller that the connection closes. Without this wait, a request that
// the caller sends while the node closes the connection gets no response. Busy
// callers send their next request within this time.
const callerCloseTimeout = time.Second

// shutdownCaller accepts no new connections from callers, waits for calls in flight
// and closes the connections. The entry handler must already reject new calls.
func (s *servers) shutdownCaller(ctx context.Context) {
	// Serve returns net.ErrClosed after this. An error of Close has no consequence.
	_ = s.callerListener.Close()
	closeCtx, cancel := context.WithTimeout(ctx, callerCloseTimeout)
	defer cancel()
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for s.callerConnections.Load() > 0 && closeCtx.Err() == nil {
		select {
		case <-closeCtx.Done():
		case <-ticker.C:
		}
	}
	// After an error some connections are still open; s.shutdown closes them.
	_ = s.caller.Shutdown(ctx)
}

// shutdown stops all servers gracefully and closes those that are still busy when
// ctx ends.
func (s *servers) shutdown(ctx context.Context) {
	for _, server := range []*http.Server{s.caller, s.target, s.admin} {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// close closes the listeners of a node that never served.
func (s *servers) close() {
	for _, listener := range []net.Listener{s.callerListener, s.targetListener, s.adminListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
