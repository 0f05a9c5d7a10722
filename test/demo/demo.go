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
	// customer keys of the example lists are the customer's name and this suffix.
	customerKey = "steny-bratislava-key"
	settle      = 100 * time.Millisecond
)

// service is one service of the example lists with the call that the demo sends.
type service struct {
	name, version, path string
}

var services = []service{
	{"stock", "3.2.0", "/v1/stock/panel-7"},
	{"hires", "1.9.4", "/v1/hires/17"},
	{"drawings", "2.0.1", "/v1/drawings/42"},
	{"prices", "7.1.0", "/v1/prices/panel-7"},
}

// The moves of the demo.
const (
	goodService, goodVersion = "stock", "3.3.0"
	badService, badVersion   = "prices", "7.2.0"
)

// summary is the last line of the demo.
type summary struct {
	OK             bool     `json:"ok"`
	Nodes          int      `json:"nodes"`
	ConvergenceMs  int64    `json:"convergenceMs"`
	Calls          int      `json:"calls"`
	Answered       int      `json:"answered"`
	BadCalls       int      `json:"callsOfBadVersion"`
	GoodMove       string   `json:"goodMove"`
	BadMove        string   `json:"badMove"`
	Confirmations  int      `json:"confirmations"`
	Duplicates     int      `json:"duplicates"`
	CutByStop      int      `json:"cutByPlannedStop"`
	AddedP50Micros int64    `json:"addedP50us"`
	AddedP99Micros int64    `json:"addedP99us"`
	Failures       []string `json:"failures,omitempty"`
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
		{"measuring the added time", d.measureAdded},
		{"confirming hires with resends", d.confirm},
		{"moving a good and a bad version", d.move},
		{"stopping a node under load", d.plannedStop},
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

// start starts the platform, one node per endpoint over 3 regions with 2
// failure domains each, and the targets beside them.
func (d *demo) start(ctx context.Context) (err error) {
	if d.cluster, err = testcluster.New(ctx, d.options.binaries, d.dir); err != nil {
		return err
	}
	d.targets = make(map[string][]*testcluster.Target)
	for i := range d.options.endpoints {
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
// soon as they have joined; their records spread a moment later.
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
		case <-time.After(settle):
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

// applyLists applies the example lists and waits until they are in force on all nodes.
func (d *demo) applyLists(ctx context.Context) error {
	started := time.Now()
	if err := d.apply(ctx, d.options.lists); err != nil {
		return err
	}
	d.summary.ConvergenceMs = time.Since(started).Milliseconds()
	for _, n := range d.nodes {
		for _, s := range services {
			if err := d.awaitAnswer(ctx, n, s); err != nil {
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

func (d *demo) load(s service, nodes []*testcluster.Node) loadgen.Options {
	o := loadgen.Options{
		Service: s.name, Method: http.MethodGet, Path: s.path, CustomerKey: customerKey, Concurrency: 4, Timeout: 5 * time.Second,
	}
	for _, n := range nodes {
		o.Nodes = append(o.Nodes, n.CallerAddress)
	}
	return o
}

func (d *demo) awaitAnswer(ctx context.Context, n *testcluster.Node, s service) error {
	o := d.load(s, []*testcluster.Node{n})
	o.CallCount, o.Concurrency = 1, 1
	for {
		result := loadgen.Run(ctx, o)
		if result.CompletedCount() == 1 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("service %s is not reached through %s: %+v", s.name, n.Instance, result.Calls)
		case <-time.After(settle):
		}
	}
}

// measureAdded compares calls through a node beside another target with direct
// calls of the same targets.
func (d *demo) measureAdded(ctx context.Context) error {
	const calls, rate = 3000, 500
	through := d.load(services[0], d.nodes[1:2])
	through.CallCount, through.CallsPerSecond = calls, rate
	direct := through
	direct.Nodes = nil
	for _, t := range d.targets[services[0].name+" "+services[0].version] {
		direct.Nodes = append(direct.Nodes, t.Address)
	}
	direct.Header = http.Header{"X-Direct": {"1"}}
	for _, o := range []loadgen.Options{direct, through} {
		warm := o
		warm.CallCount, warm.CallsPerSecond = 100, 0
		loadgen.Run(ctx, warm)
	}
	plain, proxied := loadgen.Run(ctx, direct), loadgen.Run(ctx, through)
	d.check(proxied.CompletedCount() == calls, "%d of %d calls through a node were answered: %v", proxied.CompletedCount(), calls, proxied.CountByCode())
	d.summary.AddedP50Micros = (proxied.LatencyPercentile(50) - plain.LatencyPercentile(50)).Microseconds()
	d.summary.AddedP99Micros = (proxied.LatencyPercentile(99) - plain.LatencyPercentile(99)).Microseconds()
	return nil
}

// confirm sends non-idempotent calls with idempotency keys again and again to
// different nodes and counts how often each ran.
func (d *demo) confirm(ctx context.Context) error {
	o := d.load(services[1], d.nodes)
	o.Method, o.Path, o.IdempotencyKeys, o.CallCount, o.Body = http.MethodPost, "/v1/hires", true, 200, []byte(`{"panel":7}`)
	o.Header = http.Header{"Content-Type": {"application/json"}}
	result := loadgen.Run(ctx, o)
	d.summary.Confirmations = result.CompletedCount()
	d.check(result.CompletedCount() == len(result.Calls), "%d of %d confirmations were answered: %v",
		result.CompletedCount(), len(result.Calls), result.CountByCode())
	before, err := d.runs(ctx, "hires 1.9.4")
	if err != nil {
		return err
	}
	resend := http.Client{Timeout: o.Timeout}
	for i, call := range result.Calls {
		if err := d.resend(ctx, &resend, o, call.IdempotencyKey, d.nodes[(i+1)%len(d.nodes)].CallerAddress); err != nil {
			return err
		}
	}
	after, err := d.runs(ctx, "hires 1.9.4")
	d.summary.Duplicates = after - before
	d.check(d.summary.Duplicates == 0, "%d resent confirmations ran again", d.summary.Duplicates)
	return err
}

func (d *demo) resend(ctx context.Context, client *http.Client, o loadgen.Options, key, node string) error {
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

// runs counts the calls that ran on the targets of a version.
func (d *demo) runs(ctx context.Context, key string) (int, error) {
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
