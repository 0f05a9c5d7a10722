package testtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announceInterval is the interval between announcements; see docs/design.md, section 6.
const announceInterval = time.Second

type announcement struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	WarmupMS int64  `json:"warmupMs"`
	State    string `json:"state"`
}

// announce sends the announcement every announceInterval and immediately after a change
// of behavior.
func (t *Target) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.sendAnnouncement(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.behaviorChanged:
		case <-ticker.C:
		}
	}
}

func (t *Target) sendAnnouncement(ctx context.Context) {
	behavior := t.Behavior()
	slots := t.options.Slots
	if behavior.AnnouncedSlots > 0 {
		slots = behavior.AnnouncedSlots
	}
	body, err := json.Marshal(announcement{
		Service: t.options.Service, Version: t.options.Version, Address: t.Address(),
		Slots: slots, WarmupMS: t.options.Warmup.Milliseconds(), State: behavior.State,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	url := t.options.AnnounceURL + "/v1/targets/" + t.options.ID
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := t.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// statusReport is the body of /load and /control; /health reports its Health.
type statusReport struct {
	Health   string         `json:"health"`
	InFlight int            `json:"inFlight"`
	Calls    int64          `json:"calls"`
	Complete int64          `json:"completed"`
	Canceled int64          `json:"canceled"`
	Runs     map[string]int `json:"runs,omitempty"`
	Behavior *Behavior      `json:"behavior,omitempty"`
}

// newReport returns a report for the given behavior. The caller holds mu or passes a
// copy of the behavior.
func (t *Target) newReport(behavior Behavior) statusReport {
	r := statusReport{Health: "ok", InFlight: int(t.inFlight.Load()), Calls: t.calls.Load()}
	if behavior.ReportedHealth != "" {
		r.Health = behavior.ReportedHealth
	}
	if behavior.ReportedLoad != 0 {
		r.InFlight = behavior.ReportedLoad
	}
	return r
}

func (t *Target) currentReport() statusReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behavior.FreezeReports {
		return t.frozenReport
	}
	return t.newReport(t.behavior)
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	r := t.currentReport()
	if r.Health != "ok" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(r.Health + "\n"))
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.currentReport()) }

// control returns the behavior and the counters (GET), replaces the behavior (PUT) or
// crashes the target (DELETE).
func (t *Target) control(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		behavior := t.Behavior()
		writeJSON(w, statusReport{
			Health: "ok", InFlight: t.InFlight(), Calls: t.calls.Load(), Complete: t.completed.Load(),
			Canceled: t.canceled.Load(), Runs: t.RunCounts(), Behavior: &behavior,
		})
	case http.MethodPut:
		var behavior Behavior
		if err := json.NewDecoder(r.Body).Decode(&behavior); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetBehavior(behavior)
	case http.MethodDelete:
		t.Crash()
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
