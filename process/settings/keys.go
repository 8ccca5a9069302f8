package settings

import (
	"fmt"
	"strings"

	"marjoramtiller.example/marjoramtiller/version/report"
	"marjoramtiller.example/marjoramtiller/version/sheet"
)

// Key documents one settings key. A Name of "*" stands for any name.
type Key struct {
	Section  string
	Name     string
	Default  string // used when the key is absent and not required
	Required bool
	Programs Program
	Doc      string
	Remedy   string
	parse    parser
}

const both = ControlProgram | EntryProgram

// Keys returns the table of all keys, in the order of docs/settings.md.
func Keys() []Key {
	keys := append(processKeys(), serviceKeys()...)
	for _, column := range sheet.Columns() {
		keys = append(keys, Key{
			Section: "sheet-titles", Name: column.Name, Default: column.Name, Programs: ClientProgram,
			Doc: "Office's title of the sheet column: " + column.Doc, Remedy: "write a title", parse: text,
		})
	}
	for _, column := range report.Columns() {
		keys = append(keys, Key{
			Section: "report-titles", Name: column.Name, Default: column.Name, Programs: ControlProgram | ClientProgram,
			Doc: "Office's title of the report column: " + column.Doc, Remedy: "write a title", parse: text,
		})
	}
	return keys
}

func processKeys() []Key {
	return []Key{
		{"cluster", "name", "", true, both | ClientProgram, "Name of the cluster. Processes of another cluster are rejected.", "use letters, digits, '-', '_' and '.'", name},
		{"process", "name", "", true, both, "Name of this process, unique within the cluster. A control process repaired with an empty disk needs a new name.", "use letters, digits, '-', '_' and '.'", name},
		{"process", "zone", "", true, both, "Availability zone of this process.", "use letters, digits, '-', '_' and '.'", name},
		{"process", "address", "", true, both, "IP address that other processes reach this process at.", "write an IP address, such as 10.0.1.5, not a host name", ipAddress},
		{"process", "log_level", "info", false, both | ClientProgram, "Least level that is logged.", "use debug, info, warn or error", oneOf("debug", "info", "warn", "error")},
		{"listeners", "peers", "", true, both, "Listener for other processes of the cluster. An entry does not listen on it so far; its IP address identifies the entry.", addressRemedy, address},
		{"listeners", "operators", "", true, ControlProgram, "Listener for operators (HTTP).", addressRemedy, address},
		{"listeners", "callers", "", true, EntryProgram, "Listener for callers (HTTP).", addressRemedy, address},
		{"listeners", "announcements", "", true, EntryProgram, "Listener for announcements of backend servers (HTTP).", addressRemedy, address},
		{"listeners", "observe", "", true, both, "Listener for metrics, state dump and health.", addressRemedy, address},
		{"peers", "*", "", false, both, "One line for each control process: its name and its listener for peers. A line for this process itself is allowed.", addressRemedy, address},
		{"entries", "*", "", false, ControlProgram, "One line for each entry process: its name and its listener for peers. Only these may report as entries, and only from that IP address.", addressRemedy, address},
		{"control", "voters", "", true, ControlProgram, "Voters at the cluster's first start, separated by spaces. Later changes go through `marjoramtiller voters`.", "name 3 or 5 control processes once each", names},
		{"control", "data_folder", "", true, ControlProgram, "Folder of logs and snapshots.", "write an absolute path", absolutePath},
		{"control", "ledger_groups", "4", false, both, "Number of ledger groups. The same in every process, and fixed for the life of the cluster.", "use 1 to 64", integer(1, 64)},
		{"control", "platform_url", "", true, ControlProgram, "Base URL of the platform's interface.", "write http:// or https://, an IP address, a port and no query", platformURL},
		{"control", "drain_deadline", "10m", false, ControlProgram, "Time after which work on a draining host is checkpointed or moved.", "use a duration from 1s to 24h, such as 10m", duration("1s", "24h")},
		{"control", "snapshot_entries", "512", false, ControlProgram, "Log entries between two snapshots.", "use 16 to 65536", integer(16, 65536)},
		{"client", "operator", "", true, ClientProgram, "Name recorded with each change.", "use letters, digits, '-', '_' and '.'", name},
		{"client", "control", "", true, ClientProgram, "Operators' listeners of the control processes, separated by spaces.", addressRemedy, addresses},
		{"client", "job_control", "", false, ClientProgram, "Observe listeners of the control processes for jobs, separated by spaces: `queues`, `runs`, `machines` and `waves` ask them.", addressRemedy, optionalAddresses},
		{"client", "job_entries", "", false, ClientProgram, "Observe listeners of the entries for jobs, separated by spaces: the `job` commands ask them.", addressRemedy, optionalAddresses},
		{"client", "timeout", "10s", false, ClientProgram, "Timeout of one HTTP exchange.", "use a duration from 100ms to 5m, such as 10s", duration("100ms", "5m")},
		{"client", "retry_for", "60s", false, ClientProgram, "Total time that a change is resent for after lost responses.", "use a duration from 1s to 1h, such as 60s", duration("1s", "1h")},
	}
}

func serviceKeys() []Key {
	return []Key{
		{"policy", "buffer_weight", "1", false, ClientProgram, "Weight of buffer capacity held in reserve, in `placement`.", "use 0 to 1000", number(0, 1000)},
		{"policy", "moves_weight", "1", false, ClientProgram, "Weight of host moves, in `placement`.", "use 0 to 1000", number(0, 1000)},
		{"policy", "spread_weight", "1", false, ClientProgram, "Weight of an even spread over availability zones, in `placement`.", "use 0 to 1000", number(0, 1000)},
		{"timeouts", "call", "3s", false, both, "Timeout of one call to a peer.", "use a duration from 100ms to 60s, such as 3s", duration("100ms", "60s")},
		{"timeouts", "request", "10s", false, both, "Timeout of one HTTP exchange with an operator or a backend server's announcement.", "use a duration from 100ms to 5m, such as 10s", duration("100ms", "5m")},
		{"timeouts", "idle", "60s", false, both, "Time after which an idle HTTP connection is closed.", "use a duration from 1s to 1h, such as 60s", duration("1s", "1h")},
		{"timeouts", "shutdown", "30s", false, both, "Time that a graceful shutdown may take.", "use a duration from 1s to 1h, such as 30s", duration("1s", "1h")},
		{"timeouts", "answer", "10m", false, EntryProgram, "Longest time that one attempt at a backend server may take, until the end of its answer.", "use a duration from 1s to 24h, such as 10m", duration("1s", "24h")},
		{"timeouts", "health_grace", "3s", false, EntryProgram, "Time for which the health check fails before the callers' listener closes at a shutdown, so that the balancer redirects callers first.", "use a duration from 0s to 5m, such as 3s", duration("0s", "5m")},
		{"queue", "body_bytes", "1048576", false, EntryProgram, "Largest body of a non-idempotent request, which is held in memory.", "use 1 to 67108864", integer(1, 64<<20)},
		{"queue", "memory_bytes", "268435456", false, EntryProgram, "Memory for bodies and answers of all callers together. Half of it is divided evenly among the services.", "use 1048576 to 17179869184", integer(1<<20, 16<<30)},
		{"queue", "connections", "8192", false, EntryProgram, "Most callers' connections at once; further ones are closed at once.", "use 1 to 1048576", integer(1, 1048576)},
		{"queue", "per_caller", "64", false, EntryProgram, "Most requests that wait for one caller and service.", "use 1 to 65536", integer(1, 65536)},
		{"queue", "per_service", "4096", false, EntryProgram, "Most requests that wait for one service.", "use 1 to 1048576, and at least per_caller", integer(1, 1048576)},
		{"queue", "short_work_percent", "25", false, EntryProgram, "Share of slots kept for short work where the pool declares none.", "use 0 to 90", integer(0, 90)},
		{"queue", "default_deadline", "30s", false, EntryProgram, "Deadline of a request where neither the request nor the pool has one. Requests of a pool that may wait get none; they stay queued for up to a day.", "use a duration from 10ms to 1h, such as 30s", duration("10ms", "1h")},
		{"retry", "budget_percent", "10", false, EntryProgram, "Retries as a share of requests.", "use 0 to 100", integer(0, 100)},
	}
}

const addressRemedy = "write IP:port, such as 10.0.1.5:7400, not a host name"

// Document returns docs/settings.md.
func Document() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the table in `process/settings/keys.go` by `go test ./process/settings -update`. ")
	b.WriteString("Each program reads one INI file. Unknown sections and keys are faults, and all faults are reported at once. ")
	b.WriteString("Addresses are IP addresses, never host names.\n")
	section := ""
	for _, k := range Keys() {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | programs | default | meaning | allowed values |\n|---|---|---|---|---|\n", section)
		}
		value := "`" + k.Default + "`"
		if k.Required {
			value = "required"
		} else if k.Default == "" {
			value = "none"
		}
		keyName := "`" + k.Name + "`"
		if k.Name == "*" {
			keyName = "any name"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", keyName, k.Programs, value, k.Doc, k.Remedy)
	}
	return b.String()
}

// String lists the programs.
func (p Program) String() string {
	var list []string
	if p&ControlProgram != 0 {
		list = append(list, "control")
	}
	if p&EntryProgram != 0 {
		list = append(list, "entry")
	}
	if p&ClientProgram != 0 {
		list = append(list, "client")
	}
	return strings.Join(list, ", ")
}
