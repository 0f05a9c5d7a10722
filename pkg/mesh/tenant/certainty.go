package tenant

import "time"

// Certainty records when the configuration of a node was last known to be the newest. It is
// not safe for concurrent use.
//
// A message that confirms it may have waited in a socket while the process was suspended.
// What is read later than the longest time between two messages of a sound source does
// therefore not count; the message after it does.
type Certainty struct {
	confirmedAt time.Time
	lastReadAt  time.Time
}

// Begin records that a source has been asked.
func (c *Certainty) Begin(now time.Time) { c.lastReadAt = now }

// Confirm records a message of the source: age ago, the configuration was the newest.
// maxGap is the longest time between two messages of the source.
func (c *Certainty) Confirm(now time.Time, age, maxGap time.Duration) {
	gap := elapsed(c.lastReadAt, now)
	c.lastReadAt = now
	if at := now.Add(-age); gap <= maxGap && at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// Read records a message that confirms nothing.
func (c *Certainty) Read(now time.Time) { c.lastReadAt = now }

// Age returns the time since the configuration was last known to be the newest; it reports
// false if it never was.
func (c *Certainty) Age(now time.Time) (age time.Duration, isKnown bool) {
	return elapsed(c.confirmedAt, now), !c.confirmedAt.IsZero()
}

// elapsed returns the time between two readings of the clock, the longer one of the
// monotonic and the wall clock: the former stands still while the machine is suspended, the
// latter may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
