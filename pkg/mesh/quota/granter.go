package quota

import (
	"math"
	"time"
)

const (
	// reserve is the fraction of a limit that is not given away as shares, so that
	// newcomers get tokens at once.
	reserve = 0.1
	// shareFactor bounds a share by the demand of its holder: the rest is better kept for
	// those whose demand rises.
	shareFactor = 2
	// minShareTokens is the depth of the smallest share that is given. A bucket that holds
	// less than a token admits nothing; such holders get single tokens instead.
	// A share is kept while its depth is at least minKeptTokens, because a share that ends
	// loses the tokens in it. A higher minShareTokens refuses less (0.6% at 2.5, 1% at 1.5, of
	// nine tenths of a limit in simulations), but leaves more nodes without a share while a
	// granter is dead.
	minShareTokens = 1.5
	minKeptTokens  = 1.0
	// minMeanShareTokens is the depth of a share, if all holders had the same, below which
	// nobody gets one. Requests that come at random find a shallow bucket empty while others
	// are full: with 100 holders of 1.1 to 1.3 tokens at 0.62 of the limit, up to half of the
	// requests were refused for seconds; with 6.6 tokens, none.
	minMeanShareTokens = 4.0
	// shareTolerance is the relative difference below which a share is not changed. While
	// more than this part of the limit is free, a share is only reduced to less than half.
	shareTolerance = 0.1
	// demandLifetime is how long a demand counts that is not reported again.
	demandLifetime = 3 * time.Second
	// newNodeTime is how long a node gets only tokens: a successor of the granter that does
	// not know it yet would not ask it for its shares. Entries reach all nodes within 3 s.
	newNodeTime = 5 * time.Second
	// A holder is asked to wait for tokens for at most perAsking per holder, but not less
	// than minPromise: a share that is returned meanwhile is to be used soon.
	perAsking  = 2 * time.Millisecond
	minPromise = 200 * time.Millisecond
	// minAllocated is above the drift of sums and far below the smallest share.
	minAllocated = 1e-9
	// sweepInterval is the time between two looks for leases that have ended.
	sweepInterval = 500 * time.Millisecond
	// holdersPerSecond bounds the renewals of one slot: with more holders, each renews less
	// often, at the least maxRenewInterval.
	holdersPerSecond = 100
	maxRenewInterval = 4 * time.Second
)

// Granter grants the shares of the tenants of one slot while it has the term. It is not
// safe for concurrent use.
//
// Invariant: the shares that holders may use, and the part that the granter's own bucket
// fills with, sum to at most 1 for each tenant.
type Granter struct {
	slot        int
	name        string
	incarnation uint64
	limits      map[string]Limit
	phase       time.Duration
	nodeSince   map[string]time.Duration
	order       []string

	term    term
	holders map[string]*holderState
	tenants map[string]*tenantState
	// unreported holds the nodes that have not said what they hold since this node took
	// over; nil once the leases of the term before cannot be in use any more.
	unreported map[string]bool
	// unreportedUntil is when such leases have ended at the latest, and spentUntil when no
	// window contains a request that was admitted with them.
	unreportedUntil time.Duration
	spentUntil      time.Duration
	// earlier says which tenants may have had shares in the term before.
	earlier      sharing
	lastActivity time.Duration
	sweptAt      time.Duration
}

// holderState is what the granter knows of one holder.
type holderState struct {
	incarnation uint64
	sequence    uint64
	// validUntil is when all leases of the holder have ended.
	validUntil time.Duration
	heardAt    time.Duration
	shares     map[string]*allocation
}

// NewGranter returns the granter of a slot at a node. incarnation is that of the node's
// holder.
func NewGranter(slot int, name string, incarnation uint64) *Granter {
	return &Granter{slot: slot, name: name, incarnation: incarnation, nodeSince: make(map[string]time.Duration)}
}

// SetLimits replaces the limits by tenant.
func (g *Granter) SetLimits(limits map[string]Limit) { g.limits = limits }

// SetNodes replaces the list of live nodes.
func (g *Granter) SetNodes(now time.Duration, nodes []string) {
	since := make(map[string]time.Duration, len(nodes))
	for _, node := range nodes {
		if at, ok := g.nodeSince[node]; ok {
			since[node] = at
		} else {
			since[node] = now
		}
	}
	g.nodeSince = since
	g.order = nodes
}

// isLoaded reports whether the limits and the nodes are known. Before that, the node would
// not know whose shares may be in use, and must not become granter.
func (g *Granter) isLoaded() bool { return g.limits != nil && len(g.order) > 0 }

// begin starts a term. isFresh is set if no lease of an earlier term is in use and no
// request was admitted for a window; earlier says which tenants had shares.
func (g *Granter) begin(now time.Duration, isFresh bool, earlier sharing) {
	g.holders, g.tenants = make(map[string]*holderState), make(map[string]*tenantState)
	g.unreported, g.unreportedUntil, g.spentUntil, g.earlier = nil, 0, 0, earlier
	if !isFresh {
		g.unreportedUntil = now + LeaseTime + leaseMargin
		g.spentUntil = g.unreportedUntil + g.window() + maxTokenLife
		g.unreported = make(map[string]bool, len(g.order))
		for _, node := range g.order {
			g.unreported[node] = true
		}
	}
	g.lastActivity, g.sweptAt = now, now
}

// Unreported returns the nodes that are to be told of the new term, so that they report
// what they hold.
func (g *Granter) Unreported() []string {
	nodes := make([]string, 0, len(g.unreported))
	for node := range g.unreported {
		nodes = append(nodes, node)
	}
	return nodes
}

// Receive handles the request of a holder.
func (g *Granter) Receive(now time.Duration, r Request) Response {
	response := Response{Slot: g.slot, Sequence: r.Sequence}
	g.term.highest = max(g.term.highest, r.Term)
	if g.term.isReleasing {
		response.Status = StatusStopping
		return response
	}
	if g.term.number > 0 && r.Term > g.term.number && !g.term.isCalling {
		g.lose() // Another node has been granter since, and the store is back from an old copy.
	}
	if !g.term.grants(now) || r.Term > g.term.number {
		response.Status, response.RetryMs = StatusRetry, retryTime.Milliseconds()
		if !g.isLoaded() {
			return response
		}
		g.term.wantedUntil = now + wantedTime
		if g.term.hasObserved && !g.term.mayTakeOver(now, g.name) {
			response.RetryMs = waitRetryTime.Milliseconds()
		}
		if granter := g.term.otherGranter(g.name); granter != "" {
			response.Status, response.Granter = StatusRedirect, granter
		}
		return response
	}
	if r.Term < g.term.number {
		// The request may have been late: what the holder got since from another granter is
		// not known. It reports again, and accepts nothing of earlier terms then.
		response.Status, response.Term, response.Granter = StatusGranted, g.term.number, g.name
		return response
	}
	if !g.record(now, r) {
		response.Status, response.RetryMs = StatusIgnored, waitRetryTime.Milliseconds()
		return response
	}
	h := g.holders[r.Holder]
	response.Status, response.Term, response.Granter = StatusGranted, g.term.number, g.name
	response.RetryMs = g.renewTime().Milliseconds()
	for _, usage := range r.Tenants {
		if limit, ok := g.limitOf(usage.Tenant); ok {
			response.Grants = append(response.Grants, g.grant(now, r.Holder, h, usage, limit))
		}
	}
	return response
}

// Report handles what a holder responds to an announcement. It grants nothing.
func (g *Granter) Report(now time.Duration, r Request) {
	if g.term.grants(now) && r.Term == g.term.number {
		g.record(now, r)
	}
}

func (g *Granter) limitOf(tenant string) (Limit, bool) {
	limit, ok := g.limits[tenant]
	return limit, ok && limit.Rate > 0 && SlotOf(tenant) == g.slot
}

// renewTime returns how long holders wait between two renewals.
func (g *Granter) renewTime() time.Duration {
	perHolder := time.Second / holdersPerSecond
	return min(max(renewInterval, time.Duration(len(g.holders))*perHolder), maxRenewInterval)
}

// record records what a holder reports. It returns false for a request that is older than
// another one.
func (g *Granter) record(now time.Duration, r Request) bool {
	g.sweep(now)
	h := g.holders[r.Holder]
	if h == nil {
		h = &holderState{incarnation: r.Incarnation, shares: make(map[string]*allocation)}
		g.holders[r.Holder] = h
	}
	if r.Incarnation < h.incarnation || r.Incarnation == h.incarnation && r.Sequence <= h.sequence {
		return false
	}
	// The leases of an earlier process are free.
	h.incarnation, h.sequence, h.heardAt = r.Incarnation, r.Sequence, now
	h.validUntil = now + LeaseTime + leaseMargin
	g.lastActivity = now
	reported := make(map[string]Usage, len(r.Tenants))
	for _, usage := range r.Tenants {
		if !(usage.Share >= 0 && usage.Share <= 1) || !(usage.Demand >= 0 && usage.Demand < math.MaxFloat32) {
			usage.Share, usage.Demand = 1, 0
		}
		reported[usage.Tenant] = usage
	}
	for tenant, a := range h.shares {
		if _, ok := reported[tenant]; !ok {
			g.set(now, tenant, a, 0, 0)
			delete(h.shares, tenant)
			g.tenant(now, tenant).holders--
		}
	}
	for tenant, usage := range reported {
		if SlotOf(tenant) != g.slot {
			continue
		}
		a := h.shares[tenant]
		if a == nil {
			a = &allocation{}
			h.shares[tenant] = a
			g.tenant(now, tenant).holders++
		}
		g.set(now, tenant, a, usage.Share, usage.Demand)
	}
	if delete(g.unreported, r.Holder); len(g.unreported) == 0 {
		g.unreported = nil
	}
	return true
}

// sweep frees the leases that have ended and forgets old demand.
func (g *Granter) sweep(now time.Duration) {
	if g.unreported != nil && now >= g.unreportedUntil {
		g.unreported = nil
	}
	if now < g.sweptAt+sweepInterval {
		return
	}
	g.sweptAt = now
	for name, h := range g.holders {
		isEnded := now >= h.validUntil
		if !isEnded && now < h.heardAt+demandLifetime+g.renewTime() {
			continue
		}
		for tenant, a := range h.shares {
			switch {
			case isEnded:
				g.set(now, tenant, a, 0, 0)
			case a.demand > 0:
				g.set(now, tenant, a, a.share, 0)
			}
		}
		if isEnded {
			delete(g.holders, name)
		}
	}
	for _, t := range g.tenants {
		t.allocated, t.demand, t.holders = 0, 0, 0 // Sums of floating point numbers drift.
	}
	for _, h := range g.holders {
		for tenant, a := range h.shares {
			if t := g.tenants[tenant]; t != nil {
				t.allocated += a.share
				t.demand += a.demand
				t.holders++
			}
		}
	}
}

// isIdle reports whether no lease can be in use and no request was admitted for a window.
func (g *Granter) isIdle(now time.Duration) bool {
	return g.unreported == nil && now >= g.lastActivity+g.idleTime()
}

// idleTime is the time from the last message on after which no lease can be in use and no request
// was admitted for a window.
func (g *Granter) idleTime() time.Duration {
	return LeaseTime + leaseMargin + g.window() + maxTokenLife
}

// window returns the longest window of the limits.
func (g *Granter) window() time.Duration {
	window := time.Duration(0)
	for _, limit := range g.limits {
		window = max(window, limit.Rule.Window)
	}
	return window
}

// sharing returns the tenants of which holders may have shares.
func (g *Granter) sharing() sharing {
	s := sharing{}
	for name, t := range g.tenants {
		if t.allocated > minAllocated || g.unreported != nil && t.hadShares {
			s.Tenants = append(s.Tenants, hashOf(name))
		}
	}
	if g.unreported != nil {
		s.All = g.earlier.All
		s.Tenants = append(s.Tenants, g.earlier.Tenants...)
	}
	return s
}
