package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// BenchmarkClientServer measures a request on a kept connection without an endpoint.
func BenchmarkClientServer(b *testing.B) {
	server := newClientServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		func() mesh.Limits { return mesh.Limits{} }, func(any, []byte) {}, func(cutConnection) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = server.Serve(benchListener(listener)) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(b, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, err := fmt.Fprint(conn, "GET /a/path HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 0123456789abcdef\r\nX-Deadline-Ms: 2000\r\nAccept: */*\r\n\r\n")
		assert.NilError(b, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, err)
	}
}
