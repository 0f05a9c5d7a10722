package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/pkg/idempotency"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/platform/objectapi"
	"github.com/azurespring/azurespring/pkg/transport"
	"github.com/azurespring/azurespring/pkg/verdict"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// network connects the nodes of one process. All nodes share its owner, so that a test
// decides which node owns the shards.
type network struct {
	t            *testing.T
	fakePlatform *teststore.Store
	url          string

	mu    sync.Mutex
	nodes map[string]*idempotency.Service
	// owner is the address of the owner of all shards; if it is empty, each node is the
	// owner for itself.
	owner string
	// repliesToLose is the number of next messages that are handled but whose replies
	// are dropped.
	repliesToLose atomic.Int32
}

func newNetwork(t *testing.T) *network {
	fakePlatform := teststore.New()
	server := httptest.NewServer(fakePlatform)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &network{t: t, fakePlatform: fakePlatform, url: server.URL, nodes: make(map[string]*idempotency.Service)}
}

func (n *network) add(address string, timeout time.Duration) *idempotency.Service {
	client, err := objectapi.New(objectapi.Options{BaseURL: n.url})
	assert.NilError(n.t, err)
	s, err := idempotency.New(idempotency.Options{
		Store: client, Requester: n, ClaimTimeout: timeout,
		ShardOwner: func(int) (string, bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.owner, n.owner == "" || n.owner == address
		},
	})
	assert.NilError(n.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	n.t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = s
	return s
}

func (n *network) setOwner(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owner = address
}

// Request implements transport.Requester.
func (n *network) Request(ctx context.Context, address string, _ transport.Kind, payload []byte) ([]byte, error) {
	n.mu.Lock()
	s := n.nodes[address]
	n.mu.Unlock()
	if s == nil {
		return nil, errors.New("unreachable")
	}
	data, err := s.HandleMessage(ctx, transport.Peer{}, payload)
	if n.repliesToLose.Add(-1) >= 0 {
		return nil, errors.New("reply lost")
	}
	return data, err
}

func key(name string) idempotency.Key {
	return idempotency.Key{Customer: "alice", Service: "hire", Route: "confirm", Key: name, Fingerprint: "body"}
}

// rejection returns the code and the verdict of an error of Claim.
func rejection(t *testing.T, err error) (verdict.Code, verdict.Verdict) {
	t.Helper()
	var e *verdict.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e.Code, e.Verdict
}

const longTimeout = time.Minute

// TestClaimIsSharedByNodesAndNextOwner verifies that claims, recorded responses and
// releases of a key are visible to two entry nodes and after a change of owner.
func TestClaimIsSharedByNodesAndNextOwner(t *testing.T) {
	n := newNetwork(t)
	a, b := n.add("a", longTimeout), n.add("b", longTimeout)
	n.setOwner("a")
	claim, err := b.Claim(t.Context(), key("1"))
	assert.NilError(t, err)
	assert.Assert(t, claim.Granted)
	_, err = a.Claim(t.Context(), key("1"))
	code, v := rejection(t, err)
	assert.Equal(t, code, verdict.KeyInUse)
	assert.Equal(t, v, verdict.MayHaveRun)
	other := key("1")
	other.Fingerprint = "another body"
	_, err = a.Claim(t.Context(), other)
	code, v = rejection(t, err)
	assert.Equal(t, code, verdict.BadRequest)
	assert.Equal(t, v, verdict.NotRun)

	b.Complete(t.Context(), claim, idempotency.Completion{Response: []byte("done")})
	awaitClaim(t, a, "1", func(c idempotency.Claim, err error) bool { return err == nil && string(c.Response) == "done" })
	// The owner stores the response in the platform later; the next owner reads it from
	// there.
	n.setOwner("b")
	awaitClaim(t, a, "1", func(c idempotency.Claim, err error) bool { return err == nil && !c.Granted })

	claim, err = a.Claim(t.Context(), key("2"))
	assert.NilError(t, err)
	a.Complete(t.Context(), claim, idempotency.Completion{NotRun: true})
	awaitClaim(t, b, "2", func(c idempotency.Claim, err error) bool { return err == nil && c.Granted })
}

// awaitClaim claims a key until want accepts the result.
func awaitClaim(t *testing.T, s *idempotency.Service, name string, want func(idempotency.Claim, error) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		claim, err := s.Claim(t.Context(), key(name))
		if want(claim, err) {
			return poll.Success()
		}
		return poll.Continue("claim of %s gives %v, %v", name, claim, err)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(time.Minute))
}

// TestClaimIsGrantedOnceWhenRepliesAreLost verifies that a claim whose write or message
// gets no reply is recognised as the same claim on retry and is granted once.
func TestClaimIsGrantedOnceWhenRepliesAreLost(t *testing.T) {
	n := newNetwork(t)
	a, b := n.add("a", longTimeout), n.add("b", longTimeout)
	n.setOwner("a")
	for i := range 5 {
		n.fakePlatform.SetFaults(teststore.Faults{LostReplies: 1})
		n.repliesToLose.Store(1)
		claim, err := b.Claim(t.Context(), key(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Assert(t, claim.Granted)
		_, err = a.Claim(t.Context(), key(fmt.Sprint(i)))
		code, _ := rejection(t, err)
		assert.Equal(t, code, verdict.KeyInUse)
	}
}

// TestClaimIsRejectedWhilePlatformFails verifies that a call is rejected as not run
// while the platform fails, and that the caller can claim its key afterwards.
func TestClaimIsRejectedWhilePlatformFails(t *testing.T) {
	faults := map[string]teststore.Faults{
		"down":       {Down: true},
		"slow":       {Delay: time.Hour},
		"rate limit": {RateLimitedCalls: 1 << 30},
		"rejecting":  {RejectedWrites: 1 << 30},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t)
			a := n.add("a", 200*time.Millisecond)
			n.setOwner("a")
			n.fakePlatform.SetFaults(f)
			_, err := a.Claim(t.Context(), key("1"))
			code, v := rejection(t, err)
			assert.Equal(t, code, verdict.KeyStoreUnavailable)
			assert.Equal(t, v, verdict.NotRun)
			n.fakePlatform.SetFaults(teststore.Faults{})
			awaitClaim(t, a, "1", func(c idempotency.Claim, err error) bool { return err == nil && c.Granted })
		})
	}
}

// TestTwoOwnersGrantKeyOnce verifies that of many calls with one key, sent through two
// nodes that both believe they own its shard, exactly one is granted the key.
func TestTwoOwnersGrantKeyOnce(t *testing.T) {
	n := newNetwork(t)
	nodes := []*idempotency.Service{n.add("a", longTimeout), n.add("b", longTimeout)}
	const keys, callers = 20, 6
	var grantCounts [keys]atomic.Int32
	var group sync.WaitGroup
	for i := range keys * callers {
		group.Go(func() {
			claim, err := nodes[i%2].Claim(t.Context(), key(fmt.Sprint(i%keys)))
			if err == nil && claim.Granted {
				grantCounts[i%keys].Add(1)
			}
		})
	}
	group.Wait()
	for i := range grantCounts {
		assert.Equal(t, grantCounts[i].Load(), int32(1), "key %d", i)
	}
}

// TestConcurrentClaimsShareWrites verifies that claims made at the same time share
// writes, so that the calls to the platform grow more slowly than the calls of
// customers.
func TestConcurrentClaimsShareWrites(t *testing.T) {
	n := newNetwork(t)
	a := n.add("a", longTimeout)
	n.setOwner("a")
	const claims = 400
	var group sync.WaitGroup
	for i := range claims {
		group.Go(func() {
			claim, err := a.Claim(t.Context(), key(fmt.Sprint(i)))
			assert.Check(t, err == nil && claim.Granted, "%v", err)
		})
	}
	group.Wait()
	counts := n.fakePlatform.CallCounts()
	writes := counts["create idempotencysegments"] + counts["update idempotencysegments"]
	assert.Assert(t, writes < claims/2, "%d writes for %d claims", writes, claims)
	t.Logf("%d writes for %d claims", writes, claims)
}

// TestClaimsWaitWhilePlatformCallsAreRateLimited verifies that an owner whose platform
// calls are rate limited by its own client keeps claims waiting instead of failing
// them.
func TestClaimsWaitWhilePlatformCallsAreRateLimited(t *testing.T) {
	n := newNetwork(t)
	client, err := objectapi.New(objectapi.Options{BaseURL: n.url})
	assert.NilError(t, err)
	defer client.Close()
	rates := platform.RateLimits{WritesPerSecond: 5, ReadsPerSecond: 10, WriteBurst: 1, ReadBurst: 1}
	s, err := idempotency.New(idempotency.Options{
		Store:     platform.NewRateLimitedStore(client, platform.CallLimits{Default: rates}),
		Requester: n, ClaimTimeout: longTimeout, ShardOwner: func(int) (string, bool) { return "a", true },
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	for i := range 6 {
		claim, err := s.Claim(t.Context(), key(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Assert(t, claim.Granted)
	}
	cancel()
	<-done
}
