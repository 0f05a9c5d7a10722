// Package ctl implements the command azurespringctl, with which operators apply
// configurations and inspect nodes.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/azurespring/azurespring/pkg/config/static"
	"github.com/azurespring/azurespring/pkg/mesh"
)

// ProgramName is the name of the command.
const ProgramName = "azurespringctl"

// Invocation holds the arguments, environment and output streams of the command.
type Invocation struct {
	Args   []string
	Env    []string
	Stdout io.Writer
	Stderr io.Writer
	// Platform reads configurations of the users' platform; nil if the command has none.
	Platform PlatformConfigurations
}

// PlatformConfigurations reads the configurations of the users' platform.
type PlatformConfigurations interface {
	// Decode decodes a configuration document.
	Decode(document []byte) (mesh.Configuration, error)
	// InForce reads the configuration that the store at address holds.
	InForce(ctx context.Context, address string) (mesh.Configuration, error)
}

// command describes one subcommand.
type command struct {
	name, arguments, summary string
	// description explains the command in complete sentences.
	description string
	examples    []string
	// needsNodes is true if the command sends requests to nodes.
	needsNodes bool
	// make returns a runner with unset flags.
	make func() runner
}

// runner holds the flags of one command and executes it.
type runner interface {
	defineFlags(flags *flag.FlagSet)
	run(ctx context.Context, s *session, args []string) error
}

func commands() []command {
	return []command{
		validateCommand, checkCommand, applyCommand, getCommand, movesCommand, reportCommand, timelineCommand,
		versionCommand, completionCommand,
	}
}

// session is one execution of azurespringctl.
type session struct {
	Invocation
	options options
}

// Run executes the command and returns its exit code.
func Run(ctx context.Context, invocation Invocation) int {
	s := &session{Invocation: invocation}
	err := s.dispatch(ctx)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return s.reportError(err)
}

func (s *session) dispatch(ctx context.Context) error {
	if len(s.Args) == 0 {
		writeHelp(s.Stderr)
		return usageError("no command given")
	}
	name, args := s.Args[0], s.Args[1:]
	switch name {
	case "help", "-h", "-help", "--help":
		return s.help(args)
	case "-version", "--version":
		name = "version"
	}
	c, ok := findCommand(name)
	if !ok {
		return usageError("there is no command %q; see %s help", name, ProgramName)
	}
	r := c.make()
	flags := s.flags(c, r)
	positional, err := s.parse(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		c.writeHelp(s.Stdout, flags)
		return err
	}
	if err != nil {
		return usageError("%v; see %s %s -help", err, ProgramName, name)
	}
	if err := s.options.validate(c); err != nil {
		return err
	}
	return r.run(ctx, s, positional)
}

func findCommand(name string) (command, bool) {
	all := commands()
	i := slices.IndexFunc(all, func(c command) bool { return c.name == name })
	if i < 0 {
		return command{}, false
	}
	return all[i], true
}

func (s *session) flags(c command, r runner) *flag.FlagSet {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	s.options.defineFlags(flags, c)
	r.defineFlags(flags)
	return flags
}

// parse reads flags and positional arguments in any order, then the environment
// variables of the common options. It ignores other variables, because a node's
// own settings, such as its instance name, have the same prefix.
func (s *session) parse(flags *flag.FlagSet, args []string) ([]string, error) {
	args, afterSeparator, _ := cutArgs(args, "--")
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			break
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
	common := slices.DeleteFunc(slices.Clone(s.Env), func(variable string) bool {
		name, _, _ := strings.Cut(variable, "=")
		return !slices.ContainsFunc(commonOptions, func(option string) bool { return static.EnvVarName(option) == name })
	})
	return slices.Concat(positional, afterSeparator), static.ParseFlags(flags, nil, common)
}

func cutArgs(args []string, separator string) (before, after []string, found bool) {
	if i := slices.Index(args, separator); i >= 0 {
		return args[:i], args[i+1:], true
	}
	return args, nil, false
}

func (s *session) help(args []string) error {
	if len(args) == 0 {
		writeHelp(s.Stdout)
		return nil
	}
	c, ok := findCommand(args[0])
	if !ok {
		return usageError("there is no command %q; see %s help", args[0], ProgramName)
	}
	c.writeHelp(s.Stdout, s.flags(c, c.make()))
	return nil
}

func writeHelp(w io.Writer) {
	fmt.Fprintf(w, "%s applies lists to azurespring and shows what became of them.\n\nCommands:\n", ProgramName)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-12s %s\n", c.name, c.summary)
	}
	fmt.Fprintf(w, "\nSee %s COMMAND -help for flags and examples.\n\nExit codes:\n", ProgramName)
	for _, e := range exitCodes {
		fmt.Fprintf(w, "  %d  %s\n", e.code, e.meaning)
	}
}

func (c command) writeHelp(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprintf(w, "%s.\n\nUsage: %s %s [flags] %s\n\n%s\n\nExamples:\n", c.summary, ProgramName, c.name, c.arguments, c.description)
	for _, example := range c.examples {
		fmt.Fprintf(w, "  %s %s\n", ProgramName, example)
	}
	fmt.Fprintln(w, "\nFlags:")
	flags.SetOutput(w)
	flags.PrintDefaults()
	fmt.Fprintf(w, "\nThe flags %s can also be set by %s.\n",
		"-"+strings.Join(commonOptions, ", -"), strings.Join(mapStrings(commonOptions, static.EnvVarName), ", "))
}

func mapStrings(names []string, f func(string) string) []string {
	mapped := make([]string, 0, len(names))
	for _, name := range names {
		mapped = append(mapped, f(name))
	}
	return mapped
}
