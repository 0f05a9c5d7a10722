package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"time"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/report"
)

var reportCommand = command{
	name: "report", arguments: "DEPARTMENT", summary: "Show whether a department's promise held",
	description: "Each line is one period of the department. The page of -o html has plots over time; it\n" +
		"loads its plotting script from go-echarts.github.io.",
	examples:   []string{"report warehouse", "report -since 2160h treasury", "report -o html sales > sales.html"},
	needsNodes: true,
	make:       func() runner { return &reportRun{} },
}

type reportRun struct {
	since string
}

func (r *reportRun) defineFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.since, "since", "", "`time` such as 2026-05-01T00:00:00Z, or duration before now such as 720h; by default the newest periods")
}

func (r *reportRun) run(ctx context.Context, s *session, args []string) error {
	if len(args) != 1 {
		return usageError("name one department")
	}
	query, err := r.query(time.Now())
	if err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	var response admin.Report
	if err := c.get(ctx, "/v1/reports/"+url.PathEscape(args[0])+query, &response); err != nil {
		return err
	}
	switch {
	case s.options.output == outputJSON:
		return s.print(response, nil)
	case s.options.output == outputHTML:
		return report.WriteHTML(s.Stdout, response.Periods)
	case len(response.Periods) == 0:
		fmt.Fprintf(s.Stdout, "There are no periods of %s yet.\n", response.Department)
		return nil
	}
	return report.WriteTable(s.Stdout, response.Periods)
}

func (r *reportRun) query(now time.Time) (string, error) {
	if r.since == "" {
		return "", nil
	}
	since, err := time.Parse(time.RFC3339, r.since)
	if d, durationErr := time.ParseDuration(r.since); durationErr == nil && d > 0 {
		since = now.Add(-d)
	} else if err != nil {
		return "", usageError("-since %q is neither a time nor a duration", r.since)
	}
	return "?since=" + url.QueryEscape(since.UTC().Format(time.RFC3339)), nil
}
