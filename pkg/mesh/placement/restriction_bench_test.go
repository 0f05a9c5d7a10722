package placement

import (
	"fmt"
	"testing"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
)

// targetFleet is the size of two years from now: 3,800 endpoints of one service in 4 regions
// and 14 failure domains.
func targetFleet() []mesh.Instance {
	var instances []mesh.Instance
	for i := range 3800 {
		name := fmt.Sprint("n", i)
		domain := i % 14
		instances = append(instances, instance(name, fmt.Sprint("d", domain), fmt.Sprint("r", domain%4), endpoint("e-"+name)))
	}
	return instances
}

func BenchmarkBuild(b *testing.B) {
	fleet := targetFleet()
	builder := NewBuilder(Locality{Instance: "n0", FailureDomain: "d0", Region: "r0"})
	b.ReportAllocs()
	for b.Loop() {
		builder.Build(epoch, fleet)
	}
}

func BenchmarkCandidates(b *testing.B) {
	table := NewBuilder(Locality{Instance: "n0", FailureDomain: "d0", Region: "r0"}).Build(epoch, targetFleet())
	for name, r := range map[string]Restriction{
		"anywhere":  {Evacuations: evacuation.None},
		"regions":   {Regions: [][]string{{"r1", "r2"}, {"r2"}}, Evacuations: evacuation.None},
		"evacuated": {Evacuations: evacuation.NewSet("d3")},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Candidates("s", r)
			}
		})
	}
}
