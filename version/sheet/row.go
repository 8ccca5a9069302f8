package sheet

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// MaxShortSlotsPercent is the largest share of slots, in percent, that a pool
// may reserve for short work.
const MaxShortSlotsPercent = 90

// namePattern excludes the slash because names are used in URL paths and in
// task names, where a slash is the separator.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// rowParser converts the cells of one row and records their faults.
type rowParser struct {
	parser *parser
	row    int
	record []string
	used   map[string]bool // columns that were read
}

func (r *rowParser) fault(column, message, remedy string) {
	r.parser.faults.add(r.row, r.parser.sheet.titles[column], message, remedy)
}

// text returns the trimmed cell, or "" if the sheet does not have the column.
func (r *rowParser) text(column string) string {
	r.used[column] = true
	i, ok := r.parser.positions[column]
	if !ok {
		return ""
	}
	value := strings.TrimSpace(r.record[i])
	if len(value) > MaxCellBytes {
		r.fault(column, fmt.Sprintf("is longer than %d bytes", MaxCellBytes), "shorten it")
		return ""
	}
	return value
}

func (r *rowParser) name(column string) string {
	value := r.text(column)
	if !namePattern.MatchString(value) {
		r.fault(column, fmt.Sprintf("%q is not a name", value), "use 1 to 63 letters, digits, '-', '_' and '.'")
		return ""
	}
	return value
}

func (r *rowParser) optionalName(column string) string {
	if r.text(column) == "" {
		return ""
	}
	return r.name(column)
}

func (r *rowParser) number(column string) uint32 {
	value := r.text(column)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		r.fault(column, fmt.Sprintf("%q is not a whole number", value), "write a whole number of 0 or more, without unit or separators")
		return 0
	}
	return uint32(n)
}

func (r *rowParser) percent(column string) uint32 {
	n := r.number(column)
	if n > MaxShortSlotsPercent {
		r.fault(column, fmt.Sprintf("%d is too large", n), fmt.Sprintf("write a percentage from 0 to %d", MaxShortSlotsPercent))
		return 0
	}
	return n
}

func (r *rowParser) flag(column string) bool {
	value := strings.ToLower(r.text(column))
	switch value {
	case "yes", "true", "1":
		return true
	case "", "no", "false", "0":
		return false
	}
	r.fault(column, fmt.Sprintf("%q is neither yes nor no", value), "write yes or no")
	return false
}

func (r *rowParser) time(column string) int64 {
	value := r.text(column)
	if value == "" {
		return 0
	}
	t, err := time.Parse(time.RFC3339, value)
	if err != nil || t.UnixMilli() <= 0 {
		r.fault(column, fmt.Sprintf("%q is not a time with an offset", value), "write a time such as 2026-12-04T22:00:00+08:00")
		return 0
	}
	return t.UnixMilli()
}

func (r *rowParser) nameList(column string) []string {
	list := strings.Fields(r.text(column))
	seen := map[string]bool{}
	for _, name := range list {
		if !namePattern.MatchString(name) {
			r.fault(column, fmt.Sprintf("%q is not a name", name), "separate names by spaces")
		}
		if seen[name] {
			r.fault(column, fmt.Sprintf("%q is listed twice", name), "remove one")
		}
		seen[name] = true
	}
	return list
}

// checkUnused records a fault for each value in a column that was not read for
// this kind of row. Such a value would otherwise be ignored silently.
func (r *rowParser) checkUnused(kind string) {
	for _, column := range r.parser.columns {
		i, ok := r.parser.positions[column.Name]
		if !ok || r.used[column.Name] || strings.TrimSpace(r.record[i]) == "" {
			continue
		}
		r.fault(column.Name, fmt.Sprintf("has a value, but a %s does not use it", kind), "clear the cell")
	}
}

func (r *rowParser) parsePool(name string) *fleetpb.Pool {
	return &fleetpb.Pool{
		Name:              name,
		Service:           r.optionalName("service"),
		Spare:             r.flag("spare"),
		PromisedHosts:     r.number("promised_hosts"),
		SurviveRack:       r.flag("survive_rack"),
		SurviveZone:       r.flag("survive_zone"),
		SurviveWave:       r.flag("survive_wave"),
		MaxOut:            r.number("max_out"),
		ShortSlotsPercent: r.percent("short_slots_percent"),
		LongThresholdMs:   r.number("long_threshold_ms"),
		DefaultDeadlineMs: r.number("default_deadline_ms"),
		MayWait:           r.flag("may_wait"),
	}
}

func (r *rowParser) parseHost(name string) *fleetpb.Host {
	return &fleetpb.Host{
		Name: name, Pool: r.name("pool"),
		Rack: r.name("rack"), Zone: r.name("zone"), Region: r.optionalName("region"),
		Cores: r.number("cores"), MemoryGb: r.number("memory_gb"), Accelerators: r.number("accelerators"),
	}
}

func (r *rowParser) parseJob(name string) *fleetpb.Job {
	return &fleetpb.Job{
		Name: name, Pool: r.name("pool"), Team: r.name("team"), Count: r.number("count"),
		Cores: r.number("cores"), MemoryGb: r.number("memory_gb"), Accelerators: r.number("accelerators"),
		Urgent: r.flag("urgent"), RunSeconds: r.number("run_seconds"),
	}
}

func (r *rowParser) parseWave(name string) *fleetpb.Wave {
	return &fleetpb.Wave{
		Name: name, Hosts: r.nameList("hosts"),
		NotBeforeUnixMs: r.time("not_before"), DeadlineUnixMs: r.time("deadline"),
	}
}

func (r *rowParser) parseTeam(name string) *fleetpb.Team {
	return &fleetpb.Team{
		Name: name, QuotaCores: r.number("cores"),
		QuotaMemoryGb: r.number("memory_gb"), QuotaAccelerators: r.number("accelerators"),
	}
}
