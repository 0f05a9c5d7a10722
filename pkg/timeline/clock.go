package timeline

import (
	"cmp"
	"sync"
	"time"
)

// Timestamp is a hybrid logical time: physical milliseconds since the Unix
// epoch and a counter that orders events within a millisecond and after
// messages from instances whose clocks run ahead.
type Timestamp struct {
	Millis  int64  `json:"ms" cbor:"1,keyasint"`
	Counter uint32 `json:"n" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 as t is before, equal to or after u.
func (t Timestamp) Compare(u Timestamp) int {
	return cmp.Or(cmp.Compare(t.Millis, u.Millis), cmp.Compare(t.Counter, u.Counter))
}

// maxClockSkew bounds how far a received timestamp may move the clock ahead of
// physical time, so that one instance with a wrong clock cannot move all others.
const maxClockSkew = time.Minute

// Clock issues timestamps that increase with every event and message.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Timestamp
}

// NewClock returns a clock over the physical time now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns the timestamp of a local event or of a message to be sent.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Timestamp{})
}

// Observe advances the clock past the timestamp of a received message and returns
// the timestamp of its receipt. It ignores a timestamp further ahead than maxClockSkew.
func (c *Clock) Observe(remote Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Millis > c.now().Add(maxClockSkew).UnixMilli() {
		remote = Timestamp{}
	}
	return c.advance(remote)
}

func (c *Clock) advance(remote Timestamp) Timestamp {
	base := c.last
	if remote.Compare(base) > 0 {
		base = remote
	}
	if physical := c.now().UnixMilli(); physical > base.Millis {
		c.last = Timestamp{Millis: physical}
	} else {
		c.last = Timestamp{Millis: base.Millis, Counter: base.Counter + 1}
	}
	return c.last
}
