// Package quarantine decides which requests are kept from endpoints because they crash
// the endpoints that run them. It judges by the crashes that all nodes have reported, so
// that all nodes come to the same result. It does no I/O.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurespring/azurespring/pkg/mesh"
)

// Retention is how long crashes and acquittals count.
const Retention = 10 * time.Minute

// maxClockLead is how far a crash or an acquittal may lie ahead of the local clock. One
// beyond was not stored by a node.
const maxClockLead = time.Minute

// The evidence for which a request is quarantined, in half crashes: three crashes soon
// after its start, or six later ones. A request that crashes its endpoint does so when the
// endpoint begins to run it, while the end of an endpoint for another reason hits its
// requests at any time.
const (
	quarantineEvidence = 6
	earlyCrashEvidence = 2
	lateCrashEvidence  = 1
	earlyCrashTime     = 100 * time.Millisecond
)

// minCrashShare is the share of the crashes at a service, from the first to the last one
// of a request, that the request must have been present at. If most endpoints crash
// without it, they crash for another reason.
const minCrashShare = 1.0 / 3

const (
	// sameMoment is the time within which crashes at a service count as one: endpoints
	// that end together have a common reason.
	sameMoment = 250 * time.Millisecond
	// clockSlack is the usual difference between the clocks of two nodes.
	clockSlack = 20 * time.Millisecond
)

// Times between the last crash and the next trial. In a trial, a quarantined request runs
// once, at one endpoint of the fleet; a sound request leaves the quarantine by it. The first
// trial may run at once, because requests that were always running together with the cause
// of the crashes are quarantined with it. A request that crashes each endpoint takes away
// three more in the minutes after its quarantine began.
const (
	secondTrialDelay = 20 * time.Second
	trialDelayFactor = 6
)

// Suspicion is what is known of a request that endpoints have crashed with.
type Suspicion struct {
	// Crashes is the number of crashes that the request is suspected of. Those of endpoints
	// that it reached before an earlier one of them are left out.
	Crashes int
	// IsQuarantined is set if the request is kept from endpoints.
	IsQuarantined bool
	// Trials is the number of trials that ended with a crash.
	Trials int
	// TrialInstance is the instance whose node admits the next trial. It differs from request
	// to request, so that the cause of the crashes takes no other trial away.
	TrialInstance string
	// LastAt is the time of the last crash by the clock of its node.
	LastAt time.Time
}

// TrialDueAt returns the time from which the next trial may run.
func (s Suspicion) TrialDueAt() time.Time { return s.LastAt.Add(s.TrialDelay()) }

// TrialDelay returns the time between the last crash and the next trial.
func (s Suspicion) TrialDelay() time.Duration {
	if s.Trials == 0 {
		return 0
	}
	delay := secondTrialDelay
	for range s.Trials - 1 {
		if delay *= trialDelayFactor; delay >= Retention {
			return Retention
		}
	}
	return delay
}

// event is one crash with one of its suspects.
type event struct {
	instance  string
	service   string
	at, began int64
	isTrial   bool
}

// Evaluate returns the suspicions that follow from the entries of all instances.
func Evaluate(now time.Time, instances []mesh.Instance) map[mesh.Fingerprint]Suspicion {
	oldest, newest := now.Add(-Retention).UnixMilli(), now.Add(maxClockLead).UnixMilli()
	acquittedAt := make(map[mesh.Fingerprint]int64)
	for _, i := range instances {
		for _, a := range i.Acquittals {
			if a.AtUnixMs > oldest && a.AtUnixMs <= newest {
				acquittedAt[a.Request] = max(acquittedAt[a.Request], a.AtUnixMs)
			}
		}
	}
	events := make(map[mesh.Fingerprint][]event)
	crashTimes := make(map[string][]int64)
	for _, i := range instances {
		for _, c := range i.Crashes {
			if c.AtUnixMs <= oldest || c.AtUnixMs > newest {
				continue
			}
			crashTimes[c.Service] = append(crashTimes[c.Service], c.AtUnixMs)
			for _, s := range c.Suspects {
				if c.AtUnixMs > acquittedAt[s.Request] {
					events[s.Request] = append(events[s.Request], event{instance: i.Name, service: c.Service, at: c.AtUnixMs, began: s.BeganUnixMs, isTrial: s.IsTrial})
				}
			}
		}
	}
	if len(events) == 0 {
		return nil
	}
	for _, times := range crashTimes {
		slices.Sort(times)
	}
	suspicions := make(map[mesh.Fingerprint]Suspicion, len(events))
	for request, list := range events {
		s := suspicionOf(list, crashTimes)
		if s.IsQuarantined {
			s.TrialInstance = trialInstance(request, list[0].service, instances)
		}
		suspicions[request] = s
	}
	return suspicions
}

// trialInstance chooses one of the instances with an endpoint of the service by rendezvous
// hashing; "" if there is none.
func trialInstance(request mesh.Fingerprint, service string, instances []mesh.Instance) string {
	name, highest := "", uint64(0)
	for _, i := range instances {
		if !slices.ContainsFunc(i.Endpoints, func(e mesh.Endpoint) bool { return e.Service == service }) {
			continue
		}
		if hash := xxhash.Sum64String(string(request) + "/" + i.Name); name == "" || hash > highest || hash == highest && i.Name < name {
			name, highest = i.Name, hash
		}
	}
	return name
}

// suspicionOf counts the crashes of one request. The request must have been sent to an
// endpoint after the crash before: endpoints that end together for another reason all have
// requests that they began earlier.
func suspicionOf(events []event, crashTimes map[string][]int64) Suspicion {
	slices.SortFunc(events, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.began, b.began), cmp.Compare(a.instance, b.instance))
	})
	var s Suspicion
	var first, last event
	evidence := 0
	for _, e := range events {
		if s.Crashes > 0 && e.began < last.at-clockSlack.Milliseconds() {
			continue
		}
		if s.Crashes == 0 {
			first = e
		}
		last = e
		s.Crashes++
		if e.isTrial {
			s.Trials++
		}
		if e.at-e.began <= earlyCrashTime.Milliseconds() {
			evidence += earlyCrashEvidence
		} else {
			evidence += lateCrashEvidence
		}
		share := float64(s.Crashes) / float64(max(countMoments(crashTimes[e.service], first.at, last.at), 1))
		s.IsQuarantined = s.IsQuarantined || evidence >= quarantineEvidence && share >= minCrashShare
	}
	s.LastAt = time.UnixMilli(last.at)
	return s
}

// countMoments counts the sorted times between first and last, both included. Times within
// sameMoment of the first one of a moment count as one.
func countMoments(times []int64, first, last int64) int {
	count, moment := 0, int64(0)
	for _, at := range times {
		if at < first || at > last {
			continue
		}
		if count == 0 || at-moment > sameMoment.Milliseconds() {
			count++
			moment = at
		}
	}
	return count
}
