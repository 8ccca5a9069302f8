package settings

import (
	"fmt"
	"strings"

	"marjoramtiller.example/marjoramtiller/version/report"
	"marjoramtiller.example/marjoramtiller/version/sheet"
)

// Key describes one settings key. The Name "*" means that the section has keys of
// any name.
type Key struct {
	Section  string
	Name     string
	Default  string // used when the key is absent and not required
	Required bool
	Programs Program
	Doc      string // meaning of the key
	Remedy   string // allowed values, also reported with an invalid value
	parse    parser
}

const daemonPrograms = ControlProgram | EntryProgram

// Keys returns all keys in the order of docs/settings.md.
func Keys() []Key {
	keys := append(processKeys(), serviceKeys()...)
	for _, column := range sheet.Columns() {
		keys = append(keys, Key{
			Section: "sheet-titles", Name: column.Name, Default: column.Name, Programs: ClientProgram,
			Doc: "Title that the office uses for the sheet column: " + column.Doc, Remedy: "write a title", parse: parseText,
		})
	}
	for _, column := range report.Columns() {
		keys = append(keys, Key{
			Section: "report-titles", Name: column.Name, Default: column.Name, Programs: ControlProgram | ClientProgram,
			Doc: "Title that the office uses for the report column: " + column.Doc, Remedy: "write a title", parse: parseText,
		})
	}
	return keys
}

func processKeys() []Key {
	return []Key{
		{"cluster", "name", "", true, daemonPrograms | ClientProgram, "Name of the cluster. Processes of another cluster are rejected.", "use letters, digits, '-', '_' and '.'", parseName},
		{"process", "name", "", true, daemonPrograms, "Name of this process, unique within the cluster. A control process repaired with an empty disk needs a new name.", "use letters, digits, '-', '_' and '.'", parseName},
		{"process", "zone", "", true, daemonPrograms, "Availability zone of this process.", "use letters, digits, '-', '_' and '.'", parseName},
		{"process", "address", "", true, daemonPrograms, "IP address at which other processes reach this process.", "write an IP address, such as 10.0.1.5, not a host name", parseIPAddress},
		{"process", "log_level", "info", false, daemonPrograms | ClientProgram, "Lowest level that is logged.", "use debug, info, warn or error", oneOf("debug", "info", "warn", "error")},
		{"listeners", "peers", "", true, daemonPrograms, "Listener for other processes of the cluster. An entry does not listen on it yet; its IP address identifies the entry.", addressRemedy, parseAddress},
		{"listeners", "operators", "", true, ControlProgram, "Listener for operators (HTTP).", addressRemedy, parseAddress},
		{"listeners", "callers", "", true, EntryProgram, "Listener for callers (HTTP).", addressRemedy, parseAddress},
		{"listeners", "announcements", "", true, EntryProgram, "Listener for announcements of backend servers (HTTP).", addressRemedy, parseAddress},
		{"listeners", "observe", "", true, daemonPrograms, "Listener for metrics, state dump and health.", addressRemedy, parseAddress},
		{"peers", "*", "", false, daemonPrograms, "One line for each control process: its name and its listener for peers. A line for this process itself is allowed.", addressRemedy, parseAddress},
		{"entries", "*", "", false, ControlProgram, "One line for each entry process: its name and its listener for peers. Only these processes may report as entries, each only from its IP address listed here.", addressRemedy, parseAddress},
		{"control", "voters", "", true, ControlProgram, "Voters at the first start of the cluster, separated by spaces. Later changes are made with `marjoramtiller voters`.", "name 3 or 5 control processes once each", parseNames},
		{"control", "data_folder", "", true, ControlProgram, "Folder for logs and snapshots.", "write an absolute path", parseAbsolutePath},
		{"control", "ledger_groups", "4", false, daemonPrograms, "Number of ledger groups. It must be the same in every process and must not change after the first start of the cluster.", "use 1 to 64", integerBetween(1, 64)},
		{"control", "platform_url", "", true, ControlProgram, "Base URL of the platform's API.", "write http:// or https://, an IP address, a port and no query", parsePlatformURL},
		{"control", "drain_deadline", "10m", false, ControlProgram, "Time after which work on a draining host is checkpointed or moved.", "use a duration from 1s to 24h, such as 10m", durationBetween("1s", "24h")},
		{"control", "snapshot_entries", "512", false, ControlProgram, "Log entries between two snapshots.", "use 16 to 65536", integerBetween(16, 65536)},
		{"control", "disk_mb", "0", false, ControlProgram, "Space in MiB that the data folder may take, divided evenly among the groups. Snapshots are then also due by the size of the log, and commands that would leave no space for a snapshot are refused. 0 means no limit.", "use 0, or 64 to 16777216", zeroOrIntegerBetween(64, 1<<24)},
		{"client", "operator", "", true, ClientProgram, "Name of the operator, recorded with each change.", "use letters, digits, '-', '_' and '.'", parseName},
		{"client", "control", "", true, ClientProgram, "Operators' listeners of the control processes, separated by spaces.", addressRemedy, parseAddresses},
		{"client", "job_control", "", false, ClientProgram, "Observe listeners of the control processes for jobs, separated by spaces: the commands `queues`, `runs`, `machines` and `waves` query them.", addressRemedy, parseOptionalAddresses},
		{"client", "job_entries", "", false, ClientProgram, "Observe listeners of the entries for jobs, separated by spaces: the `job` commands query them.", addressRemedy, parseOptionalAddresses},
		{"client", "timeout", "10s", false, ClientProgram, "Timeout of one HTTP exchange.", "use a duration from 100ms to 5m, such as 10s", durationBetween("100ms", "5m")},
		{"client", "retry_for", "60s", false, ClientProgram, "Total time for which a change is sent again after lost responses.", "use a duration from 1s to 1h, such as 60s", durationBetween("1s", "1h")},
	}
}

func serviceKeys() []Key {
	return []Key{
		{"policy", "buffer_weight", "1", false, ClientProgram, "Weight of reserved buffer capacity in `placement`.", "use 0 to 1000", numberBetween(0, 1000)},
		{"policy", "moves_weight", "1", false, ClientProgram, "Weight of host moves in `placement`.", "use 0 to 1000", numberBetween(0, 1000)},
		{"policy", "spread_weight", "1", false, ClientProgram, "Weight of an even spread over availability zones in `placement`.", "use 0 to 1000", numberBetween(0, 1000)},
		{"timeouts", "call", "3s", false, daemonPrograms, "Timeout of one call to a peer.", "use a duration from 100ms to 60s, such as 3s", durationBetween("100ms", "60s")},
		{"timeouts", "request", "10s", false, daemonPrograms, "Timeout of one HTTP exchange with an operator or a backend server's announcement.", "use a duration from 100ms to 5m, such as 10s", durationBetween("100ms", "5m")},
		{"timeouts", "idle", "60s", false, daemonPrograms, "Time after which an idle HTTP connection is closed.", "use a duration from 1s to 1h, such as 60s", durationBetween("1s", "1h")},
		{"timeouts", "shutdown", "30s", false, daemonPrograms, "Maximum duration of a graceful shutdown.", "use a duration from 1s to 1h, such as 30s", durationBetween("1s", "1h")},
		{"timeouts", "answer", "10m", false, EntryProgram, "Maximum duration of one attempt at a backend server, up to the end of its answer.", "use a duration from 1s to 24h, such as 10m", durationBetween("1s", "24h")},
		{"timeouts", "health_grace", "3s", false, EntryProgram, "Time for which the health check fails before the callers' listener closes at a shutdown, so that the load balancer redirects callers first.", "use a duration from 0s to 5m, such as 3s", durationBetween("0s", "5m")},
		{"queue", "body_bytes", "1048576", false, EntryProgram, "Maximum size of the body of a non-idempotent request, which is held in memory.", "use 1 to 67108864", integerBetween(1, 64<<20)},
		{"queue", "memory_bytes", "268435456", false, EntryProgram, "Total memory for request bodies and answers of all callers. Half of it is divided evenly among the services.", "use 1048576 to 17179869184", integerBetween(1<<20, 16<<30)},
		{"queue", "connections", "8192", false, EntryProgram, "Maximum number of open connections of callers; further connections are closed immediately.", "use 1 to 1048576", integerBetween(1, 1048576)},
		{"queue", "per_caller", "64", false, EntryProgram, "Maximum number of waiting requests of one caller for one service.", "use 1 to 65536", integerBetween(1, 65536)},
		{"queue", "per_service", "4096", false, EntryProgram, "Maximum number of waiting requests for one service.", "use 1 to 1048576, and at least per_caller", integerBetween(1, 1048576)},
		{"queue", "short_work_percent", "25", false, EntryProgram, "Percentage of slots reserved for short work in a pool that declares none.", "use 0 to 90", integerBetween(0, 90)},
		{"queue", "default_deadline", "30s", false, EntryProgram, "Deadline of a request where neither the request nor the pool has one. Requests of a pool that may wait get no default deadline; they stay queued for up to a day.", "use a duration from 10ms to 1h, such as 30s", durationBetween("10ms", "1h")},
		{"limits", "request_memory_bytes", "268435456", false, daemonPrograms, "Total memory for requests of operators, announcements and monitoring, decoded forms included. A quarter of it is kept for small requests. A request without room is answered with 503 and changes nothing.", "use 1048576 to 17179869184", integerBetween(1<<20, 16<<30)},
		{"limits", "listener_connections", "8192", false, daemonPrograms, "Maximum number of open connections of each of these listeners. At the limit the connection that has gone longest without progress is closed in favour of a new one.", "use 8 to 1048576", integerBetween(8, 1048576)},
		{"retry", "budget_percent", "10", false, EntryProgram, "Retries as a percentage of requests.", "use 0 to 100", integerBetween(0, 100)},
	}
}

const addressRemedy = "write IP:port, such as 10.0.1.5:7400, not a host name"

// Document returns the content of docs/settings.md.
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

// String lists the names of the programs in p.
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
