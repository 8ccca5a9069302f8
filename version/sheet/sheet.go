// Package sheet parses and validates the CSV file that planners export, and
// computes the changes from the current state to it. The file is called a sheet
// and describes the desired state for the day; each row declares one pool,
// host, job, wave or team.
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

// Limits of a sheet. The system is designed for 16,000 hosts, each of
// which takes one row.
const (
	MaxBytes     = 16 << 20
	MaxRows      = 100_000
	MaxCellBytes = 64 << 10
	MaxFaults    = 200 // further faults are counted but not listed
)

// Values of the column "kind".
const (
	KindPool = "pool"
	KindHost = "host"
	KindJob  = "job"
	KindWave = "wave"
	KindTeam = "team"
)

// Column is one column of the sheet.
type Column struct {
	Name  string // key of the title in the settings section [sheet-titles]
	Doc   string
	Kinds string // kinds of rows that use the column, separated by spaces
}

// Columns returns all columns that a sheet may have. Only kind and name are
// required.
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

// Fault is an error in a sheet, with the remedy for the planner.
type Fault struct {
	Row     int    // line of the file, from 1; 0 for the file as a whole
	Column  string // title of the column in the file
	Message string
	Remedy  string
}

// String returns the row, column, message and remedy in one line.
func (f Fault) String() string {
	location := "sheet"
	if f.Row > 0 {
		location = fmt.Sprintf("row %d", f.Row)
	}
	if f.Column != "" {
		location += fmt.Sprintf(", column %q", f.Column)
	}
	return location + ": " + f.Message + "; " + f.Remedy
}

// FaultsError is returned for a sheet with at least one fault.
type FaultsError struct {
	Faults []Fault // at most MaxFaults
	Total  int     // number of all faults, also of those not listed
}

// Error lists the faults, one per line.
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

	titles map[string]string // column name to its title in the file
	rows   map[string]int    // "kind/name" to line of the file
}

// Options are the settings for parsing a sheet.
type Options struct {
	Titles map[string]string // column name to its title in the file; by default the title is the column name
}

// Parse reads and validates a sheet. If the sheet has faults, Parse returns no
// sheet and a *FaultsError. References between rows are validated only when
// every row can be parsed.
func Parse(r io.Reader, o Options) (*Sheet, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the sheet")
	}
	p := &parser{sheet: &Sheet{titles: titlesByColumn(o.Titles), rows: map[string]int{}}, faults: &FaultsError{}, columns: Columns()}
	p.parse(data)
	if p.faults.Total > 0 {
		return nil, p.faults
	}
	if err := p.sheet.Check(); err != nil {
		return nil, err
	}
	return p.sheet, nil
}

// titlesByColumn returns the title of every column: the one in mapped, or the
// column name if mapped has none.
func titlesByColumn(mapped map[string]string) map[string]string {
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
	sheet     *Sheet
	faults    *FaultsError
	positions map[string]int // column name to index in a record
	columns   []Column
}

func (p *parser) parse(data []byte) {
	if len(data) > MaxBytes {
		p.faults.add(0, "", fmt.Sprintf("is larger than %d bytes", MaxBytes), "remove rows and columns that are not needed")
		return
	}
	if !utf8.Valid(data) {
		p.faults.add(0, "", "is not UTF-8", "export it as CSV in UTF-8")
		return
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf")) // spreadsheet programs write a byte order mark
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
			p.faults.add(0, "", fmt.Sprintf("has more than %d rows", MaxRows), "remove rows that are not needed")
			return
		}
		row, _ := reader.FieldPos(0)
		p.readRow(row, len(header), record)
	}
	if len(p.sheet.rows) == 0 && p.faults.Total == 0 {
		// Without this check, applying an empty export would delete every object.
		p.faults.add(0, "", "has no rows", "export the sheet again; an empty sheet is never applied")
	}
}

// readHeader records the position of each column and reports whether the header
// is valid.
func (p *parser) readHeader(header []string) bool {
	nameByTitle := map[string]string{}
	for name, title := range p.sheet.titles {
		nameByTitle[title] = name
	}
	p.positions = map[string]int{}
	for i, title := range header {
		title = strings.TrimSpace(title)
		name, found := nameByTitle[title]
		if !found {
			p.faults.add(1, title, "is an unknown column", "remove it or map its title in [sheet-titles] of the settings")
			continue
		}
		if _, duplicate := p.positions[name]; duplicate {
			p.faults.add(1, title, "occurs twice", "remove one of the columns")
		}
		p.positions[name] = i
	}
	for _, name := range []string{"kind", "name"} {
		if _, ok := p.positions[name]; !ok {
			p.faults.add(1, p.sheet.titles[name], "is missing", "add the column or map its title in [sheet-titles] of the settings")
		}
	}
	return p.faults.Total == 0
}

func (p *parser) readRow(row, width int, record []string) {
	if len(record) != width {
		p.faults.add(row, "", fmt.Sprintf("has %d cells but the header has %d", len(record), width), "write one cell for each column in every row")
		return
	}
	if strings.TrimSpace(strings.Join(record, "")) == "" {
		return // spreadsheet programs export empty trailing rows
	}
	r := &rowParser{parser: p, row: row, record: record, used: map[string]bool{}}
	kind := strings.ToLower(r.text("kind"))
	name := r.name("name")
	if name == "" {
		return
	}
	if !p.readObject(r, kind, name) {
		p.faults.add(row, p.sheet.titles["kind"], fmt.Sprintf("%q is no kind of row", kind), "write pool, host, job, wave or team")
		return
	}
	r.checkUnused(kind)
	key := kind + "/" + name
	if first, duplicate := p.sheet.rows[key]; duplicate {
		p.faults.add(row, p.sheet.titles["name"], fmt.Sprintf("%s %q is already in row %d", kind, name, first), "remove one of the rows")
		return
	}
	p.sheet.rows[key] = row
}

// readObject adds the object of a row to the sheet. It returns false if the kind
// is unknown.
func (p *parser) readObject(r *rowParser, kind, name string) bool {
	s := p.sheet
	switch kind {
	case KindPool:
		s.Pools = append(s.Pools, r.parsePool(name))
	case KindHost:
		s.Hosts = append(s.Hosts, r.parseHost(name))
	case KindJob:
		s.Jobs = append(s.Jobs, r.parseJob(name))
	case KindWave:
		s.Waves = append(s.Waves, r.parseWave(name))
	case KindTeam:
		s.Teams = append(s.Teams, r.parseTeam(name))
	default:
		return false
	}
	return true
}
