package clientlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh/overload"
)

// testTimeout bounds the waits of the tests.
const testTimeout = 20 * time.Second

func testOptions() Options {
	return Options{
		Limits: overload.Limits{
			MemoryBytes: 1 << 20, SlowAfter: 50 * time.Millisecond, MinBytesPerSecond: 4096,
		},
		HeaderBytes: 16 << 10, HeaderFields: 100, HeaderTimeout: 300 * time.Millisecond, WriteStall: time.Second,
	}
}

// startServer starts a server behind a guard. Its handler echoes the body.
func startServer(t *testing.T, options Options) (*Guard, string) {
	t.Helper()
	var mu sync.Mutex
	g := New(options, time.Now, func(string) bool { return false }, func(overload.Listener, string) { mu.Lock(); defer mu.Unlock() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := g.KeepHeaders(&http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
	})})
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(g.Listen(l, overload.Inbound)) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return g, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

func readBody(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

// Requests must be served wherever the pieces begin in which they arrive, also behind
// others on a connection, with bodies of each framing.
func TestRequestsInPiecesAreServed(t *testing.T) {
	body := strings.Repeat("x\r\n\r\n", 2000)
	texts := []struct{ request, want string }{
		{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "200 /a 0"},
		{fmt.Sprintf("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body), fmt.Sprint("200 /b ", len(body))},
		{"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n\r\n\r\nx\r\n0\r\n\r\n", "200 /c 5"},
		{"POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "200 /d 0"},
		{"GET /e HTTP/1.1\r\nHost: h\r\n\r\n", "200 /e 0"},
	}
	all := ""
	for _, text := range texts {
		all += text.request
	}
	for _, piece := range []int{1, 2, 3, 7, 26, 27, 28, 100, 1000, 4096, len(all)} {
		g, address := startServer(t, testOptions())
		c, reader := dial(t, address)
		go func() {
			for at := 0; at < len(all); at += piece {
				if _, err := io.WriteString(c, all[at:min(at+piece, len(all))]); err != nil {
					return
				}
			}
		}()
		for _, text := range texts {
			assert.Equal(t, readBody(t, reader), text.want, "pieces of %d", piece)
		}
		assert.NilError(t, c.Close())
		for deadline := time.Now().Add(testTimeout); g.HeldBytes() != 0 || g.Descriptors(overload.Inbound) != 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "%d bytes and %d connections stay counted", g.HeldBytes(), g.Descriptors(overload.Inbound))
		}
	}
}

// A body is sent after the interim response 100 has asked for it.
func TestBodyAfterContinue(t *testing.T) {
	_, address := startServer(t, testOptions())
	c, reader := dial(t, address)
	for range 2 {
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		assert.NilError(t, err)
		line, err := reader.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
		_, err = reader.ReadString('\n')
		assert.NilError(t, err)
		_, err = io.WriteString(c, "body")
		assert.NilError(t, err)
		assert.Equal(t, readBody(t, reader), "200 /x 4")
	}
}

// A header section beyond its limits must be refused with the status that says why, also
// behind an earlier request, and must not hold its connection.
func TestHeaderSectionsBeyondLimitsAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, request string
		options       func(*Options)
		want          string
	}{
		{"bytes", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 17<<10), nil, "431 "},
		{"fields", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 101), nil, "431 "},
		{"time", "GET / HTTP/1.1\r\nHost: h\r\n", nil, "408 "},
		{"memory", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", func(o *Options) { o.MemoryBytes = 1000 }, "503 "},
	} {
		for _, isFirst := range []bool{true, false} {
			if c.options != nil && !isFirst {
				continue
			}
			t.Run(fmt.Sprint(c.name, ", first ", isFirst), func(t *testing.T) {
				options := testOptions()
				if c.options != nil {
					c.options(&options)
				}
				_, address := startServer(t, options)
				conn, reader := dial(t, address)
				if !isFirst {
					_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
					assert.NilError(t, err)
					assert.Equal(t, readBody(t, reader), "200 /a 0")
				}
				_, err := io.WriteString(conn, c.request)
				assert.NilError(t, err)
				assert.Equal(t, readBody(t, reader), c.want)
				_, err = reader.ReadByte()
				assert.Assert(t, err != nil, "the connection is still open")
			})
		}
	}
}

// A client that takes nothing of a response must not hold its connection.
func TestStalledReaderIsGivenUp(t *testing.T) {
	options := testOptions()
	options.WriteStall = 100 * time.Millisecond
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
	n, err := conn.Write(make([]byte, 64<<20))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Assert(t, n < 64<<20)
}

// failingListener fails with the given errors before it accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// A lack of descriptors or memory passes; a listener that ended with it served nobody until
// its process ended. net/http ends for the last two.
func TestListenerOutlivesTemporaryErrors(t *testing.T) {
	g := New(testOptions(), time.Now, func(string) bool { return false }, func(overload.Listener, string) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	guarded := g.Listen(&failingListener{Listener: l, errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}}, overload.Control)
	c, err := guarded.Accept()
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	assert.NilError(t, l.Close())
	_, err = guarded.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// A crowd that sends nothing must not keep a client out.
func TestCrowdMakesRoomForClient(t *testing.T) {
	options := testOptions()
	options.Descriptors[overload.Inbound] = 10
	g, address := startServer(t, options)
	for range 30 {
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, "GET /")
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "no client is served")
		c, reader := dial(t, address)
		if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			continue
		}
		response, err := http.ReadResponse(reader, nil)
		if err == nil && response.StatusCode == http.StatusOK {
			break
		}
	}
	assert.Assert(t, g.Descriptors(overload.Inbound) <= 10)
}
