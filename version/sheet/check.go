package sheet

import "fmt"

// Check validates references between rows and values that must be consistent
// with each other. Its error is a *FaultsError.
func (s *Sheet) Check() error {
	c := &checker{sheet: s, faults: &FaultsError{}}
	c.checkPools()
	c.checkHosts()
	c.checkJobs()
	c.checkWaves()
	if c.faults.Total > 0 {
		return c.faults
	}
	return nil
}

type checker struct {
	sheet  *Sheet
	faults *FaultsError
}

func (c *checker) inSheet(kind, name string) bool {
	_, ok := c.sheet.rows[kind+"/"+name]
	return ok
}

func (c *checker) fault(kind, name, column, message, remedy string) {
	c.faults.add(c.sheet.rows[kind+"/"+name], c.sheet.titles[column], message, remedy)
}

// checkReference records a fault if the referenced object is not in the sheet.
func (c *checker) checkReference(kind, name, column, targetKind, target string) {
	if !c.inSheet(targetKind, target) {
		c.fault(kind, name, column, fmt.Sprintf("%s %q is not in the sheet", targetKind, target), "add its row or correct the name")
	}
}

func (c *checker) checkPools() {
	spare := ""
	services := map[string]string{} // service to pool
	hostCount := map[string]uint32{}
	for _, h := range c.sheet.Hosts {
		hostCount[h.Pool]++
	}
	for _, p := range c.sheet.Pools {
		if p.Spare && spare != "" {
			c.fault(KindPool, p.Name, "spare", fmt.Sprintf("pool %q is already the spare pool", spare), "keep one spare pool")
		}
		if p.Spare {
			spare = p.Name
		}
		if p.Spare && p.PromisedHosts > 0 {
			c.fault(KindPool, p.Name, "promised_hosts", "the spare pool cannot promise hosts", "write 0")
		}
		if p.Spare != (p.Service == "") {
			c.fault(KindPool, p.Name, "service", "a pool must either have a service or be the spare pool", "fill in exactly one of them")
		}
		if other, taken := services[p.Service]; taken && p.Service != "" {
			c.fault(KindPool, p.Name, "service", fmt.Sprintf("pool %q already has service %q", other, p.Service), "use one pool for each service")
		}
		services[p.Service] = p.Name
		if p.PromisedHosts > hostCount[p.Name] {
			c.fault(KindPool, p.Name, "promised_hosts", fmt.Sprintf("%d hosts are promised but the sheet assigns %d to the pool", p.PromisedHosts, hostCount[p.Name]), "lower the promise or add hosts")
		}
	}
}

func (c *checker) checkHosts() {
	zones := map[string]string{} // "region/rack" to availability zone
	for _, h := range c.sheet.Hosts {
		c.checkReference(KindHost, h.Name, "pool", KindPool, h.Pool)
		if h.Cores == 0 || h.MemoryGb == 0 {
			c.fault(KindHost, h.Name, "cores", "the host has no cores or no memory", "write 1 or more for both")
		}
		regionRack := h.Region + "/" + h.Rack
		if zone, known := zones[regionRack]; known && zone != h.Zone {
			c.fault(KindHost, h.Name, "rack", fmt.Sprintf("rack %q is in availability zone %q in another row", h.Rack, zone), "correct the rack or the availability zone")
		}
		zones[regionRack] = h.Zone
	}
}

func (c *checker) checkJobs() {
	for _, j := range c.sheet.Jobs {
		c.checkReference(KindJob, j.Name, "pool", KindPool, j.Pool)
		c.checkReference(KindJob, j.Name, "team", KindTeam, j.Team)
		if j.Count == 0 {
			c.fault(KindJob, j.Name, "count", "the job has no instances", "write 1 or more, or remove the row")
		}
	}
}

func (c *checker) checkWaves() {
	for _, w := range c.sheet.Waves {
		if len(w.Hosts) == 0 {
			c.fault(KindWave, w.Name, "hosts", "the wave has no hosts", "list its hosts or remove the row")
		}
		for _, h := range w.Hosts {
			c.checkReference(KindWave, w.Name, "hosts", KindHost, h)
		}
		if w.DeadlineUnixMs != 0 && w.DeadlineUnixMs <= w.NotBeforeUnixMs {
			c.fault(KindWave, w.Name, "deadline", "is not after the earliest start", "write a later deadline")
		}
	}
}
