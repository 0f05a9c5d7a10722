package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// valid returns a configuration without findings, changed by change.
func valid(change func(*mesh.Configuration)) mesh.Configuration {
	c := mesh.Configuration{
		Version: 8, Limits: mesh.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []mesh.Route{{
			Name: "a", Host: "h", Prefix: "/a/", Kind: mesh.Safe, Timeout: time.Second, TargetLatency: 500 * time.Millisecond, MaxAttempts: 2,
			WeightedServices: []mesh.WeightedService{{Service: "s", Weight: 1}},
		}},
		Services: []mesh.Service{{Name: "s", MaxConnections: 100, HealthCheckPath: "/health"}},
		Tenants:  []mesh.Tenant{{Name: "w", Keys: []string{"secret-one"}, RatePerSecond: 10, Burst: 20}},
	}
	if change != nil {
		change(&c)
	}
	return c
}

// Each fault must be found and said with the entry that has it; a sound configuration
// must have no findings, or operators learn to ignore them.
func TestCheckFindsFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*mesh.Configuration)
		severity Severity
		want     string
	}{
		{"sound", nil, "", ""},
		{"route shadowed by an equal one", func(c *mesh.Configuration) { c.Routes = append(c.Routes, c.Routes[0]) }, Error, "never matches"},
		{"prefix without a slash at its end", func(c *mesh.Configuration) { c.Routes[0].Prefix = "/a" }, Error, "slash"},
		{"route without a host", func(c *mesh.Configuration) { c.Routes[0].Host = "" }, Error, "no host"},
		{"target above the timeout", func(c *mesh.Configuration) { c.Routes[0].TargetLatency = 2 * time.Second }, Error, "above the timeout"},
		{"no timeout", func(c *mesh.Configuration) { c.Routes[0].Timeout = 0 }, Warning, "no timeout"},
		{"unknown service", func(c *mesh.Configuration) { c.Routes[0].WeightedServices[0].Service = "x" }, Error, `service "x" is not defined`},
		{"weight 0", func(c *mesh.Configuration) {
			c.Routes[0].WeightedServices = append(c.Routes[0].WeightedServices, mesh.WeightedService{Service: "s"})
		}, Warning, "weight 0"},
		{"service without a route", func(c *mesh.Configuration) { c.Services = append(c.Services, mesh.Service{Name: "t"}) }, Warning, "no route leads"},
		{"service defined twice", func(c *mesh.Configuration) { c.Services = append(c.Services, c.Services[0]) }, Error, "defined twice"},
		{"unknown region", func(c *mesh.Configuration) { c.Routes[0].AllowedRegions = []string{"north"} }, Error, `no region "north"`},
		{"regions of tenant and route", func(c *mesh.Configuration) {
			c.Routes[0].AllowedRegions, c.Tenants[0].AllowedRegions = []string{"east"}, []string{"west"}
		}, Warning, "can never serve it"},
		{"tenant without a key", func(c *mesh.Configuration) { c.Tenants[0].Keys = nil }, Warning, "never matches"},
		{"key of two tenants", func(c *mesh.Configuration) {
			c.Tenants = append(c.Tenants, mesh.Tenant{Name: "v", Keys: c.Tenants[0].Keys})
		}, Error, "hold the same key"},
		{"burst without a rate", func(c *mesh.Configuration) { c.Tenants[0].RatePerSecond = 0 }, Warning, "no effect"},
		{"rate without a burst", func(c *mesh.Configuration) { c.Tenants[0].Burst = 0 }, Error, "admits no request"},
		{"tenants, but only public routes", func(c *mesh.Configuration) { c.Routes[0].Public = true }, Warning, "all routes are public"},
		{"cold limit without a health check", func(c *mesh.Configuration) {
			c.Services[0].ColdPerSecond, c.Services[0].ColdStart, c.Services[0].HealthCheckPath = 17, time.Second, ""
		}, Warning, "health_check_path"},
		{"idle timeout below the header timeout", func(c *mesh.Configuration) { c.Limits.IdleTimeout = time.Second }, Warning, "idle_timeout"},
	} {
		report := Check(valid(c.change), nil, []string{"east", "west"})
		if c.want == "" {
			assert.Equal(t, len(report.Findings), 0, "%v", report.Findings)
			continue
		}
		found := false
		for _, f := range report.Findings {
			found = found || f.Severity == c.severity && strings.Contains(f.Message, c.want)
		}
		assert.Assert(t, found, "%s: %v", c.name, report.Findings)
		assert.Equal(t, report.HasErrors(), c.severity == Error, "%s: %v", c.name, report.Findings)
	}
}

// All differences from the version in force must be shown, without any key.
func TestCheckShowsChanges(t *testing.T) {
	before := valid(func(c *mesh.Configuration) { c.Version = 7 })
	after := valid(func(c *mesh.Configuration) {
		c.Routes[0].Timeout = 2 * time.Second
		c.Routes = append(c.Routes, mesh.Route{
			Name: "b", Host: "h", Prefix: "/b/", Timeout: time.Second, MaxAttempts: 1, WeightedServices: []mesh.WeightedService{{Service: "s", Weight: 1}},
		})
		c.Tenants = []mesh.Tenant{{Name: "w", Keys: []string{"secret-two"}, RatePerSecond: 10, Burst: 20}}
	})
	report := Check(after, &before, nil)
	assert.Equal(t, len(report.Findings), 0, "%v", report.Findings)
	assert.Equal(t, len(report.Changes), 3, "%v", report.Changes)
	assert.DeepEqual(t, report.Changes[0], Change{Kind: Changed, Entry: "route h/a/", Fields: []string{"timeout: 1000ms -> 2000ms"}})
	assert.DeepEqual(t, report.Changes[1], Change{Kind: Added, Entry: "route h/b/"})
	assert.Equal(t, report.Changes[2].Entry, "tenant w")
	assert.Assert(t, !strings.Contains(fmt.Sprint(report), "secret"))
	assert.Equal(t, Check(before, &after, nil).HasErrors(), true, "a lower version must be refused")
}
