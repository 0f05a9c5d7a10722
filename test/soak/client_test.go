package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// clientDeadline is the deadline that clients state in each request.
const clientDeadline = 1500 * time.Millisecond

// runClient sends requests one after the other until ctx ends. It uses one connection
// for as long as the node's process lives.
func (inst *instance) runClient(ctx context.Context, r *rand.Rand) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport}
	prefix := strconv.FormatUint(r.Uint64(), 36)
	for n := 0; ctx.Err() == nil; n++ {
		kind := []string{"safe", "unsafe", "download"}[r.IntN(3)]
		result := inst.send(ctx, c, fmt.Sprintf("%s-%d", prefix, n), fmt.Sprintf("/%s%d/x", kind, r.IntN(serviceCount)))
		if ctx.Err() == nil && result.err != nil {
			time.Sleep(20 * time.Millisecond) // The node may not be listening yet.
		}
		time.Sleep(time.Duration(r.Int64N(int64(20 * time.Millisecond))))
	}
}

// send sends one request and records its result.
func (inst *instance) send(ctx context.Context, c *http.Client, id, path string) result {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*clientDeadline)
	defer cancel()
	method := http.MethodGet
	var content io.Reader
	if strings.HasPrefix(path, "/unsafe") {
		// net/http can't replay a body of this type, so it never retries the request itself.
		method, content = http.MethodPost, io.MultiReader(strings.NewReader("a booking"))
	}
	res := result{id: id, path: path, instance: inst, sent: time.Now(), deadline: clientDeadline}
	defer func() {
		res.ended = time.Now()
		inst.fleet.requestLog.recordResult(res)
	}()
	request, err := http.NewRequestWithContext(bounded, method, "http://"+inst.outbound+path, content)
	if err != nil {
		res.err = err
		return res
	}
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	response, err := c.Do(request)
	if err != nil {
		res.err = err
		return res
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	res.status, res.err = response.StatusCode, err
	res.signed = strings.HasSuffix(response.Header.Get(platformtest.HeaderSignature), "."+id)
	size := len(responseBody)
	res.complete = size > 0 && string(responseBody) == body(id, size) && (size > 100_000) == strings.HasPrefix(path, "/download")
	return res
}
