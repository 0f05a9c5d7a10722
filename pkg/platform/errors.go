package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrConnectFailed means that no connection to the platform could be established, so
// that a write cannot have taken effect.
var ErrConnectFailed = errors.New("platform not reached")

// TooManyRequestsError means that the platform rejected the call without running it.
type TooManyRequestsError struct {
	// RetryAfter is the wait that the platform requested; 0 if it requested none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *TooManyRequestsError) Error() string {
	return fmt.Sprintf("platform rate limit, retry after %v", e.RetryAfter)
}

// IsNotApplied reports whether err proves that the write that returned it did not
// take effect. It is false for a nil error.
func IsNotApplied(err error) bool {
	var limited *TooManyRequestsError
	if errors.As(err, &limited) {
		return true
	}
	for _, sentinel := range []error{ErrNotFound, ErrAlreadyExists, ErrConflict, ErrClientRateLimited, ErrConnectFailed} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}
