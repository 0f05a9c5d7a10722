package dynamic

import (
	"bytes"
	"fmt"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"
)

// APIVersion is the version of the lists' format that this program reads.
const APIVersion = "azurespring/v1"

// Kinds of lists.
const (
	CustomerListKind    = "CustomerList"
	EntitlementListKind = "EntitlementList"
)

// Limits of the lists. The limits on services, plans and departments keep the
// manifest, about 200 bytes per part, below platform.MaxValueBytes. The limit on
// customers bounds the memory of the node that parses the lists: 50,000 customers
// and 320 services of 12 routes are 6.9 MB of YAML, and parsing them grows the heap
// to 188 MB; with 20,000 customers it is 44 MB.
const (
	// MaxListBytes bounds the total size of all files.
	MaxListBytes = 16 << 20
	// maxYAMLNodeStarts bounds the number of bytes that can begin a YAML node, each
	// of which takes about 200 bytes of memory. The largest customer list has about
	// 600,000 of them.
	maxYAMLNodeStarts   = 1_500_000
	MaxCustomers        = 50_000
	MaxKeysPerCustomer  = 16
	MaxPlans            = 1000
	MaxServices         = 2000
	MaxDepartments      = 1000
	MaxRoutesPerService = 256
	maxPathPrefixBytes  = 1024
	maxRatePerSecond    = 1_000_000
	maxConcurrency      = 100_000
	maxWeight           = 1000
)

// yamlNodeStarts are the bytes that can begin a YAML node.
const yamlNodeStarts = "\n,[{:-?"

// Limits of durations and times.
const (
	minDeadline = time.Millisecond
	maxDeadline = 10 * time.Minute
	minPeriod   = time.Minute
	maxPeriod   = 366 * 24 * time.Hour
	// MaxMoveHorizon is how far ahead a move's finishing time may lie.
	MaxMoveHorizon = 366 * 24 * time.Hour
)

// File is the name and content of a file with one or both lists.
type File struct {
	Name string
	Data []byte
}

// ParsedConfig is a valid configuration together with the positions of its moves'
// finishing times.
type ParsedConfig struct {
	Config        Config
	movePositions map[string]position
}

// Parse reads both lists from any number of files and YAML documents. If they are
// invalid, it returns an empty configuration and all validation errors as Faults.
func Parse(files ...File) (Config, error) {
	parsed, err := ParseWithPositions(files...)
	if err != nil {
		return Config{}, err
	}
	return parsed.Config, nil
}

// ParseWithPositions is like Parse, for callers that also call ValidateMoves.
func ParseWithPositions(files ...File) (*ParsedConfig, error) {
	p := parser{collector: newCollector(), seenKinds: make(map[string]bool)}
	if err := checkSizes(files); err != nil {
		return nil, err
	}
	for _, file := range files {
		for _, document := range p.documents(file) {
			p.document(document)
		}
	}
	if len(p.faults) == 0 {
		for _, kind := range []string{CustomerListKind, EntitlementListKind} {
			if !p.seenKinds[kind] {
				p.addFault(position{}, "no document of kind %s is given; both lists are applied together", kind)
			}
		}
	}
	p.checkReferences()
	p.checkCounts()
	if err := p.result(); err != nil {
		return nil, err
	}
	p.config.sort()
	if _, err := EncodeParts(p.config); err != nil {
		return nil, Faults{{Detail: err.Error()}}
	}
	return &ParsedConfig{Config: p.config, movePositions: p.movePositions}, nil
}

// checkSizes rejects files that would take too much memory to parse.
func checkSizes(files []File) error {
	size, nodeStarts := 0, 0
	for _, file := range files {
		size += len(file.Data)
		if size > MaxListBytes {
			return Faults{{File: file.Name, Detail: fmt.Sprintf("the files up to this one have %d bytes, the limit is %d", size, MaxListBytes)}}
		}
		for _, start := range []byte(yamlNodeStarts) {
			nodeStarts += bytes.Count(file.Data, []byte{start})
		}
		if nodeStarts > maxYAMLNodeStarts {
			return Faults{{File: file.Name, Detail: "the files up to this one hold too many values; are they lists?"}}
		}
	}
	return nil
}

// parser builds a configuration from documents.
type parser struct {
	*collector
	config Config
	// seenKinds holds the kinds of lists found so far.
	seenKinds map[string]bool
}

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._+-]{0,63}$`)
	digestPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	statusPattern  = regexp.MustCompile(`^[1-5](xx|[0-9]{2})$`)
)

// Descriptions of the patterns above, for error messages.
const (
	nameRule    = "1 to 63 lower-case letters, digits and inner hyphens"
	versionRule = "1 to 64 letters, digits and ._+- that begin with a letter or digit"
	digestRule  = "a SHA-256 digest of 64 lower-case hexadecimal digits"
	statusRule  = `an HTTP status such as "404" or a class such as "2xx"`
)

// document adds the entries of one list to the configuration.
func (p *parser) document(document value) {
	o := document.object()
	if o == nil {
		return
	}
	if version, ok := o.require("apiVersion"); ok {
		if text, ok := version.text(); ok && text != APIVersion {
			version.fail("%s is not supported, this program reads %q", quoteTruncated(text), APIVersion)
			return
		}
	}
	kind, ok := o.require("kind")
	if !ok {
		return
	}
	switch text, _ := kind.text(); text {
	case CustomerListKind:
		p.seenKinds[text] = true
		p.config.Customers = append(p.config.Customers, readList(o, "customers", MaxCustomers, p.customer)...)
	case EntitlementListKind:
		p.seenKinds[text] = true
		p.config.Plans = append(p.config.Plans, readList(o, "plans", MaxPlans, p.plan)...)
		p.config.Services = append(p.config.Services, readList(o, "services", MaxServices, p.service)...)
		p.config.Departments = append(p.config.Departments, readList(o, "departments", MaxDepartments, p.department)...)
	default:
		kind.fail("%s must be %s or %s", quoteTruncated(text), CustomerListKind, EntitlementListKind)
		return
	}
	o.reportUnknownFields()
}

// readList reads all elements of a required list of mappings.
func readList[T any](o *object, name string, limit int, read func(*object) T) []T {
	list, ok := o.require(name)
	if !ok {
		return nil
	}
	var values []T
	for _, item := range list.items(limit) {
		if element := item.object(); element != nil {
			values = append(values, read(element))
			element.reportUnknownFields()
		}
	}
	return values
}

// checkCounts applies the limits to the total number of entries of all documents.
func (p *parser) checkCounts() {
	for _, list := range []struct {
		name       string
		count, max int
	}{
		{"customers", len(p.config.Customers), MaxCustomers},
		{"plans", len(p.config.Plans), MaxPlans},
		{"services", len(p.config.Services), MaxServices},
		{"departments", len(p.config.Departments), MaxDepartments},
	} {
		if list.count > list.max {
			p.addFault(position{field: list.name}, "the lists hold %d, the limit is %d", list.count, list.max)
		}
	}
}

// ValidateMoves checks the finishing times of moves that are new or changed in
// comparison with the active configuration: they must be after now and at most
// MaxMoveHorizon after it. The finishing time of an unchanged move may have passed.
func (c *ParsedConfig) ValidateMoves(active Config, now time.Time) error {
	var faults Faults
	for _, fault := range ValidateMoves(c.Config, active, now) {
		if pos, ok := c.movePositions[fault.Field]; ok {
			fault.File, fault.Line = pos.file, pos.line
		}
		faults = append(faults, fault)
	}
	if len(faults) == 0 {
		return nil
	}
	faults.sort()
	return faults
}

// ValidateMoves is like ParsedConfig.ValidateMoves, for a configuration without
// positions.
func ValidateMoves(config, active Config, now time.Time) Faults {
	activeMoves := make(map[string]*Move, len(active.Services))
	for _, service := range active.Services {
		activeMoves[service.Name] = service.Move
	}
	var faults Faults
	for _, service := range config.Services {
		move, activeMove := service.Move, activeMoves[service.Name]
		if move == nil || activeMove != nil && activeMove.ToVersion == move.ToVersion && activeMove.FinishBy.Equal(move.FinishBy) {
			continue
		}
		field := "services[" + service.Name + "].move.finishBy"
		switch {
		case !move.FinishBy.After(now):
			faults = append(faults, Fault{Field: field, Detail: move.FinishBy.Format(time.RFC3339) +
				" has passed; give a time to come, or remove the move and set version if it is done"})
		case move.FinishBy.After(now.Add(MaxMoveHorizon)):
			faults = append(faults, Fault{Field: field, Detail: move.FinishBy.Format(time.RFC3339) +
				" is more than a year ahead"})
		}
	}
	return faults
}

// FormatYAML returns both lists as YAML documents that Parse reads as config.
func FormatYAML(config Config) (customers, entitlements []byte, err error) {
	customers, err = yaml.Marshal(struct {
		APIVersion string     `yaml:"apiVersion"`
		Kind       string     `yaml:"kind"`
		Customers  []Customer `yaml:"customers"`
	}{APIVersion, CustomerListKind, config.Customers})
	if err != nil {
		return nil, nil, eris.Wrap(err, "format the customer list")
	}
	entitlements, err = yaml.Marshal(struct {
		APIVersion  string       `yaml:"apiVersion"`
		Kind        string       `yaml:"kind"`
		Plans       []Plan       `yaml:"plans"`
		Departments []Department `yaml:"departments"`
		Services    []Service    `yaml:"services"`
	}{APIVersion, EntitlementListKind, config.Plans, config.Departments, config.Services})
	return customers, entitlements, eris.Wrap(err, "format the entitlement list")
}
