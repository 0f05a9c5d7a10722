package report

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/platform"
)

// Finding is the result of evaluating a department's service level objective, which
// reports call its promise.
type Finding string

// The results of an evaluation.
const (
	PromiseMet    Finding = "held"
	PromiseMissed Finding = "broken"
	TooFewCalls   Finding = "too few calls"
)

// minCalls is the number of calls below which an objective is not evaluated.
const minCalls = 20

// Report holds the calls of a department between From and To and the evaluation of
// its objective.
type Report struct {
	Department string    `json:"department"`
	From       time.Time `json:"from"`
	To         time.Time `json:"to"`
	// PromisedShare is the objective and GoodShare the measured share of good calls.
	// Limited calls do not count.
	PromisedShare float64 `json:"promised"`
	GoodShare     float64 `json:"share"`
	Finding       Finding `json:"finding"`
	Counts        Counts  `json:"counts"`
	// Slots are the calls per time slot, in order. Slots without calls are left out.
	Slots []SlotCounts `json:"slots"`
	// Complete is set slotSettleTime and writeInterval after To, by when the last
	// counters are normally written.
	Complete bool `json:"complete"`
	// FailureDomains are the failure domains that the report covers.
	FailureDomains []string `json:"domains"`
}

// SlotCounts is the calls of a department in one time slot.
type SlotCounts struct {
	Start  time.Time `json:"start"`
	Counts Counts    `json:"counts"`
}

// periodDuration returns a department's period rounded to whole slots, at least one.
func periodDuration(department dynamic.Department) time.Duration {
	return max(department.Period.Round(SlotDuration), SlotDuration)
}

// maxPeriods bounds the number of reports that PeriodReports returns.
const maxPeriods = 48

// defaultPeriods is the number of reports that PeriodReports returns if since is zero.
const defaultPeriods = 8

// PeriodReports returns a report for each period of the department that begins at or
// after since, oldest first. The last one is the current period. Periods are aligned
// to the zero time of package time, and there are at most maxPeriods. If since is
// zero, the last defaultPeriods are returned.
func PeriodReports(ctx context.Context, store platform.Store, department dynamic.Department, since, now time.Time) ([]Report, error) {
	period := periodDuration(department)
	current := now.Truncate(period)
	if since.IsZero() {
		since = current.Add(-(defaultPeriods - 1) * period)
	}
	if earliest := current.Add(-(maxPeriods - 1) * period); since.Before(earliest) {
		since = earliest
	}
	if aligned := since.Truncate(period); aligned.Before(since) {
		since = aligned.Add(period)
	}
	countsBySlot, domains, err := readCountsBySlot(ctx, store, department.Name, since, now)
	if err != nil {
		return nil, err
	}
	var reports []Report
	for from := since; !from.After(current); from = from.Add(period) {
		reports = append(reports, summarize(department, countsBySlot, domains, from, from.Add(period), now))
	}
	return reports, nil
}

// BuildReport reads the counters of a department between from and to from the
// platform and reports on them. The interval is extended to whole slots. An error
// means that not all counters could be read.
func BuildReport(ctx context.Context, store platform.Store, department dynamic.Department, from, to, now time.Time) (Report, error) {
	from = from.Truncate(SlotDuration)
	if aligned := to.Truncate(SlotDuration); aligned.Before(to) {
		to = aligned.Add(SlotDuration)
	}
	countsBySlot, domains, err := readCountsBySlot(ctx, store, department.Name, from, to)
	if err != nil {
		return Report{}, err
	}
	return summarize(department, countsBySlot, domains, from, to, now), nil
}

// readCountsBySlot returns a department's calls per slot, summed over all failure
// domains, and the names of these domains. Slots are identified by their start in
// seconds since the Unix epoch.
func readCountsBySlot(ctx context.Context, store platform.Store, department string, from, to time.Time) (map[int64]Counts, []string, error) {
	domains, _, err := readIndex(ctx, store)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read index of reports")
	}
	countsBySlot := map[int64]Counts{}
	for _, domain := range domains {
		for start := from.Truncate(ObjectDuration); start.Before(to); start = start.Add(ObjectDuration) {
			content, err := readWithRetry(ctx, store, objectName(domain, start.Unix()))
			if err != nil {
				return nil, nil, eris.Wrapf(err, "read reports of %s at %s", domain, start)
			}
			addContentCounts(countsBySlot, content, department)
		}
	}
	return countsBySlot, domains, nil
}

// summarize builds the report on the slots between from and to.
func summarize(department dynamic.Department, countsBySlot map[int64]Counts, domains []string, from, to, now time.Time) Report {
	r := Report{
		Department: department.Name, From: from.UTC(), To: to.UTC(), PromisedShare: department.PromisedShare, FailureDomains: domains,
		Complete: now.After(to.Add(slotSettleTime + writeInterval)),
	}
	for _, slot := range slices.Sorted(maps.Keys(countsBySlot)) {
		if slot < from.Unix() || slot >= to.Unix() {
			continue
		}
		r.Slots = append(r.Slots, SlotCounts{Start: time.Unix(slot, 0).UTC(), Counts: countsBySlot[slot]})
		r.Counts = r.Counts.plus(countsBySlot[slot])
	}
	r.GoodShare, r.Finding = evaluate(r.Counts, r.PromisedShare)
	return r
}

// readWithRetry reads an object. It retries with backoff while the rate limit of the
// node's platform client rejects the call.
func readWithRetry(ctx context.Context, store platform.Store, name string) (ObjectContent, error) {
	return backoff.Retry(ctx, func() (ObjectContent, error) {
		content, _, err := readObject(ctx, store, name)
		if err != nil && !errors.Is(err, platform.ErrClientRateLimited) {
			err = backoff.Permanent(err)
		}
		return content, err
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
}

// addContentCounts adds the department's counters in content to countsBySlot.
func addContentCounts(countsBySlot map[int64]Counts, content ObjectContent, department string) {
	for _, message := range content.Messages {
		for _, counter := range message.Counters {
			if counter.Department == department {
				countsBySlot[counter.SlotStart] = countsBySlot[counter.SlotStart].plus(counter.Counts)
			}
		}
	}
}

// evaluate returns the share of good calls and whether it meets the objective.
func evaluate(c Counts, promisedShare float64) (goodShare float64, finding Finding) {
	counted := c.Good + c.Bad + c.Refused
	if counted > 0 {
		goodShare = float64(c.Good) / float64(counted)
	}
	switch {
	case counted < minCalls:
		return goodShare, TooFewCalls
	case goodShare >= promisedShare:
		return goodShare, PromiseMet
	}
	return goodShare, PromiseMissed
}
