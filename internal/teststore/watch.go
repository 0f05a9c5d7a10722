package teststore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// watch streams changes after the requested version until the client disconnects or all
// watches are ended.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, path requestPath) {
	from, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, "BadRequest", "resourceVersion is not a number")
		return
	}
	s.mu.Lock()
	broken, expired := s.watchesBroken, s.isExpired(from)
	s.mu.Unlock()
	if expired {
		writeFailure(w, http.StatusGone, "Expired", "too old resource version")
		return
	}
	s.addActiveWatches(1)
	defer s.addActiveWatches(-1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	stream := stream{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
	_ = stream.controller.Flush()
	bookmarks := time.NewTicker(s.BookmarkInterval)
	defer bookmarks.Stop()
	for {
		changes, wake, isSilenced := s.changesSince(from, path)
		if !isSilenced {
			for _, c := range changes {
				stream.send(c.kind, c.object.json())
				from = c.version
			}
		}
		select {
		case <-wake:
		case <-bookmarks.C:
			if !isSilenced {
				stream.send("BOOKMARK", object{Kind: "Bookmark", Version: from}.json())
			}
		case <-broken:
			s.endWatch(stream)
			return
		case <-r.Context().Done():
			return
		}
		if stream.err != nil {
			return
		}
	}
}

func (s *Store) addActiveWatches(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeWatches += delta
}

func (s *Store) endWatch(stream stream) {
	if s.Faults().Down {
		panic(http.ErrAbortHandler)
	}
	_, body := failureStatus(http.StatusGone, "Expired", "watch expired")
	stream.send("ERROR", body)
}

// isExpired reports whether the history no longer holds all changes after version. The
// caller holds mu.
func (s *Store) isExpired(version uint64) bool {
	if version > s.version {
		return true
	}
	return version < s.version && (len(s.history) == 0 || s.history[0].version > version+1)
}

func (s *Store) changesSince(version uint64, path requestPath) (changes []change, wake <-chan struct{}, isSilenced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if c.version > version && c.key.namespace == path.namespace && c.key.resource == path.resource {
			changes = append(changes, c)
		}
	}
	return changes, s.wake, s.faults.SilenceWatches
}

type stream struct {
	encoder    *json.Encoder
	controller *http.ResponseController
	err        error
}

func (s *stream) send(kind string, object any) {
	if s.err != nil {
		return
	}
	if s.err = s.encoder.Encode(map[string]any{"type": kind, "object": object}); s.err == nil {
		s.err = s.controller.Flush()
	}
}
