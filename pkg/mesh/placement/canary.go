package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
)

// CanaryOrder is the order in which the endpoints of a version take its canary requests.
// It is the same on all nodes with the same configuration and evacuations.
type CanaryOrder struct {
	Evacuations *evacuation.Set
	// RegionScore tells how much of the traffic may run in a region; nil if all may run
	// everywhere. With a canary endpoint in a region that few requests may go to, the
	// analysis of the version would get too few results.
	RegionScore func(region string) int
}

func (o CanaryOrder) score(e *Endpoint) int {
	if o.RegionScore == nil {
		return 0
	}
	return o.RegionScore(e.Region)
}

// CanaryEndpoint returns the endpoint that takes the canary requests of a version. All
// nodes choose the same one, so that its node sees all results. It is nil if all
// endpoints are ejected or evacuated.
func (t *Table) CanaryEndpoint(service, version string, now time.Time, order CanaryOrder) *Endpoint {
	var best *Endpoint
	key, top := versionKey{service, version}, 0
	if order.RegionScore != nil && len(t.regions[key]) > 0 {
		top = lo.Max(lo.Map(t.regions[key], func(region string, _ int) int { return order.RegionScore(region) }))
	}
	for _, e := range t.ranks[key] {
		if best != nil && order.score(e) <= order.score(best) || !order.Evacuations.Admits(e.FailureDomain) || e.view(now, "").ejected {
			continue
		}
		if best = e; order.score(e) >= top {
			break
		}
	}
	return best
}

// DecidingInstances returns the instances whose nodes decide about the rollout of a
// version, the node that sees the results of the canary requests first. Evacuated
// instances see none, and are left out unless there are no others.
func (t *Table) DecidingInstances(service, version string, order CanaryOrder) []string {
	ranked := slices.Clone(t.ranks[versionKey{service, version}])
	if used := lo.Filter(ranked, func(e *Endpoint, _ int) bool { return order.Evacuations.Admits(e.FailureDomain) }); len(used) > 0 {
		ranked = used
	}
	slices.SortStableFunc(ranked, func(a, b *Endpoint) int { return cmp.Compare(order.score(b), order.score(a)) })
	return lo.Map(ranked, func(e *Endpoint, _ int) string { return e.Instance })
}
