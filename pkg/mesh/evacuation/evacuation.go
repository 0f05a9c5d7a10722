// Package evacuation decides which failure domains get no requests because the operator
// has evacuated them. It does no I/O.
package evacuation

import (
	"maps"
	"slices"
)

// Set holds the evacuated failure domains as a node knows them. It is immutable. A nil
// Set means that the node does not know them yet.
type Set struct{ domains map[string]bool }

// None is the set of a deployment without evacuations.
var None = NewSet()

// NewSet returns the set of the given failure domains.
func NewSet(domains ...string) *Set {
	s := &Set{domains: make(map[string]bool, len(domains))}
	for _, domain := range domains {
		s.domains[domain] = true
	}
	return s
}

// Admits reports whether requests may be sent to endpoints in a failure domain. A node
// that does not know the evacuations sends nothing anywhere: a process that has just
// started would otherwise use a domain that its predecessor had left.
func (s *Set) Admits(domain string) bool { return s != nil && !s.domains[domain] }

// IsEmpty reports whether it is known that no failure domain is evacuated.
func (s *Set) IsEmpty() bool { return s != nil && len(s.domains) == 0 }

// Domains returns the sorted names of the evacuated failure domains.
func (s *Set) Domains() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.domains))
}

// Change is what differs between two sets.
type Change struct {
	// Begun and Ended are the failure domains that were evacuated, and those that no longer
	// are, in order.
	Begun, Ended []string
}

// Compare returns what has changed from one set to the next. From a nil set, everything
// in next has begun.
func Compare(previous, next *Set) Change {
	var c Change
	for _, domain := range next.Domains() {
		if previous == nil || !previous.domains[domain] {
			c.Begun = append(c.Begun, domain)
		}
	}
	for _, domain := range previous.Domains() {
		if next == nil || !next.domains[domain] {
			c.Ended = append(c.Ended, domain)
		}
	}
	return c
}

// IsEmpty reports whether nothing has changed.
func (c Change) IsEmpty() bool { return len(c.Begun) == 0 && len(c.Ended) == 0 }
