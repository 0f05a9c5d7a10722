package quota

import (
	"math"
	"time"
)

// Times of the exchange with granters.
const (
	renewInterval = time.Second
	// minSendInterval bounds the requests for one slot while callers wait for a grant.
	minSendInterval = 50 * time.Millisecond
	// exchangeTimeout is how long a holder waits for a response. The longest round trip
	// between regions takes about 20 ms.
	exchangeTimeout = 300 * time.Millisecond
	// maxRetryTime is how long a node is asked that is taking over. It is longer than
	// TakeOverTime with the calls of the store.
	maxRetryTime = 6 * time.Second
	// granterFailureTime is how long a granter that did not respond is not asked again,
	// although another node still names it.
	granterFailureTime = 2 * time.Second
	// demandTime is the time constant of the demand: after two seconds, a load that has
	// moved away counts for less than a fiftieth.
	demandTime = 500 * time.Millisecond
	// slowDemandTime is that of the demand of holders with few requests, up to slowDemandPart
	// of the limit: theirs would else change with each request, and their shares with it.
	slowDemandTime = 3 * time.Second
	slowDemandPart = 0.02
	// shrinkInterval is the time between two requests by which a holder returns a share
	// early, and minShrink the smallest share for which it does.
	shrinkInterval = 200 * time.Millisecond
	minShrink      = 0.1
	// minDemand and minSlowDemand are the demands per second below which a share is returned:
	// about 2 s after a single request.
	minDemand     = 0.05
	minSlowDemand = 0.3
	// defaultRetryAfter is what a refused caller is told if no granter can be reached.
	defaultRetryAfter = time.Second
	// maxWaiters bounds the requests of a tenant that wait for a grant.
	maxWaiters = 256
)

// Outcome is the decision about one request.
type Outcome struct {
	Admitted bool
	// Wait is set if a grant may come soon; TakeWaiting then decides.
	Wait bool
	// RetryAfter is the time after which a refused request may be admitted.
	RetryAfter time.Duration
	// Permit gives an admission back with Return.
	Permit Permit
}

// Holder decides which requests one node admits. It is not safe for concurrent use.
type Holder struct {
	name        string
	incarnation uint64
	limits      map[string]Limit
	shares      map[string]*share
	slots       [Slots]holderSlot
	generations uint64
	isStopped   bool
}

// NewHolder returns the holder of a node. incarnation is the start of its process; a later
// process under the same name has a higher one.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{name: name, incarnation: incarnation, shares: make(map[string]*share)}
}

// SetLimits replaces the limits by tenant. It takes effect at once.
func (h *Holder) SetLimits(limits map[string]Limit) { h.limits = limits }

// SetNodes replaces the list of live nodes.
func (h *Holder) SetNodes(nodes []Node) {
	for slot := range h.slots {
		s := &h.slots[slot]
		if len(s.order) == 0 {
			s.notBefore = 0 // There was no node to ask.
		}
		s.order = Order(slot, nodes)
		if s.position >= len(s.order) {
			s.position = 0
		}
	}
}

// Take decides about a new request of a tenant.
func (h *Holder) Take(now, maxWait time.Duration, tenant string) Outcome {
	limit, ok := h.limits[tenant]
	if !ok {
		return Outcome{Admitted: true}
	}
	s := h.shares[tenant]
	if s == nil {
		s = &share{bucket: bucket{updated: now}, demandUpdatedAt: now, generations: &h.generations}
		h.shares[tenant] = s
	}
	s.advance(now, limit)
	s.demand += 1 / demandTime.Seconds()
	s.slowDemand = min(s.slowDemand+1/slowDemandTime.Seconds(), max(slowDemandPart*limit.Rate, 1/slowDemandTime.Seconds()))
	if s.waiters == 0 {
		if permit, ok := s.take(tenant); ok {
			return Outcome{Admitted: true, Permit: permit}
		}
	}
	retryAfter := h.retryAfter(now, s, limit)
	if h.isStopped || s.waiters >= maxWaiters || maxWait <= 0 || s.dryUntil >= now+maxWait {
		return Outcome{RetryAfter: retryAfter}
	}
	s.waiters++
	return Outcome{Wait: true, RetryAfter: retryAfter}
}

// TakeWaiting decides about a request for which Take has returned Wait. The request still
// waits if it is not admitted.
func (h *Holder) TakeWaiting(now time.Duration, tenant string) Outcome {
	s, limit, ok := h.share(tenant)
	if !ok {
		h.StopWaiting(tenant) // The tenant no longer has a limit.
		return Outcome{Admitted: true}
	}
	s.advance(now, limit)
	if permit, ok := s.take(tenant); ok {
		s.waiters = max(s.waiters-1, 0)
		return Outcome{Admitted: true, Permit: permit}
	}
	return Outcome{Wait: true, RetryAfter: h.retryAfter(now, s, limit)}
}

// StopWaiting removes a request that no longer waits.
func (h *Holder) StopWaiting(tenant string) {
	if s := h.shares[tenant]; s != nil {
		s.waiters = max(s.waiters-1, 0)
	}
}

// Return gives back the admission of a request that has certainly not run.
func (h *Holder) Return(now time.Duration, permit Permit) {
	s, limit, ok := h.share(permit.tenant)
	if !ok || permit.generation == 0 {
		return
	}
	s.advance(now, limit)
	if s.generation == permit.generation {
		s.bucket.tokens = min(s.bucket.tokens+1, s.fraction*limit.depth())
	}
}

func (h *Holder) share(tenant string) (*share, Limit, bool) {
	limit, ok := h.limits[tenant]
	s := h.shares[tenant]
	return s, limit, ok && s != nil
}

// retryAfter returns when a request may be admitted.
func (h *Holder) retryAfter(now time.Duration, s *share, limit Limit) time.Duration {
	wait := s.bucket.wait(s.fraction * limit.depth())
	if until := max(s.dryUntil, s.tokenAt); until > now {
		wait = min(wait, until-now)
	}
	if wait == math.MaxInt64 {
		return defaultRetryAfter
	}
	return max(wait, minSendInterval)
}

// Stats returns the number of tenants in use and of those with a share.
func (h *Holder) Stats() (tenants, withShare int) {
	for _, s := range h.shares {
		if s.fraction > 0 {
			withShare++
		}
	}
	return len(h.shares), withShare
}
