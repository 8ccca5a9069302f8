// Package report writes the monthly figures of each pool, which are presented in
// the review meeting, as CSV or as a table.
package report

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// monthLayout is the time layout of MonthFigures.month.
const monthLayout = "2006-01"

const secondsPerHour = 3600

// Column is one column of the report.
type Column struct {
	Name  string // key of the title in the settings section [report-titles]
	Doc   string // how the figure is computed
	value func(f *fleetpb.MonthFigures) string
}

// Columns returns the columns in the order of the report.
func Columns() []Column {
	return []Column{
		{"month", "calendar month in UTC (`month`)", func(f *fleetpb.MonthFigures) string { return f.Month }},
		{"pool", "pool (`pool`)", func(f *fleetpb.MonthFigures) string { return f.Pool }},
		{"observed_hours", "`observed_seconds` / 3600", func(f *fleetpb.MonthFigures) string {
			return formatRatio(f.ObservedSeconds, secondsPerHour, 1, 1)
		}},
		{"promised_hosts", "mean promised hosts: `promised_host_seconds` / `observed_seconds`", func(f *fleetpb.MonthFigures) string {
			return formatRatio(f.PromisedHostSeconds, f.ObservedSeconds, 1, 2)
		}},
		{"buffer_hosts", "mean hosts above the promise: max(0, `total_host_seconds` - `promised_host_seconds`) / `observed_seconds`", func(f *fleetpb.MonthFigures) string {
			return formatRatio(bufferSeconds(f), f.ObservedSeconds, 1, 2)
		}},
		{"availability_percent", "100 × (`observed_seconds` - `below_promise_seconds`) / `observed_seconds`", func(f *fleetpb.MonthFigures) string {
			return formatRatio(f.ObservedSeconds-min(f.BelowPromiseSeconds, f.ObservedSeconds), f.ObservedSeconds, 100, 4)
		}},
		{"below_promise_seconds", "`below_promise_seconds`", func(f *fleetpb.MonthFigures) string { return formatCount(f.BelowPromiseSeconds) }},
		{"least_available_hosts", "fewest available hosts in any sample (`least_available_hosts`); empty without samples", func(f *fleetpb.MonthFigures) string {
			if f.ObservedSeconds == 0 {
				return ""
			}
			return formatCount(uint64(f.LeastAvailableHosts))
		}},
		{"host_moves", "`host_moves`", func(f *fleetpb.MonthFigures) string { return formatCount(f.HostMoves) }},
		{"hosts_maintained", "`hosts_maintained`", func(f *fleetpb.MonthFigures) string { return formatCount(f.HostsMaintained) }},
		{"waves_done", "`waves_done`", func(f *fleetpb.MonthFigures) string { return formatCount(f.WavesDone) }},
		{"wave_hours", "mean rollout time of a wave: `wave_seconds` / `waves_done` / 3600; empty without waves", func(f *fleetpb.MonthFigures) string {
			return formatRatio(f.WaveSeconds, f.WavesDone*secondsPerHour, 1, 2)
		}},
		{"requests", "`requests`", func(f *fleetpb.MonthFigures) string { return formatCount(f.Requests) }},
		{"rejected_percent", "100 × `refused` / `requests`; empty without requests", func(f *fleetpb.MonthFigures) string {
			return formatRatio(f.Refused, f.Requests, 100, 4)
		}},
		{"unknown", "non-idempotent requests whose outcome is unknown (`unknown`)", func(f *fleetpb.MonthFigures) string { return formatCount(f.Unknown) }},
		{"retried_percent", "100 × `retried` / `requests`; empty without requests", func(f *fleetpb.MonthFigures) string {
			return formatRatio(f.Retried, f.Requests, 100, 4)
		}},
		{"short_wait_p99_ms", "greatest sampled 99th percentile of the waiting time of short work, in ms (`short_wait_p99_ms`)", func(f *fleetpb.MonthFigures) string {
			return formatCount(uint64(f.ShortWaitP99Ms))
		}},
	}
}

// bufferSeconds returns the host seconds above the promise. It is 0 if the pool
// had fewer hosts than promised, because the unsigned difference would wrap
// around.
func bufferSeconds(f *fleetpb.MonthFigures) uint64 {
	return f.TotalHostSeconds - min(f.PromisedHostSeconds, f.TotalHostSeconds)
}

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }

// formatRatio returns factor × numerator / denominator. It returns an empty
// string if the denominator is zero, because the figure is then undefined.
func formatRatio(numerator, denominator uint64, factor float64, decimals int) string {
	if denominator == 0 {
		return ""
	}
	return strconv.FormatFloat(factor*float64(numerator)/float64(denominator), 'f', decimals, 64)
}

// ParseMonth returns an error if month is not of the form YYYY-MM.
func ParseMonth(month string) error {
	t, err := time.Parse(monthLayout, month)
	if err != nil || t.Format(monthLayout) != month {
		return errors.Errorf("month %q is not of the form YYYY-MM; write for example 2026-11", month)
	}
	return nil
}

// OfMonth returns the figures of one month, sorted by pool.
func OfMonth(all []*fleetpb.MonthFigures, month string) []*fleetpb.MonthFigures {
	var figures []*fleetpb.MonthFigures
	for _, f := range all {
		if f.GetMonth() == month {
			figures = append(figures, f)
		}
	}
	slices.SortFunc(figures, func(a, b *fleetpb.MonthFigures) int { return cmp.Compare(a.Pool, b.Pool) })
	return figures
}

// tableRows returns a header row with the titles, and one row for each element of
// figures. A column without an entry in titles has its name as the title.
func tableRows(figures []*fleetpb.MonthFigures, titles map[string]string) [][]string {
	columns := Columns()
	header := make([]string, len(columns))
	for i, c := range columns {
		header[i] = c.Name
		if title := titles[c.Name]; title != "" {
			header[i] = title
		}
	}
	table := [][]string{header}
	for _, f := range figures {
		row := make([]string, len(columns))
		for i, c := range columns {
			row[i] = c.value(f)
		}
		table = append(table, row)
	}
	return table
}

// WriteCSV writes the figures as CSV, one row per pool. titles maps the names of
// columns to their titles.
func WriteCSV(w io.Writer, figures []*fleetpb.MonthFigures, titles map[string]string) error {
	return errors.Wrap(csv.NewWriter(w).WriteAll(tableRows(figures, titles)), "write the report")
}

// WriteTable writes the figures as an aligned table. It has one line per figure
// and one column per pool, because the titles are too wide to fit into one line.
func WriteTable(w io.Writer, figures []*fleetpb.MonthFigures, titles map[string]string) error {
	table := tableRows(figures, titles)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for column := range table[0] {
		for i, row := range table {
			if i > 0 {
				fmt.Fprint(out, "\t")
			}
			fmt.Fprint(out, row[column])
		}
		fmt.Fprintln(out)
	}
	return errors.Wrap(out.Flush(), "write the report")
}

// Document returns the content of docs/report.md.
func Document() string {
	text := "# Monthly report\n\nGenerated from the table in `version/report/report.go` by `go test ./version/report -update`. " +
		"One row for each pool. Each figure is computed from the fields of `fleetpb.MonthFigures`; the settings section " +
		"`[report-titles]` maps each column to the office's title. A figure whose denominator is zero is empty.\n\n| column | computation |\n|---|---|\n"
	for _, c := range Columns() {
		text += fmt.Sprintf("| `%s` | %s |\n", c.Name, c.Doc)
	}
	return text
}
