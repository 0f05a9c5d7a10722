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

// Finding says whether a promise held.
type Finding string

// The findings on a promise.
const (
	PromiseMet    Finding = "held"
	PromiseMissed Finding = "broken"
	TooFewCalls   Finding = "too few calls"
)

// minCalls is the number of calls below which nothing is said about a promise.
const minCalls = 20

// Report is a department's calls in one period.
type Report struct {
	Department string    `json:"department"`
	From       time.Time `json:"from"`
	To         time.Time `json:"to"`
	// PromisedShare and Share are the promised and the actual share of good calls.
	// Limited calls do not count.
	PromisedShare float64 `json:"promised"`
	GoodShare     float64 `json:"share"`
	Finding       Finding `json:"finding"`
	Counts        Counts  `json:"counts"`
	// Slots are the calls over time, in order.
	Slots []SlotCounts `json:"slots"`
	// Complete is false while the period or the writing of its counters lasts.
	Complete bool `json:"complete"`
	// FailureDomains are the failure domains that the report covers.
	FailureDomains []string `json:"domains"`
}

// SlotCounts is a department's calls in one slot.
type SlotCounts struct {
	Start  time.Time `json:"start"`
	Counts Counts    `json:"counts"`
}

// length is a department's period in whole slots.
func length(department dynamic.Department) time.Duration {
	return max(department.Period.Round(SlotDuration), SlotDuration)
}

// maxPeriods bounds the periods of one call of Periods.
const maxPeriods = 48

// defaultPeriods is the number of periods that Periods gives if since is zero.
const defaultPeriods = 8

// PeriodReports returns a report for each period of the department that begins at or
// after since, oldest first; the last one is under way. Periods are aligned to
// the Unix epoch. A zero since gives the last defaultPeriods.
func PeriodReports(ctx context.Context, store platform.Store, department dynamic.Department, since, now time.Time) ([]Report, error) {
	span := length(department)
	current := now.Truncate(span)
	if since.IsZero() {
		since = current.Add(-(defaultPeriods - 1) * span)
	}
	if earliest := current.Add(-(maxPeriods - 1) * span); since.Before(earliest) {
		since = earliest
	}
	if aligned := since.Truncate(span); aligned.Before(since) {
		since = aligned.Add(span)
	}
	by, domains, err := readSlots(ctx, store, department.Name, since, now)
	if err != nil {
		return nil, err
	}
	var reports []Report
	for from := since; !from.After(current); from = from.Add(span) {
		reports = append(reports, summarize(department, by, domains, from, from.Add(span), now))
	}
	return reports, nil
}

// BuildReport reads the counters of a department between from and to from the
// platform. The span is widened to whole slots. An error means that the
// platform did not give all counters.
func BuildReport(ctx context.Context, store platform.Store, department dynamic.Department, from, to, now time.Time) (Report, error) {
	from = from.Truncate(SlotDuration)
	if end := to.Truncate(SlotDuration); end.Before(to) {
		to = end.Add(SlotDuration)
	}
	by, domains, err := readSlots(ctx, store, department.Name, from, to)
	if err != nil {
		return Report{}, err
	}
	return summarize(department, by, domains, from, to, now), nil
}

// readSlots sums a department's calls per slot over all failure domains.
func readSlots(ctx context.Context, store platform.Store, department string, from, to time.Time) (map[int64]Counts, []string, error) {
	domains, _, err := readIndex(ctx, store)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read index of reports")
	}
	by := map[int64]Counts{}
	for _, domain := range domains {
		for start := from.Truncate(ObjectDuration); start.Before(to); start = start.Add(ObjectDuration) {
			content, err := read(ctx, store, objectName(domain, start.Unix()))
			if err != nil {
				return nil, nil, eris.Wrapf(err, "read reports of %s at %s", domain, start)
			}
			addContent(by, content, department)
		}
	}
	return by, domains, nil
}

func summarize(department dynamic.Department, by map[int64]Counts, domains []string, from, to, now time.Time) Report {
	r := Report{
		Department: department.Name, From: from.UTC(), To: to.UTC(), PromisedShare: department.PromisedShare, FailureDomains: domains,
		Complete: now.After(to.Add(settleTime + writeInterval)),
	}
	for _, slot := range slices.Sorted(maps.Keys(by)) {
		if slot < from.Unix() || slot >= to.Unix() {
			continue
		}
		r.Slots = append(r.Slots, SlotCounts{Start: time.Unix(slot, 0).UTC(), Counts: by[slot]})
		r.Counts = r.Counts.plus(by[slot])
	}
	r.GoodShare, r.Finding = judge(r.Counts, r.PromisedShare)
	return r
}

// read waits while the node's own budget of platform calls is spent.
func read(ctx context.Context, store platform.Store, name string) (ObjectContent, error) {
	return backoff.Retry(ctx, func() (ObjectContent, error) {
		content, _, err := readObject(ctx, store, name)
		if err != nil && !errors.Is(err, platform.ErrClientRateLimited) {
			err = backoff.Permanent(err)
		}
		return content, err
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
}

func addContent(by map[int64]Counts, content ObjectContent, department string) {
	for _, message := range content.Messages {
		for _, line := range message.Counters {
			if line.Department == department {
				by[line.SlotStart] = by[line.SlotStart].plus(line.Counts)
			}
		}
	}
}

func judge(c Counts, promised float64) (share float64, finding Finding) {
	counted := c.Good + c.Bad + c.Refused
	if counted > 0 {
		share = float64(c.Good) / float64(counted)
	}
	switch {
	case counted < minCalls:
		return share, TooFewCalls
	case share >= promised:
		return share, PromiseMet
	}
	return share, PromiseMissed
}
