package sidecar

import (
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// checkEligible refuses a request with a body that may be sent nowhere, before its body is
// read.
func (x *request) checkEligible() *verdict.Error {
	r, table := x.restriction(), x.entry.deps.table.Load()
	if x.r.ContentLength == 0 || !r.HasRegions() && r.Evacuations.IsEmpty() {
		return nil
	}
	for _, weighted := range x.route.WeightedServices {
		for _, endpoints := range table.Candidates(weighted.Service, r) {
			if len(endpoints) > 0 {
				return nil
			}
		}
	}
	return noEndpoint(x.route.WeightedServices[0].Service)
}

func noEndpoint(service string) *verdict.Error {
	err := verdict.NotRunErrorf(verdict.NoTarget, "service %q has no endpoint for the request", service)
	err.RetryAfter = noEndpointRetryAfter
	return err
}

// restriction returns what the regions of the route and the tenant, and the evacuations,
// allow.
func (x *request) restriction() placement.Restriction {
	r := placement.Restriction{Regions: [][]string{x.route.AllowedRegions}, Evacuations: x.entry.deps.evacuations.Load()}
	if x.tenant != nil {
		r.Regions = append(r.Regions, x.tenant.AllowedRegions)
	}
	return r
}
