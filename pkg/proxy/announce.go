package proxy

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/membership"
)

// Announcements are renewed every second; three missed renewals make a target
// leave.
const announcementLifetime = 3 * time.Second

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// maxSlots bounds what a target may announce.
const maxSlots = 10_000

// Announcer spreads what targets announce to this node. Both methods are cheap
// if nothing changed.
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

// target checks an announcement. ReadySince is left open.
func (a *announcement) target(id string) (membership.Target, error) {
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
// address and passes changes to announcer.
func (s *TargetHandler) AnnouncementHandler(announcer Announcer) http.Handler {
	s.announcer.Store(&announcer)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{id}", s.handleAnnounce)
	mux.HandleFunc("DELETE /v1/targets/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.RemoveTarget(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (s *TargetHandler) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err := decoder.Decode(&a); err != nil {
		http.Error(w, "announcement is not valid JSON", http.StatusBadRequest)
		return
	}
	target, err := a.target(r.PathValue("id"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	s.RegisterTarget(target, a.Address)
	w.WriteHeader(http.StatusNoContent)
}

// RegisterTarget takes in a valid announcement and renews its life.
func (s *TargetHandler) RegisterTarget(target membership.Target, address string) {
	s.announcing.Lock()
	defer s.announcing.Unlock()
	var current *localTarget
	if value, ok := s.targets.Load(target.ID); ok {
		current = value.(*localTarget)
	}
	if current != nil && (current.address != address || current.restarted(target.State)) {
		// This is a new process with its own slots.
		s.forget(current)
		current = nil
	}
	if target.State == membership.Ready {
		target.ReadySince = s.deps.Now()
		if current != nil && current.record.Load().State == membership.Ready {
			target.ReadySince = current.record.Load().ReadySince
		}
	}
	if current == nil {
		current = newLocalTarget(target, address, s.deps.Now)
		current.expiry = time.AfterFunc(announcementLifetime, func() { s.lost(target.ID, current) })
		s.targets.Store(target.ID, current)
	} else {
		current.update(target)
		current.expiry.Reset(announcementLifetime)
	}
	if target.State == membership.Draining {
		current.drain()
	}
	if announcer := s.announcer.Load(); announcer != nil {
		(*announcer).AnnounceTarget(target, address)
	}
}

// RemoveTarget makes a target leave. Its calls in flight go on.
func (s *TargetHandler) RemoveTarget(id string) {
	if value, ok := s.targets.Load(id); ok {
		s.lost(id, value.(*localTarget))
	}
}

// lost removes a target unless it was replaced in the meantime.
func (s *TargetHandler) lost(id string, target *localTarget) {
	s.announcing.Lock()
	defer s.announcing.Unlock()
	if !s.targets.CompareAndDelete(id, target) {
		return
	}
	s.forget(target)
	if announcer := s.announcer.Load(); announcer != nil {
		(*announcer).RemoveTarget(id)
	}
}

// restarted reports whether the process that announces state cannot be the one
// that was known before, because a draining target never becomes ready again.
func (t *localTarget) restarted(state membership.TargetState) bool {
	return t.record.Load().State == membership.Draining && state != membership.Draining
}

func (s *TargetHandler) forget(target *localTarget) {
	target.expiry.Stop()
	target.drain()
	target.close()
}

// Close forgets all targets and ends their idle connections and timers.
func (s *TargetHandler) Close() {
	s.targets.Range(func(_, value any) bool {
		s.lost(value.(*localTarget).record.Load().ID, value.(*localTarget))
		return true
	})
}
