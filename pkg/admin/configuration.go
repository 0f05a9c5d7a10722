package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

// maxListsBytes limits the body of a request that carries lists. It leaves room
// for JSON escape sequences.
const maxListsBytes = 2*dynamic.MaxListBytes + 1<<20

// applyTimeout limits an apply whose request sets no shorter timeout. An apply
// continues after its client disconnects, so that a lost connection does not leave
// the outcome unknown.
const applyTimeout = time.Minute

// ListFile is one YAML file of customer or entitlement lists.
type ListFile struct {
	Name    string `json:"name" maxLength:"4096" doc:"Name that faults refer to"`
	Content string `json:"content" doc:"YAML documents of kind CustomerList or EntitlementList"`
}

// ApplyRequest is a request to apply the customer and entitlement lists as one
// new configuration version.
type ApplyRequest struct {
	ChangeID    string     `json:"changeId" minLength:"8" maxLength:"128" pattern:"^[A-Za-z0-9._-]+$" doc:"Identifies the change over retries"`
	BaseVersion uint64     `json:"baseVersion" doc:"Version that the change is based on; 0 if none is in force"`
	Files       []ListFile `json:"files" minItems:"1" maxItems:"1000"`
	// TimeoutMillis lets the node time out before its client does, so that the
	// client can tell an unavailable platform from a lost response.
	TimeoutMillis int64 `json:"timeoutMs,omitempty" minimum:"1" doc:"Longest time to try; at most and by default 60000"`
}

// ApplyResult is the outcome of an accepted change.
type ApplyResult struct {
	Version        uint64 `json:"version" doc:"Version that the change became"`
	AlreadyApplied bool   `json:"alreadyApplied" doc:"An earlier request with the same change id took effect"`
	// Changes are the differences from the version that was active on this node.
	Changes []dynamic.Change `json:"changes"`
}

// ValidateRequest is a request to validate both lists without applying them.
type ValidateRequest struct {
	Files []ListFile `json:"files" minItems:"1" maxItems:"1000"`
}

// ValidateResult holds the changes that valid lists would make.
type ValidateResult struct {
	CurrentVersion uint64           `json:"currentVersion" doc:"Version in force; 0 if none"`
	Changes        []dynamic.Change `json:"changes"`
}

// Configuration is the active configuration of this node.
type Configuration struct {
	Version      uint64 `json:"version" doc:"0 if none is in force"`
	Digest       string `json:"digest,omitempty"`
	Customers    string `json:"customers,omitempty" doc:"Customer list as YAML"`
	Entitlements string `json:"entitlements,omitempty" doc:"Entitlement list as YAML"`
}

// body wraps a request or response body the way huma expects it.
type body[T any] struct{ Body T }

func (s *Server) registerConfiguration() {
	apply := s.operation("apply-configuration", http.MethodPost, "/v1/configuration", "Apply both lists")
	apply.MaxBodyBytes = maxListsBytes
	apply.BodyReadTimeout = applyTimeout
	huma.Register(s.api, apply, s.apply)
	validate := s.operation("validate-configuration", http.MethodPost, "/v1/configuration/validate", "Check both lists")
	validate.MaxBodyBytes = maxListsBytes
	validate.BodyReadTimeout = applyTimeout
	huma.Register(s.api, validate, s.validate)
	huma.Register(s.api, s.operation("get-configuration", http.MethodGet, "/v1/configuration", "Configuration in force"), s.configuration)
}

func (s *Server) apply(ctx context.Context, in *body[ApplyRequest]) (*body[ApplyResult], error) {
	config, changes, err := s.parseAndDiff(in.Body.Files)
	if err != nil {
		return nil, err
	}
	timeout := applyTimeout
	if requestedMillis := in.Body.TimeoutMillis; requestedMillis > 0 && requestedMillis < timeout.Milliseconds() {
		timeout = time.Duration(requestedMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	version, already, err := s.options.Configurations.Apply(ctx, config, in.Body.ChangeID, in.Body.BaseVersion)
	if err != nil {
		return nil, applyProblem(err, config, s.options.Configurations.Snapshot())
	}
	return &body[ApplyResult]{ApplyResult{Version: version, AlreadyApplied: already, Changes: changes}}, nil
}

func (s *Server) validate(_ context.Context, in *body[ValidateRequest]) (*body[ValidateResult], error) {
	_, changes, err := s.parseAndDiff(in.Body.Files)
	if err != nil {
		return nil, err
	}
	result := ValidateResult{Changes: changes}
	if current := s.options.Configurations.Snapshot(); current != nil {
		result.CurrentVersion = current.Version()
	}
	return &body[ValidateResult]{result}, nil
}

// parseAndDiff parses files, validates the moves against the active version and
// returns the differences from that version.
func (s *Server) parseAndDiff(files []ListFile) (dynamic.Config, []dynamic.Change, error) {
	if s.options.Configurations == nil {
		return dynamic.Config{}, nil, notImplemented("configurations")
	}
	var active dynamic.Config
	if current := s.options.Configurations.Snapshot(); current != nil {
		active = current.Config()
	}
	inputs := make([]dynamic.File, 0, len(files))
	for _, file := range files {
		inputs = append(inputs, dynamic.File{Name: file.Name, Data: []byte(file.Content)})
	}
	parsedLists, err := dynamic.ParseWithPositions(inputs...)
	if err == nil {
		err = parsedLists.ValidateMoves(active, s.options.Now())
	}
	var faults dynamic.Faults
	if errors.As(err, &faults) {
		return dynamic.Config{}, nil, invalidLists(faults)
	}
	if err != nil {
		return dynamic.Config{}, nil, err
	}
	changes := dynamic.Diff(active, parsedLists.Config)
	if changes == nil {
		changes = []dynamic.Change{}
	}
	return parsedLists.Config, changes, nil
}

func (s *Server) configuration(context.Context, *struct{}) (*body[Configuration], error) {
	if s.options.Configurations == nil {
		return nil, notImplemented("configurations")
	}
	current := s.options.Configurations.Snapshot()
	if current == nil {
		return &body[Configuration]{}, nil
	}
	customers, entitlements, err := dynamic.FormatYAML(current.Config())
	if err != nil {
		return nil, err
	}
	return &body[Configuration]{Configuration{
		Version: current.Version(), Digest: current.Manifest().Digest,
		Customers: string(customers), Entitlements: string(entitlements),
	}}, nil
}

// notImplemented is the error of an operation whose provider is nil.
func notImplemented(resource string) error {
	return newProblem(http.StatusNotImplemented, CodeInternal, "this node holds no "+resource, "Ask another node.")
}
