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

// network connects the nodes of one process. Its owner function is shared, so a
// test decides who owns the shards.
type network struct {
	t       *testing.T
	backend *teststore.Store
	url     string

	mu    sync.Mutex
	nodes map[string]*idempotency.Service
	// owner is the address of the owner; empty makes each node its own owner.
	owner string
	// loseReplies is the number of coming messages that are handled but not answered.
	loseReplies atomic.Int32
}

func newNetwork(t *testing.T) *network {
	backend := teststore.New()
	server := httptest.NewServer(backend)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &network{t: t, backend: backend, url: server.URL, nodes: make(map[string]*idempotency.Service)}
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
	if n.loseReplies.Add(-1) >= 0 {
		return nil, errors.New("reply lost")
	}
	return data, err
}

func key(name string) idempotency.Key {
	return idempotency.Key{Customer: "alice", Service: "hire", Route: "confirm", Key: name, Fingerprint: "body"}
}

// refusal returns the code and verdict of an error of Claim.
func refusal(t *testing.T, err error) (verdict.Code, verdict.Verdict) {
	t.Helper()
	var e *verdict.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e.Code, e.Verdict
}

const long = time.Minute

// TestClaims guards the life of a key over two entry nodes and a change of owner.
func TestClaims(t *testing.T) {
	n := newNetwork(t)
	a, b := n.add("a", long), n.add("b", long)
	n.setOwner("a")
	claim, err := b.Claim(t.Context(), key("1"))
	assert.NilError(t, err)
	assert.Assert(t, claim.Granted)
	_, err = a.Claim(t.Context(), key("1"))
	code, v := refusal(t, err)
	assert.Equal(t, code, verdict.KeyInUse)
	assert.Equal(t, v, verdict.MayHaveRun)
	other := key("1")
	other.Fingerprint = "another body"
	_, err = a.Claim(t.Context(), other)
	code, v = refusal(t, err)
	assert.Equal(t, code, verdict.BadRequest)
	assert.Equal(t, v, verdict.NotRun)

	b.Complete(t.Context(), claim, idempotency.Completion{Response: []byte("done")})
	awaitClaim(t, a, "1", func(c idempotency.Claim, err error) bool { return err == nil && string(c.Response) == "done" })
	// The answer reaches the platform some time later, and with it the next owner.
	n.setOwner("b")
	awaitClaim(t, a, "1", func(c idempotency.Claim, err error) bool { return err == nil && !c.Granted })

	claim, err = a.Claim(t.Context(), key("2"))
	assert.NilError(t, err)
	a.Complete(t.Context(), claim, idempotency.Completion{NotRun: true})
	awaitClaim(t, b, "2", func(c idempotency.Claim, err error) bool { return err == nil && c.Granted })
}

// awaitClaim claims a key until the result is as wanted.
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

// TestLostReplies guards that a claim whose write or message is not answered is
// recognised as the claimant's own and let through once.
func TestLostReplies(t *testing.T) {
	n := newNetwork(t)
	a, b := n.add("a", long), n.add("b", long)
	n.setOwner("a")
	for i := range 5 {
		n.backend.SetFaults(teststore.Faults{LostReplies: 1})
		n.loseReplies.Store(1)
		claim, err := b.Claim(t.Context(), key(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Assert(t, claim.Granted)
		_, err = a.Claim(t.Context(), key(fmt.Sprint(i)))
		code, _ := refusal(t, err)
		assert.Equal(t, code, verdict.KeyInUse)
	}
}

// TestPlatformUnavailable guards that a call is refused as not run while the
// platform fails, and that its key is not lost to the caller for that.
func TestPlatformUnavailable(t *testing.T) {
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
			n.backend.SetFaults(f)
			_, err := a.Claim(t.Context(), key("1"))
			code, v := refusal(t, err)
			assert.Equal(t, code, verdict.KeyStoreUnavailable)
			assert.Equal(t, v, verdict.NotRun)
			n.backend.SetFaults(teststore.Faults{})
			awaitClaim(t, a, "1", func(c idempotency.Claim, err error) bool { return err == nil && c.Granted })
		})
	}
}

// TestTwoOwners guards that of many calls with one key, sent through two nodes
// that both believe they own its shard, exactly one is let through.
func TestTwoOwners(t *testing.T) {
	n := newNetwork(t)
	nodes := []*idempotency.Service{n.add("a", long), n.add("b", long)}
	const keys, callers = 20, 6
	var first [keys]atomic.Int32
	var group sync.WaitGroup
	for i := range keys * callers {
		group.Go(func() {
			claim, err := nodes[i%2].Claim(t.Context(), key(fmt.Sprint(i%keys)))
			if err == nil && claim.Granted {
				first[i%keys].Add(1)
			}
		})
	}
	group.Wait()
	for i := range first {
		assert.Equal(t, first[i].Load(), int32(1), "key %d", i)
	}
}

// TestBatching guards that claims which arrive together share writes, so that
// the platform's calls do not grow with the calls of callers.
func TestBatching(t *testing.T) {
	n := newNetwork(t)
	a := n.add("a", long)
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
	counts := n.backend.CallCounts()
	writes := counts["create idempotencysegments"] + counts["update idempotencysegments"]
	assert.Assert(t, writes < claims/2, "%d writes for %d claims", writes, claims)
	t.Logf("%d writes for %d claims", writes, claims)
}

// TestOwnerWithoutPlatformBudget guards that an owner whose budget is spent
// keeps claims waiting instead of failing them.
func TestOwnerWithoutPlatformBudget(t *testing.T) {
	n := newNetwork(t)
	client, err := objectapi.New(objectapi.Options{BaseURL: n.url})
	assert.NilError(t, err)
	defer client.Close()
	rates := platform.RateLimits{WritesPerSecond: 5, ReadsPerSecond: 10, WriteBurst: 1, ReadBurst: 1}
	s, err := idempotency.New(idempotency.Options{
		Store:     platform.NewRateLimitedStore(client, platform.CallLimits{Default: rates}),
		Requester: n, ClaimTimeout: long, ShardOwner: func(int) (string, bool) { return "a", true },
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
