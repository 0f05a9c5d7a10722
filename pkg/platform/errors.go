package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrConnectFailed means that no connection to the platform could be made, so that a
// write certainly did not take effect.
var ErrConnectFailed = errors.New("platform not reached")

// TooManyRequestsError means that the platform refused the call without running it.
type TooManyRequestsError struct {
	// RetryAfterUs is the time that the platform asks to wait; 0 if it names none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *TooManyRequestsError) Error() string {
	return fmt.Sprintf("platform rate limit, retry after %v", e.RetryAfter)
}

// IsNotApplied reports whether err proves that the write that returned it did not
// take effect. A nil error proves nothing of the kind.
func IsNotApplied(err error) bool {
	var limited *TooManyRequestsError
	if errors.As(err, &limited) {
		return true
	}
	for _, proof := range []error{ErrNotFound, ErrAlreadyExists, ErrConflict, ErrClientRateLimited, ErrConnectFailed} {
		if errors.Is(err, proof) {
			return true
		}
	}
	return false
}
