package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// endlessBytes is what an endless peer sends at most; socket buffers hold far less.
const endlessBytes = 64 << 20

// writeEndlessly writes prefix and then part, again and again, until the reader closes
// or endlessBytes are sent. It returns the number of bytes that were sent.
func writeEndlessly(w io.Writer, prefix, part string) int {
	part = strings.Repeat(part, max(1, 32<<10/len(part)))
	sent := 0
	for text := prefix; sent < endlessBytes; text = part {
		n, err := io.WriteString(w, text)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// signedHeader returns the header section of a signed response to r without its end.
func signedHeader(r *http.Request) string {
	id := r.Header.Get(platformtest.HeaderRequestID)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.e.%s\r\n", platformtest.HeaderRequestID, id, platformtest.HeaderSignature, id)
}

// refusalHeader returns the header section of a refusal of r without its end.
func refusalHeader(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\n",
		platformtest.HeaderRequestID, r.Header.Get(platformtest.HeaderRequestID), platformtest.HeaderNotRun)
}

// An endpoint's response without end must neither hold its request until the deadline
// nor its slot or memory beyond it, and the client must not take it for complete.
func TestEndlessResponseFreesSlotAndEndsRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		prefix func(r *http.Request) string
		part   string
		// status is what the client gets, 0 for a response that is cut at the deadline.
		status int
	}{
		{"header", func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-Field: " }, "x", http.StatusBadGateway},
		{"interim responses", func(*http.Request) string { return "" }, "HTTP/1.1 100 Continue\r\n\r\n", http.StatusBadGateway},
		{"body without a signature", func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" }, "x", http.StatusBadGateway},
		{"body of a refusal", func(r *http.Request) string { return refusalHeader(r) + "\r\n" }, "x", http.StatusBadGateway},
		{"body", func(r *http.Request) string { return signedHeader(r) + "\r\n" }, "x", 0},
		{"chunked body", func(r *http.Request) string { return signedHeader(r) + "Transfer-Encoding: chunked\r\n\r\n" }, "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n", 0},
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", c.name, remote), func(t *testing.T) {
				sent := make(chan int, 1)
				var requests atomic.Int64
				e := endpoint("e")
				e.Slots = 1
				e.ServeConn = func(conn net.Conn) {
					reader := bufio.NewReader(conn)
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						if requests.Add(1) == 1 {
							sent <- writeEndlessly(conn, c.prefix(r), c.part)
							return
						}
						_, _ = io.WriteString(conn, signedHeader(r)+"Content-Length: 2\r\n\r\nok")
					}
				}
				f := newFleet(t)
				entryNode := f.addNode("a", e)
				if remote {
					entryNode = f.addNode("a", &platformtest.Endpoint{ID: "other", Service: "t", Version: "v1"})
				}
				f.waitUntilReady()
				if c.status == 0 {
					entryNode.dial(t).send(t, "/download/x", "id1") // Nobody reads the response.
				} else {
					got := entryNode.get("/safe/x", "id1")
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, c.status)
				}
				bytesSent := <-sent
				assert.Assert(t, bytesSent < endlessBytes, "the node read all %d bytes", bytesSent)
				f.waitUntil("the slot is free", func() bool { return entryNode.get("/safe/x", "id2").status == http.StatusOK })
			})
		}
	}
}

// A request header without end must be cut off at each address of a node.
func TestEndlessRequestHeaderIsCutOff(t *testing.T) {
	_, n := startRemoteEndpoint(t, endpoint("e"))
	for _, address := range []string{n.settings.OutboundAddress, n.settings.InboundAddress, n.settings.ControlAddress, n.settings.ReadinessAddress} {
		for _, part := range []string{"x", "X-Field: x\r\n"} {
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			sent := writeEndlessly(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n", part)
			assert.Assert(t, sent < endlessBytes, "the node read all %d bytes", sent)
			_ = c.Close()
		}
	}
}

// A connection must be closed if the body of a request that was answered does not end.
// It was kept open for as long as its peer sent nothing.
func TestUnfinishedRequestBodyEndsConnection(t *testing.T) {
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		e.Sign(w, r)
	}
	_, n := startRemoteEndpoint(t, e)
	cases := []struct{ name, address, request string }{
		{"client", n.settings.OutboundAddress, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n%s: id\r\n%s: 2000\r\nContent-Length: 200000\r\n\r\n%s",
			platformtest.HeaderRequestID, platformtest.HeaderDeadline, strings.Repeat("x", 100_000))},
		{"announcement", n.settings.ControlAddress, "PUT /azurespring/instances/i-1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{"},
	}
	conns := make([]net.Conn, len(cases))
	for i, c := range cases {
		var err error
		conns[i], err = net.Dial("tcp", c.address)
		assert.NilError(t, err)
		defer conns[i].Close()
		_, err = io.WriteString(conns[i], c.request)
		assert.NilError(t, err)
	}
	for i, c := range cases {
		_ = conns[i].SetReadDeadline(time.Now().Add(waitTimeout))
		_, err := io.Copy(io.Discard, conns[i])
		assert.Check(t, err, "%s: the connection is still open", c.name)
	}
}

// residentBytes returns the highest resident memory of the process so far.
func (p *process) residentBytes(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(t, err)
	for _, line := range strings.Split(string(status), "\n") {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	t.Fatal("the kernel does not report the memory")
	return 0
}

// Bytes without end from an endpoint must not fill the memory of the process that called
// it: the requests of its other clients would end with it. All slots get such a response at
// the same time, and no client reads.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	const (
		slots   = 18
		clients = 64
		// maxBytes is the memory of the smallest instances.
		maxBytes = 184 << 20
	)
	for _, c := range []struct {
		name   string
		prefix func(r *http.Request) string
		part   string
	}{
		{"no response", func(*http.Request) string { return "" }, "x"},
		{"fields", func(r *http.Request) string { return signedHeader(r) }, "X-Field: x\r\n"},
		{"body", func(r *http.Request) string { return signedHeader(r) + "\r\n" }, "x"},
		{"body with a length", func(r *http.Request) string { return signedHeader(r) + "Content-Length: 100000000000\r\n\r\n" }, "x"},
		{"chunks", func(r *http.Request) string { return signedHeader(r) + "Transfer-Encoding: chunked\r\n\r\n" }, "1\r\nx\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			e := endpoint("e")
			e.Slots = slots
			e.ServeConn = func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if strings.HasPrefix(r.URL.Path, "/download/") {
						writeEndlessly(conn, c.prefix(r), c.part)
						return
					}
					_, _ = io.WriteString(conn, signedHeader(r)+"Content-Length: 2\r\n\r\nok")
				}
			}
			n, p := f.addProcess(e)
			for i := range clients {
				conn := n.dial(t)
				conn.send(t, "/download/x", fmt.Sprint("endless", i))
				conn.send(t, "/safe/x", fmt.Sprint("behind", i))
			}
			f.waitUntil("other clients are served", func() bool { return n.get("/safe/x", "other").status == http.StatusOK })
			time.Sleep(2 * time.Second) // The deadline of the requests.
			f.waitUntil("other clients are served again", func() bool { return n.get("/safe/x", "later").status == http.StatusOK })
			resident := p.residentBytes(t)
			t.Logf("%d MB", resident>>20)
			assert.Assert(t, resident < maxBytes, "%d MB", resident>>20)
		})
	}
}
