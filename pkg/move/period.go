package move

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/transport"
)

// reportTimeout bounds the sending of one report. It is shorter than the period,
// so that an unresponsive decider does not delay the next period.
const reportTimeout = 800 * time.Millisecond

// ack is a decider's reply to a report.
type ack struct {
	Decider string `cbor:"1,keyasint"`
	// Epoch changes when the decider's process is replaced.
	Epoch uint64 `cbor:"2,keyasint"`
	// LastPeriod is the last period that the decider has received, 0 if the node is
	// not the decider of the service's move.
	LastPeriod int64 `cbor:"3,keyasint"`
}

// servicesWithMove returns the services that have a move.
func servicesWithMove(snapshot *dynamic.Snapshot) []dynamic.Service {
	var services []dynamic.Service
	if snapshot == nil {
		return nil
	}
	for _, service := range snapshot.Config().Services {
		if service.Move != nil && service.Move.ToVersion != service.Version {
			services = append(services, service)
		}
	}
	return services
}

// hasTargetOf reports whether the node has a local target of the service.
func hasTargetOf(self membership.Member, service string) bool {
	return slices.ContainsFunc(self.Targets, func(t membership.Target) bool { return t.Service == service })
}

// serviceCapacity returns a service's capacity and the addresses of its reporters
// by instance.
func serviceCapacity(view *membership.View, service dynamic.Service) (c Capacity, addresses map[string]string) {
	addresses = map[string]string{}
	for _, member := range view.Members {
		for _, target := range member.Targets {
			if target.Service != service.Name {
				continue
			}
			if member.State == membership.Alive && addresses[member.Instance] == "" {
				c.Reporters = append(c.Reporters, member.Instance)
				addresses[member.Instance] = member.Address
			}
			if target.State != membership.Ready {
				continue
			}
			switch target.Version {
			case service.Version:
				c.OldSlots += target.Slots
			case service.Move.ToVersion:
				if member.State == membership.Alive {
					c.NewSlots += target.Slots
				}
			}
		}
	}
	return c, addresses
}

// electDecider returns the decider among reporters by rendezvous hashing, or "" if
// there are none.
func electDecider(service string, reporters []string) string {
	return rendezvous.New(reporters, xxhash.Sum64String).Lookup("move-" + service)
}

// runPeriod closes a period, reports its evidence and lets the deciders act on it.
func (s *Service) runPeriod(ctx context.Context, now time.Time) {
	snapshot, view := s.options.Snapshot(), s.options.View()
	if snapshot == nil || view == nil {
		return
	}
	s.reporter.applySnapshot(snapshot)
	s.reporter.updateWarming(view.Self, now)
	s.reporter.closePeriod(now)
	s.updateSplits()
	s.submitPendingStates(ctx)
	var reports sync.WaitGroup
	served := map[string]bool{}
	for _, service := range servicesWithMove(snapshot) {
		if !hasTargetOf(view.Self, service.Name) {
			continue
		}
		served[service.Name] = true
		s.runLocalGuard(service, now)
		c, addresses := serviceCapacity(view, service)
		decider := electDecider(service.Name, c.Reporters)
		s.submitInputs(ctx, snapshot, service, c, decider)
		if decider != "" {
			reports.Go(func() { s.sendReport(ctx, service.Name, decider, addresses[decider]) })
		}
	}
	s.releaseRoles(ctx, snapshot, served)
	reports.Wait()
	s.loop.Submit(ctx, Event{Tick: true})
}

func (s *Service) submitInputs(ctx context.Context, snapshot *dynamic.Snapshot, service dynamic.Service, c Capacity, decider string) {
	desired := &DesiredMove{
		From: service.Version, To: service.Move.ToVersion, FinishBy: service.Move.FinishBy,
		Paused: service.Move.Paused, Canceled: service.Move.Canceled, CriteriaHash: criteriaHash(snapshot, service),
	}
	s.loop.Submit(ctx, Event{Service: service.Name, Desired: desired})
	s.loop.Submit(ctx, Event{Service: service.Name, Capacity: &c})
	role, isNew := s.roles.set(service.Name, decider == s.options.Instance)
	s.loop.Submit(ctx, Event{Service: service.Name, Role: &role})
	s.roles.updateAcceptsReports(service.Name)
	if isNew {
		s.statusStore.load(service.Name, func(r RestoreResult) {
			s.loop.Submit(ctx, Event{Service: service.Name, Restored: &r})
		})
	}
}

// releaseRoles gives up the decider roles of services that have no local target
// any more or whose move is no longer configured. Only the latter ends the move.
func (s *Service) releaseRoles(ctx context.Context, snapshot *dynamic.Snapshot, served map[string]bool) {
	for _, name := range s.roles.servicesExcept(served) {
		service := snapshot.Service(name)
		if service == nil || service.Move == nil || service.Move.ToVersion == service.Version {
			desired := &DesiredMove{}
			if service != nil {
				desired.From = service.Version
			}
			s.loop.Submit(ctx, Event{Service: name, Desired: desired})
		}
		role, _ := s.roles.set(name, false)
		s.loop.Submit(ctx, Event{Service: name, Role: &role})
		s.roles.updateAcceptsReports(name)
		delete(s.guards, name)
	}
}

// submitPendingStates submits the states queued since the last period.
func (s *Service) submitPendingStates(ctx context.Context) {
	s.mu.Lock()
	states := s.pendingStates
	s.pendingStates = nil
	s.mu.Unlock()
	for _, state := range states {
		s.loop.Submit(ctx, Event{Service: state.Service, UpdatedState: &state})
	}
}

// runLocalGuard rolls the service's move back if the local guard finds a reason.
func (s *Service) runLocalGuard(service dynamic.Service, now time.Time) {
	s.mu.Lock()
	g := s.guards[service.Name]
	if g == nil || g.to != service.Move.ToVersion {
		g = &serviceGuard{to: service.Move.ToVersion}
		s.guards[service.Name] = g
	}
	if at := s.lastAckTimes[service.Name]; !at.IsZero() {
		g.RecordAck(at)
	}
	state, ok := s.states[StateKey(service.Name, g.to)]
	s.mu.Unlock()
	samples, lastPeriod := s.reporter.samplesAfter(service.Name, g.lastPeriod)
	var counts Counts
	for _, sample := range samples {
		if sample.Version == g.to {
			counts = counts.plus(sample.Counts)
		}
	}
	counts.CrashPeriods = min(counts.CrashPeriods, 1)
	g.lastPeriod = lastPeriod
	g.AddPeriod(lastPeriod, counts)
	if !ok || state.Phase != PhaseRunning {
		return
	}
	reason := g.RollbackReason(now, state)
	if reason == "" {
		return
	}
	state.Phase, state.Share, state.Held, state.Reason = PhaseRolledBack, 0, false, reason
	state.Sequence++
	state.Decider = s.options.Instance
	s.execute(context.Background(), Effect{Publish: &state, TimelineEvent: newTimelineEvent(state, EventRolledBack)})
	s.queueState(state)
}

// serviceGuard is the local guard of one service's move.
type serviceGuard struct {
	LocalGuard
	to         string
	lastPeriod int64
}

// criteriaHash hashes the routes and definitions of success by which the
// service's calls are classified.
func criteriaHash(snapshot *dynamic.Snapshot, service dynamic.Service) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, route := range service.Routes {
		fmt.Fprint(&digest, route.Name, route.Department)
		if department := snapshot.Department(route.Department); department != nil {
			fmt.Fprint(&digest, department.Success)
		}
	}
	return digest.Sum64()
}

// sendReport sends the samples that the decider has not acknowledged.
func (s *Service) sendReport(ctx context.Context, service, decider, address string) {
	s.mu.Lock()
	lastAck := s.lastAcks[service]
	s.mu.Unlock()
	if lastAck.Decider != decider {
		lastAck = ack{}
	}
	samples, lastPeriod := s.reporter.samplesAfter(service, lastAck.LastPeriod)
	report := EvidenceReport{
		Service: service, Reporter: s.options.Instance, Incarnation: s.incarnation, LastClosedPeriod: lastPeriod, Samples: samples,
	}
	reply, err := s.deliverReport(ctx, report, decider, address)
	if err != nil {
		return
	}
	if reply.Epoch != lastAck.Epoch && lastAck.Epoch != 0 {
		reply.LastPeriod = 0 // the new process lacks what its predecessor acknowledged
	}
	s.mu.Lock()
	s.lastAcks[service] = reply
	if reply.LastPeriod > 0 {
		s.lastAckTimes[service] = s.options.Now()
	}
	s.mu.Unlock()
}

func (s *Service) deliverReport(ctx context.Context, report EvidenceReport, decider, address string) (reply ack, err error) {
	if decider == s.options.Instance {
		return s.receive(ctx, report), nil
	}
	payload, err := encodeReport(report)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	replyPayload, err := s.options.Requester.Request(ctx, address, transport.KindMove, payload)
	if err != nil {
		return reply, err
	}
	return reply, cbor.Unmarshal(replyPayload, &reply)
}

// updateWarming records the versions of local targets that are still warming up.
func (r *reporter) updateWarming(self membership.Member, now time.Time) {
	warming := map[versionKey]bool{}
	for _, target := range self.Targets {
		if target.State == membership.Starting ||
			target.State == membership.Ready && now.Before(target.ReadySince.Add(target.Warmup)) {
			warming[versionKey{target.Service, target.Version}] = true
		}
	}
	r.warming.Store(&warming)
}
