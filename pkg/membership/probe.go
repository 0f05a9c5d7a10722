package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// Times and counts of failure detection.
const (
	pingInterval = time.Second
	// maxMisses is how many missed pings in a row make a member suspect.
	maxMisses = 3
	// suspicionTime is what a suspect has to refute the suspicion.
	suspicionTime = 3 * time.Second
	// fallbackTime is after how long a node that did not raise a suspicion
	// confirms it, in case the accuser has died meanwhile.
	fallbackTime = 2 * suspicionTime
	// maxPatience bounds how far refuted suspicions of one accuser raise its
	// threshold, as a power of two. Such an accuser has a bad path to a member
	// that others reach, and each suspicion floods two records to all nodes.
	maxPatience = 5
	// answersToForget is how many answers in a row take one step of patience back.
	answersToForget = 60
	// retryInterval is the mean time between two attempts of a single node to
	// reach lost members. It grows with the fleet, so that the whole fleet makes
	// less than one attempt per second; each costs about 10 KB if nobody answers.
	retryInterval = 5 * time.Second
	retryFleet    = 4
	// gatewayPingEvery is the number of ping rounds between pings of a gateway
	// to its peers in other regions. They only find out when to try another one.
	gatewayPingEvery = 5
)

// probe counts what pings of one member brought.
type probe struct {
	misses   int
	answers  int
	patience int
}

func (p *probe) answered() {
	p.misses = 0
	if p.answers++; p.answers >= answersToForget {
		p.answers = 0
		p.patience = max(p.patience-1, 0)
	}
}

func (p *probe) missed() {
	p.misses++
	p.answers = 0
}

func (p *probe) refuted() {
	p.misses = 0
	p.patience = min(p.patience+1, maxPatience)
}

func (p *probe) threshold() int { return maxMisses << p.patience }

// ping asks the ring successors every second.
func (r *Reducer) ping(now time.Time) (effects []Effect) {
	if now.Before(r.nextPing) {
		return nil
	}
	if r.nextPing.IsZero() {
		// Nodes that start together do not ping in step.
		r.nextPing = now.Add(r.jitter(pingInterval))
		return nil
	}
	r.nextPing = r.nextPing.Add(pingInterval)
	if r.nextPing.Before(now) {
		r.nextPing = now.Add(pingInterval)
	}
	for _, m := range r.overlay.successors {
		effects = append(effects, Ping{Member: *m})
	}
	if r.random.IntN(gatewayPingEvery) == 0 {
		for _, m := range r.overlay.gateways {
			effects = append(effects, Ping{Member: *m})
		}
	}
	return effects
}

func (r *Reducer) pingAnswered(instance string) {
	if m := r.members[instance]; m != nil {
		m.probe.answered()
	}
}

func (r *Reducer) pingFailed(now time.Time, instance string) []Effect {
	m := r.members[instance]
	if m == nil || !m.State.present() || r.leaving {
		return nil
	}
	m.probe.missed()
	if m.Region != r.self.Region {
		return r.tryAnother(m.Region)
	}
	if m.State != Alive || m.probe.misses < m.probe.threshold() {
		return nil
	}
	effects := r.judgeAs(now, m, judged(m.Member, Suspect, timestamp(now)))
	m.accuser = true
	return effects
}

// tryAnother compares with a random member of a region whose gateway does not
// answer: that region may have replaced its gateways while it was cut off.
func (r *Reducer) tryAnother(region string) []Effect {
	var addresses []string
	for _, m := range r.members {
		if m.Region == region && m.State.present() {
			addresses = append(addresses, m.Address)
		}
	}
	return r.syncWithOne(addresses)
}

// judge turns suspects of this region that did not refute in time into dead
// members, and drops records whose retention has ended. The time of death
// follows from the suspicion, so that all nodes derive the same record.
func (r *Reducer) judge(now time.Time) (effects []Effect) {
	var overdue []*record
	for instance, m := range r.unsettled {
		switch {
		case m.State == Suspect && m.Region == r.self.Region && !r.leaving && m.overdue(now):
			overdue = append(overdue, m)
		case m.State >= Dead && now.Sub(time.UnixMilli(m.ChangedAt.Millis)) >= deadRetention:
			delete(r.members, instance)
			delete(r.unsettled, instance)
		}
	}
	slices.SortFunc(overdue, func(a, b *record) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, m := range overdue {
		at := timeline.Timestamp{Millis: m.ChangedAt.Millis + suspicionTime.Milliseconds()}
		effects = append(effects, r.judgeAs(now, m, judged(m.Member, Dead, at))...)
	}
	return effects
}

func (m *record) overdue(now time.Time) bool {
	if m.accuser {
		return now.Sub(m.suspectSince) >= suspicionTime
	}
	return now.Sub(m.suspectSince) >= fallbackTime
}

// retryLost contacts one seed, or dead member of this region, that is not part
// of the view, so that parts of the fleet that lost each other merge again. Dead
// members of other regions are left to their own region.
func (r *Reducer) retryLost(now time.Time) []Effect {
	if now.Before(r.nextRetry) {
		return nil
	}
	scale := 1 + time.Duration(len(r.members)/retryFleet)
	first := r.nextRetry.IsZero()
	r.nextRetry = now.Add(r.jitter(2 * retryInterval * scale))
	if first {
		return nil
	}
	var lost []string
	for _, address := range r.seeds {
		if r.absent(address) {
			lost = append(lost, address)
		}
	}
	for _, m := range r.unsettled {
		if m.State == Dead && m.Region == r.self.Region && r.absent(m.Address) {
			lost = append(lost, m.Address)
		}
	}
	return r.syncWithOne(lost)
}

func (r *Reducer) absent(address string) bool {
	_, present := r.byAddress[address]
	return !present && address != r.self.Address
}

func (r *Reducer) syncWithOne(addresses []string) []Effect {
	if len(addresses) == 0 {
		return nil
	}
	slices.Sort(addresses)
	return []Effect{Sync{Address: addresses[r.random.IntN(len(addresses))]}}
}

// jitter returns a random time below d.
func (r *Reducer) jitter(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d)))
}
