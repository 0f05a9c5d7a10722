package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxJoinsPerInterval bounds the joins admitted within joinInterval. The reply
	// to an admitted node holds the complete member table: about 105 KB compressed
	// at 3,800 members, which takes some 10 ms to build.
	maxJoinsPerInterval = 8
	joinInterval        = time.Second
	// minRetryDelay and maxRetryDelay bound the delay after which a rejected node
	// is asked to retry.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// maxAlternatives bounds the addresses of other members in a rejection.
	maxAlternatives = 4
)

// JoinDecision is the reply to a join request.
type JoinDecision struct {
	Admitted bool `cbor:"1,keyasint"`
	// Started is false if the replying node is still joining itself, or is leaving.
	Started bool `cbor:"2,keyasint"`
	// RetryAfter is the delay before the next attempt, encoded in nanoseconds.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Alternatives are addresses of other members that may admit the node.
	Alternatives []string `cbor:"4,keyasint,omitempty"`
}

// admitJoin admits a bounded number of joins per interval and refers the others
// to alternative members. A node that is still joining itself publishes the
// record of the joining node, so that the two merge once they have started.
func (r *Reducer) admitJoin(now time.Time, e JoinRequested) []Effect {
	r.admittedAt = slices.DeleteFunc(r.admittedAt, func(at time.Time) bool { return now.Sub(at) >= joinInterval })
	decision := JoinDecision{Started: r.isStarted && !r.isLeaving}
	if decision.Started && len(r.admittedAt) < maxJoinsPerInterval {
		r.admittedAt = append(r.admittedAt, now)
		decision.Admitted = true
	} else {
		decision.RetryAfter = minRetryDelay + r.jitter(maxRetryDelay-minRetryDelay)
		decision.Alternatives = r.alternatives(e.Member.Address)
	}
	effects := []Effect{ReplyToJoin{ID: e.ID, Decision: decision}}
	if !r.isStarted {
		effects = append(effects, Publish{Member: e.Member})
	}
	return effects
}

// alternatives returns the addresses of random alive members, spread over as
// many failure domains as possible.
func (r *Reducer) alternatives(joiningAddress string) []string {
	var alive []*record
	for _, m := range r.members {
		if m.State == Alive && m.Address != joiningAddress {
			alive = append(alive, m)
		}
	}
	slices.SortFunc(alive, func(a, b *record) int { return cmp.Compare(a.Instance, b.Instance) })
	r.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	countByDomain := make(map[string]int)
	rankInDomain := make(map[*record]int, len(alive))
	for _, m := range alive {
		rankInDomain[m] = countByDomain[m.FailureDomain]
		countByDomain[m.FailureDomain]++
	}
	slices.SortStableFunc(alive, func(a, b *record) int { return cmp.Compare(rankInDomain[a], rankInDomain[b]) })
	var addresses []string
	for _, m := range alive[:min(len(alive), maxAlternatives)] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}
