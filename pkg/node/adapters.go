package node

import (
	"context"
	"sync"

	"github.com/azurespring/azurespring/pkg/idempotency"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/proxy"
)

// announcer announces the targets of this node in the member table. It drops the
// target's local address, which only this node needs.
type announcer struct{ members *membership.Service }

// AnnounceTarget implements proxy.Announcer.
func (a announcer) AnnounceTarget(target membership.Target, _ string) {
	a.members.AnnounceTarget(target)
}

// RemoveTarget implements proxy.Announcer.
func (a announcer) RemoveTarget(id string) { a.members.RemoveTarget(id) }

// claimer adapts idempotency.Service to proxy.IdempotencyClaimer.
type claimer struct {
	service *idempotency.Service
	// claims holds the granted claims of calls in flight, by proxy.ClaimKey.
	claims sync.Map
}

// Claim implements proxy.IdempotencyClaimer.
func (c *claimer) Claim(ctx context.Context, key proxy.ClaimKey) (proxy.ClaimResult, error) {
	claim, err := c.service.Claim(ctx, idempotency.Key{
		Customer: key.Customer, Service: key.Service, Route: key.Route, Key: key.Key, Fingerprint: key.Fingerprint,
	})
	if err != nil {
		return proxy.ClaimResult{}, err
	}
	if claim.Granted {
		c.claims.Store(key, claim)
	}
	return proxy.ClaimResult{Granted: claim.Granted, Response: claim.Response}, nil
}

// Complete implements proxy.IdempotencyClaimer.
func (c *claimer) Complete(ctx context.Context, key proxy.ClaimKey, completion proxy.Completion) {
	if claim, ok := c.claims.LoadAndDelete(key); ok {
		c.service.Complete(ctx, claim.(idempotency.Claim), idempotency.Completion{
			NotRun: completion.NotRun, Response: completion.Response,
		})
	}
}
