// Package settings reads the INI files of the daemons and the command line.
// A file is checked as a whole: every fault is reported at once, and a file
// with any fault yields no settings.
package settings

import (
	"net/netip"
	"time"
)

// Program names the program that a settings file is for.
type Program uint8

// Programs; a key may be used by several.
const (
	ControlProgram Program = 1 << iota
	EntryProgram
	ClientProgram
)

// Identity names this process within its cluster.
type Identity struct {
	Cluster  string     // the same in every process of a cluster
	Process  string     // unique within the cluster
	Zone     string     // availability zone of this process
	Address  netip.Addr // address that other processes reach this one at
	LogLevel string     // zerolog level name
}

// Peer is another process of the cluster.
type Peer struct {
	Name    string
	Address netip.AddrPort // the peer's listener for peers
}

// Weights weigh the costs of a placement of hosts, each 0 or more.
type Weights struct {
	Buffer float64 // cost of buffer capacity
	Moves  float64 // cost of a host move
	Spread float64 // cost of uneven placement over failure domains
}

// Timeouts bound calls and HTTP exchanges.
type Timeouts struct {
	Call     time.Duration // one call to a peer
	Request  time.Duration // one HTTP exchange of operators or announcements
	Idle     time.Duration // an idle HTTP connection
	Shutdown time.Duration // a graceful shutdown
}

// Control holds the settings of marjoramtiller-control.
type Control struct {
	Identity
	PeersListener     netip.AddrPort
	OperatorsListener netip.AddrPort
	ObserveListener   netip.AddrPort
	Peers             []Peer
	Entries           []Peer   // entry processes
	Voters            []string // replica ids of the first start, each in Peers or Process itself
	DataFolder        string   // absolute path
	LedgerGroups      int
	PlatformURL       string
	DrainDeadline     time.Duration
	SnapshotEntries   int // log entries between two snapshots
	Timeouts          Timeouts
	Titles            map[string]string // report column to title
}

// Entry holds the settings of marjoramtiller-entry.
type Entry struct {
	Identity
	PeersListener         netip.AddrPort
	CallersListener       netip.AddrPort
	AnnouncementsListener netip.AddrPort
	ObserveListener       netip.AddrPort
	Peers                 []Peer // control processes
	LedgerGroups          int
	Timeouts              Timeouts
	QueuePerCaller        int // most requests that wait for one caller and service
	QueuePerService       int // most requests that wait for one service
	ShortWorkPercent      int // default share of slots kept for short work
	RetryBudgetPercent    int // retries as a share of requests
	DefaultDeadline       time.Duration
	AnswerTimeout         time.Duration // one attempt at a backend server
	HealthGrace           time.Duration // the health check fails this long before the listener closes
	MemoryBytes           int           // held for all callers together
	Connections           int           // of callers, at once
	BodyBytes             int           // largest body of a non-idempotent request
}

// Client holds the settings of the command-line tool.
type Client struct {
	Cluster      string
	Operator     string           // recorded as the actor of each change
	Control      []netip.AddrPort // operators' listeners, tried in order
	JobControl   []netip.AddrPort // empty: no jobs are shown
	JobEntries   []netip.AddrPort // empty: no jobs are handed in
	Timeout      time.Duration    // one HTTP exchange
	RetryFor     time.Duration    // total time that a change is resent for
	LogLevel     string
	SheetTitles  map[string]string // sheet column to the office's title
	ReportTitles map[string]string // report column to the office's title
	Weights      Weights
}
