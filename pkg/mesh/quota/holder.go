package quota

import (
	"maps"
	"math"
	"slices"
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

// Permit identifies an admission. The zero value cannot be given back.
type Permit struct {
	tenant     string
	generation uint64
}

// Sending is a request to be sent to a node.
type Sending struct {
	To      string
	Request Request
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

// share is what the node holds of one tenant's limit.
type share struct {
	fraction float64
	leaseEnd time.Duration
	bucket   bucket
	// generation changes when tokens are lost, so that none of before is given back. It is
	// taken from generations, which is common to all shares of a holder.
	generation  uint64
	generations *uint64
	// extra are single tokens, which may be used until extraEnd.
	extra    int
	extraEnd time.Duration
	// dryUntil is when the granter expects more tokens.
	dryUntil        time.Duration
	demand          float64
	slowDemand      float64
	demandUpdatedAt time.Duration
	waiters         int
}

// holderSlot is the exchange with the granter of a slot.
type holderSlot struct {
	order []string
	// position is the place in order of the node that is asked while no granter is known.
	position    int
	granter     string
	term        uint64
	failed      string
	failedUntil time.Duration

	sequence    uint64
	isPending   bool
	sentTo      string
	sentAt      time.Duration
	notBefore   time.Duration
	renewAt     time.Duration
	isUrgent    bool
	hasReported bool
	// retriedSince is since when a node that takes over has asked to try again.
	retriedSince time.Duration
}

// NewHolder returns the holder of a node. incarnation is the start of its process; a later
// process under the same name has a higher one.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{name: name, incarnation: incarnation, shares: make(map[string]*share)}
}

// SetLimits replaces the limits by tenant. It takes effect at once.
func (h *Holder) SetLimits(limits map[string]Limit) { h.limits = limits }

// SetNodes replaces the list of live nodes.
func (h *Holder) SetNodes(nodes []string) {
	for slot := range h.slots {
		s := &h.slots[slot]
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
	if s.dryUntil > now {
		wait = min(wait, s.dryUntil-now)
	}
	if wait == math.MaxInt64 {
		return defaultRetryAfter
	}
	return max(wait, minSendInterval)
}

// advance applies the time since the last call.
func (s *share) advance(now time.Duration, limit Limit) {
	if s.fraction > 0 && now >= s.leaseEnd {
		s.setFraction(0)
	}
	s.bucket.fill(now, s.fraction*limit.Rate, s.fraction*limit.depth())
	if now >= s.extraEnd {
		s.extra = 0
	}
	if elapsed := now - s.demandUpdatedAt; elapsed > 0 {
		s.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		s.slowDemand *= math.Exp(-elapsed.Seconds() / slowDemandTime.Seconds())
		s.demandUpdatedAt = now
	}
}

// setFraction sets the share. When it shrinks, tokens above its depth are lost, now or at
// the next call of advance.
func (s *share) setFraction(fraction float64) {
	if fraction < s.fraction || s.generation == 0 {
		*s.generations++
		s.generation = *s.generations
	}
	if s.fraction = fraction; fraction == 0 {
		s.bucket.tokens, s.bucket.rate = 0, 0
	}
}

// steadyDemand returns the demand that is reported.
func (s *share) steadyDemand(limit Limit) float64 {
	return max(s.demand, min(s.slowDemand, slowDemandPart*limit.Rate))
}

// shrinksAt returns when the demand has fallen so far that the holder needs less than half
// of its share, if no further request comes.
func (s *share) shrinksAt(limit Limit) (time.Duration, bool) {
	needed := (s.fraction/2 - minShareTokens/limit.depth()) * limit.Rate / shareFactor
	if s.fraction < minShrink || needed <= 0 {
		return 0, false
	}
	if s.demand <= needed {
		return s.demandUpdatedAt, true
	}
	return s.demandUpdatedAt + time.Duration(demandTime.Seconds()*math.Log(s.demand/needed)*float64(time.Second)), true
}

// take takes a token. advance must have been called for the same time.
func (s *share) take(tenant string) (Permit, bool) {
	switch {
	case s.bucket.tokens >= 1:
		s.bucket.tokens--
		return Permit{tenant: tenant, generation: s.generation}, true
	case s.extra > 0:
		s.extra--
		return Permit{}, true
	}
	return Permit{}, false
}

// want returns the number of tokens that can be used at once: for the requests that wait
// and for those that will come during one exchange.
func (s *share) want(now time.Duration, limit Limit) int {
	if s.waiters == 0 || s.dryUntil > now {
		return 0
	}
	excess := max(s.demand-s.fraction*limit.Rate, 0) * minSendInterval.Seconds()
	return s.waiters + min(int(excess), s.waiters)
}

// Poll returns the requests that are due.
func (h *Holder) Poll(now time.Duration) []Sending {
	var due []Sending
	for slot := range h.slots {
		s := &h.slots[slot]
		if s.isPending && now >= s.sentAt+exchangeTimeout {
			h.Fail(now, slot, s.sequence)
		}
		if at, ok := h.dueAt(slot); !ok || now < at {
			continue
		}
		to := s.target(now)
		if to == "" {
			s.notBefore = now + renewInterval
			continue
		}
		request := h.report(now, slot)
		s.isPending, s.sentTo, s.sentAt, s.isUrgent = true, to, now, false
		due = append(due, Sending{To: to, Request: request})
	}
	return due
}

// NextPoll returns when Poll is to be called next, math.MaxInt64 for never.
func (h *Holder) NextPoll() time.Duration {
	next := time.Duration(math.MaxInt64)
	for slot := range h.slots {
		if s := &h.slots[slot]; s.isPending {
			next = min(next, s.sentAt+exchangeTimeout)
		} else if at, ok := h.dueAt(slot); ok {
			next = min(next, at)
		}
	}
	return next
}

// dueAt returns when the next request for a slot is due, false for never.
func (h *Holder) dueAt(slot int) (time.Duration, bool) {
	s := &h.slots[slot]
	if s.isPending || h.isStopped {
		return 0, false
	}
	earliest := max(s.notBefore, s.sentAt+minSendInterval)
	if s.isUrgent {
		return earliest, true
	}
	due, ok := time.Duration(math.MaxInt64), false
	if s.hasReported {
		due, ok = max(s.renewAt, s.notBefore), true
	}
	for tenant, each := range h.shares {
		if SlotOf(tenant) != slot {
			continue
		}
		if each.waiters > 0 {
			due, ok = min(due, max(earliest, each.dryUntil)), true
		}
		if at, isShrinking := each.shrinksAt(h.limits[tenant]); isShrinking {
			due, ok = min(due, max(at, s.notBefore, s.sentAt+shrinkInterval)), true
		}
	}
	return due, ok
}

// target returns the node to ask, "" if there is none.
func (s *holderSlot) target(now time.Duration) string {
	if s.granter != "" && (s.granter != s.failed || now >= s.failedUntil) {
		return s.granter
	}
	if len(s.order) == 0 {
		return ""
	}
	return s.order[s.position%len(s.order)]
}

// report builds a request for a slot. No response to an earlier request is accepted after
// that.
func (h *Holder) report(now time.Duration, slot int) Request {
	s := &h.slots[slot]
	s.sequence++
	s.isPending = false
	r := Request{Slot: slot, Holder: h.name, Incarnation: h.incarnation, Sequence: s.sequence, Term: s.term}
	s.hasReported = false
	for _, tenant := range slices.Sorted(maps.Keys(h.shares)) {
		if SlotOf(tenant) != slot {
			continue
		}
		each, limit := h.shares[tenant], h.limits[tenant]
		each.advance(now, limit)
		isUnused := each.demand < minDemand && each.slowDemand < minSlowDemand && each.waiters == 0
		if isUnused || limit.Rate <= 0 || h.isStopped {
			each.setFraction(0)
		}
		if isUnused && each.extra == 0 {
			delete(h.shares, tenant)
			continue
		}
		if len(r.Tenants) < MaxTenants {
			r.Tenants = append(r.Tenants, Usage{Tenant: tenant, Share: each.fraction, Demand: each.steadyDemand(limit), Want: each.want(now, limit)})
		} else {
			each.setFraction(0)
		}
		s.hasReported = s.hasReported || each.fraction > 0
	}
	return r
}

// Announced applies the announcement of a granter and returns what the node holds. It
// returns false for an announcement of an earlier term.
func (h *Holder) Announced(now time.Duration, a Announcement) (Request, bool) {
	if a.Slot < 0 || a.Slot >= Slots || a.Term < h.slots[a.Slot].term {
		return Request{}, false
	}
	s := &h.slots[a.Slot]
	s.term, s.granter, s.failed = a.Term, a.Granter, ""
	request := h.report(now, a.Slot)
	// What waits is asked for again, and a share that was just reported is renewed.
	s.isUrgent = true
	return request, true
}

// Accept applies the response to a request. Responses to other requests than the last are
// ignored.
func (h *Holder) Accept(now time.Duration, r Response) {
	if r.Slot < 0 || r.Slot >= Slots {
		return
	}
	s := &h.slots[r.Slot]
	if !s.isPending || r.Sequence != s.sequence {
		return
	}
	if r.Status == StatusStopping {
		h.Fail(now, r.Slot, r.Sequence)
		return
	}
	s.isPending = false
	retryAt := now + min(max(time.Duration(r.RetryMs)*time.Millisecond, minSendInterval), renewInterval)
	switch {
	case r.Status == StatusGranted && r.Term >= s.term:
		isNew := r.Term > s.term
		s.term, s.granter, s.notBefore, s.retriedSince = r.Term, s.sentTo, 0, 0
		s.renewAt = s.sentAt + min(max(time.Duration(r.RetryMs)*time.Millisecond, renewInterval), LeaseTime/2)
		h.applyGrants(now, s, r.Grants)
		if isNew {
			// The granter waits for a report that was made under its term.
			s.isUrgent, s.sentAt = s.hasReported, s.sentAt-minSendInterval
		}
	case r.Status == StatusRedirect && r.Granter != "" && (r.Granter != s.failed || now >= s.failedUntil):
		s.granter, s.isUrgent = r.Granter, s.hasReported
	default:
		if s.sentTo == s.granter {
			s.granter = ""
		}
		s.notBefore, s.isUrgent = retryAt, s.hasReported
		if s.retriedSince == 0 {
			s.retriedSince = now
		} else if now > s.retriedSince+maxRetryTime {
			s.retriedSince = 0
			s.position++
		}
	}
}

func (h *Holder) applyGrants(now time.Duration, s *holderSlot, grants []Grant) {
	for _, g := range grants {
		each, limit, ok := h.share(g.Tenant)
		if !ok || !(g.Share >= 0 && g.Share <= 1) {
			continue
		}
		each.advance(now, limit)
		if leaseEnd := s.sentAt + LeaseTime; now < leaseEnd {
			// A smaller share frees the difference only when it is reported.
			s.isUrgent = s.isUrgent || g.Share < each.fraction
			each.setFraction(g.Share)
			each.leaseEnd = leaseEnd
			each.bucket.fill(now, g.Share*limit.Rate, g.Share*limit.depth())
		}
		if end := s.sentAt + limit.tokenLife(); g.Tokens > 0 && now < end {
			each.extra, each.extraEnd = g.Tokens, end
		}
		each.dryUntil = 0
		if g.WaitMs > 0 {
			each.dryUntil = now + min(time.Duration(g.WaitMs)*time.Millisecond, renewInterval)
		}
		s.hasReported = s.hasReported || each.fraction > 0
	}
}

// Fail records that a request got no response. Another node is asked next.
func (h *Holder) Fail(now time.Duration, slot int, sequence uint64) {
	s := &h.slots[slot]
	if !s.isPending || s.sequence != sequence {
		return
	}
	s.isPending = false
	s.isUrgent = s.hasReported
	s.notBefore = now + minSendInterval
	if s.sentTo == s.granter {
		s.failed, s.failedUntil, s.granter = s.granter, now+granterFailureTime, ""
		return
	}
	if s.position++; s.position >= len(s.order) {
		s.position = 0
		s.notBefore = now + renewInterval
	}
}

// Stop gives up all shares and returns the requests that tell the granters.
func (h *Holder) Stop(now time.Duration) []Sending {
	h.isStopped = true
	var last []Sending
	for slot := range h.slots {
		s := &h.slots[slot]
		if s.term == 0 && s.sequence == 0 {
			continue
		}
		to := s.target(now)
		request := h.report(now, slot)
		request.Tenants = nil
		if to != "" {
			last = append(last, Sending{To: to, Request: request})
		}
	}
	return last
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
