// Package plan computes capacity plans from snapshots of the fleet: availability
// budgets, the assignment of hosts to pools, replacement of lost hosts, batches of
// maintenance waves and the placement of job tasks on workers.
//
// The package is pure: it has no clock, goroutine, randomness or I/O, and equal
// inputs give equal plans. Times are durations since the start of the driver, the
// process that calls the package.
package plan
