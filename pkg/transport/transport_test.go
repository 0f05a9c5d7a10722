package transport

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testcerts"
)

// testTimeout bounds a test that hangs; no test depends on its length.
const testTimeout = time.Minute

const testKind Kind = 0x7f

func newAuthority(t testing.TB) *testcerts.Authority {
	t.Helper()
	authority, err := testcerts.NewAuthority()
	assert.NilError(t, err)
	return authority
}

func newSource(t testing.TB, authority *testcerts.Authority, instance string) *TLSSource {
	t.Helper()
	files, err := authority.IssueFiles(t.TempDir(), instance)
	assert.NilError(t, err)
	source, err := NewTLSSource(files.CertificatePath, files.KeyPath, files.CAPath)
	assert.NilError(t, err)
	return source
}

func listen(t testing.TB, o Options) *Transport {
	t.Helper()
	o.ListenAddress = "127.0.0.1:0"
	node, err := Listen(o)
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = node.Close(ctx)
	})
	return node
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func echo(_ context.Context, _ Peer, payload []byte) ([]byte, error) { return payload, nil }

func echoCalls(_ context.Context, _ Peer, stream Stream) {
	_, _ = io.Copy(stream, stream)
	_ = stream.CloseWrite()
}

func listenPair(t *testing.T) (a, b *Transport) {
	t.Helper()
	authority := newAuthority(t)
	a = listen(t, Options{TLS: newSource(t, authority, "a")})
	b = listen(t, Options{TLS: newSource(t, authority, "b")})
	b.HandleMessage(testKind, echo)
	b.HandleCalls(echoCalls)
	return a, b
}

// Requests and replies must carry their payload unchanged on either side of the
// compression threshold and up to the size limit. Larger ones must fail.
func TestRequestCarriesPayloadsUpToSizeLimit(t *testing.T) {
	a, b := listenPair(t)
	for _, size := range []int{0, 1, compressionThreshold, compressionThreshold + 1, MaxMessageBytes} {
		payload := bytes.Repeat([]byte{7}, size)
		reply, err := a.Request(testContext(t), b.Address(), testKind, payload)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(reply, payload), "size %d", size)
	}
	_, err := a.Request(testContext(t), b.Address(), testKind, make([]byte, MaxMessageBytes+1))
	assert.ErrorContains(t, err, ErrTooLarge.Error())
}

// A call stream must carry a large body complete and unchanged in both directions.
func TestCallStreamCarriesLargeBody(t *testing.T) {
	a, b := listenPair(t)
	stream, err := a.OpenCall(testContext(t), b.Address())
	assert.NilError(t, err)
	body := bytes.Repeat([]byte("0123456789"), 100_000)
	go func() {
		_, _ = stream.Write(body)
		_ = stream.CloseWrite()
	}()
	response, err := io.ReadAll(stream)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(response, body))
}
