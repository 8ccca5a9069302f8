// Package control is the body of the control daemon. A control process votes in
// the consensus groups "control" and "ledger-0" to "ledger-(n-1)". The leader of
// group control keeps the sessions of entries and the leases of backend servers
// in memory, and runs the reconcilers that drain, move and maintain hosts.
package control
