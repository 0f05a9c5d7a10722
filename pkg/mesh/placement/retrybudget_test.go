package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// budgetFleet simulates nodes that send requests to service a, each of whose runs makes
// calls to service b, while all attempts fail and each node retries whatever its budgets
// allow. A run of b makes calls to service c.
type budgetFleet struct {
	random *rand.Rand
	// charges is set if nodes charge calls of retried requests.
	charges bool
	// isPlaced is set if the calls of a service begin only at the nodes of its endpoints, a
	// third of all. Otherwise they begin at any node.
	isPlaced bool
	budgets  map[string][]*RetryBudget
	// requests and retries are the numbers of each second by service.
	requests, retries map[string][]float64
}

func (f *budgetFleet) send(now time.Time, second int, services []string, node int, isInduced bool) {
	service := services[0]
	budget := f.budgets[service][node]
	budget.RecordRequest(now)
	f.requests[service][second]++
	if isInduced {
		f.retries[service][second]++
		if f.charges {
			budget.RecordInduced(now, 1)
		}
	}
	runs := []bool{isInduced}
	if budget.TryWithdraw(now, len(f.budgets[service])) {
		f.retries[service][second]++
		runs = append(runs, true)
	}
	if len(services) == 1 {
		return
	}
	for _, isRetry := range runs {
		for range 2 {
			nodes := len(f.budgets[service])
			next := f.random.IntN(nodes)
			if f.isPlaced {
				next = next/3 + (len(services)-1)*nodes/3
			}
			f.send(now, second, services[1:], min(next, nodes-1), isRetry)
		}
	}
}

// All nodes together must stay within the retry budget of each service, with even and
// uneven load, at 24 to 600 nodes, also where the calls of retried requests count as
// retries of another service. What may be used must not shrink with the number of nodes.
func TestFleetStaysWithinRetryBudget(t *testing.T) {
	const (
		ratio, slack, window = 0.2, 430.0, 10
		seconds, perSecond   = 25, 300
	)
	for _, nodes := range []int{24, 83, 195, 600} {
		for _, pattern := range []string{"even", "uneven", "placed"} {
			for _, charges := range []bool{true, false} {
				f := &budgetFleet{
					random: rand.New(rand.NewPCG(uint64(nodes), 1)), charges: charges, isPlaced: pattern == "placed", budgets: make(map[string][]*RetryBudget),
					requests: make(map[string][]float64), retries: make(map[string][]float64),
				}
				chain := []string{"a", "b", "c"}
				for _, service := range chain {
					f.requests[service], f.retries[service] = make([]float64, seconds), make([]float64, seconds)
					for range nodes {
						f.budgets[service] = append(f.budgets[service], NewRetryBudget(ratio, window*time.Second, slack))
					}
				}
				for i := range seconds * perSecond {
					second := i / perSecond
					node := f.random.IntN(nodes)
					if pattern == "uneven" {
						node = f.random.IntN(max(nodes/8, 1))
					}
					now := epoch.Add(time.Duration(i) * time.Second / perSecond)
					f.send(now, second, chain, node, false)
					if pattern == "placed" && i%3 == 0 {
						f.send(now, second, chain[1:], node, false) // A request of a client for b.
					}
				}
				worst, used := 0.0, 0.0
				for _, service := range chain {
					for from := range seconds - window + 1 {
						requests, retries := 0.0, 0.0
						for second := from; second < from+window; second++ {
							requests += f.requests[service][second]
							retries += f.retries[service][second]
						}
						worst = max(worst, retries/(ratio*requests+slack))
						used = max(used, retries/(ratio*requests+slack))
					}
				}
				t.Logf("%d nodes, %s, charges %v: %.2f of the budget used", nodes, pattern, charges, used)
				if charges {
					assert.Assert(t, worst <= 1, "%d nodes, %s: %.2f of the budget", nodes, pattern, worst)
					assert.Assert(t, used >= 0.5, "%d nodes, %s: only %.2f of the budget can be used", nodes, pattern, used)
				}
			}
		}
	}
}

// The retries of a node must stay within its budget in any window, however it lies to the
// buckets in which they are counted.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	const ratio, window, perSecond = 0.2, 10 * time.Second, 100
	b := NewRetryBudget(ratio, window, 0)
	var requests, retries []time.Time
	for i := range 60 * perSecond {
		now := epoch.Add(time.Duration(i) * time.Second / perSecond)
		b.RecordRequest(now)
		requests = append(requests, now)
		// Retries are asked for in bursts, nine buckets and a little apart.
		if phase := i % 910; phase >= 85 && phase < 95 {
			for b.TryWithdraw(now, 1) {
				retries = append(retries, now)
			}
		}
	}
	count := func(times []time.Time, from time.Time) (n float64) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	for from := epoch.Add(window / 2); from.Before(epoch.Add(50 * time.Second)); from = from.Add(50 * time.Millisecond) {
		used, allowed := count(retries, from), ratioFraction*ratio*count(requests, from)
		assert.Assert(t, used <= allowed, "%v: %.0f retries, %.0f allowed", from.Sub(epoch), used, allowed)
	}
}
