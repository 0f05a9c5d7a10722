package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/proxy"
)

// Verifies that a graceful shutdown keeps idle connections from callers open until
// the next request is rejected with Connection: close. If the node closed them at
// once, a request sent at the same time would get no response.
func TestShutdownRejectsRequestsOnOpenCallerConnectionsBeforeClosing(t *testing.T) {
	s := &servers{}
	for _, listener := range []*net.Listener{&s.callerListener, &s.targetListener, &s.adminListener} {
		var err error
		*listener, err = net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
	}
	reject := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	entryHandler := http.NewServeMux()
	entryHandler.Handle("/rejected", reject)
	entryHandler.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	var group errgroup.Group
	s.serve(&group, entryHandler, entryHandler, entryHandler)

	client := &http.Client{Transport: &http.Transport{}}
	post := func(path string) int {
		r, err := client.Post("http://"+s.callerListener.Addr().String()+path, "", nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, r.Body)
		assert.NilError(t, err)
		assert.NilError(t, r.Body.Close())
		return r.StatusCode
	}
	assert.Equal(t, post("/"), http.StatusOK)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	started, shutdownDuration := time.Now(), make(chan time.Duration)
	go func() {
		s.shutdownCaller(ctx)
		shutdownDuration <- time.Since(started)
	}()
	time.Sleep(callerCloseTimeout / 4)
	assert.Equal(t, post("/rejected"), http.StatusServiceUnavailable)
	assert.Assert(t, <-shutdownDuration < callerCloseTimeout, "shutdownCaller kept waiting although no connection from a caller was open")
	s.shutdown(ctx)
	assert.NilError(t, group.Wait())
}

// Guards against a call that is in flight at the end of the drain timeout and whose
// connection is closed without a response although its handler can still answer.
func TestCallInFlightAtTheEndOfTheDrainTimeoutIsAnswered(t *testing.T) {
	s := &servers{}
	for _, listener := range []*net.Listener{&s.callerListener, &s.targetListener, &s.adminListener} {
		var err error
		*listener, err = net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
	}
	arrived, cause := make(chan struct{}), make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done() // The call ends when its context does, as those of the proxy do.
		cause <- context.Cause(r.Context())
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	var group errgroup.Group
	s.serve(&group, handler, handler, handler)
	result := make(chan error, 1)
	go func() {
		response, err := http.Post("http://"+s.callerListener.Addr().String()+"/", "", nil)
		if err == nil {
			err = response.Body.Close()
		}
		result <- err
	}()
	<-arrived
	const runTime = 300 * time.Millisecond
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout+runTime)
	defer cancel()
	s.endCallsBefore(ctx)
	s.shutdownCaller(ctx)
	s.shutdown(ctx)
	assert.NilError(t, <-result, "the connection was closed without a response")
	assert.ErrorIs(t, <-cause, proxy.ErrNodeStopping)
	assert.Assert(t, time.Since(started) >= runTime, "the call was ended while it could still run")
	assert.NilError(t, group.Wait())
}
