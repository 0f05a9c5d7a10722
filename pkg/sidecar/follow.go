package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/upstream"
	"github.com/azurespring/azurespring/pkg/platform"
)

// Times of the choice between the sources of this node's view.
const (
	// readerReviewInterval and followerReviewInterval are the mean times after which a node
	// that reads the store, or follows a peer, checks whether another source has become the
	// right one. firstReviewInterval is that of the first check of a process: at the start
	// of a fleet, all nodes read the store until they know each other.
	readerReviewInterval   = 3 * time.Second
	followerReviewInterval = 10 * time.Second
	firstReviewInterval    = 1500 * time.Millisecond
	// startReaderCount is the number of readers that is assumed until the first check.
	startReaderCount = 40
	// storeLostTolerance is how long a reader cannot read the store before it tells its
	// followers.
	storeLostTolerance = time.Second
	// maxLoadWait is how long a node without a view waits for that of a peer before it
	// tries another source.
	maxLoadWait = 2 * time.Second
)

// followSources keeps this node's view of the store up to date: from the store if it is
// this node's turn to read it, otherwise from another node of its failure domain.
func (t *tracker) followSources(ctx context.Context) {
	t.loadInstances(ctx)
	t.awaitFirstPeers(ctx)
	for ctx.Err() == nil {
		choice := t.upstream.Choose(t.deps.now(), t.domainPeers())
		if choice.IsStore {
			t.deps.log.event("source_selected", fields{"source": "store"})
			t.readStore(ctx)
			continue
		}
		t.deps.log.event("source_selected", fields{"source": "peer", "peer": choice.Peer.Name, "address": choice.Peer.Address})
		err := t.followPeer(ctx, choice.Peer)
		if err != nil && ctx.Err() == nil {
			t.deps.log.event("source_lost", fields{"peer": choice.Peer.Name, "address": choice.Peer.Address, "error": err.Error()})
			t.upstream.RecordFailure(t.deps.now(), choice.Peer.Name)
		}
	}
}

// loadInstances reads the entries of all instances, by which a source is chosen. It ends
// early if another node has transferred them.
func (t *tracker) loadInstances(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil && !t.isKindLoaded(platform.KindMeshState) {
		if _, err := t.versionToWatch(ctx, platform.KindMeshState); err != nil {
			if t.recordStoreLost(platform.KindMeshState) {
				t.deps.log.event("store_lost", fields{"kind": string(platform.KindMeshState), "error": err.Error()})
			}
			sleep(ctx, retry.NextBackOff())
		}
	}
}

// awaitFirstPeers gives other nodes of the failure domain time to store their entries if
// none has, as at the first start of a fleet. Otherwise all nodes would read everything
// from the store at the same moment.
func (t *tracker) awaitFirstPeers(ctx context.Context) {
	spread := t.deps.settings.FirstReadSpread
	if spread == 0 || t.isLoaded() || len(t.domainPeers()) > 0 {
		return
	}
	sleep(ctx, upstream.StartDelay(t.deps.settings.Instance, spread))
	t.forgetVersion(platform.KindMeshState)
	if _, err := t.versionToWatch(ctx, platform.KindMeshState); err != nil {
		t.deps.log.event("store_read_failed", fields{"name": string(platform.KindMeshState), "error": err.Error()})
	}
}

func (t *tracker) isKindLoaded(kind platform.Kind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadedKinds[kind]
}

// restoreOwnEntry reads the entry of this node, which says what an earlier process has
// acknowledged. No other node is asked for it: what it knows may be older.
func (t *tracker) restoreOwnEntry(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		o, err := t.store.Get(ctx, platform.KindMeshState, t.entryName())
		switch {
		case err == nil:
			t.mu.Lock()
			t.put(platform.KindMeshState, o)
			own := t.instances[t.entryName()]
			t.mu.Unlock()
			t.admission.restore(own, own.Era < platform.EraOf(o.ResourceVersion))
			return
		case errors.Is(err, platform.ErrNotFound):
			t.admission.restore(mesh.Instance{}, false)
			return
		}
		sleep(ctx, retry.NextBackOff())
	}
}

// domainPeers returns the nodes of this node's failure domain that are not stopping.
func (t *tracker) domainPeers() []upstream.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []upstream.Peer
	for _, i := range t.instances {
		if i.FailureDomain == t.deps.settings.FailureDomain && !i.Stopping {
			peers = append(peers, upstream.Peer{Name: i.Name, Address: i.Address})
		}
	}
	return peers
}

// hasNodeAt reports whether an instance has the given inbound address.
func (t *tracker) hasNodeAt(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.instances {
		if i.Address == address {
			return true
		}
	}
	return false
}

// readerCount returns the number of nodes that are expected to read the store: one for
// each failure domain, but more while a fleet starts.
func (t *tracker) readerCount() int {
	if !t.isReviewed.Load() {
		return startReaderCount
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	domains := map[string]bool{t.deps.settings.FailureDomain: true}
	for _, i := range t.instances {
		domains[i.FailureDomain] = true
	}
	return len(domains)
}

// readStore reads the store until another source has become the right one and has
// delivered its view.
func (t *tracker) readStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	running := make(chan struct{}, len(t.kinds))
	for _, kind := range t.kinds {
		go func() {
			t.followKind(ctx, kind)
			running <- struct{}{}
		}()
	}
	defer func() {
		cancel()
		for range t.kinds {
			<-running
		}
		t.mu.Lock()
		clear(t.lostKinds)
		t.mu.Unlock()
	}()
	for ctx.Err() == nil {
		interval := readerReviewInterval
		if !t.isReviewed.Load() {
			interval = firstReviewInterval
		}
		sleep(ctx, jittered(interval))
		t.isReviewed.Store(true)
		choice := t.upstream.Choose(t.deps.now(), t.domainPeers())
		if choice.IsStore || ctx.Err() != nil {
			continue
		}
		if err := t.pull(ctx, choice.Peer); err == nil {
			return
		}
		t.upstream.RecordFailure(t.deps.now(), choice.Peer.Name)
	}
}

// jittered returns a random time around d, so that nodes do not act at the same moment.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// errNotLoaded is the error of a peer that has had no view for maxLoadWait.
var errNotLoaded = errors.New("the peer has no view of the store yet")

// followPeer follows a peer until it fails. It returns nil if another source has become
// the right one.
func (t *tracker) followPeer(ctx context.Context, peer upstream.Peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loadBy := t.deps.now().Add(maxLoadWait)
	reviewAt := t.deps.now().Add(jittered(followerReviewInterval))
	var next error
	t.beginFollowing()
	err := t.peers.follow(ctx, peer.Address, followRequest{Peer: peer.Name, Since: t.versions()}, func(f followFrame) error {
		now := t.deps.now()
		if err := t.applyChanges(f.changes); err != nil {
			return err
		}
		t.upstream.RecordSuccess(peer.Name)
		t.confirmFromPeer(now, f)
		t.setSourceStale(f.isStale)
		if f.isStale {
			t.upstream.RecordStale(now, peer.Name)
			reviewAt = now
		}
		if !t.isLoaded() && now.After(loadBy) {
			return errNotLoaded
		}
		if now.Before(reviewAt) {
			return nil
		}
		reviewAt = now.Add(jittered(followerReviewInterval))
		if choice := t.upstream.Choose(now, t.domainPeers()); choice.IsStore || choice.Peer != peer {
			next = errSourceChanged
			return next
		}
		return nil
	})
	t.setSourceStale(false)
	if next != nil {
		return nil
	}
	return err
}

var errSourceChanged = errors.New("another source is to be used")

func (t *tracker) setSourceStale(isStale bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isSourceStale = isStale
}

// isStale reports whether this node, or the one that it follows, has lost the store.
func (t *tracker) isStale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, since := range t.lostKinds {
		if t.deps.now().Sub(since) > storeLostTolerance {
			return true
		}
	}
	return t.isSourceStale
}

// pullTimeout bounds one request for the changes that another node knows. On a busy fleet,
// a second for it and the waits before and after made a configuration 3.5 s late.
const pullTimeout = 400 * time.Millisecond

// pull gets the changes that a node knows. Without a name, any node at the address will do.
func (t *tracker) pull(ctx context.Context, peer upstream.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	received := false
	err := t.peers.follow(ctx, peer.Address, followRequest{Peer: peer.Name, Since: t.versions(), Once: true}, func(f followFrame) error {
		received = true
		return t.applyChanges(f.changes)
	})
	if received {
		return nil
	}
	return eris.Wrapf(err, "pull from %s", peer.Address)
}

// versions returns the versions up to which the kinds are known.
func (t *tracker) versions() map[platform.Kind]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make(map[platform.Kind]uint64, len(t.kinds))
	for _, kind := range t.kinds {
		versions[kind] = t.asOf[kind]
	}
	return versions
}
