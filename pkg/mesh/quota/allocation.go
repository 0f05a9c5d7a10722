package quota

import (
	"math"
	"time"
)

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
	// holders is the number of holders that use the tenant.
	holders int
	// hadShares is set if shares of the term before may be in use.
	hadShares bool
	bucket    bucket
	// pool gives tokens to newcomers while it is not known what others hold.
	pool bucket
	// reservedUntil is when the tokens that were promised by a wait are there.
	reservedUntil time.Duration
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
		wait := min(t.bucket.wait(g.rest(t)*limit.depth()), t.pool.wait(poolPart*limit.headroom()))
		if wait < math.MaxInt64 {
			result.TokenMs = (wait + time.Millisecond - 1).Milliseconds()
		}
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

// isThin reports whether the limit divided by the holders is less than minMeanShareTokens.
// All holders then get single tokens.
func (t *tenantState) isThin(limit Limit) bool {
	return float64(t.holders)*minMeanShareTokens > (1-reserve)*limit.depth()
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
	if t.isThin(limit) {
		target = 0
	}
	least := minShareTokens
	if a.share > 0 {
		least = minKeptTokens
	}
	if target*limit.depth() < least {
		target = 0
	}
	switch since, ok := g.nodeSince[holder]; {
	case !ok && len(g.nodeSince) > 0:
		return 0 // A successor would not ask this node for its share.
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
