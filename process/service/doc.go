// Package service builds a daemon from its validated settings: it creates the
// control or entry server, starts the HTTP listeners for operators,
// announcements and monitoring, and closes these once the server has stopped.
package service
