package move

import (
	"context"
	"sync"
	"time"
)

// leaseInterval is the time between renewals of the leases of moves.
const leaseInterval = 5 * time.Second

// roles tracks which services' moves this node decides, and their leases.
type roles struct {
	leases LeaseFactory
	mu     sync.Mutex
	by     map[string]*role
}

type role struct {
	deciding bool
	// accepting is set once the reducer knows of the role, so that it drops no report.
	accepting bool
	lease     Lease
}

func newRoles(options Options) *roles {
	return &roles{leases: options.Leases, by: map[string]*role{}}
}

func (r *roles) decides(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[service] != nil && r.by[service].accepting
}

// set takes or leaves the role; began is true when it is newly taken.
func (r *roles) set(service string, deciding bool) (result Role, began bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.by[service]
	if known == nil {
		known = &role{}
		r.by[service] = known
	}
	began = deciding && !known.deciding
	known.deciding = deciding
	if deciding && known.lease == nil && r.leases != nil {
		known.lease = r.leases("move-" + service)
	}
	result.Deciding = deciding
	if deciding && known.lease != nil {
		if fence, held := known.lease.Held(); held {
			result.Fence = fence
		}
	}
	return result, began
}

// accept follows the role once the reducer has been told of it.
func (r *roles) accept(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[service].accepting = r.by[service].deciding
}

// others returns the services that are not wanted.
func (r *roles) others(wanted map[string]bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var services []string
	for service := range r.by {
		if !wanted[service] {
			services = append(services, service)
		}
	}
	return services
}

// run renews the leases of roles that are held and releases the others.
func (r *roles) run(ctx context.Context) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		r.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *roles) renew(ctx context.Context) {
	for _, known := range r.withLease() {
		callContext, cancel := context.WithTimeout(ctx, leaseInterval)
		r.mu.Lock()
		deciding, lease := known.deciding, known.lease
		if !deciding {
			known.lease = nil
		}
		r.mu.Unlock()
		if deciding {
			// A refusal or an outage leaves Held false: the move goes on by takeover count.
			_, _, _ = lease.Acquire(callContext)
		} else {
			lease.Release(callContext)
		}
		cancel()
	}
}

func (r *roles) withLease() []*role {
	r.mu.Lock()
	defer r.mu.Unlock()
	var result []*role
	for _, known := range r.by {
		if known.lease != nil {
			result = append(result, known)
		}
	}
	return result
}
