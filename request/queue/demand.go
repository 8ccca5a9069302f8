package queue

// A service's demand has outgrown its reported value if it is greater by a
// quarter and by a few requests, which happen to come together at any time.
const (
	outgrownFactor = 1.25
	outgrownBy     = 4
)

// Outgrown reports whether requests of a service wait and its demand for slots
// has grown so far beyond the value last reported that the next report should
// not be put off.
func (c *Core) Outgrown(service string, reported float64) bool {
	s := c.services[service]
	return s != nil && s.queued > 0 && float64(s.queued+s.running) > outgrownFactor*reported+outgrownBy
}
