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
)

// Guards against requests that get no answer because they cross the close of a kept
// connection at a planned stop.
func TestKeptConnectionsOfCallersAreRefusedBeforeTheyAreClosed(t *testing.T) {
	s := &servers{}
	for _, listener := range []*net.Listener{&s.callerListener, &s.targetListener, &s.adminListener} {
		var err error
		*listener, err = net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
	}
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	entry := http.NewServeMux()
	entry.Handle("/refused", refuse)
	entry.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	var group errgroup.Group
	s.serve(&group, entry, entry, entry)

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
	started, stopped := time.Now(), make(chan time.Duration)
	go func() {
		s.shutdownCaller(ctx)
		stopped <- time.Since(started)
	}()
	time.Sleep(callerNotice / 4)
	assert.Equal(t, post("/refused"), http.StatusServiceUnavailable)
	assert.Assert(t, <-stopped < callerNotice, "the stop waits although no connection is left")
	s.shutdown(ctx)
	assert.NilError(t, group.Wait())
}
