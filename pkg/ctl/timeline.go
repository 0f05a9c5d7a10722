package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/timeline"
)

var timelineCommand = command{
	name: "timeline", arguments: "[LOGFILE...]", summary: "Show the events of many processes in causal order",
	description: "Events come from log files of JSON lines if any are named, else from the nodes: those in\n" +
		"-nodes and, unless -members=false, all members that they know. With -o json each event is one line.",
	examples: []string{
		"timeline -config-version 42", "timeline -move stock -limit 50", "timeline -request-id 7d0a n1.log n2.log",
	},
	needsNodes: true,
	make:       func() runner { return &timelineRun{} },
}

// defaultTimelineLimit is the default of -limit: the number of events that are
// shown and requested from each node.
const defaultTimelineLimit = 1000

type timelineRun struct {
	filter  timeline.Filter
	kind    string
	members bool
}

func (t *timelineRun) defineFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&t.filter.ConfigVersion, "config-version", 0, "only events of this configuration `version`")
	flags.StringVar(&t.filter.Move, "move", "", "only events of this move: `service` or service/version")
	flags.StringVar(&t.filter.RequestID, "request-id", "", "only events of the call with this `id`")
	flags.StringVar(&t.filter.Instance, "instance", "", "only events of the instance with this `name`")
	flags.StringVar(&t.kind, "kind", "", "only events of this `kind`, such as config-activated")
	flags.IntVar(&t.filter.Limit, "limit", defaultTimelineLimit, "largest `number` of events; the newest are kept")
	flags.BoolVar(&t.members, "members", true, "ask all members that the nodes know")
}

func (t *timelineRun) run(ctx context.Context, s *session, files []string) error {
	if t.filter.Limit < 1 || t.filter.Limit > 10*defaultTimelineLimit {
		return usageError("-limit must be from 1 to %d", 10*defaultTimelineLimit)
	}
	t.filter.Kind = timeline.Kind(t.kind)
	var sources [][]timeline.Event
	var err error
	if len(files) > 0 {
		sources, err = t.readFiles(s, files)
	} else {
		sources, err = t.fetchFromNodes(ctx, s)
	}
	if err != nil {
		return err
	}
	events := t.filter.Select(timeline.Merge(sources...))
	if s.options.output == outputJSON {
		encoder := json.NewEncoder(s.Stdout)
		for _, event := range events {
			if err := encoder.Encode(event); err != nil {
				return err
			}
		}
		return nil
	}
	printEvents(s.Stdout, events)
	return nil
}

func (t *timelineRun) readFiles(s *session, paths []string) ([][]timeline.Event, error) {
	var sources [][]timeline.Event
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError("%v", err)
		}
		events, skipped, err := timeline.ReadLog(file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if len(events) == 0 {
			s.progress("%s contains no events (%d other lines)", path, skipped)
		}
		sources = append(sources, t.filter.Select(timeline.Merge(events)))
	}
	return sources, nil
}

// fetchFromNodes collects the events of all nodes that respond and prints the
// errors of those that do not.
func (t *timelineRun) fetchFromNodes(ctx context.Context, s *session) ([][]timeline.Event, error) {
	c, err := s.client()
	if err != nil {
		return nil, err
	}
	addresses, err := t.addresses(ctx, c)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var sources [][]timeline.Event
	var errs []error
	forEachParallel(addresses, func(address string) {
		var events []timeline.Event
		err := c.call(ctx, address, "GET", "/v1/timeline?"+t.query(), nil, &events)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", address, err))
			return
		}
		sources = append(sources, events)
	})
	if len(sources) == 0 {
		return nil, unavailableError(errs)
	}
	for _, err := range errs {
		s.progress("events are missing: %v", err)
	}
	return sources, nil
}

// addresses returns the administration addresses of the members that the first
// responding node knows or, with -members=false, the addresses in -nodes.
func (t *timelineRun) addresses(ctx context.Context, c *client) ([]string, error) {
	if !t.members {
		return c.nodes, nil
	}
	var members []admin.Member
	if err := c.get(ctx, "/v1/members", &members); err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.AdminAddress)
	}
	return addresses, nil
}

func (t *timelineRun) query() string {
	query := url.Values{"limit": {strconv.Itoa(t.filter.Limit)}}
	if t.filter.ConfigVersion != 0 {
		query.Set("configVersion", strconv.FormatUint(t.filter.ConfigVersion, 10))
	}
	for name, value := range map[string]string{
		"move": t.filter.Move, "requestId": t.filter.RequestID, "instance": t.filter.Instance, "kind": t.kind,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return query.Encode()
}

func printEvents(w io.Writer, events []timeline.Event) {
	table(w, "TIME\tINSTANCE\tEVENT\tDETAILS", events, func(e timeline.Event) []any {
		at := time.UnixMilli(e.Time.Millis).UTC().Format("2006-01-02T15:04:05.000Z")
		return []any{fmt.Sprintf("%s+%d", at, e.Time.Counter), e.Instance, e.Kind, formatDetails(e)}
	})
}

func formatDetails(e timeline.Event) string {
	var parts []string
	if e.ConfigVersion != 0 {
		parts = append(parts, fmt.Sprintf("configVersion=%d", e.ConfigVersion))
	}
	if e.Move != "" {
		parts = append(parts, "move="+e.Move)
	}
	if e.RequestID != "" {
		parts = append(parts, "requestId="+e.RequestID)
	}
	for _, name := range sortedKeys(e.Fields) {
		parts = append(parts, name+"="+e.Fields[name])
	}
	return strings.Join(parts, " ")
}
