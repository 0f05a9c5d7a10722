//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case "poison".
const (
	poisonSettleWindow = 3 * time.Second
	// crashDelay is the time between the start of the request and the end of the endpoint.
	crashDelay = 250 * time.Millisecond
	// downTime is how long a crashed endpoint is away.
	downTime       = 3 * time.Second
	poisonInterval = 3500 * time.Millisecond
	poisonCount    = 14
	// maxPoisonRetries is the number of retries that the rule allows.
	maxPoisonRetries = 3
)

// playPoison sends a request again and again that crashes each endpoint that runs it.
func playPoison(recordPath string, hasTrouble bool) ([]string, error) {
	l, err := newLab(recordPath, council)
	if err != nil {
		return nil, err
	}
	defer l.close()
	l.store.Put("config", "main", paymentConfiguration)
	entry := l.addMachine("sidecar-a-1", "zone-a", "portal")
	entry.addEndpoint("i-portal-1", 50*time.Millisecond)
	var crashes []time.Time
	for i := range 4 {
		m := l.addMachine(fmt.Sprintf("sidecar-b-%d", i+1), "zone-b", "billing")
		e := m.addEndpoint(fmt.Sprintf("i-billing-%d", i+1), 210*time.Millisecond)
		e.isQuiet = true
		e.handle = func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if hasTrouble && strings.HasPrefix(string(body), "poison") {
				l.log("endpoint %s begins to run %s", e.id, r.Header.Get("X-Request-Id"))
				time.Sleep(crashDelay)
				l.log("endpoint %s crashes", e.id)
				l.mu.Lock()
				crashes = append(crashes, time.Now())
				l.mu.Unlock()
				e.crash(downTime)
				panic(http.ErrAbortHandler)
			}
			time.Sleep(e.work)
			e.sign(w, r)
			_, _ = io.WriteString(w, "done")
		}
	}
	if err := l.startAll(); err != nil {
		return nil, err
	}
	if err := waitFor("all endpoints serve", 20*time.Second, func() bool {
		get(entry, "/read/probe", l.requestID("probe"))
		for _, m := range l.machines[1:] {
			if len(m.endpoint.received()) == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var ordinary sync.WaitGroup
	var lost atomic.Int64
	ordinary.Go(func() { sendPayments(entry, stop, &ordinary, &lost) })
	for range poisonCount {
		id := l.requestID("poison")
		started := time.Now()
		status := post(entry, "/pay/batch", id, "poison of this body")
		l.log("client gets %d for %s", status, id)
		time.Sleep(time.Until(started.Add(poisonInterval)))
	}
	close(stop)
	ordinary.Wait()
	l.mu.Lock()
	times := append([]time.Time(nil), crashes...)
	l.mu.Unlock()
	if len(times) < 3 {
		return nil, nil
	}
	retries := 0
	for _, m := range l.machines[1:] {
		for _, r := range m.endpoint.received() {
			if strings.HasPrefix(r.id, "poison") && r.arrived.After(times[2].Add(poisonSettleWindow)) {
				retries++
			}
		}
	}
	l.log("%d crashes, %d retries reached endpoints later than %v after the third crash, %d ordinary payments without an answer of an endpoint", len(times), retries, poisonSettleWindow, lost.Load())
	if retries <= maxPoisonRetries {
		return nil, nil
	}
	return []string{fmt.Sprintf("BUDGET: a request that had crashed three endpoints reached endpoints in %d retries later than %v after the third crash", retries, poisonSettleWindow)}, nil
}

// sendPayments sends ordinary payments, each with its own body, until stop is closed. lost
// counts those that end with a 502 or without an answer: they may have run.
func sendPayments(m *machine, stop chan struct{}, running *sync.WaitGroup, lost *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := m.lab.requestID("payment")
		running.Go(func() {
			if status := post(m, "/pay/"+id, id, "payment "+id); status != http.StatusOK && status != http.StatusServiceUnavailable {
				lost.Add(1)
				m.lab.log("client gets %d for the ordinary payment %s", status, id)
			}
		})
	}
}

// post sends an unsafe request on a new connection and returns its status, 0 for none.
func post(m *machine, path, id, body string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.at(outboundPort)+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Milliseconds", "2000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
