// Package admin serves the administration API of a node: configuration, members,
// moves, reports, timeline, health and metrics.
package admin

import (
	"context"
	"net/http"
	"path"
	"reflect"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/report"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// ConfigurationService applies configurations and returns the active one.
type ConfigurationService interface {
	// Apply returns once the configuration is accepted. already is true if an
	// earlier call with the same change ID took effect. The error is a
	// *ConflictError, an *OutcomeUnknownError or a *distribution.InvalidError; any
	// other error means that the change was definitely not accepted.
	Apply(ctx context.Context, config dynamic.Config, changeID string, baseVersion uint64) (version uint64, already bool, err error)
	// Snapshot returns the active configuration, or nil if there is none yet.
	Snapshot() *dynamic.Snapshot
}

// MembershipProvider returns the member table.
type MembershipProvider interface {
	View() *membership.View
}

// MoveProvider returns the states of all known moves.
type MoveProvider interface {
	MoveStates() []move.State
}

// ReportProvider reads the service level reports of departments.
type ReportProvider interface {
	// PeriodReports returns the reports of a department's reporting periods that
	// begin at or after since, oldest first. If since is zero, the implementation
	// chooses the range.
	PeriodReports(ctx context.Context, department string, since time.Time) ([]report.Report, error)
}

// EventProvider returns the most recent timeline events of this node, oldest first.
type EventProvider interface {
	Events() []timeline.Event
}

// NodeProvider returns the status and readiness of the node process.
type NodeProvider interface {
	Status() NodeStatus
	// Ready returns nil if the node serves callers, and otherwise the reason why it
	// does not.
	Ready() error
}

// Options configures a Server. Operations whose provider is nil respond with 501.
type Options struct {
	Configurations ConfigurationService
	Members        MembershipProvider
	Moves          MoveProvider
	Reports        ReportProvider
	Events         EventProvider
	Node           NodeProvider
	// Metrics serves /metrics. If it is nil, the path is not registered.
	Metrics http.Handler
	// TokenFile is the path of the file with the bearer token. If it is empty, the
	// API needs no token. The file is read for each request, so a new token takes
	// effect immediately.
	TokenFile string
	// Version is the program version that the API reports.
	Version string
	Now     func() time.Time
}

// Server serves the administration API over HTTP.
type Server struct {
	options Options
	mux     *http.ServeMux
	api     huma.API
}

// New returns a Server with all operations registered.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{options: o, mux: http.NewServeMux()}
	config := huma.DefaultConfig("azurespring administration", o.Version)
	// The documentation page would load scripts from other hosts; /openapi.yaml is
	// enough.
	config.DocsPath = ""
	config.CreateHooks = nil
	config.Components.Schemas = huma.NewMapRegistry("#/components/schemas/", schemaName)
	config.Components.SecuritySchemes = map[string]*huma.SecurityScheme{"bearer": {Type: "http", Scheme: "bearer"}}
	s.api = humago.New(s.mux, config)
	s.registerConfiguration()
	s.registerViews()
	s.registerHealth()
	return s
}

// schemaName returns the schema name of a type in the OpenAPI description. Types
// of other packages get the package name as a prefix, because several packages
// have types of the same name.
func schemaName(t reflect.Type, hint string) string {
	name := huma.DefaultSchemaNamer(t, hint)
	if prefix := path.Base(t.PkgPath()); t.Name() != "" && t.PkgPath() != "" && prefix != "admin" {
		return strings.ToUpper(prefix[:1]) + prefix[1:] + name
	}
	return name
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// operation describes an API operation that requires the bearer token.
func (s *Server) operation(id, method, path, summary string) huma.Operation {
	return huma.Operation{
		OperationID: id, Method: method, Path: path, Summary: summary,
		Security:    []map[string][]string{{"bearer": {}}},
		Middlewares: huma.Middlewares{s.authenticate},
	}
}

// registerHealth adds the health and metrics paths, which need no token.
func (s *Server) registerHealth() {
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		respondText(w, http.StatusOK, "ok")
	})
	s.mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s.options.Node == nil {
			respondText(w, http.StatusServiceUnavailable, "starting")
		} else if err := s.options.Node.Ready(); err != nil {
			respondText(w, http.StatusServiceUnavailable, err.Error())
		} else {
			respondText(w, http.StatusOK, "ok")
		}
	})
	if s.options.Metrics != nil {
		s.mux.Handle("GET /metrics", s.options.Metrics)
	}
}

func respondText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write([]byte(text + "\n"))
}
