// Package platform defines the interface to the platform's object service, which
// stores the state that must outlive the nodes.
package platform

import (
	"context"
	"errors"
	"time"
)

// Kind is a kind of object.
type Kind string

// The kinds that azurespring stores in the platform.
const (
	KindConfigHead         Kind = "confighead"
	KindConfigPart         Kind = "configpart"
	KindLease              Kind = "lease"
	KindMoveStatus         Kind = "movestatus"
	KindReportPeriod       Kind = "reportperiod"
	KindIdempotencySegment Kind = "idempotencysegment"
	KindContacts           Kind = "contacts"
)

// The kinds that sidecars use.
const (
	// KindConfiguration holds the operator's configuration; nodes only read it.
	KindConfiguration Kind = "configuration"
	// KindRollout holds the operator's rollouts of services to new versions together
	// with their state; nodes only read it.
	KindRollout Kind = "rollout"
	// KindRolloutState is the state of the rollout of the same name. It supports only
	// Update; its resource version is that of the rollout.
	KindRolloutState Kind = "rolloutstate"
	// KindEvacuation holds one object for each failure domain whose endpoints must get no
	// requests.
	KindEvacuation Kind = "evacuation"
	// KindMeshState holds the state that nodes share: instance entries and the progress
	// of rollouts.
	KindMeshState Kind = "meshstate"
	// KindQuotaTerm holds the terms of the nodes that grant shares of quotas. They change
	// each second and are a kind of their own, so that no watch reports them.
	KindQuotaTerm Kind = "quotaterm"
)

// Object is one stored value. ResourceVersion is opaque and changes with each write.
type Object struct {
	Kind            Kind
	Name            string
	ResourceVersion string
	Value           []byte
}

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Errors of Store. After any other error of a write, the write may or may not have
// taken effect.
var (
	ErrNotFound      = errors.New("object not found")
	ErrAlreadyExists = errors.New("object exists")
	ErrConflict      = errors.New("object version conflict")
	// ErrWatchExpired means that the caller must list the objects and start a new watch.
	ErrWatchExpired = errors.New("watch expired")
	// ErrClientRateLimited means that the call was not sent because of the node's own rate limits.
	ErrClientRateLimited = errors.New("platform call budget exhausted")
)

// EventType is the type of a change.
type EventType uint8

// The types of watch events.
const (
	EventPut EventType = iota + 1
	EventDeleted
	// EventBookmark has no object: a poll of the store has ended without a change.
	EventBookmark
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType
	Object Object
	// AsOf is the version up to which the store had reported all changes at the end of the
	// batch that the event belongs to; "" if the store does not tell. MoreFollow is set for
	// all events of a batch but the last.
	AsOf       string
	MoreFollow bool
	// KnownAt is a time at which the store had no change after the batch that the event
	// belongs to; zero if unknown.
	KnownAt time.Time
}

// Store is the platform's object service. Implementations are safe for
// concurrent use. All calls end when ctx does.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the version to watch from.
	List(ctx context.Context, kind Kind) (objects []Object, version string, err error)
	// Create stores a new object or returns ErrAlreadyExists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error)
	// Update replaces the value if the stored version is object.ResourceVersion;
	// otherwise it returns ErrConflict.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its version is still version; otherwise it returns
	// ErrConflict.
	Delete(ctx context.Context, kind Kind, name, version string) error
	// Watch calls handle for each change after version, and may call it with bookmarks, until ctx ends, handle
	// fails or the watch breaks. It never returns nil.
	Watch(ctx context.Context, kind Kind, version string, handle func(Event) error) error
}
