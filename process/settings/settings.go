// Package settings reads the INI files of the daemons and the command-line tool.
// A file is checked as a whole: all faults are reported together, and no settings
// are returned for a file that has a fault.
package settings

import (
	"net/netip"
	"time"
)

// Program is a set of programs that read a settings key. A file is for one program.
type Program uint8

// The programs, as bits, since several programs may read a key.
const (
	ControlProgram Program = 1 << iota
	EntryProgram
	ClientProgram
)

// Identity identifies this process within its cluster.
type Identity struct {
	Cluster  string     // the same in every process of a cluster
	Process  string     // unique within the cluster
	Zone     string     // availability zone of this process
	Address  netip.Addr // address at which other processes reach this one
	LogLevel string     // zerolog level name
}

// Peer is another process of the cluster.
type Peer struct {
	Name    string
	Address netip.AddrPort // the peer's listener for peers
}

// Weights are the weights of the costs of a placement of hosts, each 0 or more.
type Weights struct {
	Buffer float64 // cost of buffer capacity
	Moves  float64 // cost of a host move
	Spread float64 // cost of uneven placement over failure domains
}

// Timeouts limit the duration of calls and HTTP exchanges.
type Timeouts struct {
	Call     time.Duration // one call to a peer
	Request  time.Duration // one HTTP exchange of operators or announcements
	Idle     time.Duration // an idle HTTP connection
	Shutdown time.Duration // a graceful shutdown
}

// Control holds the settings of marjoramtiller-control.
type Control struct {
	Identity
	Limits
	PeersListener     netip.AddrPort
	OperatorsListener netip.AddrPort
	ObserveListener   netip.AddrPort
	Peers             []Peer
	Entries           []Peer   // entry processes
	Voters            []string // replica ids at the first start of the cluster, each the name of a peer or of this process
	DataFolder        string   // absolute path
	LedgerGroups      int
	PlatformURL       string
	DrainDeadline     time.Duration
	SnapshotEntries   int // log entries between two snapshots
	DiskMB            int // space that the data folder may take, in MiB; 0: no limit
	Timeouts          Timeouts
	Titles            map[string]string // report column to title
}

// Entry holds the settings of marjoramtiller-entry.
type Entry struct {
	Identity
	Limits
	PeersListener         netip.AddrPort
	CallersListener       netip.AddrPort
	AnnouncementsListener netip.AddrPort
	ObserveListener       netip.AddrPort
	Peers                 []Peer // control processes
	LedgerGroups          int
	Timeouts              Timeouts
	QueuePerCaller        int // maximum number of waiting requests of one caller for one service
	QueuePerService       int // maximum number of waiting requests for one service
	ShortWorkPercent      int // default percentage of slots reserved for short work
	RetryBudgetPercent    int // retries as a percentage of requests
	DefaultDeadline       time.Duration
	AnswerTimeout         time.Duration // one attempt at a backend server
	HealthGrace           time.Duration // time for which the health check fails before the callers' listener closes
	MemoryBytes           int           // limit of the bodies and answers held for all callers
	Connections           int           // maximum number of open connections of callers
	BodyBytes             int           // maximum size of the body of a non-idempotent request
}

// Limits bound what clients of the listeners for operators, announcements and monitoring can
// make a process hold; 0 means that there is no limit.
type Limits struct {
	RequestMemoryBytes  int
	ListenerConnections int // of each listener
}

// Client holds the settings of the command-line tool.
type Client struct {
	Cluster      string
	Operator     string           // recorded as the actor of each change
	Control      []netip.AddrPort // operators' listeners, tried in order
	JobControl   []netip.AddrPort // observe listeners of the control processes for jobs; without them queues, runs, machines and waves are not available
	JobEntries   []netip.AddrPort // observe listeners of the entries for jobs; without them the job commands are not available
	Timeout      time.Duration    // one HTTP exchange
	RetryFor     time.Duration    // total time for which a change is sent again
	LogLevel     string
	SheetTitles  map[string]string // sheet column to the office's title
	ReportTitles map[string]string // report column to the office's title
	Weights      Weights
}
