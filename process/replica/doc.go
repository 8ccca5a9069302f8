// Package replica drives one consensus group: it connects the consensus core to
// the log on disk, to the transport and to the group's state machine.
//
// One goroutine owns the core and the store. Proposals that wait while a sync
// runs share the next one.
package replica
