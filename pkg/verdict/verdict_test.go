package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a retry of a call whose error does not state that it did not run.
func TestOf(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want Verdict
	}{
		{"refusal", NotRunErrorf(Overloaded, "queue is full"), NotRun},
		{"wrapped refusal", fmt.Errorf("call: %w", NotRunErrorf(NoTarget, "none")), NotRun},
		{"failure", MayHaveRunErrorf(TargetFailed, errors.New("reset"), "read answer"), MayHaveRun},
		{"refusal as cause of a failure", MayHaveRunErrorf(AnswerCut, NotRunErrorf(Draining, "stopping"), "cut"), MayHaveRun},
		{"foreign error", errors.New("unknown"), MayHaveRun},
		{"no error", nil, MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, FromError(tt.err), tt.want)
		})
	}
}

// Guards against a damaged header being read as the permission to resend.
func TestParse(t *testing.T) {
	for text, want := range map[string]Verdict{
		"not-run": NotRun, "may-have-run": MayHaveRun, "": MayHaveRun, "NOT-RUN": MayHaveRun, "not-run ": MayHaveRun,
	} {
		assert.Equal(t, Parse(text), want, "text %q", text)
	}
}

// Guards against a code without an HTTP status of its own.
func TestStatus(t *testing.T) {
	assert.Equal(t, Quarantined.HTTPStatus(), http.StatusUnprocessableEntity)
	assert.Equal(t, Code("no such code").HTTPStatus(), http.StatusInternalServerError)
}
