package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/platform"
)

// Pauses between two tries to read a kind again, or to publish, while the store
// cannot be reached. Entries must be back within two seconds of its return.
const (
	firstRetry = 100 * time.Millisecond
	lastRetry  = 700 * time.Millisecond
)

// Prefixes of the names of mesh state.
const (
	instancePrefix = "instance-"
	rolloutPrefix  = "rollout-"
)

// DocumentCodec translates what operators write to the store.
type DocumentCodec interface {
	// ConfigurationName is the name of the object that holds the configuration.
	ConfigurationName() string
	DecodeConfiguration(value []byte) (mesh.Configuration, error)
	DecodeRollout(value []byte) (mesh.Rollout, error)
	EncodeRolloutState(version string, state mesh.RolloutState) ([]byte, error)
}

// tracker keeps the node's view of the store and publishes its own entry.
type tracker struct {
	deps    *shared
	store   platform.Store
	docs    DocumentCodec
	gate    *localGate
	builder *placement.Builder

	mu        sync.Mutex
	instances map[string]mesh.Instance
	rollouts  map[string]mesh.Rollout
	progress  map[string]rollout.Progress
	versions  map[string]string
	// objects are the objects of each kind as last seen, for nodes that start while
	// they cannot reach the store.
	objects map[platform.Kind]map[string]platform.Object
	loaded  map[platform.Kind]bool
	// endpoints and nodes are what was logged last.
	endpoints, nodes int
	// changed wakes the publisher, decide the deciding of rollouts, newer the
	// reading of what another node has.
	changed chan struct{}
	decide  chan struct{}
	newer   chan struct{}
	// wanted counts the changes of the endpoints beside this node, stored those
	// that are in the store; published is closed and replaced when it grows.
	wanted, stored uint64
	published      chan struct{}
}

func newTracker(deps *shared, store platform.Store, docs DocumentCodec, gate *localGate) *tracker {
	return &tracker{
		deps: deps, store: store, docs: docs, gate: gate,
		builder: placement.NewBuilder(placement.Locality{
			Instance: deps.settings.Instance, FailureDomain: deps.settings.FailureDomain, Region: deps.settings.Region,
		}),
		instances: make(map[string]mesh.Instance), rollouts: make(map[string]mesh.Rollout),
		progress: make(map[string]rollout.Progress), versions: make(map[string]string),
		objects: make(map[platform.Kind]map[string]platform.Object),
		loaded:  make(map[platform.Kind]bool),
		changed: make(chan struct{}, 1), decide: make(chan struct{}, 1), newer: make(chan struct{}, 1), published: make(chan struct{}),
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run follows the store until ctx ends.
func (t *tracker) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, kind := range []platform.Kind{platform.KindConfiguration, platform.KindRollout, platform.KindMeshState} {
		running.Go(func() { t.follow(ctx, kind) })
	}
	running.Go(func() { t.publish(ctx) })
	running.Go(func() { t.decideRollouts(ctx) })
	running.Go(func() { t.fetchNewer(ctx) })
	running.Wait()
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = firstRetry, lastRetry, 0.5
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// follow keeps the view of one kind: a list, then a watch from it.
func (t *tracker) follow(ctx context.Context, kind platform.Kind) {
	retry := newBackoff()
	lost := false
	for ctx.Err() == nil {
		objects, version, err := t.store.List(ctx, kind)
		if err == nil {
			if lost {
				t.deps.log.event("store_regained", fields{"kind": string(kind)})
				lost = false
			}
			retry.Reset()
			t.replace(kind, objects)
			err = t.store.Watch(ctx, kind, version, func(event platform.Event) error {
				t.apply(kind, event)
				return nil
			})
			if errors.Is(err, platform.ErrWatchExpired) {
				continue
			}
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			t.deps.log.event("store_lost", fields{"kind": string(kind), "error": err.Error()})
			lost = true
		}
		sleep(ctx, retry.NextBackOff())
	}
}

func (t *tracker) replace(kind platform.Kind, objects []platform.Object) {
	t.take(kind, objects)
	t.mu.Lock()
	own := t.instances[t.ownName()]
	t.mu.Unlock()
	t.refresh(kind)
	if kind == platform.KindMeshState {
		t.gate.restore(own)
	}
}

// take replaces the view of a kind.
func (t *tracker) take(kind platform.Kind, objects []platform.Object) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch kind {
	case platform.KindRollout:
		clear(t.rollouts)
	case platform.KindMeshState:
		clear(t.instances)
		clear(t.progress)
		clear(t.versions)
	}
	t.objects[kind] = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		t.put(kind, o)
	}
	t.loaded[kind] = true
}

func (t *tracker) apply(kind platform.Kind, event platform.Event) {
	t.mu.Lock()
	if event.Type == platform.EventDeleted {
		t.remove(kind, event.Object.Name)
	} else {
		t.put(kind, event.Object)
	}
	t.mu.Unlock()
	t.refresh(kind)
}

// put takes in one object; t.mu is held. Objects that cannot be read change
// nothing.
func (t *tracker) put(kind platform.Kind, o platform.Object) {
	if t.objects[kind] == nil {
		t.objects[kind] = make(map[string]platform.Object)
	}
	t.objects[kind][o.Name] = o
	var err error
	switch kind {
	case platform.KindConfiguration:
		if o.Name == t.docs.ConfigurationName() {
			err = t.activate(o)
		}
	case platform.KindRollout:
		var r mesh.Rollout
		raise(&t.deps.orders, parseRevision(o.ResourceVersion))
		raise(&t.deps.heardOrders, parseRevision(o.ResourceVersion))
		if older(o.ResourceVersion, t.rollouts[o.Name].Revision) {
			return // It was read by another way meanwhile.
		}
		if r, err = t.docs.DecodeRollout(o.Value); err == nil {
			r.Revision = o.ResourceVersion
			t.rollouts[o.Name] = r
		}
	case platform.KindMeshState:
		t.versions[o.Name] = o.ResourceVersion
		err = t.putState(o)
	}
	if err != nil {
		t.deps.log.event("object_refused", fields{"kind": string(kind), "name": o.Name, "error": err.Error()})
	}
}

// older reports whether revision a came before b. A store whose versions are not
// numbers has no order that is known here.
func older(a, b string) bool { return parseRevision(a) < parseRevision(b) }

func (t *tracker) putState(o platform.Object) error {
	switch {
	case strings.HasPrefix(o.Name, instancePrefix):
		i, err := mesh.DecodeInstance(o.Value)
		if err != nil {
			return err
		}
		t.instances[o.Name] = i
	case strings.HasPrefix(o.Name, rolloutPrefix):
		var p rollout.Progress
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return eris.Wrap(err, "rollout progress")
		}
		t.progress[o.Name] = p
	}
	return nil
}

func (t *tracker) remove(kind platform.Kind, name string) {
	delete(t.objects[kind], name)
	switch kind {
	case platform.KindRollout:
		delete(t.rollouts, name)
	case platform.KindMeshState:
		delete(t.instances, name)
		delete(t.progress, name)
		delete(t.versions, name)
		if name == t.ownName() && !t.deps.stopping.Load() {
			notify(t.changed)
		}
	}
}

// activate puts a configuration in force. Invariant: its version is above that
// of the one before.
func (t *tracker) activate(o platform.Object) error {
	c, err := t.docs.DecodeConfiguration(o.Value)
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
	raise(&t.deps.heardConfig, c.Version)
	t.deps.log.event("configuration_activated", fields{
		"version": c.Version, "routes": len(c.Routes), "services": len(c.Services),
	})
	return nil
}

// fetchPauseShare is the part of the time within which a configuration must be in
// force that a node waits before another node's word of a newer one costs a call.
// Its own watch, which pauses for less after a change, usually reports it first.
const fetchPauseShare = 0.4

// fetchNewer reads the configuration and the rollouts when another node has newer
// ones.
func (t *tracker) fetchNewer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.newer:
		}
		sleep(ctx, time.Duration(fetchPauseShare*float64(t.deps.settings.ConfigurationApplyTimeout)))
		if heard := t.deps.heardConfig.Load(); heard > t.deps.configVersion() && ctx.Err() == nil {
			t.fetchConfiguration(ctx, heard)
		}
		if heard := t.deps.heardOrders.Load(); heard > t.deps.orders.Load() && ctx.Err() == nil {
			t.fetchRollouts(ctx, heard)
		}
	}
}

func (t *tracker) fetchConfiguration(ctx context.Context, heard uint64) {
	o, err := t.store.Get(ctx, platform.KindConfiguration, t.docs.ConfigurationName())
	if err != nil {
		t.deps.log.event("store_read_failed", fields{"name": t.docs.ConfigurationName(), "error": err.Error()})
		return
	}
	t.deps.log.event("configuration_fetched", fields{"heard": heard, "revision": o.ResourceVersion})
	t.apply(platform.KindConfiguration, platform.Event{Type: platform.EventPut, Object: o})
}

func (t *tracker) fetchRollouts(ctx context.Context, heard uint64) {
	objects, revision, err := t.store.List(ctx, platform.KindRollout)
	if err != nil {
		t.deps.log.event("store_read_failed", fields{"name": string(platform.KindRollout), "error": err.Error()})
		return
	}
	t.deps.log.event("rollouts_fetched", fields{"heard": heard, "revision": revision})
	for _, o := range objects {
		t.apply(platform.KindRollout, platform.Event{Type: platform.EventPut, Object: o})
	}
}

// refresh rebuilds what depends on a kind.
func (t *tracker) refresh(kind platform.Kind) {
	switch kind {
	case platform.KindRollout, platform.KindMeshState:
		t.mu.Lock()
		orders := make([]mesh.Rollout, 0, len(t.rollouts))
		for _, r := range t.rollouts {
			orders = append(orders, r)
		}
		progress := make([]rollout.Progress, 0, len(t.progress))
		for _, p := range t.progress {
			progress = append(progress, p)
		}
		t.mu.Unlock()
		t.deps.rollouts.step(rollout.Event{Kind: rollout.RolloutsReplaced, Rollouts: orders})
		for _, p := range progress {
			t.deps.rollouts.step(rollout.Event{Kind: rollout.ProgressRead, Progress: p})
		}
		notify(t.decide)
	}
	if kind == platform.KindMeshState {
		t.rebuild()
	}
}

// rebuild compiles the table from the entries of all instances. This node's own
// endpoints are taken from the gate, which knows them first.
func (t *tracker) rebuild() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded[platform.KindMeshState] {
		return
	}
	list := make([]mesh.Instance, 0, len(t.instances)+1)
	for name, i := range t.instances {
		if name == t.ownName() {
			continue
		}
		if i.Stopping {
			i.Endpoints = nil
		}
		list = append(list, i)
	}
	list = append(list, t.ownEntry())
	t.deps.table.Store(t.builder.Build(t.deps.now(), list))
	endpoints := 0
	for _, i := range list {
		endpoints += len(i.Endpoints)
	}
	if endpoints != t.endpoints || len(list) != t.nodes {
		t.endpoints, t.nodes = endpoints, len(list)
		t.deps.log.event("endpoints_known", fields{"endpoints": endpoints, "instances": len(list)})
	}
}

// ready reports whether all that requests depend on has been read.
func (t *tracker) ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded[platform.KindRollout] && t.loaded[platform.KindMeshState] && t.deps.snapshot.Load() != nil
}

// endpointsChanged takes in a change of the endpoints beside this node.
func (t *tracker) endpointsChanged() {
	t.mu.Lock()
	t.wanted++
	t.mu.Unlock()
	t.rebuild()
	notify(t.changed)
}
