package sidecar

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/clientlimit"
	"github.com/azurespring/azurespring/pkg/mesh/overload"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// A call that the inbound listener of another node refuses for lack of memory or descriptors
// has not run, and the sender must know that: it may send an unsafe one elsewhere.
func TestRefusalOfInboundListenerSaysNotRun(t *testing.T) {
	for _, reason := range []string{clientlimit.ReasonConnections, clientlimit.ReasonMemory} {
		t.Run(reason, func(t *testing.T) {
			settings := Settings{InboundAddress: "127.0.0.1:1", Clients: ClientLimits{InboundDescriptors: 2}}.WithDefaults()
			if reason == clientlimit.ReasonMemory {
				settings.Clients.MemoryBytes = 100
			}
			node, err := New(Deps{Settings: settings, LogOutput: &bytes.Buffer{}})
			assert.NilError(t, err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := node.shared.guard.KeepHeaders(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				t.Error("the call was served")
			})})
			go func() { _ = server.Serve(node.shared.guard.Listen(l, overload.Inbound)) }()
			defer server.Close()
			if reason == clientlimit.ReasonConnections {
				busy, err := net.Dial("tcp", l.Addr().String())
				assert.NilError(t, err)
				defer busy.Close()
				_, err = busy.Write([]byte("POST"))
				assert.NilError(t, err)
				for node.shared.guard.HeldBytes() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond) // An idle connection would be ended for the call.
			}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			c := &call{id: "id", method: http.MethodPost, uri: "/x", host: "h", header: http.Header{}, deadline: time.Now().Add(testTimeout)}
			_, _, failure := node.hopClient.send(ctx, l.Addr().String(), c)
			assert.Assert(t, failure != nil)
			assert.Equal(t, failure.Verdict, verdict.NotRun, "%v", failure)
			assert.Equal(t, failure.Code, verdict.Overloaded)
		})
	}
}
