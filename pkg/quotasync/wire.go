package quotasync

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/mesh/quota"
	"github.com/azurespring/azurespring/pkg/platform"
)

// The paths of messages between nodes.
const (
	GrantPath = "/azurespring-hop/quota"
	TermPath  = "/azurespring-hop/quota-term"
)

// ObjectPrefix begins the names of the objects with the terms.
const ObjectPrefix = "quota-"

const (
	// MaxMessageBytes bounds a message: quota.MaxTenants tenants with names of 100 bytes.
	MaxMessageBytes = 512 << 10
	// readTimeout bounds the time in which a message arrives.
	readTimeout = time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 1500 * time.Millisecond
	// maxTerm is far above any term that can be reached.
	maxTerm = 1 << 62
)

// decMode bounds what is allocated for a message.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 6, MaxMapPairs: 16, MaxArrayElements: quota.MaxTenants,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// ServeHTTP handles the messages of other nodes.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessageBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var response any
	if err == nil {
		response, err = s.handle(r.URL.Path, body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	encoded, err := cbor.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded)
}

// IsMessage reports whether a request is for ServeHTTP.
func IsMessage(r *http.Request) bool {
	return r.Method == http.MethodPost && (r.RequestURI == GrantPath || r.RequestURI == TermPath)
}

func (s *Service) handle(path string, body []byte) (any, error) {
	if path == GrantPath {
		var request quota.Request
		if err := decMode.Unmarshal(body, &request); err != nil {
			return nil, eris.Wrap(err, "decode quota request")
		}
		if request.Slot < 0 || request.Slot >= quota.Slots || request.Holder == "" || request.Term > maxTerm {
			return nil, eris.New("the quota request has no valid slot, holder or term")
		}
		return s.receive(request), nil
	}
	var announcement quota.Announcement
	if err := decMode.Unmarshal(body, &announcement); err != nil {
		return nil, eris.Wrap(err, "decode quota term")
	}
	if announcement.Term > maxTerm {
		return nil, eris.New("the quota term is not valid")
	}
	return s.announced(announcement)
}

// post sends a message to a node and decodes its response.
func (s *Service) post(ctx context.Context, node, path string, message, response any) error {
	address := s.addressOf(node)
	if address == "" {
		return eris.Errorf("the address of node %.60q is not known", node)
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	s.options.Metrics.Counter("quota_messages").Inc(1)
	received, err := s.options.Post(ctx, address, path, encoded)
	if err != nil {
		return err
	}
	return eris.Wrap(decMode.Unmarshal(received, response), "decode response")
}

// callStore performs a call of the store.
func (s *Service) callStore(call quota.StoreCall) (quota.StoreResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	name := ObjectPrefix + strconv.Itoa(call.Slot)
	value, err := json.Marshal(call.Record)
	if err != nil {
		return quota.StoreResult{Outcome: quota.StoreUnknown}, eris.Wrap(err, "encode quota term")
	}
	var o platform.Object
	switch call.Verb {
	case quota.StoreGet:
		o, err = s.options.Store.Get(ctx, platform.KindQuotaTerm, name)
	case quota.StoreCreate:
		o, err = s.options.Store.Create(ctx, platform.KindQuotaTerm, name, value)
	default:
		o, err = s.options.Store.Update(ctx, platform.Object{
			Kind: platform.KindQuotaTerm, Name: name, ResourceVersion: call.Version, Value: value,
		})
	}
	result := quota.StoreResult{Outcome: quota.StoreOK, Version: o.ResourceVersion, Era: platform.EraOf(o.ResourceVersion)}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return quota.StoreResult{Outcome: quota.StoreNotFound, Era: platform.EraOfError(err)}, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrAlreadyExists):
		return quota.StoreResult{Outcome: quota.StoreConflict, Era: platform.EraOfError(err)}, nil
	case err != nil:
		return quota.StoreResult{Outcome: quota.StoreUnknown}, err
	case call.Verb == quota.StoreGet:
		result.Record, err = decodeRecord(o.Value)
	}
	return result, err
}

// decodeRecord decodes a stored term. One that cannot be used counts as held by an unknown
// node, so that it is replaced only after the longest time.
func decodeRecord(value []byte) (quota.Record, error) {
	var r quota.Record
	err := json.Unmarshal(value, &r)
	if err == nil && (r.Node == "" || r.Term > maxTerm) {
		err = eris.New("it has no node or no valid term")
	}
	if err != nil {
		return quota.UnknownRecord(), eris.Wrap(err, "decode quota term")
	}
	return r, nil
}
