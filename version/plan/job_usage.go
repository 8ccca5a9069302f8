package plan

// jobUsage is the observed resource usage of a job's tasks.
type jobUsage struct {
	peak    Resources
	settled bool // observed on a task that had run long enough to show its full usage
}

// size returns the resources that are charged for one task of the job: the declared
// size, corrected by the observed usage. A higher usage counts at once, a lower one only
// after a task has run long enough. Accelerators are whole devices and stay as declared.
func (j *jobState) size(s JobSettings) Resources {
	return Resources{
		MilliCores:   correctedSize(j.Size.MilliCores, j.usage.peak.MilliCores, j.usage.settled, s),
		MemoryMB:     correctedSize(j.Size.MemoryMB, j.usage.peak.MemoryMB, j.usage.settled, s),
		Accelerators: j.Size.Accelerators,
	}
}

func correctedSize(declared, peak int64, settled bool, s JobSettings) int64 {
	if peak == 0 {
		return declared
	}
	withHeadroom := peak + peak*s.HeadroomPercent/100
	if settled || withHeadroom > declared && peak > declared {
		return withHeadroom
	}
	return declared
}

// Report records a measurement. One from before the start of the task's current attempt
// belongs to an earlier attempt and is dropped.
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
	j.usage.settled = j.usage.settled || ran >= s.settings.UsageSettleTime
	if ran >= s.settings.HealthyAfter && !t.countedSuccess {
		t.countedSuccess = true
		s.recordSuccess(t)
	}
	size := j.size(s.settings)
	if size != before {
		j.reason = s.cannotRunReason(j)
	}
	if t.phase == phaseRunning && t.charge != size {
		s.setCharge(t, size)
		s.relieveMemory(t.worker)
		s.startWaiting(t.worker)
	}
}

// relieveMemory checkpoints the latest normal tasks of a worker whose memory is
// overcommitted after a correction. Overcommitted processors only slow its tasks down.
func (s *Scheduler) relieveMemory(w *workerState) {
	over := w.used.MemoryMB - w.Capacity.MemoryMB
	for _, t := range w.tasks {
		if t.preempting() {
			over -= t.charge.MemoryMB
		}
	}
	for i := len(w.tasks) - 1; i >= 0 && over > 0; i-- {
		t := w.tasks[i]
		// A worker's only task keeps running: it would not fit better on another worker.
		if t.job.Urgent || t.phase != phaseRunning || len(w.tasks) == 1 {
			continue
		}
		over -= t.charge.MemoryMB
		s.preempt(t)
	}
}
