package dynamic_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

// Fails if a call matches a route by a part of a path segment, or matches a shorter
// prefix although a longer one matches.
func TestMatchRouteChoosesLongestPrefixOfWholeSegments(t *testing.T) {
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

// Fails if a plan allows calls beyond its entitlements, or if a key digest is accepted
// in place of the key.
func TestSnapshotAllowsOnlyEntitledCalls(t *testing.T) {
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

// Verifies that a configuration version cannot be activated from missing, wrong or
// corrupted parts.
func TestManifestVerifyRejectsWrongParts(t *testing.T) {
	config, err := dynamic.Parse(files(customers, entitlements)...)
	assert.NilError(t, err)
	for _, test := range []struct {
		name    string
		corrupt func(*dynamic.Manifest, *[]dynamic.Part)
	}{
		{"part missing", func(_ *dynamic.Manifest, p *[]dynamic.Part) { *p = (*p)[1:] }},
		{"part corrupted", func(_ *dynamic.Manifest, p *[]dynamic.Part) { (*p)[0].Data[0]++ }},
		{"part with a wrong name", func(_ *dynamic.Manifest, p *[]dynamic.Part) { (*p)[0].Name = "service/x" }},
		{"part twice", func(_ *dynamic.Manifest, p *[]dynamic.Part) { (*p)[0] = (*p)[1] }},
		{"manifest corrupted", func(m *dynamic.Manifest, _ *[]dynamic.Part) { m.Parts[0].Digest = m.Parts[1].Digest }},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts, err := dynamic.EncodeParts(config)
			assert.NilError(t, err)
			manifest := dynamic.NewManifest(1, parts)
			assert.NilError(t, manifest.Verify(parts))
			test.corrupt(&manifest, &parts)
			assert.Assert(t, manifest.Verify(parts) != nil)
		})
	}
}
