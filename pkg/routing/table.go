// Package routing compiles the configuration, the announced targets and the
// traffic splits of moves into an immutable routing table, and chooses an endpoint
// for each call.
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

// statsLifetime is how long the statistics of an endpoint that disappeared are
// retained, so that a flapping endpoint does not return without its failures.
const statsLifetime = time.Minute

// Locality is the location of the local node.
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
	otherRegions
	tierCount
)

func (l Locality) tierOf(e *membership.Endpoint) tier {
	switch {
	case e.Region != l.Region:
		return otherRegions
	case e.FailureDomain != l.FailureDomain:
		return sameRegion
	}
	return sameDomain
}

// Endpoint is one target as a candidate for calls.
type Endpoint struct {
	membership.Endpoint
	*EndpointStats
	// Local is set if the target runs on the same instance as this node.
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
	// callCounter counts the calls that were spread over versions. It outlives tables.
	callCounter *atomic.Uint64
}

// pool holds the candidate endpoints of one target version, nearest tier first.
type pool struct {
	tiers [tierCount][]*Endpoint
}

// Snapshot returns the configuration that the table was built from.
func (t *Table) Snapshot() *dynamic.Snapshot { return t.snapshot }

// Customer returns the customer called name, or nil.
func (t *Table) Customer(name string) *dynamic.Customer { return t.customers[name] }

// Builder builds tables and holds the statistics and counters that outlive them.
type Builder struct {
	now func() time.Time

	mu           sync.Mutex
	stats        map[statsKey]*EndpointStats
	callCounters map[string]*atomic.Uint64
	snapshot     *dynamic.Snapshot
	customers    map[string]*dynamic.Customer
}

type statsKey struct{ instance, target string }

// NewBuilder returns a builder; a nil now is time.Now.
func NewBuilder(now func() time.Time) *Builder {
	if now == nil {
		now = time.Now
	}
	return &Builder{now: now, stats: make(map[statsKey]*EndpointStats), callCounters: make(map[string]*atomic.Uint64)}
}

// Build compiles a table. Services without ready endpoints have no pool, so that
// Choose rejects their calls.
func (b *Builder) Build(
	snapshot *dynamic.Snapshot, endpoints []membership.Endpoint, splits move.TrafficSplits, localNode Locality,
) *Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	config := snapshot.Config()
	t := &Table{
		snapshot: snapshot, customers: b.customersByName(snapshot),
		services: make(map[string]*service, len(config.Services)),
	}
	for i := range config.Services {
		serviceConfig := &config.Services[i]
		s := &service{
			version: serviceConfig.Version, versions: make(map[string]*pool),
			sticky: serviceConfig.Sticky, callCounter: b.callCounterFor(serviceConfig.Name),
		}
		if split, ok := splits[serviceConfig.Name]; ok {
			s.split = &split
		}
		t.services[serviceConfig.Name] = s
	}
	for i := range endpoints {
		b.addEndpoint(t, &endpoints[i], localNode, now)
	}
	for _, s := range t.services {
		for _, p := range s.versions {
			p.limitCandidates(localNode)
		}
	}
	b.pruneStats(now)
	return t
}

func (b *Builder) addEndpoint(t *Table, e *membership.Endpoint, localNode Locality, now time.Time) {
	s := t.services[e.Service]
	stats := b.statsFor(e, now)
	if s == nil || e.State != membership.Ready || e.Slots <= 0 {
		return
	}
	p := s.versions[e.Version]
	if p == nil {
		p = &pool{}
		s.versions[e.Version] = p
	}
	endpointTier := localNode.tierOf(e)
	p.tiers[endpointTier] = append(p.tiers[endpointTier], &Endpoint{
		Endpoint: *e, EndpointStats: stats, Local: e.Instance == localNode.Instance, tier: endpointTier,
	})
}

// limitCandidates retains at most maxCandidates endpoints of each tier: a local
// one, then those that rendezvous hashing with the local instance prefers, so that
// all entry nodes together cover all endpoints.
func (p *pool) limitCandidates(localNode Locality) {
	for i, endpoints := range p.tiers {
		if len(endpoints) <= maxCandidates {
			continue
		}
		hash := func(e *Endpoint) uint64 {
			return xxhash.Sum64String(localNode.Instance + "/" + e.Instance + "/" + e.ID)
		}
		slices.SortFunc(endpoints, func(a, b *Endpoint) int {
			if a.Local != b.Local {
				return cmp.Compare(boolToInt(b.Local), boolToInt(a.Local))
			}
			return cmp.Compare(hash(a), hash(b))
		})
		p.tiers[i] = slices.Clip(endpoints[:maxCandidates])
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// callCounterFor returns the call counter of a service. It starts at a random
// value; otherwise nodes with few calls would all send them to the old version.
func (b *Builder) callCounterFor(service string) *atomic.Uint64 {
	counter := b.callCounters[service]
	if counter == nil {
		counter = &atomic.Uint64{}
		counter.Store(rand.Uint64())
		b.callCounters[service] = counter
	}
	return counter
}

func (b *Builder) statsFor(e *membership.Endpoint, now time.Time) *EndpointStats {
	key := statsKey{instance: e.Instance, target: e.ID}
	stats := b.stats[key]
	if stats == nil {
		stats = &EndpointStats{}
		b.stats[key] = stats
	}
	stats.lastSeen = now
	return stats
}

func (b *Builder) pruneStats(now time.Time) {
	for key, stats := range b.stats {
		if now.Sub(stats.lastSeen) > statsLifetime {
			delete(b.stats, key)
		}
	}
}

// customersByName indexes the customers by name once per snapshot, because
// endpoints change far more often than the configuration.
func (b *Builder) customersByName(snapshot *dynamic.Snapshot) map[string]*dynamic.Customer {
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
