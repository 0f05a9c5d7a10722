package proxy

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/testtarget"
)

// A call must run once at the target from either node, and its response must carry the
// request ID and the target's version.
func TestCallReachesTargetLocallyAndOverOneHop(t *testing.T) {
	f := newFleet(t, "a", "b")
	target := f.nodes[0].newTarget(testtarget.Options{}, testtarget.Behavior{})
	for i, n := range f.nodes {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			path, body := "/look/x?y=1", ""
			if method == http.MethodPost {
				path, body = "/pay", "amount=1"
			}
			id := strings.ToLower(method) + n.name
			r := n.send(method, path, strings.NewReader(body), headerRequestID, id)
			assert.NilError(t, r.err)
			assert.Equal(t, r.StatusCode, http.StatusOK, "node %d %s: %s", i, method, r)
			assert.Equal(t, r.Header.Get(headerVersion), "v1")
			assert.Equal(t, r.Header.Get(headerRequestID), id)
			assert.Equal(t, target.RunCount(id), 1)
		}
	}
}
