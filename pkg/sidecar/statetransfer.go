package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/rawjson"
)

// State transfer: a node that starts while it cannot reach the store knows no other
// node. It tells the nodes that call it that it lacks the objects of the store, and
// they send it the objects that they read last. It serves its clients with these until
// it can read the store.

// statePath is the path that receives a state transfer, stateSendInterval the minimum
// time between two transfers to the same node, and stateSendTimeout bounds one
// transfer.
const (
	statePath         = "/azurespring-hop/state"
	stateSendInterval = time.Second
	stateSendTimeout  = 2 * time.Second
	// maxStateBytes bounds a state transfer: the configuration, the rollouts and the
	// entries of 3,800 instances of about 300 bytes each.
	maxStateBytes = 4 << 20
)

// transferredObject is an object of the store in a state transfer.
type transferredObject struct {
	Name    string          `json:"name"`
	Version string          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// encodeState encodes the objects that this node read last. It returns nil unless all
// kinds have been read.
func (t *tracker) encodeState() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	content := make(map[platform.Kind][]transferredObject)
	for _, kind := range t.kinds {
		if !t.loadedKinds[kind] {
			return nil, nil
		}
		content[kind] = []transferredObject{}
		for _, o := range t.objects[kind] {
			content[kind] = append(content[kind], transferredObject{Name: o.Name, Version: o.ResourceVersion, Value: o.Value})
		}
	}
	encoded, err := json.Marshal(content)
	return encoded, eris.Wrap(err, "encode state transfer")
}

// applyState applies a state transfer for the kinds that could not be read from the
// store yet. It does not restore the local endpoints: what the sender knows of them may
// be older than a deregistration that an earlier process of this node acknowledged.
func (t *tracker) applyState(encoded []byte) error {
	objectsByKind, err := decodeState(encoded, t.kinds)
	if err != nil {
		return err
	}
	for _, kind := range t.kinds {
		objects, isListed := objectsByKind[kind]
		t.mu.Lock()
		isLoaded := t.loadedKinds[kind]
		t.mu.Unlock()
		if isLoaded || kind == platform.KindConfiguration && len(objects) == 0 || kind == platform.KindEvacuation && !isListed {
			continue
		}
		t.replaceView(kind, objects, 0)
		t.refresh(kind)
		t.deps.log.event("offer_adopted", fields{"kind": string(kind), "objects": len(objects)})
	}
	return nil
}

// decodeState decodes a state transfer. Each object is decoded on its own: one that the
// sender could use may be nested too deeply for encoding/json inside of the transfer.
func decodeState(encoded []byte, kinds []platform.Kind) (map[platform.Kind][]platform.Object, error) {
	members, err := rawjson.Members(encoded)
	if err != nil {
		return nil, eris.Wrap(err, "decode offer")
	}
	objectsByKind := make(map[platform.Kind][]platform.Object)
	for _, kind := range kinds {
		list, err := rawjson.Elements(members[string(kind)])
		if err != nil && members[string(kind)] != nil {
			return nil, eris.Wrapf(err, "decode objects of kind %s", kind)
		}
		if err == nil {
			objectsByKind[kind] = nil // Listed, perhaps without objects.
		}
		for _, text := range list {
			parts, _ := rawjson.Members(text)
			o := platform.Object{Kind: kind, Value: bytes.Clone(parts["value"])}
			if json.Unmarshal(parts["name"], &o.Name) == nil && json.Unmarshal(parts["version"], &o.ResourceVersion) == nil {
				objectsByKind[kind] = append(objectsByKind[kind], o)
			}
		}
	}
	return objectsByKind, nil
}

// sendStateIfDue sends this node's view of the store to the node at address, at most
// once per stateSendInterval.
func (h *hopClient) sendStateIfDue(address string) {
	h.mu.Lock()
	due := h.deps.now().Sub(h.stateSentAt[address]) >= stateSendInterval
	if due {
		h.stateSentAt[address] = h.deps.now()
	}
	h.mu.Unlock()
	if !due {
		return
	}
	go func() {
		if err := h.sendState(address); err != nil {
			h.deps.log.event("offer_failed", fields{"address": address, "error": err.Error()})
		}
	}()
}

func (h *hopClient) sendState(address string) error {
	encoded, err := h.deps.encodeState()
	if err != nil || encoded == nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stateSendTimeout)
	defer cancel()
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: statePath}, Host: address, Header: http.Header{"User-Agent": {""}},
		Body: exchange.InMemoryBody(bytes.NewReader(encoded)), ContentLength: int64(len(encoded)),
	}).WithContext(ctx)
	response, failure := h.pool(address).Do(ctx, exchange.Request{Request: request})
	if failure != nil {
		return failure
	}
	return discardBody(response.Body)
}

// receiveState handles a state transfer from another node.
func (s *hopServer) receiveState(w http.ResponseWriter, r *http.Request) {
	encoded, release, err := s.readState(w, r)
	defer release()
	if err == nil {
		err = s.deps.applyState(encoded)
	}
	if err != nil {
		s.deps.log.event("offer_refused", fields{"error": err.Error()})
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// errStateRefused is the error of a state transfer for which there is no memory. Its sender
// sends again.
var errStateRefused = errors.New("the node is short of memory for a state transfer")

// Memory of a state transfer: it is read in pieces, and takes about three times its size
// until it has been decoded. maxStateTransfers is the number that is read at the same time.
const (
	statePieceBytes   = 64 << 10
	stateMemoryFactor = 3
	maxStateTransfers = 4
)

// readState reads a state transfer. release must be called once it is no longer needed.
func (s *hopServer) readState(w http.ResponseWriter, r *http.Request) (encoded []byte, release func(), err error) {
	held := int64(0)
	release = func() {
		s.deps.guard.ReleaseShared(held)
		s.stateTransfers.Add(-1)
	}
	if s.stateTransfers.Add(1) > maxStateTransfers {
		return nil, release, errStateRefused
	}
	_ = http.NewResponseController(w).SetReadDeadline(s.deps.now().Add(stateSendTimeout))
	body := http.MaxBytesReader(w, r.Body, maxStateBytes)
	piece := make([]byte, statePieceBytes)
	for {
		n, err := fill(body, piece)
		if !s.deps.guard.HoldShared(stateMemoryFactor * int64(n)) {
			return nil, release, errStateRefused
		}
		held += stateMemoryFactor * int64(n)
		encoded = append(encoded, piece[:n]...)
		switch {
		case err == io.EOF:
			_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
			return encoded, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}
