package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/internal/testcluster"
	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

// measurement holds the results for one fleet size. Convergence is the time from the start
// of the operator's command to the last node's activation.
type measurement struct {
	Nodes                         int            `json:"nodes"`
	ConvergenceP50Ms              int64          `json:"convergenceP50Ms"`
	ConvergenceP99Ms              int64          `json:"convergenceP99Ms"`
	ConvergenceMaxMs              int64          `json:"convergenceMaxMs"`
	IdleBytesPerNodeSecond        float64        `json:"idleBytesPerNodeSecond"`
	IdleCrossRegionBytesPerSecond float64        `json:"idleCrossRegionBytesPerSecond"`
	BytesPerChangeAndNode         float64        `json:"bytesPerChangeAndNode"`
	CrossRegionBytesPerChange     float64        `json:"crossRegionBytesPerChange"`
	PlatformCallsPerSecond        float64        `json:"platformCallsPerSecond"`
	PlatformCalls                 map[string]int `json:"platformCalls"`
	CPUPercent                    float64        `json:"cpuPercent"`
	RSSMegabytes                  float64        `json:"rssMegabytes"`
	// MassRestartNodes is the number of nodes that were killed and replaced together.
	MassRestartNodes         int   `json:"herdNodes"`
	MassRestartMs            int64 `json:"herdMs"`
	MassRestartPlatformCalls int   `json:"herdPlatformCalls"`
}

const (
	// joinSettleTime is long enough for connections that only served joins to close.
	joinSettleTime     = 30 * time.Second
	regionCount        = 3
	failureDomainCount = 6
	slotsPerTarget     = 18
	baseRatePerSecond  = 400 // calls per second; each change adds 1
	// clockTicksPerSecond is USER_HZ, the unit of CPU times in /proc; Linux fixes it at 100.
	clockTicksPerSecond = 100
)

type bench struct {
	settings
	dir     string
	cluster *testcluster.Cluster
	nodes   []*testcluster.Node
}

func measure(ctx context.Context, s settings, size int) (m measurement, err error) {
	dir, err := os.MkdirTemp("", "azurespring-bench-")
	if err != nil {
		return m, err
	}
	defer os.RemoveAll(dir)
	b := &bench{settings: s, dir: dir}
	if b.cluster, err = testcluster.New(ctx, s.binaries, dir); err != nil {
		return m, err
	}
	defer b.cluster.Close()
	m.Nodes = size
	if err := b.start(ctx, size); err != nil {
		return m, err
	}
	if err := b.measureIdle(ctx, &m); err != nil {
		return m, err
	}
	if err := b.measureChanges(ctx, &m); err != nil {
		return m, err
	}
	return m, b.measureMassRestart(ctx, &m)
}

func (b *bench) start(ctx context.Context, size int) error {
	services, err := b.services()
	if err != nil {
		return err
	}
	for i := range size {
		n, err := b.cluster.StartNode(ctx, testcluster.NodeOptions{
			Region: fmt.Sprintf("r%d", i%regionCount+1), FailureDomain: fmt.Sprintf("d%d", i%failureDomainCount+1), Seeds: b.seeds(),
		})
		if err != nil {
			return err
		}
		b.nodes = append(b.nodes, n)
		service := services[i%len(services)]
		target := testcluster.TargetOptions{Service: service.Name, Version: service.Version, Slots: slotsPerTarget}
		if _, err := b.cluster.StartTarget(ctx, n, target); err != nil {
			return err
		}
	}
	if _, err := b.apply(ctx, 0); err != nil {
		return err
	}
	return sleep(ctx, joinSettleTime)
}

// services returns the services of the lists.
func (b *bench) services() ([]dynamic.Service, error) {
	var files []dynamic.File
	for _, name := range listFiles {
		data, err := os.ReadFile(filepath.Join(b.listDir, name))
		if err != nil {
			return nil, err
		}
		files = append(files, dynamic.File{Name: name, Data: data})
	}
	config, err := dynamic.Parse(files...)
	return config.Services, err
}

// listFiles are the names of the lists in the directory of a deployment.
var listFiles = []string{"customers.yaml", "entitlements.yaml"}

// rateLimitPattern matches a plan's rate limit; each change replaces the first one.
var rateLimitPattern = regexp.MustCompile(`ratePerSecond: [0-9]+`)

// seeds returns the addresses of up to three of the first nodes.
func (b *bench) seeds() []string {
	seeds := []string{}
	for _, n := range b.nodes[:min(3, len(b.nodes))] {
		seeds = append(seeds, n.AdvertisedAddress)
	}
	return seeds
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// apply changes one plan's rate limit and returns the time until the change was active on
// all nodes.
func (b *bench) apply(ctx context.Context, number int) (time.Duration, error) {
	files := make([]string, 0, 2)
	for _, name := range listFiles {
		data, err := os.ReadFile(filepath.Join(b.listDir, name))
		if err != nil {
			return 0, err
		}
		if at := rateLimitPattern.FindIndex(data); at != nil {
			data = slices.Concat(data[:at[0]], fmt.Appendf(nil, "ratePerSecond: %d", baseRatePerSecond+number), data[at[1]:])
		}
		path := filepath.Join(b.dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return 0, err
		}
		files = append(files, path)
	}
	started := time.Now()
	via := b.nodes[number%len(b.nodes)]
	output, code, err := b.cluster.RunCtl(ctx, append([]string{"apply", "-nodes", via.AdminAddress}, files...)...)
	if err != nil || code != 0 {
		return 0, eris.Errorf("azurespringctl apply: exit code %d, error %v, output: %s", code, err, output)
	}
	last := started
	for _, n := range b.nodes {
		at, err := awaitActivation(ctx, n, uint64(number+1))
		if err != nil {
			return 0, err
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Sub(started), nil
}

// awaitActivation waits until n has activated a version or a later one and returns the
// time of the activation.
func awaitActivation(ctx context.Context, n *testcluster.Node, version uint64) (time.Time, error) {
	line, err := n.WaitForLine(ctx, fmt.Sprintf("version %d", version), func(l testcluster.LogLine) bool {
		return l.Event == "config-activated" && l.ConfigVersion >= version
	})
	return line.Time, err
}

// usage is the resource usage summed over all nodes.
type usage struct {
	controlBytes, crossRegionBytes uint64
	cpuSeconds                     float64
	rssBytes                       float64
	platformCalls                  map[string]int
	readAt                         time.Time
}

func (b *bench) usage(ctx context.Context) (u usage, err error) {
	u.readAt = time.Now()
	if u.platformCalls, err = b.cluster.StoreCallCounts(ctx); err != nil {
		return u, err
	}
	for _, n := range b.nodes {
		var status admin.Status
		if err := n.GetJSON(ctx, "/v1/status", &status); err != nil {
			return u, err
		}
		u.controlBytes += status.Traffic.ControlBytesSent
		u.crossRegionBytes += status.Traffic.CrossRegionBytesSent
		cpu, rss, err := processUsage(n.PID())
		if err != nil {
			return u, err
		}
		u.cpuSeconds += cpu
		u.rssBytes += rss
	}
	return u, nil
}

// processUsage returns the CPU seconds and the resident bytes of a process.
func processUsage(pid int) (cpuSeconds, rssBytes float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The command name may contain spaces; it ends with the last parenthesis.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	for _, i := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, 0, err
		}
		cpuSeconds += ticks / clockTicksPerSecond
	}
	pages, err := strconv.ParseFloat(fields[residentPages], 64)
	return cpuSeconds, pages * float64(os.Getpagesize()), err
}

func (b *bench) measureIdle(ctx context.Context, m *measurement) error {
	before, err := b.usage(ctx)
	if err != nil {
		return err
	}
	if err := sleep(ctx, b.idleDuration); err != nil {
		return err
	}
	after, err := b.usage(ctx)
	if err != nil {
		return err
	}
	seconds := after.readAt.Sub(before.readAt).Seconds()
	nodes := float64(len(b.nodes))
	m.IdleBytesPerNodeSecond = float64(after.controlBytes-before.controlBytes) / seconds / nodes
	m.IdleCrossRegionBytesPerSecond = float64(after.crossRegionBytes-before.crossRegionBytes) / seconds
	m.CPUPercent = 100 * (after.cpuSeconds - before.cpuSeconds) / seconds / nodes
	m.RSSMegabytes = after.rssBytes / nodes / 1e6
	m.PlatformCalls = make(map[string]int)
	total := 0
	for kind, count := range after.platformCalls {
		if diff := count - before.platformCalls[kind]; diff > 0 {
			m.PlatformCalls[kind] = diff
			total += diff
		}
	}
	m.PlatformCallsPerSecond = float64(total) / seconds
	return nil
}

func (b *bench) measureChanges(ctx context.Context, m *measurement) error {
	before, err := b.usage(ctx)
	if err != nil {
		return err
	}
	var times []time.Duration
	for number := 1; number <= b.changeCount; number++ {
		took, err := b.apply(ctx, number)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	after, err := b.usage(ctx)
	if err != nil {
		return err
	}
	slices.Sort(times)
	at := func(p float64) int64 { return times[int(p*float64(len(times)-1)+0.5)].Milliseconds() }
	m.ConvergenceP50Ms, m.ConvergenceP99Ms, m.ConvergenceMaxMs = at(0.5), at(0.99), at(1)
	seconds := after.readAt.Sub(before.readAt).Seconds()
	nodes, changes := float64(len(b.nodes)), float64(b.changeCount)
	idle := m.IdleBytesPerNodeSecond * nodes * seconds
	m.BytesPerChangeAndNode = max(0, float64(after.controlBytes-before.controlBytes)-idle) / changes / nodes
	idleCross := m.IdleCrossRegionBytesPerSecond * seconds
	m.CrossRegionBytesPerChange = max(0, float64(after.crossRegionBytes-before.crossRegionBytes)-idleCross) / changes
	return nil
}
