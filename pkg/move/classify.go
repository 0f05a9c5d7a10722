package move

import (
	"strconv"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// Outcome is what a finished call says about the version that ran it.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeIgnored says nothing, as a call that its caller gave up in good time.
	OutcomeIgnored Outcome = iota
	// OutcomeGood meets the department's definition of success.
	OutcomeGood
	// OutcomeFailed misses it by status or because no whole answer came.
	OutcomeFailed
	// OutcomeSlow misses it by latency only.
	OutcomeSlow
	// OutcomeRefused was not run.
	OutcomeRefused
)

// Classifier judges calls by one department's definition of success.
type Classifier struct {
	statuses [600]bool
	latency  time.Duration
}

// NewClassifier compiles a definition. Statuses that are neither a number nor
// a class such as "2xx" match nothing; validation reports them earlier.
func NewClassifier(success dynamic.Success) *Classifier {
	c := &Classifier{latency: success.MaxLatency}
	for _, text := range success.Statuses {
		if len(text) == 3 && text[1:] == "xx" && text[0] >= '1' && text[0] <= '5' {
			first := int(text[0]-'0') * 100
			for status := first; status < first+100; status++ {
				c.statuses[status] = true
			}
		} else if status, err := strconv.Atoi(text); err == nil && status > 0 && status < len(c.statuses) {
			c.statuses[status] = true
		}
	}
	return c
}

// Classify returns the outcome of call.
func (c *Classifier) Classify(call observation.Call) Outcome {
	late := c.latency > 0 && call.Latency > c.latency
	switch {
	case call.TargetCrashed:
		return OutcomeFailed
	case call.Code == verdict.Canceled:
		if late {
			return OutcomeSlow
		}
		return OutcomeIgnored
	case call.Code != "" && call.Verdict == verdict.NotRun:
		return OutcomeRefused
	case call.Code == verdict.DeadlineExceeded:
		return OutcomeSlow
	case call.Code != "":
		return OutcomeFailed
	case call.Status <= 0 || call.Status >= len(c.statuses) || !c.statuses[call.Status]:
		return OutcomeFailed
	case late:
		return OutcomeSlow
	}
	return OutcomeGood
}

// classifiers are those of one snapshot by department.
type classifiers struct {
	snapshot *dynamic.Snapshot
	by       map[string]*Classifier
}

func compileClassifiers(snapshot *dynamic.Snapshot) *classifiers {
	c := &classifiers{snapshot: snapshot, by: map[string]*Classifier{}}
	if snapshot == nil {
		return c
	}
	for _, department := range snapshot.Config().Departments {
		c.by[department.Name] = NewClassifier(department.Success)
	}
	return c
}
