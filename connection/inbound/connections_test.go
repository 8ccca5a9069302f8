package inbound

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// Guards against more open connections than the limit, against closing a connection whose
// request is handled, and against refusing a new one while another stands still.
func TestConnectionsStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		table := newConnections[int](limit)
		handled := map[int]bool{}
		now := 0
		for next := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.IntRange(0, 700).Draw(t, "ms")
			conn := rapid.IntRange(0, next).Draw(t, "connection")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				table.progressed(conn, at(now))
			case 1:
				table.begin(conn)
				if table.open[conn] != nil {
					handled[conn] = true
				}
			case 2:
				table.end(conn, at(now))
				delete(handled, conn)
			case 3:
				table.remove(conn)
				delete(handled, conn)
			default:
				victim, evicted, accepted := table.add(next, at(now))
				if evicted && handled[victim] {
					t.Fatalf("connection %d was closed while its request was handled", victim)
				}
				if !accepted && len(handled) < limit {
					t.Fatal("a new connection was refused while another stood still")
				}
			}
			idle := table.unserved.Len() + table.served.Len()
			if len(table.open) > limit || len(table.open) != idle+len(handled) {
				t.Fatalf("%d connections are open, %d idle and %d handled; the limit is %d", len(table.open), idle, len(handled), limit)
			}
		}
	})
}

// Guards against a crowd of silent connections that displaces those of ordinary callers.
func TestSilentConnectionsAreClosedFirst(t *testing.T) {
	is := is.New(t)
	table := newConnections[string](3)
	table.add("caller", at(0))
	table.begin("caller")
	table.end("caller", at(10))
	table.add("silent", at(100))
	table.add("busy", at(200))
	table.begin("busy")
	victim, evicted, accepted := table.add("new", at(1200))
	is.True(evicted)
	is.True(accepted)
	is.Equal(victim, "silent")
	victim, _, _ = table.add("newer", at(1300)) // "new" had no time to send a request yet
	is.Equal(victim, "caller")
}
