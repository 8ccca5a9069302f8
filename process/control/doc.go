// Package control implements the control daemon. A control process votes in the
// consensus groups "control" and "ledger-0" to "ledger-(n-1)". The leader of group
// "control" holds the entries' sessions and the backend servers' leases in memory
// and runs the reconcilers that drain, move and maintain hosts.
package control
