package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// The version in use must change by a completed rollout only, or once its service has had
// no endpoint of it for long. Endpoints of other versions wait for their order.
func TestVersionInUseChangesByOrder(t *testing.T) {
	counts := func(v1, v2 int) map[string]int { return map[string]int{"v1": v1, "v2": v2} }
	for _, c := range []struct {
		name  string
		view  ServiceView
		want  string
		delay time.Duration
	}{
		{"first start", ServiceView{EndpointCounts: counts(1, 0)}, "v1", firstUseDelay},
		{"first start beside a rollout", ServiceView{EndpointCounts: counts(1, 3), Target: "v2", TargetState: mesh.RolloutRunning}, "v1", firstUseDelay},
		{"as many of both", ServiceView{EndpointCounts: counts(2, 2)}, "v1", firstUseDelay},
		{"only the new version of a rollout", ServiceView{EndpointCounts: counts(0, 3), Target: "v2", TargetState: mesh.RolloutRunning}, "", 0},
		{"no endpoints", ServiceView{EndpointCounts: counts(0, 0)}, "", 0},
		{"more of another version", ServiceView{InUse: "v1", IsStored: true, EndpointCounts: counts(1, 6)}, "", 0},
		{"rolled back", ServiceView{InUse: "v1", IsStored: true, EndpointCounts: counts(1, 6), Target: "v2", TargetState: mesh.RolloutRolledBack}, "", 0},
		{"completed", ServiceView{InUse: "v1", IsStored: true, EndpointCounts: counts(6, 6), Target: "v2", TargetState: mesh.RolloutCompleted}, "v2", 0},
		{"completed and stored", ServiceView{InUse: "v2", IsStored: true, EndpointCounts: counts(0, 6), Target: "v2", TargetState: mesh.RolloutCompleted}, "", 0},
		{"deleted from the store", ServiceView{InUse: "v1", EndpointCounts: counts(1, 6)}, "v1", 0},
		{"completed and deleted from the store", ServiceView{InUse: "v2", EndpointCounts: counts(0, 6), Target: "v2", TargetState: mesh.RolloutCompleted}, "v2", 0},
		{"rolled back while it was completed", ServiceView{InUse: "v2", IsStored: true, EndpointCounts: counts(6, 6), Target: "v2", TargetState: mesh.RolloutRolledBack}, "v1", 0},
		{"the only version rolled back", ServiceView{InUse: "v2", IsStored: true, EndpointCounts: counts(0, 6), Target: "v2", TargetState: mesh.RolloutRolledBack}, "", 0},
		{"abandoned", ServiceView{InUse: "v1", IsStored: true, EndpointCounts: counts(0, 6)}, "v2", abandonedDelay},
		{"abandoned for a version that was rolled back", ServiceView{InUse: "v1", IsStored: true, EndpointCounts: counts(0, 6), Target: "v2", TargetState: mesh.RolloutRolledBack}, "", 0},
	} {
		version, delay, ok := c.view.NextInUse()
		assert.Equal(t, ok, c.want != "", c.name)
		if ok {
			assert.Equal(t, version, c.want, c.name)
			assert.Equal(t, delay, c.delay, c.name)
		}
	}
}
