package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Verifies that a call may be retried only if its error states that it did not run.
func TestFromErrorDefaultsToMayHaveRun(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want Verdict
	}{
		{"rejection", NotRunErrorf(Overloaded, "queue is full"), NotRun},
		{"wrapped rejection", fmt.Errorf("call: %w", NotRunErrorf(NoTarget, "none")), NotRun},
		{"failure", MayHaveRunErrorf(TargetFailed, errors.New("reset"), "read response"), MayHaveRun},
		{"rejection as cause of a failure", MayHaveRunErrorf(AnswerCut, NotRunErrorf(Draining, "draining"), "truncated"), MayHaveRun},
		{"other error type", errors.New("unknown"), MayHaveRun},
		{"no error", nil, MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, FromError(tt.err), tt.want)
		})
	}
}

// Verifies that a malformed header value does not permit a retry.
func TestParseAcceptsOnlyExactNotRun(t *testing.T) {
	for text, want := range map[string]Verdict{
		"not-run": NotRun, "may-have-run": MayHaveRun, "": MayHaveRun, "NOT-RUN": MayHaveRun, "not-run ": MayHaveRun,
	} {
		assert.Equal(t, Parse(text), want, "text %q", text)
	}
}

// Verifies that a known code has its own HTTP status and that an unknown code maps
// to 500.
func TestHTTPStatusDefaultsToInternalServerError(t *testing.T) {
	assert.Equal(t, Quarantined.HTTPStatus(), http.StatusUnprocessableEntity)
	assert.Equal(t, Code("unknown code").HTTPStatus(), http.StatusInternalServerError)
}
