package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/azurespring/azurespring/platform/platformtest"
)

const (
	// defaultDeadline is the deadline that clients with short requests state.
	defaultDeadline = 1500 * time.Millisecond
	// responseTimeout is how long clients wait for a response beyond the deadline.
	responseTimeout = 1500 * time.Millisecond
)

// client sends requests one after the other, on one connection for as long as the node
// keeps it open. Unlike the client of net/http it never sends a request again, so that
// a connection that the node closes under a request is always recorded.
type client struct {
	instance *instance
	conn     net.Conn
	reader   *bufio.Reader
}

// request is what a client sends. pause is a break in the middle of sending.
type request struct {
	id, path        string
	deadline, pause time.Duration
}

// runClient sends short requests until ctx ends.
func (inst *instance) runClient(ctx context.Context, r *rand.Rand) {
	c := &client{instance: inst}
	defer c.close()
	prefix := fmt.Sprintf("%x", r.Uint64())
	for n := 0; ctx.Err() == nil; n++ {
		result := c.send(request{id: fmt.Sprint(prefix, "-", n), path: randomPath(r, "x"), deadline: defaultDeadline})
		if ctx.Err() == nil && result.err != nil {
			time.Sleep(20 * time.Millisecond) // The node may not be listening yet.
		}
		time.Sleep(rand.N(20 * time.Millisecond))
	}
}

// runSlowClient sends requests of up to several seconds until ctx ends. At times it pauses
// in one, or leaves its connection idle for up to 4/5 of the idle timeout.
func (inst *instance) runSlowClient(ctx context.Context, r *rand.Rand) {
	c := &client{instance: inst}
	defer c.close()
	prefix := fmt.Sprintf("%x", r.Uint64())
	deadlines := []time.Duration{defaultDeadline, 3 * time.Second, 6 * time.Second, 6 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		lastSegment := "x"
		switch r.IntN(10) {
		case 0, 1:
			lastSegment = randomDuration(r, 500*time.Millisecond, 4500*time.Millisecond).String()
		case 2, 3:
			lastSegment = randomDuration(r, 50*time.Millisecond, 500*time.Millisecond).String()
		}
		q := request{id: fmt.Sprint(prefix, "-", n), deadline: deadlines[r.IntN(len(deadlines))], path: randomPath(r, lastSegment)}
		idle := randomDuration(r, 0, 20*time.Millisecond)
		switch r.IntN(8) {
		case 0:
			q.pause = randomDuration(r, 0, 600*time.Millisecond)
		case 1:
			idle = randomDuration(r, 0, time.Duration(inst.fleet.idleTimeout.Load()*4/5))
		}
		if c.send(q); c.conn == nil {
			time.Sleep(min(idle, 20*time.Millisecond))
		} else if _, err := c.wait(ctx, idle); err != nil {
			c.close()
		}
	}
}

// sendOnNewConnection sends one short request.
func (inst *instance) sendOnNewConnection(id, path string) result {
	c := &client{instance: inst}
	defer c.close()
	return c.send(request{id: id, path: path, deadline: defaultDeadline})
}

func randomDuration(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from))).Truncate(time.Millisecond)
}

// randomPath returns a path on one of the constant routes.
func randomPath(r *rand.Rand, lastSegment string) string {
	return fmt.Sprintf("/%s%d/%s", []string{"safe", "unsafe", "download"}[r.IntN(3)], r.IntN(serviceCount), lastSegment)
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// wait waits until the duration has passed, ctx ends or the connection becomes readable. It
// reports whether bytes have arrived, and returns an error if the connection has ended.
func (c *client) wait(ctx context.Context, duration time.Duration) (isReadable bool, err error) {
	for end := time.Now().Add(duration); ctx.Err() == nil && time.Now().Before(end); {
		_ = c.conn.SetReadDeadline(time.Now().Add(min(time.Until(end), 100*time.Millisecond)))
		if _, err = c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return err == nil, err
		}
	}
	return false, nil
}

// send sends one request and records its result.
func (c *client) send(q request) (res result) {
	res = result{id: q.id, path: q.path, instance: c.instance, deadline: q.deadline, sent: time.Now()}
	defer func() {
		res.ended = time.Now()
		if res.err != nil {
			c.close()
		}
		c.instance.fleet.requestLog.recordResult(res)
	}()
	if c.conn == nil {
		if c.conn, res.err = net.DialTimeout("tcp", c.instance.outbound, time.Second); res.err != nil {
			return res
		}
		c.reader = bufio.NewReader(c.conn)
	}
	method, ending := http.MethodGet, "\r\n"
	if res.unsafe() {
		method, ending = http.MethodPost, "Transfer-Encoding: chunked\r\n\r\n9\r\na booking\r\n0\r\n\r\n"
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s", method, q.path,
		platformtest.HeaderRequestID, q.id, platformtest.HeaderDeadline, q.deadline.Milliseconds(), ending)
	res.begun = time.Now()
	if q.pause > 0 {
		if _, res.err = io.WriteString(c.conn, text[:len(text)/2]); res.err != nil {
			return res
		}
		text = text[len(text)/2:]
		var isReadable bool
		if isReadable, res.err = c.wait(context.Background(), q.pause); res.err != nil {
			return res
		}
		if isReadable {
			res.err = c.readResponse(method, &res)
			c.close() // The request can't be completed behind its response.
			return res
		}
	}
	if _, res.err = io.WriteString(c.conn, text); res.err != nil {
		return res
	}
	res.sent, res.isWhole = time.Now(), true
	_ = c.conn.SetReadDeadline(res.sent.Add(q.deadline + responseTimeout))
	res.err = c.readResponse(method, &res)
	return res
}

func (c *client) readResponse(method string, res *result) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	res.status = response.StatusCode
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	res.signed = strings.HasSuffix(response.Header.Get(platformtest.HeaderSignature), "."+res.id)
	size := len(responseBody)
	res.complete = size > 0 && string(responseBody) == body(res.id, size) && (size > 100_000) == strings.HasPrefix(res.path, "/download")
	if response.Close {
		c.close()
	}
	return nil
}
