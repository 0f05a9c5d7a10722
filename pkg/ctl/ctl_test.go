package ctl_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/ctl"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/report"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// node is the administration API of one node over a configuration of its own.
type node struct {
	*httptest.Server
	mu sync.Mutex
	// refuse is the number of questions for moves that fail.
	refuse int
	// loseReplies is the number of applies that take effect but whose answer is lost.
	loseReplies int
	// behind is the number of status requests for which the node has no version yet.
	behind   int
	applyErr error
	ids      []string
	current  *dynamic.Snapshot
	members  []membership.Member
	moves    [][]move.State
	events   []timeline.Event
	// stall, if set, is called before each question after the first round, which
	// asks for members and for the status.
	stall     func()
	questions int
}

func startNode(t *testing.T) *node {
	n := &node{}
	n.Server = httptest.NewServer(admin.New(admin.Options{Configurations: n, Members: n, Moves: n, Reports: n, Events: n}))
	t.Cleanup(n.Close)
	n.members = []membership.Member{{Instance: "a", AdminAddress: n.Listener.Addr().String(), State: membership.Alive}}
	return n
}

func (n *node) Apply(_ context.Context, config dynamic.Config, id string, _ uint64) (uint64, bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.applyErr != nil {
		return 0, false, n.applyErr
	}
	n.ids = append(n.ids, id)
	if n.loseReplies > 0 {
		n.loseReplies--
		panic(http.ErrAbortHandler)
	}
	parts, err := dynamic.EncodeParts(config)
	if err != nil {
		return 0, false, err
	}
	n.current, err = dynamic.Compile(dynamic.NewManifest(7, parts), config)
	return 7, len(n.ids) > 1, err
}

func (n *node) Snapshot() *dynamic.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil && n.behind > 0 {
		n.behind--
		return nil
	}
	return n.current
}

func (n *node) View() *membership.View {
	n.mu.Lock()
	n.questions++
	stall := n.stall != nil && n.questions > 2
	n.mu.Unlock()
	if stall {
		n.stall()
	}
	return &membership.View{Members: n.members}
}

func (n *node) Events() []timeline.Event { return n.events }

// MoveStates returns the states one after the other, and the last again and again.
func (n *node) MoveStates() []move.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refuse > 0 {
		n.refuse--
		panic(http.ErrAbortHandler)
	}
	states := n.moves[0]
	if len(n.moves) > 1 {
		n.moves = n.moves[1:]
	}
	return states
}

func (n *node) PeriodReports(_ context.Context, department string, since time.Time) ([]report.Report, error) {
	if since.IsZero() {
		return nil, nil
	}
	return []report.Report{{
		Department: department, From: since, Counts: report.Counts{Good: 9990, Bad: 10},
		GoodShare: 0.999, PromisedShare: 0.9995, Finding: report.PromiseMissed,
	}}, nil
}

// refused is the address of a port on which nothing listens.
func refused(t *testing.T) string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.Listener.Addr().String()
}

type result struct {
	code           int
	stdout, stderr string
}

func run(env []string, args ...string) result {
	var stdout, stderr bytes.Buffer
	code := ctl.Run(context.Background(), ctl.Invocation{Args: args, Env: env, Stdout: &stdout, Stderr: &stderr})
	return result{code, stdout.String(), stderr.String()}
}

func (r result) check(t *testing.T, code int, texts ...string) {
	t.Helper()
	assert.Equal(t, r.code, code, "%+v", r)
	for _, text := range texts {
		assert.Assert(t, strings.Contains(r.stdout+r.stderr, text), "no %q in %+v", text, r)
	}
}

func nodes(addresses ...string) []string {
	return []string{"AZURESPRING_NODES=" + strings.Join(addresses, ","), "AZURESPRING_INSTANCE=x"}
}

const (
	customerFile    = "../../examples/council/customers.yaml"
	entitlementFile = "../../examples/council/entitlements.yaml"
)

// Guards against a lost answer that makes a change fail, or run under two ids,
// and against a first node that is down.
func TestApplyRetriesUnderTheSameID(t *testing.T) {
	n := startNode(t)
	n.loseReplies = 2
	r := run(nodes(refused(t), n.URL), "apply", customerFile, "-wait", entitlementFile)
	r.check(t, ctl.ExitOK, "Version 7 was accepted by an earlier attempt", "service/payments added", "in force on all 1 nodes", "trying again with change id "+n.ids[0])
	assert.Equal(t, len(n.ids), 3)
	assert.Equal(t, n.ids[0], n.ids[1])
	assert.Equal(t, n.ids[0], n.ids[2])
}

// Guards against exit codes that scripts cannot rely on, and messages without the next step.
func TestApplyExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	assert.NilError(t, os.WriteFile(broken, []byte("apiVersion: azurespring/v1\nkind: EntitlementList\n"), 0o600))
	down := refused(t)
	for _, test := range []struct {
		name  string
		setup func(n *node)
		args  []string
		code  int
		want  string
	}{
		{"accepted", func(*node) {}, nil, ctl.ExitOK, "Version 7 was accepted"},
		{"dry run", func(*node) {}, []string{"-dry-run"}, ctl.ExitOK, "these entries would change"},
		{"conflict", func(n *node) {
			n.applyErr = &admin.ConflictError{BaseVersion: 6, CurrentVersion: 8, ChangedParts: []string{"service/assets"}}
		}, nil, ctl.ExitConflict, "Entries that somebody else changed: service/assets"},
		{"outcome unknown", func(n *node) { n.loseReplies = 1 << 30 }, []string{"-retry-for", "300ms", "-change-id", "change-42"}, ctl.ExitOutcomeUnknown, "-change-id change-42"},
		{"unknown outcome at the node", func(n *node) { n.applyErr = &admin.OutcomeUnknownError{Cause: errors.New("lost")} }, []string{"-retry-for", "300ms"}, ctl.ExitOutcomeUnknown, "never applied twice"},
		{"platform down", func(n *node) { n.applyErr = errors.New("no route") }, []string{"-retry-for", "300ms"}, ctl.ExitUnavailable, "the change was not accepted: no route"},
		{"no node", func(*node) {}, []string{"-nodes", down}, ctl.ExitUnavailable, "no node could answer"},
		{"invalid", func(*node) {}, []string{broken}, ctl.ExitInvalidLists, "broken.yaml:1: services: is required"},
		{"missing file", func(*node) {}, []string{broken + "2"}, ctl.ExitUsage, "no such file"},
		{"unknown flag", func(*node) {}, []string{"-colour"}, ctl.ExitUsage, "apply -help"},
		{"not in force", func(n *node) { n.behind = 1 << 30 }, []string{"-wait", "-wait-for", "300ms"}, ctl.ExitNotActive, "missing: a"},
		{"in force later", func(n *node) { n.behind = 2 }, []string{"-wait"}, ctl.ExitOK, "in force on all 1 nodes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := startNode(t)
			test.setup(n)
			args := append([]string{"apply", customerFile, entitlementFile}, test.args...)
			run(nodes(n.URL), args...).check(t, test.code, test.want)
		})
	}
}

// Guards against a new version for lists that are in force, and against a change
// of unknown outcome that is not sent again because its lists are in force.
func TestApplySendsNothingNew(t *testing.T) {
	n := startNode(t)
	run(nodes(n.URL), "apply", customerFile, entitlementFile).check(t, ctl.ExitOK)
	run(nodes(n.URL), "apply", "-wait", customerFile, entitlementFile).check(t, ctl.ExitOK,
		"Version 7 holds these lists already", "in force on all 1 nodes")
	assert.Equal(t, len(n.ids), 1)
	run(nodes(n.URL), "apply", "-base", "3", customerFile, entitlementFile).check(t, ctl.ExitOK)
	run(nodes(n.URL), "apply", "-change-id", n.ids[0], customerFile, entitlementFile).check(t, ctl.ExitOK, "by an earlier attempt")
	assert.Equal(t, len(n.ids), 3)
}

// Guards against a wait that ends too early because the first node has not
// heard of the others yet.
func TestApplyWaitsForNodesThatOnlyOthersKnow(t *testing.T) {
	a, b, late := startNode(t), startNode(t), startNode(t)
	b.members[0].Instance, late.members[0].Instance = "b", "late"
	b.members = append(b.members, late.members[0])
	r := run(nodes(a.URL, b.URL), "apply", "-wait", "-wait-for", "300ms", customerFile, entitlementFile)
	r.check(t, ctl.ExitNotActive, "on 1 of 3 nodes", "not known to be in force on: b, late")
	for _, n := range []*node{b, late} {
		run(nodes(n.URL), "apply", customerFile, entitlementFile).check(t, ctl.ExitOK)
	}
	a.members = append(a.members, b.members[0])
	b.members = append(b.members, a.members[0])
	run(nodes(a.URL), "apply", "-wait", customerFile, entitlementFile).check(t, ctl.ExitOK, "in force on all 3 nodes")
}

// Guards against a message that names no node because the time was up in the
// middle of the last round, as on a busy machine.
func TestApplyNamesMissingNodesAfterACutRound(t *testing.T) {
	a, late := startNode(t), startNode(t)
	late.members[0].Instance = "late"
	a.members = append(a.members, late.members[0])
	release := make(chan struct{})
	a.stall = func() { <-release }
	r := run(nodes(a.URL), "apply", "-wait", "-wait-for", "500ms", customerFile, entitlementFile)
	close(release)
	r.check(t, ctl.ExitNotActive, "not known to be in force on: late")
}

// Guards against lists that cannot be read from one system and checked again.
func TestGetAndValidate(t *testing.T) {
	n := startNode(t)
	run(nodes(n.URL), "apply", customerFile, entitlementFile).check(t, ctl.ExitOK)
	got := run(nodes(n.URL), "get")
	got.check(t, ctl.ExitOK, "# azurespring configuration version 7")
	file := filepath.Join(t.TempDir(), "lists.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(got.stdout), 0o600))
	run(nil, "validate", file).check(t, ctl.ExitOK, "The lists are valid.")
	run(nodes(n.URL), "validate", file).check(t, ctl.ExitOK, "Compared with version 7 in force:\n  no entry differs")
	run(nodes(n.URL), "get", "members").check(t, ctl.ExitOK, "alive")
	run(nodes(n.URL), "get", "status", "-o", "json").check(t, ctl.ExitOK, `"configVersion": 7`)
	run(nil, "get").check(t, ctl.ExitUsage, "AZURESPRING_NODES")
	run(nodes(n.URL), "get", "nothing").check(t, ctl.ExitUsage)
}

// Guards against a watch that ends too early or with one lost answer, misses a change or hides that a
// move was taken back.
func TestMovesWatch(t *testing.T) {
	running := move.State{Service: "stock", From: "1", To: "2", Phase: move.PhaseRunning, Share: 100}
	further, done, back := running, running, running
	further.Share = 2000
	done.Phase, done.Share = move.PhaseDone, move.ShareDenominator
	back.Phase, back.Share, back.Reason = move.PhaseRolledBack, 0, "route check failed"
	for _, test := range []struct {
		name  string
		moves [][]move.State
		code  int
		want  []string
	}{
		{"done", [][]move.State{nil, {running}, {further}, {done}}, ctl.ExitOK, []string{"running, 1% of", "running, 20% of", "done, 100% of"}},
		{"taken back", [][]move.State{{running}, {back}}, ctl.ExitRolledBack, []string{"taken back: stock to 2 (route check failed)", "What to do"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := startNode(t)
			n.moves = test.moves
			n.refuse = 2
			run(nodes(n.URL), "moves", "-watch", "-interval", "1ms", "stock").check(t, test.code, test.want...)
		})
	}
}

// Guards against evidence that cannot be told apart by route and version.
func TestMovesEvidence(t *testing.T) {
	n := startNode(t)
	n.moves = [][]move.State{{{Service: "stock", From: "1", To: "2", Held: true, Reason: "too few calls", Evidence: []move.RouteEvidence{
		{Old: move.Counts{Good: 70}, New: move.Counts{Good: 30}},
		{Route: "check", Department: "warehouse", New: move.Counts{Good: 30, CrashedCalls: 4}},
	}}}}
	run(nodes(n.URL), "moves", "-evidence").check(t, ctl.ExitOK, "stock    (all)  -           1        70", "stock    check  warehouse   2        30    0       0     4")
	run(nodes(n.URL), "moves").check(t, ctl.ExitOK, "held: too few calls")
	run(nodes(n.URL), "moves", "hires").check(t, ctl.ExitOK, "There are no moves.")
}

// Guards against reports that misstate a promise in one of the formats.
func TestReport(t *testing.T) {
	n := startNode(t)
	run(nodes(n.URL), "apply", customerFile, entitlementFile).check(t, ctl.ExitOK)
	for format, texts := range map[string][]string{
		"text": {"2026-05-01", "9990", "99.900%", "99.950%", "broken"},
		"json": {`"finding": "broken"`, `"department": "treasury"`},
		"html": {"promise broken"},
	} {
		run(nodes(n.URL), "report", "treasury", "-since", "2026-05-01T00:00:00Z", "-o", format).check(t, ctl.ExitOK, texts...)
	}
	run(nodes(n.URL), "report", "treasury").check(t, ctl.ExitOK, "There are no periods of treasury yet.")
	run(nodes(n.URL), "report", "treasury", "-since", "720h").check(t, ctl.ExitOK, "treasury")
	run(nodes(n.URL), "report", "nobody").check(t, ctl.ExitFailure, "there is no department nobody")
	run(nodes(n.URL), "report", "treasury", "-since", "soon").check(t, ctl.ExitUsage)
}

// Guards against events that are lost, shown twice or out of order when they
// come from several nodes or files.
func TestTimeline(t *testing.T) {
	a, b := startNode(t), startNode(t)
	event := func(millis int64, instance string, kind timeline.Kind) timeline.Event {
		return timeline.Event{Time: timeline.Timestamp{Millis: millis}, Instance: instance, Kind: kind, ConfigVersion: 4}
	}
	a.events = []timeline.Event{event(1, "a", "accepted"), event(3, "a", "activated")}
	b.events = []timeline.Event{event(2, "b", "activated"), event(4, "b", "left")}
	a.members = append(a.members, membership.Member{Instance: "b", AdminAddress: b.Listener.Addr().String()},
		membership.Member{Instance: "c", AdminAddress: refused(t)})
	r := run(nodes(a.URL), "timeline", "-limit", "3", "-o", "json")
	r.check(t, ctl.ExitOK, "events are missing")
	events, _, err := timeline.ReadLog(strings.NewReader(r.stdout))
	assert.NilError(t, err)
	assert.DeepEqual(t, events, []timeline.Event{b.events[0], a.events[1], b.events[1]})
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(r.stdout), 0o600))
	fromFile := run(nil, "timeline", "-kind", "activated", file, file)
	fromFile.check(t, ctl.ExitOK, "configVersion=4")
	assert.Equal(t, strings.Count(fromFile.stdout, "activated"), 2)
}

// Guards against commands and flags that help and completion do not know.
func TestHelpAndCompletion(t *testing.T) {
	run(nil, "completion", "bash").check(t, ctl.ExitOK, "validate apply get moves report timeline version completion help", "-change-id")
	run(nil, "help").check(t, ctl.ExitOK, "5  it is not known")
	run(nil, "help", "apply").check(t, ctl.ExitOK, "azurespringctl apply -base 41", "AZURESPRING_NODES")
	run(nil, "moves", "-help").check(t, ctl.ExitOK, "-evidence")
	run(nil, "version").check(t, ctl.ExitOK, "azurespringctl ")
	run(nil).check(t, ctl.ExitUsage)
	run(nil, "aply").check(t, ctl.ExitUsage, "there is no command")
	run(nil, "get", "-o", "html").check(t, ctl.ExitUsage)
}
