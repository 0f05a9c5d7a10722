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

// DefaultApplyTimeout bounds one Apply whose context has no earlier deadline. It must
// stay below Options.GCMinAge, so that garbage collection does not delete parts that an
// Apply still in progress has stored.
const DefaultApplyTimeout = 5 * time.Minute

// Bounds of the delay between attempts to call the platform.
const (
	minPlatformRetryDelay = 50 * time.Millisecond
	maxPlatformRetryDelay = 2 * time.Second
)

// restoreWaitLeaseDurations is the number of lease durations for which a change waits
// for the reader to write the active version back to a restored platform. Without this
// wait, a node with an outdated configuration could accept a change under a version
// number that is already in use.
const restoreWaitLeaseDurations = 2

var errHeadOutdated = errors.New("the platform was restored from an older copy and is being brought up to date")

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

// ConflictError means that the change was rejected because its base version is no
// longer the current version.
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

// Apply stores a configuration in the platform and returns once the platform has
// accepted it and it is active on this node. If the change was certainly not accepted,
// it returns *InvalidError, *ConflictError or another error; if that is unknown, it
// returns *UnknownOutcomeError. Run must be running.
func (s *Service) Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultApplyTimeout)
	defer cancel()
	parts, err := prepareParts(r)
	if err != nil {
		return ApplyResult{}, err
	}
	a := &applyOperation{s: s, request: r, parts: parts, started: time.Now()}
	h, result, err := a.run(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	s.recordChanges(h)
	if err := s.activateAccepted(ctx, h, parts, result.Version); err != nil {
		// The platform has stored the change, and the reader announces it to this node.
		s.logger.WithError(err).Warn("accepted version is not active on this node yet")
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
	_, err = compileVersion(dynamic.NewManifest(1, parts), contentsByDigest(parts))
	return parts, err
}

func contentsByDigest(parts []dynamic.Part) map[string][]byte {
	return lo.SliceToMap(parts, func(p dynamic.Part) (string, []byte) { return p.Digest, p.Data })
}

// activationTimeout bounds the wait for an accepted version to become active on this
// node.
const activationTimeout = 10 * time.Second

// activateAccepted activates an accepted version on this node if the head still holds
// that version, and waits until that or a newer version is active. If the head holds a
// newer version, gossip announces that one.
func (s *Service) activateAccepted(ctx context.Context, h head, parts []dynamic.Part, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	if h.Manifest.Version == version {
		c, err := compileVersion(h.Manifest, contentsByDigest(parts))
		if err != nil {
			return err
		}
		s.versions.prepare(c)
		s.loop.Submit(ctx, VersionPrepared{Version: versionOf(c.manifest), Source: SourceApply})
	}
	return s.awaitVersion(ctx, version)
}

// applyOperation is the state of one Apply call.
type applyOperation struct {
	s       *Service
	request ApplyRequest
	parts   []dynamic.Part
	started time.Time
	// unknownOutcomeErr is the error of a head update that may have taken effect.
	unknownOutcomeErr error
}

// run retries until the head holds the change, the change is rejected, or ctx ends.
func (a *applyOperation) run(ctx context.Context) (head, ApplyResult, error) {
	delay := newPlatformBackOff()
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
			return head{}, ApplyResult{}, a.timeoutError(err)
		}
	}
}

// timeoutError returns the error for an operation that ran out of time.
func (a *applyOperation) timeoutError(lastErr error) error {
	if a.unknownOutcomeErr != nil {
		return &UnknownOutcomeError{ChangeID: a.request.ChangeID, Cause: a.unknownOutcomeErr}
	}
	return eris.Wrap(lastErr, "the platform did not accept the change")
}

func (a *applyOperation) attempt(ctx context.Context) (head, ApplyResult, error) {
	h, stored, err := a.s.readHead(ctx)
	if err != nil {
		return head{}, ApplyResult{}, err
	}
	if known, ok := h.findChange(a.request.ChangeID); ok {
		return a.resolveKnownChange(h, known)
	}
	if h.Manifest.Version < a.s.highestVersion.Load() && time.Since(a.started) < restoreWaitLeaseDurations*a.s.o.LeaseDuration {
		return head{}, ApplyResult{}, errHeadOutdated
	}
	next, err := a.nextHead(h)
	if err != nil {
		return head{}, ApplyResult{}, err
	}
	if err := a.s.ensureParts(ctx, h.Manifest, a.parts); err != nil {
		return head{}, ApplyResult{}, err
	}
	if err := a.s.writeHead(ctx, stored, next); err != nil {
		if !platform.IsNotApplied(err) {
			a.unknownOutcomeErr = err
		}
		return head{}, ApplyResult{}, err
	}
	return next, ApplyResult{Version: next.Manifest.Version}, nil
}

// resolveKnownChange returns the result for a change id that the head already holds.
func (a *applyOperation) resolveKnownChange(h head, c change) (head, ApplyResult, error) {
	if c.Digest != dynamic.NewManifest(1, a.parts).Digest {
		return head{}, ApplyResult{}, &InvalidError{
			Cause: eris.Errorf("change id %q was used for another configuration", c.ID),
		}
	}
	// If a head update of this operation took effect but its reply was lost, the change
	// was not applied by an earlier call.
	return h, ApplyResult{Version: c.Version, AlreadyApplied: a.unknownOutcomeErr == nil}, nil
}

// nextHead returns the head that accepts the change, or a ConflictError.
func (a *applyOperation) nextHead(h head) (head, error) {
	active, _ := a.s.versions.activeContents()
	current := h.Manifest
	if active.Version > current.Version {
		// The platform was restored from an older copy; the active version is newer.
		current = active
	}
	if a.request.BaseVersion != current.Version {
		return head{}, a.conflictError(current)
	}
	manifest := dynamic.NewManifest(current.Version+1, a.parts)
	a.s.mu.Lock()
	recentChanges := a.s.recentChanges
	a.s.mu.Unlock()
	changes := append(slices.Clone(mergeChanges(h.Changes, recentChanges)),
		change{ID: a.request.ChangeID, Version: manifest.Version, Digest: manifest.Digest})
	return head{Manifest: manifest, Changes: changes[max(0, len(changes)-maxRetainedChanges):]}, nil
}

func (a *applyOperation) conflictError(current dynamic.Manifest) *ConflictError {
	base, ok := a.s.versions.recentManifest(func(m dynamic.Manifest) bool { return m.Version == a.request.BaseVersion })
	if !ok && a.request.BaseVersion != 0 {
		base = dynamic.NewManifest(a.request.BaseVersion, a.parts)
	}
	changed, removed := diff(base, current)
	names := lo.Map(changed, func(ref dynamic.PartRef, _ int) string { return ref.Name })
	return &ConflictError{
		BaseVersion: a.request.BaseVersion, CurrentVersion: current.Version, PartNames: append(names, removed...),
	}
}

// newPlatformBackOff returns the delays between the attempts of one call to the
// platform.
func newPlatformBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minPlatformRetryDelay, maxPlatformRetryDelay
	return b
}

// wait waits for delay, or for the Retry-After of the platform if cause is its rate
// limit and that is longer.
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
