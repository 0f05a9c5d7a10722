// Package teststore is test material: a stand-in for the platform's object API
// that follows the Kubernetes API conventions and produces faults on request.
// It keeps everything in memory and must not be used for real data.
package teststore

import (
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"
)

// historySize is the number of changes that a watch may start behind.
const historySize = 4096

// Faults are the disturbances in force. The zero value is a healthy platform.
type Faults struct {
	// Down makes the store close connections without an answer.
	Down bool `json:"down"`
	// Delay precedes each call.
	Delay time.Duration `json:"delay"`
	// LostReplies is the number of coming writes that take effect but whose replies are lost.
	LostReplies int `json:"loseReplies"`
	// RejectedWrites is the number of coming writes that are answered with 500 without effect.
	RejectedWrites int `json:"rejectWrites"`
	// RateLimitedCalls is the number of coming calls that are answered with 429.
	RateLimitedCalls int `json:"rateLimit"`
	// RetryAfterSeconds goes with RateLimitedCalls.
	RetryAfterSeconds int `json:"retryAfterSeconds"`
	// Resource restricts LostReplies, RejectedWrites and RateLimitedCalls to one plural
	// resource name, such as "configheads"; empty means all.
	Resource string `json:"resource"`
	// SilenceWatches makes watches send nothing, not even bookmarks.
	SilenceWatches bool `json:"silent"`
}

func (f Faults) concern(t target) bool { return f.Resource == "" || f.Resource == t.resource }

// object is one stored object. Spec and Status stay as they were sent.
type object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Kind    string          `json:"kind"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
}

type key struct{ namespace, resource, name string }

type change struct {
	version uint64
	kind    string
	key     key
	object  object
}

// Backup is a backup of the stored objects.
type Backup struct {
	version uint64
	objects map[key]object
}

// Store is the stand-in. It is an http.Handler.
type Store struct {
	// BookmarkInterval is the time between bookmarks of a watch. Set it before use.
	BookmarkInterval time.Duration

	mu      sync.Mutex
	version uint64
	objects map[key]object
	history []change
	// epoch changes when running watches must end.
	epoch  chan struct{}
	wake   chan struct{}
	faults Faults
	counts map[string]int
	// watching is the number of watches that wait.
	watching int
	saved    Backup
}

// New returns an empty, healthy store.
func New() *Store {
	return &Store{
		BookmarkInterval: time.Second,
		objects:          make(map[key]object),
		epoch:            make(chan struct{}),
		wake:             make(chan struct{}),
		counts:           make(map[string]int),
	}
}

// SetFaults replaces the faults in force. Running watches break if the store
// goes down.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.breakWatches()
	}
	s.signal()
}

// Faults returns the faults in force, with what is left of the counted ones.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// CallCounts returns the number of calls by "verb resource".
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// ActiveWatches returns the number of watches that wait.
func (s *Store) ActiveWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}

// ExpireWatches ends all watches with 410 and forgets the history, so that a
// new watch from an old version is refused.
func (s *Store) ExpireWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.breakWatches()
}

// Backup returns a copy of all objects.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore replaces all objects by a copy. Versions continue from those of the
// copy, as after a restore of the platform from a backup.
func (s *Store) Restore(c Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = c.version
	s.objects = maps.Clone(c.objects)
	if s.objects == nil {
		s.objects = make(map[key]object)
	}
	s.history = nil
	s.breakWatches()
}

func (s *Store) breakWatches() {
	close(s.epoch)
	s.epoch = make(chan struct{})
}

func (s *Store) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// put stores o under the next version and tells the watches. The caller holds mu.
func (s *Store) put(k key, o object, kind string) object {
	s.version++
	o.Version = s.version
	if kind == "DELETED" {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.history = append(s.history, change{version: s.version, kind: kind, key: k, object: o})
	if len(s.history) > historySize {
		s.history = append([]change(nil), s.history[len(s.history)-historySize/2:]...)
	}
	s.signal()
	return o
}

func (o object) json() map[string]any {
	body := map[string]any{
		"apiVersion": "azurespring.io/v1", "kind": o.Kind,
		"metadata": map[string]any{"name": o.Name, "resourceVersion": strconv.FormatUint(o.Version, 10)},
	}
	if len(o.Spec) != 0 {
		body["spec"] = o.Spec
	}
	if len(o.Status) != 0 {
		body["status"] = o.Status
	}
	return body
}
