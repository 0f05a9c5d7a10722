package ctl_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/config/static"
)

var (
	helpFlag    = regexp.MustCompile(`(?m)^  -([a-z-]+)`)
	codeSpan    = regexp.MustCompile("`([^`]+)`")
	flagInCode  = regexp.MustCompile(`(?:^| )-([a-z][a-z-]*)`)
	settingsRow = regexp.MustCompile("(?m)^\\| `-([a-z-]+)` \\| `([A-Z_]+)` \\| ([^|]+) \\|")
	kindRow     = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|")
	defaultText = regexp.MustCompile(`\(default ([^)]+)\)`)
)

func readPage(t *testing.T, name string) string {
	data, err := os.ReadFile(filepath.Join("../../docs/operators", name))
	assert.NilError(t, err)
	return string(data)
}

func nodeHelp(t *testing.T) string {
	var help bytes.Buffer
	_, err := static.Load([]string{"-help"}, nil, &help)
	assert.ErrorContains(t, err, "help requested")
	return help.String()
}

func flagsIn(help string) []string {
	var flags []string
	for _, match := range helpFlag.FindAllStringSubmatch(help, -1) {
		flags = append(flags, match[1])
	}
	slices.Sort(flags)
	return flags
}

// Verifies that the settings page lists exactly the flags of the node, with the
// right environment variables and defaults.
func TestSettingsPageMatchesNodeFlags(t *testing.T) {
	help := nodeHelp(t)
	documented := []string{"print-config", "version"}
	for _, row := range settingsRow.FindAllStringSubmatch(readPage(t, "settings.md"), -1) {
		name, variable, defaultValue := row[1], row[2], row[3]
		documented = append(documented, name)
		assert.Equal(t, variable, static.EnvVarName(name))
		_, rest, ok := strings.Cut(help, "  -"+name+" ")
		assert.Assert(t, ok, "no flag -%s", name)
		entry, _, _ := strings.Cut(rest, "\n  -")
		if match := defaultText.FindStringSubmatch(entry); match != nil && name != "instance" {
			assert.Equal(t, defaultValue, "`"+match[1]+"`", name)
		}
		assert.Equal(t, defaultValue == "required", strings.Contains(entry, "(required)"), name)
	}
	slices.Sort(documented)
	assert.DeepEqual(t, documented, flagsIn(help))
}

// Verifies that the commands page documents every command and every flag in the
// section of its command.
func TestCommandsPageDocumentsEveryFlag(t *testing.T) {
	general, rest, _ := strings.Cut(readPage(t, "commands.md"), "\n## ")
	for _, section := range strings.Split(rest, "\n## ") {
		name, text, _ := strings.Cut(section, "\n")
		if name == "Exit codes" {
			continue
		}
		help := run(nil, "help", name)
		assert.Equal(t, help.code, 0, name)
		for _, flag := range flagsIn(help.stdout) {
			assert.Assert(t, strings.Contains(general+text, "| `-"+flag+"` |"), "%s -%s is not documented", name, flag)
		}
	}
	script := run(nil, "completion", "bash").stdout
	for _, command := range strings.Fields("validate check apply get moves report timeline version completion") {
		assert.Assert(t, strings.Contains(script, command) && strings.Contains(rest, command+"\n"), command)
	}
}

// Verifies that every command and flag that the operator pages name exists.
func TestPagesNameExistingFlags(t *testing.T) {
	paths, err := filepath.Glob("../../docs/operators/*.md")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 8)
	known := flagsIn(nodeHelp(t))
	for _, command := range strings.Fields("validate check apply get moves report timeline version completion") {
		known = append(known, flagsIn(run(nil, "help", command).stdout)...)
	}
	known = append(known, "help")
	for _, path := range paths {
		text := strings.ReplaceAll(readPage(t, filepath.Base(path)), "```", "")
		for _, span := range codeSpan.FindAllStringSubmatch(text, -1) {
			code := strings.Join(strings.Fields(span[1]), " ")
			allowed := known
			if words := strings.Fields(code); len(words) > 1 && words[0] == "azurespringctl" {
				help := run(nil, "help", words[1])
				assert.Equal(t, help.code, 0, "%s: %s", path, code)
				allowed = append(flagsIn(help.stdout), "help")
			}
			for _, flag := range flagInCode.FindAllStringSubmatch(code, -1) {
				assert.Assert(t, slices.Contains(allowed, flag[1]), "%s: no flag -%s in %q", path, flag[1], code)
			}
		}
	}
}

// Verifies that every event kind on the events page is defined in the source.
func TestEventsPageNamesRecordedKinds(t *testing.T) {
	sources, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	var code strings.Builder
	for _, source := range sources {
		data, err := os.ReadFile(source)
		assert.NilError(t, err)
		code.Write(data)
	}
	rows := kindRow.FindAllStringSubmatch(readPage(t, "events.md"), -1)
	assert.Assert(t, len(rows) > 10)
	for _, row := range rows {
		assert.Assert(t, strings.Contains(code.String(), "timeline.Kind = \""+row[1]+"\""), row[1])
	}
}
