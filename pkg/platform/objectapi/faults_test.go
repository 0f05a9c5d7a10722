package objectapi_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/platform/objectapi"
	"gotest.tools/v3/assert"
)

// Verifies that IsNotApplied holds only for errors that prove that a write had no
// effect: callers decide by it whether to retry or to reject.
func TestIsNotAppliedOnlyWhenWriteHadNoEffect(t *testing.T) {
	cases := map[string]struct {
		faults     teststore.Faults
		applied    bool
		notApplied bool
	}{
		"lost response": {faults: teststore.Faults{LostReplies: 1}, applied: true},
		"down":          {faults: teststore.Faults{Down: true}},
		"rejected":      {faults: teststore.Faults{RejectedWrites: 1}},
		"rate limit":    {faults: teststore.Faults{RateLimitedCalls: 1, RetryAfterSeconds: 7}, notApplied: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			backend, client := startStore(t, objectapi.Options{})
			backend.SetFaults(c.faults)
			_, err := client.Create(t.Context(), platform.KindLease, "a", []byte("1"))
			assert.Assert(t, err != nil)
			assert.Equal(t, platform.IsNotApplied(err), c.notApplied, "%v", err)
			backend.SetFaults(teststore.Faults{})
			_, err = client.Get(t.Context(), platform.KindLease, "a")
			assert.Equal(t, err == nil, c.applied)
		})
	}
}

// Verifies that the wait that the platform requests reaches the caller.
func TestRateLimitErrorCarriesRetryAfter(t *testing.T) {
	backend, client := startStore(t, objectapi.Options{})
	backend.SetFaults(teststore.Faults{RateLimitedCalls: 1, RetryAfterSeconds: 7})
	_, err := client.Get(t.Context(), platform.KindLease, "a")
	var limited *platform.TooManyRequestsError
	assert.Assert(t, errors.As(err, &limited))
	assert.Equal(t, limited.RetryAfter, 7*time.Second)
}

// Verifies that a refused connection proves that a write had no effect.
func TestConnectFailureProvesWriteNotApplied(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	client, err := objectapi.New(objectapi.Options{BaseURL: server.URL})
	assert.NilError(t, err)
	server.Close()
	_, err = client.Create(t.Context(), platform.KindLease, "a", nil)
	assert.ErrorIs(t, err, platform.ErrConnectFailed)
	assert.Assert(t, platform.IsNotApplied(err))
}

// Verifies that calls to a slow platform end after the call timeout and that the
// outcome of a write is then unknown.
func TestCallTimeoutLeavesWriteOutcomeUnknown(t *testing.T) {
	backend, client := startStore(t, objectapi.Options{CallTimeout: 20 * time.Millisecond})
	backend.SetFaults(teststore.Faults{Delay: time.Hour})
	_, err := client.Create(t.Context(), platform.KindLease, "a", nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, !platform.IsNotApplied(err))
}

// Verifies that a broken watch returns an error that names the cause.
func TestBrokenWatchReturnsCause(t *testing.T) {
	cases := map[string]struct {
		options     objectapi.Options
		injectFault func(*teststore.Store)
		want        error
	}{
		"expired": {injectFault: (*teststore.Store).ExpireWatches, want: platform.ErrWatchExpired},
		"restored": {
			injectFault: func(s *teststore.Store) { s.Restore(teststore.Backup{}) }, want: platform.ErrWatchExpired,
		},
		"idle": {
			options:     objectapi.Options{WatchIdleTimeout: 200 * time.Millisecond},
			injectFault: func(s *teststore.Store) { s.SetFaults(teststore.Faults{SilenceWatches: true}) },
			want:        objectapi.ErrWatchIdleTimeout,
		},
		"down": {injectFault: func(s *teststore.Store) { s.SetFaults(teststore.Faults{Down: true}) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			backend, client := startStore(t, c.options)
			first, err := client.Create(t.Context(), platform.KindConfigHead, "a", nil)
			assert.NilError(t, err)
			_, err = client.Update(t.Context(), first)
			assert.NilError(t, err)
			ended := make(chan error, 1)
			seen := make(chan struct{})
			go func() {
				ended <- client.Watch(t.Context(), platform.KindConfigHead, first.ResourceVersion, func(platform.Event) error {
					close(seen)
					return nil
				})
			}()
			<-seen
			c.injectFault(backend)
			err = <-ended
			assert.Assert(t, err != nil)
			if c.want != nil {
				assert.ErrorIs(t, err, c.want)
			}
		})
	}
}

// Verifies that malformed responses cause errors, not panics or wrong objects.
func TestMalformedResponsesReturnErrors(t *testing.T) {
	bodies := map[string]string{
		"empty":         "",
		"not JSON":      "<html>",
		"null":          "null",
		"no version":    `{"kind":"Lease","metadata":{"name":"a"}}`,
		"wrong kind":    `{"kind":"ConfigHead","metadata":{"name":"a","resourceVersion":"1"},"spec":{"value":""}}`,
		"wrong name":    `{"kind":"Lease","metadata":{"name":"b","resourceVersion":"1"},"spec":{"value":""}}`,
		"not base64":    `{"kind":"Lease","metadata":{"name":"a","resourceVersion":"1"},"spec":{"value":"!"}}`,
		"beyond limit":  strings.Repeat(" ", 2000) + `{}`,
		"bad list item": `{"metadata":{"resourceVersion":"1"},"items":[{}]}`,
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			client, err := objectapi.New(objectapi.Options{BaseURL: server.URL, MaxResponseBytes: 1000})
			assert.NilError(t, err)
			defer client.Close()
			_, err = client.Get(t.Context(), platform.KindLease, "a")
			assert.Assert(t, err != nil)
			_, err = client.Create(t.Context(), platform.KindLease, "a", nil)
			assert.Assert(t, err != nil)
			_, _, err = client.List(t.Context(), platform.KindLease)
			assert.Assert(t, err != nil)
			err = client.Watch(t.Context(), platform.KindLease, "1", func(platform.Event) error { return nil })
			assert.Assert(t, err != nil)
		})
	}
}

// A response whose header section has a malformed name tells nothing of the platform: neither
// that an object does not exist nor that a write was not applied.
func TestResponseWithMalformedFieldIsNoAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusTooManyRequests} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d None\r\nX Note: 1\r\nContent-Length: 2\r\n\r\n{}", status)
		}))
		client, err := objectapi.New(objectapi.Options{BaseURL: server.URL})
		assert.NilError(t, err)
		_, err = client.Get(t.Context(), platform.KindLease, "a")
		assert.Assert(t, err != nil && !errors.Is(err, platform.ErrNotFound), "status %d: %v", status, err)
		_, err = client.Create(t.Context(), platform.KindLease, "a", nil)
		assert.Assert(t, err != nil && !platform.IsNotApplied(err), "status %d: %v", status, err)
		client.Close()
		server.Close()
	}
}
