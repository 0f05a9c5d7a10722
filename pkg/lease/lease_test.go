package lease_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/pkg/lease"
	"github.com/azurespring/azurespring/pkg/platform/objectapi"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const duration = 600 * time.Millisecond

// candidate is one instance that wants the lease. A pause of its process is simulated
// by an IsCandidate function that does not return, which stops its loop.
type candidate struct {
	*lease.Lease
	wantsLease atomic.Bool
	mu         sync.Mutex
	changes    []bool
}

func (i *candidate) reportedChanges() []bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]bool(nil), i.changes...)
}

func (i *candidate) holds() bool {
	_, ok := i.Held()
	return ok
}

func start(t *testing.T, url, holder string, pause func()) *candidate {
	t.Helper()
	client, err := objectapi.New(objectapi.Options{BaseURL: url})
	assert.NilError(t, err)
	i := &candidate{}
	i.wantsLease.Store(true)
	i.Lease, err = lease.New(lease.Options{
		Store: client, Name: "reader-a", Holder: holder, Duration: duration, RenewInterval: duration / 6,
		IsCandidate: func() bool {
			if pause != nil {
				pause()
			}
			return i.wantsLease.Load()
		},
		OnChange: func(_ uint64, held bool) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.changes = append(i.changes, held)
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
	})
	return i
}

func startFakePlatform(t *testing.T) (*teststore.Store, string) {
	fakePlatform := teststore.New()
	server := httptest.NewServer(fakePlatform)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return fakePlatform, server.URL
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}

// A holder whose process is paused until its lease expires must not hold the lease
// when it runs again, and the next holder must have a higher fencing token.
func TestPausedHolderLosesLease(t *testing.T) {
	_, url := startFakePlatform(t)
	paused, resume := make(chan struct{}), make(chan struct{})
	var shouldPause atomic.Bool
	first := start(t, url, "first", func() {
		if shouldPause.CompareAndSwap(true, false) {
			close(paused)
			<-resume
		}
	})
	waitFor(t, "first holder", first.holds)
	firstToken, _ := first.Held()
	second := start(t, url, "second", nil)
	shouldPause.Store(true)
	<-paused
	waitFor(t, "second holder", second.holds)
	// The loop of the first instance is still paused, but Held must already be false.
	assert.Assert(t, !first.holds())
	secondToken, _ := second.Held()
	assert.Assert(t, secondToken > firstToken)
	close(resume)
	waitFor(t, "loss to be reported", func() bool { return len(first.reportedChanges()) == 2 })
	assert.DeepEqual(t, first.reportedChanges(), []bool{true, false})
}

// An instance that no longer wants the lease must release it, so that another one can
// acquire it before it expires.
func TestReleasedLeaseIsAvailableAtOnce(t *testing.T) {
	fakePlatform, url := startFakePlatform(t)
	first := start(t, url, "first", nil)
	waitFor(t, "first holder", first.holds)
	first.wantsLease.Store(false)
	waitFor(t, "release", func() bool { return !first.holds() })
	second := start(t, url, "second", nil)
	waitFor(t, "second holder", second.holds)
	token, _ := second.Held()
	assert.Equal(t, token, uint64(2))
	assert.Assert(t, fakePlatform.CallCounts()["update leases"] > 0)
}

// A holder must keep the lease if a reply is dropped, and stop holding it if the
// platform is down for longer than the lease. Later fencing tokens must not be lower.
func TestHolderSurvivesLostRepliesButNotOutage(t *testing.T) {
	fakePlatform, url := startFakePlatform(t)
	fakePlatform.SetFaults(teststore.Faults{LostReplies: 1})
	i := start(t, url, "first", nil)
	waitFor(t, "acquisition after a lost reply", i.holds)
	tokenBefore, _ := i.Held()
	fakePlatform.SetFaults(teststore.Faults{Down: true})
	waitFor(t, "loss", func() bool { return !i.holds() })
	fakePlatform.SetFaults(teststore.Faults{})
	waitFor(t, "new acquisition", i.holds)
	tokenAfter, _ := i.Held()
	assert.Assert(t, tokenAfter >= tokenBefore)
}
