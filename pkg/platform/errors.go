package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrNotSent means that no connection to the platform could be made, so that a
// write certainly did not take effect.
var ErrNotSent = errors.New("platform not reached")

// RateLimitedError means that the platform refused the call without running it.
type RateLimitedError struct {
	// RetryAfterUs is the time that the platform asks to wait; 0 if it names none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform rate limit, retry after %v", e.RetryAfter)
}

// NotApplied reports whether err proves that the write that returned it did not
// take effect. A nil error proves nothing of the kind.
func NotApplied(err error) bool {
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		return true
	}
	for _, proof := range []error{ErrNotFound, ErrExists, ErrConflict, ErrBudget, ErrNotSent} {
		if errors.Is(err, proof) {
			return true
		}
	}
	return false
}
