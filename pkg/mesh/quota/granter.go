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
	minShareTokens = 1.5
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

// allocation is what a holder may hold of one tenant's limit: the share that it reported
// or the one that was sent to it last, whichever is larger.
type allocation struct {
	share  float64
	demand float64
}

// tenantState is what the granter knows of one tenant. allocated and demand are the sums
// over all holders.
type tenantState struct {
	allocated float64
	demand    float64
	// hadShares is set if shares of the term before may be in use.
	hadShares bool
	bucket    bucket
	// pool gives tokens to newcomers while it is not known what others hold.
	pool bucket
	// reservedUntil is when the tokens that were promised by a wait are there.
	reservedUntil time.Duration
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
	if !g.term.grants(now) || r.Term > g.term.number {
		g.term.wantedUntil = now + wantedTime
		response.Status, response.RetryMs = StatusRetry, retryTime.Milliseconds()
		if g.term.hasObserved && !g.term.isMissing && !g.term.mayTakeOver(now, g.name) {
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
		}
		g.set(now, tenant, a, usage.Share, usage.Demand)
	}
	if delete(g.unreported, r.Holder); len(g.unreported) == 0 {
		g.unreported = nil
	}
	return true
}

// set replaces what a holder may hold of a tenant's limit.
func (g *Granter) set(now time.Duration, tenant string, a *allocation, share, demand float64) {
	t := g.tenant(now, tenant)
	t.allocated += share - a.share
	t.demand += demand - a.demand
	a.share, a.demand = share, demand
	g.advance(now, tenant, t)
}

// tenant returns the state of a tenant with the time since the last call applied.
func (g *Granter) tenant(now time.Duration, name string) *tenantState {
	t := g.tenants[name]
	if t == nil {
		t = &tenantState{bucket: bucket{updated: now}, pool: bucket{updated: now}, hadShares: g.earlier.has(name)}
		g.tenants[name] = t
		if limit, ok := g.limitOf(name); ok && now >= g.spentUntil {
			t.bucket.tokens, t.pool.tokens = limit.depth(), poolPart*limit.headroom()
		}
	}
	g.advance(now, name, t)
	return t
}

// advance fills the buckets of a tenant. The part of the limit that no holder may use is
// the granter's own.
func (g *Granter) advance(now time.Duration, name string, t *tenantState) {
	limit, _ := g.limitOf(name)
	rest := g.rest(t)
	t.bucket.fill(now, rest*limit.Rate, rest*limit.depth())
	gain := 0.0
	if window := limit.Rule.Window.Seconds(); window > 0 {
		gain = poolGainPart * limit.headroom() / window
	}
	t.pool.fill(now, gain, poolPart*limit.headroom())
}

// rest returns the fraction of a limit that no holder may use. While leases of an earlier
// term may be in use, nothing is known to be free.
func (g *Granter) rest(t *tenantState) float64 {
	if g.unreported != nil && t.hadShares {
		return 0
	}
	return min(max(1-t.allocated, 0), 1)
}

// grant decides about one tenant of a holder whose report has been recorded.
func (g *Granter) grant(now time.Duration, holder string, h *holderState, usage Usage, limit Limit) Grant {
	t := g.tenant(now, usage.Tenant)
	a := h.shares[usage.Tenant]
	result := Grant{Tenant: usage.Tenant, Share: g.nextShare(now, holder, usage.Tenant, t, a, limit)}
	if result.Share > a.share {
		t.allocated += result.Share - a.share
		a.share = result.Share
		g.advance(now, usage.Tenant, t)
	}
	want := min(max(usage.Want, 0), 2*maxWaiters)
	fromBucket := min(want, int(t.bucket.tokens))
	fromPool := min(want-fromBucket, int(t.pool.tokens))
	t.bucket.tokens -= float64(fromBucket)
	t.pool.tokens -= float64(fromPool)
	result.Tokens = fromBucket + fromPool
	if missing := want - result.Tokens; missing > 0 {
		result.WaitMs = g.promise(now, t, missing).Milliseconds()
	}
	return result
}

// promise returns when a holder may ask for missing tokens again. Each such holder gets its
// own time, so that the messages do not exceed the tokens by much.
func (g *Granter) promise(now time.Duration, t *tenantState, missing int) time.Duration {
	rate := t.bucket.rate + t.pool.rate
	t.reservedUntil = max(t.reservedUntil, now)
	if rate <= 0 {
		return minPromise
	}
	longest := min(max(time.Duration(len(g.holders))*perAsking, minPromise), renewInterval)
	t.reservedUntil = min(t.reservedUntil+time.Duration(float64(missing)/rate*float64(time.Second)), now+longest)
	return max(t.reservedUntil-now, minSendInterval)
}

// nextShare returns the share that a holder gets. a holds what it has now.
func (g *Granter) nextShare(now time.Duration, holder, tenant string, t *tenantState, a *allocation, limit Limit) float64 {
	if g.unreported != nil && t.hadShares {
		return a.share
	}
	target := 0.0
	if t.demand > 0 && a.demand > 0 {
		target = min((1-reserve)*a.demand/t.demand, shareFactor*a.demand/limit.Rate+minShareTokens/limit.depth())
	}
	if target*limit.depth() < minShareTokens {
		target = 0
	}
	switch since, ok := g.nodeSince[holder]; {
	case target < a.share/2, target < a.share*(1-shareTolerance) && t.allocated > 1-reserve-shareTolerance:
		return target
	case target <= a.share*(1+shareTolerance) || !ok || now-since < newNodeTime:
		return a.share
	}
	free := max(1-reserve-t.allocated, 0)
	next := min(target, a.share+free)
	if next*limit.depth() < minShareTokens || !g.term.declare(tenant) {
		return a.share
	}
	return next
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
		t.allocated, t.demand = 0, 0 // Sums of floating point numbers drift.
	}
	for _, h := range g.holders {
		for tenant, a := range h.shares {
			if t := g.tenants[tenant]; t != nil {
				t.allocated += a.share
				t.demand += a.demand
			}
		}
	}
}

// isIdle reports whether no lease can be in use and no request was admitted for a window.
func (g *Granter) isIdle(now time.Duration) bool {
	return g.unreported == nil && now >= g.lastActivity+LeaseTime+leaseMargin+g.window()+maxTokenLife
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
