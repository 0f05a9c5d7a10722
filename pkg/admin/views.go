package admin

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/report"
	"github.com/azurespring/azurespring/pkg/timeline"
	"github.com/azurespring/azurespring/pkg/transport"
)

// NodeStatus describes a node process and counts its traffic.
type NodeStatus struct {
	Instance      string    `json:"instance"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failureDomain"`
	Started       time.Time `json:"started"`
	// PlatformCalls counts calls to the platform by verb and object kind.
	PlatformCalls map[string]uint64 `json:"platformCalls"`
	Traffic       Traffic           `json:"traffic"`
}

// Traffic counts the bytes sent and received between nodes, and control messages.
type Traffic struct {
	ControlBytesSent         uint64 `json:"controlBytesSent"`
	ControlBytesReceived     uint64 `json:"controlBytesReceived"`
	CrossRegionBytesSent     uint64 `json:"crossRegionBytesSent" doc:"Part of the control bytes that went to other regions"`
	CrossRegionBytesReceived uint64 `json:"crossRegionBytesReceived"`
	CallBytesSent            uint64 `json:"callBytesSent"`
	CallBytesReceived        uint64 `json:"callBytesReceived"`
	MessagesSent             uint64 `json:"messagesSent"`
	MessagesReceived         uint64 `json:"messagesReceived"`
	Connections              int    `json:"connections"`
}

// TrafficFromStats converts the counters of a transport to Traffic.
func TrafficFromStats(s transport.Stats) Traffic {
	return Traffic{
		ControlBytesSent: s.Control.SentBytes, ControlBytesReceived: s.Control.ReceivedBytes,
		CrossRegionBytesSent: s.CrossRegion.SentBytes, CrossRegionBytesReceived: s.CrossRegion.ReceivedBytes,
		CallBytesSent: s.Calls.SentBytes, CallBytesReceived: s.Calls.ReceivedBytes,
		MessagesSent: s.MessagesSent, MessagesReceived: s.MessagesReceived, Connections: s.OpenConnections,
	}
}

// Status is the response of /v1/status.
type Status struct {
	NodeStatus
	ProgramVersion string `json:"program" doc:"Version of the program"`
	Ready          bool   `json:"ready"`
	NotReady       string `json:"notReady,omitempty" doc:"Reason why the node is not ready"`
	ConfigVersion  uint64 `json:"configVersion" doc:"Version in force; 0 if none"`
	ConfigDigest   string `json:"configDigest,omitempty"`
	MemberCount    int    `json:"members" doc:"Number of nodes that this node knows, itself included"`
}

// Member is one node as the member table of this node lists it.
type Member struct {
	Instance      string `json:"instance"`
	State         string `json:"state" enum:"alive,suspect,dead,left"`
	Address       string `json:"address"`
	AdminAddress  string `json:"adminAddress"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Protocol      int    `json:"protocol"`
	TargetCount   int    `json:"targets"`
}

// Target is one target as its node announced it.
type Target struct {
	ID            string    `json:"id"`
	Service       string    `json:"service"`
	Version       string    `json:"version"`
	State         string    `json:"state" enum:"starting,ready,draining"`
	Slots         int       `json:"slots"`
	WarmupMillis  int64     `json:"warmupMs"`
	ReadySince    time.Time `json:"readySince"`
	Instance      string    `json:"instance"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failureDomain"`
}

// Move is the state of one move and its evidence.
type Move struct {
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	FinishBy time.Time `json:"finishBy"`
	Phase    string    `json:"phase" enum:"running,done,taken-back"`
	Share    float64   `json:"share" doc:"Share of traffic on the new version, 0 to 1"`
	// Held is set while the step is stalled, that is, lasts longer than planned;
	// Reason says why.
	Held       bool       `json:"held"`
	Reason     string     `json:"reason,omitempty"`
	Started    time.Time  `json:"started"`
	ShareSetAt time.Time  `json:"entered" doc:"When the share was set"`
	Decider    string     `json:"decider,omitempty" doc:"Instance that decided last"`
	Evidence   []Evidence `json:"evidence"`
}

// Evidence holds the outcome counts of one route since the move began, for the
// old and the new version.
type Evidence struct {
	Route      string      `json:"route" doc:"Empty for all routes of the service together"`
	Department string      `json:"department,omitempty"`
	Old        move.Counts `json:"old"`
	New        move.Counts `json:"new"`
	// RatioTestLLR and RateTestLLR are the log-likelihood ratios of two sequential
	// tests: of the new version's share of all failures, and of its failure rate
	// compared with the old version's.
	RatioTestLLR float64 `json:"ratio"`
	RateTestLLR  float64 `json:"rate"`
}

// Report holds the reporting periods of one department.
type Report struct {
	Department string          `json:"department"`
	Periods    []report.Report `json:"periods"`
}

var (
	memberStateNames = map[membership.State]string{
		membership.Alive: "alive", membership.Suspect: "suspect", membership.Dead: "dead", membership.Left: "left",
	}
	targetStateNames = map[membership.TargetState]string{
		membership.Starting: "starting", membership.Ready: "ready", membership.Draining: "draining",
	}
	phaseNames = map[move.Phase]string{move.PhaseRunning: "running", move.PhaseDone: "done", move.PhaseRolledBack: "taken-back"}
)

func (s *Server) registerViews() {
	get := func(id, path, summary string) huma.Operation {
		return s.operation(id, http.MethodGet, path, summary)
	}
	huma.Register(s.api, get("get-status", "/v1/status", "Status of this node"), s.status)
	huma.Register(s.api, get("list-members", "/v1/members", "Nodes known to this node"), s.members)
	huma.Register(s.api, get("list-targets", "/v1/targets", "Targets known to this node"), s.targets)
	huma.Register(s.api, get("list-moves", "/v1/moves", "Moves with their evidence"), s.moves)
	huma.Register(s.api, get("get-report", "/v1/reports/{department}", "Whether a department's promise held"), s.report)
	huma.Register(s.api, get("get-timeline", "/v1/timeline", "Events of this node"), s.timeline)
}

func (s *Server) status(context.Context, *struct{}) (*body[Status], error) {
	status := Status{ProgramVersion: s.options.Version, Ready: true}
	if s.options.Node != nil {
		status.NodeStatus = s.options.Node.Status()
		if err := s.options.Node.Ready(); err != nil {
			status.Ready, status.NotReady = false, err.Error()
		}
	}
	if s.options.Members != nil {
		status.MemberCount = len(s.options.Members.View().Members)
	}
	if s.options.Configurations != nil {
		if current := s.options.Configurations.Snapshot(); current != nil {
			status.ConfigVersion, status.ConfigDigest = current.Version(), current.Manifest().Digest
		}
	}
	return &body[Status]{status}, nil
}

func (s *Server) members(context.Context, *struct{}) (*body[[]Member], error) {
	if s.options.Members == nil {
		return nil, notImplemented("members")
	}
	return &body[[]Member]{lo.Map(s.options.Members.View().Members, func(m membership.Member, _ int) Member {
		return Member{
			Instance: m.Instance, State: memberStateNames[m.State], Address: m.Address, AdminAddress: m.AdminAddress,
			Region: m.Region, FailureDomain: m.FailureDomain, Protocol: m.ProtocolVersion, TargetCount: len(m.Targets),
		}
	})}, nil
}

type targetFilter struct {
	Service string `query:"service" doc:"Only targets of this service"`
}

func (s *Server) targets(_ context.Context, in *targetFilter) (*body[[]Target], error) {
	if s.options.Members == nil {
		return nil, notImplemented("members")
	}
	targets := []Target{}
	for _, e := range s.options.Members.View().Endpoints() {
		if in.Service != "" && e.Service != in.Service {
			continue
		}
		targets = append(targets, Target{
			ID: e.ID, Service: e.Service, Version: e.Version, State: targetStateNames[e.State], Slots: e.Slots,
			WarmupMillis: e.Warmup.Milliseconds(), ReadySince: e.ReadySince,
			Instance: e.Instance, Region: e.Region, FailureDomain: e.FailureDomain,
		})
	}
	return &body[[]Target]{targets}, nil
}

func (s *Server) moves(context.Context, *struct{}) (*body[[]Move], error) {
	if s.options.Moves == nil {
		return nil, notImplemented("moves")
	}
	return &body[[]Move]{lo.Map(s.options.Moves.MoveStates(), func(state move.State, _ int) Move { return moveView(state) })}, nil
}

func moveView(s move.State) Move {
	return Move{
		Service: s.Service, From: s.From, To: s.To, FinishBy: s.FinishBy, Phase: phaseNames[s.Phase],
		Share: float64(s.Share) / move.ShareDenominator, Held: s.Held, Reason: s.Reason,
		Started: s.Started, ShareSetAt: s.StepStarted, Decider: s.Decider,
		Evidence: lo.Map(s.Evidence, func(e move.RouteEvidence, _ int) Evidence {
			return Evidence{
				Route: e.Route, Department: e.Department, Old: e.Old, New: e.New,
				RatioTestLLR: clampFinite(e.RatioTestLLR), RateTestLLR: clampFinite(e.RateTestLLR),
			}
		}),
	}
}

// clampFinite converts infinities and NaN, which JSON cannot represent, to finite
// numbers.
func clampFinite(n float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	return max(-math.MaxFloat64, min(math.MaxFloat64, n))
}

type reportRequest struct {
	Department string    `path:"department"`
	Since      time.Time `query:"since" doc:"Only periods that begin at or after this time; default: the newest few"`
}

func (s *Server) report(ctx context.Context, in *reportRequest) (*body[Report], error) {
	if s.options.Reports == nil || s.options.Configurations == nil {
		return nil, notImplemented("reports")
	}
	if current := s.options.Configurations.Snapshot(); current == nil || current.Department(in.Department) == nil {
		return nil, newProblem(http.StatusNotFound, CodeNotFound, "there is no department "+in.Department,
			"See the departments of the entitlement list in force.")
	}
	periods, err := s.options.Reports.PeriodReports(ctx, in.Department, in.Since)
	if err != nil {
		return nil, newProblem(http.StatusServiceUnavailable, CodeUnavailable, "the report cannot be read: "+err.Error(),
			"Reports are kept in the platform; try again when it answers.")
	}
	if periods == nil {
		periods = []report.Report{}
	}
	return &body[Report]{Report{Department: in.Department, Periods: periods}}, nil
}

type timelineRequest struct {
	ConfigVersion uint64 `query:"configVersion"`
	Move          string `query:"move" doc:"service or service/version"`
	RequestID     string `query:"requestId"`
	Instance      string `query:"instance"`
	Kind          string `query:"kind"`
	Limit         int    `query:"limit" minimum:"1" maximum:"10000" default:"1000" doc:"Only the newest events"`
}

func (s *Server) timeline(_ context.Context, in *timelineRequest) (*body[[]timeline.Event], error) {
	if s.options.Events == nil {
		return nil, notImplemented("events")
	}
	filter := timeline.Filter{
		ConfigVersion: in.ConfigVersion, Move: in.Move, RequestID: in.RequestID,
		Instance: in.Instance, Kind: timeline.Kind(in.Kind), Limit: in.Limit,
	}
	events := filter.Select(timeline.Merge(s.options.Events.Events()))
	if events == nil {
		events = []timeline.Event{}
	}
	return &body[[]timeline.Event]{events}, nil
}
