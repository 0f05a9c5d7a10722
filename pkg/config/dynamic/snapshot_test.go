package dynamic_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

// Guards against calls that match a route by half a path segment, or a shorter
// prefix than they could.
func TestMatchRoute(t *testing.T) {
	service := dynamic.Service{Routes: []dynamic.Route{
		{Name: "all", Methods: []string{"GET", "POST"}, PathPrefix: "/"},
		{Name: "stock", Methods: []string{"GET"}, PathPrefix: "/v1/stock"},
		{Name: "below", Methods: []string{"GET"}, PathPrefix: "/v1/stock/"},
	}}
	for _, test := range []struct{ method, path, want string }{
		{"GET", "/v1/stock", "stock"},
		{"GET", "/v1/stock/7", "below"},
		{"GET", "/v1/stocks", "all"},
		{"POST", "/v1/stock", "all"},
		{"GET", "/", "all"},
		{"PUT", "/v1/stock", ""},
		{"GET", "*", ""},
	} {
		got := ""
		if route := service.MatchRoute(test.method, test.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, test.want, "%s %s", test.method, test.path)
	}
}

// Guards against access beyond the plan, and against keys found by their digest.
func TestSnapshotLookups(t *testing.T) {
	config, err := dynamic.Parse(files(customers, entitlements)...)
	assert.NilError(t, err)
	s, err := dynamic.Compile(dynamic.Manifest{Version: 3}, config)
	assert.NilError(t, err)
	assert.Equal(t, s.CustomerByKey("foo").Name, "acme")
	assert.Assert(t, s.CustomerByKey(config.Customers[0].KeyDigests[0]) == nil)
	assert.Assert(t, s.CustomerByKey("") == nil)
	assert.Assert(t, s.IsEntitled("basic", "stock", "check"))
	for _, test := range [][3]string{{"basic", "stock", "reserve"}, {"basic", "hires", "check"}, {"gold", "stock", "check"}} {
		assert.Assert(t, !s.IsEntitled(test[0], test[1], test[2]), "%v", test)
	}
}

// Guards against a version that is put in force from missing, foreign or
// damaged parts.
func TestManifestVerify(t *testing.T) {
	config, err := dynamic.Parse(files(customers, entitlements)...)
	assert.NilError(t, err)
	for _, test := range []struct {
		name   string
		damage func(*dynamic.Manifest, *[]dynamic.Part)
	}{
		{"part missing", func(_ *dynamic.Manifest, p *[]dynamic.Part) { *p = (*p)[1:] }},
		{"part damaged", func(_ *dynamic.Manifest, p *[]dynamic.Part) { (*p)[0].Data[0]++ }},
		{"part of another name", func(_ *dynamic.Manifest, p *[]dynamic.Part) { (*p)[0].Name = "service/x" }},
		{"part twice", func(_ *dynamic.Manifest, p *[]dynamic.Part) { (*p)[0] = (*p)[1] }},
		{"manifest damaged", func(m *dynamic.Manifest, _ *[]dynamic.Part) { m.Parts[0].Digest = m.Parts[1].Digest }},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts, err := dynamic.EncodeParts(config)
			assert.NilError(t, err)
			manifest := dynamic.NewManifest(1, parts)
			assert.NilError(t, manifest.Verify(parts))
			test.damage(&manifest, &parts)
			assert.Assert(t, manifest.Verify(parts) != nil)
		})
	}
}
