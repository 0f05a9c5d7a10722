package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSharing bounds the tenants that a stored term lists.
const maxSharing = 1024

// sharing is a set of tenants, by hash. Two tenants with the same hash are both in it.
type sharing struct {
	// All is set if there are too many tenants to list them.
	All     bool     `json:"all,omitempty"`
	Tenants []uint32 `json:"tenants,omitempty"`
}

func hashOf(tenant string) uint32 { return uint32(xxhash.Sum64String(tenant) >> 32) }

func (s sharing) has(tenant string) bool { return s.hasHash(hashOf(tenant)) }

func (s sharing) hasHash(hash uint32) bool { return s.All || slices.Contains(s.Tenants, hash) }

// normalize removes duplicates and bounds the list.
func (s *sharing) normalize() {
	slices.Sort(s.Tenants)
	s.Tenants = slices.Compact(s.Tenants)
	if len(s.Tenants) > maxSharing {
		s.All, s.Tenants = true, nil
	}
}
