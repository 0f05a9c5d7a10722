package transport

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/azurespring/azurespring/internal/faultproxy"
	"github.com/azurespring/azurespring/pkg/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A connection between nodes with certificates of different CAs must fail,
// whichever of them dials.
func TestPeersOfAnotherCAAreRejected(t *testing.T) {
	member := listen(t, Options{TLS: newSource(t, newAuthority(t), "member")})
	outsider := listen(t, Options{TLS: newSource(t, newAuthority(t), "stranger")})
	for _, node := range []*Transport{member, outsider} {
		node.HandleMessage(testKind, echo)
		node.HandleCalls(echoCalls)
	}
	_, err := outsider.Request(testContext(t), member.Address(), testKind, nil)
	assert.Assert(t, err != nil)
	_, err = member.Request(testContext(t), outsider.Address(), testKind, nil)
	assert.ErrorContains(t, err, "certificate")
	assert.Equal(t, member.Stats().FailedDials, uint64(1))
	assert.Equal(t, member.Stats().MessagesReceived, uint64(0))
	assert.Equal(t, outsider.Stats().MessagesReceived, uint64(0))
}

// A node must use a replaced certificate and key without a restart, and retain the
// old ones while the files are invalid or do not match.
func TestCertificateIsReloadedWhenFilesChange(t *testing.T) {
	authority := newAuthority(t)
	dir := t.TempDir()
	files, err := authority.IssueFiles(dir, "old")
	assert.NilError(t, err)
	source, err := NewTLSSource(files.CertificatePath, files.KeyPath, files.CAPath)
	assert.NilError(t, err)
	client := listen(t, Options{TLS: source})
	serverSource := newSource(t, authority, "server")
	instanceSeenByPeer := func() string {
		server := listen(t, Options{TLS: serverSource})
		server.HandleMessage(testKind, func(_ context.Context, from Peer, _ []byte) ([]byte, error) {
			return []byte(from.Instance), nil
		})
		reply, err := client.Request(testContext(t), server.Address(), testKind, nil)
		assert.NilError(t, err)
		return string(reply)
	}
	assert.Equal(t, instanceSeenByPeer(), "old")
	assert.NilError(t, os.WriteFile(files.KeyPath, []byte("half written"), 0o600))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if source.current(); source.LastReloadError() != nil {
			return poll.Success()
		}
		return poll.Continue("reload of an invalid key file reports no error")
	}, poll.WithTimeout(testTimeout))
	assert.Equal(t, instanceSeenByPeer(), "old")
	next, err := authority.IssueFiles(dir, "new")
	assert.NilError(t, err)
	assert.NilError(t, os.Rename(next.KeyPath, files.KeyPath))
	assert.NilError(t, os.Rename(next.CertificatePath, files.CertificatePath))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := instanceSeenByPeer(); got != "new" {
			return poll.Continue("peer sees instance %s, want new", got)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}

// A connection must be replaced after its flow was blackholed permanently while
// flows from other ports work, as a fault on the network path can cause it.
func TestBlackholedConnectionIsReplaced(t *testing.T) {
	a, b := listenPair(t)
	proxy, err := faultproxy.NewUDPProxy(b.Address())
	assert.NilError(t, err)
	t.Cleanup(proxy.Close)
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(testContext(t), timeout)
		defer cancel()
		stream, err := a.OpenCall(ctx, proxy.Address())
		if err != nil {
			return err
		}
		defer stream.Cancel()
		deadline, _ := ctx.Deadline()
		assert.NilError(t, stream.SetDeadline(deadline))
		if _, err := stream.Write([]byte("x")); err != nil {
			return err
		}
		if err := stream.CloseWrite(); err != nil {
			return err
		}
		_, err = io.ReadAll(stream)
		return err
	}
	request := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(testContext(t), timeout)
		defer cancel()
		_, err := a.Request(ctx, proxy.Address(), testKind, nil)
		return err
	}
	for name, attempt := range map[string]func(time.Duration) error{"call": call, "request": request} {
		assert.NilError(t, attempt(testTimeout))
		for range 2 {
			proxy.BlackholeFlows()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if err := attempt(time.Second); err != nil {
					return poll.Continue("%s: %v", name, err)
				}
				return poll.Success()
			}, poll.WithTimeout(testTimeout))
		}
	}
}

// Requests must succeed on a path with a delay of 8 ms and 5% packet loss.
func TestRequestsSucceedOnLossyPath(t *testing.T) {
	a, b := listenPair(t)
	proxy, err := faultproxy.NewUDPProxy(b.Address())
	assert.NilError(t, err)
	t.Cleanup(proxy.Close)
	proxy.SetDelay(8 * time.Millisecond)
	_, err = a.Request(testContext(t), proxy.Address(), testKind, nil)
	assert.NilError(t, err)
	proxy.SetLossRate(0.05)
	for range 20 {
		_, err := a.Request(testContext(t), proxy.Address(), testKind, make([]byte, 10_000))
		assert.NilError(t, err)
	}
}

// Peers must negotiate the newest common protocol version, and must not connect
// without a common one.
func TestNewestCommonProtocolVersionIsNegotiated(t *testing.T) {
	authority := newAuthority(t)
	cases := []struct {
		client, server []int
		want           int
	}{
		{[]int{1}, []int{1}, 1},
		{[]int{1, 2}, []int{1}, 1},
		{[]int{1}, []int{2, 1}, 1},
		{[]int{1, 2}, []int{1, 2}, 2},
		{[]int{2}, []int{1}, 0},
	}
	for _, c := range cases {
		client := listen(t, Options{TLS: newSource(t, authority, "client"), ProtocolVersions: c.client})
		server := listen(t, Options{TLS: newSource(t, authority, "server"), ProtocolVersions: c.server})
		server.HandleMessage(testKind, func(_ context.Context, from Peer, _ []byte) ([]byte, error) {
			return []byte{byte(from.ProtocolVersion)}, nil
		})
		reply, err := client.Request(testContext(t), server.Address(), testKind, nil)
		if c.want == 0 {
			assert.Assert(t, err != nil, "%v with %v", c.client, c.server)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, int(reply[0]), c.want, "%v with %v", c.client, c.server)
	}
}

// A panic of a handler must not crash the process, and errors of handlers must
// reach the sender.
func TestHandlerErrorsAndPanicsReachThePeer(t *testing.T) {
	a, b := listenPair(t)
	b.HandleMessage(testKind, func(context.Context, Peer, []byte) ([]byte, error) { panic("message") })
	b.HandleMessage(testKind+1, func(context.Context, Peer, []byte) ([]byte, error) { return nil, eris.New("no") })
	b.HandleCalls(func(context.Context, Peer, Stream) { panic("call") })
	_, err := a.Request(testContext(t), b.Address(), testKind, nil)
	assert.Assert(t, err != nil)
	_, err = a.Request(testContext(t), b.Address(), testKind+1, nil)
	var remote *RemoteError
	assert.Assert(t, eris.As(err, &remote))
	assert.Equal(t, remote.Message, "no")
	_, err = a.Request(testContext(t), b.Address(), testKind+2, nil)
	assert.ErrorContains(t, err, "no handler")
	stream, err := a.OpenCall(testContext(t), b.Address())
	assert.NilError(t, err)
	_, _ = stream.Write([]byte("x"))
	_, err = io.ReadAll(stream)
	assert.Assert(t, err != nil)
	assert.Assert(t, !IsStreamRefused(err))
}

// A caller must read a response that is complete before the end of the request, as
// early rejections are.
func TestResponseBeforeEndOfRequestIsRead(t *testing.T) {
	a, b := listenPair(t)
	b.HandleCalls(func(_ context.Context, _ Peer, stream Stream) {
		_, _ = io.ReadFull(stream, make([]byte, 1))
		_, _ = stream.Write([]byte("rejected"))
		_ = stream.CloseWrite()
	})
	for _, size := range []int{1, 16 << 20} {
		stream, err := a.OpenCall(testContext(t), b.Address())
		assert.NilError(t, err)
		_, err = stream.Write(make([]byte, size))
		assert.NilError(t, err)
		assert.NilError(t, stream.CloseWrite())
		response, err := io.ReadAll(stream)
		assert.NilError(t, err)
		assert.Equal(t, string(response), "rejected")
	}
}

// Close must let an open call complete, and must make the peer open no further
// streams on the connection.
func TestCloseWaitsForOpenCalls(t *testing.T) {
	a, b := listenPair(t)
	stream, err := a.OpenCall(testContext(t), b.Address())
	assert.NilError(t, err)
	_, err = stream.Write([]byte("first"))
	assert.NilError(t, err)
	_, err = io.ReadFull(stream, make([]byte, len("first")))
	assert.NilError(t, err)
	closed := make(chan error, 1)
	go func() { closed <- b.Close(testContext(t)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.pools[callTraffic].lookup(b.Address()).conn.Load() == nil {
			return poll.Success()
		}
		return poll.Continue("the connection is still in use")
	}, poll.WithTimeout(testTimeout))
	_, err = stream.Write([]byte("second"))
	assert.NilError(t, err)
	assert.NilError(t, stream.CloseWrite())
	rest, err := io.ReadAll(stream)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "second")
	assert.NilError(t, <-closed)
	_, err = b.Request(testContext(t), a.Address(), testKind, nil)
	assert.ErrorIs(t, err, ErrClosed)
}

// Close must abort an open call when its context ends, instead of waiting for a
// call that never completes.
func TestCloseAbortsCallsWhenContextEnds(t *testing.T) {
	a, b := listenPair(t)
	stream, err := a.OpenCall(testContext(t), b.Address())
	assert.NilError(t, err)
	_, err = stream.Write([]byte("x"))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(testContext(t))
	cancel()
	assert.ErrorIs(t, b.Close(ctx), context.Canceled)
	_, err = io.ReadAll(stream)
	assert.Assert(t, err != nil)
}

// Concurrent requests must share one dial, and requests of the peer must use the
// same connection.
func TestOneConnectionServesConcurrentRequestsOfBothPeers(t *testing.T) {
	a, b := listenPair(t)
	a.HandleMessage(testKind, echo)
	var requests sync.WaitGroup
	for i := range 50 {
		requests.Go(func() {
			_, err := a.Request(testContext(t), b.Address(), testKind, []byte(fmt.Sprint(i)))
			assert.Check(t, err)
		})
	}
	requests.Wait()
	_, err := b.Request(testContext(t), a.Address(), testKind, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.Stats().OpenConnections, 1)
	assert.Equal(t, b.Stats().OpenConnections, 1)
}

// A small compressed message that expands beyond the size limit must be rejected.
func TestDecompressionBombIsRejected(t *testing.T) {
	c, err := newCodec()
	assert.NilError(t, err)
	defer c.close()
	payload, err := cbor.Marshal(envelope{Payload: make([]byte, 16*MaxMessageBytes)})
	assert.NilError(t, err)
	compressor, err := zstd.NewWriter(nil)
	assert.NilError(t, err)
	bomb := compressor.EncodeAll(payload, []byte{encodingZstd})
	assert.NilError(t, compressor.Close())
	assert.Assert(t, len(bomb) < 1<<16)
	_, err = c.unmarshal(bomb)
	assert.ErrorContains(t, err, "decompress")
}

// A received message must advance the logical clock of the receiver beyond the
// time of sending.
func TestMessagesAdvanceReceiverClock(t *testing.T) {
	authority := newAuthority(t)
	ahead := timeline.NewClock(func() time.Time { return time.Now().Add(10 * time.Second) })
	behind := timeline.NewClock(time.Now)
	a := listen(t, Options{TLS: newSource(t, authority, "a"), Clock: ahead})
	b := listen(t, Options{TLS: newSource(t, authority, "b"), Clock: behind})
	b.HandleMessage(testKind, echo)
	sent := ahead.Now()
	_, err := a.Request(testContext(t), b.Address(), testKind, nil)
	assert.NilError(t, err)
	assert.Assert(t, behind.Now().Compare(sent) > 0)
}

// FuzzUnmarshal checks that no message makes the decoder panic or decodes to a
// payload beyond the size limit.
func FuzzUnmarshal(f *testing.F) {
	c, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	for _, size := range []int{0, 10, 2 * compressionThreshold} {
		data, err := c.marshal(envelope{Kind: testKind, Payload: make([]byte, size)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if message, err := c.unmarshal(data); err == nil && len(message.Payload) > MaxMessageBytes+maxEnvelopeOverhead {
			t.Fatalf("decoded payload of %d bytes exceeds the size limit", len(message.Payload))
		}
	})
}

// BenchmarkCall measures a small call over an open connection.
func BenchmarkCall(b *testing.B) {
	authority := newAuthority(b)
	client := listen(b, Options{TLS: newSource(b, authority, "client")})
	server := listen(b, Options{TLS: newSource(b, authority, "server")})
	server.HandleCalls(echoCalls)
	body := make([]byte, 512)
	b.ReportAllocs()
	for b.Loop() {
		stream, err := client.OpenCall(context.Background(), server.Address())
		if err != nil {
			b.Fatal(err)
		}
		if _, err := stream.Write(body); err != nil {
			b.Fatal(err)
		}
		if err := stream.CloseWrite(); err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, stream); err != nil {
			b.Fatal(err)
		}
	}
}
