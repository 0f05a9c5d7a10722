package distribution_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/platform"
	"gotest.tools/v3/assert"
)

// TestApplyReachesAllNodes verifies that a change applied at one node becomes active on
// all nodes through the platform, and that only that node and the reader call the
// platform.
func TestApplyReachesAllNodes(t *testing.T) {
	f := newFleet(t)
	first := f.add(nil)
	readerNode := f.add(asReaderCandidate)
	other := f.add(nil)
	f.await("a reader", func() bool { return readerNode.recorded(distribution.EventReaderStarted) })
	for version := uint64(1); version <= 3; version++ {
		result, err := first.Apply(t.Context(), change(string(rune('a'+version)), version-1, string(rune('a'+version))))
		assert.NilError(t, err)
		assert.DeepEqual(t, result, distribution.ApplyResult{Version: version})
		f.awaitVersion(version, first, readerNode, other)
	}
	assert.Equal(t, other.Snapshot().Service("service-0").Version, "d")
	assert.DeepEqual(t, other.activated(), []uint64{1, 2, 3})
	assert.Equal(t, len(other.countingStore.CallCounts()), 0)
}

// TestApplyReturnsAfterActivation verifies that Apply returns only after its node uses
// the new version. Otherwise the next call of the operator could still run under the
// old one.
func TestApplyReturnsAfterActivation(t *testing.T) {
	f := newFleet(t)
	n := f.add(nil)
	var notified atomic.Uint64
	n.OnActivate(func(s *dynamic.Snapshot) {
		time.Sleep(50 * time.Millisecond) // A slow callback makes an early return visible.
		notified.Store(s.Version())
	})
	for version := range uint64(3) {
		mustApply(t, n, version, string(rune('a'+version)))
		assert.Equal(t, notified.Load(), version+1)
		assert.Equal(t, n.Version(), version+1)
	}
}

// TestApplyReportsStoredOutcome verifies that the result of Apply matches what the
// platform stores: after a lost reply, a repeated or reused change id, an outdated base
// version and an invalid configuration.
func TestApplyReportsStoredOutcome(t *testing.T) {
	f := newFleet(t)
	n := f.add(nil)
	_, err := n.Apply(t.Context(), change("one", 0, "a"))
	assert.NilError(t, err)

	// If the reply to a head update is lost, Apply finds the change id in the head.
	f.fakePlatform.SetFaults(teststore.Faults{LostReplies: 1, Resource: "configheads"})
	result, err := n.Apply(t.Context(), change("two", 1, "b"))
	assert.NilError(t, err)
	assert.DeepEqual(t, result, distribution.ApplyResult{Version: 2})
	f.fakePlatform.SetFaults(teststore.Faults{})

	result, err = n.Apply(t.Context(), change("two", 1, "b"))
	assert.NilError(t, err)
	assert.DeepEqual(t, result, distribution.ApplyResult{Version: 2, AlreadyApplied: true})

	_, err = n.Apply(t.Context(), change("two", 1, "c"))
	var invalid *distribution.InvalidError
	assert.Assert(t, errors.As(err, &invalid), "a change id must not be used for another configuration")

	_, err = n.Apply(t.Context(), change("three", 1, "c"))
	var conflict *distribution.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, *conflict, distribution.ConflictError{
		BaseVersion: 1, CurrentVersion: 2, PartNames: []string{"service/service-0"},
	})

	broken := change("four", 2, "c")
	broken.Config.Plans = nil
	_, err = n.Apply(t.Context(), broken)
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, n.Version(), uint64(2))
}

// TestBootstrapTakesHighestPeerVersion verifies that a joining node takes the highest
// version of its peers without calling the platform, and calls the platform only if no
// peer replies.
func TestBootstrapTakesHighestPeerVersion(t *testing.T) {
	f := newFleet(t)
	behind, ahead := f.add(nil), f.add(nil)
	assert.NilError(t, behind.Bootstrap(t.Context(), nil))
	assert.Assert(t, behind.Snapshot() == nil)
	_, err := ahead.Apply(t.Context(), change("one", 0, "a"))
	assert.NilError(t, err)
	f.awaitVersion(1, behind)
	f.setUnreachable(behind.address, true)
	_, err = ahead.Apply(t.Context(), change("two", 1, "b"))
	assert.NilError(t, err)
	f.setUnreachable(behind.address, false)

	joining := f.add(nil)
	f.fakePlatform.SetFaults(teststore.Faults{Down: true})
	assert.NilError(t, joining.Bootstrap(t.Context(), []string{"gone", behind.address, ahead.address}))
	assert.Equal(t, joining.Version(), uint64(2))
	assert.Equal(t, len(joining.countingStore.CallCounts()), 0)

	withoutPeers := f.add(nil)
	assert.Assert(t, withoutPeers.Bootstrap(t.Context(), []string{"gone"}) != nil)
	f.fakePlatform.SetFaults(teststore.Faults{})
	assert.NilError(t, withoutPeers.Bootstrap(t.Context(), []string{"gone"}))
	assert.Equal(t, withoutPeers.Version(), uint64(2))
	assert.Equal(t, withoutPeers.countingStore.CallCounts()[platform.CallKey{Kind: platform.KindConfigHead, Verb: platform.VerbGet}], int64(2))
}
