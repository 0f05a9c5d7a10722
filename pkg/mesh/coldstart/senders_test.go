package coldstart_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/coldstart"
	"github.com/azurespring/azurespring/pkg/mesh/placement"
)

// simulated is an endpoint with its gate in virtual time.
type simulated struct {
	limiter *coldstart.Limiter
	ends    []time.Time
}

const (
	slots       = 12
	serviceTime = 50 * time.Millisecond
)

// running returns the number of running requests.
func (s *simulated) running(now time.Time) int {
	count := 0
	for _, end := range s.ends {
		if now.Before(end) {
			count++
		}
	}
	return count
}

// load returns what the gate reports.
func (s *simulated) load(now time.Time, limits coldstart.Limits) placement.Load {
	running := s.running(now)
	return placement.Load{Running: running, Slots: s.limiter.Slots(now, limits, slots, running, serviceTime), MeanServiceTime: serviceTime, MeanRouteLatency: serviceTime}
}

// Senders must send a cold endpoint less instead of being refused again and again: one of
// four endpoints in a zone is cold for 10 s, and 60 senders with 5 requests a second each
// share them (300 requests a second, a third of what the others can do).
func TestSendersAreSeldomRefused(t *testing.T) {
	limits := coldstart.Limits{PerSecond: 17, Overage: 1.5, Slack: 8, HeartbeatInterval: 1500 * time.Millisecond}
	start := time.Unix(1_700_000_000, 0)
	endpoints := make(map[string]*simulated)
	var instances []mesh.Instance
	for i := range 4 {
		id := fmt.Sprint("e", i)
		endpoints[id] = &simulated{limiter: coldstart.New()}
		instances = append(instances, mesh.Instance{
			Name: id, Address: id, FailureDomain: "d", Region: "r", Endpoints: []mesh.Endpoint{{ID: id, Service: "s", Version: "v", Slots: slots}},
		})
	}
	var senders [][]*placement.Endpoint
	for i := range 60 {
		table := placement.NewBuilder(placement.Locality{Instance: fmt.Sprint("x", i), FailureDomain: "d", Region: "r"}).Build(start, instances)
		senders = append(senders, table.EndpointsByVersion("s")["v"])
	}
	type ending struct {
		at       time.Time
		endpoint *placement.Endpoint
	}
	var endings []ending
	served, refused, rejectedRequests := 0, 0, 0
	const total = 3000
	for k := range total {
		now := start.Add(time.Duration(k) * 10 * time.Second / total)
		if k%(total*3/20) == 0 { // Each 1.5 s.
			for id, e := range endpoints {
				cold := time.Duration(0)
				if id == "e0" {
					cold = start.Add(10 * time.Second).Sub(now)
				}
				e.limiter.Announced(now, limits, cold)
			}
		}
		remaining := endings[:0]
		for _, e := range endings {
			if now.Before(e.at) {
				remaining = append(remaining, e)
				continue
			}
			e.endpoint.RecordLoad(e.at, "", endpoints[e.endpoint.ID].load(e.at, limits))
			e.endpoint.RecordOutcome(e.at, true)
			e.endpoint.EndAttempt()
		}
		endings = remaining
		request := placement.Request{Kind: mesh.Unsafe, Timeout: time.Second, SoftTimeout: 500 * time.Millisecond}
		for {
			choice, ok := placement.Choose(now, senders[k%len(senders)], request)
			assert.Assert(t, ok)
			e, chosen := choice.Endpoint, endpoints[choice.Endpoint.ID]
			if wait := chosen.limiter.Wait(now, limits, 1); wait > 0 {
				refused++
				e.RecordLoad(now, "", chosen.load(now, limits))
				e.RecordRejection(now, wait)
				request.Rejections = append(request.Rejections, placement.Rejection{Endpoint: e, QueueWait: wait})
				if len(request.Rejections) > 6 {
					rejectedRequests++
					break
				}
				continue
			}
			ok, _ = chosen.limiter.Take(now, limits)
			assert.Assert(t, ok)
			e.BeginAttempt()
			end := now.Add(serviceTime)
			chosen.ends = append(chosen.ends, end)
			endings = append(endings, ending{end, e})
			if e.ID == "e0" {
				served++
			}
			break
		}
	}
	t.Logf("cold endpoint: %d served, %d refused; %d requests rejected for good", served, refused, rejectedRequests)
	assert.Equal(t, rejectedRequests, 0)
	assert.Assert(t, served >= 100, "the cold endpoint is used: %d", served)
	// 764 were refused when senders saw neither the slots nor the waits, and 705 with the
	// slots only.
	assert.Assert(t, refused < total/5, "%d of %d requests met a refusal", refused, total)
}
