package move

import "fmt"

// These functions format the parts of State.Reason that contain figures.

func scope(e RouteEvidence) string {
	if e.Route == "" {
		return "all routes"
	}
	return fmt.Sprintf("route %s (%s)", e.Route, e.Department)
}

func describeEvidence(e RouteEvidence) string {
	return fmt.Sprintf("%s: %d of %d calls bad (%d slow) on the new version, %d of %d on the old",
		scope(e), e.New.Bad(), e.New.Calls(), e.New.Slow, e.Old.Bad(), e.Old.Calls())
}

// crashReason returns why the crashes of its targets fail the new version, or "".
func (a *assessment) crashReason() string {
	var oldCount, newCount int
	for _, c := range a.crashes {
		oldCount, newCount = oldCount+c.oldCount, newCount+c.newCount
	}
	if newCount-oldCount < failingCrashExcess {
		return ""
	}
	return fmt.Sprintf("%d crashes of targets of the new version, %d of the old", newCount, oldCount)
}
