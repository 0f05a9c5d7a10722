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

// process is the node's program with its settings file.
type process struct {
	command *exec.Cmd
	output  *output
	done    chan error
}

func settingsText(n *node) string {
	s := n.settings
	return fmt.Sprintf(`
self: {node: %q, zone: %q, region: %q, application_address: %q, service: %q, limits: {cores: 1, memory_mb: 284}}
network:
  listen_addresses: {inbound: %q, outbound: %q, readiness: %q, control: %q}
platform: {heartbeat_interval: "1s", platform: {address: %q}}
terms: {bounds: {drain: "2s", grace_period: "6s", configuration_apply: "2s", retry_budget_ratio: 0.2, budget_window: "10s", retry_budget_slack: 50}}
`, s.Instance, s.FailureDomain, s.Region, n.endpoint.Address(), s.Service, s.InboundAddress, s.OutboundAddress, s.ReadinessAddress, s.ControlAddress, s.StoreAddress)
}

func startProcess(t *testing.T, settings string) *process {
	t.Helper()
	program, err := buildProgram()
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	p := &process{command: exec.Command(program, "sidecar"), output: &output{}, done: make(chan error, 1)}
	p.command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+path)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	assert.NilError(t, p.command.Start())
	go func() { p.done <- p.command.Wait() }()
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	return p
}

// Guards against a stop that cuts requests: a SIGHUP during the stop ended the
// process at once, because its handler was removed with the first signal.
func TestSignalsDuringStopCutNoRequest(t *testing.T) {
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
	// The node of the fleet only provides addresses; its program runs as a process.
	n := f.add("a", e)
	n.stop()
	<-n.done
	p := startProcess(t, settingsText(n))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.wait("the program takes announcements", func() bool {
		status, err := e.Announce(ctx, n.settings.ControlAddress)
		return err == nil && status == http.StatusOK
	})
	go announce(ctx, n)
	f.wait("the program serves", func() bool { return n.get("/safe/probe", "probe").status == http.StatusOK })
	held := make(chan answer, 1)
	go func() { held <- n.get("/safe/held", "held") }()
	<-arrived
	assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
	f.wait("the program is not ready", func() bool { return !n.isReady() })
	for range 3 {
		assert.NilError(t, p.command.Process.Signal(syscall.SIGHUP))
		assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
		time.Sleep(50 * time.Millisecond) // Lets each signal arrive by itself.
	}
	c := n.dial(t)
	c.send(t, "/safe/late", "late")
	late := c.read(t)
	assert.Equal(t, late.status, http.StatusOK, "a client that has not noticed the stop yet")
	assert.Assert(t, late.closes)
	close(release)
	a := <-held
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	select {
	case err := <-p.done:
		assert.NilError(t, err)
	case <-time.After(deadline):
		t.Fatal("the program does not end")
	}
	assert.Equal(t, len(p.output.lines("stopped")), 1)
}

// Guards against a program that starts with settings it does not understand, or
// tells one fault at a time.
func TestProgramRefusesFaultySettings(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "self: {node: n}\n")
	err := <-p.done
	assert.ErrorContains(t, err, "exit status 2")
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	for _, want := range []string{"self.zone", "network.listen_addresses.inbound", "platform.platform.address"} {
		assert.Assert(t, strings.Contains(p.output.text.String(), want), "%s is not named in %q", want, p.output.text.String())
	}
}
