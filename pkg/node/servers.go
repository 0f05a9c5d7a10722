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
)

// Bounds of connections from callers, targets and operators.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// http2PingAfter and http2PingTimeout find connections on which the peer has
	// gone silent.
	http2PingAfter   = 10 * time.Second
	http2PingTimeout = 5 * time.Second
)

// servers are the HTTP servers of a node with their bound listeners.
type servers struct {
	caller, target, admin                         *http.Server
	callerListener, targetListener, adminListener net.Listener
	callerTLS                                     static.TLSFiles
	// callerConnections is the number of open connections of callers.
	callerConnections atomic.Int64
}

// listen binds the TCPProxy listeners, so that the ports are known before the node
// tells others.
func (n *Node) listen() error {
	s := &servers{callerTLS: n.settings.CallerTLS}
	n.servers = s
	for _, l := range []struct {
		address  string
		listener *net.Listener
		bound    *string
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
		*l.listener, *l.bound = listener, listener.Addr().String()
	}
	n.addresses.Admin = bound(n.settings.AdminAdvertiseAddress, n.addresses.Admin)
	return nil
}

// bound returns the advertised address with the bound port in place of port 0,
// or the bound address if none is advertised.
func bound(advertised, listening string) string {
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
		HTTP2:          &http.HTTP2Config{SendPingTimeout: http2PingAfter, PingTimeout: http2PingTimeout},
	}
}

// serve starts the servers in group. Calls from targets and their announcements
// share one address.
func (s *servers) serve(group *errgroup.Group, entry, announce, admin http.Handler) {
	local := http.NewServeMux()
	local.Handle("/v1/targets/", announce)
	local.Handle("/", entry)
	s.caller, s.target, s.admin = newServer(entry), newServer(local), newServer(admin)
	s.caller.ConnState = s.countCaller
	group.Go(func() error {
		if s.callerTLS.Enabled() {
			return endOf(s.caller.ServeTLS(s.callerListener, s.callerTLS.CertFile, s.callerTLS.KeyFile))
		}
		return endOf(s.caller.Serve(s.callerListener))
	})
	group.Go(func() error { return endOf(s.target.Serve(s.targetListener)) })
	group.Go(func() error { return endOf(s.admin.Serve(s.adminListener)) })
}

func endOf(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *servers) countCaller(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.callerConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.callerConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// callerNotice is how long connections of callers stay open once the node drains.
// The answer to the next request on one tells the caller that it ends; a request that
// crosses the close gets no answer. Callers that are busy send one sooner than this.
const callerNotice = time.Second

// shutdownCaller takes no new connections from callers and lets open calls end. Calls
// must be refused already.
func (s *servers) shutdownCaller(ctx context.Context) {
	// Serve ends with net.ErrClosed; another error of Close has no consequence here.
	_ = s.callerListener.Close()
	notice, cancel := context.WithTimeout(ctx, callerNotice)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.callerConnections.Load() > 0 && notice.Err() == nil {
		select {
		case <-notice.Done():
		case <-ticker.C:
		}
	}
	_ = s.caller.Shutdown(ctx) // shutdown closes what is left at the end of ctx.
}

// shutdown ends the servers that targets and operators use.
func (s *servers) shutdown(ctx context.Context) {
	for _, server := range []*http.Server{s.caller, s.target, s.admin} {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// close releases the listeners of a node that never served.
func (s *servers) close() {
	for _, listener := range []net.Listener{s.callerListener, s.targetListener, s.adminListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
