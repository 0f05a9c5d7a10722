package quota

import (
	"math"
	"time"
)

// Permit identifies an admission. The zero value cannot be given back.
type Permit struct {
	tenant     string
	generation uint64
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
	dryUntil time.Duration
	// tokenAt is when the granter has another token at all, for what refused callers are told.
	tokenAt         time.Duration
	demand          float64
	slowDemand      float64
	demandUpdatedAt time.Duration
	waiters         int
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

// steadyDemand returns the demand that is reported. Reports are made when a request waits;
// the latest one is left out, or holders with few requests would report several times
// their mean.
func (s *share) steadyDemand(limit Limit) float64 {
	return max(s.demand-1/demandTime.Seconds(), min(s.slowDemand, slowDemandPart*limit.Rate))
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
