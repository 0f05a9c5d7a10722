package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// send sends the call to the endpoint and reads the header of its response.
func (la *localAdmission) send(ctx context.Context, ea *endpointAdmission, c *call) (*endpointResponse, *verdict.Error) {
	h := la.deps.headers
	counted := la.deps.now()
	if err := c.prefetchBody(); err != nil {
		return nil, verdict.NotRunErrorf(verdict.Canceled, "the body was cut: %v", err)
	}
	if now := la.deps.now(); now.Sub(counted) > lateSendTime {
		if rejection := la.evacuationRejection(); rejection != nil {
			return nil, rejection
		}
		if rejection := la.awaitColdLimit(ctx, ea, c, now); rejection != nil {
			return nil, rejection
		}
	}
	request, err := c.request(ctx)
	if err != nil {
		return nil, verdict.NotRunErrorf(verdict.BadRequest, "request: %v", err)
	}
	request.Header[h.ExpectedEndpoint] = []string{c.Endpoint}
	request.Header[h.CallerService] = []string{c.Caller}
	if c.Tenant != "" {
		request.Header[h.Tenant] = []string{c.Tenant}
	}
	remainingMs := max(c.deadline.Sub(la.deps.now()).Milliseconds(), 1)
	request.Header[h.Deadline] = []string{strconv.FormatInt(remainingMs, 10)}
	exchangeRequest := exchange.Request{Request: request, IDHeader: h.RequestID}
	if !c.Idempotent {
		exchangeRequest.MaxIdleTime = maxReuseIdleTime
	}
	httpResponse, failure := ea.pool.Do(ctx, exchangeRequest)
	if failure != nil {
		return nil, exchangeFailure(ctx, failure, "the endpoint")
	}
	la.recordSpeed(ea, httpResponse.Header.Get(h.ServerLoad))
	resp := &endpointResponse{
		status: httpResponse.StatusCode, header: forwardableHeader(httpResponse.Header),
		contentLength: httpResponse.ContentLength, body: httpResponse.Body,
	}
	resp.notRun = httpResponse.StatusCode == http.StatusMisdirectedRequest || httpResponse.Header.Get(h.NotRun) != ""
	if !resp.notRun && httpResponse.Header.Get(h.Signature) == "" {
		_ = httpResponse.Body.Close()
		return nil, verdict.MayHaveRunErrorf(verdict.TargetFailed, nil, "the answer with status %d is not signed", httpResponse.StatusCode)
	}
	if resp.notRun {
		// The body of a rejection is never sent to a client, so that no part of it can be missing.
		if err := discardBody(httpResponse.Body); err != nil && !errors.Is(err, exchange.ErrAborted) {
			return nil, verdict.MayHaveRunErrorf(verdict.AnswerCut, err, "the endpoint's rejection has no end")
		}
		resp.body, resp.contentLength = http.NoBody, 0
	}
	return resp, nil
}

// request builds the HTTP request to the endpoint or to its node.
func (c *call) request(ctx context.Context) (*http.Request, error) {
	uri, err := url.ParseRequestURI(c.uri)
	if err != nil {
		return nil, err
	}
	header := make(http.Header, len(c.header)+6)
	for name, values := range c.header {
		header[name] = values
	}
	if header["User-Agent"] == nil {
		// Prevents net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	request := (&http.Request{
		Method: c.method, URL: uri, Host: c.host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: c.contentLength,
	}).WithContext(ctx)
	// Opaque keeps the path in the spelling of the client.
	request.URL = &url.URL{Opaque: c.uri, Host: c.host, Scheme: ""}
	switch {
	case c.remainingBody != nil:
		// The struct hides io.WriterTo, which would allocate a buffer for each body.
		request.Body = io.NopCloser(struct{ io.Reader }{io.MultiReader(bytes.NewReader(c.body), c.remainingBody)})
	case len(c.body) > 0:
		request.Body, request.ContentLength = exchange.InMemoryBody(bytes.NewReader(c.body)), int64(len(c.body))
	default:
		request.Body, request.ContentLength = nil, 0
		if c.contentLength == 0 {
			request.Body = http.NoBody
		}
	}
	return request, nil
}
