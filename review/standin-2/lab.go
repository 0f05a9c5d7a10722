//go:build review

// Command standin-2 plays the scripted cases of the second review. It starts the nodes
// as separate processes and provides the platform's store, endpoints and clients.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// Ports of all machines. Each machine has a loopback address of its own.
const (
	inboundPort   = 18300
	outboundPort  = 18304
	readinessPort = 18302
	controlPort   = 18306
	endpointPort  = 18301
	internalPort  = 17620
)

// deployment holds what the settings of all machines have in common.
type deployment struct {
	heartbeat time.Duration
	contracts string
	bounds    string
}

// errSetUp marks a case that could not run.
var errSetUp = errors.New("the case could not run")

// lab is one run of a case: a store and machines with a node and an endpoint each.
type lab struct {
	dir     string
	prefix  string
	command []string
	deployment
	started  time.Time
	store    *platformtest.Store
	storeAt  string
	machines []*machine
	// isRunning is set once the whole deployment has started.
	isRunning bool

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	nextID int
}

func newLab(recordPath string, d deployment) (*lab, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, deployment: d, started: time.Now(), file: file, record: bufio.NewWriter(file)}
	if l.command, err = deployCommand(); err != nil {
		return nil, err
	}
	for range 100 {
		l.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", l.prefix, outboundPort))
		if err == nil {
			_ = listener.Close()
			break
		}
	}
	l.store = platformtest.NewStore()
	l.store.BeginEras()
	listener, err := net.Listen("tcp", l.prefix+".250:18309")
	if err != nil {
		return nil, err
	}
	l.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, l.store) }()
	return l, nil
}

// deployCommand returns the words of the command of the deploy file.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no command")
}

// now returns the time since the start of the case.
func (l *lab) now() time.Duration { return time.Since(l.started) }

// log adds a line to the record.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f ", l.now().Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// requestID returns a request ID that no other request of the case has.
func (l *lab) requestID(prefix string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	return fmt.Sprintf("%s-%04d", prefix, l.nextID)
}

// close ends all processes of the case.
func (l *lab) close() {
	for _, m := range l.machines {
		m.kill()
		if m.endpoint != nil {
			m.endpoint.exit()
		}
	}
	l.mu.Lock()
	_ = l.record.Flush()
	_ = l.file.Close()
	l.mu.Unlock()
	_ = os.RemoveAll(l.dir)
}

// machine is one machine with its node process and its endpoint.
type machine struct {
	lab      *lab
	name     string
	ip       string
	zone     string
	service  string
	cpuShare float64
	memoryMB int
	endpoint *endpoint

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// addMachine prepares a machine. No process is started.
func (l *lab) addMachine(name, zone, service string) *machine {
	m := &machine{lab: l, name: name, ip: fmt.Sprintf("%s.%d", l.prefix, len(l.machines)+1), zone: zone, service: service, cpuShare: 0.32, memoryMB: 284}
	l.machines = append(l.machines, m)
	return m
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file of the node.
func (m *machine) settings() string {
	return fmt.Sprintf(`self:
  node: %q
  role: "node"
  machine_class: "sidecar"
  serves: ["sidecar"]
  ip: %q
  zone: %q
  region: "region-a"
  counted_in_tolerance: false
  first_start: %t
  data_directory: null
  limits: {cpu_share: %.2f, cores: 1, memory_mb: %d, file_descriptors: 4100, link_mbps: 1000.0, disk_mb: 0}
  application_address: %q
  service: %q
network:
  listen_addresses: {inbound: %q, outbound: %q, readiness: %q, control: %q}
  internal_port_range: [%d, %d]
  seeds: []
  zones: {zone-a: "region-a", zone-b: "region-a"}
platform:
  discovery: "local"
  entry: "local"
  heartbeat_interval: "%dms"
  platform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history: "20s", value_bytes: 1048576, min_ttl: "1000ms"}
terms:
  contracts: [%s]
  fault_tolerance: {machines: 2, zones: 0, regions: 0}
  bounds: {%s}
`, m.name, m.ip, m.zone, !m.lab.isRunning, m.cpuShare, m.memoryMB, m.at(endpointPort), m.service, m.at(inboundPort), m.at(outboundPort), m.at(readinessPort), m.at(controlPort),
		internalPort, internalPort+15, m.lab.heartbeat.Milliseconds(), m.lab.storeAt, m.lab.contracts, m.lab.bounds)
}

// start starts the node process of the machine.
func (m *machine) start() error {
	path := filepath.Join(m.lab.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.lab.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	c := exec.Command(m.lab.command[0], m.lab.command[1:]...)
	c.Env = append(os.Environ(), "AZURESPRING_CONFIG="+path)
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	m.mu.Lock()
	m.process, m.ended = c, ended
	m.mu.Unlock()
	m.lab.log("node %s started, pid %d", m.name, c.Process.Pid)
	return nil
}

// signal sends a signal to the node process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	c := m.process
	m.mu.Unlock()
	if c != nil {
		m.lab.log("signal %v to node %s", s, m.name)
		_ = c.Process.Signal(s)
	}
}

// kill ends the node process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	c, ended := m.process, m.ended
	m.process = nil
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-ended
}

// hasEnded reports whether the node process has ended by itself.
func (m *machine) hasEnded() bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// nodeLog returns the log of the node.
func (m *machine) nodeLog() string {
	text, _ := os.ReadFile(filepath.Join(m.lab.dir, m.name+".log"))
	return string(text)
}

// logEvents adds the lines of the node's log with the given events to the record.
func (l *lab) logEvents(m *machine, events ...string) {
	for _, line := range strings.Split(m.nodeLog(), "\n") {
		for _, event := range events {
			if strings.Contains(line, `"`+event+`"`) {
				l.log("node %s logs %s", m.name, line)
			}
		}
	}
}

// isReady asks the readiness address as the platform does.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.at(readinessPort) + "/azurespring/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitFor polls until ok holds.
func waitFor(what string, limit time.Duration, ok func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s: not within %v", errSetUp, what, limit)
}

// startAll starts all machines and waits until they are ready.
func (l *lab) startAll() error {
	for _, m := range l.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range l.machines {
		if m.endpoint != nil {
			if err := m.endpoint.start(); err != nil {
				return err
			}
		}
	}
	for _, m := range l.machines {
		if err := waitFor("node "+m.name+" is ready", 15*time.Second, m.isReady); err != nil {
			return err
		}
	}
	l.isRunning = true
	return nil
}
