package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/egress"
)

// uplink sends answers on the link of this machine in the order that egress.Link
// decides.
type uplink struct {
	now func() time.Time

	mu      sync.Mutex
	link    *egress.LinkScheduler
	next    uint64
	waiting map[uint64]chan struct{}
	timer   *time.Timer
}

func newUplink(now func() time.Time, bytesPerSecond float64) *uplink {
	u := &uplink{now: now, link: egress.NewLinkScheduler(bytesPerSecond), waiting: make(map[uint64]chan struct{})}
	u.timer = time.AfterFunc(time.Hour, u.turn)
	return u
}

// turn lets those chunks go whose time has come.
func (u *uplink) turn() {
	u.mu.Lock()
	defer u.mu.Unlock()
	granted, wait := u.link.Next(u.now())
	for _, id := range granted {
		close(u.waiting[id])
		delete(u.waiting, id)
	}
	if wait > 0 {
		u.timer.Reset(wait)
	}
}

// spend counts bytes that do not wait.
func (u *uplink) spend(bytes int) {
	u.mu.Lock()
	u.link.AddUnscheduled(u.now(), bytes)
	u.mu.Unlock()
}

// spendHead counts the head of a request or an answer. On a narrow link that is full of
// large answers, the heads of rejections alone took 8% of it.
func (u *uplink) spendHead(header http.Header) {
	bytes := firstLineBytes
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value) + len(": \r\n")
		}
	}
	u.spend(bytes)
}

// firstLineBytes stands for a first line of usual length, the Date and the end of the
// head.
const firstLineBytes = 100

// promise asks for room for an answer. taken must be called once the answer begins or
// is known not to come; late is more than 0 if there is no room.
func (u *uplink) promise(e egress.ExpectedResponse) (taken func(), late time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if late = u.link.Lateness(u.now(), e); late > 0 {
		return nil, late
	}
	u.link.Reserve(e.Bytes)
	return func() {
		u.mu.Lock()
		u.link.Reserve(-e.Bytes)
		u.mu.Unlock()
	}, 0
}

// await waits for the turn of a chunk.
func (u *uplink) await(ctx context.Context, c egress.Chunk) error {
	u.mu.Lock()
	if u.link.Submit(u.now(), c) {
		u.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	u.waiting[c.ResponseID] = turn
	u.mu.Unlock()
	u.turn()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.link.Cancel(c.ResponseID)
	delete(u.waiting, c.ResponseID)
	return ctx.Err()
}

// copyAnswer sends the body of an answer whose length is -1 if it is not known.
// Large answers are sent in chunks, each in its turn. An answer that was cut ends
// with the source's error. terms hold what all chunks of the answer have in common.
func (u *uplink) copyAnswer(ctx context.Context, w io.Writer, body io.Reader, length int64, terms egress.Chunk) error {
	u.mu.Lock()
	u.next++
	terms.ResponseID = u.next
	u.mu.Unlock()
	size := int64(egress.ChunkBytes)
	if length >= 0 {
		size = min(size, length+1) // One more shows the end at once.
	}
	buffer := make([]byte, size)
	for sent := int64(0); ; {
		n, err := fill(body, buffer)
		if n > 0 {
			terms.Bytes, terms.RemainingBytes = n, max(length-sent, int64(n))
			if sent == 0 && err == io.EOF {
				u.spend(n)
			} else if err := u.await(ctx, terms); err != nil {
				return err
			}
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			sent += int64(n)
		}
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

// fill reads until the buffer is full or the source ends. Unlike io.ReadFull it
// returns the source's own error, which tells a cut answer from a whole one.
func fill(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var m int
		m, err = source.Read(buffer[n:])
		n += m
	}
	return n, err
}
