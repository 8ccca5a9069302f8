// Package replica drives one consensus group: it connects the consensus core to
// the log on disk, to the transport and to the group's state machine.
package replica
