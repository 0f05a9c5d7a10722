package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/azurespring/azurespring/pkg/verdict"
)

// problem is the body of an error response (RFC 9457).
type problem struct {
	Title        string       `json:"title"`
	Status       int          `json:"status"`
	Code         verdict.Code `json:"code"`
	Detail       string       `json:"detail"`
	Verdict      string       `json:"verdict"`
	RequestID    string       `json:"requestId"`
	RetryAfterMS int64        `json:"retryAfterMs"`
}

// writeProblem responds to a call with err as a problem document.
func writeProblem(w http.ResponseWriter, id string, err *verdict.Error) {
	status := err.Code.HTTPStatus()
	body, marshalErr := json.Marshal(problem{
		Title: string(err.Code), Status: status, Code: err.Code, Detail: err.Detail,
		Verdict: err.Verdict.String(), RequestID: id, RetryAfterMS: err.RetryAfter.Milliseconds(),
	})
	if marshalErr != nil {
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(headerVerdict, err.Verdict.String())
	if err.RetryAfter > 0 {
		seconds := int64((err.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
