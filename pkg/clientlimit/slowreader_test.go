package clientlimit

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// A client that takes its response slowly but steadily must not look stalled. The kernel
// let a writer go on only once a third of the socket's buffer was free, more than 512 KB on
// loopback: a client that took 160 KB a second was given up after a write stall of a second.
func TestWriterGoesOnOnceReaderHasTakenPart(t *testing.T) {
	const takenBytes, fullAfter = 512 << 10, 300 * time.Millisecond
	options := testOptions()
	options.WriteStall = testTimeout
	g := New(options, time.Now, func(string) bool { return false }, func(overload.Listener, string) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	conn, err := g.Listen(l, overload.Outbound).Accept()
	assert.NilError(t, err)
	defer conn.Close()
	var pieces atomic.Int64
	go func() {
		for {
			if _, err := conn.Write(make([]byte, writePieceBytes)); err != nil {
				return
			}
			pieces.Add(1)
		}
	}()
	full := int64(-1)
	for now := pieces.Load(); now != full; now = pieces.Load() {
		full = now
		time.Sleep(fullAfter)
	}
	_, err = io.CopyN(io.Discard, client, takenBytes)
	assert.NilError(t, err)
	for deadline := time.Now().Add(testTimeout / 4); pieces.Load() == full; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "after %d bytes the writer waits for more than %d to be taken", full*writePieceBytes, takenBytes)
	}
}
