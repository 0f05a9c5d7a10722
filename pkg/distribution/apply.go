package distribution

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

// DefaultApplyTimeout bounds one Apply whose context has no earlier deadline. It
// must stay below Options.GCMinAge.
const DefaultApplyTimeout = 5 * time.Minute

// Bounds of the delay between attempts to reach the platform.
const (
	minStoreRetry = 50 * time.Millisecond
	maxStoreRetry = 2 * time.Second
)

// restoreWaitLeases is the time, in lease durations, for which a change waits for
// the reader to write the version in force back to a restored platform. Without
// this wait, a node that lags behind could accept a change under a number that
// is in use.
const restoreWaitLeases = 2

var errHeadBehind = errors.New("the platform was restored from an older copy and is being brought up to date")

// ApplyRequest asks to accept a configuration.
type ApplyRequest struct {
	// Config is a valid configuration; Apply checks its references again.
	Config dynamic.Config
	// ChangeID identifies the operator's change over retries.
	ChangeID string
	// BaseVersion is the version that the operator edited, 0 if there was none.
	BaseVersion uint64
}

// ApplyResult says which version a change became.
type ApplyResult struct {
	Version uint64
	// AlreadyApplied means that an earlier attempt with the same change id took effect.
	AlreadyApplied bool
}

// ConflictError means that the change was not accepted, because the
// configuration is no longer the one that the change was based on.
type ConflictError struct {
	BaseVersion    uint64
	CurrentVersion uint64
	// PartNames are the names of parts that changed since BaseVersion, or, if that
	// version is no longer known, those that differ from the request.
	PartNames []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration changed from version %d to %d: %s",
		e.BaseVersion, e.CurrentVersion, strings.Join(e.PartNames, ", "))
}

// UnknownOutcomeError means that the platform may or may not hold the change.
type UnknownOutcomeError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown, retry with the same change id %q: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// InvalidError means that the configuration or the request is invalid; nothing
// was written.
type InvalidError struct{ Cause error }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// Apply stores a configuration in the platform and returns once it is accepted
// there and in force at this node. It returns *InvalidError, *ConflictError,
// *UnknownOutcomeError, or another error if the change was certainly not
// accepted. Run must be running.
func (s *Service) Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultApplyTimeout)
	defer cancel()
	parts, err := prepareParts(r)
	if err != nil {
		return ApplyResult{}, err
	}
	a := &application{s: s, request: r, parts: parts, started: time.Now()}
	h, result, err := a.run(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	s.noteHead(h)
	if err := s.adopt(ctx, h, parts, result.Version); err != nil {
		// The platform holds the change, and the reader announces it.
		s.logger.WithError(err).Warn("accepted version is not yet in force here")
	}
	return result, nil
}

func prepareParts(r ApplyRequest) ([]dynamic.Part, error) {
	if r.ChangeID == "" {
		return nil, &InvalidError{Cause: eris.New("change id is missing")}
	}
	parts, err := dynamic.EncodeParts(r.Config)
	if err != nil {
		return nil, &InvalidError{Cause: err}
	}
	_, err = newCandidate(dynamic.NewManifest(1, parts), contentsOf(parts))
	return parts, err
}

func contentsOf(parts []dynamic.Part) map[string][]byte {
	return lo.SliceToMap(parts, func(p dynamic.Part) (string, []byte) { return p.Digest, p.Data })
}

// adoptTimeout bounds the wait for an accepted version to come into force here.
const adoptTimeout = 10 * time.Second

// adopt puts the version that the head holds in force here if its contents are
// those of parts. Otherwise the change is older, and its successor arrives by gossip.
func (s *Service) adopt(ctx context.Context, h head, parts []dynamic.Part, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	if h.Manifest.Version == version {
		c, err := newCandidate(h.Manifest, contentsOf(parts))
		if err != nil {
			return err
		}
		s.versions.prepare(c)
		s.loop.Submit(ctx, VersionPrepared{Version: versionOf(c.manifest), Source: SourceApply})
	}
	return s.awaitVersion(ctx, version)
}

// application is one Apply under way.
type application struct {
	s       *Service
	request ApplyRequest
	parts   []dynamic.Part
	started time.Time
	// unknown is the error of a head update whose outcome is open.
	unknown error
}

// run retries until the head holds the change, the change is refused, or ctx ends.
func (a *application) run(ctx context.Context) (head, ApplyResult, error) {
	delay := newBackOff()
	for {
		h, result, err := a.attempt(ctx)
		var conflict *ConflictError
		var invalid *InvalidError
		switch {
		case err == nil:
			return h, result, nil
		case errors.As(err, &conflict), errors.As(err, &invalid):
			return head{}, ApplyResult{}, err
		}
		a.s.logger.WithError(err).Debug("apply attempt failed")
		if wait(ctx, delay.NextBackOff(), err) != nil {
			return head{}, ApplyResult{}, a.giveUp(err)
		}
	}
}

// giveUp returns the error for an application that ran out of time.
func (a *application) giveUp(last error) error {
	if a.unknown != nil {
		return &UnknownOutcomeError{ChangeID: a.request.ChangeID, Cause: a.unknown}
	}
	return eris.Wrap(last, "the platform did not accept the change")
}

func (a *application) attempt(ctx context.Context) (head, ApplyResult, error) {
	h, stored, err := a.s.readHead(ctx)
	if err != nil {
		return head{}, ApplyResult{}, err
	}
	if c, ok := h.find(a.request.ChangeID); ok {
		return a.found(h, c)
	}
	if h.Manifest.Version < a.s.highest.Load() && time.Since(a.started) < restoreWaitLeases*a.s.o.LeaseDuration {
		return head{}, ApplyResult{}, errHeadBehind
	}
	next, err := a.next(h)
	if err != nil {
		return head{}, ApplyResult{}, err
	}
	if err := a.s.ensureParts(ctx, h.Manifest, a.parts); err != nil {
		return head{}, ApplyResult{}, err
	}
	if err := a.s.writeHead(ctx, stored, next); err != nil {
		if !platform.IsNotApplied(err) {
			a.unknown = err
		}
		return head{}, ApplyResult{}, err
	}
	return next, ApplyResult{Version: next.Manifest.Version}, nil
}

// found handles a change id that the head holds already.
func (a *application) found(h head, c change) (head, ApplyResult, error) {
	if c.Digest != dynamic.NewManifest(1, a.parts).Digest {
		return head{}, ApplyResult{}, &InvalidError{
			Cause: eris.Errorf("change id %q was used for another configuration", c.ID),
		}
	}
	// An update of this very call whose reply was lost is not an earlier attempt.
	return h, ApplyResult{Version: c.Version, AlreadyApplied: a.unknown == nil}, nil
}

// next returns the head that accepts the change, or a conflict.
func (a *application) next(h head) (head, error) {
	inForce, _ := a.s.versions.contents()
	current := h.Manifest
	if inForce.Version > current.Version {
		// The platform was restored from an older copy; the version in force counts.
		current = inForce
	}
	if a.request.BaseVersion != current.Version {
		return head{}, a.conflict(current)
	}
	manifest := dynamic.NewManifest(current.Version+1, a.parts)
	a.s.mu.Lock()
	known := a.s.changes
	a.s.mu.Unlock()
	changes := append(slices.Clone(mergeChanges(h.Changes, known)),
		change{ID: a.request.ChangeID, Version: manifest.Version, Digest: manifest.Digest})
	return head{Manifest: manifest, Changes: changes[max(0, len(changes)-keptChanges):]}, nil
}

func (a *application) conflict(current dynamic.Manifest) *ConflictError {
	base, ok := a.s.versions.manifest(func(m dynamic.Manifest) bool { return m.Version == a.request.BaseVersion })
	if !ok && a.request.BaseVersion != 0 {
		base = dynamic.NewManifest(a.request.BaseVersion, a.parts)
	}
	changed, removed := diff(base, current)
	names := lo.Map(changed, func(ref dynamic.PartRef, _ int) string { return ref.Name })
	return &ConflictError{
		BaseVersion: a.request.BaseVersion, CurrentVersion: current.Version, PartNames: append(names, removed...),
	}
}

// newBackOff spaces the attempts of one call to reach the platform.
func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minStoreRetry, maxStoreRetry
	return b
}

// wait waits for delay, or longer if cause is the platform's rate limit.
func wait(ctx context.Context, delay time.Duration, cause error) error {
	var limited *platform.TooManyRequestsError
	if errors.As(cause, &limited) {
		delay = max(delay, limited.RetryAfter)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
