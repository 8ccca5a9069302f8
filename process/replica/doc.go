// Package replica runs one member of a consensus group. It connects the consensus
// core to the log on disk, to the transport and to the group's state machine.
//
// One goroutine per replica owns the core and the store. Proposals that arrive
// while a sync is running are written and synced together in the next batch.
package replica
