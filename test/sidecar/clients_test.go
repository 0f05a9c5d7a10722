package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// Size of the crowds of misbehaving clients, and the limits of the instance that they
// meet. The instance is smaller than those of deployments, so that a small crowd suffices.
const (
	crowdConnections = 500
	crowdMemoryMB    = 96
	crowdDescriptors = 800
	// scarceDescriptors are those of an instance that cannot hold the whole crowd.
	scarceDescriptors = 500
	// descriptorsForFiles is the part of the descriptors that no socket may use.
	descriptorsForFiles = 200
	// crowdWriteTimeout bounds the time in which a client sends what it has; the node may
	// not take all of it. crowdHoldTime is how long the connections stay open afterwards.
	crowdWriteTimeout = 2 * time.Second
	crowdHoldTime     = time.Second
)

// misbehaviour is a kind of client.
type misbehaviour struct {
	name string
	// send sends what client i of the crowd sends, on the connection c.
	send func(c net.Conn, i int)
}

// requestStart returns the first fields of a request without the end of the header.
func requestStart(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 20000\r\n",
		method, path, platformtest.HeaderRequestID, id, platformtest.HeaderDeadline)
}

// manyFields returns 15 KB of different fields that are as short as possible.
func manyFields() string {
	const alphabet = "abcdefghijklmnopqrstuvwxyz0123456789"
	var text strings.Builder
	for i := 0; text.Len() < 15_000; i++ {
		fmt.Fprintf(&text, "%c%c%c:\r\n", alphabet[i%36], alphabet[i/36%36], alphabet[i/36/36%26])
	}
	return text.String()
}

// unfinishedHeader sends a header section without its last byte.
func unfinishedHeader(path string) func(net.Conn, int) {
	fields := manyFields()
	return func(c net.Conn, i int) {
		_, _ = io.WriteString(c, requestStart("GET", path, fmt.Sprint("m", i))+fields+"\r")
	}
}

// finishedHeader sends a complete header section of many fields and reads nothing.
func finishedHeader(path string) func(net.Conn, int) {
	fields := manyFields()
	return func(c net.Conn, i int) {
		_, _ = io.WriteString(c, requestStart("GET", path, fmt.Sprint("m", i))+fields+"\r\n")
	}
}

// unfinishedBody sends a body without its last byte, in pieces of the given size.
func unfinishedBody(path string, size, piece int, chunked bool) func(net.Conn, int) {
	return func(c net.Conn, i int) {
		start := requestStart("POST", path, fmt.Sprint("b", i))
		if chunked {
			_, _ = io.WriteString(c, start+"Transfer-Encoding: chunked\r\n\r\n")
		} else {
			_, _ = io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", start, size))
		}
		for sent := 0; sent < size-1; sent += piece {
			text := strings.Repeat("x", min(piece, size-1-sent))
			if chunked {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// pipelined sends many requests and reads no response.
func pipelined(path string, count int) func(net.Conn, int) {
	return func(c net.Conn, i int) {
		var text strings.Builder
		for k := range count {
			text.WriteString(requestStart("GET", path, fmt.Sprintf("p%d-%d", i, k)) + "\r\n")
		}
		_, _ = io.WriteString(c, text.String())
	}
}

// slowSender sends a header section byte by byte.
func slowSender(path string) func(net.Conn, int) {
	return func(c net.Conn, i int) {
		for _, b := range []byte(requestStart("GET", path, fmt.Sprint("s", i))) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(crowdWriteTimeout / 100)
		}
	}
}

// slowReader reads the response to a request byte by byte.
func slowReader(path string) func(net.Conn, int) {
	return func(c net.Conn, i int) {
		_, _ = io.WriteString(c, requestStart("GET", path, fmt.Sprint("r", i))+"\r\n")
		for range 100 {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(crowdWriteTimeout / 100)
		}
	}
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	assert.NilError(t, err, "the process has ended")
	return len(entries)
}

// listenerAddresses returns the addresses of the node by the name of the listener.
func listenerAddresses(n *testNode) map[string]string {
	s := n.settings
	host := netip.MustParseAddrPort(s.InboundAddress).Addr()
	return map[string]string{
		"outbound": s.OutboundAddress, "inbound": s.InboundAddress, "readiness": s.ReadinessAddress, "control": s.ControlAddress,
		"metrics": fmt.Sprintf("%s:%d", host, s.MetricsPort),
	}
}

// startCrowdNode starts a node as a process with the memory of a small instance and the given
// number of descriptors.
func startCrowdNode(t *testing.T, descriptors int) (*fleet, *testNode, *process) {
	t.Helper()
	f := newSerialFleet(t)
	e := endpoint("e")
	e.Slots = 12
	large := strings.Repeat("x", 1<<20)
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.Sign(w, r)
		if strings.HasPrefix(r.URL.Path, "/download/") {
			_, _ = io.WriteString(w, large)
			return
		}
		_, _ = io.WriteString(w, "ok")
	}
	f.processLimits = fmt.Sprintf("memory_mb: %d, file_descriptors: %d", crowdMemoryMB, descriptors)
	n := f.prepareNode("a", e)
	t.Cleanup(e.Close)
	return f, n, f.startNodeProcess(n)
}

// answers reports whether a listener responds to an ordinary request.
func answers(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode != http.StatusServiceUnavailable
}

// Crowds of clients that send or read only a part must neither end the process nor take it
// beyond the memory and the descriptors of its instance, nor keep ordinary clients out, at
// any listener. Crowds, limits and bounds were fixed on the code without limits for them.
func TestMisbehavingClientsStayWithinInstance(t *testing.T) {
	const small, large, overLimit = 60 << 10, 1 << 20, 64<<20 + 1
	cases := []struct {
		listener string
		kinds    []misbehaviour
	}{
		{"outbound", []misbehaviour{
			{"unfinished header of many fields", unfinishedHeader("/safe/x")},
			{"header of many fields", finishedHeader("/safe/x")},
			{"unfinished body in one piece", unfinishedBody("/unsafe/x", small, small, false)},
			{"unfinished body in small pieces", unfinishedBody("/unsafe/x", small, 1<<10, false)},
			{"unfinished body in chunks", unfinishedBody("/unsafe/x", small, 4<<10, true)},
			{"large unfinished body", unfinishedBody("/unsafe/x", large, 64<<10, false)},
			{"large unfinished body in chunks", unfinishedBody("/unsafe/x", large, 4<<10, true)},
			{"body over the limit", unfinishedBody("/unsafe/x", overLimit, 64<<10, false)},
			{"body over the limit in chunks", unfinishedBody("/unsafe/x", overLimit, 64<<10, true)},
			{"pipelined requests", pipelined("/safe/x", 400)},
			{"pipelined large responses", pipelined("/download/x", 100)},
			{"slow header", slowSender("/safe/x")},
			{"slow reader", slowReader("/download/x")},
		}},
		{"outbound", []misbehaviour{
			{"no route, unfinished header of many fields", unfinishedHeader("/none")},
			{"no route, unfinished body", unfinishedBody("/none", large, 64<<10, false)},
			{"no route, unfinished body in chunks", unfinishedBody("/none", large, 4<<10, true)},
			{"no route, pipelined requests", pipelined("/none", 400)},
		}},
		{"inbound", []misbehaviour{
			{"unfinished header of many fields", unfinishedHeader("/safe/x")},
			{"unfinished body", unfinishedBody("/unsafe/x", small, small, false)},
			{"unfinished state transfer", unfinishedBody("/azurespring-hop/state", large, 64<<10, false)},
			{"pipelined requests", pipelined("/safe/x", 400)},
			{"slow header", slowSender("/safe/x")},
		}},
		{"readiness", []misbehaviour{
			{"unfinished header of many fields", unfinishedHeader("/")},
			{"unfinished body", unfinishedBody("/", small, small, false)},
			{"pipelined requests", pipelined("/", 400)},
		}},
		{"control", []misbehaviour{
			{"unfinished header of many fields", unfinishedHeader("/azurespring/instances/i")},
			{"unfinished announcement", unfinishedBody("/azurespring/instances/i", small, small, false)},
			{"unfinished announcement in chunks", unfinishedBody("/azurespring/instances/i", large, 4<<10, true)},
			{"pipelined requests", pipelined("/azurespring/instances/i", 400)},
		}},
		{"metrics", []misbehaviour{
			{"unfinished header of many fields", unfinishedHeader("/metrics")},
			{"pipelined requests", pipelined("/metrics", 100)},
		}},
	}
	for _, c := range cases {
		for _, kind := range c.kinds {
			t.Run(c.listener+", "+kind.name, func(t *testing.T) { testCrowd(t, c.listener, kind, crowdDescriptors) })
		}
	}
}

// A crowd on one listener must neither take the descriptors that files, the store, the
// endpoint and other nodes need, nor keep the clients of its listener out.
func TestMisbehavingClientsLeaveDescriptors(t *testing.T) {
	for _, listener := range []string{"outbound", "inbound", "readiness", "control", "metrics"} {
		t.Run(listener, func(t *testing.T) {
			testCrowd(t, listener, misbehaviour{"unfinished request line", func(c net.Conn, _ int) { _, _ = io.WriteString(c, "GET /") }}, scarceDescriptors)
		})
	}
	t.Run("outbound, pipelined large responses", func(t *testing.T) {
		testCrowd(t, "outbound", misbehaviour{"pipelined large responses", pipelined("/download/x", 100)}, scarceDescriptors)
	})
}

// testCrowd lets a crowd act at a listener of a node with the given number of descriptors.
func testCrowd(t *testing.T, listener string, kind misbehaviour, descriptors int) {
	f, n, p := startCrowdNode(t, descriptors)
	address := listenerAddresses(n)[listener]
	before := p.descriptors(t)
	conns := make([]net.Conn, crowdConnections)
	var sending sync.WaitGroup
	for i := range conns {
		sending.Go(func() {
			c, err := net.DialTimeout("tcp", address, crowdWriteTimeout)
			if err != nil {
				return // The node may refuse connections.
			}
			conns[i] = c
			_ = c.SetDeadline(time.Now().Add(crowdWriteTimeout))
			kind.send(c, i)
		})
	}
	sent := make(chan struct{})
	go func() { sending.Wait(); close(sent) }()
	most, end := 0, time.Now().Add(time.Hour)
	for time.Now().Before(end) {
		most = max(most, p.descriptors(t))
		select {
		case <-sent:
			sent, end = nil, time.Now().Add(crowdHoldTime)
		case <-time.After(20 * time.Millisecond):
		}
	}
	f.waitUntil("an ordinary client of the listener gets a response", func() bool { return answers(address) })
	f.waitUntil("another node gets a response", func() bool { return answers(n.settings.InboundAddress) })
	f.waitUntil("an ordinary request is served", func() bool { return n.get("/safe/ordinary", "ordinary").status == http.StatusOK })
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	f.waitUntil("an ordinary request is served afterwards", func() bool { return n.get("/safe/ordinary", "later").status == http.StatusOK })
	resident := p.residentBytes(t)
	t.Logf("%d MB, %d descriptors, %d before", resident>>20, most, before)
	assert.Check(t, resident < crowdMemoryMB<<20, "%d MB", resident>>20)
	assert.Check(t, most <= descriptors-descriptorsForFiles, "%d descriptors", most)
}

// 160 clients with kept connections and 16 pipelined requests each must not notice the
// limits of the smallest instances.
func TestOrdinaryClientsDoNotNoticeLimits(t *testing.T) {
	const clients, rounds, requests = 160, 3, 16
	f := newSerialFleet(t)
	e := endpoint("e")
	e.Slots = 12
	f.processLimits = "memory_mb: 184, file_descriptors: 4100"
	n := f.prepareNode("a", e)
	t.Cleanup(e.Close)
	p := f.startNodeProcess(n)
	var running sync.WaitGroup
	for i := range clients {
		c := n.dial(t)
		running.Go(func() {
			for round := range rounds {
				for k := range requests {
					_, err := io.WriteString(c, requestStart("GET", "/safe/x", fmt.Sprintf("o%d-%d-%d", i, round, k))+"\r\n")
					if !assert.Check(t, err) {
						return
					}
				}
				for range requests {
					_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
					response, err := http.ReadResponse(c.reader, nil)
					if !assert.Check(t, err) {
						return
					}
					_, err = io.Copy(io.Discard, response.Body)
					if !assert.Check(t, err) {
						return
					}
				}
			}
		})
	}
	running.Wait()
	assert.Equal(t, len(p.output.events("client_refused")), 0)
	t.Logf("%d MB, %d descriptors", p.residentBytes(t)>>20, p.descriptors(t))
}

// A single request of very many fields within the limits of the configuration must be
// served, at the endpoint's own node and through another one.
func TestSingleRequestOfManyFieldsIsServed(t *testing.T) {
	e := endpoint("e")
	f, entryNode := startRemoteEndpoint(t, e)
	for _, n := range []*testNode{entryNode, f.nodes[0], f.nodes[1]} {
		c := n.dial(t)
		_, err := io.WriteString(c, requestStart("GET", "/safe/x", "many")+manyFields()+"\r\n")
		assert.NilError(t, err)
		got := c.read(t)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, got.body)
		requests := e.Requests()
		assert.Assert(t, len(requests[len(requests)-1].Header) > 2000, "%d fields arrived", len(requests[len(requests)-1].Header))
	}
}
