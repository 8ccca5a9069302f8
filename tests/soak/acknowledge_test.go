package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marjoramtiller.example/marjoramtiller/standin/executor"
)

// acknowledgeFleet is a single worker whose tasks all run for the same time.
var acknowledgeFleet = fleet{controls: 3, entries: 1, workers: 1, minRun: 150 * time.Millisecond, maxRun: 150 * time.Millisecond,
	reportInterval: time.Second, maxLease: 10 * time.Second, maxDelay: 2 * time.Second}

// Timings of a restart at which an acknowledgement and a start are in transit.
const (
	answerTransit   = 3 * time.Millisecond   // for an answer to pass the relay
	restartDownTime = 300 * time.Millisecond // within which the leader sends both
	transitTime     = 100 * time.Millisecond // for both to reach the next process
	restartCut      = 3500 * time.Millisecond
	restarts        = 3
)

// acknowledgePlay restarts a worker right after it has listed the end of a task, and cuts it
// off once its next process has received what was in transit: the acknowledgement of that
// end, which it carries out late, and the start of another task, which it completes before.
type acknowledgePlay struct {
	*soak
	w       *worker
	restart sync.Once
	begun   chan struct{} // closed when the worker has listed the end
	done    chan struct{} // closed when the worker is reachable again
}

// submit submits a job with one task until it is accepted, and returns its id.
func (s *soak) submit(number int) string {
	id := fmt.Sprintf("%016x", number)
	s.eventually("job "+id+" is accepted", func() bool {
		body := fmt.Sprintf(`{"spec":"x","steps":[{"count":1,"cpu":%d,"estimated-ms":150}]}`, taskCPU)
		code, _ := s.call(http.MethodPost, s.entry(s.rng), "a.example", "/q/"+id, body)
		return code == http.StatusOK
	})
	return id
}

// listed is called when the worker has listed an end.
func (p *acknowledgePlay) listed() {
	p.restart.Do(func() {
		time.Sleep(answerTransit)
		close(p.begun)
		go p.restartWithOrdersInTransit()
	})
}

func (p *acknowledgePlay) restartWithOrdersInTransit() {
	defer close(p.done)
	p.w.mu.Lock()
	e := p.w.process
	p.w.earlier = append(p.w.earlier, e)
	p.w.mu.Unlock()
	p.w.relay.SetTarget("")
	e.Close()
	time.Sleep(restartDownTime)
	var reachable atomic.Bool
	p.startWorker(p.w, func(path, _ string) executor.Fault {
		if path == holdPath && !reachable.Load() {
			return executor.Late
		}
		return executor.None
	})
	time.Sleep(transitTime)
	p.w.setCutOff(true)
	time.Sleep(restartCut)
	reachable.Store(true)
	p.w.setCutOff(false)
}

// Guards against a task that starts again although it is done: its worker was restarted under
// its id, completed a start that was meant for the process before, and then carried out an
// acknowledgement that was meant for that one as well, by the number of an end.
func TestAcknowledgementMeantForTheEarlierProcess(t *testing.T) {
	s := newSoak(t, 1, acknowledgeFleet)
	s.faultsEnabled = false
	defer s.open()()
	w := s.workers[0]
	var ids []string
	for n := range restarts {
		p := &acknowledgePlay{soak: s, w: w, begun: make(chan struct{}), done: make(chan struct{})}
		processes := w.all()
		processes[len(processes)-1].SetListed(p.listed)
		ids = append(ids, s.submit(2*n+1))
		<-p.begun
		ids = append(ids, s.submit(2*n+2))
		<-p.done
		for _, id := range ids {
			s.eventually("job "+id+" is completed", func() bool {
				_, body := s.call(http.MethodGet, s.entry(s.rng), "a.example", "/q/"+id, "")
				return strings.Contains(body, "completed")
			})
		}
	}
	s.check()
}
