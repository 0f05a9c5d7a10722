package ctl

import (
	"context"
	_ "embed"
	"flag"
	"fmt"
	"html/template"
	"io"
	"net/url"
	"time"

	"github.com/azurespring/azurespring/pkg/admin"
)

var reportCommand = command{
	name: "report", arguments: "DEPARTMENT", summary: "Show whether a department's promise held",
	description: "Each line is one period of the department. With -o html the report is one file without\n" +
		"references to others.",
	examples:   []string{"report warehouse", "report -since 2160h treasury", "report -o html sales > sales.html"},
	needsNodes: true,
	make:       func() runner { return &report{} },
}

type report struct {
	since string
}

func (r *report) define(flags *flag.FlagSet) {
	flags.StringVar(&r.since, "since", "", "`time` such as 2026-05-01T00:00:00Z, or duration before now such as 720h; by default all that is kept")
}

func (r *report) run(ctx context.Context, s *session, args []string) error {
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
	var answer admin.Report
	if err := c.get(ctx, "/v1/reports/"+url.PathEscape(args[0])+query, &answer); err != nil {
		return err
	}
	if s.options.output == outputHTML {
		return reportPage.Execute(s.Stdout, answer)
	}
	return s.print(answer, func(w io.Writer) { printReport(w, answer) })
}

func (r *report) query(now time.Time) (string, error) {
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

func printReport(w io.Writer, r admin.Report) {
	if len(r.Periods) == 0 {
		fmt.Fprintf(w, "There are no periods of %s yet.\n", r.Department)
		return
	}
	table(w, "BEGIN\tEND\tGOOD\tBAD\tREFUSED\tSHARE\tPROMISED\tHELD", r.Periods, func(p admin.Period) []any {
		return []any{
			p.Start.Format(time.RFC3339), p.End.Format(time.RFC3339), p.Good, p.Bad, p.Refused,
			percent(p.Share), percent(p.Promised), verdictOf(p),
		}
	})
}

func verdictOf(p admin.Period) string {
	text := "no"
	if p.Held {
		text = "yes"
	}
	if !p.Complete {
		text += ", incomplete"
	}
	return text
}

//go:embed report.html
var reportHTML string

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent, "verdict": verdictOf, "time": func(t time.Time) string { return t.Format(time.RFC3339) },
}).Parse(reportHTML))
