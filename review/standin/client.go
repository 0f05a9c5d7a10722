package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Status     int
	Signature  string
	RetryAfter time.Duration
	Body       string
	Err        error
}

// Promises reports whether the status says that the request has not run and never will.
func (a Answer) Promises() bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return a.Err == nil
	}
	return false
}

// Send sends one client attempt on a new connection and waits for the answer until the
// deadline.
func (n *Node) Send(method, path, id, body string, deadline time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.Outbound+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{Err: err}
	}
	if body == "" {
		request.Body, request.ContentLength = nil, 0
	}
	request.Host = Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Milliseconds", strconv.FormatInt(deadline.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	answer := Answer{Status: response.StatusCode, Signature: response.Header.Get("X-Response-Signature"), Body: string(content), Err: err}
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		answer.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return answer
}
