package move

import "fmt"

// Kinds of Reason that operators see; the texts carry the figures.

func where(e RouteEvidence) string {
	if e.Route == "" {
		return "all routes"
	}
	return fmt.Sprintf("route %s (%s)", e.Route, e.Department)
}

func describe(e RouteEvidence) string {
	return fmt.Sprintf("%s: %d of %d calls bad (%d slow) on the new version, %d of %d on the old",
		where(e), e.New.Bad(), e.New.Calls(), e.New.Slow, e.Old.Bad(), e.Old.Calls())
}

// crashFinding returns why crashes judge the version bad, or "".
func (a *assessment) crashFinding() string {
	var ofOld, ofNew int
	for _, c := range a.crashes {
		ofOld, ofNew = ofOld+c.ofOld, ofNew+c.ofNew
	}
	if ofNew-ofOld < crashExcess {
		return ""
	}
	return fmt.Sprintf("%d crashes of targets of the new version, %d of the old", ofNew, ofOld)
}
