package sidecar

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/evacuation"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/mesh/tenant"
	"github.com/azurespring/azurespring/pkg/mesh/upstream"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/quotasync"
)

// Pauses between two attempts to read a kind or to publish while the store is
// unreachable. Entries must be stored again within two seconds after the store is
// reachable again.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
)

// Prefixes of the object names of the kind mesh state.
const (
	instancePrefix = "instance-"
	rolloutPrefix  = "rollout-"
	inUsePrefix    = "version-"
)

// trackedKinds are the kinds of objects that every node follows.
var trackedKinds = []platform.Kind{platform.KindConfiguration, platform.KindRollout, platform.KindMeshState}

// DocumentCodec decodes and encodes the documents that operators write to the store.
type DocumentCodec interface {
	// ConfigurationName is the name of the object that holds the configuration.
	ConfigurationName() string
	DecodeConfiguration(value []byte) (mesh.Configuration, error)
	DecodeRollout(value []byte) (mesh.Rollout, error)
	EncodeRolloutState(version string, state mesh.RolloutState) ([]byte, error)
}

// tracker maintains the node's view of the store and publishes the node's own entry.
type tracker struct {
	deps      *shared
	store     platform.Store
	codec     DocumentCodec
	admission *localAdmission
	builder   *placement.Builder
	// peers reaches the nodes that this node follows; upstream chooses among them.
	peers    *hopClient
	upstream *upstream.Selector
	// isReviewed is set once a reader has checked for another source.
	isReviewed atomic.Bool

	// instances, rollouts and progress hold the decoded objects by object name. An object
	// that cannot be decoded leaves the last one in place that could.
	mu        sync.Mutex
	instances map[string]mesh.Instance
	rollouts  map[string]mesh.Rollout
	progress  map[string]rollout.Progress
	// kinds are the kinds that this node follows, and evacuated the evacuated failure domains.
	kinds     []platform.Kind
	evacuated map[string]bool
	// resourceVersions holds the version of each object that was read last, decoded or
	// not.
	resourceVersions map[platform.Kind]map[string]string
	// objects holds the decoded objects in their stored form. They are sent to nodes that
	// start while they cannot reach the store.
	objects     map[platform.Kind]map[string]platform.Object
	loadedKinds map[platform.Kind]bool
	// asOf holds the store's version up to which all changes of a kind are known; 0 if
	// unknown. removals holds the objects that were removed since removalsFrom, with the
	// versions at which that was known.
	asOf         map[platform.Kind]uint64
	removals     map[platform.Kind]map[string]uint64
	removalsFrom map[platform.Kind]uint64
	// viewChanged is closed and replaced whenever the view of a kind has changed.
	viewChanged chan struct{}
	frames      frameCache
	// lostKinds holds since when this node, as a reader, cannot read a kind. isSourceStale
	// is set if the node that it follows has lost the store.
	lostKinds     map[platform.Kind]time.Time
	isSourceStale bool
	// eras holds the era of the store in which the view of a kind was read, and lostWrites,
	// by name, the mesh state that is used although the store has lost it.
	eras map[platform.Kind]uint64
	// eraSince is when this node learned the era of mesh state, and startedAt when it started,
	// on the boot clock.
	eraSince       time.Duration
	startedAt      time.Duration
	lostWrites     map[string]lostWrite
	lostWritesWake chan struct{}
	// lostEvacuations holds the evacuations that are in force although the store has lost
	// them, with the times until which they are.
	lostEvacuations map[string]time.Time
	// certainty tells when the configuration was last known to be the newest, and
	// loggedCertain what of it was logged last.
	certainty     tenant.Certainty
	loggedCertain bool
	// inUseDueSince holds since when a version is to be stored as in use, and inUsePolledAt
	// when that was last looked at. Only advanceRollouts uses them.
	inUseDueSince map[rollout.InUse]time.Time
	inUsePolledAt time.Time
	// loggedEndpoints and loggedNodes are the counts that were logged last.
	loggedEndpoints, loggedNodes int
	// publishWake wakes publish, rolloutWake advanceRollouts, and fetchWake fetchNewer.
	publishWake chan struct{}
	rolloutWake chan struct{}
	fetchWake   chan struct{}
	// changeCount is the number of changes of the local endpoints, storedCount the
	// number of those that are stored. published is closed and replaced whenever
	// storedCount grows.
	changeCount, storedCount uint64
	published                chan struct{}
}

func newTracker(deps *shared, store platform.Store, codec DocumentCodec, admission *localAdmission) *tracker {
	t := &tracker{
		deps: deps, store: store, codec: codec, admission: admission,
		builder: placement.NewBuilder(placement.Locality{
			Instance: deps.settings.Instance, FailureDomain: deps.settings.FailureDomain, Region: deps.settings.Region,
		}),
		instances: make(map[string]mesh.Instance), rollouts: make(map[string]mesh.Rollout),
		progress: make(map[string]rollout.Progress), resourceVersions: make(map[platform.Kind]map[string]string),
		objects:     make(map[platform.Kind]map[string]platform.Object),
		loadedKinds: make(map[platform.Kind]bool),
		asOf:        make(map[platform.Kind]uint64), removals: make(map[platform.Kind]map[string]uint64),
		removalsFrom: make(map[platform.Kind]uint64), viewChanged: make(chan struct{}), lostKinds: make(map[platform.Kind]time.Time),
		eras: make(map[platform.Kind]uint64), lostWrites: make(map[string]lostWrite), lostWritesWake: make(chan struct{}, 1),
		kinds: kindsOf(deps.settings), evacuated: make(map[string]bool), lostEvacuations: make(map[string]time.Time),
		upstream:    upstream.NewSelector(deps.settings.Instance),
		startedAt:   quotasync.BootClock(),
		publishWake: make(chan struct{}, 1), rolloutWake: make(chan struct{}, 1), fetchWake: make(chan struct{}, 1), published: make(chan struct{}),
	}
	if deps.settings.EvacuationTimeout <= 0 {
		deps.evacuations.Store(evacuation.None)
	}
	for _, kind := range t.kinds {
		t.resourceVersions[kind], t.objects[kind] = make(map[string]string), make(map[string]platform.Object)
		t.removals[kind] = make(map[string]uint64)
	}
	return t
}

// notify wakes the receiver of c unless a wake-up is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run follows the store until ctx ends.
func (t *tracker) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { t.restoreOwnEntry(ctx) })
	running.Go(func() { t.followSources(ctx) })
	running.Go(func() { t.publish(ctx) })
	running.Go(func() { t.advanceRollouts(ctx) })
	running.Go(func() { t.fetchNewer(ctx) })
	running.Go(func() { t.expireLostWrites(ctx) })
	running.Wait()
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = minRetryDelay, maxRetryDelay, 0.5
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// replaceView replaces the view of a kind by a complete list. asOf is the version of the
// list, 0 if it is not known. A list that is older than the view changes nothing.
func (t *tracker) replaceView(kind platform.Kind, objects []platform.Object, asOf uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf > 0 && asOf < t.asOf[kind] {
		return
	}
	isRestored := t.beginEra(kind, asOf)
	if asOf == 0 {
		t.adoptEra(kind, objects)
	}
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		t.put(kind, o)
	}
	if isRestored && kind == platform.KindEvacuation {
		t.keepLostEvacuations(listed)
	}
	for name, version := range t.resourceVersions[kind] {
		// An object that this node wrote after the list was made is not in it.
		switch {
		case listed[name] || asOf > 0 && parseRevision(version) > asOf:
		case isRestored && t.keepsLostWrites(kind, name):
			delete(t.objects[kind], name)
			delete(t.resourceVersions[kind], name)
			t.keepLostWrite(name, nil)
		default:
			t.remove(kind, name)
			t.recordRemoval(kind, name, asOf)
		}
	}
	if !t.loadedKinds[kind] {
		t.removalsFrom[kind] = asOf
	}
	t.loadedKinds[kind] = true
	t.asOf[kind] = max(t.asOf[kind], asOf)
}

// apply applies one change of an object that the store reported.
func (t *tracker) apply(kind platform.Kind, event platform.Event) {
	asOf := parseRevision(event.AsOf)
	t.mu.Lock()
	switch {
	case event.Type != platform.EventDeleted:
		t.put(kind, event.Object)
	case asOf == 0 || asOf > t.asOf[kind]:
		t.remove(kind, event.Object.Name)
		t.recordRemoval(kind, event.Object.Name, asOf)
	}
	if !event.MoreFollow {
		t.asOf[kind] = max(t.asOf[kind], asOf)
	}
	t.mu.Unlock()
	if !event.MoreFollow {
		t.refresh(kind)
	}
}

// put applies one object; t.mu must be held. An object that cannot be decoded is logged
// once per version and leaves the last one in place that could.
func (t *tracker) put(kind platform.Kind, o platform.Object) {
	read := t.resourceVersions[kind][o.Name]
	if read != "" && (o.ResourceVersion == read || isOlder(o.ResourceVersion, read)) {
		return // This or a newer version was read in the meantime.
	}
	isLost := t.isLostWrite(kind, o, read)
	t.resourceVersions[kind][o.Name] = o.ResourceVersion
	if !t.isUsed(kind, o.Name) {
		return
	}
	if isLost {
		t.objects[kind][o.Name] = o
		t.keepLostWrite(o.Name, &o)
		return
	}
	err := t.decode(kind, o)
	if kind == platform.KindMeshState && o.Name == t.entryName() {
		t.recordOwnEntry(err)
	}
	if err != nil {
		t.deps.log.event("object_refused", fields{"kind": string(kind), "name": o.Name, "revision": o.ResourceVersion, "error": err.Error()})
		return
	}
	if known, ok := t.objects[kind][o.Name]; ok && kind == platform.KindConfiguration && t.isRestoredConfiguration(o, known) {
		// The operator writes the newer configuration again. Until then, nodes that follow
		// this one get it from here.
		o.Value = known.Value
	}
	if kind == platform.KindEvacuation {
		o.Value = evacuationValue
	}
	t.objects[kind][o.Name] = o
	if kind == platform.KindMeshState {
		delete(t.lostWrites, o.Name)
	}
}

// isRestoredConfiguration reports whether o is a configuration below the known one, read
// from a store that was restored.
func (t *tracker) isRestoredConfiguration(o, known platform.Object) bool {
	if platform.EraOf(o.ResourceVersion) <= platform.EraOf(known.ResourceVersion) {
		return false
	}
	read, err := t.codec.DecodeConfiguration(o.Value)
	return err == nil && read.Version < t.deps.configVersion()
}

// isUsed reports whether nodes use an object of the given name. One without a name is
// reported.
func (t *tracker) isUsed(kind platform.Kind, name string) bool {
	switch kind {
	case platform.KindConfiguration:
		return name == t.codec.ConfigurationName() || name == ""
	case platform.KindMeshState:
		return strings.HasPrefix(name, instancePrefix) || strings.HasPrefix(name, rolloutPrefix) || strings.HasPrefix(name, inUsePrefix) || name == ""
	}
	return true
}

func (t *tracker) decode(kind platform.Kind, o platform.Object) error {
	switch {
	case o.Name == "":
		return eris.New("the metadata of the object cannot be read")
	case kind == platform.KindConfiguration:
		return t.activate(o)
	case kind == platform.KindRollout:
		return t.putRollout(o)
	case kind == platform.KindEvacuation:
		t.putEvacuation(o)
		return nil
	}
	return t.putState(o)
}

func (t *tracker) putRollout(o platform.Object) error {
	storeMax(&t.deps.rolloutRevision, parseRevision(o.ResourceVersion))
	storeMax(&t.deps.newestRolloutRevision, parseRevision(o.ResourceVersion))
	r, err := t.codec.DecodeRollout(o.Value)
	if err != nil {
		return err
	}
	if o.Name != r.Service {
		return eris.Errorf("the rollout names another service: %.60q", r.Service)
	}
	r.Revision = o.ResourceVersion
	t.rollouts[o.Name] = r
	return nil
}

// isOlder reports whether revision a came before b. The order is unknown, and the
// result false, if the revisions are not numbers.
func isOlder(a, b string) bool { return parseRevision(a) < parseRevision(b) }

func (t *tracker) putState(o platform.Object) error {
	switch {
	case strings.HasPrefix(o.Name, instancePrefix):
		i, err := mesh.DecodeInstance(o.Value)
		if err != nil {
			return err
		}
		if o.Name != instancePrefix+i.Name {
			return eris.Errorf("the entry names another instance: %.60q", i.Name)
		}
		t.instances[o.Name] = i
	case strings.HasPrefix(o.Name, rolloutPrefix):
		var p rollout.Progress
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return eris.Wrap(err, "decode rollout progress")
		}
		if o.Name != rolloutPrefix+p.Service {
			return eris.Errorf("the progress names another service: %.60q", p.Service)
		}
		t.progress[o.Name] = p
	case strings.HasPrefix(o.Name, inUsePrefix):
		var u rollout.InUse
		if err := json.Unmarshal(o.Value, &u); err != nil {
			return eris.Wrap(err, "decode version in use")
		}
		if o.Name != inUsePrefix+u.Service || u.Version == "" {
			return eris.Errorf("the object names another service or no version: %.60q", u.Service)
		}
		t.deps.rollouts.setInUse(u)
	}
	return nil
}

func (t *tracker) remove(kind platform.Kind, name string) {
	delete(t.objects[kind], name)
	delete(t.resourceVersions[kind], name)
	switch kind {
	case platform.KindRollout:
		delete(t.rollouts, name)
	case platform.KindEvacuation:
		delete(t.evacuated, name)
		delete(t.lostEvacuations, name)
	case platform.KindMeshState:
		delete(t.lostWrites, name)
		delete(t.instances, name)
		delete(t.progress, name)
		if name == t.entryName() && !t.deps.isShuttingDown() {
			notify(t.publishWake)
		}
	}
}

// activate makes a configuration active. Versions that are not above the active one are
// ignored, so that the active version only grows.
func (t *tracker) activate(o platform.Object) error {
	c, err := t.codec.DecodeConfiguration(o.Value)
	if err != nil {
		return err
	}
	current := t.deps.snapshot.Load()
	if current != nil && c.Version <= current.Version() {
		return nil
	}
	snapshot, err := mesh.Compile(c)
	if err != nil {
		return err
	}
	t.deps.snapshot.Store(snapshot)
	storeMax(&t.deps.newestConfigVersion, c.Version)
	t.deps.log.event("configuration_activated", fields{
		"version": c.Version, "routes": len(c.Routes), "services": len(c.Services), "tenants": len(c.Tenants),
	})
	return nil
}

// refresh rebuilds what is derived from the objects of a kind.
func (t *tracker) refresh(kind platform.Kind) {
	switch kind {
	case platform.KindEvacuation:
		t.refreshEvacuations()
	case platform.KindRollout, platform.KindMeshState:
		t.mu.Lock()
		rollouts := make([]mesh.Rollout, 0, len(t.rollouts))
		for _, r := range t.rollouts {
			rollouts = append(rollouts, r)
		}
		progress := make([]rollout.Progress, 0, len(t.progress))
		for _, p := range t.progress {
			progress = append(progress, p)
		}
		era := t.eras[platform.KindRollout]
		t.mu.Unlock()
		t.deps.rollouts.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: rollouts, Era: era})
		for _, p := range progress {
			t.deps.rollouts.step(rollout.Event{Kind: rollout.ProgressRead, Progress: p})
		}
		notify(t.rolloutWake)
	}
	if kind == platform.KindMeshState {
		t.rebuildTable()
	}
	t.mu.Lock()
	close(t.viewChanged)
	t.viewChanged = make(chan struct{})
	t.mu.Unlock()
}

// rebuildTable builds the endpoint table from the entries of all instances. This node's
// own endpoints are taken from localAdmission, which learns of changes first.
func (t *tracker) rebuildTable() {
	defer t.admission.crashes.acquitCompleted()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loadedKinds[platform.KindMeshState] {
		return
	}
	list := make([]mesh.Instance, 0, len(t.instances)+1)
	for name, i := range t.instances {
		if name == t.entryName() {
			continue
		}
		if i.Stopping {
			i.Endpoints = nil
		}
		list = append(list, i)
	}
	list = append(list, t.ownEntry())
	t.admission.crashes.evaluate(list)
	t.deps.table.Store(t.builder.Build(t.deps.now(), list))
	endpoints := 0
	for _, i := range list {
		endpoints += len(i.Endpoints)
	}
	if endpoints != t.loggedEndpoints || len(list) != t.loggedNodes {
		t.loggedEndpoints, t.loggedNodes = endpoints, len(list)
		t.deps.log.event("endpoints_known", fields{"endpoints": endpoints, "instances": len(list)})
	}
}

// isLoaded reports whether everything that requests depend on is known.
func (t *tracker) isLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadedKinds[platform.KindRollout] && t.loadedKinds[platform.KindMeshState] && t.deps.snapshot.Load() != nil &&
		t.deps.evacuations.Load() != nil
}

// endpointsChanged applies a change of the local endpoints.
func (t *tracker) endpointsChanged() {
	t.mu.Lock()
	t.changeCount++
	t.mu.Unlock()
	t.rebuildTable()
	notify(t.publishWake)
}
