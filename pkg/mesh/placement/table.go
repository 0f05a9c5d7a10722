package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
)

// statsLifetime is how long the observations of a removed endpoint are kept.
const statsLifetime = time.Minute

// maxCandidates bounds the endpoints per version and distance that a node sends
// requests to, and with them its connections.
const maxCandidates = 16

// Distance orders endpoints by the cost of reaching them.
type Distance uint8

// The distances.
const (
	SameInstance Distance = iota
	SameFailureDomain
	SameRegion
	OtherRegion
)

// Locality is the location of the local node.
type Locality struct {
	Instance      string
	FailureDomain string
	Region        string
}

func (l Locality) distance(i *mesh.Instance) Distance {
	switch {
	case i.Name == l.Instance:
		return SameInstance
	case i.FailureDomain == l.FailureDomain:
		return SameFailureDomain
	case i.Region == l.Region:
		return SameRegion
	}
	return OtherRegion
}

// Endpoint is a candidate for requests.
type Endpoint struct {
	mesh.Endpoint
	*Stats
	Instance      string
	FailureDomain string
	Region        string
	NodeAddress   string
	Distance      Distance
	// warmUntil is the end of the slow start on this node's clock.
	warmUntil time.Time
}

// Table is an immutable view of all endpoints by service and version.
type Table struct {
	services map[string]map[string][]*Endpoint
	// regional is like services, but has candidates in each of the other regions, for
	// requests that may run only in some.
	regional  map[string]map[string][]*Endpoint
	instances []string
	// addresses holds the addresses of the nodes that have endpoints.
	addresses map[string]bool
	// ranks orders the endpoints of each service and version identically on all nodes.
	ranks map[versionKey][]*Endpoint
	// regions holds the regions with endpoints of each service and version.
	regions map[versionKey][]string
}

type versionKey struct{ service, version string }

// RankedInstances returns the instances with endpoints of a version in an order that
// is the same on all nodes.
func (t *Table) RankedInstances(service, version string) []string {
	ranked := t.ranks[versionKey{service, version}]
	names := make([]string, len(ranked))
	for i, e := range ranked {
		names[i] = e.Instance
	}
	return names
}

// EndpointsByVersion returns the candidate endpoints of each version of a service. The
// result must not be changed.
func (t *Table) EndpointsByVersion(service string) map[string][]*Endpoint { return t.services[service] }

// InstanceEndpoints returns the endpoints of a service on one instance, also of one that is
// not among the candidates.
func (t *Table) InstanceEndpoints(service, instance string) []*Endpoint {
	var endpoints []*Endpoint
	for key, ranked := range t.ranks {
		if key.service == service {
			endpoints = append(endpoints, lo.Filter(ranked, func(e *Endpoint, _ int) bool { return e.Instance == instance })...)
		}
	}
	return endpoints
}

// Instances returns the sorted names of the instances with endpoints.
func (t *Table) Instances() []string { return t.instances }

// Services returns the names of the services with endpoints, in no particular order.
func (t *Table) Services() []string { return lo.Keys(t.services) }

// HasAddress reports whether the node at address has an endpoint.
func (t *Table) HasAddress(address string) bool { return t.addresses[address] }

// Builder builds tables and keeps the Stats across them.
type Builder struct {
	self Locality

	mu          sync.Mutex
	stats       map[statsKey]*Stats
	warmUntil   map[statsKey]time.Time
	evacuations *evacuation.Set
}

type statsKey struct{ instance, endpoint string }

// NewBuilder returns a builder for the node at self.
func NewBuilder(self Locality) *Builder {
	return &Builder{
		self: self, stats: make(map[statsKey]*Stats), warmUntil: make(map[statsKey]time.Time), evacuations: evacuation.None,
	}
}

// SetEvacuations sets the evacuations of the tables to be built. Evacuated endpoints are
// in the tables, but take the place of no other candidate.
func (b *Builder) SetEvacuations(evacuations *evacuation.Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuations = evacuations
}

// Build returns the table of the given instances.
func (b *Builder) Build(now time.Time, instances []mesh.Instance) *Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	table := &Table{
		services: make(map[string]map[string][]*Endpoint), regional: make(map[string]map[string][]*Endpoint), ranks: make(map[versionKey][]*Endpoint), addresses: make(map[string]bool),
		regions: make(map[versionKey][]string),
	}
	for i := range instances {
		instance := &instances[i]
		if len(instance.Endpoints) > 0 {
			table.instances = append(table.instances, instance.Name)
			table.addresses[instance.Address] = true
		}
		for _, e := range instance.Endpoints {
			versions := table.services[e.Service]
			if versions == nil {
				versions = make(map[string][]*Endpoint)
				table.services[e.Service] = versions
			}
			versions[e.Version] = append(versions[e.Version], b.endpoint(now, instance, e))
		}
	}
	slices.Sort(table.instances)
	for service, versions := range table.services {
		table.regional[service] = make(map[string][]*Endpoint, len(versions))
		for version, endpoints := range versions {
			key := versionKey{service, version}
			table.ranks[key] = rankEndpoints(endpoints)
			for _, e := range endpoints {
				if !slices.Contains(table.regions[key], e.Region) {
					table.regions[key] = append(table.regions[key], e.Region)
				}
			}
			versions[version], table.regional[service][version] = b.limitCandidates(endpoints)
		}
	}
	b.prune(now)
	return table
}

func (b *Builder) endpoint(now time.Time, instance *mesh.Instance, e mesh.Endpoint) *Endpoint {
	key := statsKey{instance.Name, e.ID}
	stats := b.stats[key]
	if stats == nil {
		stats = &Stats{}
		b.stats[key] = stats
		b.warmUntil[key] = now.Add(time.Duration(e.WarmupMs) * time.Millisecond)
	}
	stats.mu.Lock()
	stats.lastSeen = now
	stats.mu.Unlock()
	return &Endpoint{
		Endpoint: e, Stats: stats, Instance: instance.Name, FailureDomain: instance.FailureDomain, Region: instance.Region,
		NodeAddress: instance.Address, Distance: b.self.distance(instance), warmUntil: b.warmUntil[key],
	}
}

func rankEndpoints(endpoints []*Endpoint) []*Endpoint {
	list := slices.Clone(endpoints)
	hash := func(e *Endpoint) uint64 { return xxhash.Sum64String(e.Version + "/" + e.Instance) }
	slices.SortFunc(list, func(a, c *Endpoint) int {
		return cmp.Or(cmp.Compare(hash(a), hash(c)), cmp.Compare(a.ID, c.ID))
	})
	return list
}

// limitCandidates keeps at most maxCandidates endpoints of each distance: those that
// rendezvous hashing with the local instance prefers, so that all nodes together
// reach all endpoints. regional has as many of each other region. Evacuated endpoints are
// counted apart.
func (b *Builder) limitCandidates(endpoints []*Endpoint) (selected, regional []*Endpoint) {
	hash := func(e *Endpoint) uint64 {
		return xxhash.Sum64String(b.self.Instance + "/" + e.Instance + "/" + e.ID)
	}
	slices.SortFunc(endpoints, func(a, c *Endpoint) int {
		return cmp.Or(cmp.Compare(a.Distance, c.Distance), cmp.Compare(hash(a), hash(c)), cmp.Compare(a.ID, c.ID))
	})
	type group struct {
		distance    Distance
		region      string
		isEvacuated bool
	}
	counts := make(map[group]int)
	for _, e := range endpoints {
		isEvacuated := !b.evacuations.Admits(e.FailureDomain)
		byDistance := group{distance: e.Distance, isEvacuated: isEvacuated}
		byRegion := group{distance: e.Distance, region: e.Region, isEvacuated: isEvacuated}
		counts[byDistance]++
		if counts[byDistance] <= maxCandidates {
			selected = append(selected, e)
		}
		if byRegion != byDistance {
			counts[byRegion]++
		}
		if counts[byRegion] <= maxCandidates {
			regional = append(regional, e)
		}
	}
	return selected, regional
}

func (b *Builder) prune(now time.Time) {
	for key, stats := range b.stats {
		stats.mu.Lock()
		expired := now.Sub(stats.lastSeen) > statsLifetime
		stats.mu.Unlock()
		if expired {
			delete(b.stats, key)
			delete(b.warmUntil, key)
		}
	}
}
