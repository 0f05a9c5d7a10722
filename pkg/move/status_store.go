package move

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/azurespring/azurespring/pkg/platform"
)

const (
	// minWriteInterval is the minimum time between writes of one service's status.
	minWriteInterval = 10 * time.Second
	// pollInterval is the time between checks for pending loads and writes.
	pollInterval = time.Second
	// maxRetainedStates is the number of moves in a service's status. They keep a
	// rolled back version from being tried again after all nodes were replaced.
	maxRetainedStates = 16
	// platformTimeout bounds the read, and again the write, of one status.
	platformTimeout = 5 * time.Second
)

// StoredStatus is the value of a KindMoveStatus object in CBOR.
type StoredStatus struct {
	States []State `cbor:"1,keyasint"`
}

// statusStore reads and writes KindMoveStatus objects with few calls to the platform.
type statusStore struct {
	store platform.Store
	now   func() time.Time

	mu           sync.Mutex
	dirty        map[string]map[string]State // by service and version
	lastWrites   map[string]time.Time
	pendingLoads map[string]func(RestoreResult)
}

func newStatusStore(store platform.Store, now func() time.Time) *statusStore {
	return &statusStore{
		store: store, now: now, dirty: map[string]map[string]State{},
		lastWrites: map[string]time.Time{}, pendingLoads: map[string]func(RestoreResult){},
	}
}

// put queues a state to be written.
func (k *statusStore) put(s State) {
	if k.store == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dirty[s.Service] == nil {
		k.dirty[s.Service] = map[string]State{}
	}
	if known, ok := k.dirty[s.Service][s.To]; !ok || CompareStates(known, s) < 0 {
		k.dirty[s.Service][s.To] = s
	}
}

// load requests the stored states of a service. Reading is retried until the
// platform responds, and done is then called with the result.
func (k *statusStore) load(service string, done func(RestoreResult)) {
	if k.store == nil {
		done(RestoreResult{Answered: true})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pendingLoads[service] = done
}

func (k *statusStore) run(ctx context.Context) {
	if k.store == nil {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		k.runPending(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (k *statusStore) runPending(ctx context.Context) {
	k.mu.Lock()
	loads := maps.Clone(k.pendingLoads)
	k.mu.Unlock()
	for service, done := range loads {
		k.runLoad(ctx, service, done)
	}
	for _, service := range k.servicesToWrite() {
		k.write(ctx, service)
	}
}

func (k *statusStore) runLoad(ctx context.Context, service string, done func(RestoreResult)) {
	_, status, err := k.read(ctx, service)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	k.mu.Lock()
	delete(k.pendingLoads, service)
	k.mu.Unlock()
	done(RestoreResult{Answered: true, States: status.States})
}

// servicesToWrite returns the services whose write is due. Final states do not wait
// for minWriteInterval.
func (k *statusStore) servicesToWrite() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var services []string
	for service, states := range k.dirty {
		hasFinal := slices.ContainsFunc(slices.Collect(maps.Values(states)), func(s State) bool { return s.Phase != PhaseRunning })
		wait := minWriteInterval
		if hasFinal {
			wait = pollInterval
		}
		if len(states) > 0 && k.now().Sub(k.lastWrites[service]) >= wait {
			services = append(services, service)
		}
	}
	return services
}

func (k *statusStore) read(ctx context.Context, service string) (platform.Object, StoredStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	object, err := k.store.Get(ctx, platform.KindMoveStatus, service)
	if err != nil {
		return object, StoredStatus{}, err
	}
	var status StoredStatus
	// A malformed status is overwritten: gossip carries the same states.
	if cbor.Unmarshal(object.Value, &status) != nil {
		return object, StoredStatus{}, nil
	}
	return object, status, nil
}

// write merges the queued states into the stored object. After a conflict or a
// dropped reply the next attempt reads the object again.
func (k *statusStore) write(ctx context.Context, service string) {
	k.mu.Lock()
	states := maps.Clone(k.dirty[service])
	k.lastWrites[service] = k.now()
	k.mu.Unlock()
	object, status, err := k.read(ctx, service)
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		return
	}
	value, err := cbor.Marshal(StoredStatus{States: mergeStates(status.States, slices.Collect(maps.Values(states)))})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if missing {
		_, err = k.store.Create(ctx, platform.KindMoveStatus, service, value)
	} else {
		object.Value = value
		_, err = k.store.Update(ctx, object)
	}
	if err == nil {
		k.clearWritten(service, states)
	}
}

// clearWritten removes the queued states that were written, unless newer ones have
// replaced them.
func (k *statusStore) clearWritten(service string, states map[string]State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for to, s := range states {
		if CompareStates(k.dirty[service][to], s) == 0 {
			delete(k.dirty[service], to)
		}
	}
}

// mergeStates returns the greater state per version for the newest
// maxRetainedStates moves.
func mergeStates(a, b []State) []State {
	byVersion := map[string]State{}
	for _, s := range slices.Concat(a, b) {
		if known, ok := byVersion[s.To]; !ok || CompareStates(known, s) < 0 {
			byVersion[s.To] = s
		}
	}
	states := slices.SortedFunc(maps.Values(byVersion), func(x, y State) int {
		return cmp.Or(y.Started.Compare(x.Started), cmp.Compare(x.To, y.To))
	})
	return states[:min(len(states), maxRetainedStates)]
}
