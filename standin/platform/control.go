package platform

import "slices"

// FailWorker takes a worker down; its tasks are lost. It stays down across reboots until
// RepairWorker.
func (p *Platform) FailWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if w := p.workers[name]; w != nil {
		w.Up, w.failed = false, true
		p.loseTasks(name)
	}
}

// RepairWorker ends the failures of a worker. It is up at once, or at the end of a reboot
// in progress.
func (p *Platform) RepairWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if w := p.workers[name]; w != nil {
		w.failed, w.failsTasks = false, false
		w.Up = !w.rebooting
	}
}

// SetFailsTasks sets whether a worker fails every task that starts on it from now on.
func (p *Platform) SetFailsTasks(name string, fails bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[name]; w != nil {
		w.failsTasks = fails
	}
}

// FailRandomWorkers takes n workers down, chosen with the seeded random source, and
// returns their names.
func (p *Platform) FailRandomWorkers(n int) []string {
	p.mu.Lock()
	var up []string
	for name, w := range p.workers {
		if w.Up {
			up = append(up, name)
		}
	}
	slices.Sort(up)
	p.rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	p.mu.Unlock()
	up = up[:min(n, len(up))]
	for _, name := range up {
		p.FailWorker(name)
	}
	return up
}
