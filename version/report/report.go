// Package report renders the monthly figures of the review meeting.
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

// monthLayout is the form of MonthFigures.month.
const monthLayout = "2006-01"

const secondsPerHour = 3600

// Column is one column of the report.
type Column struct {
	Name  string // key of the title in the settings
	Doc   string // how the figure is computed
	value func(f *fleetpb.MonthFigures) string
}

// Columns returns the columns in the order of the report.
func Columns() []Column {
	return []Column{
		{"month", "calendar month in UTC (`month`)", func(f *fleetpb.MonthFigures) string { return f.Month }},
		{"pool", "pool (`pool`)", func(f *fleetpb.MonthFigures) string { return f.Pool }},
		{"observed_hours", "`observed_seconds` / 3600", func(f *fleetpb.MonthFigures) string {
			return ratio(f.ObservedSeconds, secondsPerHour, 1, 1)
		}},
		{"promised_hosts", "mean promised hosts: `promised_host_seconds` / `observed_seconds`", func(f *fleetpb.MonthFigures) string {
			return ratio(f.PromisedHostSeconds, f.ObservedSeconds, 1, 2)
		}},
		{"buffer_hosts", "mean hosts above the promise: max(0, `total_host_seconds` - `promised_host_seconds`) / `observed_seconds`", func(f *fleetpb.MonthFigures) string {
			return ratio(bufferSeconds(f), f.ObservedSeconds, 1, 2)
		}},
		{"availability_percent", "100 × (`observed_seconds` - `below_promise_seconds`) / `observed_seconds`", func(f *fleetpb.MonthFigures) string {
			return ratio(f.ObservedSeconds-min(f.BelowPromiseSeconds, f.ObservedSeconds), f.ObservedSeconds, 100, 4)
		}},
		{"below_promise_seconds", "`below_promise_seconds`", func(f *fleetpb.MonthFigures) string { return count(f.BelowPromiseSeconds) }},
		{"least_available_hosts", "fewest available hosts in any sample (`least_available_hosts`); empty without samples", func(f *fleetpb.MonthFigures) string {
			if f.ObservedSeconds == 0 {
				return ""
			}
			return count(uint64(f.LeastAvailableHosts))
		}},
		{"host_moves", "`host_moves`", func(f *fleetpb.MonthFigures) string { return count(f.HostMoves) }},
		{"hosts_maintained", "`hosts_maintained`", func(f *fleetpb.MonthFigures) string { return count(f.HostsMaintained) }},
		{"waves_done", "`waves_done`", func(f *fleetpb.MonthFigures) string { return count(f.WavesDone) }},
		{"wave_hours", "mean rollout time of a wave: `wave_seconds` / `waves_done` / 3600; empty without waves", func(f *fleetpb.MonthFigures) string {
			return ratio(f.WaveSeconds, f.WavesDone*secondsPerHour, 1, 2)
		}},
		{"requests", "`requests`", func(f *fleetpb.MonthFigures) string { return count(f.Requests) }},
		{"rejected_percent", "100 × `refused` / `requests`; empty without requests", func(f *fleetpb.MonthFigures) string {
			return ratio(f.Refused, f.Requests, 100, 4)
		}},
		{"unknown", "non-idempotent requests whose outcome is unknown (`unknown`)", func(f *fleetpb.MonthFigures) string { return count(f.Unknown) }},
		{"retried_percent", "100 × `retried` / `requests`; empty without requests", func(f *fleetpb.MonthFigures) string {
			return ratio(f.Retried, f.Requests, 100, 4)
		}},
		{"short_wait_p99_ms", "greatest sampled 99th percentile of the waiting time of short work, in ms (`short_wait_p99_ms`)", func(f *fleetpb.MonthFigures) string {
			return count(uint64(f.ShortWaitP99Ms))
		}},
	}
}

func bufferSeconds(f *fleetpb.MonthFigures) uint64 {
	return f.TotalHostSeconds - min(f.PromisedHostSeconds, f.TotalHostSeconds)
}

func count(n uint64) string { return strconv.FormatUint(n, 10) }

// ratio is empty when the denominator is zero, so that no figure is invented.
func ratio(numerator, denominator uint64, factor float64, decimals int) string {
	if denominator == 0 {
		return ""
	}
	return strconv.FormatFloat(factor*float64(numerator)/float64(denominator), 'f', decimals, 64)
}

// ParseMonth checks a month of the form YYYY-MM.
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

// rows returns the titles and one row for each of the figures.
func rows(figures []*fleetpb.MonthFigures, titles map[string]string) [][]string {
	columns := Columns()
	head := make([]string, len(columns))
	for i, c := range columns {
		head[i] = c.Name
		if title := titles[c.Name]; title != "" {
			head[i] = title
		}
	}
	table := [][]string{head}
	for _, f := range figures {
		row := make([]string, len(columns))
		for i, c := range columns {
			row[i] = c.value(f)
		}
		table = append(table, row)
	}
	return table
}

// WriteCSV writes the figures as CSV with the given titles.
func WriteCSV(w io.Writer, figures []*fleetpb.MonthFigures, titles map[string]string) error {
	return errors.Wrap(csv.NewWriter(w).WriteAll(rows(figures, titles)), "write the report")
}

// WriteTable writes the figures as an aligned table, one line for each figure
// and one column for each pool, because the titles are too wide for one line.
func WriteTable(w io.Writer, figures []*fleetpb.MonthFigures, titles map[string]string) error {
	table := rows(figures, titles)
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

// Document returns docs/report.md.
func Document() string {
	text := "# Monthly report\n\nGenerated from the table in `version/report/report.go` by `go test ./version/report -update`. " +
		"One row for each pool. Each figure is computed from the fields of `fleetpb.MonthFigures`; the settings section " +
		"`[report-titles]` maps each column to the office's title. A figure whose denominator is zero is empty.\n\n| column | computation |\n|---|---|\n"
	for _, c := range Columns() {
		text += fmt.Sprintf("| `%s` | %s |\n", c.Name, c.Doc)
	}
	return text
}
