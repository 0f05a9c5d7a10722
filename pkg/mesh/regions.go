package mesh

import (
	"slices"

	"github.com/samber/lo"
)

// regionScores holds how much of the configured traffic of a service may run in each
// region that a route or a tenant names.
type regionScores struct {
	scores map[string]int
	// others is the score of the regions that are not named.
	others int
}

// RegionScore returns a function that scores the regions by how much of the traffic of a
// service may run there: the number of pairs of a route of the service and a tenant that
// allow the region. It returns nil if the traffic may run everywhere.
func (s *Snapshot) RegionScore(service string) func(region string) int {
	r, ok := s.regionScores[service]
	if !ok {
		return nil
	}
	return func(region string) int {
		if score, isNamed := r.scores[region]; isNamed {
			return score
		}
		return r.others
	}
}

// scoreRegions sets the scores of the services that have routes or tenants with regions.
func (s *Snapshot) scoreRegions() {
	s.regionScores = make(map[string]regionScores)
	var tenantRegions [][]string
	for _, t := range s.configuration.Tenants {
		tenantRegions = append(tenantRegions, t.AllowedRegions)
	}
	if len(tenantRegions) == 0 {
		tenantRegions = [][]string{nil}
	}
	routeRegions := make(map[string][][]string)
	for i := range s.configuration.Routes {
		route := &s.configuration.Routes[i]
		for _, weighted := range route.WeightedServices {
			routeRegions[weighted.Service] = append(routeRegions[weighted.Service], route.AllowedRegions)
		}
	}
	for service, routes := range routeRegions {
		named := lo.Uniq(append(lo.Flatten(routes), lo.Flatten(tenantRegions)...))
		if len(named) == 0 {
			continue
		}
		r := regionScores{scores: make(map[string]int, len(named)), others: countAllowing(routes, "") * countAllowing(tenantRegions, "")}
		for _, region := range named {
			r.scores[region] = countAllowing(routes, region) * countAllowing(tenantRegions, region)
		}
		s.regionScores[service] = r
	}
}

// countAllowing returns the number of lists that allow a region. An empty list allows all.
func countAllowing(lists [][]string, region string) int {
	return lo.CountBy(lists, func(list []string) bool { return len(list) == 0 || slices.Contains(list, region) })
}
