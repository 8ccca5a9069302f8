// Package service runs a daemon from its checked settings: it connects the
// daemon's body to its listeners and stops them in order.
package service
