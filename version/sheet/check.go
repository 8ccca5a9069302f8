package sheet

import "fmt"

// Check reports references to missing objects and values that contradict each
// other. Its error is a *FaultsError that lists every fault.
func (s *Sheet) Check() error {
	c := &checker{s: s, faults: &FaultsError{}}
	c.pools()
	c.hosts()
	c.jobs()
	c.waves()
	if c.faults.Total > 0 {
		return c.faults
	}
	return nil
}

type checker struct {
	s      *Sheet
	faults *FaultsError
}

func (c *checker) has(kind, name string) bool {
	_, ok := c.s.rows[kind+"/"+name]
	return ok
}

func (c *checker) fault(kind, name, column, message, remedy string) {
	c.faults.add(c.s.rows[kind+"/"+name], c.s.titles[column], message, remedy)
}

func (c *checker) reference(kind, name, column, targetKind, target string) {
	if !c.has(targetKind, target) {
		c.fault(kind, name, column, fmt.Sprintf("%s %q is not in the sheet", targetKind, target), "add its row or correct the name")
	}
}

func (c *checker) pools() {
	spare := ""
	services := map[string]string{}
	members := map[string]uint32{}
	for _, h := range c.s.Hosts {
		members[h.Pool]++
	}
	for _, p := range c.s.Pools {
		if p.Spare && spare != "" {
			c.fault(KindPool, p.Name, "spare", fmt.Sprintf("pool %q is the spare pool already", spare), "keep one spare pool")
		}
		if p.Spare {
			spare = p.Name
		}
		if p.Spare && p.PromisedHosts > 0 {
			c.fault(KindPool, p.Name, "promised_hosts", "the spare pool promises no hosts", "write 0")
		}
		if p.Spare != (p.Service == "") {
			c.fault(KindPool, p.Name, "service", "a pool has either a service or is the spare pool", "fill in exactly one of them")
		}
		if other, taken := services[p.Service]; taken && p.Service != "" {
			c.fault(KindPool, p.Name, "service", fmt.Sprintf("pool %q serves %q already", other, p.Service), "use one pool for each service")
		}
		services[p.Service] = p.Name
		if p.PromisedHosts > members[p.Name] {
			c.fault(KindPool, p.Name, "promised_hosts", fmt.Sprintf("%d hosts are promised but the sheet gives the pool %d", p.PromisedHosts, members[p.Name]), "lower the promise or add hosts")
		}
	}
}

func (c *checker) hosts() {
	zones := map[string]string{}
	for _, h := range c.s.Hosts {
		c.reference(KindHost, h.Name, "pool", KindPool, h.Pool)
		if h.Cores == 0 || h.MemoryGb == 0 {
			c.fault(KindHost, h.Name, "cores", "a host has no cores or no memory", "write both")
		}
		rack := h.Region + "/" + h.Rack
		if zone, known := zones[rack]; known && zone != h.Zone {
			c.fault(KindHost, h.Name, "rack", fmt.Sprintf("rack %q is in availability zone %q in another row", h.Rack, zone), "correct the rack or the availability zone")
		}
		zones[rack] = h.Zone
	}
}

func (c *checker) jobs() {
	for _, j := range c.s.Jobs {
		c.reference(KindJob, j.Name, "pool", KindPool, j.Pool)
		c.reference(KindJob, j.Name, "team", KindTeam, j.Team)
		if j.Count == 0 {
			c.fault(KindJob, j.Name, "count", "the job has no instances", "write 1 or more, or remove the row")
		}
	}
}

func (c *checker) waves() {
	for _, w := range c.s.Waves {
		if len(w.Hosts) == 0 {
			c.fault(KindWave, w.Name, "hosts", "the wave has no hosts", "list its hosts or remove the row")
		}
		for _, h := range w.Hosts {
			c.reference(KindWave, w.Name, "hosts", KindHost, h)
		}
		if w.DeadlineUnixMs != 0 && w.DeadlineUnixMs <= w.NotBeforeUnixMs {
			c.fault(KindWave, w.Name, "deadline", "is not after the earliest start", "write a later deadline")
		}
	}
}
