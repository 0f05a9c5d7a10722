package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/platform"
)

// A node that starts while it cannot reach the store knows no other node. Those
// that call it are told that it lacks the store's objects, and offer what they
// last saw. It serves its clients with that until it can read the store.

// offerPath is where a node takes the offer, offerInterval the time between two
// offers to the same node, offerTimeout the bound of one.
const (
	offerPath     = "/azurespring-hop/state"
	offerInterval = time.Second
	offerTimeout  = 2 * time.Second
	// maxOfferBytes bounds an offer: configuration, orders and entries of 3,800
	// instances of some 300 bytes.
	maxOfferBytes = 4 << 20
)

// offeredKinds are what an offer holds.
var offeredKinds = []platform.Kind{platform.KindConfiguration, platform.KindRollout, platform.KindMeshState}

// offeredObject is an object of the store in an offer.
type offeredObject struct {
	Name    string          `json:"name"`
	Version string          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// offer encodes the objects as last seen here; nil if not all kinds are known.
func (t *tracker) offer() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	content := make(map[platform.Kind][]offeredObject)
	for _, kind := range offeredKinds {
		if !t.loaded[kind] {
			return nil, nil
		}
		content[kind] = []offeredObject{}
		for _, o := range t.objects[kind] {
			content[kind] = append(content[kind], offeredObject{Name: o.Name, Version: o.ResourceVersion, Value: o.Value})
		}
	}
	encoded, err := json.Marshal(content)
	return encoded, eris.Wrap(err, "encode offer")
}

// adopt takes in an offer for the kinds that could not be read yet. What the
// offer says of this node's own endpoints does not count, because it may be older
// than an end that an earlier process acknowledged.
func (t *tracker) adopt(encoded []byte) error {
	var content map[platform.Kind][]offeredObject
	if err := json.Unmarshal(encoded, &content); err != nil {
		return eris.Wrap(err, "decode offer")
	}
	for _, kind := range offeredKinds {
		t.mu.Lock()
		loaded := t.loaded[kind]
		t.mu.Unlock()
		if loaded || kind == platform.KindConfiguration && len(content[kind]) == 0 {
			continue
		}
		objects := make([]platform.Object, 0, len(content[kind]))
		for _, o := range content[kind] {
			objects = append(objects, platform.Object{Kind: kind, Name: o.Name, ResourceVersion: o.Version, Value: o.Value})
		}
		t.take(kind, objects)
		t.refresh(kind)
		t.deps.log.event("offer_adopted", fields{"kind": string(kind), "objects": len(objects)})
	}
	return nil
}

// offer sends what this node knows of the store to the node at address.
func (h *hopClient) offer(address string) {
	h.mu.Lock()
	due := h.deps.now().Sub(h.offered[address]) >= offerInterval
	if due {
		h.offered[address] = h.deps.now()
	}
	h.mu.Unlock()
	if !due {
		return
	}
	go func() {
		if err := h.sendOffer(address); err != nil {
			h.deps.log.event("offer_failed", fields{"address": address, "error": err.Error()})
		}
	}()
}

func (h *hopClient) sendOffer(address string) error {
	encoded, err := h.deps.state()
	if err != nil || encoded == nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: offerPath}, Host: address, Header: http.Header{"User-Agent": {""}},
		Body: exchange.InMemoryBody(bytes.NewReader(encoded)), ContentLength: int64(len(encoded)),
	}).WithContext(ctx)
	response, failure := h.pool(address).Do(ctx, exchange.Request{Request: request})
	if failure != nil {
		return failure
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

// takeOffer serves the offer of another node.
func (s *hopServer) takeOffer(w http.ResponseWriter, r *http.Request) {
	encoded, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOfferBytes))
	if err == nil {
		err = s.deps.adopt(encoded)
	}
	if err != nil {
		s.deps.log.event("offer_refused", fields{"error": err.Error()})
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
