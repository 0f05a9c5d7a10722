package platform

import (
	"errors"
	"strconv"
)

// A store that is restored from an older copy gives revisions out again. Each time it
// does, its era rises. Resource versions of such a store hold both, so that versions are
// ordered by era first: everything that is read in a new era is newer than what was read
// before, and a version of an earlier era is not mistaken for one of the current.
const (
	revisionBits = 40
	// MaxEra and MaxRevision are the highest values that a version holds. At 10,000
	// changes a second, revisions last for three years.
	MaxEra      = 1<<(64-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// JoinVersion returns the version of a revision that was given out in an era. In era 0
// it is the revision itself.
func JoinVersion(era, revision uint64) uint64 { return era<<revisionBits | revision&MaxRevision }

// SplitVersion returns the era and the revision of a version.
func SplitVersion(version uint64) (era, revision uint64) {
	return version >> revisionBits, version & MaxRevision
}

// EraOf returns the era of a resource version, 0 if it is not a number.
func EraOf(resourceVersion string) uint64 {
	version, err := strconv.ParseUint(resourceVersion, 10, 64)
	if err != nil {
		return 0 // Versions of other stores are opaque and have no era.
	}
	era, _ := SplitVersion(version)
	return era
}

// EraError is ErrNotFound, ErrAlreadyExists or ErrConflict of a store that told its era.
type EraError struct {
	Err error
	Era uint64
}

// Error implements error.
func (e *EraError) Error() string { return e.Err.Error() }

// Unwrap returns the error without the era.
func (e *EraError) Unwrap() error { return e.Err }

// EraOfError returns the era in which the store responded with err, 0 if it is not known.
func EraOfError(err error) uint64 {
	var e *EraError
	if errors.As(err, &e) {
		return e.Era
	}
	return 0
}
