package move

import (
	"maps"
	"slices"
	"time"
)

// DeciderSet holds the deciders of all services' moves on one node.
type DeciderSet struct {
	self     string
	deciders map[string]*Decider
}

// NewDeciderSet returns an empty set for instance self.
func NewDeciderSet(self string) *DeciderSet {
	return &DeciderSet{self: self, deciders: map[string]*Decider{}}
}

// Step implements reducer.Reducer.
func (g *DeciderSet) Step(now time.Time, event Event) []Effect {
	if !event.Tick {
		return g.decider(event.Service).Step(now, event)
	}
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(g.deciders)) {
		effects = append(effects, g.deciders[service].Step(now, event)...)
	}
	return effects
}

func (g *DeciderSet) decider(service string) *Decider {
	d := g.deciders[service]
	if d == nil {
		d = NewDecider(g.self, service)
		g.deciders[service] = d
	}
	return d
}
