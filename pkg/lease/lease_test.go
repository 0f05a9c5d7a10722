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

// instance is one contender. A pause of its process is a Candidate function that
// does not return, which stops its loop.
type instance struct {
	*lease.Lease
	candidate atomic.Bool
	mu        sync.Mutex
	changes   []bool
}

func (i *instance) seen() []bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]bool(nil), i.changes...)
}

func (i *instance) holds() bool {
	_, ok := i.Held()
	return ok
}

func start(t *testing.T, url, holder string, pause func()) *instance {
	t.Helper()
	client, err := objectapi.New(objectapi.Options{BaseURL: url})
	assert.NilError(t, err)
	i := &instance{}
	i.candidate.Store(true)
	i.Lease, err = lease.New(lease.Options{
		Store: client, Name: "reader-a", Holder: holder, Duration: duration, RenewInterval: duration / 6,
		IsCandidate: func() bool {
			if pause != nil {
				pause()
			}
			return i.candidate.Load()
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

func serve(t *testing.T) (*teststore.Store, string) {
	backend := teststore.New()
	server := httptest.NewServer(backend)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return backend, server.URL
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}

// TestPausedHolder guards that a holder whose process is paused past its lease
// no longer holds it when it runs again, while the next holder has a higher
// fencing number.
func TestPausedHolder(t *testing.T) {
	_, url := serve(t)
	paused, resume := make(chan struct{}), make(chan struct{})
	var stopped atomic.Bool
	first := start(t, url, "first", func() {
		if stopped.CompareAndSwap(true, false) {
			close(paused)
			<-resume
		}
	})
	await(t, "first holder", first.holds)
	before, _ := first.Held()
	second := start(t, url, "second", nil)
	stopped.Store(true)
	<-paused
	await(t, "second holder", second.holds)
	// The first instance's loop has had no turn, yet it must know.
	assert.Assert(t, !first.holds())
	after, _ := second.Held()
	assert.Assert(t, after > before)
	close(resume)
	await(t, "loss to be reported", func() bool { return len(first.seen()) == 2 })
	assert.DeepEqual(t, first.seen(), []bool{true, false})
}

// TestRelease guards that an instance that no longer wants the lease frees it
// without waiting for it to lapse, and stops calling the platform.
func TestRelease(t *testing.T) {
	backend, url := serve(t)
	first := start(t, url, "first", nil)
	await(t, "first holder", first.holds)
	first.candidate.Store(false)
	await(t, "release", func() bool { return !first.holds() })
	second := start(t, url, "second", nil)
	await(t, "second holder", second.holds)
	fence, _ := second.Held()
	assert.Equal(t, fence, uint64(2))
	assert.Assert(t, backend.CallCounts()["update leases"] > 0)
}

// TestPlatformFaults guards that a holder survives lost replies, and stops when
// the platform is down for longer than the lease.
func TestPlatformFaults(t *testing.T) {
	backend, url := serve(t)
	backend.SetFaults(teststore.Faults{LostReplies: 1})
	i := start(t, url, "first", nil)
	await(t, "acquisition after a lost reply", i.holds)
	fence, _ := i.Held()
	backend.SetFaults(teststore.Faults{Down: true})
	await(t, "loss", func() bool { return !i.holds() })
	backend.SetFaults(teststore.Faults{})
	await(t, "new acquisition", i.holds)
	again, _ := i.Held()
	assert.Assert(t, again >= fence)
}
