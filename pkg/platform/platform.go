// Package platform is the narrow interface to the platform's object service,
// which keeps all that must outlive the nodes.
package platform

import (
	"context"
	"errors"
)

// Kind is a kind of object.
type Kind string

// The kinds that azurespring keeps in the platform.
const (
	KindConfigHead         Kind = "confighead"
	KindConfigPart         Kind = "configpart"
	KindLease              Kind = "lease"
	KindMoveStatus         Kind = "movestatus"
	KindReportPeriod       Kind = "reportperiod"
	KindIdempotencySegment Kind = "idempotencysegment"
	KindContacts           Kind = "contacts"
)

// The kinds that nodes beside the endpoints of a mesh use.
const (
	// KindConfiguration holds the operator's configuration; nodes only read it.
	KindConfiguration Kind = "configuration"
	// KindRollout holds the operator's orders to move a service to a new version
	// together with their state; nodes only read it.
	KindRollout Kind = "rollout"
	// KindRolloutState is the state of the rollout of the same name. Only Update is
	// defined; its version is that of the rollout.
	KindRolloutState Kind = "rolloutstate"
	// KindMeshState holds what nodes tell each other: entries of instances and the
	// progress of rollouts.
	KindMeshState Kind = "meshstate"
)

// Object is one stored value. Version is opaque and changes with each write.
type Object struct {
	Kind            Kind
	Name            string
	ResourceVersion string
	Value           []byte
}

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Errors of Store. Any other error of a write leaves it open whether the write
// took effect.
var (
	ErrNotFound      = errors.New("object not found")
	ErrAlreadyExists = errors.New("object exists")
	ErrConflict      = errors.New("object version conflict")
	// ErrWatchExpired means that the watch must be replaced by a list and a new watch.
	ErrWatchExpired = errors.New("watch expired")
	// ErrClientRateLimited means that the call was not sent because the node's own budget is spent.
	ErrClientRateLimited = errors.New("platform call budget exhausted")
)

// EventType says what a watch reports.
type EventType uint8

// The types of watch events.
const (
	EventPut EventType = iota + 1
	EventDeleted
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType
	Object Object
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
	// Update replaces the value if the stored version is object.Version, else it
	// returns ErrConflict.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, kind Kind, name, version string) error
	// Watch calls handle for each change after version until ctx ends, handle
	// fails or the watch breaks. It never returns nil.
	Watch(ctx context.Context, kind Kind, version string, handle func(Event) error) error
}
