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

// Limits of the lists. The numbers of services, plans and departments keep the
// manifest, about 200 bytes per part, below platform.MaxValueBytes. The number
// of customers bounds the memory of the node that parses the lists: 50,000
// customers and 320 services of 12 routes are 6.9 MB of YAML, for which the heap
// grew to 188 MB; 20,000 customers took 44 MB.
const (
	// MaxListBytes bounds the sum of all files.
	MaxListBytes = 16 << 20
	// maxMarks bounds the bytes that can begin a YAML node, each of which takes
	// about 200 bytes of memory. The largest customer list has about 600,000.
	maxMarks            = 1_500_000
	MaxCustomers        = 50_000
	MaxKeysPerCustomer  = 16
	MaxPlans            = 1000
	MaxServices         = 2000
	MaxDepartments      = 1000
	MaxRoutesPerService = 256
	maxPathPrefixBytes  = 1024
	maxRatePerSecond    = 1_000_000
	maxConcurrency      = 100_000
	maxShare            = 1000
)

// yamlMarks are the bytes that can begin a YAML node.
const yamlMarks = "\n,[{:-?"

// Limits of times.
const (
	minDeadline = time.Millisecond
	maxDeadline = 10 * time.Minute
	minPeriod   = time.Minute
	maxPeriod   = 366 * 24 * time.Hour
	// MaxMoveHorizon is how far ahead a move's finishing time may lie.
	MaxMoveHorizon = 366 * 24 * time.Hour
)

// File is the content of one file of lists.
type File struct {
	Name string
	Data []byte
}

// ParsedConfig is a valid configuration that remembers where its values stand.
type ParsedConfig struct {
	Config Config
	places map[string]place
}

// Parse reads both lists from any number of files and YAML documents. If
// anything is wrong it returns no configuration and all faults as Faults.
func Parse(files ...File) (Config, error) {
	lists, err := ParseWithPositions(files...)
	if err != nil {
		return Config{}, err
	}
	return lists.Config, nil
}

// ParseWithPositions is Parse for callers that also check the moves.
func ParseWithPositions(files ...File) (*ParsedConfig, error) {
	p := parser{collector: newCollector(), kinds: make(map[string]bool)}
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
			if !p.kinds[kind] {
				p.fault(place{}, "no document of kind %s is given; both lists are applied together", kind)
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
	return &ParsedConfig{Config: p.config, places: p.places}, nil
}

// checkSizes refuses files that would take too much memory to parse.
func checkSizes(files []File) error {
	size, marks := 0, 0
	for _, file := range files {
		size += len(file.Data)
		if size > MaxListBytes {
			return Faults{{File: file.Name, Detail: fmt.Sprintf("the files up to this one have %d bytes, the limit is %d", size, MaxListBytes)}}
		}
		for _, mark := range []byte(yamlMarks) {
			marks += bytes.Count(file.Data, []byte{mark})
		}
		if marks > maxMarks {
			return Faults{{File: file.Name, Detail: "the files up to this one hold too many values; are they lists?"}}
		}
	}
	return nil
}

type parser struct {
	*collector
	config Config
	kinds  map[string]bool
}

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._+-]{0,63}$`)
	digestPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	statusPattern  = regexp.MustCompile(`^[1-5](xx|[0-9]{2})$`)
)

// Rules that messages quote.
const (
	nameRule    = "1 to 63 lower-case letters, digits and inner hyphens"
	versionRule = "1 to 64 letters, digits and ._+- that begin with a letter or digit"
	digestRule  = "a SHA-256 digest of 64 lower-case hexadecimal digits"
	statusRule  = `an HTTP status such as "404" or a class such as "2xx"`
)

func (p *parser) document(document value) {
	o := document.object()
	if o == nil {
		return
	}
	if version, ok := o.require("apiVersion"); ok {
		if text, ok := version.text(); ok && text != APIVersion {
			version.fail("%s is not supported, this program reads %q", quoted(text), APIVersion)
			return
		}
	}
	kind, ok := o.require("kind")
	if !ok {
		return
	}
	switch text, _ := kind.text(); text {
	case CustomerListKind:
		p.kinds[text] = true
		p.config.Customers = append(p.config.Customers, each(o, "customers", MaxCustomers, p.customer)...)
	case EntitlementListKind:
		p.kinds[text] = true
		p.config.Plans = append(p.config.Plans, each(o, "plans", MaxPlans, p.plan)...)
		p.config.Services = append(p.config.Services, each(o, "services", MaxServices, p.service)...)
		p.config.Departments = append(p.config.Departments, each(o, "departments", MaxDepartments, p.department)...)
	default:
		kind.fail("%s must be %s or %s", quoted(text), CustomerListKind, EntitlementListKind)
		return
	}
	o.close()
}

// each reads all elements of a required list of mappings.
func each[T any](o *object, name string, limit int, read func(*object) T) []T {
	list, ok := o.require(name)
	if !ok {
		return nil
	}
	var values []T
	for _, item := range list.items(limit) {
		if element := item.object(); element != nil {
			values = append(values, read(element))
			element.close()
		}
	}
	return values
}

// checkCounts applies the limits to the sum of all documents.
func (p *parser) checkCounts() {
	for _, count := range []struct {
		what     string
		got, max int
	}{
		{"customers", len(p.config.Customers), MaxCustomers},
		{"plans", len(p.config.Plans), MaxPlans},
		{"services", len(p.config.Services), MaxServices},
		{"departments", len(p.config.Departments), MaxDepartments},
	} {
		if count.got > count.max {
			p.fault(place{field: count.what}, "the lists hold %d, the limit is %d", count.got, count.max)
		}
	}
}

// ValidateMoves checks the finishing times of moves that inForce does not have as
// they are: they must be after now and at most MaxMoveHorizon after it. A move
// that is in force unchanged may have finished.
func (l *ParsedConfig) ValidateMoves(inForce Config, now time.Time) error {
	var faults Faults
	for _, fault := range ValidateMoves(l.Config, inForce, now) {
		if at, ok := l.places[fault.Field]; ok {
			fault.File, fault.Line = at.file, at.line
		}
		faults = append(faults, fault)
	}
	if len(faults) == 0 {
		return nil
	}
	faults.sort()
	return faults
}

// ValidateMoves is Lists.ValidateMoves for a configuration without positions.
func ValidateMoves(config, inForce Config, now time.Time) Faults {
	current := make(map[string]*Move, len(inForce.Services))
	for _, service := range inForce.Services {
		current[service.Name] = service.Move
	}
	var faults Faults
	for _, service := range config.Services {
		move, old := service.Move, current[service.Name]
		if move == nil || old != nil && old.ToVersion == move.ToVersion && old.FinishBy.Equal(move.FinishBy) {
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
