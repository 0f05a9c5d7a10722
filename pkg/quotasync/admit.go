package quotasync

import (
	"context"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/quota"
)

// waiter is a request that waits for a grant.
type waiter struct {
	done    chan struct{}
	outcome quota.Outcome
}

// Admit decides about a request of a tenant. A request without a share waits shortly for
// its grant, for at most a quarter of remaining. The permit gives back the admission of a
// request that has certainly not run. If the request is refused, retryAfter is above 0.
func (s *Service) Admit(ctx context.Context, tenant *mesh.Tenant, remaining time.Duration) (permit quota.Permit, retryAfter time.Duration) {
	if tenant == nil || tenant.RatePerSecond <= 0 {
		return quota.Permit{}, 0
	}
	wait := min(MaxWait, time.Duration(maxWaitFraction*float64(remaining)))
	s.mu.Lock()
	s.refresh()
	outcome := s.holder.Take(s.options.Now(), wait, tenant.Name)
	if !outcome.Wait {
		s.mu.Unlock()
		return s.result(outcome)
	}
	w := &waiter{done: make(chan struct{})}
	s.waiters[tenant.Name] = append(s.waiters[tenant.Name], w)
	s.mu.Unlock()
	s.notify()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		s.stopWaiting(tenant.Name, w)
	case <-ctx.Done():
		s.stopWaiting(tenant.Name, w)
	}
	return s.result(w.outcome)
}

func (s *Service) result(outcome quota.Outcome) (quota.Permit, time.Duration) {
	if outcome.Admitted {
		return outcome.Permit, 0
	}
	s.options.Metrics.Counter("quota_refused").Inc(1)
	return quota.Permit{}, max(outcome.RetryAfter, time.Millisecond)
}

// stopWaiting ends the wait of a request unless it has been decided in the meantime.
func (s *Service) stopWaiting(tenant string, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.waiters[tenant]
	for i := range list {
		if list[i] == w {
			w.outcome = s.holder.TakeWaiting(s.options.Now(), tenant)
			if !w.outcome.Admitted {
				s.holder.StopWaiting(tenant)
			}
			s.setWaiters(tenant, append(list[:i:i], list[i+1:]...))
			return
		}
	}
}

func (s *Service) setWaiters(tenant string, list []*waiter) {
	if len(list) == 0 {
		delete(s.waiters, tenant)
		return
	}
	s.waiters[tenant] = list
}

// admitWaiting admits the waiting requests for which there are tokens. s.mu must be held.
func (s *Service) admitWaiting(now time.Duration) {
	for tenant, list := range s.waiters {
		admitted := 0
		for _, w := range list {
			if w.outcome = s.holder.TakeWaiting(now, tenant); !w.outcome.Admitted {
				break
			}
			close(w.done)
			admitted++
		}
		if admitted > 0 {
			s.setWaiters(tenant, list[admitted:])
		}
	}
}

// Return gives back the admission of a request that has certainly not run.
func (s *Service) Return(permit quota.Permit) {
	if permit == (quota.Permit{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Return(s.options.Now(), permit)
}
