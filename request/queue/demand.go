package queue

// Demand has outgrown the reported value if it is greater than outgrownFactor times
// that value plus outgrownMargin. The margin ignores the few requests that may
// arrive together by chance at any load.
const (
	outgrownFactor = 1.25
	outgrownMargin = 4
)

// DemandOutgrewReport reports whether a service has queued requests and its demand
// for slots exceeds the value last reported by so much that the next report should
// be sent without delay.
func (c *Core) DemandOutgrewReport(service string, reported float64) bool {
	s := c.services[service]
	return s != nil && s.queued > 0 && float64(s.queued+s.running) > outgrownFactor*reported+outgrownMargin
}
