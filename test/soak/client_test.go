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

// clientDeadline is what clients say they will wait.
const clientDeadline = 1500 * time.Millisecond

// client sends requests one after the other until ctx ends. It keeps its connection
// open for as long as the node's process lives.
func (m *machine) client(ctx context.Context, r *rand.Rand) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport}
	prefix := strconv.FormatUint(r.Uint64(), 36)
	for n := 0; ctx.Err() == nil; n++ {
		kind := []string{"safe", "unsafe", "download"}[r.IntN(3)]
		result := m.ask(ctx, c, fmt.Sprintf("%s-%d", prefix, n), fmt.Sprintf("/%s%d/x", kind, r.IntN(services)))
		if ctx.Err() == nil && result.err != nil {
			time.Sleep(20 * time.Millisecond) // Nobody listens.
		}
		time.Sleep(time.Duration(r.Int64N(int64(20 * time.Millisecond))))
	}
}

// ask sends one request and records what came of it.
func (m *machine) ask(ctx context.Context, c *http.Client, id, path string) result {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*clientDeadline)
	defer cancel()
	method := http.MethodGet
	var content io.Reader
	if strings.HasPrefix(path, "/unsafe") {
		// A reader of unknown kind keeps net/http from sending the request again.
		method, content = http.MethodPost, io.MultiReader(strings.NewReader("a booking"))
	}
	got := result{id: id, path: path, machine: m, sent: time.Now(), deadline: clientDeadline}
	defer func() {
		got.ended = time.Now()
		m.fleet.ledger.got(got)
	}()
	request, err := http.NewRequestWithContext(bounded, method, "http://"+m.outbound+path, content)
	if err != nil {
		got.err = err
		return got
	}
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	response, err := c.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	got.status, got.err = response.StatusCode, err
	got.signed = strings.HasSuffix(response.Header.Get(platformtest.HeaderSignature), "."+id)
	size := len(answer)
	got.whole = size > 0 && string(answer) == body(id, size) && (size > 100_000) == strings.HasPrefix(path, "/download")
	return got
}
