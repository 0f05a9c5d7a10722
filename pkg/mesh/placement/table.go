package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// statsLifetime is how long observations of an endpoint that left are kept.
const statsLifetime = time.Minute

// maxCandidates bounds the endpoints of one version and distance that a node
// sends requests to, and with them its connections.
const maxCandidates = 16

// Distance orders endpoints by what it costs to reach them.
type Distance uint8

// The distances.
const (
	SameInstance Distance = iota
	SameFailureDomain
	SameRegion
	OtherRegion
)

// Locality says where the local node is.
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
	Instance    string
	NodeAddress string
	Distance    Distance
	// warmUntil is the end of the slow start as this node learned of it.
	warmUntil time.Time
}

// Table is an immutable view of all endpoints, by service and version.
type Table struct {
	services  map[string]map[string][]*Endpoint
	instances []string
	// addresses are those of the nodes beside the endpoints.
	addresses map[string]bool
	// ranks orders the endpoints of each service and version alike on all nodes.
	ranks map[versionKey][]*Endpoint
}

type versionKey struct{ service, version string }

// RankedInstances returns the instances beside endpoints of a version in an order that is
// the same on all nodes.
func (b *Table) RankedInstances(service, version string) []string {
	ranked := b.ranks[versionKey{service, version}]
	names := make([]string, len(ranked))
	for i, e := range ranked {
		names[i] = e.Instance
	}
	return names
}

// CanaryEndpoint returns the endpoint that takes the canary requests of a version: one
// for all nodes, so that the node beside it sees all of them. It is nil if none
// can be reached.
func (b *Table) CanaryEndpoint(service, version string, now time.Time) *Endpoint {
	for _, e := range b.ranks[versionKey{service, version}] {
		if !e.view(now, "").ejected {
			return e
		}
	}
	return nil
}

// EndpointsByVersion returns the versions of a service with the number of their
// endpoints. The result must not be changed.
func (b *Table) EndpointsByVersion(service string) map[string][]*Endpoint { return b.services[service] }

// Instances returns the names of the instances with endpoints, in order.
func (b *Table) Instances() []string { return b.instances }

// HasAddress reports whether the node at address has an endpoint.
func (b *Table) HasAddress(address string) bool { return b.addresses[address] }

// Builder builds tables and keeps the observations that outlive them.
type Builder struct {
	self Locality

	mu    sync.Mutex
	stats map[statsKey]*Stats
	warm  map[statsKey]time.Time
}

type statsKey struct{ instance, endpoint string }

// NewBuilder returns a builder for the node at self.
func NewBuilder(self Locality) *Builder {
	return &Builder{self: self, stats: make(map[statsKey]*Stats), warm: make(map[statsKey]time.Time)}
}

// Build returns the table of the given instances.
func (b *Builder) Build(now time.Time, instances []mesh.Instance) *Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	table := &Table{
		services: make(map[string]map[string][]*Endpoint), ranks: make(map[versionKey][]*Endpoint), addresses: make(map[string]bool),
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
		for version, endpoints := range versions {
			table.ranks[versionKey{service, version}] = ranked(endpoints)
			versions[version] = b.bound(endpoints)
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
		b.warm[key] = now.Add(time.Duration(e.WarmupMs) * time.Millisecond)
	}
	stats.mu.Lock()
	stats.lastSeen = now
	stats.mu.Unlock()
	return &Endpoint{
		Endpoint: e, Stats: stats, Instance: instance.Name, NodeAddress: instance.Address,
		Distance: b.self.distance(instance), warmUntil: b.warm[key],
	}
}

func ranked(endpoints []*Endpoint) []*Endpoint {
	list := slices.Clone(endpoints)
	weight := func(e *Endpoint) uint64 { return xxhash.Sum64String(e.Version + "/" + e.Instance) }
	slices.SortFunc(list, func(a, c *Endpoint) int {
		return cmp.Or(cmp.Compare(weight(a), weight(c)), cmp.Compare(a.ID, c.ID))
	})
	return list
}

// bound keeps at most maxCandidates endpoints of each distance: those that
// rendezvous hashing with the local instance prefers, so that all nodes
// together reach all endpoints.
func (b *Builder) bound(endpoints []*Endpoint) []*Endpoint {
	weight := func(e *Endpoint) uint64 {
		return xxhash.Sum64String(b.self.Instance + "/" + e.Instance + "/" + e.ID)
	}
	slices.SortFunc(endpoints, func(a, c *Endpoint) int {
		return cmp.Or(cmp.Compare(a.Distance, c.Distance), cmp.Compare(weight(a), weight(c)), cmp.Compare(a.ID, c.ID))
	})
	kept := endpoints[:0]
	var counts [OtherRegion + 1]int
	for _, e := range endpoints {
		if counts[e.Distance]++; counts[e.Distance] <= maxCandidates {
			kept = append(kept, e)
		}
	}
	return kept
}

func (b *Builder) prune(now time.Time) {
	for key, stats := range b.stats {
		stats.mu.Lock()
		old := now.Sub(stats.lastSeen) > statsLifetime
		stats.mu.Unlock()
		if old {
			delete(b.stats, key)
			delete(b.warm, key)
		}
	}
}
