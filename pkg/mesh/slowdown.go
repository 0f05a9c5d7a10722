package mesh

import "time"

// slowdownLifetime is the age from which a slowdown says nothing. The speed of a shared
// machine changes many times a second: at 300 ms a quarter of the figure is left.
const slowdownLifetime = 400 * time.Millisecond

// Bounds of a slowdown that is believed. The slowest endpoints seen take five times as
// long as usual; a figure far beyond that must not make an endpoint unusable or preferred.
const (
	minSlowdown = 0.2
	maxSlowdown = 10
)

// Slowdown tells how long work takes on an endpoint's machine at some moment, as a multiple
// of the usual or mean time: 1 is as usual, 2.5 is slower. The zero value is unknown.
type Slowdown struct {
	Factor float64
	// At is the time of the figure on the clock of the reading process.
	At time.Time
}

// IsKnown reports whether the endpoint has given a figure, of whatever age.
func (s Slowdown) IsKnown() bool { return s.Factor > 0 }

// Estimate returns the factor by which work is expected to take longer than usual at now.
// It approaches 1 with the age of the figure and is 1 for an unknown one.
func (s Slowdown) Estimate(now time.Time) float64 {
	age := max(now.Sub(s.At), 0)
	if !s.IsKnown() || age >= slowdownLifetime {
		return 1
	}
	factor := min(max(s.Factor, minSlowdown), maxSlowdown)
	return 1 + (factor-1)*(1-float64(age)/float64(slowdownLifetime))
}
