// Command 2 is the script of case 2: machines end for good and their addresses go to new ones.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/review/standin"
)

// The deployment, the load and the times of the script.
const (
	machinesPerZone   = 4
	clientsPerMachine = 3
	deadline          = time.Second
	// addressReuse is the time after which the address of a machine that has ended is used
	// again.
	addressReuse = 2 * time.Second
	// calm is the time between the replacement and the change of the configuration, observed
	// the time for which requests are judged after that. Calls of the new route begin once
	// configuration_apply has passed.
	calm     = 45 * time.Second
	observed = 8 * time.Second
	// margin is added to configuration_apply for the way of a request on this machine.
	margin = 500 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	defer record.Close()
	services := make([]string, 2*machinesPerZone)
	for i := range services {
		services[i] = []string{"orders", "stock"}[i/2%2]
	}
	f, err := standin.NewFleet(record, services)
	if err != nil {
		record.Both("cannot run: %v", err)
		return standin.ExitNotRun
	}
	defer f.Close()
	for _, n := range f.Nodes {
		n.Endpoint = &standin.Endpoint{Work: 40 * time.Millisecond}
	}
	rules := []standin.Rule{
		{Name: "hire", Prefix: "/hire/", Kind: "unsafe", Service: "orders", Timeout: time.Second, MaxAttempts: 2},
		{Name: "count", Prefix: "/count/", Kind: "unsafe", Service: "stock", Timeout: time.Second, MaxAttempts: 2},
	}
	f.Configure(rules)
	if err := f.Start(); err != nil {
		record.Both("cannot run: %v", err)
		return standin.ExitNotRun
	}
	t := &traffic{record: record, stop: make(chan struct{})}
	for _, n := range f.Nodes {
		t.start(n)
	}
	if os.Getenv("TROUBLE") != "0" {
		if err := replaceReaders(record, f, t); err != nil {
			record.Both("cannot run: %v", err)
			return standin.ExitNotRun
		}
	}
	time.Sleep(calm)
	rules = append(rules, standin.Rule{Name: "added", Prefix: "/added/", Kind: "safe", Service: "orders", Timeout: time.Second, MaxAttempts: 2})
	f.Configure(rules)
	time.Sleep(standin.ConfigApply + margin)
	code := judge(record, f)
	close(t.stop)
	t.clients.Wait()
	record.Both("%d other requests served, %d not", t.served, t.failed)
	return code
}

// replaceReaders ends, in each zone, the machine that reads the store for the others, with
// its endpoint, and adds a machine with another name and service at its address.
func replaceReaders(record *standin.Record, f *standin.Fleet, t *traffic) error {
	var ended []*standin.Node
	for _, zone := range []string{"z1", "z2"} {
		for _, n := range f.Nodes {
			if n.Zone == zone && isReader(n) {
				ended = append(ended, n)
				break
			}
		}
	}
	if len(ended) < 2 {
		return fmt.Errorf("%d of 2 zones have a machine that reads the store", len(ended))
	}
	for _, n := range ended {
		record.Printf("%s ends for good, with its endpoint", n.Name)
		n.Endpoint.Stop()
		n.Signal(syscall.SIGKILL)
	}
	time.Sleep(addressReuse + 500*time.Millisecond)
	var added []*standin.Node
	for _, n := range ended {
		service := "orders"
		if n.Service == "orders" {
			service = "stock"
		}
		replacement := f.Replace(n, service)
		replacement.Endpoint = &standin.Endpoint{Work: 40 * time.Millisecond}
		record.Printf("%s (%s) is added at the address of %s", replacement.Name, service, n.Name)
		added = append(added, replacement)
	}
	if err := f.StartNodes(added); err != nil {
		return err
	}
	for _, n := range added {
		t.start(n)
	}
	return nil
}

// isReader reports whether the source that the node has selected last is the store.
func isReader(n *standin.Node) bool {
	log := n.Log()
	last := log[max(strings.LastIndex(log, `"event":"source_selected"`), 0):]
	line, _, _ := strings.Cut(last, "\n")
	return strings.Contains(line, `"source":"store"`)
}

// traffic holds the clients and counts what they get.
type traffic struct {
	record  *standin.Record
	stop    chan struct{}
	clients sync.WaitGroup

	mu             sync.Mutex
	served, failed int
}

func (t *traffic) start(n *standin.Node) {
	for c := range clientsPerMachine {
		t.clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-t.stop:
					return
				case <-n.Exited():
					return
				default:
				}
				path := []string{"/hire/confirm", "/count/panel"}[rand.IntN(2)]
				answer := n.Send(http.MethodPost, path, fmt.Sprintf("%s-%d-%d", n.Name, c, i), "a booking", deadline)
				t.mu.Lock()
				if answer.Err == nil && answer.Status == http.StatusOK {
					t.served++
				} else {
					t.failed++
				}
				t.mu.Unlock()
				time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
}

// judge checks CONFIG: requests that are sent later than configuration_apply after the
// acknowledgement of a version aren't refused with 404 although their route is there. All
// machines that run have been in touch for the whole settle window.
func judge(record *standin.Record, f *standin.Fleet) int {
	stale, fresh := make(map[string]int), make(map[string]int)
	end := time.Now().Add(observed)
	for i := 0; time.Now().Before(end); i++ {
		for _, n := range f.Nodes {
			if n.IsGone() {
				continue
			}
			answer := n.Send(http.MethodGet, "/added/state", fmt.Sprintf("added-%s-%d", n.Name, i), "", deadline)
			record.Printf("client added-%s-%d is answered with %d %v", n.Name, i, answer.Status, answer.Err)
			switch {
			case answer.Err == nil && answer.Status == http.StatusNotFound:
				stale[n.Name]++
			case answer.Err == nil && answer.Status == http.StatusOK:
				fresh[n.Name]++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	staleCount, freshCount := 0, 0
	for _, n := range f.Nodes {
		if !n.IsGone() {
			record.Both("%s (%s): %d requests for the added route served, %d refused with 404", n.Name, n.Zone, fresh[n.Name], stale[n.Name])
			staleCount += stale[n.Name]
			freshCount += fresh[n.Name]
		}
	}
	switch {
	case staleCount > 0:
		record.Both("CONFIG is broken: %d requests later than configuration_apply were refused with 404", staleCount)
		return standin.ExitBroken
	case freshCount == 0:
		record.Both("cannot judge: nothing was served")
		return standin.ExitNotRun
	}
	record.Both("CONFIG held")
	return standin.ExitHeld
}
