package placement

import (
	"slices"

	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
)

// Restriction says which endpoints a request may be sent to.
type Restriction struct {
	// Regions are lists of regions, each of which must name the region of the endpoint. An
	// empty list allows all regions.
	Regions [][]string
	// Evacuations are the failure domains that get no requests.
	Evacuations *evacuation.Set
}

// Allows reports whether the request may be sent to e.
func (r Restriction) Allows(e *Endpoint) bool {
	if !r.Evacuations.Admits(e.FailureDomain) {
		return false
	}
	for _, regions := range r.Regions {
		if len(regions) > 0 && !slices.Contains(regions, e.Region) {
			return false
		}
	}
	return true
}

// HasRegions reports whether the request may be served only in some regions.
func (r Restriction) HasRegions() bool {
	return slices.ContainsFunc(r.Regions, func(regions []string) bool { return len(regions) > 0 })
}

// Filter returns the candidates that the request may be sent to. candidates is not
// changed.
func (r Restriction) Filter(candidates []*Endpoint) []*Endpoint {
	if !r.HasRegions() && r.Evacuations.IsEmpty() {
		return candidates
	}
	return lo.Filter(candidates, func(e *Endpoint, _ int) bool { return r.Allows(e) })
}

// Candidates returns the candidate endpoints of each version of a service that a request
// may be sent to. A version whose candidates are all excluded is in the result, without
// any. The result must not be changed.
func (t *Table) Candidates(service string, r Restriction) map[string][]*Endpoint {
	if !r.HasRegions() && r.Evacuations.IsEmpty() {
		return t.services[service]
	}
	versions := t.services[service]
	if r.HasRegions() {
		versions = t.regional[service]
	}
	return lo.MapValues(versions, func(list []*Endpoint, _ string) []*Endpoint { return r.Filter(list) })
}
