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
	budgets map[string][]*RetryBudget
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
			f.send(now, second, services[1:], f.random.IntN(len(f.budgets[service])), isRetry)
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
		for _, isUneven := range []bool{false, true} {
			for _, charges := range []bool{true, false} {
				f := &budgetFleet{
					random: rand.New(rand.NewPCG(uint64(nodes), 1)), charges: charges, budgets: make(map[string][]*RetryBudget),
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
					if isUneven {
						node = f.random.IntN(max(nodes/8, 1))
					}
					f.send(epoch.Add(time.Duration(i)*time.Second/perSecond), second, chain, node, false)
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
				t.Logf("%d nodes, uneven %v, charges %v: %.2f of the budget used", nodes, isUneven, charges, used)
				if charges {
					assert.Assert(t, worst <= 1, "%d nodes, uneven %v: %.2f of the budget", nodes, isUneven, worst)
					assert.Assert(t, used >= 0.5, "%d nodes, uneven %v: only %.2f of the budget can be used", nodes, isUneven, used)
				}
			}
		}
	}
}
