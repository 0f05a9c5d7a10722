package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/rotisserie/eris"
)

// WriteTable writes reports as a plain table.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "department\tfrom\tto\tpromised\tactual\tpromise\tgood\tbad\trefused\tlimited")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.3f%%\t%.3f%%\t%s\t%d\t%d\t%d\t%d\n", r.Department,
			r.From.UTC().Format(time.RFC3339), r.To.UTC().Format(time.RFC3339), r.PromisedShare*100, r.GoodShare*100, r.Finding,
			r.Counts.Good, r.Counts.Bad, r.Counts.Refused, r.Counts.Limited)
	}
	return eris.Wrap(t.Flush(), "write report")
}

// WriteJSON writes reports as a JSON list.
func WriteJSON(w io.Writer, reports []Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(reports), "write report")
}

// WriteHTML writes reports as a page with two charts for each: the share of good
// calls together with the objective, and the calls by outcome.
func WriteHTML(w io.Writer, reports []Report) error {
	page := components.NewPage()
	page.PageTitle = "azurespring: promises of departments"
	for _, r := range reports {
		page.AddCharts(sharePlot(r), countPlot(r))
	}
	return eris.Wrap(page.Render(w), "write report")
}

// slotLabels returns the labels of the time axis.
func slotLabels(r Report) []string {
	var labels []string
	for _, slot := range r.Slots {
		labels = append(labels, slot.Start.Format("2006-01-02 15:04"))
	}
	return labels
}

func sharePlot(r Report) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{
			Title:    fmt.Sprintf("%s: promise %s", r.Department, r.Finding),
			Subtitle: fmt.Sprintf("%.3f%% of calls good, %.3f%% promised", r.GoodShare*100, r.PromisedShare*100),
		}),
		charts.WithYAxisOpts(opts.YAxis{Name: "good calls in %", Scale: opts.Bool(true)}),
	)
	var actual, promised []opts.LineData
	for _, slot := range r.Slots {
		goodShare, _ := evaluate(slot.Counts, r.PromisedShare)
		actual = append(actual, opts.LineData{Value: goodShare * 100})
		promised = append(promised, opts.LineData{Value: r.PromisedShare * 100})
	}
	line.SetXAxis(slotLabels(r)).AddSeries("actual", actual).AddSeries("promised", promised)
	return line
}

func countPlot(r Report) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: r.Department + ": calls by outcome"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "calls"}),
	)
	bar.SetXAxis(slotLabels(r))
	for _, series := range []struct {
		name  string
		count func(Counts) uint64
	}{
		{"good", func(c Counts) uint64 { return c.Good }},
		{"bad", func(c Counts) uint64 { return c.Bad }},
		{"refused", func(c Counts) uint64 { return c.Refused }},
		{"limited", func(c Counts) uint64 { return c.Limited }},
	} {
		var data []opts.BarData
		for _, slot := range r.Slots {
			data = append(data, opts.BarData{Value: series.count(slot.Counts)})
		}
		bar.AddSeries(series.name, data, charts.WithBarChartOpts(opts.BarChart{Stack: "calls"}))
	}
	return bar
}
