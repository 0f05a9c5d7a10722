package healthquery

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/exchange"
)

// Only a clear answer of the right endpoint may end the limit of a cold endpoint.
func TestQueryTakesOnlyClearAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		header string
		want   time.Duration
		wantOK bool
	}{
		{"warm", 200, "0", 0, true},
		{"no header", 200, "", 0, true},
		{"cold", 200, "2500", 2500 * time.Millisecond, true},
		{"cold, not healthy", 503, "2500", 2500 * time.Millisecond, true},
		{"not healthy", 503, "", 0, false},
		{"other endpoint", 421, "0", 0, false},
		{"no number", 200, "soon", 0, false},
		{"not a number", 200, "NaN", 0, false},
		{"negative", 200, "-1", 0, false},
		{"absurd", 200, "1e300", time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.URL.Path == "/healthy" && r.Header.Get("X-Expected") == "e")
				if c.header != "" {
					w.Header().Set("X-Cold", c.header)
				}
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			check := Check{Address: address, Path: "/healthy", Header: http.Header{"X-Expected": {"e"}}, RemainingHeader: "X-Cold"}
			pool := exchange.NewPool(address, exchange.Dialer{Timeout: time.Second}, nil)
			defer pool.Close()
			remaining, err := check.Query(t.Context(), pool)
			assert.Equal(t, err == nil, c.wantOK, "%v", err)
			assert.Equal(t, remaining, c.want)
		})
	}
}

// An endpoint that does not answer must not hold the query for longer than its timeout.
func TestQueryOfSilentEndpointEnds(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	pool := exchange.NewPool(strings.TrimPrefix(server.URL, "http://"), exchange.Dialer{Timeout: time.Second}, nil)
	defer pool.Close()
	_, err := Check{Address: "e", Path: "/healthy", RemainingHeader: "X-Cold"}.Query(t.Context(), pool)
	assert.Assert(t, err != nil)
}
