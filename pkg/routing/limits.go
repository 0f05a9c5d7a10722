package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// CustomerLimiter enforces the limits of the customers' plans on this entry node.
type CustomerLimiter struct {
	customers sync.Map // of customer name to *customerLimit
}

type customerLimit struct {
	inFlight      atomic.Int64
	mu            sync.Mutex
	appliedLimits dynamic.Limits
	limiter       *rate.Limiter
}

// Permit is held by one admitted call. The zero Permit belongs to a call without
// limits.
type Permit struct{ limit *customerLimit }

// Release returns the permit when the call ends.
func (p Permit) Release() {
	if p.limit != nil {
		p.limit.inFlight.Add(-1)
	}
}

// Acquire admits a customer's call, or returns an error if the call exceeds the
// limits.
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
	if c.limiter == nil || c.appliedLimits != limits {
		burst := max(limits.Burst, 1)
		if c.limiter == nil {
			c.limiter = rate.NewLimiter(rate.Limit(limits.RatePerSecond), burst)
		} else {
			c.limiter.SetLimitAt(now, rate.Limit(limits.RatePerSecond))
			c.limiter.SetBurstAt(now, burst)
		}
		c.appliedLimits = limits
	}
	limiter := c.limiter
	c.mu.Unlock()
	return limiter.AllowN(now, 1)
}

// Units of the retry budget: each call deposits a tenth of the cost of a retry.
const (
	retryCost      = 10
	depositPerCall = 1
	// maxRetryBudget bounds the burst of retries after a time without any.
	maxRetryBudget = 10 * retryCost
)

// RetryBudget bounds retries to a tenth of the calls, so that retries cannot
// multiply an overload.
type RetryBudget struct{ spent atomic.Int64 }

// Deposit adds the share of one call to the budget.
func (b *RetryBudget) Deposit() {
	if b.spent.Load() <= 0 {
		return
	}
	if b.spent.Add(-depositPerCall) < 0 {
		b.spent.Add(depositPerCall)
	}
}

// TryWithdraw reports whether a retry is allowed and, if so, withdraws its cost.
func (b *RetryBudget) TryWithdraw() bool {
	if b.spent.Add(retryCost) > maxRetryBudget {
		b.spent.Add(-retryCost)
		return false
	}
	return true
}
