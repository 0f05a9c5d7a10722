package teststore

import (
	"encoding/json"
	"net/http"
)

// Command is the body of POST /control. Empty fields change nothing.
type Command struct {
	Faults *Faults `json:"faults,omitempty"`
	// Action is "expire-watches", "save" or "restore".
	Action string `json:"action,omitempty"`
}

// State is the body of the response of /control.
type State struct {
	Faults Faults         `json:"faults"`
	Counts map[string]int `json:"counts"`
}

func (s *Store) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c Command
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
			writeFailure(w, http.StatusBadRequest, "BadRequest", err.Error())
			return
		}
		if !s.execute(c) {
			writeFailure(w, http.StatusBadRequest, "BadRequest", "unknown action "+c.Action)
			return
		}
	}
	writeJSON(w, http.StatusOK, State{Faults: s.Faults(), Counts: s.CallCounts()})
}

func (s *Store) execute(c Command) bool {
	switch c.Action {
	case "":
	case "expire-watches":
		s.ExpireWatches()
	case "save":
		saved := s.Backup()
		s.mu.Lock()
		s.backup = saved
		s.mu.Unlock()
	case "restore":
		s.mu.Lock()
		saved := s.backup
		s.mu.Unlock()
		s.Restore(saved)
	default:
		return false
	}
	if c.Faults != nil {
		s.SetFaults(*c.Faults)
	}
	return true
}
