package sidecar

import (
	"net/http"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh/tenant"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// unsureRetryAfter is the time until a node that cannot confirm its configuration has
// usually reached the store again: the longest pause between two attempts.
const unsureRetryAfter = maxRetryDelay

// authenticate sets the tenant of the request by its key. Without tenants in the
// configuration, it does nothing.
func (x *request) authenticate() *verdict.Error {
	deps := x.entry.deps
	if x.hasTenants = len(x.snapshot.Tenants()) > 0; !x.hasTenants {
		return nil
	}
	credentials := x.r.Header.Values(deps.headers.Authorization)
	holder := x.snapshot.TenantOf(tenant.KeyOf(credentials, deps.headers.KeyScheme))
	result := tenant.Check(tenant.Request{
		IsPublic: x.route.Public, IsNested: x.isNested(), HasCredential: len(credentials) > 0, IsKeyKnown: holder != nil,
		IsUnsure: deps.settings.FailClosed && !deps.isCertain(),
	})
	deps.metrics.keyCheck(string(result))
	switch result {
	case tenant.Accepted:
		x.tenant = holder
	case tenant.MissingKey:
		return verdict.NotRunErrorf(verdict.Unauthenticated, "the request has no key")
	case tenant.UnknownKey:
		return verdict.NotRunErrorf(verdict.Unauthenticated, "the key is unknown")
	case tenant.Unsure:
		err := verdict.NotRunErrorf(verdict.ConfigurationStale, "the node cannot confirm that keys are still valid")
		err.RetryAfter = unsureRetryAfter
		return err
	}
	return nil
}

// forwardedHeader returns the header fields that the endpoint gets from the client. With
// tenants, the key stays here, and only nodes name the tenant.
func (x *request) forwardedHeader() http.Header {
	header := forwardableHeader(x.r.Header)
	if x.hasTenants {
		header.Del(x.entry.deps.headers.Authorization)
		header.Del(x.entry.deps.headers.Tenant)
	}
	return header
}

// isCertain reports whether the store has confirmed the configuration within RevokeTimeout,
// to this node or to the one that it follows.
func (t *tracker) isCertain() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	age, isKnown := t.certainty.Age(t.deps.now())
	return isKnown && age <= t.deps.settings.RevokeTimeout
}

// confirmFromStore records that the store had no newer configuration at the given time.
func (t *tracker) confirmFromStore(kind platform.Kind, at time.Time) {
	if kind != platform.KindConfiguration || at.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.now()
	t.certainty.Begin(now)
	t.certainty.Confirm(now, max(now.Sub(at), 0), 0)
}

// beginFollowing and confirmFromPeer record what the frames of a peer say about the
// configuration.
func (t *tracker) beginFollowing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.certainty.Begin(t.deps.now())
}

func (t *tracker) confirmFromPeer(now time.Time, f followFrame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.hasAge {
		t.certainty.Confirm(now, f.age, followTimeout)
	} else {
		t.certainty.Read(now)
	}
}

// frameAge returns the age of the configuration for a follower; it reports false if it is
// not known or not used.
func (t *tracker) frameAge() (age time.Duration, isKnown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.deps.settings.FailClosed {
		return 0, false
	}
	return t.certainty.Age(t.deps.now())
}

// logCertainty logs when keys are no longer accepted and when they are again. Only
// Node.maintain calls it.
func (t *tracker) logCertainty() {
	if !t.deps.settings.FailClosed {
		return
	}
	t.mu.Lock()
	age, isKnown := t.certainty.Age(t.deps.now())
	t.mu.Unlock()
	if isKnown {
		t.deps.metrics.gauge("configuration_age_seconds", age.Seconds())
	}
	isCertain := isKnown && age <= t.deps.settings.RevokeTimeout
	switch {
	case isCertain && !t.loggedCertain:
		t.deps.log.event("configuration_confirmed", fields{"ageMs": age.Milliseconds()})
	case !isCertain && t.loggedCertain:
		t.deps.log.event("configuration_unconfirmed", fields{"ageMs": age.Milliseconds()})
	}
	t.loggedCertain = isCertain
}

// The age of the configuration in the flags of a frame: 0 if it is not known, otherwise one
// more than the age in frameAgeUnit, rounded up.
const (
	frameAgeShift = 1
	frameAgeUnit  = 100 * time.Millisecond
	maxFrameAge   = 1<<(8-frameAgeShift) - 2
)

// setFrameAge adds the age of the configuration to an encoded frame.
func setFrameAge(frame []byte, age time.Duration) {
	if units := (age + frameAgeUnit - 1) / frameAgeUnit; units >= 0 && units <= maxFrameAge {
		frame[frameHeaderBytes-1] |= byte(units+1) << frameAgeShift
	}
}

// readFrameAge returns the age of the configuration in the flags of a frame.
func readFrameAge(flags byte) (age time.Duration, isKnown bool) {
	units := flags >> frameAgeShift
	if units == 0 {
		return 0, false
	}
	return time.Duration(units-1) * frameAgeUnit, true
}

// mayGoAhead reports whether a gate is asked although the queue there looks too long: the
// number of waiting requests does not tell how many of them are less urgent than this one.
// Only one gate is asked.
func (x *request) mayGoAhead() bool {
	return x.hasTenants && x.attempts == 0 && x.snapshot.MayGoAhead(x.tenant, x.route)
}
