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

func apply(t *testing.T, n *node, base uint64, mark string) {
	t.Helper()
	result, err := n.Apply(t.Context(), change(mark, base, mark))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, base+1)
}

func (f *fleet) awaitReader(n *node) {
	f.t.Helper()
	f.await(n.address+" to be reader", func() bool { return n.recorded(distribution.EventReaderStarted) })
}

// TestRestoreFromOlderCopy guards that a platform that comes back in an older
// state neither takes any node back nor keeps that state, and that a change made
// right after it gets a number of its own.
func TestRestoreFromOlderCopy(t *testing.T) {
	f := newFleet(t)
	readerNode, other := f.add(reader), f.add(nil)
	f.awaitReader(readerNode)
	apply(t, other, 0, "a")
	f.awaitVersion(1, readerNode)
	copied := f.backend.Backup()
	apply(t, other, 1, "b")
	// A reader leaves out a version that another supersedes while it fetches it.
	f.awaitVersion(2, readerNode)
	apply(t, other, 2, "c")
	f.awaitVersion(3, readerNode)

	f.backend.Restore(copied)
	apply(t, other, 3, "d")
	f.awaitVersion(4, readerNode, other)
	assert.DeepEqual(t, readerNode.activated(), []uint64{1, 2, 3, 4})
	assert.Assert(t, readerNode.recorded(distribution.EventWriteBack))

	// The content of the head must be complete for a node that has no peers.
	joining := f.add(nil)
	assert.NilError(t, joining.Bootstrap(t.Context(), nil))
	assert.Equal(t, joining.Snapshot().Service("service-0").Version, "d")
}

// TestPlatformEmptied guards the same for a platform that lost everything, with
// no operator at hand.
func TestPlatformEmptied(t *testing.T) {
	f := newFleet(t)
	readerNode := f.add(reader)
	f.awaitReader(readerNode)
	apply(t, readerNode, 0, "a")
	f.backend.Restore(teststore.Backup{})
	joining := f.add(nil)
	f.await("the version to be written back", func() bool {
		return joining.Bootstrap(t.Context(), nil) == nil && joining.Version() == 1
	})
}

// TestSameNumberOtherDigest guards that two configurations under one number do
// not stay in force side by side, whichever of them the reader has, and that the
// conflict is reported.
func TestSameNumberOtherDigest(t *testing.T) {
	t.Run("reader bootstraps from peers", func(t *testing.T) {
		assert.Equal(t, sameNumberOtherDigest(t, true), "first")
	})
	t.Run("reader starts from the head", func(t *testing.T) {
		// Whether gossip or the head reaches the reader first decides which one stays.
		stays := sameNumberOtherDigest(t, false)
		assert.Assert(t, stays == "first" || stays == "second", stays)
	})
}

// sameNumberOtherDigest returns the content on which all nodes agree in the end.
func sameNumberOtherDigest(t *testing.T, bootstrapped bool) string {
	f := newFleet(t)
	empty := f.backend.Backup()
	n := f.add(nil)
	apply(t, n, 0, "first")
	f.backend.Restore(empty)
	stranger := f.add(nil)
	f.setCut(stranger.address, true)
	apply(t, stranger, 0, "second")
	f.setCut(stranger.address, false)

	var candidate atomic.Bool
	readerNode := f.add(func(o *distribution.Options) { o.IsReaderCandidate = candidate.Load })
	if bootstrapped {
		assert.NilError(t, readerNode.Bootstrap(t.Context(), []string{n.address}))
	}
	candidate.Store(true)
	f.awaitVersion(2, n, stranger, readerNode)
	digest := readerNode.Snapshot().Manifest().Digest
	for _, node := range []*node{n, stranger} {
		assert.Equal(t, node.Snapshot().Manifest().Digest, digest)
	}
	assert.Assert(t, readerNode.recorded(distribution.EventConflict))
	return readerNode.Snapshot().Service("service-0").Version
}

// TestOperatorsRace guards that of two changes on the same base exactly one is
// accepted and the other learns what changed.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t)
	nodes := []*node{f.add(nil), f.add(nil)}
	apply(t, nodes[0], 0, "a")
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

// blackout is a store that goes down for its user right after a head update
// took effect.
type blackout struct {
	platform.Store
	down atomic.Bool
}

var errDown = errors.New("no reply")

func (b *blackout) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if b.down.Load() {
		return platform.Object{}, errDown
	}
	return b.Store.Get(ctx, kind, name)
}

func (b *blackout) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	if o.Kind == platform.KindConfigHead {
		b.down.Store(true)
		_, _ = b.Store.Update(ctx, o)
		return platform.Object{}, errDown
	}
	return b.Store.Update(ctx, o)
}

// TestUnknownOutcome guards that a change whose fate cannot be learnt is not
// reported as accepted or refused, and that a resend settles it without a second
// version.
func TestUnknownOutcome(t *testing.T) {
	f := newFleet(t)
	var store *blackout
	n := f.add(func(o *distribution.Options) {
		store = &blackout{Store: o.Store}
		o.Store = store
	})
	apply(t, n, 0, "a")
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := n.Apply(ctx, change("b", 1, "b"))
		result <- err
	}()
	f.await("the blackout", store.down.Load)
	cancel()
	var unknown *distribution.UnknownOutcomeError
	err := <-result
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, n.Version(), uint64(1))
	store.down.Store(false)
	again, err := n.Apply(t.Context(), change("b", 1, "b"))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, distribution.ApplyResult{Version: 2, AlreadyApplied: true})
	assert.Equal(t, n.Version(), uint64(2))
}

// TestBrokenWatches guards that the reader sees changes after its watch expired,
// fell silent or broke, when no announcement reaches it.
func TestBrokenWatches(t *testing.T) {
	disturbances := map[string]func(*teststore.Store){
		"expired": (*teststore.Store).ExpireWatches,
		"silent":  func(s *teststore.Store) { s.SetFaults(teststore.Faults{SilenceWatches: true}) },
		"down and up": func(s *teststore.Store) {
			s.SetFaults(teststore.Faults{Down: true})
			s.SetFaults(teststore.Faults{})
		},
	}
	for name, disturb := range disturbances {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			readerNode, other, writer := f.add(reader), f.add(nil), f.add(nil)
			f.setCut(writer.address, true)
			f.awaitReader(readerNode)
			apply(t, writer, 0, "a")
			f.awaitVersion(1, readerNode, other)
			disturb(f.backend)
			apply(t, writer, 1, "b")
			f.awaitVersion(2, readerNode, other)
		})
	}
}

// TestReaderTakeover guards that another candidate becomes reader with a higher
// fencing number when the reader dies, and that announcements under the old
// number are dropped afterwards.
func TestReaderTakeover(t *testing.T) {
	f := newFleet(t)
	first, writer, other := f.add(reader), f.add(nil), f.add(nil)
	f.setCut(writer.address, true)
	f.awaitReader(first)
	apply(t, writer, 0, "a")
	f.awaitVersion(1, first, other)
	first.stop()
	f.setCut(first.address, true)
	second := f.add(reader)
	f.awaitReader(second)
	apply(t, writer, 1, "b")
	f.awaitVersion(2, second, other)

	stale, err := other.staleAnnouncement()
	assert.NilError(t, err)
	other.OnConfigItem(gossip.Item{Topic: gossip.TopicConfig, Payload: stale})
	f.await("the stale announcement to be dropped", func() bool { return other.recorded(distribution.EventStaleFence) })
}

// staleAnnouncement returns the node's current announcement under a lower fencing number.
func (n *node) staleAnnouncement() ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return distribution.WithLowerFencingToken(n.items["head"])
}

// TestPlatformDown guards that without the platform nodes keep what is in force,
// that a restarted node gets it from peers, and that changes are refused as not
// accepted.
func TestPlatformDown(t *testing.T) {
	f := newFleet(t)
	n := f.add(nil)
	apply(t, n, 0, "a")
	f.backend.SetFaults(teststore.Faults{Down: true})
	restarted := f.add(nil)
	assert.NilError(t, restarted.Bootstrap(t.Context(), []string{n.address}))
	assert.Equal(t, restarted.Version(), uint64(1))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := n.Apply(ctx, change("b", 1, "b"))
	var unknown *distribution.UnknownOutcomeError
	assert.Assert(t, err != nil && !errors.As(err, &unknown), "%v", err)
}

// TestGarbage guards that parts that no version refers to are deleted and that
// those in use are kept.
func TestGarbage(t *testing.T) {
	f := newFleet(t)
	n := f.add(func(o *distribution.Options) {
		reader(o)
		o.GCInterval, o.GCMinAge = 20*time.Millisecond, 40*time.Millisecond
		o.BootstrapAddresses = func() []string { return []string{"10.0.0.2:1", "10.0.0.1:1"} }
	})
	parts := func() int {
		objects, _, err := n.counted.List(t.Context(), platform.KindConfigPart)
		assert.NilError(t, err)
		return len(objects)
	}
	apply(t, n, 0, "a")
	used := parts()
	apply(t, n, 1, "b")
	f.await("the old part to be deleted", func() bool { return parts() == used })
	// A part that comes into use again is stored again.
	_, err := n.Apply(t.Context(), change("a again", 2, "a"))
	assert.NilError(t, err)
	joining := f.add(nil)
	assert.NilError(t, joining.Bootstrap(t.Context(), nil))
	assert.Equal(t, joining.Snapshot().Service("service-0").Version, "a")

	contacts, err := distribution.ReadBootstrapAddresses(t.Context(), n.counted, "a")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(contacts, " "), "10.0.0.1:1 10.0.0.2:1")
}
