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

// reportTimeout bounds one report. It is below the period, so that a silent
// decider does not hold up the next one.
const reportTimeout = 800 * time.Millisecond

// ack is a decider's answer to a report.
type ack struct {
	Decider string `cbor:"1,keyasint"`
	// Epoch changes when the decider's process is replaced.
	Epoch uint64 `cbor:"2,keyasint"`
	// Through is the last period that the decider has taken in; 0 if it does not
	// decide the service's move.
	Through int64 `cbor:"3,keyasint"`
}

// moving returns the services that have a move.
func moving(snapshot *dynamic.Snapshot) []dynamic.Service {
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

// serves reports whether the node has a target of the service beside it.
func serves(self membership.Member, service string) bool {
	return slices.ContainsFunc(self.Targets, func(t membership.Target) bool { return t.Service == service })
}

// capacity sums up the members with targets of a service.
func capacity(view *membership.View, service dynamic.Service) (c Capacity, addresses map[string]string) {
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

// choose returns the decider among reporters.
func choose(service string, reporters []string) string {
	return rendezvous.New(reporters, xxhash.Sum64String).Lookup("move-" + service)
}

// runPeriod counts, reports and decides for one period.
func (s *Service) runPeriod(ctx context.Context, now time.Time) {
	snapshot, view := s.options.Snapshot(), s.options.View()
	if snapshot == nil || view == nil {
		return
	}
	s.reporter.use(snapshot)
	s.reporter.warm(view.Self, now)
	s.reporter.close(now)
	s.updateShares()
	s.submitMerged(ctx)
	var reports sync.WaitGroup
	kept := map[string]bool{}
	for _, service := range moving(snapshot) {
		if !serves(view.Self, service.Name) {
			continue
		}
		kept[service.Name] = true
		s.guard(service, now)
		c, addresses := capacity(view, service)
		decider := choose(service.Name, c.Reporters)
		s.submitInputs(ctx, snapshot, service, c, decider)
		if decider != "" {
			reports.Go(func() { s.send(ctx, service.Name, decider, addresses[decider]) })
		}
	}
	s.leave(ctx, snapshot, kept)
	reports.Wait()
	s.loop.Submit(ctx, Event{Tick: true})
}

func (s *Service) submitInputs(ctx context.Context, snapshot *dynamic.Snapshot, service dynamic.Service, c Capacity, decider string) {
	w := &DesiredMove{
		From: service.Version, To: service.Move.ToVersion, FinishBy: service.Move.FinishBy,
		Paused: service.Move.Paused, Canceled: service.Move.Canceled, CriteriaHash: definition(snapshot, service),
	}
	s.loop.Submit(ctx, Event{Service: service.Name, Desired: w})
	s.loop.Submit(ctx, Event{Service: service.Name, Capacity: &c})
	role, began := s.roles.set(service.Name, decider == s.options.Instance)
	s.loop.Submit(ctx, Event{Service: service.Name, Role: &role})
	s.roles.accept(service.Name)
	if began {
		s.statusStore.load(service.Name, func(r RestoreResult) {
			s.loop.Submit(ctx, Event{Service: service.Name, Restored: &r})
		})
	}
}

// leave gives up the roles of services that this node does not serve any more
// or whose move is no longer wanted. Only the latter ends the move.
func (s *Service) leave(ctx context.Context, snapshot *dynamic.Snapshot, kept map[string]bool) {
	for _, name := range s.roles.others(kept) {
		service := snapshot.Service(name)
		if service == nil || service.Move == nil || service.Move.ToVersion == service.Version {
			w := &DesiredMove{}
			if service != nil {
				w.From = service.Version
			}
			s.loop.Submit(ctx, Event{Service: name, Desired: w})
		}
		role, _ := s.roles.set(name, false)
		s.loop.Submit(ctx, Event{Service: name, Role: &role})
		s.roles.accept(name)
		delete(s.guards, name)
	}
}

// submitMerged hands on what gossip brought since the last period.
func (s *Service) submitMerged(ctx context.Context) {
	s.mu.Lock()
	merged := s.merged
	s.merged = nil
	s.mu.Unlock()
	for _, state := range merged {
		s.loop.Submit(ctx, Event{Service: state.Service, UpdatedState: &state})
	}
}

// guard takes the service's move back if this node sees strong badness.
func (s *Service) guard(service dynamic.Service, now time.Time) {
	s.mu.Lock()
	g := s.guards[service.Name]
	if g == nil || g.to != service.Move.ToVersion {
		g = &guarded{to: service.Move.ToVersion}
		s.guards[service.Name] = g
	}
	if at := s.answered[service.Name]; !at.IsZero() {
		g.RecordAck(at)
	}
	state, ok := s.states[StateKey(service.Name, g.to)]
	s.mu.Unlock()
	lines, through := s.reporter.since(service.Name, g.through)
	var counts Counts
	for _, line := range lines {
		if line.Version == g.to {
			counts = counts.plus(line.Counts)
		}
	}
	counts.CrashPeriods = min(counts.CrashPeriods, 1)
	g.through = through
	g.AddPeriod(through, counts)
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
	s.execute(context.Background(), Effect{Publish: &state, TimelineEvent: record(state, EventRolledBack)})
	s.queue(state)
}

// guarded is the guard of one service's move at this node.
type guarded struct {
	LocalGuard
	to      string
	through int64
}

// definition hashes what evidence of a service is judged by.
func definition(snapshot *dynamic.Snapshot, service dynamic.Service) uint64 {
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

// send reports what the decider has not acknowledged.
func (s *Service) send(ctx context.Context, service, decider, address string) {
	s.mu.Lock()
	last := s.sent[service]
	s.mu.Unlock()
	if last.Decider != decider {
		last = ack{}
	}
	lines, through := s.reporter.since(service, last.Through)
	report := EvidenceReport{
		Service: service, Reporter: s.options.Instance, Incarnation: s.incarnation, LastClosedPeriod: through, Samples: lines,
	}
	answer, err := s.deliver(ctx, report, decider, address)
	if err != nil {
		return
	}
	if answer.Epoch != last.Epoch && last.Epoch != 0 {
		answer.Through = 0 // the replaced process lacks what its predecessor acknowledged
	}
	s.mu.Lock()
	s.sent[service] = answer
	if answer.Through > 0 {
		s.answered[service] = s.options.Now()
	}
	s.mu.Unlock()
}

func (s *Service) deliver(ctx context.Context, report EvidenceReport, decider, address string) (answer ack, err error) {
	if decider == s.options.Instance {
		return s.receive(ctx, report), nil
	}
	payload, err := encodeReport(report)
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := s.options.Requester.Request(ctx, address, transport.KindMove, payload)
	if err != nil {
		return answer, err
	}
	return answer, cbor.Unmarshal(reply, &answer)
}

// warm notes which versions of the targets beside this node still warm up.
func (r *reporter) warm(self membership.Member, now time.Time) {
	warming := map[versionKey]bool{}
	for _, target := range self.Targets {
		if target.State == membership.Starting ||
			target.State == membership.Ready && now.Before(target.ReadySince.Add(target.Warmup)) {
			warming[versionKey{target.Service, target.Version}] = true
		}
	}
	r.warming.Store(&warming)
}
