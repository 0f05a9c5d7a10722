// Package soak_test runs nodes as processes, injects faults through signals, TCP proxies
// and a faulty store, and checks what clients and endpoints observe against the
// guarantees of docs/proofs.md.
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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/internal/faultproxy"
	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/platform/platformtest"
)

var (
	firstSeed     = flag.Uint64("seed", 1, "first seed")
	seedCount     = flag.Uint64("seeds", 1, "number of seeds")
	instanceCount = flag.Int("machines", 6, "number of nodes")
	faultDuration = flag.Duration("faults", 6*time.Second, "time in which faults begin")
)

// regressionSeeds are seeds that failed before, each with its cause.
var regressionSeeds = []uint64{
	13, // A node that was paused while it read a body responded with 400 (DENIED).
	7,  // A node closed connections on which requests were not answered when it stopped, or were arriving (LOST).
	// A SIGHUP within 5 ms of a start ended the process, and the harness did not start it again (RECOVER).
	9913,
}

// TestSoak verifies the guarantees to callers and endpoints under random series of faults
// that may overlap. A request that runs twice, gets a wrong verdict, is lost without a
// fault or reaches a drained endpoint breaks it, and so does a node that does not recover.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "azurespring-node")
	output, err := exec.Command("go", "build", "-o", program, "github.com/azurespring/azurespring/cmd/azurespring-node").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	list := append(slices.Clone(regressionSeeds), lo.RangeFrom(*firstSeed, int(*seedCount))...)
	for _, seed := range lo.Uniq(list) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, program, seed) })
	}
}

// slowClientCount is the number of slow clients of an instance. All clients together can
// hold more slots than the endpoints have.
const slowClientCount = 6

func runSeed(t *testing.T, program string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	f, err := newFleet(t, program, *instanceCount, seed)
	assert.NilError(t, err)
	t.Cleanup(func() {
		f.close()
		if t.Failed() {
			f.writeLogs(t)
		}
	})
	for _, inst := range f.instances {
		assert.NilError(t, inst.replaceEndpoint(r))
		assert.NilError(t, inst.startNode())
	}
	f.awaitServing(t, "the start")

	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { f.requestLog.stalls.watchSelf(ctx) })
	for _, inst := range f.instances {
		clients.Go(func() { inst.watchNode(ctx) })
	}
	for _, inst := range f.instances {
		for range 4 {
			source := rand.NewPCG(r.Uint64(), r.Uint64())
			clients.Go(func() { inst.runClient(ctx, rand.New(source)) })
		}
	}
	// Planned changes and slow clients have random numbers of their own, so that the faults
	// of a regression seed stay the same.
	planned := rand.New(rand.NewPCG(seed, 2))
	slowCtx, cancelSlow := context.WithCancel(ctx)
	var slowClients, changes sync.WaitGroup
	for _, inst := range f.instances {
		for range slowClientCount {
			source := rand.NewPCG(planned.Uint64(), planned.Uint64())
			slowClients.Go(func() { inst.runSlowClient(slowCtx, rand.New(source)) })
		}
	}
	changes.Go(func() {
		// The last planned changes come after all faults, which excuse lost requests.
		time.Sleep(*faultDuration / 3)
		f.inject(planned, plannedChanges)
	})
	restores := rand.New(rand.NewPCG(seed, 3))
	changes.Go(func() { f.restoreStore(restores) })
	f.inject(r, faults)
	changes.Wait()
	cancelSlow()
	f.storeConfiguration(defaultLimits)
	f.awaitServing(t, "recovery")
	slowClients.Wait()
	f.storeConfiguration(defaultLimits)
	lastPath := fmt.Sprintf("/extra%d/", int(f.configVersion.Load())-1)
	time.Sleep(maxApplyTime)
	for _, inst := range f.instances {
		result := inst.sendOnNewConnection("last-"+inst.name, lastPath)
		assert.Equal(t, result.status, http.StatusOK, "CONFIG: %s does not serve a route that was stored %v ago: %v", inst.name, maxApplyTime, result.err)
	}
	cancel()
	clients.Wait()
	for _, violation := range f.requestLog.violations() {
		t.Error(violation)
	}
	t.Logf("%d requests, %d with a 2xx response; test process stalled for %v", len(f.requestLog.results), f.requestLog.successCount(), f.requestLog.stalls.between(time.Time{}, time.Now()))
}

// awaitServing waits until all nodes serve all services and fails the test after
// recoveryTimeout.
func (f *fleet) awaitServing(t *testing.T, after string) {
	t.Helper()
	end := time.Now().Add(recoveryTimeout)
	for _, inst := range f.instances {
		for s := range serviceCount {
			for n := 0; ; n++ {
				result := inst.sendOnNewConnection(fmt.Sprintf("probe-%s-%s-%d-%d", strings.ReplaceAll(after, " ", ""), inst.name, s, n), fmt.Sprintf("/safe%d/probe", s))
				if result.status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("RECOVER: %v after %s, %s does not serve s%d: %d %v", recoveryTimeout, after, inst.name, s, result.status, result.err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

type faultKind func(inst *instance, r *rand.Rand, duration time.Duration)

var (
	faults = []faultKind{
		killNode, pauseNode, gracefulRestart, gracefulRestart, storeRejects, storeHangs, storeDropsResponses, storeSlow, storeCompactsHistory,
		linkBlackholed, linkPartlyBlackholed, linkReset, linkSlow, endpointCrash, endpointReplaced, endpointReplaced,
		endpointMisbehaves, endpointMisbehaves, configurationChanges,
	}
	// plannedChanges must not lose a request.
	plannedChanges = []faultKind{gracefulRestart, reload, configurationChanges}
)

// inject starts random faults of the given kinds for faultDuration and waits until all
// have ended.
func (f *fleet) inject(r *rand.Rand, kinds []faultKind) {
	var running sync.WaitGroup
	end := time.Now().Add(*faultDuration)
	for time.Now().Before(end) {
		kind, inst := kinds[r.IntN(len(kinds))], f.instances[r.IntN(len(f.instances))]
		duration := 200*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))
		source := rand.NewPCG(r.Uint64(), r.Uint64())
		running.Go(func() { kind(inst, rand.New(source), duration) })
		time.Sleep(time.Duration(r.Int64N(int64(400 * time.Millisecond))))
	}
	running.Wait()
}

// restartNode starts the node again after its process has ended. Only the fault that
// ended the process may call it.
func (inst *instance) restartNode(p *testcluster.Process, after time.Duration) {
	<-p.Exited()
	time.Sleep(after)
	if err := inst.startNode(); err != nil {
		inst.fleet.logf("start %s: %v", inst.name, err)
	}
}

// takeProcess returns the running process to a fault that ends it, or nil if another
// fault already took it.
func (inst *instance) takeProcess() *testcluster.Process {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	p := inst.process
	inst.process = nil
	return p
}

func killNode(inst *instance, _ *rand.Rand, duration time.Duration) {
	inst.runUnplannedFault(func() {
		if p := inst.takeProcess(); p != nil {
			p.Kill()
			inst.restartNode(p, duration)
		}
	})
}

func pauseNode(inst *instance, _ *rand.Rand, duration time.Duration) {
	inst.runUnplannedFault(func() {
		p := inst.runningProcess()
		if p == nil || p.Pause() != nil {
			return
		}
		time.Sleep(duration)
		_ = p.Resume() // The process may have been killed meanwhile.
	})
}

// gracefulRestart shuts a node down by repeated SIGTERM and SIGHUP and starts it again.
func gracefulRestart(inst *instance, r *rand.Rand, duration time.Duration) {
	p := inst.takeProcess()
	if p == nil {
		return
	}
	signaledAt := time.Now()
	inst.mu.Lock()
	inst.stops = append(inst.stops, signaledAt)
	inst.mu.Unlock()
	for range 1 + r.IntN(3) {
		for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
			_ = syscall.Kill(p.PID(), s) // The process may have ended.
		}
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case <-p.Exited():
	case <-time.After(time.Until(signaledAt.Add(gracePeriod))):
		now := time.Now()
		stalled := inst.stalls.between(signaledAt, now)
		report := inst.fleet.logf
		if inst.isFaultFreeBetween(signaledAt, now) && stalled < maxStopStall {
			report = inst.fleet.errorf
		}
		report("STOP: %s got SIGTERM at %v and did not exit in its grace period; it was stalled for %v", inst.name, signaledAt, stalled)
		inst.runUnplannedFault(p.Kill)
	}
	inst.restartNode(p, duration/4)
}

func reload(inst *instance, r *rand.Rand, duration time.Duration) {
	for range 1 + r.IntN(6) {
		if p := inst.runningProcess(); p != nil {
			isStarting := len(p.Lines()) == 0
			_ = syscall.Kill(p.PID(), syscall.SIGHUP) // The process may have ended.
			if isStarting {
				inst.restartIfEnded(p)
			}
		}
		time.Sleep(duration / 10)
	}
}

// signalHandlingTime is the time within which a process that starts handles signals.
const signalHandlingTime = 100 * time.Millisecond

// restartIfEnded starts a node again that a SIGHUP has ended because its process did not
// handle signals yet (within some 5 ms of its start), as the platform does.
func (inst *instance) restartIfEnded(p *testcluster.Process) {
	select {
	case <-p.Exited():
	case <-time.After(signalHandlingTime):
		return
	}
	inst.mu.Lock()
	isCurrent := inst.process == p
	if isCurrent {
		inst.process = nil
	}
	inst.mu.Unlock()
	if isCurrent { // Otherwise another fault has ended it.
		inst.restartNode(p, signalHandlingTime)
	}
}

// injectStoreFault makes the store fail for one instance. It is no unplanned fault: calls
// must not fail because of the store alone.
func (inst *instance) injectStoreFault(duration time.Duration, fault platformtest.Fault) {
	inst.storeFault.Store(&fault)
	time.Sleep(2 * duration)
	inst.storeFault.Store(nil)
}

func storeRejects(inst *instance, _ *rand.Rand, duration time.Duration) {
	inst.injectStoreFault(duration, platformtest.Fault{Status: http.StatusServiceUnavailable})
}

func storeHangs(inst *instance, _ *rand.Rand, duration time.Duration) {
	inst.injectStoreFault(duration, platformtest.Fault{Hang: true})
}

func storeDropsResponses(inst *instance, _ *rand.Rand, duration time.Duration) {
	inst.injectStoreFault(duration, platformtest.Fault{DropResponse: true})
}

func storeSlow(inst *instance, _ *rand.Rand, duration time.Duration) {
	inst.storeDelay.Store(int64(300 * time.Millisecond))
	time.Sleep(duration)
	inst.storeDelay.Store(0)
}

func storeCompactsHistory(inst *instance, _ *rand.Rand, duration time.Duration) {
	inst.fleet.store.SuspendWatches()
	time.Sleep(duration / 4)
	inst.fleet.store.CompactHistory()
}

// restoreStore lets the store come back from a copy that is up to two seconds old. The
// operator writes the configuration again soon after.
func (f *fleet) restoreStore(r *rand.Rand) {
	time.Sleep(time.Duration(r.Int64N(int64(*faultDuration / 2))))
	saved := f.store.Copy()
	time.Sleep(time.Duration(r.Int64N(int64(2 * time.Second))))
	f.store.Restore(saved)
	time.Sleep(time.Duration(r.Int64N(int64(300 * time.Millisecond))))
	f.storeConfiguration(defaultLimits)
}

func (inst *instance) injectProxyFaults(p *faultproxy.TCPProxy, duration time.Duration, c faultproxy.TCPFaults) {
	inst.runUnplannedFault(func() {
		p.SetFaults(c)
		time.Sleep(duration)
		p.SetFaults(faultproxy.TCPFaults{})
		p.ResetConnections() // Connections that lost bytes would stay blackholed.
	})
}

// randomProxy returns one of the two proxies of the instance.
func (inst *instance) randomProxy(r *rand.Rand) *faultproxy.TCPProxy {
	if r.IntN(2) == 0 {
		return inst.storeProxy
	}
	return inst.inboundProxy
}

func linkBlackholed(inst *instance, r *rand.Rand, duration time.Duration) {
	inst.injectProxyFaults(inst.randomProxy(r), duration, faultproxy.TCPFaults{DropToServer: true, DropToClient: true})
}

func linkPartlyBlackholed(inst *instance, r *rand.Rand, duration time.Duration) {
	inst.injectProxyFaults(inst.randomProxy(r), duration, faultproxy.TCPFaults{DropToClient: r.IntN(2) == 0, DropToServer: r.IntN(2) == 0})
}

func linkReset(inst *instance, r *rand.Rand, _ time.Duration) {
	inst.injectProxyFaults(inst.randomProxy(r), 10*time.Millisecond, faultproxy.TCPFaults{RefuseConnections: r.IntN(2) == 0})
}

func linkSlow(inst *instance, r *rand.Rand, duration time.Duration) {
	inst.injectProxyFaults(inst.randomProxy(r), duration, faultproxy.TCPFaults{Delay: 30 * time.Millisecond})
}

func endpointCrash(inst *instance, r *rand.Rand, duration time.Duration) {
	inst.runUnplannedFault(func() {
		inst.currentEndpoint().stop()
		time.Sleep(duration)
		if err := inst.replaceEndpoint(r); err != nil {
			inst.fleet.logf("endpoint of %s: %v", inst.name, err)
		}
	})
}

func endpointReplaced(inst *instance, r *rand.Rand, _ time.Duration) {
	e := inst.currentEndpoint()
	if e.State() == "draining" {
		return // Another replacement is in progress.
	}
	e.drainAndStop()
	if err := inst.replaceEndpoint(r); err != nil {
		inst.fleet.logf("endpoint of %s: %v", inst.name, err)
	}
}

func endpointMisbehaves(inst *instance, r *rand.Rand, duration time.Duration) {
	e := inst.currentEndpoint()
	e.mode.Store(1 + r.Int32N(modeCount-1))
	time.Sleep(duration)
	e.mode.Store(modeHealthy)
}

func configurationChanges(inst *instance, r *rand.Rand, duration time.Duration) {
	for range 1 + r.IntN(6) {
		inst.fleet.storeConfiguration(limits{
			idleTimeout:  []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second}[r.IntN(3)],
			routeTimeout: routeTimeouts[r.IntN(len(routeTimeouts))],
		})
		time.Sleep(50*time.Millisecond + time.Duration(r.Int64N(int64(duration/4))))
	}
}

// writeLogs writes the logs of all processes to a new temporary directory.
func (f *fleet) writeLogs(t *testing.T) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Error(err)
		return
	}
	t.Logf("logs are in %s", dir)
	for _, inst := range f.instances {
		var text strings.Builder
		for _, p := range inst.processes {
			for _, line := range p.Lines() {
				text.WriteString(line.Raw + "\n")
			}
		}
		if err := os.WriteFile(filepath.Join(dir, inst.name+".json"), []byte(text.String()), 0o600); err != nil {
			t.Error(err)
		}
	}
}
