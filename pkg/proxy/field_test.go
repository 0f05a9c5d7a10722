package proxy

import (
	"net/http"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// A response in whose header section the name of a field holds a blank or a control byte must
// not be passed on to the caller; the request may have run. The same holds for a trailer.
func TestResponseWithMalformedFieldIsNotPassedOn(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	const length = "Content-Length: 6\r\n"
	for _, c := range []struct{ name, fields string }{
		{"blank before the colon", "X-Note : 1\r\n" + length},
		{"blank within", "X Note: 1\r\n" + length},
		{"blank before the length", "Content-Length : 6\r\n"},
		{"blank before the coding", "Transfer-Encoding : chunked\r\n"},
		{"leading blank in the first line", " X-Note: 1\r\n" + length},
		{"tab before the colon", "X-Note\t: 1\r\n" + length},
		{"NUL", "X-\x00Note: 1\r\n" + length},
		{"CR", "X-\rNote: 1\r\n" + length},
		{"DEL", "X-Note\x7f: 1\r\n" + length},
	} {
		for entryIndex, n := range f.nodes {
			t.Run(c.name+", entry "+n.name, func(t *testing.T) {
				raw := url.QueryEscape("HTTP/1.1 200 OK\r\n" + c.fields + "\r\nquoted, and bytes that are none")
				r := f.nodes[entryIndex].send("POST", "/pay", nil, testtarget.HeaderRaw, raw)
				checkProblem(t, r, verdict.TargetFailed, verdict.MayHaveRun)
			})
		}
	}
	for _, n := range f.nodes {
		t.Run("trailer, entry "+n.name, func(t *testing.T) {
			raw := url.QueryEscape("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nquoted\r\n0\r\nX Note: 1\r\n\r\n")
			r := n.send("POST", "/pay", nil, testtarget.HeaderRaw, raw)
			assert.Assert(t, r.err != nil || r.StatusCode != http.StatusOK, "%s", r)
		})
	}
}
