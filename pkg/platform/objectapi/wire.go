// Package objectapi implements platform.Store over an object API that follows
// the Kubernetes API conventions.
package objectapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/rotisserie/eris"
)

// apiVersion is the group and version of all kinds.
const apiVersion = "azurespring.io/v1"

// resource describes how the API represents one kind.
type resource struct {
	kind   string
	plural string
	// hasStatus is set for kinds whose value is observed state and is stored in the
	// status subresource.
	hasStatus bool
}

var resources = map[platform.Kind]resource{
	platform.KindConfigHead:         {kind: "ConfigHead", plural: "configheads"},
	platform.KindConfigPart:         {kind: "ConfigPart", plural: "configparts"},
	platform.KindLease:              {kind: "Lease", plural: "leases"},
	platform.KindMoveStatus:         {kind: "MoveStatus", plural: "movestatuses", hasStatus: true},
	platform.KindReportPeriod:       {kind: "ReportPeriod", plural: "reportperiods"},
	platform.KindIdempotencySegment: {kind: "IdempotencySegment", plural: "idempotencysegments"},
	platform.KindContacts:           {kind: "Contacts", plural: "contacts"},
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
	Continue        string `json:"continue,omitempty"`
}

// payload is the spec or status of all kinds: one opaque value in base64.
type payload struct {
	Value []byte `json:"value"`
}

type object struct {
	APIVersion string   `json:"apiVersion"`
	Kind       string   `json:"kind"`
	Metadata   metadata `json:"metadata"`
	Spec       *payload `json:"spec,omitempty"`
	Status     *payload `json:"status,omitempty"`
}

type objectList struct {
	Metadata metadata `json:"metadata"`
	Items    []object `json:"items"`
}

type watchEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// status is the response body of a failed call.
type status struct {
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Code    int    `json:"code"`
	Details struct {
		RetryAfterSeconds int `json:"retryAfterSeconds"`
	} `json:"details"`
}

type preconditions struct {
	Preconditions metadata `json:"preconditions"`
}

// reasonAlreadyExists distinguishes a failed create from a conflicting update; both
// have status 409.
const reasonAlreadyExists = "AlreadyExists"

func (r resource) encode(name, version string, value []byte) object {
	o := object{APIVersion: apiVersion, Kind: r.kind, Metadata: metadata{Name: name, ResourceVersion: version}}
	if r.hasStatus {
		o.Status = &payload{Value: value}
	} else {
		o.Spec = &payload{Value: value}
	}
	return o
}

// decode returns false if the object has no value yet, which happens between
// the creation of an object and the first write of its status.
func (r resource) decode(kind platform.Kind, o object) (decoded platform.Object, ok bool, err error) {
	if o.Kind != "" && o.Kind != r.kind {
		return platform.Object{}, false, eris.Errorf("expected kind %s, got %q", r.kind, o.Kind)
	}
	if o.Metadata.Name == "" || o.Metadata.ResourceVersion == "" {
		return platform.Object{}, false, eris.Errorf("%s without name or resourceVersion", r.kind)
	}
	decoded = platform.Object{Kind: kind, Name: o.Metadata.Name, ResourceVersion: o.Metadata.ResourceVersion}
	value := o.Spec
	if r.hasStatus {
		value = o.Status
	}
	if value == nil {
		return decoded, false, nil
	}
	decoded.Value = value.Value
	return decoded, true, nil
}

// statusError converts an error response to an error of package platform.
func statusError(code int, header http.Header, body []byte) error {
	var s status
	if err := json.Unmarshal(body, &s); err != nil {
		s = status{Message: "reply is not a Status object"}
	}
	switch code {
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusConflict:
		if s.Reason == reasonAlreadyExists {
			return platform.ErrAlreadyExists
		}
		return platform.ErrConflict
	case http.StatusGone:
		return platform.ErrWatchExpired
	case http.StatusTooManyRequests:
		return &platform.TooManyRequestsError{RetryAfter: retryAfter(header, s)}
	}
	return eris.Errorf("platform replied %d %s: %s", code, s.Reason, s.Message)
}

func retryAfter(header http.Header, s status) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		seconds = max(s.Details.RetryAfterSeconds, 0)
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second
}

// maxRetryAfterSeconds bounds the wait that a response can request.
const maxRetryAfterSeconds = 300
