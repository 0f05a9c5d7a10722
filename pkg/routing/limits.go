package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// CustomerLimiter enforces the plans' limits per customer at this entry node.
type CustomerLimiter struct {
	customers sync.Map // of customer name to *customerLimit
}

type customerLimit struct {
	inFlight atomic.Int64
	mu       sync.Mutex
	applied  dynamic.Limits
	limiter  *rate.Limiter
}

// Permit is one admitted call. The nil Admission has no limits.
type Permit struct{ limit *customerLimit }

// Release ends the call.
func (a Permit) Release() {
	if a.limit != nil {
		a.limit.inFlight.Add(-1)
	}
}

// Acquire admits a call of a customer or returns a refusal.
func (l *CustomerLimiter) Acquire(customer string, limits dynamic.Limits, now time.Time) (Permit, *verdict.Error) {
	if limits.RatePerSecond <= 0 && limits.Concurrency <= 0 {
		return Permit{}, nil
	}
	value, ok := l.customers.Load(customer)
	if !ok {
		value, _ = l.customers.LoadOrStore(customer, &customerLimit{})
	}
	limit := value.(*customerLimit)
	if count := limit.inFlight.Add(1); limits.Concurrency > 0 && count > int64(limits.Concurrency) {
		limit.inFlight.Add(-1)
		return Permit{}, verdict.NotRunErrorf(verdict.ConcurrencyLimited,
			"customer %q has %d calls in flight here", customer, limits.Concurrency)
	}
	if limits.RatePerSecond > 0 && !limit.allow(limits, now) {
		limit.inFlight.Add(-1)
		err := verdict.NotRunErrorf(verdict.RateLimited, "customer %q exceeds %g calls/s", customer, limits.RatePerSecond)
		err.RetryAfter = time.Duration(float64(time.Second) / limits.RatePerSecond)
		return Permit{}, err
	}
	return Permit{limit: limit}, nil
}

func (c *customerLimit) allow(limits dynamic.Limits, now time.Time) bool {
	c.mu.Lock()
	if c.limiter == nil || c.applied != limits {
		burst := max(limits.Burst, 1)
		if c.limiter == nil {
			c.limiter = rate.NewLimiter(rate.Limit(limits.RatePerSecond), burst)
		} else {
			c.limiter.SetLimitAt(now, rate.Limit(limits.RatePerSecond))
			c.limiter.SetBurstAt(now, burst)
		}
		c.applied = limits
	}
	limiter := c.limiter
	c.mu.Unlock()
	return limiter.AllowN(now, 1)
}

// Units of the retry budget: a call earns a tenth of what a retry costs.
const (
	retryCost   = 10
	retryEarned = 1
	// maxRetryBudget bounds the retries in a row after a quiet time.
	maxRetryBudget = 10 * retryCost
)

// RetryBudget bounds retries to a tenth of the calls, so that retries cannot
// multiply an overload.
type RetryBudget struct{ spent atomic.Int64 }

// Deposit counts a call.
func (b *RetryBudget) Deposit() {
	if b.spent.Load() <= 0 {
		return
	}
	if b.spent.Add(-retryEarned) < 0 {
		b.spent.Add(retryEarned)
	}
}

// TryWithdraw reports whether a retry is allowed and counts it.
func (b *RetryBudget) TryWithdraw() bool {
	if b.spent.Add(retryCost) > maxRetryBudget {
		b.spent.Add(-retryCost)
		return false
	}
	return true
}
