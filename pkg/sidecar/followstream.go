package sidecar

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/platform"
)

// A node that follows another one keeps one request to it open. The response is a sequence
// of frames with changes of the store's objects, or without any to show that the node is
// alive.

// followPath is the path of requests of followers.
const followPath = "/azurespring-hop/follow"

// Times of a stream of changes.
const (
	// followKeepAlive is the time between two frames without changes. After followTimeout
	// without a frame, the follower tries another node: a configuration has to be active
	// within 2 s, and calls between nodes tell of newer ones in the meantime.
	followKeepAlive = 400 * time.Millisecond
	followTimeout   = 1500 * time.Millisecond
	// minFrameInterval combines changes that follow each other quickly.
	minFrameInterval   = 50 * time.Millisecond
	frameWriteTimeout  = 5 * time.Second
	maxFollowBodyBytes = 4 << 10
)

// followRequest is the body of a follower's request.
type followRequest struct {
	// Peer is the name of the node that is asked, "" for any. The address of a node that is
	// gone may belong to another one, whose own source may be the follower.
	Peer string `json:"peer,omitempty"`
	// Since holds the versions of the store that the follower knows, by kind.
	Since map[platform.Kind]uint64 `json:"since"`
	// Once ends the response after the first frame.
	Once bool `json:"once,omitempty"`
}

// followFrame is one frame of the response.
type followFrame struct {
	changes []kindChanges
	// isStale is set if the sender has lost the store.
	isStale bool
	// age is the time since the configuration was last known to be the newest; hasAge is
	// set if the sender tells it.
	age    time.Duration
	hasAge bool
}

// The header of a frame: the length of its payload, the checksum of the payload, and flags,
// of which all but the lowest tell the age of the configuration.
const (
	frameHeaderBytes = 4 + 8 + 1
	frameIsStale     = 1
)

func appendFrame(frame, payload []byte, isStale bool) []byte {
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(payload)))
	frame = binary.BigEndian.AppendUint64(frame, xxhash.Sum64(payload))
	flags := byte(0)
	if isStale {
		flags = frameIsStale
	}
	return append(append(frame, flags), payload...)
}

// readFrame reads one frame. Its size is bounded, and its checksum is compared.
func readFrame(r io.Reader) (followFrame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return followFrame{}, eris.Wrap(err, "read frame")
	}
	size := binary.BigEndian.Uint32(header[:])
	frame := followFrame{isStale: header[frameHeaderBytes-1]&frameIsStale != 0}
	frame.age, frame.hasAge = readFrameAge(header[frameHeaderBytes-1])
	switch {
	case size == 0:
		return frame, nil
	case size > maxStateBytes:
		return followFrame{}, eris.Errorf("frame of %d bytes is too large", size)
	}
	payload, err := io.ReadAll(io.LimitReader(r, int64(size)))
	switch {
	case err != nil:
		return followFrame{}, eris.Wrap(err, "read frame")
	case len(payload) < int(size):
		return followFrame{}, eris.Wrap(io.ErrUnexpectedEOF, "read frame")
	case xxhash.Sum64(payload) != binary.BigEndian.Uint64(header[4:]):
		return followFrame{}, eris.New("frame has a wrong checksum")
	}
	frame.changes, err = decodeChanges(payload)
	return frame, err
}

// serveFollower sends changes to a node until that node leaves or this one stops.
func (s *hopServer) serveFollower(w http.ResponseWriter, r *http.Request) {
	var request followRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFollowBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.Peer != "" && request.Peer != s.deps.settings.Instance {
		http.Error(w, "this node has another name: "+s.deps.settings.Instance, http.StatusMisdirectedRequest)
		return
	}
	controller := http.NewResponseController(w)
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	keepAlive := time.NewTicker(followKeepAlive)
	defer keepAlive.Stop()
	versions := request.Since
	for !s.deps.isInboundClosed.Load() {
		changed := s.tracker.changeSignal()
		age, hasAge := s.tracker.frameAge() // Before the changes, which may be newer.
		payload, next, err := s.tracker.encodedChangesSince(versions)
		if err != nil {
			s.deps.log.event("changes_failed", fields{"error": err.Error()})
			return
		}
		versions = next
		frame := appendFrame(nil, payload, s.tracker.isStale())
		if hasAge {
			setFrameAge(frame, age)
		}
		_ = controller.SetWriteDeadline(s.deps.now().Add(frameWriteTimeout))
		s.deps.uplink.countBytes(len(frame))
		if _, err := w.Write(frame); err != nil || controller.Flush() != nil || request.Once {
			return
		}
		sleep(r.Context(), minFrameInterval)
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-keepAlive.C:
		}
	}
}

// changeSignal returns a channel that is closed at the next change of the view.
func (t *tracker) changeSignal() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewChanged
}

var (
	// errFollowTimeout is the error of a peer that sends no frames.
	errFollowTimeout = errors.New("the peer is silent")
	// errOtherPeer is the error of an address that belongs to another node by now.
	errOtherPeer = errors.New("another node has the peer's address")
)

// follow asks the node at address for changes and calls handle for each frame until that
// fails or the response ends. It returns an error if the peer is silent for
// followTimeout.
func (h *hopClient) follow(ctx context.Context, address string, r followRequest, handle func(followFrame) error) error {
	body, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(followTimeout, func() { cancel(errFollowTimeout) })
	defer watchdog.Stop()
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: followPath}, Host: address, Header: http.Header{"User-Agent": {""}},
		Body: exchange.InMemoryBody(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}).WithContext(ctx)
	response, failure := h.pool(address).Do(ctx, exchange.Request{Request: request, MaxDialWait: maxNodeDialWait})
	if failure != nil {
		return failure
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusMisdirectedRequest {
		return errOtherPeer
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("the peer responded with status %d", response.StatusCode)
	}
	for {
		frame, err := readFrame(response.Body)
		if err == nil {
			err = handle(frame)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			return err
		}
		watchdog.Reset(followTimeout)
	}
}
