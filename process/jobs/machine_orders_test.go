package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/process/replica"
)

// timedLeaseLog is the log of a leader with a lease.
type timedLeaseLog struct {
	fixedLog
	status replica.Status
}

func (l *timedLeaseLog) Status() replica.Status { return l.status }

// Guards against orders to machines that outlast the lease, or the term, in which they were
// decided.
func TestLeadershipLastsAsLongAsTheLeaseOfItsTerm(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	s.term = 3
	log := &timedLeaseLog{}
	s.c.group = log
	l := s.leadership()
	is.Equal(l.Fence, uint64(3))
	lead := func(term uint64, valid bool, remaining time.Duration) {
		log.status = replica.Status{LeaseValid: valid}
		log.status.Term, log.status.LeaseUntil = term, s.now()+remaining
	}
	lead(3, true, time.Hour)
	is.True(l.Remaining() > 59*time.Minute && l.Remaining() <= time.Hour)
	lead(4, true, time.Hour) // it leads again, after another one may have
	is.Equal(l.Remaining(), time.Duration(0))
	lead(3, false, time.Hour)
	is.Equal(l.Remaining(), time.Duration(0))
	lead(3, true, -time.Second) // the clock has passed the lease since it was read
	is.True(l.Remaining() <= 0)
}
