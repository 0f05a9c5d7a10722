// Package mesh holds the operator's configuration of a service mesh, the known
// instances and their endpoints, as nodes on the users' platform use them.
package mesh

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/mesh/tenant"
)

// RequestKind says whether a request may be retried and what it returns.
type RequestKind uint8

// The kinds of requests. The zero value is the most restrictive one.
const (
	// Unsafe requests run at most once.
	Unsafe RequestKind = iota
	// Safe requests may run more than once.
	Safe
	// Download requests are Safe requests with a large response.
	Download
	// Upload requests are Unsafe requests with a large body.
	Upload
)

// Idempotent reports whether a request may run more than once.
func (k RequestKind) Idempotent() bool { return k == Safe || k == Download }

// Large reports whether the body of the request or of its response is large.
func (k RequestKind) Large() bool { return k == Download || k == Upload }

// String returns the name of the kind in logs and metrics.
func (k RequestKind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Download:
		return "download"
	case Upload:
		return "upload"
	}
	return "unsafe"
}

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Timeout bounds the time until the response is complete; 0 means no bound.
	Timeout time.Duration
	// TargetLatency sets the soft deadline of a request, counted from its start.
	TargetLatency time.Duration
	// MaxAttempts bounds the number of endpoints that a request is sent to.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// WeightedServices lists at least one service with a weight above 0.
	WeightedServices []WeightedService
	// AllowedRegions lists the regions that may serve the requests; empty means all.
	AllowedRegions []string
	// Public is set if requests need no key.
	Public bool
}

// Tenant is a customer whose requests carry one of its keys.
type Tenant struct {
	Name string
	// Keys are the secrets that identify the tenant. They must not be logged.
	Keys []string
	// Priority ranks the tenant's requests before the priority of their routes; 0 is the
	// most urgent.
	Priority int
	// RatePerSecond and Burst bound the tenant's requests over all nodes; a rate of 0
	// means no bound.
	RatePerSecond float64
	Burst         float64
	// AllowedRegions lists the regions that may serve the tenant; empty means all.
	AllowedRegions []string
}

// Service holds the configured settings of a service.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one endpoint; 0 means no bound.
	MaxConnections int
	// HealthCheckPath is the path of an endpoint's health check; "" if there is none.
	HealthCheckPath string
	// ColdStart is the time after its start for which an endpoint is cold, and
	// ColdPerSecond the requests per second that it withstands meanwhile; 0 means no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Limits bounds the requests and connections of clients.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Tenants lists the tenants; if there are any, requests need a key unless their route
	// is public.
	Tenants []Tenant
}

// Snapshot is a validated, immutable configuration.
type Snapshot struct {
	configuration Configuration
	hosts         map[string][]*Route
	services      map[string]*Service
	keys          *tenant.KeyIndex
	// leastTenantPriority and leastRoutePriority are the priorities of the least urgent
	// tenant and route.
	leastTenantPriority, leastRoutePriority int
	regionScores                            map[string]regionScores
}

// Compile validates a configuration and returns its snapshot. One invalid route
// rejects the whole configuration, so that none is applied in part.
func Compile(c Configuration) (*Snapshot, error) {
	s := &Snapshot{configuration: c, hosts: make(map[string][]*Route), services: make(map[string]*Service, len(c.Services))}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		if err := s.validateRoute(route); err != nil {
			return nil, eris.Wrapf(err, "version %d, route %q", c.Version, route.Name)
		}
		s.hosts[route.Host] = append(s.hosts[route.Host], route)
		s.leastRoutePriority = max(s.leastRoutePriority, route.Priority)
	}
	if err := validateTenants(c.Tenants); err != nil {
		return nil, eris.Wrapf(err, "version %d", c.Version)
	}
	s.indexKeys()
	s.scoreRegions()
	for _, routes := range s.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return s, nil
}

func (s *Snapshot) validateRoute(route *Route) error {
	hasWeight := false
	for _, weighted := range route.WeightedServices {
		if weighted.Weight < 0 {
			return eris.Errorf("weight of service %q is negative", weighted.Service)
		}
		if s.services[weighted.Service] == nil {
			return eris.Errorf("service %q is not defined", weighted.Service)
		}
		hasWeight = hasWeight || weighted.Weight > 0
	}
	if !hasWeight {
		return eris.New("no service has a weight above 0")
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		return eris.Errorf("path prefix %q does not begin with a slash", route.Prefix)
	}
	return nil
}

// validateTenants rejects tenants that cannot be told apart: a key that two of them hold
// would give the requests of one to the other.
func validateTenants(tenants []Tenant) error {
	names, holders := make(map[string]bool, len(tenants)), make(map[string]string)
	for _, t := range tenants {
		switch {
		case t.Name == "":
			return eris.New("a tenant has no name")
		case names[t.Name]:
			return eris.Errorf("tenant %q is defined twice", t.Name)
		case t.RatePerSecond < 0 || t.Burst < 0:
			return eris.Errorf("tenant %q has a negative rate or burst", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.Keys {
			if holder, ok := holders[key]; ok && holder != t.Name {
				return eris.Errorf("tenants %q and %q hold the same key", holder, t.Name)
			}
			holders[key] = t.Name
		}
	}
	return nil
}

// indexKeys moves the keys of the tenants to an index by hash, so that the snapshot holds
// none.
func (s *Snapshot) indexKeys() {
	tenants := slices.Clone(s.configuration.Tenants)
	s.keys = tenant.NewKeyIndex(len(tenants))
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			s.keys.Add(key, i)
		}
		tenants[i].Keys = nil
		s.leastTenantPriority = max(s.leastTenantPriority, tenants[i].Priority)
	}
	s.configuration.Tenants = tenants
}

// TenantOf returns the tenant that holds a key, or nil.
func (s *Snapshot) TenantOf(key string) *Tenant {
	if i, isKnown := s.keys.Holder(key); isKnown {
		return &s.configuration.Tenants[i]
	}
	return nil
}

// MayGoAhead reports whether gates may admit a tenant's requests on a route before others
// that wait. Their wait is then shorter than the number of waiting requests tells.
func (s *Snapshot) MayGoAhead(t *Tenant, route *Route) bool {
	return t != nil && (t.Priority < s.leastTenantPriority || route.Priority < s.leastRoutePriority)
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() uint64 { return s.configuration.Version }

// Limits returns the limits for clients.
func (s *Snapshot) Limits() Limits { return s.configuration.Limits }

// Tenants returns the tenants of the configuration, without their keys. They must not be
// changed.
func (s *Snapshot) Tenants() []Tenant { return s.configuration.Tenants }

// Service returns the service called name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Match returns the route of host with the longest prefix of path, or nil. A port
// in host is ignored.
func (s *Snapshot) Match(host, path string) *Route {
	routes, ok := s.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = s.hosts[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
