package teststore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// watch streams changes after the requested version until the client leaves or
// the watches are broken.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, t target) {
	from, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", "resourceVersion is not a number")
		return
	}
	s.mu.Lock()
	epoch, expired := s.epoch, s.expired(from)
	s.mu.Unlock()
	if expired {
		fail(w, http.StatusGone, "Expired", "too old resource version")
		return
	}
	s.countWatch(1)
	defer s.countWatch(-1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	stream := stream{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
	_ = stream.controller.Flush()
	bookmarks := time.NewTicker(s.BookmarkInterval)
	defer bookmarks.Stop()
	for {
		changes, wake, silent := s.since(from, t)
		if !silent {
			for _, c := range changes {
				stream.send(c.kind, c.object.json())
				from = c.version
			}
		}
		select {
		case <-wake:
		case <-bookmarks.C:
			if !silent {
				stream.send("BOOKMARK", object{Kind: "Bookmark", Version: from}.json())
			}
		case <-epoch:
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

func (s *Store) countWatch(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching += change
}

func (s *Store) endWatch(stream stream) {
	if s.Faults().Down {
		panic(http.ErrAbortHandler)
	}
	_, body := failed(http.StatusGone, "Expired", "watch expired")
	stream.send("ERROR", body)
}

// expired reports whether the history no longer reaches back to version. The
// caller holds mu.
func (s *Store) expired(version uint64) bool {
	if version > s.version {
		return true
	}
	return version < s.version && (len(s.history) == 0 || s.history[0].version > version+1)
}

func (s *Store) since(version uint64, t target) (changes []change, wake <-chan struct{}, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if c.version > version && c.key.namespace == t.namespace && c.key.resource == t.resource {
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
