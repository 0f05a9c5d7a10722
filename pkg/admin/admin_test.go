package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/report"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// fakeNode implements all providers of admin.Options.
type fakeNode struct {
	applyErr         error
	appliedChangeIDs []string
	current          *dynamic.Snapshot
	notReady         error
	// blockApply makes Apply block until its context ends.
	blockApply bool
}

func (f *fakeNode) Apply(ctx context.Context, config dynamic.Config, changeID string, baseVersion uint64) (uint64, bool, error) {
	if f.blockApply {
		<-ctx.Done()
		return 0, false, ctx.Err()
	}
	if f.applyErr != nil {
		return 0, false, f.applyErr
	}
	f.appliedChangeIDs = append(f.appliedChangeIDs, changeID)
	return baseVersion + 1, false, nil
}

func (f *fakeNode) Snapshot() *dynamic.Snapshot { return f.current }
func (f *fakeNode) Status() admin.NodeStatus    { return admin.NodeStatus{Instance: "a"} }
func (f *fakeNode) Ready() error                { return f.notReady }
func (f *fakeNode) View() *membership.View      { return &membership.View{Members: members} }
func (f *fakeNode) MoveStates() []move.State {
	return moveStates
}
func (f *fakeNode) Events() []timeline.Event { return events }
func (f *fakeNode) PeriodReports(context.Context, string, time.Time) ([]report.Report, error) {
	return nil, errors.New("platform is down")
}

var (
	moveStates = []move.State{{Service: "stock", Phase: move.PhaseRolledBack, Share: 500, Evidence: []move.RouteEvidence{
		{Route: "check", New: move.Counts{Good: 3, Slow: 2}, RatioTestLLR: math.Inf(1), RateTestLLR: math.NaN()},
	}}}
	members = []membership.Member{{
		Instance: "a", State: membership.Suspect,
		Targets: []membership.Target{{ID: "t", Service: "stock", State: membership.Draining}},
	}}
	events = []timeline.Event{
		{Time: timeline.Timestamp{Millis: 2}, Instance: "a", Kind: "second", ConfigVersion: 7},
		{Time: timeline.Timestamp{Millis: 1}, Instance: "a", Kind: "first", ConfigVersion: 7},
		{Time: timeline.Timestamp{Millis: 3}, Instance: "a", Kind: "third", ConfigVersion: 8},
	}
)

func exampleLists(t *testing.T) []admin.ListFile {
	var files []admin.ListFile
	for _, name := range []string{"customers.yaml", "entitlements.yaml"} {
		data, err := os.ReadFile(filepath.Join("../../examples/tatrasoft", name))
		assert.NilError(t, err)
		files = append(files, admin.ListFile{Name: name, Content: string(data)})
	}
	return files
}

func snapshot(t *testing.T) *dynamic.Snapshot {
	files := exampleLists(t)
	config, err := dynamic.Parse(
		dynamic.File{Data: []byte(strings.Replace(files[0].Content, "cennik-portal", "other", 1))},
		dynamic.File{Data: []byte(files[1].Content)})
	assert.NilError(t, err)
	parts, err := dynamic.EncodeParts(config)
	assert.NilError(t, err)
	snapshot, err := dynamic.Compile(dynamic.NewManifest(5, parts), config)
	assert.NilError(t, err)
	return snapshot
}

func newServer(f *fakeNode, tokenFile string) *admin.Server {
	_, metrics, closer := admin.NewMetrics(logrus.New())
	defer closer.Close()
	return admin.New(admin.Options{
		Configurations: f, Members: f, Moves: f, Reports: f, Events: f, Node: f,
		Metrics: metrics, TokenFile: tokenFile, Version: "v1",
	})
}

// sendRequest sends a request with a JSON body, if in is set, and decodes the
// response into out, if out is set.
func sendRequest(t *testing.T, handler http.Handler, method, path, token string, in, out any) *http.Response {
	var content io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		assert.NilError(t, err)
		content = bytes.NewReader(data)
	}
	request := httptest.NewRequest(method, path, content)
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if out != nil {
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), out), recorder.Body.String())
	}
	return recorder.Result()
}

func postConfiguration(t *testing.T, f *fakeNode, files []admin.ListFile, out any) *http.Response {
	request := admin.ApplyRequest{ChangeID: "change-1", BaseVersion: 5, Files: files}
	return sendRequest(t, newServer(f, ""), "POST", "/v1/configuration", "", request, out)
}

// Verifies that a change reaches the ConfigurationService and that the response
// lists what changed.
func TestApplyReturnsVersionAndChanges(t *testing.T) {
	f := &fakeNode{current: snapshot(t)}
	var result admin.ApplyResult
	response := postConfiguration(t, f, exampleLists(t), &result)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.DeepEqual(t, f.appliedChangeIDs, []string{"change-1"})
	assert.DeepEqual(t, result, admin.ApplyResult{Version: 6, Changes: []dynamic.Change{
		{Entry: "customer/cennik-portal", Action: dynamic.ActionAdded}, {Entry: "customer/other", Action: dynamic.ActionRemoved},
	}})
}

// Verifies the status, code and details of each apply error. An unknown outcome
// must not look like a rejection, or the operator would not retry the change.
func TestApplyReportsErrorsAsProblems(t *testing.T) {
	bad := exampleLists(t)
	bad[1].Content = strings.Replace(bad[1].Content, "period: 24h", "period: 24", 1)
	conflict := &admin.ConflictError{BaseVersion: 5, CurrentVersion: 6, ChangedParts: []string{
		"service/stock", dynamic.PartNameForEntry("customer/cennik-portal"), dynamic.PartNameForEntry("customer/nobody"),
	}}
	for _, test := range []struct {
		name   string
		err    error
		files  []admin.ListFile
		status int
		code   string
		detail string
	}{
		{"conflict", conflict, exampleLists(t), 409, admin.CodeConflict, "service/stock"},
		{"conflict names customers", conflict, exampleLists(t), 409, admin.CodeConflict, "customer/cennik-portal"},
		{"base ahead", &admin.ConflictError{BaseVersion: 9, CurrentVersion: 6}, exampleLists(t), 409, admin.CodeConflict, "version 9, which does not exist"},
		{"conflict names a part", conflict, exampleLists(t), 409, admin.CodeConflict, "customers/"},
		{"invalid for distribution", &distribution.InvalidError{Cause: errors.New("too large")}, exampleLists(t), 422, admin.CodeInvalidLists, "too large"},
		{"unknown outcome", &admin.OutcomeUnknownError{ChangeID: "change-1", Cause: io.EOF}, exampleLists(t), 503, admin.CodeOutcomeUnknown, "same change id"},
		{"platform down", errors.New("no route"), exampleLists(t), 503, admin.CodeUnavailable, "Nothing was changed"},
		{"invalid lists", nil, bad, 422, admin.CodeInvalidLists, `"file":"entitlements.yaml","line":33`},
		{"no lists", nil, []admin.ListFile{}, 422, admin.CodeBadRequest, "body.files"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var problem admin.Problem
			f := &fakeNode{applyErr: test.err, current: snapshot(t)}
			response := postConfiguration(t, f, test.files, &problem)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, response.Header.Get("Content-Type"), "application/problem+json")
			assert.Equal(t, problem.Code, test.code)
			text, err := json.Marshal(problem)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(text), test.detail), string(text))
			assert.Equal(t, len(f.appliedChangeIDs), 0)
		})
	}
}

// Verifies that the node honors the timeout of the request. If it tried for longer
// than its client waits, the client would report an unknown outcome although the
// platform was never reached.
func TestApplyTimesOutBeforeItsClient(t *testing.T) {
	var problem admin.Problem
	request := admin.ApplyRequest{ChangeID: "change-1", Files: exampleLists(t), TimeoutMillis: 20}
	response := sendRequest(t, newServer(&fakeNode{blockApply: true}, ""), "POST", "/v1/configuration", "", request, &problem)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, problem.Code, admin.CodeUnavailable)
}

// Verifies that the lists of GET /v1/configuration are valid input and make no
// change, so that an operator can edit and apply them again.
func TestConfigurationPassesValidateUnchanged(t *testing.T) {
	f := &fakeNode{current: snapshot(t)}
	var got admin.Configuration
	sendRequest(t, newServer(f, ""), "GET", "/v1/configuration", "", nil, &got)
	assert.Equal(t, got.Version, uint64(5))
	var result admin.ValidateResult
	sendRequest(t, newServer(f, ""), "POST", "/v1/configuration/validate", "", admin.ValidateRequest{Files: []admin.ListFile{
		{Name: "c", Content: got.Customers}, {Name: "e", Content: got.Entitlements},
	}}, &result)
	assert.DeepEqual(t, result, admin.ValidateResult{CurrentVersion: 5, Changes: []dynamic.Change{}})
}

// Verifies that each read-only path serves the data of its provider under the
// documented names.
func TestViewsShowProviderState(t *testing.T) {
	server := newServer(&fakeNode{current: snapshot(t), notReady: errors.New("joining")}, "")
	for _, test := range []struct {
		path   string
		status int
		want   string
	}{
		{"/v1/members", 200, `"state":"suspect"`},
		{"/v1/targets", 200, `"state":"draining"`},
		{"/v1/targets?service=hires", 200, `[]`},
		{"/v1/moves", 200, `"phase":"taken-back","share":0.05`},
		{"/v1/moves", 200, `"new":{"good":3,"failed":0,"slow":2,`},
		{"/v1/status", 200, `"notReady":"joining","configVersion":5`},
		{"/v1/timeline?configVersion=7&limit=1", 200, `"event":"second"`},
		{"/v1/timeline?limit=0", 422, `"field":"query.limit"`},
		{"/v1/reports/nobody", 404, `"code":"not-found"`},
		{"/v1/reports/sales", 503, `platform is down`},
		{"/healthz", 200, "ok"},
		{"/readyz", 503, "joining"},
		{"/metrics", 200, "go_goroutines"},
		{"/openapi.json", 200, `"apply-configuration"`},
		{"/openapi.json", 200, `"MoveCounts"`},
		{"/openapi.json", 200, `"ReportCounts"`},
	} {
		t.Run(test.path, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest("GET", test.path, nil))
			assert.Equal(t, recorder.Code, test.status)
			assert.Assert(t, strings.Contains(recorder.Body.String(), test.want), recorder.Body.String())
		})
	}
}

// Verifies that the API rejects requests without the token, that health checks
// need none, and that an unreadable token file is an error.
func TestTokenIsRequiredExceptByHealthChecks(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(file, []byte("secret\n"), 0o600))
	server := newServer(&fakeNode{}, file)
	for _, test := range []struct {
		path, token string
		status      int
	}{
		{"/v1/status", "secret", 200},
		{"/v1/status", "wrong", 401},
		{"/v1/members", "", 401},
		{"/healthz", "", 200},
	} {
		assert.Equal(t, sendRequest(t, server, "GET", test.path, test.token, nil, nil).StatusCode, test.status, test.path)
	}
	assert.NilError(t, os.Remove(file))
	assert.Equal(t, sendRequest(t, server, "GET", "/v1/status", "", nil, nil).StatusCode, 500)
}
