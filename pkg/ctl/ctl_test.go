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

// fakeNode serves the administration API of one node from in-memory data.
type fakeNode struct {
	*httptest.Server
	mu sync.Mutex
	// failingMoveQueries is the number of coming move queries whose connection is
	// aborted.
	failingMoveQueries int
	// lostApplyResponses is the number of coming applies that are recorded but whose
	// response is lost.
	lostApplyResponses int
	// emptySnapshots is the number of coming Snapshot calls that return nil although
	// a configuration was applied.
	emptySnapshots int
	applyErr       error
	changeIDs      []string
	current        *dynamic.Snapshot
	members        []membership.Member
	moves          [][]move.State
	events         []timeline.Event
	// blockView, if set, is called by each View call after the first two, which
	// serve the member list and the status of the first poll.
	blockView func()
	viewCalls int
}

func startNode(t *testing.T) *fakeNode {
	n := &fakeNode{}
	n.Server = httptest.NewServer(admin.New(admin.Options{Configurations: n, Members: n, Moves: n, Reports: n, Events: n}))
	t.Cleanup(n.Close)
	n.members = []membership.Member{{Instance: "a", AdminAddress: n.Listener.Addr().String(), State: membership.Alive}}
	return n
}

func (n *fakeNode) Apply(_ context.Context, config dynamic.Config, id string, _ uint64) (uint64, bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.applyErr != nil {
		return 0, false, n.applyErr
	}
	n.changeIDs = append(n.changeIDs, id)
	if n.lostApplyResponses > 0 {
		n.lostApplyResponses--
		panic(http.ErrAbortHandler)
	}
	parts, err := dynamic.EncodeParts(config)
	if err != nil {
		return 0, false, err
	}
	n.current, err = dynamic.Compile(dynamic.NewManifest(7, parts), config)
	return 7, len(n.changeIDs) > 1, err
}

func (n *fakeNode) Snapshot() *dynamic.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil && n.emptySnapshots > 0 {
		n.emptySnapshots--
		return nil
	}
	return n.current
}

func (n *fakeNode) View() *membership.View {
	n.mu.Lock()
	n.viewCalls++
	block := n.blockView != nil && n.viewCalls > 2
	n.mu.Unlock()
	if block {
		n.blockView()
	}
	return &membership.View{Members: n.members}
}

func (n *fakeNode) Events() []timeline.Event { return n.events }

// MoveStates returns the next element of moves at each call, and keeps returning
// the last one.
func (n *fakeNode) MoveStates() []move.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failingMoveQueries > 0 {
		n.failingMoveQueries--
		panic(http.ErrAbortHandler)
	}
	states := n.moves[0]
	if len(n.moves) > 1 {
		n.moves = n.moves[1:]
	}
	return states
}

func (n *fakeNode) PeriodReports(_ context.Context, department string, since time.Time) ([]report.Report, error) {
	if since.IsZero() {
		return nil, nil
	}
	return []report.Report{{
		Department: department, From: since, Counts: report.Counts{Good: 9990, Bad: 10},
		GoodShare: 0.999, PromisedShare: 0.9995, Finding: report.PromiseMissed,
	}}, nil
}

// closedAddress returns the address of a port on which nothing listens.
func closedAddress(t *testing.T) string {
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

func nodesEnv(addresses ...string) []string {
	return []string{"AZURESPRING_NODES=" + strings.Join(addresses, ","), "AZURESPRING_INSTANCE=x"}
}

const (
	customerFile    = "../../examples/council/customers.yaml"
	entitlementFile = "../../examples/council/entitlements.yaml"
)

// Verifies that apply retries after a lost response with the same change ID, so
// that the change is not applied twice, and that it skips a node that is down.
func TestApplyRetriesWithSameChangeID(t *testing.T) {
	n := startNode(t)
	n.lostApplyResponses = 2
	r := run(nodesEnv(closedAddress(t), n.URL), "apply", customerFile, "-wait", entitlementFile)
	r.check(t, ctl.ExitOK, "Version 7 was accepted by an earlier attempt", "service/payments added", "in force on all 1 nodes", "trying again with change id "+n.changeIDs[0])
	assert.Equal(t, len(n.changeIDs), 3)
	assert.Equal(t, n.changeIDs[0], n.changeIDs[1])
	assert.Equal(t, n.changeIDs[0], n.changeIDs[2])
}

// Verifies the exit code, on which scripts rely, and the message of each outcome
// of apply.
func TestApplyExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	assert.NilError(t, os.WriteFile(broken, []byte("apiVersion: azurespring/v1\nkind: EntitlementList\n"), 0o600))
	closed := closedAddress(t)
	for _, test := range []struct {
		name  string
		setup func(n *fakeNode)
		args  []string
		code  int
		want  string
	}{
		{"accepted", func(*fakeNode) {}, nil, ctl.ExitOK, "Version 7 was accepted"},
		{"dry run", func(*fakeNode) {}, []string{"-dry-run"}, ctl.ExitOK, "these entries would change"},
		{"conflict", func(n *fakeNode) {
			n.applyErr = &admin.ConflictError{BaseVersion: 6, CurrentVersion: 8, ChangedParts: []string{"service/assets"}}
		}, nil, ctl.ExitConflict, "Entries that somebody else changed: service/assets"},
		{"outcome unknown", func(n *fakeNode) { n.lostApplyResponses = 1 << 30 }, []string{"-retry-for", "300ms", "-change-id", "change-42"}, ctl.ExitOutcomeUnknown, "-change-id change-42"},
		{"unknown outcome at the node", func(n *fakeNode) { n.applyErr = &admin.OutcomeUnknownError{Cause: errors.New("lost")} }, []string{"-retry-for", "300ms"}, ctl.ExitOutcomeUnknown, "never applied twice"},
		{"platform down", func(n *fakeNode) { n.applyErr = errors.New("no route") }, []string{"-retry-for", "300ms"}, ctl.ExitUnavailable, "the change was not accepted: no route"},
		{"no node", func(*fakeNode) {}, []string{"-nodes", closed}, ctl.ExitUnavailable, "no node could answer"},
		{"invalid", func(*fakeNode) {}, []string{broken}, ctl.ExitInvalidLists, "broken.yaml:1: services: is required"},
		{"missing file", func(*fakeNode) {}, []string{broken + "2"}, ctl.ExitUsage, "no such file"},
		{"unknown flag", func(*fakeNode) {}, []string{"-colour"}, ctl.ExitUsage, "apply -help"},
		{"not in force", func(n *fakeNode) { n.emptySnapshots = 1 << 30 }, []string{"-wait", "-wait-for", "300ms"}, ctl.ExitNotActive, "missing: a"},
		{"in force later", func(n *fakeNode) { n.emptySnapshots = 2 }, []string{"-wait"}, ctl.ExitOK, "in force on all 1 nodes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := startNode(t)
			test.setup(n)
			args := append([]string{"apply", customerFile, entitlementFile}, test.args...)
			run(nodesEnv(n.URL), args...).check(t, test.code, test.want)
		})
	}
}

// Verifies that apply creates no new version for lists that are active already. It
// must still send the change if -base or -change-id is given, so that a change
// with an unknown outcome can be retried.
func TestApplySkipsListsThatAreActive(t *testing.T) {
	n := startNode(t)
	run(nodesEnv(n.URL), "apply", customerFile, entitlementFile).check(t, ctl.ExitOK)
	run(nodesEnv(n.URL), "apply", "-wait", customerFile, entitlementFile).check(t, ctl.ExitOK,
		"Version 7 holds these lists already", "in force on all 1 nodes")
	assert.Equal(t, len(n.changeIDs), 1)
	run(nodesEnv(n.URL), "apply", "-base", "3", customerFile, entitlementFile).check(t, ctl.ExitOK)
	run(nodesEnv(n.URL), "apply", "-change-id", n.changeIDs[0], customerFile, entitlementFile).check(t, ctl.ExitOK, "by an earlier attempt")
	assert.Equal(t, len(n.changeIDs), 3)
}

// Verifies that -wait includes members that the first node does not know yet.
// Otherwise the wait would end before the version is active on them.
func TestApplyWaitsForNodesKnownOnlyToOtherNodes(t *testing.T) {
	a, b, late := startNode(t), startNode(t), startNode(t)
	b.members[0].Instance, late.members[0].Instance = "b", "late"
	b.members = append(b.members, late.members[0])
	r := run(nodesEnv(a.URL, b.URL), "apply", "-wait", "-wait-for", "300ms", customerFile, entitlementFile)
	r.check(t, ctl.ExitNotActive, "on 1 of 3 nodes", "not known to be in force on: b, late")
	for _, n := range []*fakeNode{b, late} {
		run(nodesEnv(n.URL), "apply", customerFile, entitlementFile).check(t, ctl.ExitOK)
	}
	a.members = append(a.members, b.members[0])
	b.members = append(b.members, a.members[0])
	run(nodesEnv(a.URL), "apply", "-wait", customerFile, entitlementFile).check(t, ctl.ExitOK, "in force on all 3 nodes")
}

// Verifies that the timeout message of -wait names the missing nodes even if the
// timeout interrupts the last poll, as happens on a busy instance.
func TestApplyNamesMissingNodesWhenLastPollTimesOut(t *testing.T) {
	a, late := startNode(t), startNode(t)
	late.members[0].Instance = "late"
	a.members = append(a.members, late.members[0])
	release := make(chan struct{})
	a.blockView = func() { <-release }
	r := run(nodesEnv(a.URL), "apply", "-wait", "-wait-for", "500ms", customerFile, entitlementFile)
	close(release)
	r.check(t, ctl.ExitNotActive, "not known to be in force on: late")
}

// Verifies that the output of get passes validate, so that lists can be read,
// edited and applied again, and checks the other arguments of get.
func TestGetOutputPassesValidate(t *testing.T) {
	n := startNode(t)
	run(nodesEnv(n.URL), "apply", customerFile, entitlementFile).check(t, ctl.ExitOK)
	got := run(nodesEnv(n.URL), "get")
	got.check(t, ctl.ExitOK, "# azurespring configuration version 7")
	file := filepath.Join(t.TempDir(), "lists.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(got.stdout), 0o600))
	run(nil, "validate", file).check(t, ctl.ExitOK, "The lists are valid.")
	run(nodesEnv(n.URL), "validate", file).check(t, ctl.ExitOK, "Compared with version 7 in force:\n  no entry differs")
	run(nodesEnv(n.URL), "get", "members").check(t, ctl.ExitOK, "alive")
	run(nodesEnv(n.URL), "get", "status", "-o", "json").check(t, ctl.ExitOK, `"configVersion": 7`)
	run(nil, "get").check(t, ctl.ExitUsage, "AZURESPRING_NODES")
	run(nodesEnv(n.URL), "get", "nothing").check(t, ctl.ExitUsage)
}

// Verifies that -watch prints each change, continues after failed requests, ends
// when all moves have ended, and returns its own exit code for a rollback.
func TestMovesWatchPrintsChangesUntilMovesEnd(t *testing.T) {
	running := move.State{Service: "stock", From: "1", To: "2", Phase: move.PhaseRunning, Share: 100}
	shifted, done, rolledBack := running, running, running
	shifted.Share = 2000
	done.Phase, done.Share = move.PhaseDone, move.ShareDenominator
	rolledBack.Phase, rolledBack.Share, rolledBack.Reason = move.PhaseRolledBack, 0, "route check failed"
	for _, test := range []struct {
		name  string
		moves [][]move.State
		code  int
		want  []string
	}{
		{"done", [][]move.State{nil, {running}, {shifted}, {done}}, ctl.ExitOK, []string{"running, 1% of", "running, 20% of", "done, 100% of"}},
		{"rolled back", [][]move.State{{running}, {rolledBack}}, ctl.ExitRolledBack, []string{"taken back: stock to 2 (route check failed)", "What to do"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := startNode(t)
			n.moves = test.moves
			n.failingMoveQueries = 2
			run(nodesEnv(n.URL), "moves", "-watch", "-interval", "1ms", "stock").check(t, test.code, test.want...)
		})
	}
}

// Verifies that each row of -evidence names its route and version, and that a
// stalled step shows its reason.
func TestMovesEvidenceShowsRouteAndVersion(t *testing.T) {
	n := startNode(t)
	n.moves = [][]move.State{{{Service: "stock", From: "1", To: "2", Held: true, Reason: "too few calls", Evidence: []move.RouteEvidence{
		{Old: move.Counts{Good: 70}, New: move.Counts{Good: 30}},
		{Route: "check", Department: "warehouse", New: move.Counts{Good: 30, CrashedCalls: 4}},
	}}}}
	run(nodesEnv(n.URL), "moves", "-evidence").check(t, ctl.ExitOK, "stock    (all)  -           1        70", "stock    check  warehouse   2        30    0       0     4")
	run(nodesEnv(n.URL), "moves").check(t, ctl.ExitOK, "held: too few calls")
	run(nodesEnv(n.URL), "moves", "hires").check(t, ctl.ExitOK, "There are no moves.")
}

// Verifies that each output format shows the counts and the result of a missed
// service level objective, and the values that -since accepts.
func TestReportShowsObjectiveInEachFormat(t *testing.T) {
	n := startNode(t)
	run(nodesEnv(n.URL), "apply", customerFile, entitlementFile).check(t, ctl.ExitOK)
	for format, texts := range map[string][]string{
		"text": {"2026-05-01", "9990", "99.900%", "99.950%", "broken"},
		"json": {`"finding": "broken"`, `"department": "treasury"`},
		"html": {"promise broken"},
	} {
		run(nodesEnv(n.URL), "report", "treasury", "-since", "2026-05-01T00:00:00Z", "-o", format).check(t, ctl.ExitOK, texts...)
	}
	run(nodesEnv(n.URL), "report", "treasury").check(t, ctl.ExitOK, "There are no periods of treasury yet.")
	run(nodesEnv(n.URL), "report", "treasury", "-since", "720h").check(t, ctl.ExitOK, "treasury")
	run(nodesEnv(n.URL), "report", "nobody").check(t, ctl.ExitFailure, "there is no department nobody")
	run(nodesEnv(n.URL), "report", "treasury", "-since", "soon").check(t, ctl.ExitUsage)
}

// Verifies that events of several nodes or files are merged in order, without
// loss or duplicates, and that unreachable nodes are reported.
func TestTimelineMergesNodesAndFiles(t *testing.T) {
	a, b := startNode(t), startNode(t)
	event := func(millis int64, instance string, kind timeline.Kind) timeline.Event {
		return timeline.Event{Time: timeline.Timestamp{Millis: millis}, Instance: instance, Kind: kind, ConfigVersion: 4}
	}
	a.events = []timeline.Event{event(1, "a", "accepted"), event(3, "a", "activated")}
	b.events = []timeline.Event{event(2, "b", "activated"), event(4, "b", "left")}
	a.members = append(a.members, membership.Member{Instance: "b", AdminAddress: b.Listener.Addr().String()},
		membership.Member{Instance: "c", AdminAddress: closedAddress(t)})
	r := run(nodesEnv(a.URL), "timeline", "-limit", "3", "-o", "json")
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

// Verifies that help and completion list the commands and their flags, and that
// unknown commands and output formats are usage errors.
func TestHelpAndCompletionListCommandsAndFlags(t *testing.T) {
	run(nil, "completion", "bash").check(t, ctl.ExitOK, "validate check apply get moves report timeline version completion help", "-change-id")
	run(nil, "help").check(t, ctl.ExitOK, "5  it is not known")
	run(nil, "help", "apply").check(t, ctl.ExitOK, "azurespringctl apply -base 41", "AZURESPRING_NODES")
	run(nil, "moves", "-help").check(t, ctl.ExitOK, "-evidence")
	run(nil, "version").check(t, ctl.ExitOK, "azurespringctl ")
	run(nil).check(t, ctl.ExitUsage)
	run(nil, "aply").check(t, ctl.ExitUsage, "there is no command")
	run(nil, "get", "-o", "html").check(t, ctl.ExitUsage)
}

// A response whose header section has a malformed name is not a node's: it must not count as
// its state.
func TestResponseWithMalformedFieldIsNoAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 2\r\n\r\n[]"))
	}))
	defer server.Close()
	run(nodesEnv(server.Listener.Addr().String()), "moves").check(t, ctl.ExitUnavailable, "field name")
}
