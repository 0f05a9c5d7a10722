package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/azurespring/azurespring/pkg/config/static"
)

var versionCommand = command{
	name: "version", summary: "Show the version of this command",
	description: "The versions of nodes are shown by get status.",
	examples:    []string{"version", "version -o json"},
	make:        func() runner { return version{} },
}

type version struct{}

func (version) defineFlags(*flag.FlagSet) {}

func (version) run(_ context.Context, s *session, args []string) error {
	if len(args) > 0 {
		return usageError("version takes no arguments")
	}
	return s.print(map[string]string{"version": static.BuildVersion()}, func(w io.Writer) {
		fmt.Fprintln(w, ProgramName, static.BuildVersion())
	})
}

// completionCommand gets its make function in init to avoid an initialization
// cycle: completion lists all commands, including itself.
var completionCommand = command{
	name: "completion", arguments: "bash", summary: "Print a completion script for a shell",
	description: "Load the script from ~/.bashrc or for one session.",
	examples:    []string{"completion bash > ~/.azurespringctl.bash"},
}

func init() { completionCommand.make = func() runner { return completion{} } }

type completion struct{}

func (completion) defineFlags(*flag.FlagSet) {}

func (completion) run(_ context.Context, s *session, args []string) error {
	if len(args) != 1 || args[0] != "bash" {
		return usageError("name the shell; bash is supported")
	}
	var names, cases strings.Builder
	for _, c := range commands() {
		names.WriteString(c.name + " ")
		var flags []string
		s.flags(c, c.make()).VisitAll(func(f *flag.Flag) { flags = append(flags, "-"+f.Name) })
		fmt.Fprintf(&cases, "    %s) words=\"%s\" ;;\n", c.name, strings.Join(flags, " "))
	}
	fmt.Fprintf(s.Stdout, bashScript, strings.TrimSpace(names.String()), cases.String(), ProgramName)
	return nil
}

// bashScript completes the command as the first word, then flags of that command
// and file names.
const bashScript = `_azurespringctl() {
  local current=${COMP_WORDS[COMP_CWORD]} words=""
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s help" -- "$current"))
    return
  fi
  case ${COMP_WORDS[1]} in
%s  esac
  if [[ $current == -* ]]; then
    COMPREPLY=($(compgen -W "$words -help" -- "$current"))
  else
    COMPREPLY=($(compgen -f -- "$current"))
  fi
}
complete -o filenames -F _azurespringctl %s
`
