package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
)

// fleetOf returns 60 instances in each of four regions with two failure domains.
func fleetOf(t *testing.T) []mesh.Instance {
	t.Helper()
	var instances []mesh.Instance
	for r := range 4 {
		for i := range 60 {
			name := fmt.Sprint("n", r, "-", i)
			instances = append(instances, instance(name, fmt.Sprintf("d%d%d", r, i%2), fmt.Sprint("r", r), endpoint("e-"+name)))
		}
	}
	return instances
}

// A request must be sent only to endpoints that its route, its tenant and the evacuations
// all allow (HOME, EVAC).
func TestRestrictionAppliesAllLists(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		names := []string{"r1", "r2", "r3"}
		list := rapid.SliceOfDistinct(rapid.SampledFrom(names), func(s string) string { return s })
		route, tenant := list.Draw(r, "route"), list.Draw(r, "tenant")
		evacuated := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"d1", "d2"}), func(s string) string { return s }).Draw(r, "evacuated")
		restriction := Restriction{Regions: [][]string{route, tenant}, Evacuations: evacuation.NewSet(evacuated...)}
		e := &Endpoint{Region: rapid.SampledFrom(names).Draw(r, "region"), FailureDomain: rapid.SampledFrom([]string{"d1", "d2"}).Draw(r, "domain")}
		isAllowed := (len(route) == 0 || slices.Contains(route, e.Region)) && (len(tenant) == 0 || slices.Contains(tenant, e.Region)) &&
			!slices.Contains(evacuated, e.FailureDomain)
		assert.Equal(t, restriction.Allows(e), isAllowed)
		assert.Equal(t, len(restriction.Filter([]*Endpoint{e})) == 1, isAllowed)
	})
	assert.Equal(t, len(Restriction{}.Filter([]*Endpoint{{}})), 0, "the evacuations are not known yet")
}

// The candidates of a node are bounded. Enough must be left in each region for requests that
// may run only there, and the other requests must keep their bound.
func TestEachRegionKeepsCandidates(t *testing.T) {
	table := NewBuilder(Locality{Instance: "n0-0", FailureDomain: "d00", Region: "r0"}).Build(epoch, fleetOf(t))
	anywhere := table.Candidates("s", Restriction{Evacuations: evacuation.None})["v1"]
	assert.Equal(t, len(lo.Filter(anywhere, func(e *Endpoint, _ int) bool { return e.Distance == OtherRegion })), maxCandidates)
	for _, region := range []string{"r1", "r2", "r3"} {
		list := table.Candidates("s", Restriction{Regions: [][]string{{region}, nil}, Evacuations: evacuation.None})["v1"]
		assert.Equal(t, len(list), maxCandidates, region)
		for _, e := range list {
			assert.Equal(t, e.Region, region)
		}
	}
	versions := table.Candidates("s", Restriction{Regions: [][]string{{"r9"}}, Evacuations: evacuation.None})
	assert.Equal(t, len(versions["v1"]), 0)
}

// Evacuated endpoints must not take the places of candidates that can be used, nor leave
// the table: versions are counted by it.
func TestEvacuatedEndpointsTakeNoPlaces(t *testing.T) {
	builder := NewBuilder(Locality{Instance: "n0-0", FailureDomain: "d00", Region: "r0"})
	evacuations := evacuation.NewSet("d00", "d10", "d20", "d30")
	builder.SetEvacuations(evacuations)
	table := builder.Build(epoch, fleetOf(t))
	assert.Equal(t, len(table.RankedInstances("s", "v1")), 240)
	counts := make(map[Distance]int)
	for _, e := range table.Candidates("s", Restriction{Evacuations: evacuations})["v1"] {
		counts[e.Distance]++
	}
	assert.DeepEqual(t, counts, map[Distance]int{SameRegion: maxCandidates, OtherRegion: maxCandidates})
	regional := table.Candidates("s", Restriction{Regions: [][]string{{"r2"}}, Evacuations: evacuations})["v1"]
	assert.Equal(t, len(regional), maxCandidates)
}

// The canary endpoint must be one that requests may be sent to, the same on all nodes, and
// its node must be the first to decide: otherwise the version has no results and is rolled
// back.
func TestCanaryIsWhereRequestsMayGo(t *testing.T) {
	fleet := fleetOf(t)
	orders := map[string]CanaryOrder{
		"anywhere":  {Evacuations: evacuation.None},
		"evacuated": {Evacuations: evacuation.NewSet("d00", "d01", "d10", "d11")},
		"regions": {Evacuations: evacuation.NewSet("d20"), RegionScore: func(region string) int {
			return map[string]int{"r2": 5, "r3": 2}[region]
		}},
	}
	for name, order := range orders {
		var canary *Endpoint
		for _, self := range []Locality{{"n0-0", "d00", "r0"}, {"n3-7", "d31", "r3"}} {
			table := NewBuilder(self).Build(epoch, fleet)
			e := table.CanaryEndpoint("s", "v1", epoch, order)
			assert.Assert(t, order.Evacuations.Admits(e.FailureDomain), name)
			assert.Equal(t, table.DecidingInstances("s", "v1", order)[0], e.Instance, name)
			assert.Assert(t, canary == nil || canary.Instance == e.Instance, name)
			canary = e
		}
		if name == "regions" {
			assert.Equal(t, canary.Region, "r2")
			assert.Equal(t, canary.FailureDomain, "d21")
		}
	}
	table := NewBuilder(self).Build(epoch, fleet[:2])
	all := CanaryOrder{Evacuations: evacuation.NewSet("d00", "d01")}
	assert.Assert(t, table.CanaryEndpoint("s", "v1", epoch, all) == nil)
	assert.Equal(t, len(table.DecidingInstances("s", "v1", all)), 2, "somebody must decide")
}

// A sender must see the reduced capacity of a cold endpoint: it is chosen after a
// warm one with the same load, and counts as busy for the time that a rejection told.
func TestReducedSlotsAreSeen(t *testing.T) {
	table := NewBuilder(self).Build(epoch, []mesh.Instance{
		instance("cold", "d1", "r1", endpoint("cold")), instance("warm", "d1", "r1", endpoint("warm")),
	})
	candidates := table.EndpointsByVersion("s")["v1"]
	cold := lo.Filter(candidates, func(e *Endpoint, _ int) bool { return e.ID == "cold" })[0]
	warm := lo.Filter(candidates, func(e *Endpoint, _ int) bool { return e.ID == "warm" })[0]
	request := Request{Kind: mesh.Unsafe, Timeout: time.Second, SoftTimeout: 500 * time.Millisecond}
	for _, e := range candidates {
		e.RecordLoad(epoch, "", Load{Running: 1, Slots: e.Slots, MeanServiceTime: 50 * time.Millisecond})
	}
	cold.RecordLoad(epoch, "", Load{Running: 1, Slots: 1, MeanServiceTime: 50 * time.Millisecond})
	for range 50 {
		choice, ok := Choose(epoch, candidates, request)
		assert.Assert(t, ok && choice.Endpoint.ID == "warm")
	}
	cold.RecordRejection(epoch, 800*time.Millisecond)
	choice, _ := Choose(epoch.Add(700*time.Millisecond), []*Endpoint{cold}, request)
	assert.Assert(t, choice.QueueWait >= 100*time.Millisecond, "%v", choice.QueueWait)
	cold.RecordLoad(epoch.Add(710*time.Millisecond), "", Load{Slots: cold.Slots, MeanServiceTime: 50 * time.Millisecond})
	choice, _ = Choose(epoch.Add(710*time.Millisecond), []*Endpoint{cold}, request)
	assert.Equal(t, choice.QueueWait, time.Duration(0), "warm again")
	warm.RecordRejection(epoch, 800*time.Millisecond)
	choice, _ = Choose(epoch, []*Endpoint{warm}, request)
	assert.Equal(t, choice.QueueWait, time.Duration(0), "rejections of warm endpoints count for their request only")
}

// Each first attempt looks for the canary endpoint while a version is tried. With region
// lists it must not look at all endpoints of a large deployment.
func TestCanaryEndpointIsFoundQuickly(t *testing.T) {
	table := NewBuilder(Locality{Instance: "n0", FailureDomain: "d0", Region: "r0"}).Build(epoch, targetFleet())
	calls := 0
	order := CanaryOrder{Evacuations: evacuation.None, RegionScore: func(region string) int {
		calls++
		return map[string]int{"r1": 3, "r2": 2}[region]
	}}
	version := table.InstanceEndpoints("s", "n0")[0].Version
	assert.Equal(t, table.CanaryEndpoint("s", version, epoch, order).Region, "r1")
	assert.Assert(t, calls < 100, "%d", calls)
}
