package proxy

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/membership"
)

// announcementLifetime is the time after which an announcement expires. Targets
// renew it every second, so three missed renewals deregister a target.
const announcementLifetime = 3 * time.Second

// maxAnnouncementBytes is the maximum size of an announcement's body.
const maxAnnouncementBytes = 16 << 10

// maxSlots is the maximum number of slots that a target may announce.
const maxSlots = 10_000

// Announcer publishes the targets of this node to the other nodes. Both methods
// are cheap if nothing changed.
type Announcer interface {
	AnnounceTarget(target membership.Target, address string)
	RemoveTarget(id string)
}

// announcement is the body of PUT /v1/targets/{id}.
type announcement struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	WarmupMS int64  `json:"warmupMs"`
	State    string `json:"state"`
}

var targetStates = map[string]membership.TargetState{
	"starting": membership.Starting, "ready": membership.Ready, "draining": membership.Draining,
}

// toTarget validates the announcement. It leaves ReadySince unset.
func (a *announcement) toTarget(id string) (membership.Target, error) {
	state, ok := targetStates[a.State]
	switch {
	case !validID(id):
		return membership.Target{}, eris.New("target id is not valid")
	case a.Service == "" || a.Version == "":
		return membership.Target{}, eris.New("service and version are required")
	case !ok:
		return membership.Target{}, eris.New("state must be starting, ready or draining")
	case a.Slots < 1 || a.Slots > maxSlots:
		return membership.Target{}, eris.Errorf("slots must be from 1 to %d", maxSlots)
	case a.WarmupMS < 0 || a.WarmupMS > time.Hour.Milliseconds():
		return membership.Target{}, eris.New("warmupMs must be from 0 to one hour")
	}
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return membership.Target{}, eris.New("address must be an IP and port")
	}
	return membership.Target{
		ID: id, Service: a.Service, Version: a.Version, Slots: a.Slots, State: state,
		Warmup: time.Duration(a.WarmupMS) * time.Millisecond,
	}, nil
}

// AnnouncementHandler serves PUT and DELETE /v1/targets/{id} on the node's local
// address and notifies announcer of changes.
func (h *TargetHandler) AnnouncementHandler(announcer Announcer) http.Handler {
	h.announcer.Store(&announcer)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{id}", h.handleAnnounce)
	mux.HandleFunc("DELETE /v1/targets/{id}", func(w http.ResponseWriter, r *http.Request) {
		h.RemoveTarget(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (h *TargetHandler) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err := decoder.Decode(&a); err != nil {
		http.Error(w, "announcement is not valid JSON", http.StatusBadRequest)
		return
	}
	target, err := a.toTarget(r.PathValue("id"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	h.RegisterTarget(target, a.Address)
	w.WriteHeader(http.StatusNoContent)
}

// RegisterTarget applies a valid announcement and restarts its lifetime.
func (h *TargetHandler) RegisterTarget(target membership.Target, address string) {
	h.targetUpdateMu.Lock()
	defer h.targetUpdateMu.Unlock()
	var current *localTarget
	if value, ok := h.targetsByID.Load(target.ID); ok {
		current = value.(*localTarget)
	}
	if current != nil && (current.address != address || current.isNewProcess(target.State)) {
		// The target was replaced by a new process with its own slots.
		h.shutDown(current)
		current = nil
	}
	if target.State == membership.Ready {
		target.ReadySince = h.options.Now()
		if current != nil && current.announced.Load().State == membership.Ready {
			target.ReadySince = current.announced.Load().ReadySince
		}
	}
	if current == nil {
		current = newLocalTarget(target, address, h.options.Now)
		current.expiryTimer = time.AfterFunc(announcementLifetime, func() { h.deregister(target.ID, current) })
		h.targetsByID.Store(target.ID, current)
	} else {
		current.update(target)
		current.expiryTimer.Reset(announcementLifetime)
	}
	if target.State == membership.Draining {
		current.drain()
	}
	if announcer := h.announcer.Load(); announcer != nil {
		(*announcer).AnnounceTarget(target, address)
	}
}

// RemoveTarget deregisters a target. Its calls in flight continue.
func (h *TargetHandler) RemoveTarget(id string) {
	if value, ok := h.targetsByID.Load(id); ok {
		h.deregister(id, value.(*localTarget))
	}
}

// deregister removes a target unless another process has replaced it.
func (h *TargetHandler) deregister(id string, target *localTarget) {
	h.targetUpdateMu.Lock()
	defer h.targetUpdateMu.Unlock()
	if !h.targetsByID.CompareAndDelete(id, target) {
		return
	}
	h.shutDown(target)
	if announcer := h.announcer.Load(); announcer != nil {
		(*announcer).RemoveTarget(id)
	}
}

// isNewProcess reports whether the announced state must come from another process
// than the registered one: a draining target never becomes ready again.
func (t *localTarget) isNewProcess(state membership.TargetState) bool {
	return t.announced.Load().State == membership.Draining && state != membership.Draining
}

func (h *TargetHandler) shutDown(target *localTarget) {
	target.expiryTimer.Stop()
	target.drain()
	target.closeIdleConnections()
}

// Close deregisters all targets, closes their idle connections and stops their timers.
func (h *TargetHandler) Close() {
	h.targetsByID.Range(func(_, value any) bool {
		h.deregister(value.(*localTarget).announced.Load().ID, value.(*localTarget))
		return true
	})
}
