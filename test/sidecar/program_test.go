package sidecar_test

import (
	"context"
	"fmt"
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

	"github.com/azurespring/azurespring/platform"
	"github.com/azurespring/azurespring/platform/platformtest"
)

// buildProgram builds the node's program once for all tests.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "azurespring-node")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "azurespring-node")
	output, err := exec.Command("go", "build", "-o", path, "github.com/azurespring/azurespring/cmd/azurespring-node").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

// TestMain removes the program that buildProgram built.
func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// process is a running process of the node's program.
type process struct {
	command *exec.Cmd
	output  *logBuffer
	done    chan error
}

func settingsText(n *testNode, limits string) string {
	s := n.settings
	return fmt.Sprintf(`
self: {node: %q, zone: %q, region: %q, application_address: %q, service: %q, limits: {cores: 1, %s}}
network:
  internal_port_range: [%d]
  listen_addresses: {inbound: %q, outbound: %q, readiness: %q, control: %q}
platform: {heartbeat_interval: "1s", platform: {address: %q}}
terms: {bounds: {drain: "2s", grace_period: "6s", configuration_apply: "2s", retry_budget_ratio: 0.2, budget_window: "10s", retry_budget_slack: 50}}
`, s.Instance, s.FailureDomain, s.Region, n.endpoint.Address(), s.Service, limits, s.MetricsPort, s.InboundAddress, s.OutboundAddress, s.ReadinessAddress, s.ControlAddress, s.StoreAddress)
}

func startProcess(t *testing.T, settings string) *process {
	t.Helper()
	program, err := buildProgram()
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	p := &process{command: exec.Command(program, "sidecar"), output: &logBuffer{}, done: make(chan error, 1)}
	p.command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+path)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	assert.NilError(t, p.command.Start())
	go func() { p.done <- p.command.Wait() }()
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	return p
}

// addProcess starts the node of an endpoint as a process and waits until it serves requests.
// The node in the fleet only provides the addresses.
func (f *fleet) addProcess(e *platformtest.Endpoint) (*testNode, *process) {
	f.t.Helper()
	n := f.addNode("a", e)
	n.stop()
	<-n.done
	return n, f.startNodeProcess(n)
}

// startNodeProcess starts the node n, which does not run, as a process and waits until it
// serves requests.
func (f *fleet) startNodeProcess(n *testNode) *process {
	f.t.Helper()
	e := n.endpoint
	p := startProcess(f.t, settingsText(n, f.processLimits))
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	f.waitUntil("the process accepts announcements", func() bool {
		status, err := e.Announce(ctx, n.settings.ControlAddress)
		return err == nil && status == http.StatusOK
	})
	go announceRepeatedly(ctx, n)
	f.waitUntil("the process serves requests", func() bool { return n.get("/safe/probe", "probe").status == http.StatusOK })
	return p
}

// Signals during a graceful shutdown must not interrupt requests. If the signal handler
// is removed after the first signal, a SIGHUP terminates the process at once.
func TestSignalsDuringShutdownInterruptNoRequest(t *testing.T) {
	f := newFleet(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	e := endpoint("e")
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/held" {
			close(arrived)
			<-release
		}
		e.Sign(w, r)
	}
	n, p := f.addProcess(e)
	heldResult := make(chan result, 1)
	go func() { heldResult <- n.get("/safe/held", "held") }()
	<-arrived
	assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
	f.waitUntil("the process reports not ready", func() bool { return !n.isReady() })
	for range 3 {
		assert.NilError(t, p.command.Process.Signal(syscall.SIGHUP))
		assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
		time.Sleep(50 * time.Millisecond) // Pending signals of one kind would be merged.
	}
	c := n.dial(t)
	c.send(t, "/safe/late", "late")
	late := c.read(t)
	assert.Equal(t, late.status, http.StatusOK, "a request from a client that has not noticed the shutdown yet")
	assert.Assert(t, late.closesConnection)
	close(release)
	got := <-heldResult
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	select {
	case err := <-p.done:
		assert.NilError(t, err)
	case <-time.After(waitTimeout):
		t.Fatal("the process does not exit")
	}
	assert.Equal(t, len(p.output.events("stopped")), 1)
}

// The program must not start with invalid settings, and must report all validation
// errors at once.
func TestProgramRejectsInvalidSettings(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "self: {node: n}\n")
	err := <-p.done
	assert.ErrorContains(t, err, "exit status 2")
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	for _, want := range []string{"self.zone", "network.listen_addresses.inbound", "platform.platform.address"} {
		assert.Assert(t, strings.Contains(p.output.text.String(), want), "output does not name %s: %q", want, p.output.text.String())
	}
}
