// Package soak_test runs the nodes' program as processes, injects faults from outside
// by signals, relays and a misbehaving store, and checks what clients and endpoints
// see against the promises of docs/proofs.md.
//
//	go test ./test/soak -count=1 -seeds 50 -seed 1 [-machines 8] [-faults 12s]
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/faultproxy"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/platform/platformtest"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seeds     = flag.Uint64("seeds", 1, "number of seeds")
	machines  = flag.Int("machines", 6, "number of nodes")
	faultTime = flag.Duration("faults", 6*time.Second, "time in which faults begin")
)

// pastFailures are seeds that failed once, each with its cause.
var pastFailures = []uint64{
	13, // A node that was paused while it read a body answered 400 (DENIED).
}

// TestSoak guards the promises to callers and endpoints while faults of all kinds
// come in series and overlap.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "azurespring-node")
	output, err := exec.Command("go", "build", "-o", program, "github.com/azurespring/azurespring/cmd/azurespring-node").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	list := pastFailures
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		list = append(list, seed)
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

func soak(t *testing.T, program string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	f, err := newFleet(program, t.TempDir(), *machines, seed, t.Logf)
	assert.NilError(t, err)
	t.Cleanup(func() {
		f.close()
		if t.Failed() {
			f.keepLogs(t)
		}
	})
	for _, m := range f.machines {
		assert.NilError(t, m.replaceEndpoint(r))
		assert.NilError(t, m.start())
	}
	f.awaitServing(t, "the start")

	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { f.ledger.stalls.watchOwn(ctx) })
	for _, m := range f.machines {
		clients.Go(func() { m.watchNode(ctx) })
	}
	for _, m := range f.machines {
		for range 4 {
			source := rand.NewPCG(r.Uint64(), r.Uint64())
			clients.Go(func() { m.client(ctx, rand.New(source)) })
		}
	}
	f.trouble(r)
	f.awaitServing(t, "recovery")
	f.configure(int(f.version.Load()) + 1)
	last := fmt.Sprintf("/extra%d/", int(f.version.Load())-1)
	time.Sleep(configurationLag)
	for _, m := range f.machines {
		result := m.ask(t.Context(), http.DefaultClient, "last-"+m.name, last)
		assert.Equal(t, result.status, http.StatusOK, "CONFIG: %s does not serve a route that was stored %v ago: %v", m.name, configurationLag, result.err)
	}
	cancel()
	clients.Wait()
	for _, fault := range f.ledger.check() {
		t.Error(fault)
	}
	t.Logf("%d requests, %d served; stalled for %v", len(f.ledger.results), f.ledger.served(), f.ledger.stalls.between(time.Time{}, time.Now()))
}

// awaitServing waits until all nodes serve all services, within the time that a
// recovery may take.
func (f *fleet) awaitServing(t *testing.T, after string) {
	t.Helper()
	end := time.Now().Add(recovery)
	for _, m := range f.machines {
		for s := range services {
			for n := 0; ; n++ {
				result := m.ask(t.Context(), http.DefaultClient, fmt.Sprintf("probe-%s-%s-%d-%d", strings.ReplaceAll(after, " ", ""), m.name, s, n), fmt.Sprintf("/safe%d/probe", s))
				if result.status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("RECOVER: %v after %s, %s does not serve s%d: %d %v", recovery, after, m.name, s, result.status, result.err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// trouble injects faults for the given time and waits until all have ended.
func (f *fleet) trouble(r *rand.Rand) {
	kinds := []func(m *machine, r *rand.Rand, span time.Duration){
		kill, pause, planned, planned, storeRefuses, storeSilent, storeLosesAnswers, storeSlow, storeForgets,
		linkSilent, linkOneWay, linkReset, linkSlow, endpointCrash, endpointReplaced, endpointReplaced,
		endpointMisbehaves, endpointMisbehaves, configurations,
	}
	var running sync.WaitGroup
	end := time.Now().Add(*faultTime)
	for time.Now().Before(end) {
		kind, m := kinds[r.IntN(len(kinds))], f.machines[r.IntN(len(f.machines))]
		span := 200*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))
		source := rand.NewPCG(r.Uint64(), r.Uint64())
		running.Go(func() { kind(m, rand.New(source), span) })
		time.Sleep(time.Duration(r.Int64N(int64(400 * time.Millisecond))))
	}
	running.Wait()
}

// restart starts the node again after its process has ended. Only the one who
// made it end does so.
func (m *machine) restart(p *testcluster.Process, after time.Duration) {
	<-p.Exited()
	time.Sleep(after)
	if err := m.start(); err != nil {
		m.fleet.log("start %s: %v", m.name, err)
	}
}

// claim returns the running process for a fault that ends it; nil if another fault
// is about to.
func (m *machine) claim() *testcluster.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.process
	m.process = nil
	return p
}

func kill(m *machine, _ *rand.Rand, span time.Duration) {
	m.unplanned(func() {
		if p := m.claim(); p != nil {
			p.Kill()
			m.restart(p, span)
		}
	})
}

func pause(m *machine, _ *rand.Rand, span time.Duration) {
	m.unplanned(func() {
		p := m.running()
		if p == nil || p.Pause() != nil {
			return
		}
		time.Sleep(span)
		_ = p.Resume() // The process may have been killed meanwhile.
	})
}

// planned stops a node in order, with signals in series, and starts it again.
func planned(m *machine, r *rand.Rand, span time.Duration) {
	p := m.claim()
	if p == nil {
		return
	}
	for range 1 + r.IntN(3) {
		for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
			_ = syscall.Kill(p.PID(), s) // It may have ended.
		}
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case <-p.Exited():
	case <-time.After(grace):
		m.fleet.log("%s did not stop within its grace period", m.name)
		m.unplanned(p.Kill)
	}
	m.restart(p, span/4)
}

// storeFaultFor lets the store misbehave for one machine; the store alone excuses
// nothing that callers see.
func (m *machine) storeFaultFor(span time.Duration, fault platformtest.Fault) {
	m.storeFault.Store(&fault)
	time.Sleep(2 * span)
	m.storeFault.Store(nil)
}

func storeRefuses(m *machine, _ *rand.Rand, span time.Duration) {
	m.storeFaultFor(span, platformtest.Fault{Status: http.StatusServiceUnavailable})
}

func storeSilent(m *machine, _ *rand.Rand, span time.Duration) {
	m.storeFaultFor(span, platformtest.Fault{Hang: true})
}

func storeLosesAnswers(m *machine, _ *rand.Rand, span time.Duration) {
	m.storeFaultFor(span, platformtest.Fault{DropResponse: true})
}

func storeSlow(m *machine, _ *rand.Rand, span time.Duration) {
	m.storeDelay.Store(int64(300 * time.Millisecond))
	time.Sleep(span)
	m.storeDelay.Store(0)
}

func storeForgets(m *machine, _ *rand.Rand, span time.Duration) {
	m.fleet.store.SuspendWatches()
	time.Sleep(span / 4)
	m.fleet.store.CompactHistory()
}

func (m *machine) condition(p *faultproxy.TCPProxy, span time.Duration, c faultproxy.TCPFaults) {
	m.unplanned(func() {
		p.SetFaults(c)
		time.Sleep(span)
		p.SetFaults(faultproxy.TCPFaults{})
		p.ResetConnections() // Connections that lost bytes would stay silent for good.
	})
}

// pick returns one of the relays around the machine.
func (m *machine) pick(r *rand.Rand) *faultproxy.TCPProxy {
	if r.IntN(2) == 0 {
		return m.storeLink
	}
	return m.link
}

func linkSilent(m *machine, r *rand.Rand, span time.Duration) {
	m.condition(m.pick(r), span, faultproxy.TCPFaults{DropToServer: true, DropToClient: true})
}

func linkOneWay(m *machine, r *rand.Rand, span time.Duration) {
	m.condition(m.pick(r), span, faultproxy.TCPFaults{DropToClient: r.IntN(2) == 0, DropToServer: r.IntN(2) == 0})
}

func linkReset(m *machine, r *rand.Rand, _ time.Duration) {
	m.condition(m.pick(r), 10*time.Millisecond, faultproxy.TCPFaults{RefuseConnections: r.IntN(2) == 0})
}

func linkSlow(m *machine, r *rand.Rand, span time.Duration) {
	m.condition(m.pick(r), span, faultproxy.TCPFaults{Delay: 30 * time.Millisecond})
}

func endpointCrash(m *machine, r *rand.Rand, span time.Duration) {
	m.unplanned(func() {
		m.current().stop()
		time.Sleep(span)
		if err := m.replaceEndpoint(r); err != nil {
			m.fleet.log("endpoint of %s: %v", m.name, err)
		}
	})
}

func endpointReplaced(m *machine, r *rand.Rand, _ time.Duration) {
	e := m.current()
	if e.State() == "draining" {
		return // Another replacement is on its way.
	}
	e.leave()
	if err := m.replaceEndpoint(r); err != nil {
		m.fleet.log("endpoint of %s: %v", m.name, err)
	}
}

func endpointMisbehaves(m *machine, r *rand.Rand, span time.Duration) {
	e := m.current()
	e.mode.Store(1 + r.Int32N(misbehaviours-1))
	time.Sleep(span)
	e.mode.Store(sound)
}

func configurations(m *machine, r *rand.Rand, _ time.Duration) {
	for range 1 + r.IntN(6) {
		m.fleet.configure(int(m.fleet.version.Load()))
		time.Sleep(50 * time.Millisecond)
	}
}

// keepLogs writes the logs of all processes beside the test's other output.
func (f *fleet) keepLogs(t *testing.T) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Error(err)
		return
	}
	t.Logf("logs are in %s", dir)
	for _, m := range f.machines {
		var text strings.Builder
		for _, p := range m.logs {
			for _, line := range p.Lines() {
				text.WriteString(line.Raw + "\n")
			}
		}
		if err := os.WriteFile(filepath.Join(dir, m.name+".json"), []byte(text.String()), 0o600); err != nil {
			t.Error(err)
		}
	}
}
