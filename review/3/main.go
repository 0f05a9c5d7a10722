// Command 3 is the script of case 3: a request that crashes each endpoint that begins to run
// it, and that its caller sends again.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurespring/azurespring/review/standin"
)

// The load. The caller of the crashing request sends it again every repeatPause, at any
// machine. The other clients send bookings, which may run once only.
const (
	duration          = 40 * time.Second
	repeatPause       = 2 * time.Second
	downtime          = 3 * time.Second
	clientsPerMachine = 4
	bookingDeadline   = time.Second
	crashingPath      = "/orders/state?order=17"
	// allowedRetries is the number of retries that the rule allows.
	allowedRetries = 3
)

func main() { os.Exit(run()) }

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	defer record.Close()
	f, err := standin.NewFleet(record, []string{"orders", "orders", "orders", "orders", "orders", "orders"})
	if err != nil {
		record.Both("cannot run: %v", err)
		return standin.ExitNotRun
	}
	defer f.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	for _, n := range f.Nodes {
		n.Endpoint = &standin.Endpoint{Work: 120 * time.Millisecond, Downtime: downtime, Crashes: func(r standin.Run) bool { return trouble && r.Path == crashingPath }}
	}
	f.Configure([]standin.Rule{
		{Name: "state", Prefix: "/orders/", Kind: "safe", Service: "orders", Timeout: 800 * time.Millisecond, MaxAttempts: 2},
		{Name: "hire", Prefix: "/hire/", Kind: "unsafe", Service: "orders", Timeout: time.Second, MaxAttempts: 2},
	})
	if err := f.Start(); err != nil {
		record.Both("cannot run: %v", err)
		return standin.ExitNotRun
	}
	b := &bookings{}
	end := time.Now().Add(duration)
	var clients sync.WaitGroup
	for _, n := range f.Nodes {
		for c := range clientsPerMachine {
			clients.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					b.send(record, n, fmt.Sprintf("booking-%s-%d-%d", n.Name, c, i))
					time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	for i := 0; time.Now().Before(end); i++ {
		n := f.Nodes[rand.IntN(len(f.Nodes))]
		id := fmt.Sprintf("state-%d", i)
		record.Printf("client sends %s at %s: GET %s", id, n.Name, crashingPath)
		answer := n.Send(http.MethodGet, crashingPath, id, "", 800*time.Millisecond)
		record.Printf("client %s is answered with %d %v", id, answer.Status, answer.Err)
		time.Sleep(repeatPause)
	}
	clients.Wait()
	return judge(record, f, b, trouble)
}

// bookings counts the answers to unsafe requests.
type bookings struct {
	mu                 sync.Mutex
	served, lost, told int
	lostIDs            []string
}

func (b *bookings) send(record *standin.Record, n *standin.Node, id string) {
	answer := n.Send(http.MethodPost, "/hire/confirm", id, `{"booking":"`+id+`"}`, bookingDeadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case answer.Err == nil && answer.Status == http.StatusOK:
		b.served++
		return
	case answer.Promises():
		b.told++
	default:
		b.lost++
		b.lostIDs = append(b.lostIDs, id)
	}
	record.Printf("client %s is answered with %d %v", id, answer.Status, answer.Err)
}

// judge checks BUDGET: a request that crashes the endpoints that run it reaches endpoints in
// no more than three retries later than the settle window after it has crashed the third.
func judge(record *standin.Record, f *standin.Fleet, b *bookings, trouble bool) int {
	var arrivals []standin.Run
	begun := make(map[string]bool)
	for _, n := range f.Nodes {
		for _, r := range n.Endpoint.Runs() {
			if r.Path == crashingPath {
				arrivals = append(arrivals, r)
			}
			begun[r.ID] = true
		}
	}
	slices.SortFunc(arrivals, func(a, b standin.Run) int { return int(a.At - b.At) })
	b.mu.Lock()
	defer b.mu.Unlock()
	runAndLost := 0
	for _, id := range b.lostIDs {
		if begun[id] {
			runAndLost++
		}
	}
	record.Both("bookings: %d served, %d told that they have not run, %d without a definite answer, of which %d had been begun by an endpoint", b.served, b.told, b.lost, runAndLost)
	if b.served == 0 {
		record.Both("cannot judge: no booking was served")
		return standin.ExitNotRun
	}
	if !trouble {
		record.Both("%d arrivals of the request; it crashes no endpoint; BUDGET held", len(arrivals))
		return standin.ExitHeld
	}
	if len(arrivals) < 3 {
		record.Both("the request has crashed %d endpoints; BUDGET held", len(arrivals))
		return standin.ExitHeld
	}
	third := arrivals[2].At
	retries := make(map[string]bool)
	var order []string
	crashes := 0
	for _, r := range arrivals {
		if r.At > third+standin.SettleWindow {
			crashes++
			if !retries[r.ID] {
				order = append(order, r.ID)
			}
			retries[r.ID] = true
		}
	}
	record.Both("the request crashed the third endpoint at %.1f s; later than %v after that, %d retries reached endpoints and crashed %d more", third.Seconds(), standin.SettleWindow, len(retries), crashes)
	record.Printf("retries that reached endpoints: %s", strings.Join(order, " "))
	if len(retries) > allowedRetries {
		record.Both("BUDGET is broken")
		return standin.ExitBroken
	}
	record.Both("BUDGET held")
	return standin.ExitHeld
}
