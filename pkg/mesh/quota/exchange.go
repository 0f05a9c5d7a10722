package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Sending is a request to be sent to a node.
type Sending struct {
	To      string
	Request Request
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
	retryAt := s.sentAt + min(max(time.Duration(r.RetryMs)*time.Millisecond, minSendInterval), renewInterval)
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
		each.dryUntil, each.tokenAt = 0, now+min(max(time.Duration(g.TokenMs)*time.Millisecond, 0), LeaseTime)
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
