// Package healthquery asks an endpoint through its health check for how long it stays
// cold.
package healthquery

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/exchange"
)

// timeout bounds a query. The work of a health check takes about 6 ms.
const timeout = 500 * time.Millisecond

// maxBodyBytes bounds the body of a response, which is discarded.
const maxBodyBytes = 16 << 10

// Check describes a health check.
type Check struct {
	// Address is the address of the endpoint, Path the path of its health check.
	Address string
	Path    string
	// Header holds the fields of the request, by canonical names.
	Header http.Header
	// RemainingHeader is the name of the response header that holds the milliseconds for
	// which the endpoint stays cold.
	RemainingHeader string
}

// Query asks an endpoint for how long it stays cold; 0 if it is warm. It returns an error
// if the endpoint does not answer in time, or not with 200 or the header.
func (c Check) Query(ctx context.Context, pool *exchange.Pool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := (&http.Request{
		Method: http.MethodGet, URL: &url.URL{Opaque: c.Path}, Host: c.Address, Header: c.Header.Clone(), Body: http.NoBody,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	response, failure := pool.Do(ctx, exchange.Request{Request: request})
	if failure != nil {
		return 0, failure
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)); err != nil {
		return 0, eris.Wrap(err, "read health response")
	}
	text := response.Header.Get(c.RemainingHeader)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return 0, eris.New("another endpoint answered")
	case text == "" && response.StatusCode == http.StatusOK:
		return 0, nil
	case text == "":
		return 0, eris.Errorf("health response with status %d", response.StatusCode)
	}
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(milliseconds) || milliseconds < 0 {
		return 0, eris.Errorf("health response with a cold time of %.40q", text)
	}
	return time.Duration(min(milliseconds, maxMilliseconds) * float64(time.Millisecond)), nil
}

// maxMilliseconds keeps absurd cold times in the range of a duration.
const maxMilliseconds = 3.6e6
