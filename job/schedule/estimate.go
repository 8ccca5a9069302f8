package schedule

import (
	"math"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Estimates predicts run times of tasks. How well declared run times predict the actual
// ones differs by queue. A prediction is therefore a weighted mean of the declared time,
// corrected by its past error, and of the queue's mean run time; the weights follow from
// how well each has predicted the ended runs. The zero value is not usable; see
// NewEstimates.
type Estimates struct {
	queues map[string]*history
}

// history holds the statistics of a queue: of the logarithms of the run times of its
// tasks, of the logarithms of their ratio to the declared times, and of the work of its jobs.
type history struct {
	actual, ratio moments
	work          moments // core-seconds of a whole occurrence of each job
}

// moments is a running mean and variance in which old values decay exponentially once
// effectiveRuns values were added.
type moments struct {
	n, mean, variance float64
}

const (
	effectiveRuns = 300.0 // about the number of latest values that determine a mean
	minRuns       = 8     // runs of a queue below which its declared times are used uncorrected
	minVariance   = 0.01  // added to variances of logarithms, so that no weight becomes infinite
	// The weight of a job in the order of starts is a fixed part plus a part that is
	// proportional to its work relative to the queue's mean, up to maxWeight.
	fixedWeight       = 0.3
	weightPerMeanWork = 0.7
	maxWeight         = 4.0
	minEstimate       = 20 * time.Millisecond
	maxEstimate       = time.Hour
	undeclaredTime    = 500 * time.Millisecond // for a step without a declared time
)

func (m *moments) add(x float64) {
	m.n = min(m.n+1, effectiveRuns)
	delta := x - m.mean
	m.mean += delta / m.n
	m.variance += (delta*(x-m.mean) - m.variance) / m.n
}

// NewEstimates returns estimates without history.
func NewEstimates() *Estimates { return &Estimates{queues: map[string]*history{}} }

func declaredTime(step *jobpb.Step) time.Duration {
	if step.EstimatedMs == 0 {
		return undeclaredTime
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

// AddJob records the expected work of a submitted job and returns it, in core-seconds.
func (e *Estimates) AddJob(j *jobpb.Job) float64 {
	total, _ := e.work(j, &jobpb.Occurrence{})
	e.history(j.Queue).work.add(total)
	return total
}

// work returns the expected total and remaining work of an occurrence, in core-seconds.
// Lasting and filling steps count as no work.
func (e *Estimates) work(j *jobpb.Job, occurrence *jobpb.Occurrence) (total, remaining float64) {
	for i, step := range j.Steps {
		if step.Lasting || step.Fill {
			continue
		}
		perTask := float64(step.CpuMillis) / 1000 * e.RunTime(j.Queue, step).Seconds()
		total += perTask * float64(step.Count)
		if i >= len(occurrence.Steps) {
			remaining += perTask * float64(step.Count)
			continue
		}
		for _, t := range occurrence.Steps[i].Tasks {
			if !t.Done {
				remaining += perTask
			}
		}
	}
	return total, remaining
}

// weight returns the weight of a job with the given work. A job with the mean work of
// its queue has weight 1.
func (e *Estimates) weight(queue string, work float64) float64 {
	h := e.queues[queue]
	if h == nil || h.work.mean <= 0 {
		return 1
	}
	return min(fixedWeight+weightPerMeanWork*work/h.work.mean, maxWeight)
}

// AddRun records the run time of a task that has ended as done.
func (e *Estimates) AddRun(queue string, step *jobpb.Step, actual time.Duration) {
	h := e.history(queue)
	logActual := math.Log(max(actual, time.Millisecond).Seconds())
	h.actual.add(logActual)
	h.ratio.add(logActual - math.Log(declaredTime(step).Seconds()))
}

// HasEnoughRuns reports whether enough runs of a queue were recorded to correct the
// declared run times of its jobs.
func (e *Estimates) HasEnoughRuns(queue string) bool {
	h := e.queues[queue]
	return h != nil && h.actual.n >= minRuns
}

// RunTime returns the expected run time of a task of a step.
func (e *Estimates) RunTime(queue string, step *jobpb.Step) time.Duration {
	estimate := declaredTime(step)
	if !e.HasEnoughRuns(queue) {
		return estimate
	}
	h := e.queues[queue]
	logByMean := h.actual.mean + h.actual.variance/2
	logByDeclared := math.Log(estimate.Seconds()) + h.ratio.mean + h.ratio.variance/2
	declaredWeight := (h.actual.variance + minVariance) / (h.actual.variance + h.ratio.variance + 2*minVariance)
	seconds := math.Exp(declaredWeight*logByDeclared + (1-declaredWeight)*logByMean)
	return min(max(time.Duration(seconds*float64(time.Second)), minEstimate), maxEstimate)
}
