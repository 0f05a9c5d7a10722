package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/configcheck"
)

var checkCommand = command{
	name: "check", arguments: "FILE", summary: "Check a configuration of the users' platform before it is stored",
	description: "FILE is the document that the operator is about to store. All errors, entries that can\n" +
		"never match and limits that contradict each other are shown. With -against or -store,\n" +
		"also what differs from the version in force. Keys are never shown.",
	examples: []string{"check new.json", "check -against current.json new.json", "check -store 10.200.1.7:8309 -regions east,west new.json"},
	make:     func() runner { return &check{} },
}

type check struct{ against, store, regions string }

func (c *check) defineFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.against, "against", "", "`file` with the configuration in force")
	flags.StringVar(&c.store, "store", "", "`address` of the platform's store, to read the configuration in force from")
	flags.StringVar(&c.regions, "regions", "", "`names` of the deployment's regions, separated by commas; names of other regions are errors")
}

func (c *check) run(ctx context.Context, s *session, args []string) error {
	switch {
	case s.Platform == nil:
		return usageError("this build knows no platform")
	case len(args) != 1:
		return usageError("check needs one file")
	case c.against != "" && c.store != "":
		return usageError("-against and -store exclude each other")
	}
	configuration, err := s.readConfiguration(args[0])
	if err != nil {
		return err
	}
	inForce, err := c.inForce(ctx, s)
	if err != nil {
		return err
	}
	var regions []string
	if c.regions != "" {
		regions = strings.Split(c.regions, ",")
	}
	report := configcheck.Check(configuration, inForce, regions)
	if err := s.print(report, func(w io.Writer) { printReport(w, report, inForce) }); err != nil {
		return err
	}
	if report.HasErrors() {
		return &failure{Code: ExitInvalidLists, Message: "the configuration has errors", Advice: "Correct the errors and check again."}
	}
	return nil
}

// inForce returns the configuration to compare with, nil if none was given.
func (c *check) inForce(ctx context.Context, s *session) (*mesh.Configuration, error) {
	switch {
	case c.against != "":
		configuration, err := s.readConfiguration(c.against)
		return &configuration, err
	case c.store != "":
		configuration, err := s.Platform.InForce(ctx, c.store)
		if err != nil {
			return nil, &failure{Code: ExitUnavailable, Message: "the configuration in force cannot be read: " + err.Error(), cause: err}
		}
		return &configuration, nil
	}
	return nil, nil
}

func (s *session) readConfiguration(path string) (mesh.Configuration, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return mesh.Configuration{}, usageError("%v", err)
	}
	configuration, err := s.Platform.Decode(document)
	if err != nil {
		return mesh.Configuration{}, &failure{Code: ExitInvalidLists, Message: path + ": " + err.Error(), cause: err}
	}
	return configuration, nil
}

func printReport(w io.Writer, report configcheck.Report, inForce *mesh.Configuration) {
	table(w, "", report.Findings, func(f configcheck.Finding) []any { return []any{f.Severity, f.Entry, f.Message} })
	if len(report.Findings) == 0 {
		fmt.Fprintln(w, "No errors and no warnings.")
	}
	if inForce == nil {
		return
	}
	fmt.Fprintf(w, "Compared with version %d in force: %d changes.\n", inForce.Version, len(report.Changes))
	table(w, "", report.Changes, func(c configcheck.Change) []any { return []any{c.Kind, c.Entry, strings.Join(c.Fields, "; ")} })
}
