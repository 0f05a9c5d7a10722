package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// Timeouts and thresholds of failure detection.
const (
	pingInterval = time.Second
	// maxMissedPings is the initial suspicion threshold: the number of consecutive
	// missed pings after which a member becomes suspect.
	maxMissedPings = 3
	// suspicionTimeout is how long a suspect has to refute the suspicion.
	suspicionTimeout = 3 * time.Second
	// fallbackTimeout is after how long a node other than the suspicion originator
	// declares a suspect dead, in case the originator has failed meanwhile.
	fallbackTimeout = 2 * suspicionTimeout
	// maxThresholdShift bounds how often refuted suspicions double the originator's
	// suspicion threshold for a member. Such an originator has a bad path to a member
	// that others reach, and each suspicion floods two records to all nodes.
	maxThresholdShift = 5
	// repliesPerShiftDecrease is how many consecutive replies halve a raised
	// threshold.
	repliesPerShiftDecrease = 60
	// reconnectInterval is the mean time between two attempts of a node in a small
	// fleet to reach unreachable members. It grows by one interval per
	// membersPerReconnectInterval members, so that the complete fleet makes less
	// than one attempt per second; each costs about 10 KB if the peer is
	// unresponsive.
	reconnectInterval           = 5 * time.Second
	membersPerReconnectInterval = 4
	// roundsPerGatewayPing is the mean number of ping rounds between pings of a
	// gateway to its peers in other regions. These pings only detect when another
	// member of that region has to be contacted.
	roundsPerGatewayPing = 5
)

// probe tracks the results of the pings to one member.
type probe struct {
	missedPings        int
	consecutiveReplies int
	thresholdShift     int
}

func (p *probe) recordReply() {
	p.missedPings = 0
	if p.consecutiveReplies++; p.consecutiveReplies >= repliesPerShiftDecrease {
		p.consecutiveReplies = 0
		p.thresholdShift = max(p.thresholdShift-1, 0)
	}
}

func (p *probe) recordMissedPing() {
	p.missedPings++
	p.consecutiveReplies = 0
}

func (p *probe) recordRefutation() {
	p.missedPings = 0
	p.thresholdShift = min(p.thresholdShift+1, maxThresholdShift)
}

func (p *probe) suspicionThreshold() int { return maxMissedPings << p.thresholdShift }

// sendPings pings the ring successors once per pingInterval and the gateway
// peers in a random fraction of the rounds.
func (r *Reducer) sendPings(now time.Time) (effects []Effect) {
	if now.Before(r.nextPing) {
		return nil
	}
	if r.nextPing.IsZero() {
		// The jitter keeps nodes that started together from pinging in step.
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
	if r.random.IntN(roundsPerGatewayPing) == 0 {
		for _, m := range r.overlay.gateways {
			effects = append(effects, Ping{Member: *m})
		}
	}
	return effects
}

func (r *Reducer) pingAnswered(instance string) {
	if m := r.members[instance]; m != nil {
		m.probe.recordReply()
	}
}

func (r *Reducer) pingFailed(now time.Time, instance string) []Effect {
	m := r.members[instance]
	if m == nil || !m.State.isPresent() || r.isLeaving {
		return nil
	}
	m.probe.recordMissedPing()
	if m.Region != r.self.Region {
		return r.syncWithRegion(m.Region)
	}
	if m.State != Alive || m.probe.missedPings < m.probe.suspicionThreshold() {
		return nil
	}
	effects := r.storeAndPublish(now, m, withState(m.Member, Suspect, timestamp(now)))
	m.isSuspicionOriginator = true
	return effects
}

// syncWithRegion starts an anti-entropy sync with a random member of a region
// whose gateway is unresponsive: the region may have replaced its gateways while
// it was partitioned.
func (r *Reducer) syncWithRegion(region string) []Effect {
	var addresses []string
	for _, m := range r.members {
		if m.Region == region && m.State.isPresent() {
			addresses = append(addresses, m.Address)
		}
	}
	return r.syncWithRandom(addresses)
}

// processTimeouts declares suspects of this region dead that did not refute in
// time, and deletes records whose retention has ended. The time of death is
// derived from the time of the suspicion, so that all nodes derive the same
// record.
func (r *Reducer) processTimeouts(now time.Time) (effects []Effect) {
	var expired []*record
	for instance, m := range r.notAlive {
		switch {
		case m.State == Suspect && m.Region == r.self.Region && !r.isLeaving && m.isSuspicionExpired(now):
			expired = append(expired, m)
		case m.State >= Dead && now.Sub(time.UnixMilli(m.ChangedAt.Millis)) >= deadRetention:
			delete(r.members, instance)
			delete(r.notAlive, instance)
		}
	}
	slices.SortFunc(expired, func(a, b *record) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, m := range expired {
		at := timeline.Timestamp{Millis: m.ChangedAt.Millis + suspicionTimeout.Milliseconds()}
		effects = append(effects, r.storeAndPublish(now, m, withState(m.Member, Dead, at))...)
	}
	return effects
}

func (m *record) isSuspicionExpired(now time.Time) bool {
	if m.isSuspicionOriginator {
		return now.Sub(m.suspectSince) >= suspicionTimeout
	}
	return now.Sub(m.suspectSince) >= fallbackTimeout
}

// reconnectUnreachable starts an anti-entropy sync with one seed, or one dead
// member of this region, that is not part of the view, so that partitioned parts
// of the fleet merge again. Dead members of other regions are contacted by nodes
// of their own region.
func (r *Reducer) reconnectUnreachable(now time.Time) []Effect {
	if now.Before(r.nextReconnect) {
		return nil
	}
	scale := 1 + time.Duration(len(r.members)/membersPerReconnectInterval)
	isFirst := r.nextReconnect.IsZero()
	r.nextReconnect = now.Add(r.jitter(2 * reconnectInterval * scale))
	if isFirst {
		return nil
	}
	var unreachable []string
	for _, address := range r.seeds {
		if r.isAbsent(address) {
			unreachable = append(unreachable, address)
		}
	}
	for _, m := range r.notAlive {
		if m.State == Dead && m.Region == r.self.Region && r.isAbsent(m.Address) {
			unreachable = append(unreachable, m.Address)
		}
	}
	return r.syncWithRandom(unreachable)
}

func (r *Reducer) isAbsent(address string) bool {
	_, present := r.byAddress[address]
	return !present && address != r.self.Address
}

func (r *Reducer) syncWithRandom(addresses []string) []Effect {
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
