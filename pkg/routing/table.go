// Package routing compiles the configuration, the announced targets and the
// shares of moves into an immutable table, and chooses a target for each call.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
)

// maxCandidates bounds the endpoints per tier that one node sends calls to, and
// with them its connections.
const maxCandidates = 16

// statsLifetime is how long observations of an endpoint that left are kept, so
// that one that flaps does not come back with a clean record.
const statsLifetime = time.Minute

// Locality says where the local node is.
type Locality struct {
	Instance      string
	Region        string
	FailureDomain string
}

// tier orders endpoints by distance.
type tier int

const (
	sameDomain tier = iota
	sameRegion
	elsewhere
	tiers
)

func (l Locality) tierOf(e *membership.Endpoint) tier {
	switch {
	case e.Region != l.Region:
		return elsewhere
	case e.FailureDomain != l.FailureDomain:
		return sameRegion
	}
	return sameDomain
}

// Endpoint is one target as a candidate for calls.
type Endpoint struct {
	membership.Endpoint
	*EndpointStats
	// Local is set if the target is beside this node.
	Local bool
	tier  tier
}

// Table is an immutable routing table.
type Table struct {
	snapshot  *dynamic.Snapshot
	customers map[string]*dynamic.Customer
	services  map[string]*service
}

// service holds the ready endpoints of one service.
type service struct {
	version  string
	split    *move.TrafficSplit
	versions map[string]*pool
	// sticky keeps the calls of a customer on one version.
	sticky bool
	// calls counts the calls that were spread over versions. It outlives tables.
	calls *atomic.Uint64
}

// pool holds the candidates of one version, nearest tier first.
type pool struct {
	tiers [tiers][]*Endpoint
}

// Snapshot returns the configuration that the table was built from.
func (t *Table) Snapshot() *dynamic.Snapshot { return t.snapshot }

// Customer returns the customer called name, or nil.
func (t *Table) Customer(name string) *dynamic.Customer { return t.customers[name] }

// Builder builds tables and keeps the observations that outlive them.
type Builder struct {
	now func() time.Time

	mu        sync.Mutex
	stats     map[statsKey]*EndpointStats
	calls     map[string]*atomic.Uint64
	snapshot  *dynamic.Snapshot
	customers map[string]*dynamic.Customer
}

type statsKey struct{ instance, target string }

// NewBuilder returns a builder; a nil now is time.Now.
func NewBuilder(now func() time.Time) *Builder {
	if now == nil {
		now = time.Now
	}
	return &Builder{now: now, stats: make(map[statsKey]*EndpointStats), calls: make(map[string]*atomic.Uint64)}
}

// Build compiles a table. Services without ready endpoints have no pool, so
// that Choose refuses their calls.
func (b *Builder) Build(
	snapshot *dynamic.Snapshot, endpoints []membership.Endpoint, shares move.TrafficSplits, self Locality,
) *Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	config := snapshot.Config()
	t := &Table{
		snapshot: snapshot, customers: b.customersOf(snapshot),
		services: make(map[string]*service, len(config.Services)),
	}
	for i := range config.Services {
		entry := &config.Services[i]
		s := &service{
			version: entry.Version, versions: make(map[string]*pool),
			sticky: entry.Sticky, calls: b.callsOf(entry.Name),
		}
		if split, ok := shares[entry.Name]; ok {
			s.split = &split
		}
		t.services[entry.Name] = s
	}
	for i := range endpoints {
		b.add(t, &endpoints[i], self, now)
	}
	for _, s := range t.services {
		for _, p := range s.versions {
			p.bound(self)
		}
	}
	b.prune(now)
	return t
}

func (b *Builder) add(t *Table, e *membership.Endpoint, self Locality, now time.Time) {
	s := t.services[e.Service]
	stats := b.statsOf(e, now)
	if s == nil || e.State != membership.Ready || e.Slots <= 0 {
		return
	}
	p := s.versions[e.Version]
	if p == nil {
		p = &pool{}
		s.versions[e.Version] = p
	}
	at := self.tierOf(e)
	p.tiers[at] = append(p.tiers[at], &Endpoint{
		Endpoint: *e, EndpointStats: stats, Local: e.Instance == self.Instance, tier: at,
	})
}

// bound keeps the candidates of each tier that rendezvous hashing with the
// local instance prefers, so that all entry nodes together cover all endpoints.
func (p *pool) bound(self Locality) {
	for i, endpoints := range p.tiers {
		if len(endpoints) <= maxCandidates {
			continue
		}
		weight := func(e *Endpoint) uint64 {
			return xxhash.Sum64String(self.Instance + "/" + e.Instance + "/" + e.ID)
		}
		slices.SortFunc(endpoints, func(a, b *Endpoint) int {
			if a.Local != b.Local {
				return cmp.Compare(btoi(b.Local), btoi(a.Local))
			}
			return cmp.Compare(weight(a), weight(b))
		})
		p.tiers[i] = slices.Clip(endpoints[:maxCandidates])
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// callsOf returns the counter of a service. It starts anywhere, so that nodes
// with few calls do not all keep them from the new version.
func (b *Builder) callsOf(service string) *atomic.Uint64 {
	counter := b.calls[service]
	if counter == nil {
		counter = &atomic.Uint64{}
		counter.Store(rand.Uint64())
		b.calls[service] = counter
	}
	return counter
}

func (b *Builder) statsOf(e *membership.Endpoint, now time.Time) *EndpointStats {
	key := statsKey{instance: e.Instance, target: e.ID}
	stats := b.stats[key]
	if stats == nil {
		stats = &EndpointStats{}
		b.stats[key] = stats
	}
	stats.lastSeen = now
	return stats
}

func (b *Builder) prune(now time.Time) {
	for key, stats := range b.stats {
		if now.Sub(stats.lastSeen) > statsLifetime {
			delete(b.stats, key)
		}
	}
}

// customersOf indexes customers by name once per snapshot, because endpoints
// change far more often than the configuration.
func (b *Builder) customersOf(snapshot *dynamic.Snapshot) map[string]*dynamic.Customer {
	if b.snapshot == snapshot {
		return b.customers
	}
	config := snapshot.Config()
	customers := make(map[string]*dynamic.Customer, len(config.Customers))
	for i := range config.Customers {
		customers[config.Customers[i].Name] = &config.Customers[i]
	}
	b.snapshot, b.customers = snapshot, customers
	return customers
}
