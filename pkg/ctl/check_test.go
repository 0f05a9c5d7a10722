package ctl_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/ctl"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/platform"
)

// fakePlatform decodes documents of the platform; its store cannot be reached.
type fakePlatform struct{}

func (fakePlatform) Decode(document []byte) (mesh.Configuration, error) {
	return platform.DecodeConfiguration(document)
}

func (fakePlatform) InForce(context.Context, string) (mesh.Configuration, error) {
	return mesh.Configuration{}, eris.New("no route to the store")
}

func document(version, prefix, key string) string {
	return `{"version":"` + version + `","listeners":[{"host":"h","rules":[{"name":"a","kind":"safe","match":{"path_prefix":"` + prefix +
		`"},"action":{"service":"s","timeout":"1s","max_attempts":1}}]}],"clusters":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["` + key + `"]}]}`
}

// The command must end with an exit code that tells an invalid configuration from a
// valid one, and must print no key.
func TestCheckReportsFaultsAndChanges(t *testing.T) {
	dir := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	current, next := file("current.json", document("r7", "/a/", "secret-one")), file("next.json", document("r8", "/b/", "secret-two"))
	invalid, cut := file("invalid.json", document("r8", "/a", "secret-one")), file("cut.json", `{"version":"r8"`)
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"check", next}, ctl.ExitOK, []string{"No errors"}},
		{[]string{"check", "-against", current, next}, ctl.ExitOK, []string{"version 7 in force: 3 changes", "removed", "route h/a/", "added", "api_keys"}},
		{[]string{"check", "-o", "json", "-against", current, next}, ctl.ExitOK, []string{`"kind": "removed"`}},
		{[]string{"check", invalid}, ctl.ExitInvalidLists, []string{"error", "does not begin and end with a slash"}},
		{[]string{"check", cut}, ctl.ExitInvalidLists, []string{"cut.json"}},
		{[]string{"check", "-against", next, current}, ctl.ExitInvalidLists, []string{"not above version 8"}},
		{[]string{"check", "-store", "10.0.0.1:1", next}, ctl.ExitUnavailable, []string{"no route to the store"}},
		{[]string{"check", "-store", "10.0.0.1:1", "-against", current, next}, ctl.ExitUsage, []string{"exclude each other"}},
		{[]string{"check"}, ctl.ExitUsage, []string{"one file"}},
	} {
		var output bytes.Buffer
		code := ctl.Run(context.Background(), ctl.Invocation{Args: c.args, Stdout: &output, Stderr: &output, Platform: fakePlatform{}})
		assert.Equal(t, code, c.code, "%v: %s", c.args, output.String())
		for _, want := range c.want {
			assert.Assert(t, strings.Contains(output.String(), want), "%v: no %q in %s", c.args, want, output.String())
		}
		assert.Assert(t, !strings.Contains(output.String(), "secret"), "%v shows a key", c.args)
	}
}
