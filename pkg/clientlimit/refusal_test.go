package clientlimit

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/exchange"
)

// A node that is still sending the body of a call must get the refusal of that call. The
// connection was closed under the body: about one in three calls of 60 KB failed as one that
// may have run, and an unsafe one was not sent to another endpoint.
func TestRefusalReachesPeerThatSendsBody(t *testing.T) {
	const calls, bodyBytes = 60, 60_000
	options := testOptions()
	options.MemoryBytes = 1000
	_, address := startServer(t, options)
	for range calls {
		pool := exchange.NewPool(address, exchange.Dialer{}, nil)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/",
			exchange.InMemoryBody(strings.NewReader(strings.Repeat("x", bodyBytes))))
		assert.NilError(t, err)
		r.ContentLength = bodyBytes
		response, failure := pool.Do(context.Background(), exchange.Request{Request: r})
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		pool.Close()
	}
}
