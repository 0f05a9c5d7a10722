//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespring/azurespring/platform/platformtest"
)

// Times of the case "forgotten", counted from the acknowledgement.
const (
	storeGoneAt  = 300 * time.Millisecond
	nodeKillAt   = 500 * time.Millisecond
	nodeStartAt  = time.Second
	storeBackAt  = 1500 * time.Millisecond
	leaverEndAt  = 8 * time.Second
	settleWindow = 3 * time.Second
	entryClients = 4
)

// hire is the deployment priecka-mesh.
var hire = deployment{
	heartbeat: 1500 * time.Millisecond, contracts: council.contracts, bounds: strings.Replace(council.bounds, "retry_budget_slack: 56", "retry_budget_slack: 58", 1),
}

// playForgotten restores the store from a copy that does not hold the end of an endpoint,
// while the node that acknowledged the end is killed and started again.
func playForgotten(recordPath string, hasTrouble bool) ([]string, error) {
	l, err := newLab(recordPath, hire)
	if err != nil {
		return nil, err
	}
	defer l.close()
	l.store.Put("config", "main", paymentConfiguration)
	entry := l.addMachine("sidecar-a-1", "zone-a", "portal")
	entry.addEndpoint("i-portal-1", 50*time.Millisecond)
	leaving := l.addMachine("sidecar-a-2", "zone-a", "billing")
	leaving.addEndpoint("i-billing-1", 210*time.Millisecond)
	for i := range 8 {
		l.addMachine(fmt.Sprintf("sidecar-a-%d", i+3), "zone-a", "billing").addEndpoint(fmt.Sprintf("i-billing-%d", i+2), 210*time.Millisecond)
	}
	if err := l.startAll(); err != nil {
		return nil, err
	}
	if err := waitFor("the endpoint serves", 15*time.Second, func() bool {
		get(entry, "/read/probe", l.requestID("probe"))
		return len(leaving.endpoint.received()) > 0
	}); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // Longer than settle_window.
	backup := l.store.Copy()
	l.log("a copy of the store is made")
	time.Sleep(time.Second)
	if err := leaving.endpoint.deregister(); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetUp, err)
	}
	acknowledged := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(acknowledged.Add(d))) }
	stop := make(chan struct{})
	var running sync.WaitGroup
	var lost atomic.Int64
	for range entryClients {
		running.Go(func() { sendPayments(entry, stop, &running, &lost) })
	}
	until(storeGoneAt)
	if hasTrouble {
		l.log("the store is away")
		l.store.SetFault(func(*http.Request) platformtest.Fault {
			return platformtest.Fault{Status: http.StatusServiceUnavailable}
		})
	}
	until(nodeKillAt)
	l.log("node %s is killed", leaving.name)
	leaving.kill()
	until(nodeStartAt)
	if err := leaving.start(); err != nil {
		return nil, err
	}
	inTouchFrom := time.Now().Add(settleWindow)
	until(storeBackAt)
	if hasTrouble {
		l.store.Restore(backup)
		l.store.SetFault(nil)
		l.log("the store is back from the copy, which is %.1f s old", time.Since(acknowledged).Seconds()+1)
		inTouchFrom = time.Now().Add(settleWindow)
	}
	running.Go(func() {
		if waitFor("node "+leaving.name+" is ready", 5*time.Second, leaving.isReady) == nil {
			l.log("node %s is ready", leaving.name)
			sendPayments(leaving, stop, &running, &lost)
		}
	})
	until(leaverEndAt)
	l.log("endpoint %s exits", leaving.endpoint.id)
	leaving.endpoint.exit()
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	late, excused, latest := 0, 0, time.Duration(0)
	for _, r := range leaving.endpoint.received() {
		switch after := r.arrived.Sub(acknowledged); {
		case after <= drainBound || r.refused:
		case r.arrived.Before(inTouchFrom):
			excused++
		default:
			late, latest = late+1, max(latest, after)
		}
	}
	l.log("%d payments reached endpoint %s later than %v after the acknowledgement while all machines were in touch, the last after %.3f s (%d more before that); %d payments may have been lost", late, leaving.endpoint.id, drainBound, latest.Seconds(), excused, lost.Load())
	if late == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached endpoint %s up to %.3f s after node %s had acknowledged that it is gone", late, leaving.endpoint.id, latest.Seconds(), leaving.name)}, nil
}
