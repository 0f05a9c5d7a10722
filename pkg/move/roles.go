package move

import (
	"context"
	"sync"
)

// roles tracks the services for which this node is the decider, and their leases.
type roles struct {
	newLease            LeaseFactory
	highestFencingToken func(service string) uint64
	startedLeases       chan Lease
	mu                  sync.Mutex
	byService           map[string]*role
}

type role struct {
	isDecider bool
	// acceptsReports is set once the state machine knows of the role. Before that, the
	// state machine would drop reports, although this node had acknowledged them.
	acceptsReports bool
	lease          Lease
}

// maxQueuedLeases is the number of leases that may wait for run.
const maxQueuedLeases = 64

func newRoles(newLease LeaseFactory, highestFencingToken func(service string) uint64) *roles {
	return &roles{newLease: newLease, highestFencingToken: highestFencingToken, startedLeases: make(chan Lease, maxQueuedLeases), byService: map[string]*role{}}
}

func (r *roles) acceptsReports(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byService[service] != nil && r.byService[service].acceptsReports
}

// set takes up or gives up the decider role of a service; isNew is true if it is
// taken up and was not held before.
func (r *roles) set(service string, isDecider bool) (result Role, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byService[service]
	if known == nil {
		known = &role{}
		r.byService[service] = known
	}
	isNew = isDecider && !known.isDecider
	known.isDecider = isDecider
	if isDecider && known.lease == nil && r.newLease != nil {
		known.lease = r.startLease(service)
	}
	result.IsDecider = isDecider
	if isDecider && known.lease != nil {
		if fencingToken, held := known.lease.Held(); held {
			result.FencingToken = fencingToken
		}
	}
	return result, isNew
}

// updateAcceptsReports starts or stops accepting reports once the state machine has
// received the role.
func (r *roles) updateAcceptsReports(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byService[service].acceptsReports = r.byService[service].isDecider
}

// servicesExcept returns the tracked services that are not in wanted.
func (r *roles) servicesExcept(wanted map[string]bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var services []string
	for service := range r.byService {
		if !wanted[service] {
			services = append(services, service)
		}
	}
	return services
}

// startLease creates the lease of a service, which exists until the process ends.
func (r *roles) startLease(service string) Lease {
	isCandidate := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.byService[service].isDecider
	}
	lease := r.newLease("move-"+service, isCandidate, func() uint64 { return r.highestFencingToken(service) })
	if lease == nil {
		return nil
	}
	select {
	case r.startedLeases <- lease:
		return lease
	default:
		return nil // retried in the next period
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
		case lease := <-r.startedLeases:
			group.Go(func() { lease.Run(ctx) })
		}
	}
}
