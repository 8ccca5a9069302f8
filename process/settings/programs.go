package settings

import (
	"net/netip"
	"slices"
	"time"
)

// ParseControl reads the settings of marjoramtiller-control. Its error is a
// *FaultsError.
func ParseControl(data []byte) (*Control, error) {
	v := parseFile(data, ControlProgram)
	control := &Control{
		Identity:          v.identity(),
		Limits:            v.limits(),
		PeersListener:     parsedValue[netip.AddrPort](v, "listeners", "peers"),
		OperatorsListener: parsedValue[netip.AddrPort](v, "listeners", "operators"),
		ObserveListener:   parsedValue[netip.AddrPort](v, "listeners", "observe"),
		Peers:             v.peers,
		Entries:           v.entries,
		Voters:            parsedValue[[]string](v, "control", "voters"),
		DataFolder:        parsedValue[string](v, "control", "data_folder"),
		LedgerGroups:      parsedValue[int](v, "control", "ledger_groups"),
		PlatformURL:       parsedValue[string](v, "control", "platform_url"),
		DrainDeadline:     parsedValue[time.Duration](v, "control", "drain_deadline"),
		SnapshotEntries:   parsedValue[int](v, "control", "snapshot_entries"),
		DiskMB:            parsedValue[int](v, "control", "disk_mb"),
		Timeouts:          v.timeouts(),
		Titles:            v.titles("report-titles"),
	}
	v.checkListeners("peers", "operators", "observe")
	v.checkProcesses(control)
	if err := v.faultsError(); err != nil {
		return nil, err
	}
	return control, nil
}

func (v *values) checkProcesses(control *Control) {
	if n := len(control.Voters); n > 0 && n != 1 && n != 3 && n != 5 {
		v.addConflict("control", "voters", "does not name 1, 3 or 5 voters", "name 3 or 5 control processes; 1 is for trials only")
	}
	for _, entry := range control.Entries {
		isPeer := slices.ContainsFunc(control.Peers, func(p Peer) bool { return p.Name == entry.Name })
		if isPeer || entry.Name == control.Process {
			v.addFault("entries", entry.Name, entry.Address.String(), "is the name of a control process", "give each process its own name")
		}
	}
	for _, voter := range control.Voters {
		isPeer := slices.ContainsFunc(control.Peers, func(p Peer) bool { return p.Name == voter })
		if voter != control.Process && !isPeer {
			v.addConflict("control", "voters", "names "+voter+", which has no line in [peers]", "add its address to [peers]")
		}
	}
}

// ParseEntry reads the settings of marjoramtiller-entry. Its error is a
// *FaultsError.
func ParseEntry(data []byte) (*Entry, error) {
	v := parseFile(data, EntryProgram)
	entry := &Entry{
		Identity:              v.identity(),
		Limits:                v.limits(),
		PeersListener:         parsedValue[netip.AddrPort](v, "listeners", "peers"),
		CallersListener:       parsedValue[netip.AddrPort](v, "listeners", "callers"),
		AnnouncementsListener: parsedValue[netip.AddrPort](v, "listeners", "announcements"),
		ObserveListener:       parsedValue[netip.AddrPort](v, "listeners", "observe"),
		Peers:                 v.peers,
		LedgerGroups:          parsedValue[int](v, "control", "ledger_groups"),
		Timeouts:              v.timeouts(),
		QueuePerCaller:        parsedValue[int](v, "queue", "per_caller"),
		QueuePerService:       parsedValue[int](v, "queue", "per_service"),
		ShortWorkPercent:      parsedValue[int](v, "queue", "short_work_percent"),
		RetryBudgetPercent:    parsedValue[int](v, "retry", "budget_percent"),
		DefaultDeadline:       parsedValue[time.Duration](v, "queue", "default_deadline"),
		AnswerTimeout:         parsedValue[time.Duration](v, "timeouts", "answer"),
		HealthGrace:           parsedValue[time.Duration](v, "timeouts", "health_grace"),
		MemoryBytes:           parsedValue[int](v, "queue", "memory_bytes"),
		Connections:           parsedValue[int](v, "queue", "connections"),
		BodyBytes:             parsedValue[int](v, "queue", "body_bytes"),
	}
	v.checkListeners("peers", "callers", "announcements", "observe")
	if len(entry.Peers) == 0 {
		v.addConflict("peers", "", "names no control process", "add one line for each control process")
	}
	if entry.QueuePerService < entry.QueuePerCaller && entry.QueuePerService > 0 {
		v.addConflict("queue", "per_service", "is less than per_caller", "raise it or lower per_caller")
	}
	if err := v.faultsError(); err != nil {
		return nil, err
	}
	return entry, nil
}

// ParseClient reads the settings of the command-line tool. Its error is a
// *FaultsError.
func ParseClient(data []byte) (*Client, error) {
	v := parseFile(data, ClientProgram)
	client := &Client{
		Cluster:      parsedValue[string](v, "cluster", "name"),
		Operator:     parsedValue[string](v, "client", "operator"),
		Control:      parsedValue[[]netip.AddrPort](v, "client", "control"),
		JobControl:   parsedValue[[]netip.AddrPort](v, "client", "job_control"),
		JobEntries:   parsedValue[[]netip.AddrPort](v, "client", "job_entries"),
		Timeout:      parsedValue[time.Duration](v, "client", "timeout"),
		RetryFor:     parsedValue[time.Duration](v, "client", "retry_for"),
		LogLevel:     parsedValue[string](v, "process", "log_level"),
		SheetTitles:  v.titles("sheet-titles"),
		ReportTitles: v.titles("report-titles"),
		Weights: Weights{
			Buffer: parsedValue[float64](v, "policy", "buffer_weight"),
			Moves:  parsedValue[float64](v, "policy", "moves_weight"),
			Spread: parsedValue[float64](v, "policy", "spread_weight"),
		},
	}
	if err := v.faultsError(); err != nil {
		return nil, err
	}
	return client, nil
}

func (v *values) limits() Limits {
	return Limits{
		RequestMemoryBytes:  parsedValue[int](v, "limits", "request_memory_bytes"),
		ListenerConnections: parsedValue[int](v, "limits", "listener_connections"),
	}
}
