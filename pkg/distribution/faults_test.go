package distribution_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/platform"
	"gotest.tools/v3/assert"
)

func mustApply(t *testing.T, n *node, base uint64, content string) {
	t.Helper()
	result, err := n.Apply(t.Context(), change(content, base, content))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, base+1)
}

func (f *fleet) awaitReader(n *node) {
	f.t.Helper()
	f.await(n.address+" to be reader", func() bool { return n.recorded(distribution.EventReaderStarted) })
}

// TestRestoredPlatformIsBroughtUpToDate verifies that a platform restored from an older
// copy neither rolls back a node nor keeps the old state: the reader writes the active
// version back, and a change made right after the restore gets a new version number.
func TestRestoredPlatformIsBroughtUpToDate(t *testing.T) {
	f := newFleet(t)
	readerNode, other := f.add(asReaderCandidate), f.add(nil)
	f.awaitReader(readerNode)
	mustApply(t, other, 0, "a")
	f.awaitVersion(1, readerNode)
	backup := f.fakePlatform.Backup()
	mustApply(t, other, 1, "b")
	// The reader skips a version that is superseded while it is being fetched.
	f.awaitVersion(2, readerNode)
	mustApply(t, other, 2, "c")
	f.awaitVersion(3, readerNode)

	f.fakePlatform.Restore(backup)
	mustApply(t, other, 3, "d")
	f.awaitVersion(4, readerNode, other)
	assert.DeepEqual(t, readerNode.activated(), []uint64{1, 2, 3, 4})
	assert.Assert(t, readerNode.recorded(distribution.EventWriteBack))

	// The head and its parts must be complete for a node that has no peers.
	joining := f.add(nil)
	assert.NilError(t, joining.Bootstrap(t.Context(), nil))
	assert.Equal(t, joining.Snapshot().Service("service-0").Version, "d")
}

// TestEmptiedPlatformIsRefilled verifies that the reader writes the active version back
// to a platform that lost all data, without a change by an operator.
func TestEmptiedPlatformIsRefilled(t *testing.T) {
	f := newFleet(t)
	readerNode := f.add(asReaderCandidate)
	f.awaitReader(readerNode)
	mustApply(t, readerNode, 0, "a")
	f.fakePlatform.Restore(teststore.Backup{})
	joining := f.add(nil)
	f.await("the version to be written back", func() bool {
		return joining.Bootstrap(t.Context(), nil) == nil && joining.Version() == 1
	})
}

// TestConflictingVersionsConverge verifies that two configurations under one version
// number do not both stay active, whichever of them the reader has, and that the
// conflict is reported.
func TestConflictingVersionsConverge(t *testing.T) {
	t.Run("reader bootstraps from peers", func(t *testing.T) {
		assert.Equal(t, convergeConflictingVersions(t, true), "first")
	})
	t.Run("reader starts from the head", func(t *testing.T) {
		// Which one stays depends on whether gossip or the head reaches the reader
		// first.
		activeContent := convergeConflictingVersions(t, false)
		assert.Assert(t, activeContent == "first" || activeContent == "second", activeContent)
	})
}

// convergeConflictingVersions creates two configurations under version 1 and returns
// the content of the version that all nodes converge to. The reader takes its first
// version from a peer if bootstrapFromPeers is set, otherwise from the head or by gossip.
func convergeConflictingVersions(t *testing.T, bootstrapFromPeers bool) string {
	f := newFleet(t)
	empty := f.fakePlatform.Backup()
	n := f.add(nil)
	mustApply(t, n, 0, "first")
	f.fakePlatform.Restore(empty)
	conflictingNode := f.add(nil)
	f.setUnreachable(conflictingNode.address, true)
	mustApply(t, conflictingNode, 0, "second")
	f.setUnreachable(conflictingNode.address, false)

	var candidate atomic.Bool
	readerNode := f.add(func(o *distribution.Options) { o.IsReaderCandidate = candidate.Load })
	if bootstrapFromPeers {
		assert.NilError(t, readerNode.Bootstrap(t.Context(), []string{n.address}))
	}
	candidate.Store(true)
	f.awaitVersion(2, n, conflictingNode, readerNode)
	digest := readerNode.Snapshot().Manifest().Digest
	for _, node := range []*node{n, conflictingNode} {
		assert.Equal(t, node.Snapshot().Manifest().Digest, digest)
	}
	assert.Assert(t, readerNode.recorded(distribution.EventConflict))
	return readerNode.Snapshot().Service("service-0").Version
}

// TestConcurrentChangesOnOneBaseAcceptExactlyOne verifies that of two changes on the
// same base version exactly one is accepted, and that the other one fails with the
// names of the changed parts.
func TestConcurrentChangesOnOneBaseAcceptExactlyOne(t *testing.T) {
	f := newFleet(t)
	nodes := []*node{f.add(nil), f.add(nil)}
	mustApply(t, nodes[0], 0, "a")
	f.awaitVersion(1, nodes...)
	errs := make([]error, 2)
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() { _, errs[i] = n.Apply(t.Context(), change(n.address, 1, n.address)) })
	}
	group.Wait()
	f.awaitVersion(2, nodes...)
	loser := slices.IndexFunc(errs, func(err error) bool { return err != nil })
	assert.Assert(t, loser >= 0 && errs[1-loser] == nil, "%v", errs)
	var conflict *distribution.ConflictError
	assert.Assert(t, errors.As(errs[loser], &conflict), "%v", errs[loser])
	assert.DeepEqual(t, conflict.PartNames, []string{"service/service-0"})
	for _, n := range nodes {
		assert.Equal(t, n.Snapshot().Service("service-0").Version, nodes[1-loser].address)
	}
}

// outageStore is a store that becomes unavailable to its user right after a head update
// took effect.
type outageStore struct {
	platform.Store
	isDown atomic.Bool
}

var errNoReply = errors.New("no reply")

func (s *outageStore) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if s.isDown.Load() {
		return platform.Object{}, errNoReply
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *outageStore) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	if o.Kind == platform.KindConfigHead {
		s.isDown.Store(true)
		_, _ = s.Store.Update(ctx, o)
		return platform.Object{}, errNoReply
	}
	return s.Store.Update(ctx, o)
}

// TestUnknownOutcomeIsResolvedByRetry verifies that a change whose outcome is unknown
// is reported neither as accepted nor as rejected, and that a retry with the same
// change id finds the outcome without creating a second version.
func TestUnknownOutcomeIsResolvedByRetry(t *testing.T) {
	f := newFleet(t)
	var store *outageStore
	n := f.add(func(o *distribution.Options) {
		store = &outageStore{Store: o.Store}
		o.Store = store
	})
	mustApply(t, n, 0, "a")
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := n.Apply(ctx, change("b", 1, "b"))
		result <- err
	}()
	f.await("the platform outage", store.isDown.Load)
	cancel()
	var unknown *distribution.UnknownOutcomeError
	err := <-result
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, n.Version(), uint64(1))
	store.isDown.Store(false)
	again, err := n.Apply(t.Context(), change("b", 1, "b"))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, distribution.ApplyResult{Version: 2, AlreadyApplied: true})
	assert.Equal(t, n.Version(), uint64(2))
}

// TestReaderSeesChangesAfterWatchFails verifies that the reader sees changes after its
// watch expired, became idle or broke, when no announcement reaches it.
func TestReaderSeesChangesAfterWatchFails(t *testing.T) {
	faults := map[string]func(*teststore.Store){
		"expired": (*teststore.Store).ExpireWatches,
		"idle":    func(s *teststore.Store) { s.SetFaults(teststore.Faults{SilenceWatches: true}) },
		"broken": func(s *teststore.Store) {
			s.SetFaults(teststore.Faults{Down: true})
			s.SetFaults(teststore.Faults{})
		},
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			readerNode, other, writer := f.add(asReaderCandidate), f.add(nil), f.add(nil)
			f.setUnreachable(writer.address, true)
			f.awaitReader(readerNode)
			mustApply(t, writer, 0, "a")
			f.awaitVersion(1, readerNode, other)
			injectFault(f.fakePlatform)
			mustApply(t, writer, 1, "b")
			f.awaitVersion(2, readerNode, other)
		})
	}
}

// TestStaleFencingTokenIsDroppedAfterReaderTakeover verifies that another candidate
// becomes the reader with a higher fencing token when the reader stops, and that
// announcements with the old token are dropped afterwards.
func TestStaleFencingTokenIsDroppedAfterReaderTakeover(t *testing.T) {
	f := newFleet(t)
	first, writer, other := f.add(asReaderCandidate), f.add(nil), f.add(nil)
	f.setUnreachable(writer.address, true)
	f.awaitReader(first)
	mustApply(t, writer, 0, "a")
	f.awaitVersion(1, first, other)
	first.stop()
	f.setUnreachable(first.address, true)
	second := f.add(asReaderCandidate)
	f.awaitReader(second)
	mustApply(t, writer, 1, "b")
	f.awaitVersion(2, second, other)

	stale, err := other.staleAnnouncement()
	assert.NilError(t, err)
	other.OnConfigItem(gossip.Item{Topic: gossip.TopicConfig, Payload: stale})
	f.await("the stale announcement to be dropped", func() bool { return other.recorded(distribution.EventStaleFence) })
}

// staleAnnouncement returns the current announcement of the node with a lower fencing
// token.
func (n *node) staleAnnouncement() ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return distribution.WithLowerFencingToken(n.items["head"])
}

// TestPlatformOutageKeepsActiveVersion verifies that during a platform outage nodes
// keep the active version, a restarted node gets it from peers, and changes fail as not
// accepted instead of with an unknown outcome.
func TestPlatformOutageKeepsActiveVersion(t *testing.T) {
	f := newFleet(t)
	n := f.add(nil)
	mustApply(t, n, 0, "a")
	f.fakePlatform.SetFaults(teststore.Faults{Down: true})
	restarted := f.add(nil)
	assert.NilError(t, restarted.Bootstrap(t.Context(), []string{n.address}))
	assert.Equal(t, restarted.Version(), uint64(1))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := n.Apply(ctx, change("b", 1, "b"))
	var unknown *distribution.UnknownOutcomeError
	assert.Assert(t, err != nil && !errors.As(err, &unknown), "%v", err)
}

// TestGarbageCollectionDeletesOnlyUnreferencedParts verifies that parts that no version
// refers to are deleted, and that referenced parts are not.
func TestGarbageCollectionDeletesOnlyUnreferencedParts(t *testing.T) {
	f := newFleet(t)
	n := f.add(func(o *distribution.Options) {
		asReaderCandidate(o)
		o.GCInterval, o.GCMinAge = 20*time.Millisecond, 40*time.Millisecond
		o.BootstrapAddresses = func() []string { return []string{"10.0.0.2:1", "10.0.0.1:1"} }
	})
	countParts := func() int {
		objects, _, err := n.countingStore.List(t.Context(), platform.KindConfigPart)
		assert.NilError(t, err)
		return len(objects)
	}
	mustApply(t, n, 0, "a")
	partsPerVersion := countParts()
	mustApply(t, n, 1, "b")
	f.await("the old part to be deleted", func() bool { return countParts() == partsPerVersion })
	// A deleted part that a later version refers to is stored again.
	_, err := n.Apply(t.Context(), change("a again", 2, "a"))
	assert.NilError(t, err)
	joining := f.add(nil)
	assert.NilError(t, joining.Bootstrap(t.Context(), nil))
	assert.Equal(t, joining.Snapshot().Service("service-0").Version, "a")

	addresses, err := distribution.ReadBootstrapAddresses(t.Context(), n.countingStore, "a")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(addresses, " "), "10.0.0.1:1 10.0.0.2:1")
}
