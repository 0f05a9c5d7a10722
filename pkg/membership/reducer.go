package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// Intervals and timeouts of the protocol.
const (
	// TickInterval is how often the reducer expects a Tick.
	TickInterval = 100 * time.Millisecond
	// viewInterval is the shortest time between two views, so that a mass join
	// does not rebuild the view for each node.
	viewInterval = 100 * time.Millisecond
	// renewalTimeout is after how long without renewal a target expires. Targets
	// renew their announcement every 1 s: the timeout covers three missed renewals
	// and a delay of half a second.
	renewalTimeout = 3500 * time.Millisecond
	// minPauseGap is the time between two ticks above which the process is taken to
	// have been paused. Pings and renewals that it missed meanwhile do not count.
	minPauseGap = 2 * time.Second
	// refutationInterval is the shortest time between two increments of a node's
	// own incarnation.
	refutationInterval = time.Second
)

// Event is an input of the Reducer.
type Event interface{ event() }

type (
	// RecordsChanged carries records that won their merge in gossip.
	RecordsChanged struct{ Members []Member }
	// TargetAnnounced announces a target of this node or renews the announcement.
	TargetAnnounced struct{ Target Target }
	// TargetRemoved deregisters a target of this node.
	TargetRemoved struct{ ID string }
	// PingAnswered says that the member replied to a Ping in time.
	PingAnswered struct{ Instance string }
	// PingFailed says that the member did not reply to a Ping in time.
	PingFailed struct{ Instance string }
	// SelfSuspected says that another node holds a record of this node, with the
	// given incarnation, that is not alive.
	SelfSuspected struct{ Incarnation uint64 }
	// JoinRequested asks for admission of a joining node.
	JoinRequested struct {
		ID     uint64
		Member Member
	}
	// Started says that this node has joined, or starts standalone.
	Started struct{}
	// LeaveRequested says that this node leaves the cluster.
	LeaveRequested struct{}
	// Tick is sent every TickInterval.
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
	// Publish distributes a record to all nodes.
	Publish struct{ Member Member }
	// Ping sends a ping to the member.
	Ping struct{ Member Member }
	// Sync starts an anti-entropy sync with the node at Address.
	Sync struct{ Address string }
	// SetNeighbours replaces the neighbours of gossip.
	SetNeighbours struct{ Neighbours []gossip.Neighbour }
	// PublishView passes a new view to the listeners.
	PublishView struct{ View *View }
	// ReplyToJoin is the reply to the JoinRequested event with the same ID.
	ReplyToJoin struct {
		ID       uint64
		Decision JoinDecision
	}
	// CompleteLeave says that the record with state Left has been published.
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
	// Self holds Instance, addresses, Region, FailureDomain and ProtocolVersion.
	Self Member
	// BootTime becomes the incarnation, in milliseconds since the Unix
	// epoch.
	BootTime time.Time
	// Seeds are addresses that are contacted while their nodes are not part of the
	// view.
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
	// notAlive holds the suspect, dead and left members, whose records change or
	// expire with time.
	notAlive map[string]*record
	// byAddress maps addresses of present members to their instances.
	byAddress  map[string]string
	targets    map[string]*announcement
	overlay    overlay
	admittedAt []time.Time
	isStarted  bool
	isLeaving  bool

	lastTick            time.Time
	nextPing            time.Time
	nextReconnect       time.Time
	lastRefutation      time.Time
	isRefutationPending bool
	lastView            time.Time
	isViewDirty         bool
	isOverlayDirty      bool
}

// record is what a node knows of another member.
type record struct {
	Member
	probe probe
	// suspectSince is when this node learned of the suspicion.
	// isSuspicionOriginator is set if this node raised it.
	suspectSince          time.Time
	isSuspicionOriginator bool
}

// announcement is a target of this node.
type announcement struct {
	Target
	renewedAt time.Time
}

// NewReducer returns the state of a node that has just started.
func NewReducer(options ReducerOptions) *Reducer {
	self := options.Self
	self.Incarnation = uint64(max(options.BootTime.UnixMilli(), 1))
	self.State = Alive
	self.ChangedAt = timestamp(options.BootTime)
	return &Reducer{
		self: self, seeds: options.Seeds, random: rand.New(rand.NewPCG(options.RandomSeed, 1)),
		members: make(map[string]*record), notAlive: make(map[string]*record), byAddress: make(map[string]string),
		targets: make(map[string]*announcement), isViewDirty: true,
	}
}

func timestamp(at time.Time) timeline.Timestamp { return timeline.Timestamp{Millis: at.UnixMilli()} }

// Self returns the node's own record.
func (r *Reducer) Self() Member { return r.self }

// Started reports whether the node has joined or started standalone.
func (r *Reducer) Started() bool { return r.isStarted }

// MemberState returns the known state and incarnation of instance. The state is 0
// if the instance is unknown.
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
			effects = append(effects, r.applyRecord(now, m)...)
		}
	case TargetAnnounced:
		effects = r.announceTarget(now, e.Target)
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
		effects = r.admitJoin(now, e)
	case Started:
		r.isStarted = true
		effects = r.publishSelf(now)
	case LeaveRequested:
		effects = r.leave(now)
	case Tick:
		effects = r.tick(now)
	}
	return append(effects, r.publishView(now)...)
}

func (r *Reducer) tick(now time.Time) (effects []Effect) {
	if gap := now.Sub(r.lastTick); !r.lastTick.IsZero() && gap > minPauseGap {
		r.resumeAfterPause(now, gap)
	}
	r.lastTick = now
	effects = append(effects, r.expireTargets(now)...)
	if r.isRefutationPending && now.Sub(r.lastRefutation) >= refutationInterval {
		effects = append(effects, r.refute(now, r.self.Incarnation)...)
	}
	effects = append(effects, r.processTimeouts(now)...)
	if !r.isStarted || r.isLeaving {
		return effects
	}
	effects = append(effects, r.sendPings(now)...)
	return append(effects, r.reconnectUnreachable(now)...)
}

// resumeAfterPause extends the renewal and suspicion timeouts that ran during a
// pause of this process, and resets the counts of missed pings.
func (r *Reducer) resumeAfterPause(now time.Time, gap time.Duration) {
	for _, t := range r.targets {
		t.renewedAt = t.renewedAt.Add(gap)
	}
	for _, m := range r.members {
		m.probe.missedPings = 0
		if m.State == Suspect {
			m.suspectSince = now
		}
	}
}

// applyRecord applies a record that won its merge.
func (r *Reducer) applyRecord(now time.Time, m Member) []Effect {
	if m.Instance == r.self.Instance {
		return r.applySelfRecord(now, m)
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
	r.storeRecord(now, known, m)
	return r.resolveAddress(now, known)
}

// storeRecord replaces the record of a member.
func (r *Reducer) storeRecord(now time.Time, known *record, m Member) {
	if known.State.isPresent() != m.State.isPresent() || known.Address != m.Address || known.Region != m.Region {
		r.isOverlayDirty = true
	}
	if r.byAddress[known.Address] == known.Instance {
		delete(r.byAddress, known.Address)
	}
	if m.State == Suspect && known.State != Suspect {
		known.suspectSince, known.isSuspicionOriginator = now, false
	}
	if m.State == Alive && known.State == Suspect && known.isSuspicionOriginator {
		known.probe.recordRefutation()
	}
	known.Member = m
	if m.State == Alive {
		delete(r.notAlive, m.Instance)
	} else {
		r.notAlive[m.Instance] = known
	}
	r.isViewDirty = true
	if _, isTaken := r.byAddress[m.Address]; m.State.isPresent() && !isTaken {
		r.byAddress[m.Address] = m.Instance
	}
}

// applySelfRecord refutes records of this node that it did not publish itself.
// The previous process of the same instance may have had a higher incarnation if
// the clock was set back.
func (r *Reducer) applySelfRecord(now time.Time, m Member) []Effect {
	if r.isLeaving || compareRecords(&m, &r.self) <= 0 {
		return nil
	}
	return r.refute(now, m.Incarnation)
}

// refute publishes a record with a higher incarnation than above, the one that
// other nodes hold. Within refutationInterval of the last refutation it defers
// that to a later tick.
func (r *Reducer) refute(now time.Time, above uint64) []Effect {
	if r.isLeaving {
		return nil
	}
	if !r.lastRefutation.IsZero() && now.Sub(r.lastRefutation) < refutationInterval {
		r.self.Incarnation = max(r.self.Incarnation, above)
		r.isRefutationPending = true
		return nil
	}
	r.lastRefutation, r.isRefutationPending = now, false
	r.self.Incarnation = max(r.self.Incarnation, above) + 1
	return r.publishSelf(now)
}

// resolveAddress keeps one present member per address, the one with the higher
// incarnation, and declares the other one left. This node is alive, so it raises
// its own incarnation if that is not higher.
func (r *Reducer) resolveAddress(now time.Time, m *record) []Effect {
	if !m.State.isPresent() {
		return nil
	}
	if m.Address == r.self.Address && !r.isLeaving {
		var effects []Effect
		if m.Incarnation >= r.self.Incarnation {
			effects = r.refute(now, m.Incarnation)
		}
		return append(effects, r.storeAndPublish(now, m, superseded(m.Member, r.self))...)
	}
	other := r.members[r.byAddress[m.Address]]
	if other == nil || other == m || !other.State.isPresent() {
		return nil
	}
	winner, loser := m, other
	if cmp.Or(cmp.Compare(m.Incarnation, other.Incarnation), cmp.Compare(m.Instance, other.Instance)) < 0 {
		winner, loser = other, m
	}
	effects := r.storeAndPublish(now, loser, superseded(loser.Member, winner.Member))
	r.byAddress[winner.Address] = winner.Instance
	return effects
}

// storeAndPublish stores and publishes a record of another member whose state
// this node has declared.
func (r *Reducer) storeAndPublish(now time.Time, known *record, m Member) []Effect {
	r.storeRecord(now, known, m)
	return []Effect{Publish{Member: m}}
}

func (r *Reducer) announceTarget(now time.Time, t Target) []Effect {
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
	known.Target, known.renewedAt = t, now
	if !changed {
		return nil
	}
	return r.publishSelf(now)
}

func (r *Reducer) expireTargets(now time.Time) []Effect {
	expired := false
	for id, t := range r.targets {
		if now.Sub(t.renewedAt) >= renewalTimeout {
			delete(r.targets, id)
			expired = true
		}
	}
	if !expired {
		return nil
	}
	return r.publishSelf(now)
}

// publishSelf updates the record of this node and, once started, publishes it.
func (r *Reducer) publishSelf(now time.Time) []Effect {
	r.self.Sequence++
	r.self.ChangedAt = timestamp(now)
	r.self.Targets = make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		r.self.Targets = append(r.self.Targets, t.Target)
	}
	slices.SortFunc(r.self.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	r.isViewDirty = true
	if !r.isStarted {
		return nil
	}
	return []Effect{Publish{Member: r.self}}
}

func (r *Reducer) leave(now time.Time) []Effect {
	if r.isLeaving {
		return []Effect{CompleteLeave{}}
	}
	r.isLeaving = true
	r.self.State = Left
	clear(r.targets)
	return append(r.publishSelf(now), CompleteLeave{})
}

// publishView emits the view and the gossip neighbours if they changed, at most
// once per viewInterval.
func (r *Reducer) publishView(now time.Time) (effects []Effect) {
	if !r.isViewDirty || now.Sub(r.lastView) < viewInterval && !r.lastView.IsZero() {
		return nil
	}
	r.isViewDirty, r.lastView = false, now
	present := r.presentMembers()
	view := &View{Self: r.self, Members: make([]Member, 0, len(present))}
	for _, m := range present {
		view.Members = append(view.Members, *m)
	}
	effects = append(effects, PublishView{View: view})
	if r.isOverlayDirty {
		r.isOverlayDirty = false
		next := computeOverlay(&r.self, present)
		if !slices.Equal(next.neighbours, r.overlay.neighbours) {
			effects = append(effects, SetNeighbours{Neighbours: next.neighbours})
		}
		r.overlay = next
	}
	return effects
}

// presentMembers returns the members of the view, ordered by instance.
func (r *Reducer) presentMembers() []*Member {
	list := make([]*Member, 0, len(r.members)+1)
	if !r.isLeaving {
		list = append(list, &r.self)
	}
	for _, m := range r.members {
		if m.State.isPresent() {
			list = append(list, &m.Member)
		}
	}
	slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
