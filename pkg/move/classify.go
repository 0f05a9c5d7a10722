package move

import (
	"strconv"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/observation"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// Outcome classifies a finished call as evidence about the target version that
// ran it.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeIgnored is no evidence, such as a call that its caller canceled before
	// the latency limit.
	OutcomeIgnored Outcome = iota
	// OutcomeGood meets the department's definition of success.
	OutcomeGood
	// OutcomeFailed does not, because of its status or an incomplete response.
	OutcomeFailed
	// OutcomeSlow misses only the latency limit.
	OutcomeSlow
	// OutcomeRefused did not run.
	OutcomeRefused
)

// Classifier classifies calls by one department's definition of success.
type Classifier struct {
	statuses [600]bool
	latency  time.Duration
}

// NewClassifier compiles a definition of success. Statuses that are neither a
// number nor a class such as "2xx" match nothing; validation of the
// configuration reports them earlier.
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

// classifierSet holds the classifiers of one configuration snapshot.
type classifierSet struct {
	snapshot     *dynamic.Snapshot
	byDepartment map[string]*Classifier
}

func compileClassifiers(snapshot *dynamic.Snapshot) *classifierSet {
	c := &classifierSet{snapshot: snapshot, byDepartment: map[string]*Classifier{}}
	if snapshot == nil {
		return c
	}
	for _, department := range snapshot.Config().Departments {
		c.byDepartment[department.Name] = NewClassifier(department.Success)
	}
	return c
}
