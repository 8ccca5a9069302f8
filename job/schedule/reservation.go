package schedule

import "time"

// Limits of reservations.
const (
	// reservationLimit is the time after which a reservation ends even if its task has not
	// started, so that the other tasks which need the worker start there.
	reservationLimit = 2 * time.Second
	// reservationPause is the time after that in which the worker is not reserved again.
	reservationPause = 4 * reservationLimit
)

// Reservations holds the workers that successive plans keep free of other starts, each for a
// task on probation. The zero value holds none.
type Reservations struct {
	byWorker map[string]*reservation
}

// reservation is kept after its end until reservationPause is over.
type reservation struct {
	job     string
	since   time.Duration
	endedAt time.Duration // when it exceeded reservationLimit, 0 if it has not
	renewed bool          // by the current plan
}

func (r *Reservations) clear() { r.byWorker = nil }

// begin ends the reservations that have lasted too long. A plan calls it first.
func (r *Reservations) begin(now time.Duration) {
	for id, held := range r.byWorker {
		held.renewed = false
		if held.endedAt == 0 && now >= held.since+reservationLimit {
			held.endedAt = now
		}
		if held.endedAt > 0 && now >= held.endedAt+reservationPause {
			delete(r.byWorker, id)
		}
	}
}

// end removes the reservations that the plan has not renewed.
func (r *Reservations) end() {
	for id, held := range r.byWorker {
		if held.endedAt == 0 && !held.renewed {
			delete(r.byWorker, id)
		}
	}
}

// heldFor reports whether a worker was reserved for a job by the last plan.
func (r *Reservations) heldFor(worker, job string) bool {
	held := r.byWorker[worker]
	return held != nil && held.endedAt == 0 && held.job == job
}

// resting reports whether a worker may not be reserved, because its last reservation has
// lasted too long.
func (r *Reservations) resting(worker string) bool {
	held := r.byWorker[worker]
	return held != nil && held.endedAt > 0
}

// renew reserves a worker for a job, or keeps it reserved.
func (r *Reservations) renew(now time.Duration, worker, job string) {
	if !r.heldFor(worker, job) {
		if r.byWorker == nil {
			r.byWorker = map[string]*reservation{}
		}
		r.byWorker[worker] = &reservation{job: job, since: now}
	}
	r.byWorker[worker].renewed = true
}
