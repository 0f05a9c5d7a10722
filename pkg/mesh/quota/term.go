package quota

import "time"

const (
	// minWriteInterval is the shortest time between two writes of a term.
	minWriteInterval = 300 * time.Millisecond
	// wantedTime is how long a node that was asked for a grant tries to become granter.
	wantedTime = 2 * time.Second
	// retryTime is when a holder asks again while a node takes over, waitRetryTime while
	// that node waits for the end of another term.
	retryTime     = 50 * time.Millisecond
	waitRetryTime = 200 * time.Millisecond
	// minReadInterval is the time between two reads of a term by one node.
	minReadInterval = 500 * time.Millisecond
	// observationTime is how long a term that was read counts as known.
	observationTime = 15 * time.Second
)

// term is a granter's view of the stored term of its slot.
type term struct {
	// number is the term of this node, 0 if it has none. It grants until grantUntil.
	number     uint64
	grantUntil time.Duration
	version    string
	// declared holds the tenants that the stored term lists as shared, and undeclared those
	// that the next write is to list.
	declared   map[uint32]bool
	undeclared map[uint32]bool
	// highest is the highest term that any node is known to have seen.
	highest     uint64
	wantedUntil time.Duration
	// era is the highest known era of the store, 0 if it was never restored. It is known
	// since eraSince.
	era      uint64
	eraSince time.Duration

	// observed is the term of another node, or of an earlier process, as it was read at
	// observedAt. hasObserved is set once the store has been read.
	observed        Record
	observedVersion string
	observedAt      time.Duration
	hasObserved     bool
	isMissing       bool
	readAt          time.Duration
	hasRead         bool

	isCalling   bool
	isUncertain bool
	// isLost is set if the stored object of this node's term has to be created again.
	isLost      bool
	isReleasing bool
	writeAt     time.Duration
}

func (t *term) grants(now time.Duration) bool {
	return t.number > 0 && now < t.grantUntil && !t.isReleasing
}

// declare reports whether holders may get shares of a tenant. If not, the next write lists
// the tenant.
func (t *term) declare(tenant string) bool {
	hash := hashOf(tenant)
	if t.declared[hash] {
		return true
	}
	t.undeclared[hash] = true
	return false
}

// otherGranter returns the node that has the term as far as is known, "" for none.
func (t *term) otherGranter(self string) string {
	if t.number > 0 || !t.hasObserved || t.isMissing || t.observed.State != StateHeld || t.observed.Node == self {
		return ""
	}
	return t.observed.Node
}

// Term returns the term of this node and whether it grants.
func (g *Granter) Term(now time.Duration) (number uint64, grants bool) {
	return g.term.number, g.term.grants(now)
}

// Slot returns the slot of the granter.
func (g *Granter) Slot() int { return g.slot }

// IsActive reports whether Step has to be called regularly.
func (g *Granter) IsActive(now time.Duration) bool {
	return g.term.number > 0 || g.term.isCalling || now < g.term.wantedUntil
}

// UnknownRecord returns the record of a term that cannot be read.
func UnknownRecord() Record { return Record{State: StateHeld, Node: "?", Sharing: sharing{All: true}} }

// Release ends the term at the next call of Step. Another node may take over then.
func (g *Granter) Release() { g.term.isReleasing = true }

// Step returns the call of the store that is due; Complete takes its result.
func (g *Granter) Step(now time.Duration) (StoreCall, bool) {
	t := &g.term
	if t.isCalling {
		return StoreCall{}, false
	}
	call := StoreCall{Slot: g.slot, started: now, era: t.era}
	switch {
	case t.number > 0:
		if !g.stepTerm(now, &call) {
			return StoreCall{}, false
		}
	case now >= t.wantedUntil || t.isReleasing || !g.isLoaded():
		return StoreCall{}, false
	case !t.hasObserved || now >= t.observedAt+observationTime:
		if t.hasRead && now < t.readAt+minReadInterval {
			return StoreCall{}, false
		}
		call.Verb = StoreGet
		t.readAt, t.hasRead = now, true
	case t.mayTakeOver(now, g.name):
		call.Verb, call.Record, call.Version = StoreUpdate, g.nextRecord(now), t.observedVersion
		if t.isMissing {
			call.Verb = StoreCreate
		}
	default:
		return StoreCall{}, false
	}
	t.isCalling = true
	return call, true
}

// SetPhase sets the time that is added to the clock for the times of writes. If it is the
// same time of day at all nodes, the granters write at about the same moments, so that those
// who watch the kind are woken once for all slots.
func (g *Granter) SetPhase(phase time.Duration) { g.phase = phase }

// nextWrite returns when to write after a write at now.
func (g *Granter) nextWrite(now time.Duration) time.Duration {
	wait := writeInterval - (now+g.phase)%writeInterval
	if wait < minWriteInterval {
		wait += writeInterval
	}
	return now + wait
}

// stepTerm sets the call that a granter needs.
func (g *Granter) stepTerm(now time.Duration, call *StoreCall) bool {
	t := &g.term
	if now < t.writeAt && (!t.isReleasing || t.grantUntil == 0) {
		return false
	}
	t.writeAt = g.nextWrite(now)
	if t.isReleasing {
		t.grantUntil = 0
	}
	if t.isUncertain {
		call.Verb = StoreGet
		return true
	}
	call.Verb, call.Version = StoreUpdate, t.version
	if t.isLost {
		call.Verb = StoreCreate
	}
	call.Record = Record{Slot: g.slot, Node: g.name, Term: t.number, Incarnation: g.incarnation, State: StateHeld, Era: t.era}
	if g.sweep(now); g.isIdle(now) {
		call.Record.State = StateIdle
	} else if t.isReleasing {
		call.Record.State = StateReleased
	}
	call.Record.Sharing = g.declareNext()
	if call.Record.State != StateHeld {
		t.grantUntil = 0 // Nothing is granted once the end of the term may be stored.
	}
	return true
}

// recordDeclared records that the stored term lists the given tenants.
func (t *term) recordDeclared(listed sharing, limits map[string]Limit) {
	if listed.All {
		for tenant := range limits {
			t.declared[hashOf(tenant)] = true
		}
	}
	for _, hash := range listed.Tenants {
		t.declared[hash] = true
	}
	for hash := range t.declared {
		delete(t.undeclared, hash)
	}
}

// declareNext returns the tenants that the next write lists as shared. Until it succeeds,
// only tenants that are listed before and after it may get shares.
func (g *Granter) declareNext() sharing {
	t, next := &g.term, g.sharing()
	for hash := range t.undeclared {
		next.Tenants = append(next.Tenants, hash)
	}
	next.normalize()
	for hash := range t.declared {
		if !next.hasHash(hash) {
			delete(t.declared, hash)
		}
	}
	return next
}

// mayTakeOver reports whether the observed term has ended.
func (t *term) mayTakeOver(now time.Duration, name string) bool {
	switch {
	case now >= t.observedAt+TakeOverTime:
		return true
	case t.mayBeLost():
		// A granter that lives has written its term in this era by then, or has ended it.
		return now >= t.eraSince+TakeOverTime
	case t.isMissing:
		return t.highest == 0
	case t.observed.Term < t.highest:
		return false // The store is back from an old copy: the true term is not known.
	}
	return t.observed.State != StateHeld || t.observed.Node == name
}

// mayBeLost reports whether the store may have lost a later term than the observed one, when it
// was restored from a copy. What was written in this era is the latest.
func (t *term) mayBeLost() bool { return isOfEarlierEra(t.observed, t.isMissing, t.era) }

// isOfEarlierEra reports whether a record, or the lack of one, is from before the store was
// restored for the last time.
func isOfEarlierEra(r Record, isMissing bool, era uint64) bool {
	return era > 0 && (isMissing || r.Era < era)
}

// isFreshStart reports whether no lease of an earlier term can be in use.
func (g *Granter) isFreshStart(now time.Duration) bool {
	t := &g.term
	switch {
	case t.mayBeLost():
		return now >= t.eraSince+TakeOverTime+g.idleTime()
	case t.isMissing:
		return t.highest == 0
	}
	return t.observed.State == StateIdle && t.observed.Term >= t.highest
}

// eraTermBits is the number of bits by which the terms of an era are counted: a term that
// begins in an era is higher than all that began before, also than those the store has lost.
const eraTermBits = 32

func (g *Granter) nextRecord(now time.Duration) Record {
	t := &g.term
	r := Record{
		Slot: g.slot, Node: g.name, Term: max(t.highest, t.observed.Term, t.era<<eraTermBits) + 1, Incarnation: g.incarnation, State: StateHeld, Era: t.era,
	}
	switch {
	case g.isFreshStart(now):
	case t.mayBeLost(), t.observed.Term < t.highest:
		r.Sharing.All = true // The term that was lost may have shared any.
	default:
		r.Sharing = t.observed.Sharing
	}
	return r
}

// SetEra records that the store is known to be in an era since the given time. It rises each time
// the store is restored from a copy, which may have lost terms.
func (g *Granter) SetEra(since time.Duration, era uint64) {
	t := &g.term
	switch {
	case era == t.era:
		t.eraSince = min(t.eraSince, since)
	case era > t.era:
		t.era, t.eraSince = era, since
		t.hasObserved = false
		if t.number > 0 {
			t.isUncertain, t.writeAt = true, since
		}
	}
}

// Complete applies the result of a call that Step returned.
func (g *Granter) Complete(now time.Duration, call StoreCall, result StoreResult) {
	t := &g.term
	t.isCalling = false
	g.SetEra(now, result.Era)
	if isCrossed := call.era < t.era; isCrossed && (call.Verb != StoreGet || result.Era < t.era) {
		// The store was restored meanwhile, with or without what was written.
		result.Outcome = StoreUnknown
	}
	switch {
	case call.Verb == StoreGet:
		g.completeRead(now, result)
	case t.number > 0:
		g.completeRenewal(now, call, result)
	case result.Outcome == StoreOK:
		isFresh := g.isFreshStart(now)
		t.number, t.version, t.grantUntil, t.writeAt = call.Record.Term, result.Version, call.started+TermTime, g.nextWrite(call.started)
		t.highest = max(t.highest, t.number)
		t.isUncertain, t.isLost, t.hasObserved = false, false, false
		t.declared, t.undeclared = make(map[uint32]bool), make(map[uint32]bool)
		g.begin(now, isFresh, call.Record.Sharing)
	default:
		t.hasObserved = false
	}
}

func (g *Granter) completeRead(now time.Duration, result StoreResult) {
	t := &g.term
	if result.Outcome != StoreOK && result.Outcome != StoreNotFound {
		return
	}
	t.highest = max(t.highest, result.Record.Term)
	isOwn := result.Outcome == StoreOK && t.number > 0 && result.Record.Node == g.name && result.Record.Incarnation == g.incarnation
	isMissing := result.Outcome == StoreNotFound
	mayBeLost := isOfEarlierEra(result.Record, isMissing, t.era)
	if isOwn && result.Record.Term <= t.number && result.Record.State == StateHeld && (!mayBeLost || t.grants(now)) {
		// The store may be back from an old copy, with an earlier write of this process.
		t.version, t.isUncertain, t.isLost, t.writeAt = result.Version, false, false, now
		return
	}
	if mayBeLost && t.grants(now) && t.highest <= t.number {
		// The store has lost the term. No other node takes over before it has ended.
		t.version, t.isUncertain, t.isLost, t.writeAt = result.Version, false, isMissing, now
		return
	}
	g.lose()
	t.observed, t.observedVersion, t.observedAt = result.Record, result.Version, now
	t.hasObserved, t.isMissing = true, isMissing
	if t.isMissing {
		t.observed = Record{}
	}
}

func (g *Granter) completeRenewal(now time.Duration, call StoreCall, result StoreResult) {
	t := &g.term
	switch {
	case result.Outcome == StoreOK && call.Record.State != StateHeld:
		g.lose()
		t.observed, t.observedVersion, t.observedAt = call.Record, result.Version, now
		t.hasObserved, t.isMissing = true, false
	case result.Outcome == StoreOK:
		t.version, t.isLost = result.Version, false
		t.grantUntil = max(t.grantUntil, call.started+TermTime)
		t.recordDeclared(call.Record.Sharing, g.limits)
	case result.Outcome == StoreConflict || result.Outcome == StoreNotFound:
		t.isUncertain, t.writeAt = true, now
	default:
		t.isUncertain, t.writeAt = true, now+retryTime
	}
}

// lose ends the term of this node without a write.
func (g *Granter) lose() {
	t := &g.term
	t.number, t.grantUntil, t.version, t.isUncertain, t.isLost = 0, 0, "", false, false
	g.holders, g.tenants, g.unreported = nil, nil, nil
}
