// Package advice keeps what an advisor has said about the workers that a step may run on. It
// does no I/O, and has no clock of its own.
package advice

import "time"

// Process is a process of a worker. What the advisor says of it ends with it: a later process
// under the worker's id is unknown to the advisor.
type Process struct {
	Worker string
	BornMs int64 // when it began, Unix time in ms by its own clock
}

// verdict is what the advisor has said of one process.
type verdict struct {
	bornMs        int64
	ticket        string        // for starts there, empty if the step may not run there
	reusableUntil time.Duration // on the caller's clock
}

// Answers are the answers about one step. The zero value holds none.
type Answers struct {
	verdicts map[string]verdict // by worker id
}

// Add adds an answer: the tickets, by worker id, of those of the named processes that the step
// may run on. It may be used until reusableUntil.
func (a *Answers) Add(named []Process, tickets map[string]string, reusableUntil time.Duration) {
	if a.verdicts == nil {
		a.verdicts = map[string]verdict{}
	}
	for _, p := range named {
		a.verdicts[p.Worker] = verdict{p.BornMs, tickets[p.Worker], reusableUntil}
	}
}

// Covers reports whether there is an answer about a process that may still be used.
func (a *Answers) Covers(now time.Duration, p Process) bool {
	v, known := a.verdicts[p.Worker]
	return known && v.bornMs == p.BornMs && now < v.reusableUntil
}

// Ticket returns the ticket for a start at a process that was planned while the answer could
// be used, empty if there is none.
func (a *Answers) Ticket(p Process) string {
	if v := a.verdicts[p.Worker]; v.bornMs == p.BornMs {
		return v.ticket
	}
	return ""
}

// Tickets returns the tickets by worker id, and false if no answer may still be used. isAlive
// reports whether a process is the worker's present one. Answers about others are forgotten.
func (a *Answers) Tickets(now time.Duration, isAlive func(Process) bool) (tickets map[string]string, known bool) {
	tickets = map[string]string{}
	for id, v := range a.verdicts {
		switch {
		case !isAlive(Process{id, v.bornMs}):
			delete(a.verdicts, id)
		case now < v.reusableUntil:
			known = true
			if v.ticket != "" {
				tickets[id] = v.ticket
			}
		}
	}
	return tickets, known
}

// Discard forgets the answer about a worker if it gave this ticket, and reports whether it did.
func (a *Answers) Discard(worker, ticket string) bool {
	if v, known := a.verdicts[worker]; !known || v.ticket != ticket {
		return false
	}
	delete(a.verdicts, worker)
	return true
}
