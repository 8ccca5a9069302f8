package sheet

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// MaxPercent is the greatest share of slots that a pool may keep for short work.
const MaxPercent = 90

// Names occur in URL paths and in task names, which contain a slash.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// cells reads the cells of one row and reports their faults.
type cells struct {
	p      *parser
	row    int
	record []string
	used   map[string]bool
}

func (c *cells) fault(column, message, remedy string) {
	c.p.faults.add(c.row, c.p.sheet.titles[column], message, remedy)
}

func (c *cells) text(column string) string {
	c.used[column] = true
	i, ok := c.p.columns[column]
	if !ok {
		return ""
	}
	value := strings.TrimSpace(c.record[i])
	if len(value) > MaxCellBytes {
		c.fault(column, fmt.Sprintf("is longer than %d bytes", MaxCellBytes), "shorten it")
		return ""
	}
	return value
}

func (c *cells) name(column string) string {
	value := c.text(column)
	if !namePattern.MatchString(value) {
		c.fault(column, fmt.Sprintf("%q is not a name", value), "use 1 to 63 letters, digits, '-', '_' and '.'")
		return ""
	}
	return value
}

func (c *cells) optionalName(column string) string {
	if c.text(column) == "" {
		return ""
	}
	return c.name(column)
}

func (c *cells) number(column string) uint32 {
	value := c.text(column)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		c.fault(column, fmt.Sprintf("%q is not a whole number", value), "write a whole number of 0 or more, without unit or separators")
		return 0
	}
	return uint32(n)
}

func (c *cells) percent(column string) uint32 {
	n := c.number(column)
	if n > MaxPercent {
		c.fault(column, fmt.Sprintf("%d is too large", n), fmt.Sprintf("write 0 to %d", MaxPercent))
		return 0
	}
	return n
}

func (c *cells) flag(column string) bool {
	value := strings.ToLower(c.text(column))
	switch value {
	case "yes", "true", "1":
		return true
	case "", "no", "false", "0":
		return false
	}
	c.fault(column, fmt.Sprintf("%q is neither yes nor no", value), "write yes or no")
	return false
}

func (c *cells) time(column string) int64 {
	value := c.text(column)
	if value == "" {
		return 0
	}
	t, err := time.Parse(time.RFC3339, value)
	if err != nil || t.UnixMilli() <= 0 {
		c.fault(column, fmt.Sprintf("%q is not a time with an offset", value), "write a time such as 2026-12-04T22:00:00+08:00")
		return 0
	}
	return t.UnixMilli()
}

func (c *cells) nameList(column string) []string {
	list := strings.Fields(c.text(column))
	seen := map[string]bool{}
	for _, one := range list {
		if !namePattern.MatchString(one) {
			c.fault(column, fmt.Sprintf("%q is not a name", one), "separate names by spaces")
		}
		if seen[one] {
			c.fault(column, fmt.Sprintf("%q is there twice", one), "remove one")
		}
		seen[one] = true
	}
	return list
}

// checkUnused reports a value in a column that the kind of row does not use,
// because it would otherwise be ignored silently.
func (c *cells) checkUnused(kind string) {
	for _, column := range c.p.known {
		i, present := c.p.columns[column.Name]
		if !present || c.used[column.Name] || strings.TrimSpace(c.record[i]) == "" {
			continue
		}
		c.fault(column.Name, fmt.Sprintf("has a value, but a %s does not use it", kind), "clear the cell")
	}
}

func (c *cells) pool(name string) *fleetpb.Pool {
	return &fleetpb.Pool{
		Name:              name,
		Service:           c.optionalName("service"),
		Spare:             c.flag("spare"),
		PromisedHosts:     c.number("promised_hosts"),
		SurviveRack:       c.flag("survive_rack"),
		SurviveZone:       c.flag("survive_zone"),
		SurviveWave:       c.flag("survive_wave"),
		MaxOut:            c.number("max_out"),
		ShortSlotsPercent: c.percent("short_slots_percent"),
		LongThresholdMs:   c.number("long_threshold_ms"),
		DefaultDeadlineMs: c.number("default_deadline_ms"),
		MayWait:           c.flag("may_wait"),
	}
}

func (c *cells) host(name string) *fleetpb.Host {
	return &fleetpb.Host{
		Name: name, Pool: c.name("pool"),
		Rack: c.name("rack"), Zone: c.name("zone"), Region: c.optionalName("region"),
		Cores: c.number("cores"), MemoryGb: c.number("memory_gb"), Accelerators: c.number("accelerators"),
	}
}

func (c *cells) job(name string) *fleetpb.Job {
	return &fleetpb.Job{
		Name: name, Pool: c.name("pool"), Team: c.name("team"), Count: c.number("count"),
		Cores: c.number("cores"), MemoryGb: c.number("memory_gb"), Accelerators: c.number("accelerators"),
		Urgent: c.flag("urgent"), RunSeconds: c.number("run_seconds"),
	}
}

func (c *cells) wave(name string) *fleetpb.Wave {
	return &fleetpb.Wave{
		Name: name, Hosts: c.nameList("hosts"),
		NotBeforeUnixMs: c.time("not_before"), DeadlineUnixMs: c.time("deadline"),
	}
}

func (c *cells) team(name string) *fleetpb.Team {
	return &fleetpb.Team{
		Name: name, QuotaCores: c.number("cores"),
		QuotaMemoryGb: c.number("memory_gb"), QuotaAccelerators: c.number("accelerators"),
	}
}
