package node

import (
	"github.com/azurespring/azurespring/pkg/membership"
)

// announcer spreads targets of this node through the member table. The target's
// local address stays with the node.
type announcer struct{ members *membership.Service }

// AnnounceTarget implements proxy.Announcer.
func (a announcer) AnnounceTarget(target membership.Target, _ string) {
	a.members.AnnounceTarget(target)
}

// RemoveTarget implements proxy.Announcer.
func (a announcer) RemoveTarget(id string) { a.members.RemoveTarget(id) }
