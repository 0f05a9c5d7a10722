package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// Times of the protocol.
const (
	// TickInterval is how often the reducer expects a Tick.
	TickInterval = 100 * time.Millisecond
	// viewInterval is the shortest time between two views, so that a herd of
	// joins does not rebuild tables for each.
	viewInterval = 100 * time.Millisecond
	// renewalTimeout is the third missed renewal of a target, renewed every 1 s,
	// and half a second for its delay.
	renewalTimeout = 3500 * time.Millisecond
	// pauseGap is the time between ticks from which on the process counts as
	// having been paused; what it missed meanwhile says nothing about others.
	pauseGap = 2 * time.Second
	// refuteInterval bounds how often a node raises its incarnation.
	refuteInterval = time.Second
)

// Event is an input of the Reducer.
type Event interface{ event() }

type (
	// RecordsChanged carries records that won their merge in gossip.
	RecordsChanged struct{ Members []Member }
	// TargetAnnounced is an announcement or its renewal.
	TargetAnnounced struct{ Target Target }
	// TargetRemoved withdraws an announcement.
	TargetRemoved struct{ ID string }
	// PingAnswered and PingFailed report the effect Ping.
	PingAnswered struct{ Instance string }
	// PingFailed says that no answer came in time.
	PingFailed struct{ Instance string }
	// SelfSuspected says that another node has a record of this one that is not alive.
	SelfSuspected struct{ Incarnation uint64 }
	// JoinRequested asks for admission of a joining node.
	JoinRequested struct {
		ID     uint64
		Member Member
	}
	// Started says that this node has joined, or starts alone.
	Started struct{}
	// LeaveRequested says that this node stops.
	LeaveRequested struct{}
	// Tick is the passing of time.
	Tick struct{}
)

func (RecordsChanged) event()  {}
func (TargetAnnounced) event() {}
func (TargetRemoved) event()   {}
func (PingAnswered) event()    {}
func (PingFailed) event()      {}
func (SelfSuspected) event()   {}
func (JoinRequested) event()   {}
func (Started) event()         {}
func (LeaveRequested) event()  {}
func (Tick) event()            {}

// Effect is an output of the Reducer.
type Effect interface{ effect() }

type (
	// Publish spreads a record.
	Publish struct{ Member Member }
	// Ping asks the member whether it is alive.
	Ping struct{ Member Member }
	// Sync compares items with the node at Address.
	Sync struct{ Address string }
	// SetNeighbours replaces the neighbours of gossip.
	SetNeighbours struct{ Neighbours []gossip.Neighbour }
	// PublishView is a new view.
	PublishView struct{ View *View }
	// ReplyToJoin answers JoinRequested.
	ReplyToJoin struct {
		ID       uint64
		Decision JoinDecision
	}
	// CompleteLeave follows the publication of the last record.
	CompleteLeave struct{}
)

func (Publish) effect()       {}
func (Ping) effect()          {}
func (Sync) effect()          {}
func (SetNeighbours) effect() {}
func (PublishView) effect()   {}
func (ReplyToJoin) effect()   {}
func (CompleteLeave) effect() {}

// ReducerOptions are the parameters of a Reducer.
type ReducerOptions struct {
	// Self holds Instance, addresses, Region, FailureDomain and Protocol.
	Self Member
	// BootTime becomes the incarnation, in milliseconds since the epoch.
	BootTime time.Time
	// Seeds are addresses for contact with a part of the fleet that was lost.
	Seeds []string
	// RandomSeed makes random choices reproducible.
	RandomSeed uint64
}

// Reducer is the state machine of one node's membership.
type Reducer struct {
	self    Member
	seeds   []string
	random  *rand.Rand
	members map[string]*record
	// unsettled holds the members that are not alive, whose records change or
	// end with time.
	unsettled map[string]*record
	// byAddress maps addresses of present members to their instances.
	byAddress map[string]string
	targets   map[string]*announcement
	overlay   overlay
	joins     []time.Time
	started   bool
	leaving   bool

	lastTick      time.Time
	nextPing      time.Time
	nextRetry     time.Time
	lastRefute    time.Time
	refutePending bool
	lastView      time.Time
	viewDirty     bool
	overlayDirty  bool
}

// record is what a node knows of another member.
type record struct {
	Member
	probe probe
	// suspectSince is when this node learned of the suspicion, and accuser says
	// that it raised it.
	suspectSince time.Time
	accuser      bool
}

// announcement is a target of this node.
type announcement struct {
	Target
	renewed time.Time
}

// NewReducer returns the state of a node that has just booted.
func NewReducer(s ReducerOptions) *Reducer {
	self := s.Self
	self.Incarnation = uint64(max(s.BootTime.UnixMilli(), 1))
	self.State = Alive
	self.ChangedAt = timestamp(s.BootTime)
	return &Reducer{
		self: self, seeds: s.Seeds, random: rand.New(rand.NewPCG(s.RandomSeed, 1)),
		members: make(map[string]*record), unsettled: make(map[string]*record), byAddress: make(map[string]string),
		targets: make(map[string]*announcement), viewDirty: true,
	}
}

func timestamp(at time.Time) timeline.Timestamp { return timeline.Timestamp{Millis: at.UnixMilli()} }

// Self returns the node's own record.
func (r *Reducer) Self() Member { return r.self }

// Started reports whether the node has joined or started alone.
func (r *Reducer) Started() bool { return r.started }

// MemberState returns the state and incarnation under which instance is known; the
// state is 0 if it is unknown.
func (r *Reducer) MemberState(instance string) (State, uint64) {
	if m, ok := r.members[instance]; ok {
		return m.State, m.Incarnation
	}
	return 0, 0
}

// Step implements reducer.Reducer.
func (r *Reducer) Step(now time.Time, event Event) (effects []Effect) {
	switch e := event.(type) {
	case RecordsChanged:
		for _, m := range e.Members {
			effects = append(effects, r.learn(now, m)...)
		}
	case TargetAnnounced:
		effects = r.announce(now, e.Target)
	case TargetRemoved:
		if _, ok := r.targets[e.ID]; ok {
			delete(r.targets, e.ID)
			effects = r.publishSelf(now)
		}
	case PingAnswered:
		r.pingAnswered(e.Instance)
	case PingFailed:
		effects = r.pingFailed(now, e.Instance)
	case SelfSuspected:
		if e.Incarnation >= r.self.Incarnation {
			effects = r.refute(now, e.Incarnation)
		}
	case JoinRequested:
		effects = r.admit(now, e)
	case Started:
		r.started = true
		effects = r.publishSelf(now)
	case LeaveRequested:
		effects = r.leave(now)
	case Tick:
		effects = r.tick(now)
	}
	return append(effects, r.publishView(now)...)
}

func (r *Reducer) tick(now time.Time) (effects []Effect) {
	if gap := now.Sub(r.lastTick); !r.lastTick.IsZero() && gap > pauseGap {
		r.resume(now, gap)
	}
	r.lastTick = now
	effects = append(effects, r.expireTargets(now)...)
	if r.refutePending && now.Sub(r.lastRefute) >= refuteInterval {
		effects = append(effects, r.refute(now, r.self.Incarnation)...)
	}
	effects = append(effects, r.judge(now)...)
	if !r.started || r.leaving {
		return effects
	}
	effects = append(effects, r.ping(now)...)
	return append(effects, r.retryLost(now)...)
}

// resume forgives what was missed during a pause of this process.
func (r *Reducer) resume(now time.Time, gap time.Duration) {
	for _, t := range r.targets {
		t.renewed = t.renewed.Add(gap)
	}
	for _, m := range r.members {
		m.probe.misses = 0
		if m.State == Suspect {
			m.suspectSince = now
		}
	}
}

// learn takes in a record that won its merge.
func (r *Reducer) learn(now time.Time, m Member) []Effect {
	if m.Instance == r.self.Instance {
		return r.learnSelf(now, m)
	}
	known := r.members[m.Instance]
	if known != nil {
		order := compareRecords(&known.Member, &m)
		if order > 0 || order == 0 && known.ChangedAt == m.ChangedAt {
			return nil
		}
	}
	if known == nil {
		known = &record{}
		r.members[m.Instance] = known
	}
	r.store(now, known, m)
	return r.resolveAddress(now, known)
}

// store replaces the record of a member.
func (r *Reducer) store(now time.Time, known *record, m Member) {
	if known.State.present() != m.State.present() || known.Address != m.Address || known.Region != m.Region {
		r.overlayDirty = true
	}
	if r.byAddress[known.Address] == known.Instance {
		delete(r.byAddress, known.Address)
	}
	if m.State == Suspect && known.State != Suspect {
		known.suspectSince, known.accuser = now, false
	}
	if m.State == Alive && known.State == Suspect && known.accuser {
		known.probe.refuted()
	}
	known.Member = m
	if m.State == Alive {
		delete(r.unsettled, m.Instance)
	} else {
		r.unsettled[m.Instance] = known
	}
	r.viewDirty = true
	if _, taken := r.byAddress[m.Address]; m.State.present() && !taken {
		r.byAddress[m.Address] = m.Instance
	}
}

// learnSelf refutes records of this node that are not its own. The previous
// process of the same instance may have had a higher incarnation if the clock
// was set back.
func (r *Reducer) learnSelf(now time.Time, m Member) []Effect {
	if r.leaving || compareRecords(&m, &r.self) <= 0 {
		return nil
	}
	return r.refute(now, m.Incarnation)
}

// refute raises the incarnation above the one that others hold.
func (r *Reducer) refute(now time.Time, above uint64) []Effect {
	if r.leaving {
		return nil
	}
	if !r.lastRefute.IsZero() && now.Sub(r.lastRefute) < refuteInterval {
		r.self.Incarnation = max(r.self.Incarnation, above)
		r.refutePending = true
		return nil
	}
	r.lastRefute, r.refutePending = now, false
	r.self.Incarnation = max(r.self.Incarnation, above) + 1
	return r.publishSelf(now)
}

// resolveAddress keeps one present member per address: the one with the higher
// incarnation. This node is alive, so it raises its own if it would lose.
func (r *Reducer) resolveAddress(now time.Time, m *record) []Effect {
	if !m.State.present() {
		return nil
	}
	if m.Address == r.self.Address && !r.leaving {
		var effects []Effect
		if m.Incarnation >= r.self.Incarnation {
			effects = r.refute(now, m.Incarnation)
		}
		return append(effects, r.judgeAs(now, m, superseded(m.Member, r.self))...)
	}
	other := r.members[r.byAddress[m.Address]]
	if other == nil || other == m || !other.State.present() {
		return nil
	}
	winner, loser := m, other
	if cmp.Or(cmp.Compare(m.Incarnation, other.Incarnation), cmp.Compare(m.Instance, other.Instance)) < 0 {
		winner, loser = other, m
	}
	effects := r.judgeAs(now, loser, superseded(loser.Member, winner.Member))
	r.byAddress[winner.Address] = winner.Instance
	return effects
}

// judgeAs stores and spreads a judgement of this node on another member.
func (r *Reducer) judgeAs(now time.Time, known *record, m Member) []Effect {
	r.store(now, known, m)
	return []Effect{Publish{Member: m}}
}

func (r *Reducer) announce(now time.Time, t Target) []Effect {
	known := r.targets[t.ID]
	if known == nil {
		if len(r.targets) >= maxTargets {
			return nil
		}
		known = &announcement{}
		r.targets[t.ID] = known
	}
	t.ReadySince = time.Time{}
	if t.State == Ready {
		t.ReadySince = known.ReadySince
		if known.State != Ready {
			t.ReadySince = now.Truncate(time.Millisecond)
		}
	}
	changed := known.Target != t
	known.Target, known.renewed = t, now
	if !changed {
		return nil
	}
	return r.publishSelf(now)
}

func (r *Reducer) expireTargets(now time.Time) []Effect {
	expired := false
	for id, t := range r.targets {
		if now.Sub(t.renewed) >= renewalTimeout {
			delete(r.targets, id)
			expired = true
		}
	}
	if !expired {
		return nil
	}
	return r.publishSelf(now)
}

// publishSelf spreads a new record of this node.
func (r *Reducer) publishSelf(now time.Time) []Effect {
	r.self.Sequence++
	r.self.ChangedAt = timestamp(now)
	r.self.Targets = make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		r.self.Targets = append(r.self.Targets, t.Target)
	}
	slices.SortFunc(r.self.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	r.viewDirty = true
	if !r.started {
		return nil
	}
	return []Effect{Publish{Member: r.self}}
}

func (r *Reducer) leave(now time.Time) []Effect {
	if r.leaving {
		return []Effect{CompleteLeave{}}
	}
	r.leaving = true
	r.self.State = Left
	clear(r.targets)
	return append(r.publishSelf(now), CompleteLeave{})
}

// publishView issues the view and the neighbours if they changed.
func (r *Reducer) publishView(now time.Time) (effects []Effect) {
	if !r.viewDirty || now.Sub(r.lastView) < viewInterval && !r.lastView.IsZero() {
		return nil
	}
	r.viewDirty, r.lastView = false, now
	present := r.present()
	view := &View{Self: r.self, Members: make([]Member, 0, len(present))}
	for _, m := range present {
		view.Members = append(view.Members, *m)
	}
	effects = append(effects, PublishView{View: view})
	if r.overlayDirty {
		r.overlayDirty = false
		next := computeOverlay(&r.self, present)
		if !slices.Equal(next.neighbours, r.overlay.neighbours) {
			effects = append(effects, SetNeighbours{Neighbours: next.neighbours})
		}
		r.overlay = next
	}
	return effects
}

// present returns the members of the view, ordered by instance.
func (r *Reducer) present() []*Member {
	list := make([]*Member, 0, len(r.members)+1)
	if !r.leaving {
		list = append(list, &r.self)
	}
	for _, m := range r.members {
		if m.State.present() {
			list = append(list, &m.Member)
		}
	}
	slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
