package dynamic

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Snapshot is one configuration version, indexed for look-ups. It is immutable, and
// every name that an entry refers to is defined in the same snapshot.
type Snapshot struct {
	manifest             Manifest
	config               Config
	customersByKeyDigest map[string]*Customer
	plans                map[string]*planIndex
	services             map[string]*Service
	departments          map[string]*Department
}

// planIndex is a plan with its entitlements by service name.
type planIndex struct {
	plan                  *Plan
	entitlementsByService map[string]*Entitlement
}

// Compile builds a snapshot. It returns an error if an entry refers to an undefined
// name, or if a name or key is defined twice.
func Compile(manifest Manifest, config Config) (*Snapshot, error) {
	s := &Snapshot{
		manifest: manifest, config: config,
		customersByKeyDigest: make(map[string]*Customer, len(config.Customers)),
		plans:                make(map[string]*planIndex, len(config.Plans)),
		services:             make(map[string]*Service, len(config.Services)),
		departments:          make(map[string]*Department, len(config.Departments)),
	}
	for _, index := range []func() error{s.indexDepartments, s.indexServices, s.indexPlans, s.indexCustomers} {
		if err := index(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Snapshot) indexDepartments() error {
	for i := range s.config.Departments {
		department := &s.config.Departments[i]
		if s.departments[department.Name] != nil {
			return eris.Errorf("department %q is defined twice", department.Name)
		}
		s.departments[department.Name] = department
	}
	return nil
}

func (s *Snapshot) indexServices() error {
	for i := range s.config.Services {
		service := &s.config.Services[i]
		if s.services[service.Name] != nil {
			return eris.Errorf("service %q is defined twice", service.Name)
		}
		names := make(map[string]bool, len(service.Routes))
		for _, route := range service.Routes {
			if names[route.Name] {
				return eris.Errorf("route %q of service %q is defined twice", route.Name, service.Name)
			}
			names[route.Name] = true
			if s.departments[route.Department] == nil {
				return eris.Errorf("route %q of service %q names unknown department %q",
					route.Name, service.Name, route.Department)
			}
		}
		s.services[service.Name] = service
	}
	return nil
}

func (s *Snapshot) indexPlans() error {
	for i := range s.config.Plans {
		plan := &s.config.Plans[i]
		if s.plans[plan.Name] != nil {
			return eris.Errorf("plan %q is defined twice", plan.Name)
		}
		index := &planIndex{plan: plan, entitlementsByService: make(map[string]*Entitlement, len(plan.Services))}
		for j := range plan.Services {
			entitlement := &plan.Services[j]
			if err := s.checkEntitlement(plan.Name, entitlement); err != nil {
				return err
			}
			if index.entitlementsByService[entitlement.Service] != nil {
				return eris.Errorf("plan %q names service %q twice", plan.Name, entitlement.Service)
			}
			index.entitlementsByService[entitlement.Service] = entitlement
		}
		s.plans[plan.Name] = index
	}
	return nil
}

func (s *Snapshot) checkEntitlement(plan string, entitlement *Entitlement) error {
	service := s.services[entitlement.Service]
	if service == nil {
		return eris.Errorf("plan %q names unknown service %q", plan, entitlement.Service)
	}
	for _, name := range entitlement.Routes {
		if !slices.ContainsFunc(service.Routes, func(r Route) bool { return r.Name == name }) {
			return eris.Errorf("plan %q names unknown route %q of service %q", plan, name, service.Name)
		}
	}
	return nil
}

func (s *Snapshot) indexCustomers() error {
	names := make(map[string]bool, len(s.config.Customers))
	for i := range s.config.Customers {
		customer := &s.config.Customers[i]
		if names[customer.Name] {
			return eris.Errorf("customer %q is defined twice", customer.Name)
		}
		names[customer.Name] = true
		if s.plans[customer.Plan] == nil {
			return eris.Errorf("customer %q holds unknown plan %q", customer.Name, customer.Plan)
		}
		for _, digest := range customer.KeyDigests {
			if other := s.customersByKeyDigest[digest]; other != nil {
				return eris.Errorf("customers %q and %q have the same key", other.Name, customer.Name)
			}
			s.customersByKeyDigest[digest] = customer
		}
	}
	return nil
}

// Manifest returns the version, digest and parts of s.
func (s *Snapshot) Manifest() Manifest { return s.manifest }

// Version returns the configuration version.
func (s *Snapshot) Version() uint64 { return s.manifest.Version }

// Config returns the entries. Callers must not change them.
func (s *Snapshot) Config() Config { return s.config }

// CustomerByKey returns the customer that key belongs to, or nil.
func (s *Snapshot) CustomerByKey(key string) *Customer {
	return s.customersByKeyDigest[SHA256Hex([]byte(key))]
}

// Plan returns the plan called name, or nil.
func (s *Snapshot) Plan(name string) *Plan {
	if index := s.plans[name]; index != nil {
		return index.plan
	}
	return nil
}

// Service returns the service called name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Department returns the department called name, or nil.
func (s *Snapshot) Department(name string) *Department { return s.departments[name] }

// IsEntitled reports whether the plan allows calls to a route of a service.
func (s *Snapshot) IsEntitled(plan, service, route string) bool {
	index := s.plans[plan]
	if index == nil {
		return false
	}
	entitlement := index.entitlementsByService[service]
	return entitlement != nil && (len(entitlement.Routes) == 0 || slices.Contains(entitlement.Routes, route))
}

// MatchRoute returns the route with the longest prefix of path that accepts
// method, or nil. A prefix matches whole path segments.
func (s *Service) MatchRoute(method, path string) *Route {
	var longest *Route
	for i := range s.Routes {
		route := &s.Routes[i]
		if !slices.Contains(route.Methods, method) || !matchesPrefix(path, route.PathPrefix) {
			continue
		}
		if longest == nil || len(route.PathPrefix) > len(longest.PathPrefix) {
			longest = route
		}
	}
	return longest
}

func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
