package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/internal/loadgen"
	"github.com/azurespring/azurespring/internal/testcluster"
)

const (
	// customerKey is a key of the example lists: the customer's name with the suffix -key.
	customerKey  = "steny-bratislava-key"
	pollInterval = 100 * time.Millisecond
)

// service is a service of the example lists with the path of the calls that the demo sends.
type service struct {
	name, version, path string
}

var services = []service{
	{"stock", "3.2.0", "/v1/stock/panel-7"},
	{"hires", "1.9.4", "/v1/hires/17"},
	{"drawings", "2.0.1", "/v1/drawings/42"},
	{"prices", "7.1.0", "/v1/prices/panel-7"},
}

// The services that the demo moves, and their new versions.
const (
	goodService, goodVersion = "stock", "3.3.0"
	badService, badVersion   = "prices", "7.2.0"
)

// summary is printed as JSON in the last line of the output.
type summary struct {
	OK                    bool     `json:"ok"`
	Nodes                 int      `json:"nodes"`
	ConvergenceMs         int64    `json:"convergenceMs"`
	Calls                 int      `json:"calls"`
	Completed             int      `json:"answered"`
	BadVersionCalls       int      `json:"callsOfBadVersion"`
	GoodMove              string   `json:"goodMove"`
	BadMove               string   `json:"badMove"`
	Confirmations         int      `json:"confirmations"`
	Duplicates            int      `json:"duplicates"`
	ResetByShutdown       int      `json:"cutByPlannedStop"`
	AddedLatencyP50Micros int64    `json:"addedP50us"`
	AddedLatencyP99Micros int64    `json:"addedP99us"`
	Failures              []string `json:"failures,omitempty"`
}

type demo struct {
	options options
	dir     string
	cluster *testcluster.Cluster
	nodes   []*testcluster.Node
	targets map[string][]*testcluster.Target
	summary summary
}

func (d *demo) close() {
	if d.cluster != nil {
		d.cluster.Close()
	}
}

func (d *demo) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.summary.Failures = append(d.summary.Failures, text)
	fmt.Println("FAILED:", text)
}

func (d *demo) check(ok bool, format string, args ...any) {
	if !ok {
		d.fail(format, args...)
	}
}

func (d *demo) run(ctx context.Context) error {
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"starting nodes and targets", d.start},
		{"applying the lists", d.applyLists},
		{"measuring the added latency", d.measureAddedLatency},
		{"confirming hires with retries by the caller", d.confirmHires},
		{"moving a good and a bad version", d.runMoves},
		{"shutting down a node under load", d.shutDownUnderLoad},
	} {
		started := time.Now()
		fmt.Printf("%s ...\n", step.title)
		if err := step.run(ctx); err != nil {
			return eris.Wrap(err, step.title)
		}
		fmt.Printf("  done in %s\n", time.Since(started).Round(10*time.Millisecond))
	}
	return nil
}

// start starts the platform and one node with a local target per endpoint, spread over
// 3 regions with 2 failure domains each.
func (d *demo) start(ctx context.Context) (err error) {
	if d.cluster, err = testcluster.New(ctx, d.options.binaries, d.dir); err != nil {
		return err
	}
	d.targets = make(map[string][]*testcluster.Target)
	for i := range d.options.endpointsPerService {
		for k, s := range services {
			region := (i + k) % 3
			n, err := d.cluster.StartNode(ctx, testcluster.NodeOptions{
				Region:        fmt.Sprintf("r%d", region+1),
				FailureDomain: fmt.Sprintf("r%d-d%d", region+1, (i+k)/3%2+1),
			})
			if err != nil {
				return err
			}
			d.nodes = append(d.nodes, n)
			if err := d.startTarget(ctx, n, s.name, s.version); err != nil {
				return err
			}
		}
	}
	d.summary.Nodes = len(d.nodes)
	for _, n := range d.nodes {
		if _, err := n.WaitForEvent(ctx, "node-ready"); err != nil {
			return err
		}
	}
	return d.awaitMembers(ctx)
}

// awaitMembers waits until the first node knows all others. Nodes are ready as
// soon as they have joined; their member records reach the others shortly afterwards.
func (d *demo) awaitMembers(ctx context.Context) error {
	for {
		var members []struct{}
		if err := d.nodes[0].GetJSON(ctx, "/v1/members", &members); err != nil {
			return err
		}
		if len(members) == len(d.nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("the first node knows %d of %d nodes", len(members), len(d.nodes))
		case <-time.After(pollInterval):
		}
	}
}

func (d *demo) startTarget(ctx context.Context, n *testcluster.Node, service, version string, extra ...string) error {
	t, err := d.cluster.StartTarget(ctx, n, testcluster.TargetOptions{
		Service: service, Version: version, Slots: 18, ServiceTime: 2 * time.Millisecond, ExtraArgs: extra,
	})
	if err != nil {
		return err
	}
	key := service + " " + version
	d.targets[key] = append(d.targets[key], t)
	return nil
}

// applyLists applies the example lists and waits until all nodes serve all services.
func (d *demo) applyLists(ctx context.Context) error {
	started := time.Now()
	if err := d.apply(ctx, d.options.listDir); err != nil {
		return err
	}
	d.summary.ConvergenceMs = time.Since(started).Milliseconds()
	for _, n := range d.nodes {
		for _, s := range services {
			if err := d.awaitService(ctx, n, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *demo) apply(ctx context.Context, dir string) error {
	output, code, err := d.cluster.RunCtl(ctx, "apply", "-nodes", d.nodes[0].AdminAddress, "-wait",
		filepath.Join(dir, "customers.yaml"), filepath.Join(dir, "entitlements.yaml"))
	if err != nil {
		return err
	}
	fmt.Println(indent(output))
	if code != 0 {
		return eris.Errorf("azurespringctl apply exited with code %d", code)
	}
	return nil
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n  ")
}

func (d *demo) loadOptions(s service, nodes []*testcluster.Node) loadgen.Options {
	o := loadgen.Options{
		Service: s.name, Method: http.MethodGet, Path: s.path, CustomerKey: customerKey, Concurrency: 4, Timeout: 5 * time.Second,
	}
	for _, n := range nodes {
		o.Nodes = append(o.Nodes, n.CallerAddress)
	}
	return o
}

func (d *demo) awaitService(ctx context.Context, n *testcluster.Node, s service) error {
	o := d.loadOptions(s, []*testcluster.Node{n})
	o.CallCount, o.Concurrency = 1, 1
	for {
		result := loadgen.Run(ctx, o)
		if result.CompletedCount() == 1 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("no call of service %s through %s completed: %+v", s.name, n.Instance, result.Calls)
		case <-time.After(pollInterval):
		}
	}
}

// measureAddedLatency compares calls through a node that has no local target of the
// service with direct calls of the same targets.
func (d *demo) measureAddedLatency(ctx context.Context) error {
	const calls, rate = 3000, 500
	throughNode := d.loadOptions(services[0], d.nodes[1:2])
	throughNode.CallCount, throughNode.CallsPerSecond = calls, rate
	direct := throughNode
	direct.Nodes = nil
	for _, t := range d.targets[services[0].name+" "+services[0].version] {
		direct.Nodes = append(direct.Nodes, t.Address)
	}
	direct.Header = http.Header{"X-Direct": {"1"}}
	for _, o := range []loadgen.Options{direct, throughNode} {
		warmup := o
		warmup.CallCount, warmup.CallsPerSecond = 100, 0
		loadgen.Run(ctx, warmup)
	}
	directResult, nodeResult := loadgen.Run(ctx, direct), loadgen.Run(ctx, throughNode)
	d.check(nodeResult.CompletedCount() == calls, "%d of %d calls through a node completed, local replies: %v", nodeResult.CompletedCount(), calls, nodeResult.CountByCode())
	d.summary.AddedLatencyP50Micros = (nodeResult.LatencyPercentile(50) - directResult.LatencyPercentile(50)).Microseconds()
	d.summary.AddedLatencyP99Micros = (nodeResult.LatencyPercentile(99) - directResult.LatencyPercentile(99)).Microseconds()
	return nil
}

// confirmHires sends non-idempotent calls with idempotency keys, retries each one through
// another node, and checks that no retry ran.
func (d *demo) confirmHires(ctx context.Context) error {
	o := d.loadOptions(services[1], d.nodes)
	o.Method, o.Path, o.IdempotencyKeys, o.CallCount, o.Body = http.MethodPost, "/v1/hires", true, 200, []byte(`{"panel":7}`)
	o.Header = http.Header{"Content-Type": {"application/json"}}
	result := loadgen.Run(ctx, o)
	d.summary.Confirmations = result.CompletedCount()
	d.check(result.CompletedCount() == len(result.Calls), "%d of %d confirmations completed, local replies: %v",
		result.CompletedCount(), len(result.Calls), result.CountByCode())
	before, err := d.runCount(ctx, "hires 1.9.4")
	if err != nil {
		return err
	}
	client := http.Client{Timeout: o.Timeout}
	for i, call := range result.Calls {
		if err := d.retryCall(ctx, &client, o, call.IdempotencyKey, d.nodes[(i+1)%len(d.nodes)].CallerAddress); err != nil {
			return err
		}
	}
	after, err := d.runCount(ctx, "hires 1.9.4")
	d.summary.Duplicates = after - before
	d.check(d.summary.Duplicates == 0, "%d retried confirmations ran again", d.summary.Duplicates)
	return err
}

func (d *demo) retryCall(ctx context.Context, client *http.Client, o loadgen.Options, key, node string) error {
	request, err := http.NewRequestWithContext(ctx, o.Method, "http://"+node+o.Path, strings.NewReader(string(o.Body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+o.CustomerKey)
	request.Header.Set("Azurespring-Service", o.Service)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// runCount returns how many calls ran on the targets of a version. key is the service
// name and the version, separated by a space.
func (d *demo) runCount(ctx context.Context, key string) (int, error) {
	total := 0
	for _, t := range d.targets[key] {
		status, err := t.Status(ctx)
		if err != nil {
			return 0, err
		}
		for _, count := range status.RunsByRequestID {
			total += count
		}
	}
	return total, nil
}

func copyLists(from, to string, edit func(string) string) error {
	for _, name := range []string{"customers.yaml", "entitlements.yaml"} {
		data, err := os.ReadFile(filepath.Join(from, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), []byte(edit(string(data))), 0o600); err != nil {
			return err
		}
	}
	return nil
}
