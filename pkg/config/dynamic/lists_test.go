package dynamic_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

const customers = `apiVersion: azurespring/v1
kind: CustomerList
customers:
  - name: acme
    plan: basic
    keyDigests: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]
`

const entitlements = `apiVersion: azurespring/v1
kind: EntitlementList
plans:
  - name: basic
    limits: {ratePerSecond: 2.5, share: 3}
    services: [{service: stock, routes: [check]}]
departments:
  - name: warehouse
    success: {statuses: [2xx, "404"], latency: 150ms}
    promisedShare: 0.999
    period: 24h
services:
  - name: stock
    version: 1.10
    sticky: true
    move: {to: "1.11", finishBy: "2026-06-01T18:00:00+02:00"}
    routes:
      - {name: check, methods: [GET], pathPrefix: /v1/stock, deadline: 1s, department: warehouse}
`

var now = time.Date(2026, 5, 31, 12, 0, 0, 0, time.UTC)

func files(customers, entitlements string) []dynamic.File {
	return []dynamic.File{
		{Name: "c.yaml", Data: []byte(customers)},
		{Name: "e.yaml", Data: []byte(entitlements)},
	}
}

// Verifies that values keep their meaning when they are parsed. Fails if a version
// is read as a number, a rate gets no burst, or a time zone is ignored.
func TestParseKeepsValues(t *testing.T) {
	config, err := dynamic.Parse(files(customers, entitlements)...)
	assert.NilError(t, err)
	assert.DeepEqual(t, config.Plans[0].Limits, dynamic.Limits{RatePerSecond: 2.5, Burst: 3, Weight: 3})
	stock := config.Services[0]
	assert.Equal(t, stock.Version, "1.10")
	assert.Assert(t, stock.Sticky)
	assert.Equal(t, stock.Move.FinishBy, time.Date(2026, 6, 1, 16, 0, 0, 0, time.UTC))
	assert.Equal(t, stock.Routes[0].Deadline, time.Second)
}

// Verifies that each kind of invalid list is rejected with an error that names the
// position or the value.
func TestParseRejectsInvalidLists(t *testing.T) {
	for _, test := range []struct {
		name, old, new string
		want           string
	}{
		{"unknown field", "period: 24h", "period: 24h\n    colour: red", `e.yaml:12: departments[warehouse].colour: unknown field`},
		{"field twice", "period: 24h", "period: 24h\n    period: 25h", `e.yaml:12: departments[warehouse].period: field is given twice`},
		{"missing field", "    period: 24h\n", "", `departments[warehouse].period: is required`},
		{"wrong apiVersion", "apiVersion: azurespring/v1\nkind: E", "apiVersion: azurespring/v2\nkind: E", `"azurespring/v2" is not supported`},
		{"wrong kind", "EntitlementList", "Secrets", `kind: "Secrets" must be CustomerList or EntitlementList`},
		{"unknown plan", "plan: basic", "plan: gold", `c.yaml:5: customers[acme].plan: plan "gold" is not defined`},
		{"unknown service", "{service: stock,", "{service: stocks,", `service "stocks" is not defined`},
		{"unknown route", "routes: [check]", "routes: [chek]", `route "chek" of service "stock" is not defined`},
		{"unknown department", "department: warehouse", "department: sales", `department "sales" is not defined`},
		{"route list empty", "routes: [check]", "routes: []", `leave it out to allow all routes`},
		{"entitlement twice", "[{service: stock, ", "[{service: stock}, {service: stock, ", `entitlement of plan "basic" to service "stock" is defined twice`},
		{"key twice", "86266e7ae]", "86266e7ae, 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]", `is defined twice, first in c.yaml:6`},
		{"key not a digest", "2c26b46b", "secret", `must be a SHA-256 digest`},
		{"empty key", "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", dynamic.SHA256Hex(nil), `digest of an empty key`},
		{"no key", "keyDigests: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]", "keyDigests: []", `at least one digest`},
		{"move to the current version", `to: "1.11"`, `to: "1.10"`, `e.yaml:16: services[stock].move.to: must differ from version "1.10"`},
		{"move without to", `to: "1.11", `, ``, `services[stock].move.to: is required`},
		{"time without zone", "18:00:00+02:00", "18:00:00", `must be a time with a zone`},
		{"paused and canceled", `to: "1.11",`, `to: "1.11", paused: true, canceled: true,`, `both paused and canceled`},
		{"not a boolean", `to: "1.11",`, `to: "1.11", paused: yes,`, `"yes" must be true or false`},
		{"same method and prefix", "department: warehouse}", "department: warehouse}\n      - {name: other, methods: [GET], pathPrefix: /v1/stock, deadline: 1s, department: warehouse}", `GET /v1/stock is already taken by route "check"`},
		{"path prefix with dots", "/v1/stock", "/v1/../stock", `must be a path that begins with`},
		{"unknown method", "[GET]", "[get]", `"get" must be one of`},
		{"no deadline unit", "deadline: 1s", "deadline: 1", `"1" must be a duration with a unit`},
		{"deadline too long", "deadline: 1s", "deadline: 11m", `must be from 1ms to 10m0s`},
		{"share above 1", "0.999", "99.9", `"99.9" must be a number above 0 and up to 1`},
		{"share not a number", "0.999", ".nan", `must be a number above 0`},
		{"rate of 0", "ratePerSecond: 2.5", "ratePerSecond: 0", `leave it out for no limit`},
		{"burst without rate", "ratePerSecond: 2.5", "burst: 2", `has no effect without ratePerSecond`},
		{"bad status", "[2xx,", "[6xx,", `"6xx" must be an HTTP status`},
		{"name with capitals", "name: warehouse", "name: Warehouse", `must be 1 to 63 lower-case letters`},
		{"alias", "{service: stock, routes: [check]}", "&a {service: stock}, *a", `must be a mapping of fields`},
		{"not YAML", "plans:", "plans: ]", `e.yaml:3: not valid YAML`},
		{"customers in an entitlement list", "kind: CustomerList", "kind: EntitlementList", `unknown field`},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(customers+entitlements, test.old))
			config, err := dynamic.Parse(files(
				strings.Replace(customers, test.old, test.new, 1), strings.Replace(entitlements, test.old, test.new, 1))...)
			assert.ErrorContains(t, err, test.want)
			assert.DeepEqual(t, config, dynamic.Config{})
		})
	}
}

// Verifies that a missing list is an error. Otherwise it would delete all entries of
// that list.
func TestParseRejectsMissingList(t *testing.T) {
	_, err := dynamic.Parse(files("", entitlements)...)
	assert.ErrorContains(t, err, "no document of kind CustomerList")
}

// Verifies that one call reports all validation errors, ordered by file and line, so
// that operators need not fix them one at a time.
func TestParseReportsAllValidationErrorsInOrder(t *testing.T) {
	_, err := dynamic.Parse(files(
		strings.Replace(customers, "plan: basic", "plan: gold", 1),
		strings.NewReplacer("24h", "1s", "GET", "get", "0.999", "2").Replace(entitlements))...)
	var faults dynamic.Faults
	assert.Assert(t, errors.As(err, &faults))
	fields := make([]string, 0, len(faults))
	for _, fault := range faults {
		fields = append(fields, fault.Field)
	}
	assert.DeepEqual(t, fields, []string{
		"customers[acme].plan", "departments[warehouse].promisedShare", "departments[warehouse].period",
		"services[stock].routes[check].methods[0]",
	})
}

// Verifies that moves whose finishing time has passed or is too far ahead are
// rejected, and that a passed finishing time of an already active move does not
// block unrelated changes.
func TestValidateMovesChecksFinishingTime(t *testing.T) {
	parsed, err := dynamic.ParseWithPositions(files(customers, entitlements)...)
	assert.NilError(t, err)
	for _, test := range []struct {
		name   string
		now    time.Time
		active dynamic.Config
		want   string
	}{
		{"in time", now, dynamic.Config{}, ""},
		{"passed", now.AddDate(0, 0, 2), dynamic.Config{}, "e.yaml:16: services[stock].move.finishBy: 2026-06-01T16:00:00Z has passed"},
		{"passed, but already active", now.AddDate(0, 0, 2), parsed.Config, ""},
		{"too far ahead", now.AddDate(-2, 0, 0), dynamic.Config{}, "more than a year ahead"},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := parsed.ValidateMoves(test.active, test.now)
			if test.want == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, test.want)
			}
		})
	}
}

// Verifies that a diff names each changed entry and its changed fields, which
// operators need to resolve a conflict.
func TestDiffNamesChangedEntriesAndFields(t *testing.T) {
	old, err := dynamic.Parse(files(customers, entitlements)...)
	assert.NilError(t, err)
	changed, err := dynamic.Parse(files(strings.Replace(customers, "acme", "acme-2", 1),
		strings.NewReplacer("24h", "25h", "1.11", "1.12").Replace(entitlements))...)
	assert.NilError(t, err)
	assert.DeepEqual(t, dynamic.Diff(old, changed), []dynamic.Change{
		{Entry: "customer/acme", Action: dynamic.ActionRemoved},
		{Entry: "customer/acme-2", Action: dynamic.ActionAdded},
		{Entry: "department/warehouse", Action: dynamic.ActionChanged, Fields: []string{"period"}},
		{Entry: "service/stock", Action: dynamic.ActionChanged, Fields: []string{"move"}},
	})
	assert.Assert(t, cmp.Len(dynamic.Diff(old, old), 0))
	parts, err := dynamic.EncodeParts(old)
	assert.NilError(t, err)
	assert.Equal(t, parts[0].Name, dynamic.PartNameForEntry("customer/acme"))
}

// Verifies the limits on bytes, YAML nodes, validation errors and list elements. Fails
// if a large or wrong file could exhaust the memory of a node.
func TestParseEnforcesSizeLimits(t *testing.T) {
	blank := dynamic.File{Name: "big.yaml", Data: make([]byte, dynamic.MaxListBytes/2+1)}
	_, err := dynamic.Parse(blank, blank)
	assert.ErrorContains(t, err, "big.yaml: the files up to this one have")
	nested := dynamic.File{Name: "nested.yaml", Data: []byte(strings.Repeat("- - - x\n", 500_000))}
	_, err = dynamic.Parse(nested)
	assert.ErrorContains(t, err, "nested.yaml: the files up to this one hold too many values")
	other := "apiVersion: azurespring/v1\nkind: CustomerList\ncustomers:\n" + strings.Repeat("  - 1\n", 2000)
	_, err = dynamic.Parse(dynamic.File{Name: "o.yaml", Data: []byte(other)})
	var faults dynamic.Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults), 1001)
	assert.Equal(t, faults[1000].Detail, "1000 more faults are not shown")
	keys := strings.Repeat("x, ", dynamic.MaxKeysPerCustomer)
	_, err = dynamic.Parse(files(strings.Replace(customers, "[2c", "["+keys+"2c", 1), entitlements)...)
	assert.ErrorContains(t, err, "c.yaml:6: customers[acme].keyDigests: has 17 elements, the limit is 16")
}

// Verifies that Compile rejects duplicate definitions and undefined references, which
// can be in parts that were not made by EncodeParts and would make look-ups ambiguous.
func TestCompileRejectsInvalidReferences(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*dynamic.Config)
	}{
		{"customer twice", func(c *dynamic.Config) {
			c.Customers = append(c.Customers, dynamic.Customer{Name: "acme", Plan: "basic"})
		}},
		{"key twice", func(c *dynamic.Config) {
			c.Customers = append(c.Customers, dynamic.Customer{Name: "b", Plan: "basic", KeyDigests: c.Customers[0].KeyDigests})
		}},
		{"unknown plan", func(c *dynamic.Config) { c.Customers[0].Plan = "gold" }},
		{"plan twice", func(c *dynamic.Config) { c.Plans = append(c.Plans, c.Plans[0]) }},
		{"entitlement twice", func(c *dynamic.Config) {
			c.Plans[0].Services = append(c.Plans[0].Services, dynamic.Entitlement{Service: "stock"})
		}},
		{"unknown service", func(c *dynamic.Config) { c.Plans[0].Services[0].Service = "hires" }},
		{"unknown route", func(c *dynamic.Config) { c.Plans[0].Services[0].Routes[0] = "chek" }},
		{"service twice", func(c *dynamic.Config) { c.Services = append(c.Services, c.Services[0]) }},
		{"route twice", func(c *dynamic.Config) {
			c.Services[0].Routes = append(c.Services[0].Routes, c.Services[0].Routes[0])
		}},
		{"unknown department", func(c *dynamic.Config) { c.Departments = nil }},
		{"department twice", func(c *dynamic.Config) { c.Departments = append(c.Departments, c.Departments[0]) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			config, err := dynamic.Parse(files(customers, entitlements)...)
			assert.NilError(t, err)
			_, err = dynamic.Compile(dynamic.Manifest{}, config)
			assert.NilError(t, err)
			test.change(&config)
			_, err = dynamic.Compile(dynamic.Manifest{}, config)
			assert.Assert(t, err != nil)
		})
	}
}

// Verifies that the parser accepts the lists in the examples and the documentation.
func TestExamplesAndDocumentationParse(t *testing.T) {
	for _, example := range []string{"tatrasoft", "council"} {
		var lists []dynamic.File
		for _, name := range []string{"customers.yaml", "entitlements.yaml"} {
			path := filepath.Join("../../../examples", example, name)
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			lists = append(lists, dynamic.File{Name: path, Data: data})
		}
		config, err := dynamic.Parse(lists...)
		assert.NilError(t, err)
		assert.Equal(t, len(config.Services), 4)
	}
	page, err := os.ReadFile("../../../docs/operators/lists.md")
	assert.NilError(t, err)
	var documents []string
	for _, block := range strings.Split(string(page), "```yaml\n")[1:] {
		document, _, _ := strings.Cut(block, "```")
		documents = append(documents, document)
	}
	_, err = dynamic.Parse(dynamic.File{Name: "lists.md", Data: []byte(strings.Join(documents, "---\n"))})
	assert.NilError(t, err)
}

// FuzzParse verifies that no input crashes the parser, and that an accepted
// configuration compiles and stays the same when it is encoded as parts or as YAML
// and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(customers + "---\n" + entitlements))
	for _, example := range []string{"tatrasoft", "council"} {
		customerYAML, err := os.ReadFile(filepath.Join("../../../examples", example, "customers.yaml"))
		assert.NilError(f, err)
		entitlementYAML, err := os.ReadFile(filepath.Join("../../../examples", example, "entitlements.yaml"))
		assert.NilError(f, err)
		f.Add(slices.Concat(customerYAML, []byte("---\n"), entitlementYAML))
	}
	f.Add([]byte("a: &a [*a]\n? {}\n: !!binary x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := dynamic.Parse(dynamic.File{Name: "f", Data: data})
		if err != nil {
			return
		}
		parts, err := dynamic.EncodeParts(config)
		assert.NilError(t, err)
		decoded, err := dynamic.DecodeParts(parts)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, config)
		_, err = dynamic.Compile(dynamic.NewManifest(1, parts), decoded)
		assert.NilError(t, err)
		customerYAML, entitlementYAML, err := dynamic.FormatYAML(config)
		assert.NilError(t, err)
		reparsed, err := dynamic.Parse(dynamic.File{Name: "1", Data: customerYAML}, dynamic.File{Name: "2", Data: entitlementYAML})
		assert.NilError(t, err)
		assert.DeepEqual(t, reparsed, config)
	})
}
