package platform

import "slices"

// FailWorker takes a worker down and loses its tasks. It stays down through reboots.
func (p *Platform) FailWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	if w := p.workers[name]; w != nil {
		w.Up, w.dead = false, true
		p.loseTasks(name)
	}
}

// RepairWorker brings a failed worker back, unless it is rebooting.
func (p *Platform) RepairWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	if w := p.workers[name]; w != nil {
		w.dead, w.failsTasks = false, false
		w.Up = !w.rebooting
	}
}

// FailEverything makes a worker fail every task that starts on it from now on.
func (p *Platform) FailEverything(name string, fails bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[name]; w != nil {
		w.failsTasks = fails
	}
}

// FailRandomWorkers takes n workers down, chosen by the seed, and returns their names.
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
