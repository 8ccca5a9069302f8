package plan

// jobUsage is what the tasks of a job were seen to use.
type jobUsage struct {
	peak    Resources
	settled bool // seen on a task that had run long enough to show its full size
}

// size is what one task of the job counts for: the declared size, raised to what was
// observed at once, and lowered to it only after a task has run long enough.
// Accelerators are whole devices and stay as declared.
func (j *jobState) size(s JobSettings) Resources {
	return Resources{
		MilliCores:   correct(j.Size.MilliCores, j.usage.peak.MilliCores, j.usage.settled, s),
		MemoryMB:     correct(j.Size.MemoryMB, j.usage.peak.MemoryMB, j.usage.settled, s),
		Accelerators: j.Size.Accelerators,
	}
}

func correct(declared, peak int64, settled bool, s JobSettings) int64 {
	if peak == 0 {
		return declared
	}
	withHeadroom := peak + peak*s.HeadroomPercent/100
	if settled || withHeadroom > declared && peak > declared {
		return withHeadroom
	}
	return declared
}

// Report records an observation. One that describes a time before the task's present
// start belongs to an earlier attempt and is dropped.
func (s *Scheduler) Report(u Usage) {
	t := s.tasks[u.Task]
	if t == nil || t.worker == nil || u.At < t.started {
		return
	}
	j := t.job
	before := j.size(s.settings)
	j.usage.peak.MilliCores = max(j.usage.peak.MilliCores, u.Used.MilliCores)
	j.usage.peak.MemoryMB = max(j.usage.peak.MemoryMB, u.Used.MemoryMB)
	ran := u.At - t.started
	j.usage.settled = j.usage.settled || ran >= s.settings.UsageSettle
	if ran >= s.settings.HealthyAfter && !t.healthy {
		t.healthy = true
		s.succeeded(t)
	}
	size := j.size(s.settings)
	if size != before {
		j.reason = s.neverReason(j)
	}
	if t.phase == phaseRunning && t.charge != size {
		s.charge(t, size)
		s.relieve(t.worker)
		s.startWaiting(t.worker)
	}
}

// relieve checkpoints the latest normal task of a worker whose memory is overcommitted
// after a correction; overcommitted processors only slow its tasks.
func (s *Scheduler) relieve(w *workerState) {
	over := w.used.MemoryMB - w.Capacity.MemoryMB
	for _, t := range w.tasks {
		if t.preempting() {
			over -= t.charge.MemoryMB
		}
	}
	for i := len(w.tasks) - 1; i >= 0 && over > 0; i-- {
		t := w.tasks[i]
		// The only task of a worker is left: elsewhere it would not fit better.
		if t.job.Urgent || t.phase != phaseRunning || len(w.tasks) == 1 {
			continue
		}
		over -= t.charge.MemoryMB
		s.preempt(t)
	}
}
