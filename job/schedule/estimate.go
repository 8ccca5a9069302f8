package schedule

import (
	"math"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Estimates predicts run times. A declared time may say much or nothing, by
// queue: it is weighed against the queue's mean by how well either has predicted
// the runs seen so far. The zero value is not usable; see NewEstimates.
type Estimates struct {
	queues map[string]*history
}

// history holds the logarithms of a queue's run times, and of their ratio to the
// declared ones.
type history struct {
	actual, ratio moments
	work          moments // core-seconds of whole jobs
}

// moments is a running mean and variance that forgets old values.
type moments struct {
	n, mean, variance float64
}

const (
	memoryRuns  = 300.0 // about as many runs determine a mean
	minRuns     = 8     // before which the declared time stands
	minVariance = 0.01  // of a logarithm, so that no weight becomes infinite
	// A job is worth a fixed part and one that grows with its work against the
	// queue's mean, up to a limit.
	worthFixed   = 0.3
	worthOfMean  = 0.7
	maxWorth     = 4.0
	minEstimate  = 20 * time.Millisecond
	maxEstimate  = time.Hour
	declaredZero = 500 * time.Millisecond // for a step that declares no time
)

func (m *moments) add(x float64) {
	m.n = min(m.n+1, memoryRuns)
	d := x - m.mean
	m.mean += d / m.n
	m.variance += (d*(x-m.mean) - m.variance) / m.n
}

// NewEstimates returns estimates without history.
func NewEstimates() *Estimates { return &Estimates{queues: map[string]*history{}} }

func declared(step *jobpb.Step) time.Duration {
	if step.EstimatedMs == 0 {
		return declaredZero
	}
	return time.Duration(step.EstimatedMs) * time.Millisecond
}

func (e *Estimates) history(queue string) *history {
	h := e.queues[queue]
	if h == nil {
		h = &history{}
		e.queues[queue] = h
	}
	return h
}

// AddJob takes the work of a job that was handed in and returns it, in core-seconds.
func (e *Estimates) AddJob(j *jobpb.Job) float64 {
	whole, _ := e.work(j, &jobpb.Occurrence{})
	e.history(j.Queue).work.add(whole)
	return whole
}

// work returns the expected work of an occurrence and what is left of it, in
// core-seconds. Lasting and filling steps have none.
func (e *Estimates) work(j *jobpb.Job, o *jobpb.Occurrence) (whole, left float64) {
	for i, step := range j.Steps {
		if step.Lasting || step.Fill {
			continue
		}
		each := float64(step.CpuMillis) / 1000 * e.Of(j.Queue, step).Seconds()
		whole += each * float64(step.Count)
		if i >= len(o.Steps) {
			left += each * float64(step.Count)
			continue
		}
		for _, t := range o.Steps[i].Tasks {
			if !t.Done {
				left += each
			}
		}
	}
	return whole, left
}

// worth returns what a job with the given work is worth, as a multiple of a mean one.
func (e *Estimates) worth(queue string, work float64) float64 {
	h := e.queues[queue]
	if h == nil || h.work.mean <= 0 {
		return 1
	}
	return min(worthFixed+worthOfMean*work/h.work.mean, maxWorth)
}

// Add takes the run time of a task that has ended as done.
func (e *Estimates) Add(queue string, step *jobpb.Step, actual time.Duration) {
	h := e.history(queue)
	a := math.Log(max(actual, time.Millisecond).Seconds())
	h.actual.add(a)
	h.ratio.add(a - math.Log(declared(step).Seconds()))
}

// Learned reports whether enough runs of a queue were seen to correct what its
// jobs declare.
func (e *Estimates) Learned(queue string) bool {
	h := e.queues[queue]
	return h != nil && h.actual.n >= minRuns
}

// Of returns the expected run time of a task.
func (e *Estimates) Of(queue string, step *jobpb.Step) time.Duration {
	d := declared(step)
	if !e.Learned(queue) {
		return d
	}
	h := e.queues[queue]
	byMean := h.actual.mean + h.actual.variance/2
	byDeclared := math.Log(d.Seconds()) + h.ratio.mean + h.ratio.variance/2
	trust := (h.actual.variance + minVariance) / (h.actual.variance + h.ratio.variance + 2*minVariance)
	seconds := math.Exp(trust*byDeclared + (1-trust)*byMean)
	return min(max(time.Duration(seconds*float64(time.Second)), minEstimate), maxEstimate)
}
