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
	// writeInterval is the shortest time between writes of one service's status.
	writeInterval = 10 * time.Second
	// statusInterval is the time between attempts to write what is due.
	statusInterval = time.Second
	// keptStates is the number of moves of a service that its status remembers, so
	// that a version that was taken back stays so after all nodes are replaced.
	keptStates = 16
	// platformTimeout bounds one call.
	platformTimeout = 5 * time.Second
)

// StoredStatus is the value of a KindMoveStatus object in CBOR.
type StoredStatus struct {
	States []State `cbor:"1,keyasint"`
}

// statusStore reads and writes KindMoveStatus within a small budget.
type statusStore struct {
	store platform.Store
	now   func() time.Time

	mu      sync.Mutex
	dirty   map[string]map[string]State // by service and version
	written map[string]time.Time
	loads   map[string]func(RestoreResult)
}

func newStatusStore(store platform.Store, now func() time.Time) *statusStore {
	return &statusStore{
		store: store, now: now, dirty: map[string]map[string]State{},
		written: map[string]time.Time{}, loads: map[string]func(RestoreResult){},
	}
}

// put notes a state to be written.
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

// load asks for the kept states of a service and repeats until the platform
// answers.
func (k *statusStore) load(service string, done func(RestoreResult)) {
	if k.store == nil {
		done(RestoreResult{Answered: true})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loads[service] = done
}

func (k *statusStore) run(ctx context.Context) {
	if k.store == nil {
		return
	}
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		k.work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (k *statusStore) work(ctx context.Context) {
	k.mu.Lock()
	loads := maps.Clone(k.loads)
	k.mu.Unlock()
	for service, done := range loads {
		k.answer(ctx, service, done)
	}
	for _, service := range k.due() {
		k.write(ctx, service)
	}
}

func (k *statusStore) answer(ctx context.Context, service string, done func(RestoreResult)) {
	_, status, err := k.read(ctx, service)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	k.mu.Lock()
	delete(k.loads, service)
	k.mu.Unlock()
	done(RestoreResult{Answered: true, States: status.States})
}

// due returns the services to be written. A final state is written at once.
func (k *statusStore) due() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var services []string
	for service, states := range k.dirty {
		final := slices.ContainsFunc(slices.Collect(maps.Values(states)), func(s State) bool { return s.Phase != PhaseRunning })
		wait := writeInterval
		if final {
			wait = statusInterval
		}
		if len(states) > 0 && k.now().Sub(k.written[service]) >= wait {
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
	// An unreadable status is replaced: it only repeats what gossip carries.
	if cbor.Unmarshal(object.Value, &status) != nil {
		return object, StoredStatus{}, nil
	}
	return object, status, nil
}

// write merges the noted states into the object. A conflict or a lost reply is
// answered by reading again at the next attempt.
func (k *statusStore) write(ctx context.Context, service string) {
	k.mu.Lock()
	states := maps.Clone(k.dirty[service])
	k.written[service] = k.now()
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
		k.clean(service, states)
	}
}

// clean drops the noted states that were written and not replaced since.
func (k *statusStore) clean(service string, written map[string]State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for to, s := range written {
		if CompareStates(k.dirty[service][to], s) == 0 {
			delete(k.dirty[service], to)
		}
	}
}

// mergeStates keeps the winner per version and the newest keptStates moves.
func mergeStates(a, b []State) []State {
	by := map[string]State{}
	for _, s := range slices.Concat(a, b) {
		if known, ok := by[s.To]; !ok || CompareStates(known, s) < 0 {
			by[s.To] = s
		}
	}
	states := slices.SortedFunc(maps.Values(by), func(x, y State) int {
		return cmp.Or(y.Started.Compare(x.Started), cmp.Compare(x.To, y.To))
	})
	return states[:min(len(states), keptStates)]
}
