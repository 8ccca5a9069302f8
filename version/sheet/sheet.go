// Package sheet reads the planners' CSV export, checks it and compares it with
// the current state. A sheet is the desired state of the day.
package sheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Bounds of a sheet. The design scale has 16,000 hosts.
const (
	MaxBytes     = 16 << 20
	MaxRows      = 100_000
	MaxCellBytes = 64 << 10
	MaxFaults    = 200 // further faults are only counted
)

// Kinds of rows.
const (
	KindPool = "pool"
	KindHost = "host"
	KindJob  = "job"
	KindWave = "wave"
	KindTeam = "team"
)

// Column is one column of the sheet.
type Column struct {
	Name  string // key of the title in the settings
	Doc   string
	Kinds string // kinds of rows that use the column, separated by spaces
}

// Columns returns all columns. Only kind and name must be present.
func Columns() []Column {
	return []Column{
		{"kind", "kind of the row: pool, host, job, wave or team", "pool host job wave team"},
		{"name", "name of the object, unique among its kind", "pool host job wave team"},
		{"pool", "pool of a host or job", "host job"},
		{"service", "service of a pool; empty for the spare pool", "pool"},
		{"spare", "whether the pool is the spare pool: yes or no", "pool"},
		{"promised_hosts", "hosts of a pool that must be available at any moment", "pool"},
		{"survive_rack", "whether the pool tolerates the loss of a rack: yes or no", "pool"},
		{"survive_zone", "whether the pool tolerates the loss of an availability zone: yes or no", "pool"},
		{"survive_wave", "whether the pool tolerates the loss of a wave's hosts: yes or no", "pool"},
		{"max_out", "most hosts of a pool that a wave may have out at once; 0: as the budget allows", "pool"},
		{"short_slots_percent", "share of slots kept for short work, in percent", "pool"},
		{"long_threshold_ms", "run time above which work is long, in ms", "pool"},
		{"default_deadline_ms", "deadline of a request without one, in ms", "pool"},
		{"may_wait", "whether work may be delayed in favour of other services: yes or no", "pool"},
		{"rack", "rack of a host", "host"},
		{"zone", "availability zone of a host", "host"},
		{"region", "region of a host", "host"},
		{"cores", "cores of a host, of each instance of a job, or of a team's quota", "host job team"},
		{"memory_gb", "memory in GB of a host, of each instance of a job, or of a team's quota", "host job team"},
		{"accelerators", "accelerators of a host, of each instance of a job, or of a team's quota", "host job team"},
		{"team", "team of a job", "job"},
		{"count", "instances of a job", "job"},
		{"urgent", "whether a job is urgent: yes or no", "job"},
		{"run_seconds", "declared run time of a job in s; 0: until it is removed", "job"},
		{"hosts", "hosts of a wave, separated by spaces", "wave"},
		{"not_before", "earliest start of a wave, such as 2026-12-04T22:00:00+08:00", "wave"},
		{"deadline", "deadline of a wave, such as 2026-12-05T06:00:00+08:00", "wave"},
	}
}

// Fault is one fault of a sheet.
type Fault struct {
	Row     int    // line of the file, from 1; 0 for the file as a whole
	Column  string // the office's title
	Message string
	Remedy  string
}

// String names row, column and remedy.
func (f Fault) String() string {
	where := "sheet"
	if f.Row > 0 {
		where = fmt.Sprintf("row %d", f.Row)
	}
	if f.Column != "" {
		where += fmt.Sprintf(", column %q", f.Column)
	}
	return where + ": " + f.Message + "; " + f.Remedy
}

// FaultsError lists the faults of a sheet.
type FaultsError struct {
	Faults []Fault // at most MaxFaults
	Total  int
}

// Error lists the faults, one a line.
func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sheet has %d fault(s):", e.Total)
	for _, f := range e.Faults {
		b.WriteString("\n  " + f.String())
	}
	if e.Total > len(e.Faults) {
		fmt.Fprintf(&b, "\n  and %d more", e.Total-len(e.Faults))
	}
	return b.String()
}

func (e *FaultsError) add(row int, column, message, remedy string) {
	e.Total++
	if len(e.Faults) < MaxFaults {
		e.Faults = append(e.Faults, Fault{row, column, message, remedy})
	}
}

// Sheet is a parsed sheet.
type Sheet struct {
	Pools []*fleetpb.Pool
	Hosts []*fleetpb.Host
	Jobs  []*fleetpb.Job
	Waves []*fleetpb.Wave
	Teams []*fleetpb.Team

	titles map[string]string // column to title
	rows   map[string]int    // kind/name to row
}

// Options are the limits and titles of a sheet.
type Options struct {
	Titles map[string]string // column to the office's title; a missing one is the column's name
}

// Parse reads and checks a sheet. On a fault it returns a *FaultsError that
// lists every fault, and no sheet.
func Parse(r io.Reader, o Options) (*Sheet, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the sheet")
	}
	p := &parser{sheet: &Sheet{titles: titlesOf(o.Titles), rows: map[string]int{}}, faults: &FaultsError{}, known: Columns()}
	p.parse(data)
	if p.faults.Total > 0 {
		return nil, p.faults
	}
	if err := p.sheet.Check(); err != nil {
		return nil, err
	}
	return p.sheet, nil
}

func titlesOf(mapped map[string]string) map[string]string {
	titles := map[string]string{}
	for _, c := range Columns() {
		titles[c.Name] = c.Name
		if title := mapped[c.Name]; title != "" {
			titles[c.Name] = title
		}
	}
	return titles
}

type parser struct {
	sheet   *Sheet
	faults  *FaultsError
	columns map[string]int // column name to position
	known   []Column
}

func (p *parser) parse(data []byte) {
	if len(data) > MaxBytes {
		p.faults.add(0, "", fmt.Sprintf("is larger than %d bytes", MaxBytes), "split off what is not needed")
		return
	}
	if !utf8.Valid(data) {
		p.faults.add(0, "", "is not UTF-8", "export it as CSV in UTF-8")
		return
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf")) // spreadsheets write a byte order mark
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	header, err := reader.Read()
	if err != nil {
		p.faults.add(1, "", "has no readable header: "+err.Error(), "write the column titles into the first row")
		return
	}
	if !p.readHeader(header) {
		return
	}
	for n := 0; ; n++ {
		record, err := reader.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			row := 0
			var syntax *csv.ParseError
			if errors.As(err, &syntax) {
				row = syntax.StartLine
			}
			p.faults.add(row, "", "is not CSV: "+err.Error(), "correct the quotes of the row")
			return
		}
		if n >= MaxRows {
			p.faults.add(0, "", fmt.Sprintf("has more than %d rows", MaxRows), "split off what is not needed")
			return
		}
		row, _ := reader.FieldPos(0)
		p.readRow(row, len(header), record)
	}
	if len(p.sheet.rows) == 0 && p.faults.Total == 0 {
		// An empty export would otherwise ask for the deletion of everything.
		p.faults.add(0, "", "has no rows", "export the sheet again; an empty sheet is never applied")
	}
}

func (p *parser) readHeader(header []string) bool {
	byTitle := map[string]string{}
	for name, title := range p.sheet.titles {
		byTitle[title] = name
	}
	p.columns = map[string]int{}
	for i, title := range header {
		title = strings.TrimSpace(title)
		name, known := byTitle[title]
		if !known {
			p.faults.add(1, title, "is an unknown column", "remove it or map its title in [sheet-titles] of the settings")
			continue
		}
		if _, twice := p.columns[name]; twice {
			p.faults.add(1, title, "is there twice", "remove one of the columns")
		}
		p.columns[name] = i
	}
	for _, name := range []string{"kind", "name"} {
		if _, ok := p.columns[name]; !ok {
			p.faults.add(1, p.sheet.titles[name], "is missing", "add the column or map its title in [sheet-titles] of the settings")
		}
	}
	return p.faults.Total == 0
}

func (p *parser) readRow(row, width int, record []string) {
	if len(record) != width {
		p.faults.add(row, "", fmt.Sprintf("has %d cells but the header has %d", len(record), width), "give every row one cell for each column")
		return
	}
	if strings.TrimSpace(strings.Join(record, "")) == "" {
		return // spreadsheets export empty trailing rows
	}
	c := &cells{p: p, row: row, record: record, used: map[string]bool{}}
	kind := strings.ToLower(c.text("kind"))
	name := c.name("name")
	if name == "" {
		return
	}
	if !p.readObject(c, kind, name) {
		p.faults.add(row, p.sheet.titles["kind"], fmt.Sprintf("%q is no kind of row", kind), "write pool, host, job, wave or team")
		return
	}
	c.checkUnused(kind)
	key := kind + "/" + name
	if first, twice := p.sheet.rows[key]; twice {
		p.faults.add(row, p.sheet.titles["name"], fmt.Sprintf("%s %q is already in row %d", kind, name, first), "remove one of the rows")
		return
	}
	p.sheet.rows[key] = row
}

func (p *parser) readObject(c *cells, kind, name string) bool {
	s := p.sheet
	switch kind {
	case KindPool:
		s.Pools = append(s.Pools, c.pool(name))
	case KindHost:
		s.Hosts = append(s.Hosts, c.host(name))
	case KindJob:
		s.Jobs = append(s.Jobs, c.job(name))
	case KindWave:
		s.Waves = append(s.Waves, c.wave(name))
	case KindTeam:
		s.Teams = append(s.Teams, c.team(name))
	default:
		return false
	}
	return true
}
