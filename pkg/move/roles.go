package move

import (
	"context"
	"sync"
)

// roles tracks which services' moves this node decides, and their leases.
type roles struct {
	leases LeaseFactory
	fence  func(service string) uint64
	begun  chan Lease
	mu     sync.Mutex
	by     map[string]*role
}

type role struct {
	deciding bool
	// accepting is set once the reducer knows of the role, so that it drops no report.
	accepting bool
	lease     Lease
}

// maxBegun is the number of leases that may wait to be run.
const maxBegun = 64

func newRoles(leases LeaseFactory, fence func(service string) uint64) *roles {
	return &roles{leases: leases, fence: fence, begun: make(chan Lease, maxBegun), by: map[string]*role{}}
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
		known.lease = r.begin(service)
	}
	result.IsDecider = deciding
	if deciding && known.lease != nil {
		if fence, held := known.lease.Held(); held {
			result.FencingToken = fence
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

// begin makes the lease of a service, which is kept until the process ends.
func (r *roles) begin(service string) Lease {
	candidate := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.by[service].deciding
	}
	made := r.leases("move-"+service, candidate, func() uint64 { return r.fence(service) })
	if made == nil {
		return nil
	}
	select {
	case r.begun <- made:
		return made
	default:
		return nil // tried again in the next period
	}
}

// run runs the leases until ctx ends.
func (r *roles) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case lease := <-r.begun:
			group.Go(func() { lease.Run(ctx) })
		}
	}
}
