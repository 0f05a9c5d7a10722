// Package admin serves the administration API of a node: configuration, members,
// moves, reports, time line, health and metrics.
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

// ConfigurationService applies configurations and holds the one in force.
type ConfigurationService interface {
	// Apply returns once the configuration is accepted. already is true if an
	// earlier call with the same change id took effect. It returns *ConflictError,
	// *OutcomeUnknownError, *distribution.InvalidError, or another error if the
	// change was certainly not accepted.
	Apply(ctx context.Context, config dynamic.Config, changeID string, base uint64) (version uint64, already bool, err error)
	// Snapshot returns nil if no configuration is in force yet.
	Snapshot() *dynamic.Snapshot
}

// MembershipProvider holds the member table.
type MembershipProvider interface {
	View() *membership.View
}

// MoveProvider holds the states of moves.
type MoveProvider interface {
	MoveStates() []move.State
}

// ReportProvider answers what departments ask.
type ReportProvider interface {
	// PeriodReports returns the reports of a department's periods that begin at or after
	// since, oldest first; a zero since leaves the choice to the implementation.
	PeriodReports(ctx context.Context, department string, since time.Time) ([]report.Report, error)
}

// EventProvider holds the newest events of this node, oldest first.
type EventProvider interface {
	Events() []timeline.Event
}

// NodeProvider tells about the process itself.
type NodeProvider interface {
	Status() NodeStatus
	// Ready returns nil if the node serves callers, else the reason why not.
	Ready() error
}

// Options configures a Server. Nil collaborators are answered with 501.
type Options struct {
	Configurations ConfigurationService
	Members        MembershipProvider
	Moves          MoveProvider
	Reports        ReportProvider
	Events         EventProvider
	Node           NodeProvider
	// Metrics serves /metrics; nil leaves it out.
	Metrics http.Handler
	// TokenFile holds the bearer token; empty means that the API needs none. It is
	// read with each request, so that a new token is in force at once.
	TokenFile string
	// Version is the version of the program.
	Version string
	Now     func() time.Time
}

// Server answers administration requests.
type Server struct {
	options Options
	mux     *http.ServeMux
	api     huma.API
}

// New returns a server.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{options: o, mux: http.NewServeMux()}
	config := huma.DefaultConfig("azurespring administration", o.Version)
	// The documentation page would load scripts from outside; /openapi.yaml suffices.
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

// schemaName names a type in the OpenAPI description. Types of other packages
// get the package's name as prefix, as several have types of the same name.
func schemaName(t reflect.Type, hint string) string {
	name := huma.DefaultSchemaNamer(t, hint)
	if prefix := path.Base(t.PkgPath()); t.Name() != "" && t.PkgPath() != "" && prefix != "admin" {
		return strings.ToUpper(prefix[:1]) + prefix[1:] + name
	}
	return name
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// operation returns the description of an endpoint that needs the token.
func (s *Server) operation(id, method, path, summary string) huma.Operation {
	return huma.Operation{
		OperationID: id, Method: method, Path: path, Summary: summary,
		Security:    []map[string][]string{{"bearer": {}}},
		Middlewares: huma.Middlewares{s.authenticate},
	}
}

// registerHealth adds the endpoints that need no token.
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
	// A failed write means that the client has gone; there is nobody to tell.
	_, _ = w.Write([]byte(text + "\n"))
}
