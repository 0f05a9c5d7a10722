package teststore_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azurespring/azurespring/internal/teststore"
	"gotest.tools/v3/assert"
)

// Verifies the control endpoint that process-level tests use to inject faults and to
// save and restore the objects.
func TestControlAppliesFaultsAndActions(t *testing.T) {
	s := teststore.New()
	do := func(method, path, body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
		return recorder
	}
	const leases = "/apis/azurespring.io/v1/namespaces/n/leases"
	assert.Equal(t, do(http.MethodPost, "/control", `{"action":"save"}`).Code, http.StatusOK)
	assert.Equal(t, do(http.MethodPost, leases, `{"kind":"Lease","metadata":{"name":"a"}}`).Code, http.StatusCreated)
	assert.Equal(t, do(http.MethodPost, "/control", `{"action":"restore"}`).Code, http.StatusOK)
	assert.Equal(t, do(http.MethodGet, leases+"/a", "").Code, http.StatusNotFound)
	state := do(http.MethodPost, "/control", `{"faults":{"rateLimit":1}}`)
	assert.Assert(t, strings.Contains(state.Body.String(), `"get leases":1`), state.Body.String())
	assert.Equal(t, do(http.MethodGet, leases, "").Code, http.StatusTooManyRequests)
	assert.Equal(t, do(http.MethodPost, "/control", `{"action":"unknown"}`).Code, http.StatusBadRequest)
}
