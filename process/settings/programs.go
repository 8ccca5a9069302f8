package settings

import (
	"net/netip"
	"slices"
	"time"
)

// ParseControl reads the settings of marjoramtiller-control. Its error is a
// *FaultsError.
func ParseControl(data []byte) (*Control, error) {
	v := load(data, ControlProgram)
	c := &Control{
		Identity:          v.identity(),
		PeersListener:     get[netip.AddrPort](v, "listeners", "peers"),
		OperatorsListener: get[netip.AddrPort](v, "listeners", "operators"),
		ObserveListener:   get[netip.AddrPort](v, "listeners", "observe"),
		Peers:             v.peers,
		Entries:           v.entries,
		Voters:            get[[]string](v, "control", "voters"),
		DataFolder:        get[string](v, "control", "data_folder"),
		LedgerGroups:      get[int](v, "control", "ledger_groups"),
		PlatformURL:       get[string](v, "control", "platform_url"),
		DrainDeadline:     get[time.Duration](v, "control", "drain_deadline"),
		SnapshotEntries:   get[int](v, "control", "snapshot_entries"),
		Timeouts:          v.timeouts(),
		Titles:            v.titles("report-titles"),
	}
	v.checkListeners("peers", "operators", "observe")
	v.checkProcesses(c)
	if err := v.err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (v *values) checkProcesses(c *Control) {
	if n := len(c.Voters); n > 0 && n != 1 && n != 3 && n != 5 {
		v.crossFault("control", "voters", "does not name 1, 3 or 5 voters", "name 3 or 5 control processes; 1 is for trials only")
	}
	for _, entry := range c.Entries {
		isPeer := slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.Name == entry.Name })
		if isPeer || entry.Name == c.Process {
			v.fault("entries", entry.Name, entry.Address.String(), "is the name of a control process", "give each process its own name")
		}
	}
	for _, voter := range c.Voters {
		isPeer := slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.Name == voter })
		if voter != c.Process && !isPeer {
			v.crossFault("control", "voters", "names "+voter+", which has no line in [peers]", "add its address to [peers]")
		}
	}
}

// ParseEntry reads the settings of marjoramtiller-entry. Its error is a
// *FaultsError.
func ParseEntry(data []byte) (*Entry, error) {
	v := load(data, EntryProgram)
	e := &Entry{
		Identity:              v.identity(),
		PeersListener:         get[netip.AddrPort](v, "listeners", "peers"),
		CallersListener:       get[netip.AddrPort](v, "listeners", "callers"),
		AnnouncementsListener: get[netip.AddrPort](v, "listeners", "announcements"),
		ObserveListener:       get[netip.AddrPort](v, "listeners", "observe"),
		Peers:                 v.peers,
		LedgerGroups:          get[int](v, "control", "ledger_groups"),
		Timeouts:              v.timeouts(),
		QueuePerCaller:        get[int](v, "queue", "per_caller"),
		QueuePerService:       get[int](v, "queue", "per_service"),
		ShortWorkPercent:      get[int](v, "queue", "short_work_percent"),
		RetryBudgetPercent:    get[int](v, "retry", "budget_percent"),
		DefaultDeadline:       get[time.Duration](v, "queue", "default_deadline"),
		AnswerTimeout:         get[time.Duration](v, "timeouts", "answer"),
		HealthGrace:           get[time.Duration](v, "timeouts", "health_grace"),
		MemoryBytes:           get[int](v, "queue", "memory_bytes"),
		Connections:           get[int](v, "queue", "connections"),
		BodyBytes:             get[int](v, "queue", "body_bytes"),
	}
	v.checkListeners("peers", "callers", "announcements", "observe")
	if len(e.Peers) == 0 {
		v.crossFault("peers", "", "names no control process", "add one line for each control process")
	}
	if e.QueuePerService < e.QueuePerCaller && e.QueuePerService > 0 {
		v.crossFault("queue", "per_service", "is less than per_caller", "raise it or lower per_caller")
	}
	if err := v.err(); err != nil {
		return nil, err
	}
	return e, nil
}

// ParseClient reads the settings of the command-line tool. Its error is a
// *FaultsError.
func ParseClient(data []byte) (*Client, error) {
	v := load(data, ClientProgram)
	c := &Client{
		Cluster:      get[string](v, "cluster", "name"),
		Operator:     get[string](v, "client", "operator"),
		Control:      get[[]netip.AddrPort](v, "client", "control"),
		JobControl:   get[[]netip.AddrPort](v, "client", "job_control"),
		JobEntries:   get[[]netip.AddrPort](v, "client", "job_entries"),
		Timeout:      get[time.Duration](v, "client", "timeout"),
		RetryFor:     get[time.Duration](v, "client", "retry_for"),
		LogLevel:     get[string](v, "process", "log_level"),
		SheetTitles:  v.titles("sheet-titles"),
		ReportTitles: v.titles("report-titles"),
		Weights: Weights{
			Buffer: get[float64](v, "policy", "buffer_weight"),
			Moves:  get[float64](v, "policy", "moves_weight"),
			Spread: get[float64](v, "policy", "spread_weight"),
		},
	}
	if err := v.err(); err != nil {
		return nil, err
	}
	return c, nil
}
