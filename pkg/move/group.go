package move

import (
	"maps"
	"slices"
	"time"
)

// Group is the reducer over all services' moves at one node.
type Group struct {
	self     string
	deciders map[string]*Decider
}

// NewGroup returns the reducer of instance self.
func NewGroup(self string) *Group { return &Group{self: self, deciders: map[string]*Decider{}} }

// Step implements reducer.Reducer.
func (g *Group) Step(now time.Time, event Event) []Effect {
	if !event.Tick {
		return g.decider(event.Service).Step(now, event)
	}
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(g.deciders)) {
		effects = append(effects, g.deciders[service].Step(now, event)...)
	}
	return effects
}

func (g *Group) decider(service string) *Decider {
	d := g.deciders[service]
	if d == nil {
		d = NewDecider(g.self, service)
		g.deciders[service] = d
	}
	return d
}
