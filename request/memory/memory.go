// Package memory bounds what an entry holds for its callers: bytes in one pool,
// open requests in another. Half of a pool is divided evenly among the services, the other half is shared, so
// that a service whose callers fill the memory cannot take the part of another.
// It keeps no clock and is not safe for concurrent use.
package memory

import "fmt"

// Pool counts the bytes, or other units, held by each service.
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

// SetServices sets how many services divide the pool. Bytes already held stay.
func (p *Pool) SetServices(n int) { p.services = max(1, n) }

// own is the part of the pool that no other service can take.
func (p *Pool) own() int64 { return p.limit / 2 / int64(p.services) }

// Take reports whether a service may hold n more bytes, and if so counts them.
func (p *Pool) Take(service string, n int64) bool {
	if n < 0 {
		return false
	}
	next := p.used[service] + n
	if next > p.own() && p.shared(service)+next-p.own() > p.limit-p.own()*int64(p.services) {
		return false
	}
	p.used[service] = next
	p.total += n
	return true
}

// shared is what the other services hold beyond their own parts.
func (p *Pool) shared(service string) int64 {
	var sum int64
	for name, n := range p.used {
		if name != service {
			sum += max(0, n-p.own())
		}
	}
	return sum
}

// Give returns n bytes that a service has taken.
func (p *Pool) Give(service string, n int64) {
	p.used[service] -= n
	p.total -= n
	if p.used[service] == 0 {
		delete(p.used, service)
	}
}

// Used returns the bytes held by all services.
func (p *Pool) Used() int64 { return p.total }

// Check returns an error if a count is not possible.
func (p *Pool) Check() error {
	var sum int64
	for name, n := range p.used {
		if n < 0 {
			return fmt.Errorf("memory: service %s holds %d bytes", name, n)
		}
		sum += n
	}
	if sum != p.total {
		return fmt.Errorf("memory: services hold %d bytes, %d are counted", sum, p.total)
	}
	return nil
}
