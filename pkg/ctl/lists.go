package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/samber/lo"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
)

var validateCommand = command{
	name: "validate", arguments: "FILE...", summary: "Check both lists without changing anything",
	description: "All faults are shown with file, line and field. Without -nodes the lists are checked\n" +
		"by themselves; with -nodes they are also compared with the configuration in force.",
	examples:   []string{"validate customers.yaml entitlements.yaml", "validate -nodes 10.0.0.7:7403 *.yaml"},
	needsNodes: true,
	make:       func() runner { return &validate{} },
}

type validate struct{}

func (*validate) defineFlags(*flag.FlagSet) {}

func (*validate) run(ctx context.Context, s *session, args []string) error {
	files, err := readLists(args)
	if err != nil {
		return err
	}
	if err := checkLists(files); err != nil {
		return err
	}
	if s.options.nodes == "" {
		return s.print(admin.ValidateResult{Changes: []dynamic.Change{}}, func(w io.Writer) {
			fmt.Fprintln(w, "The lists are valid.")
		})
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	var result admin.ValidateResult
	if err := c.validate(ctx, files, &result); err != nil {
		return err
	}
	return s.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "The lists are valid. Compared with version %d in force:\n", result.CurrentVersion)
		printChanges(w, result.Changes)
	})
}

func (c *client) validate(ctx context.Context, files []dynamic.File, result *admin.ValidateResult) error {
	return c.sendToFirstAvailable(ctx, "POST", "/v1/configuration/validate", admin.ValidateRequest{Files: listFiles(files)}, result)
}

// readLists reads the named files.
func readLists(paths []string) ([]dynamic.File, error) {
	if len(paths) == 0 {
		return nil, usageError("name the files of both lists")
	}
	files := make([]dynamic.File, 0, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, usageError("%v", err)
		}
		files = append(files, dynamic.File{Name: path, Data: data})
	}
	return files, nil
}

// checkLists validates the lists before anything is sent. It does not check the
// finishing times of moves, because only a node knows which moves are active already.
func checkLists(files []dynamic.File) error {
	_, err := dynamic.Parse(files...)
	return err
}

func listFiles(files []dynamic.File) []admin.ListFile {
	return lo.Map(files, func(file dynamic.File, _ int) admin.ListFile {
		return admin.ListFile{Name: file.Name, Content: string(file.Data)}
	})
}

// maxShownChanges limits the changes that the text output lists.
const maxShownChanges = 50

func printChanges(w io.Writer, changes []dynamic.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "  no entry differs")
	}
	for i, change := range changes {
		if i == maxShownChanges {
			fmt.Fprintf(w, "  and %d more; -o json shows all\n", len(changes)-i)
			return
		}
		fmt.Fprintf(w, "  %s\n", change)
	}
}

var getCommand = command{
	name: "get", arguments: "[configuration|members|targets|status]", summary: "Show what one node knows",
	description: "The configuration in force is shown as the two lists, which can be edited and applied\n" +
		"again with its version as -base.",
	examples:   []string{"get > lists.yaml", "get members", "get targets -o json", "get status"},
	needsNodes: true,
	make:       func() runner { return &get{} },
}

type get struct{}

func (*get) defineFlags(*flag.FlagSet) {}

func (*get) run(ctx context.Context, s *session, args []string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	if len(args) > 1 {
		return usageError("get takes at most one argument")
	}
	switch lo.FirstOr(args, "configuration") {
	case "configuration":
		return fetchAndPrint(ctx, s, c, "/v1/configuration", printConfiguration)
	case "members":
		return fetchAndPrint(ctx, s, c, "/v1/members", printMembers)
	case "targets":
		return fetchAndPrint(ctx, s, c, "/v1/targets", printTargets)
	case "status":
		return fetchAndPrint(ctx, s, c, "/v1/status", printStatus)
	}
	return usageError("get has no argument %q; use configuration, members, targets or status", args[0])
}

// fetchAndPrint prints the response to a GET request of path.
func fetchAndPrint[T any](ctx context.Context, s *session, c *client, path string, printText func(io.Writer, T)) error {
	var response T
	if err := c.get(ctx, path, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) { printText(w, response) })
}

func printConfiguration(w io.Writer, c admin.Configuration) {
	if c.Version == 0 {
		fmt.Fprintln(w, "# no configuration is in force")
		return
	}
	fmt.Fprintf(w, "# azurespring configuration version %d\n%s---\n%s", c.Version, c.Customers, c.Entitlements)
}

func printMembers(w io.Writer, members []admin.Member) {
	table(w, "INSTANCE\tSTATE\tREGION\tFAILURE DOMAIN\tADDRESS\tADMINISTRATION\tTARGETS", members, func(m admin.Member) []any {
		return []any{m.Instance, m.State, m.Region, m.FailureDomain, m.Address, m.AdminAddress, m.TargetCount}
	})
}

func printTargets(w io.Writer, targets []admin.Target) {
	table(w, "SERVICE\tVERSION\tTARGET\tSTATE\tSLOTS\tINSTANCE\tFAILURE DOMAIN", targets, func(t admin.Target) []any {
		return []any{t.Service, t.Version, t.ID, t.State, t.Slots, t.Instance, t.FailureDomain}
	})
}

func printStatus(w io.Writer, s admin.Status) {
	ready := "yes"
	if !s.Ready {
		ready = "no, " + s.NotReady
	}
	rows := [][]any{
		{"instance", s.Instance},
		{"region", s.Region},
		{"failure domain", s.FailureDomain},
		{"program", s.ProgramVersion},
		{"started", s.Started.Format(time.RFC3339)},
		{"ready", ready},
		{"configuration", s.ConfigVersion},
		{"digest", s.ConfigDigest},
		{"control bytes sent", s.Traffic.ControlBytesSent},
		{"control bytes received", s.Traffic.ControlBytesReceived},
		{"of these to other regions", s.Traffic.CrossRegionBytesSent},
		{"of these from other regions", s.Traffic.CrossRegionBytesReceived},
	}
	for _, kind := range sortedKeys(s.PlatformCalls) {
		rows = append(rows, []any{"platform " + kind, s.PlatformCalls[kind]})
	}
	table(w, "", rows, func(row []any) []any { return row })
}
