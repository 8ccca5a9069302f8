// Package memory limits the resources that an entry uses for its callers: bytes in
// one pool, open requests in another. Half of a pool is divided evenly among the
// services and the other half is shared, so that a service whose callers exhaust
// the shared half can't use the part of another service. The package reads no
// clock and is not safe for concurrent use.
package memory

import "fmt"

// Pool counts the bytes, or other units, that each service has reserved.
type Pool struct {
	limit    int64
	services int
	used     map[string]int64
	total    int64
}

// New returns a pool of limit bytes for one service.
func New(limit int64) *Pool {
	return &Pool{limit: limit, services: 1, used: make(map[string]int64)}
}

// SetServices sets the number of services that divide the pool. Bytes that are
// already reserved stay reserved.
func (p *Pool) SetServices(n int) { p.services = max(1, n) }

// guaranteed returns the bytes of each service that no other service can reserve.
func (p *Pool) guaranteed() int64 { return p.limit / 2 / int64(p.services) }

// Reserve reserves bytes for a service, or returns false if they exceed what the
// service may use.
func (p *Pool) Reserve(service string, amount int64) bool {
	if amount < 0 {
		return false
	}
	next := p.used[service] + amount
	if next > p.guaranteed() && p.sharedByOthers(service)+next-p.guaranteed() > p.limit-p.guaranteed()*int64(p.services) {
		return false
	}
	p.used[service] = next
	p.total += amount
	return true
}

// sharedByOthers returns the bytes that the other services have reserved beyond
// their guaranteed parts.
func (p *Pool) sharedByOthers(service string) int64 {
	var sum int64
	for name, n := range p.used {
		if name != service {
			sum += max(0, n-p.guaranteed())
		}
	}
	return sum
}

// Release releases bytes that a service has reserved.
func (p *Pool) Release(service string, amount int64) {
	p.used[service] -= amount
	p.total -= amount
	if p.used[service] == 0 {
		delete(p.used, service)
	}
}

// Used returns the bytes reserved by all services.
func (p *Pool) Used() int64 { return p.total }

// Check returns an error if the counts are inconsistent.
func (p *Pool) Check() error {
	var sum int64
	for name, n := range p.used {
		if n < 0 {
			return fmt.Errorf("memory: service %s has a negative count of %d bytes", name, n)
		}
		sum += n
	}
	if sum != p.total {
		return fmt.Errorf("memory: the counts of the services add up to %d bytes, but the total is %d", sum, p.total)
	}
	return nil
}
