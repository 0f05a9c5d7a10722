package sidecar

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Requests must be split by weight also if the sum of the weights overflows an integer.
func TestHugeWeightsSplitRequests(t *testing.T) {
	entry := newEntry(&shared{}, nil, nil)
	route := &mesh.Route{Name: "r", WeightedServices: []mesh.WeightedService{{Service: "s", Weight: math.MaxInt}, {Service: "t", Weight: math.MaxInt}}}
	counts := make(map[string]int)
	for range 1000 {
		counts[entry.pickService(route)]++
	}
	assert.Assert(t, counts["s"] > 450 && counts["t"] > 450, "%v", counts)
}
