package mesh

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The canary of a version must be where most of the traffic may go. Without regions there
// must be no preference, so that earlier deployments keep their canary endpoints.
func TestRegionScore(t *testing.T) {
	route := func(name, service string, regions ...string) Route {
		return Route{Name: name, Prefix: "/" + name, WeightedServices: []WeightedService{{Service: service, Weight: 1}}, AllowedRegions: regions}
	}
	c := Configuration{
		Routes:   []Route{route("a", "s", "r1"), route("b", "s"), route("c", "s", "r1", "r2"), route("d", "t")},
		Services: []Service{{Name: "s"}, {Name: "t"}},
	}
	snapshot, err := Compile(c)
	assert.NilError(t, err)
	assert.Assert(t, snapshot.RegionScore("t") == nil)
	score := snapshot.RegionScore("s")
	assert.DeepEqual(t, []int{score("r1"), score("r2"), score("r3")}, []int{3, 2, 1})
	c.Tenants = []Tenant{{Name: "x"}, {Name: "y", AllowedRegions: []string{"r2"}}}
	snapshot, err = Compile(c)
	assert.NilError(t, err)
	score = snapshot.RegionScore("s")
	assert.DeepEqual(t, []int{score("r1"), score("r2"), score("r3")}, []int{3, 4, 1})
	score = snapshot.RegionScore("t")
	assert.DeepEqual(t, []int{score("r1"), score("r2")}, []int{1, 2})
}
