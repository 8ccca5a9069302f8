package advice

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tickets that outlive their validity or the process that they are for, and
// against a start that was planned in time and goes out without its ticket.
func TestTicketsEndWithTheirValidityAndProcess(t *testing.T) {
	is := is.New(t)
	const validUntil = 10 * time.Second
	first, later := Process{"w", 1}, Process{"w", 2}
	var a Answers
	a.Add([]Process{first, {"refused", 1}}, map[string]string{"w": "t"}, validUntil)
	current := first
	isAlive := func(p Process) bool { return p == current || p.Worker == "refused" }

	tickets, known := a.Tickets(validUntil-1, isAlive)
	is.True(known)
	is.Equal(tickets, map[string]string{"w": "t"})
	is.True(a.Covers(validUntil-1, Process{"refused", 1}))
	is.True(!a.Covers(validUntil-1, later))

	tickets, known = a.Tickets(validUntil, isAlive)
	is.True(!known)
	is.Equal(len(tickets), 0)
	is.True(!a.Covers(validUntil, first))
	is.Equal(a.Ticket(first), "t")
	is.Equal(a.Ticket(later), "")

	current = later
	tickets, known = a.Tickets(validUntil-1, isAlive)
	is.True(known) // the other worker is still known as refused
	is.Equal(len(tickets), 0)
	is.Equal(a.Ticket(first), "")
}

// Guards against a rejected ticket that is used again, and against one that has replaced it
// and is dropped.
func TestOnlyTheRejectedTicketIsDiscarded(t *testing.T) {
	is := is.New(t)
	p := Process{"w", 1}
	var a Answers
	is.True(!a.Discard("w", "t"))
	a.Add([]Process{p}, map[string]string{"w": "newer"}, time.Hour)
	is.True(!a.Discard("w", "older"))
	is.True(a.Covers(0, p))
	is.True(a.Discard("w", "newer"))
	is.True(!a.Covers(0, p))
}
