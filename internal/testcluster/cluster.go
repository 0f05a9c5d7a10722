package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/internal/testcerts"
	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/internal/testtarget"
)

// callTimeout bounds each call to a control or administration address.
const callTimeout = 30 * time.Second

// Binaries holds the paths of the built programs.
type Binaries struct{ Node, Ctl, Store, Target string }

// Build compiles the programs of the module at root into dir.
func Build(ctx context.Context, root, dir string) (Binaries, error) {
	command := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return Binaries{}, eris.Wrapf(err, "build programs: %s", output)
	}
	return BinariesIn(dir), nil
}

// BinariesIn returns the programs that were built into dir.
func BinariesIn(dir string) Binaries {
	path := func(name string) string { return filepath.Join(dir, name) }
	return Binaries{
		Node: path("azurespring-node"), Ctl: path("azurespringctl"), Store: path("teststore"), Target: path("testtarget"),
	}
}

// Cluster is a set of processes on loopback addresses: the fake platform, nodes and
// targets.
type Cluster struct {
	Store    *Process
	StoreURL string

	binaries  Binaries
	dir       string
	authority *testcerts.Authority

	mu        sync.Mutex
	nodes     []*Node
	processes []*Process
}

// Node is one azurespring-node process.
type Node struct {
	*Process
	Instance, Region, FailureDomain string
	// Listener addresses as host:port; AdvertisedAddress is the one that other nodes use.
	CallerAddress, TargetAddress, AdvertisedAddress, AdminAddress string
	// BoundAddress is the local address of the listener for other nodes.
	BoundAddress string
}

// Target is one fake target process.
type Target struct {
	*Process
	ID, Address string
	Node        *Node
}

// New starts the fake platform. Certificates and keys are written to dir.
func New(ctx context.Context, binaries Binaries, dir string) (*Cluster, error) {
	authority, err := testcerts.NewAuthority()
	if err != nil {
		return nil, err
	}
	c := &Cluster{binaries: binaries, dir: dir, authority: authority}
	if c.Store, err = c.start("teststore", binaries.Store); err != nil {
		return nil, err
	}
	line, err := c.Store.WaitForLine(ctx, "its listen address", func(l LogLine) bool { return l.Address != "" })
	if err != nil {
		c.Close()
		return nil, err
	}
	c.StoreURL = "http://" + line.Address
	return c, nil
}

func (c *Cluster) start(name, path string, args ...string) (*Process, error) {
	p, err := StartProcess(name, path, args...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// Close kills all running processes.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.Kill()
	}
}

// NodeOptions configures a node.
type NodeOptions struct {
	Region, FailureDomain string
	// PlatformURL overrides the store's URL, to put a proxy in front of the store.
	PlatformURL string
	// AdvertiseAddress overrides the advertised address, to put a proxy in front of the
	// node.
	AdvertiseAddress string
	// ListenAddress is the address of the listener for other nodes; empty picks a free port.
	ListenAddress string
	// Seeds overrides the default seeds, which are the nodes started before.
	Seeds     []string
	ExtraArgs []string
}

// StartNode starts a node and returns once its listeners are bound. Its default seeds
// are the nodes started before.
func (c *Cluster) StartNode(ctx context.Context, o NodeOptions) (*Node, error) {
	n := &Node{Instance: "node-" + uuid.NewString()[:8], Region: o.Region, FailureDomain: o.FailureDomain}
	dir := filepath.Join(c.dir, n.Instance)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	files, err := c.authority.IssueFiles(dir, n.Instance)
	if err != nil {
		return nil, err
	}
	args := []string{
		"-instance", n.Instance, "-region", o.Region, "-failure-domain", o.FailureDomain,
		"-caller-listen", "127.0.0.1:0", "-target-listen", "127.0.0.1:0", "-admin-listen", "127.0.0.1:0",
		"-node-listen", orElse(o.ListenAddress, "127.0.0.1:0"), "-node-advertise", orElse(o.AdvertiseAddress, "127.0.0.1:0"),
		"-platform-url", orElse(o.PlatformURL, c.StoreURL), "-platform-region", "r1",
		"-tls-cert", files.CertificatePath, "-tls-key", files.KeyPath, "-tls-ca", files.CAPath,
	}
	if seeds := c.seeds(o.Seeds); seeds != "" {
		args = append(args, "-seeds", seeds)
	}
	if n.Process, err = c.start(n.Instance, c.binaries.Node, append(args, o.ExtraArgs...)...); err != nil {
		return nil, err
	}
	line, err := n.WaitForEvent(ctx, "node-listening")
	if err != nil {
		return nil, err
	}
	n.CallerAddress, n.TargetAddress = line.Fields["caller"], line.Fields["target"]
	n.BoundAddress = line.Fields["nodeBound"]
	n.AdvertisedAddress, n.AdminAddress = line.Fields["node"], line.Fields["admin"]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, n)
	return n, nil
}

func orElse(text, other string) string {
	if text != "" {
		return text
	}
	return other
}

func (c *Cluster) seeds(explicit []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := ""
	for _, seed := range explicit {
		text += "," + seed
	}
	if explicit == nil {
		for _, n := range c.nodes {
			text += "," + n.AdvertisedAddress
		}
	}
	if text == "" {
		return ""
	}
	return text[1:]
}

// TargetOptions configures a target.
type TargetOptions struct {
	ID, Service, Version string
	Slots                int
	ServiceTime          time.Duration
	ExtraArgs            []string
}

// StartTarget starts a target that is local to node n and returns once it listens.
func (c *Cluster) StartTarget(ctx context.Context, n *Node, o TargetOptions) (*Target, error) {
	id := orElse(o.ID, "target-"+uuid.NewString()[:8])
	args := []string{
		"-id", id, "-service", o.Service, "-version", o.Version, "-slots", fmt.Sprint(max(1, o.Slots)),
		"-announce", "http://" + n.TargetAddress, "-calls", "http://" + n.TargetAddress, "-delay", o.ServiceTime.String(),
	}
	p, err := c.start(id, c.binaries.Target, append(args, o.ExtraArgs...)...)
	if err != nil {
		return nil, err
	}
	line, err := p.WaitForLine(ctx, "its listen address", func(l LogLine) bool { return l.Address != "" })
	if err != nil {
		return nil, err
	}
	return &Target{Process: p, ID: id, Address: line.Address, Node: n}, nil
}

// SetStoreFaults sets the faults that the fake platform injects.
func (c *Cluster) SetStoreFaults(ctx context.Context, faults teststore.Faults) error {
	return c.SendStoreCommand(ctx, teststore.Command{Faults: &faults})
}

// SendStoreCommand sends a control command to the fake platform.
func (c *Cluster) SendStoreCommand(ctx context.Context, command teststore.Command) error {
	return callJSON(ctx, http.MethodPost, c.StoreURL+"/control", command, nil)
}

// StoreCallCounts returns the number of calls to the fake platform by verb and
// resource.
func (c *Cluster) StoreCallCounts(ctx context.Context) (map[string]int, error) {
	var state teststore.State
	err := callJSON(ctx, http.MethodGet, c.StoreURL+"/control", nil, &state)
	return state.Counts, err
}

// SetBehavior replaces the behavior of a target.
func (t *Target) SetBehavior(ctx context.Context, b testtarget.Behavior) error {
	return callJSON(ctx, http.MethodPut, "http://"+t.Address+"/control", b, nil)
}

// GetJSON reads a path of a node's administration API into value.
func (n *Node) GetJSON(ctx context.Context, path string, value any) error {
	return callJSON(ctx, http.MethodGet, "http://"+n.AdminAddress+path, nil, value)
}

// RunCtl runs azurespringctl and returns its output and exit code. On a failure the
// output includes standard error.
func (c *Cluster) RunCtl(ctx context.Context, args ...string) (output string, code int, err error) {
	var stdout, stderr bytes.Buffer
	command := exec.CommandContext(ctx, c.binaries.Ctl, args...)
	command.Stdout, command.Stderr = &stdout, &stderr
	command.Env = os.Environ()
	err = command.Run()
	var exit *exec.ExitError
	if eris.As(err, &exit) {
		return stdout.String() + stderr.String(), exit.ExitCode(), nil
	}
	return stdout.String(), 0, err
}

func callJSON(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// TargetStatus holds the counters of a fake target.
type TargetStatus struct {
	Calls    int64 `json:"calls"`
	Canceled int64 `json:"canceled"`
	// RunsByRequestID is the number of runs of each request ID.
	RunsByRequestID map[string]int `json:"runs"`
}

// Status reads a target's counters.
func (t *Target) Status(ctx context.Context) (TargetStatus, error) {
	var status TargetStatus
	err := callJSON(ctx, http.MethodGet, "http://"+t.Address+"/control", nil, &status)
	return status, err
}
