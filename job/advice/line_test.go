package advice

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/state"
)

const tick = 8 * time.Millisecond

// simAdvisor handles the calls of one process one at a time, in turn.
type simAdvisor struct {
	slowness  float64 // of its calls, as a multiple of the configured times
	dropsGone bool    // it drops a call whose caller has given it up before its turn
	silent    [2]time.Duration
	refuses   [2]time.Duration // from and until when calls fail at once
	queue     []*simCall
}

type simCall struct {
	*Call
	sentAt time.Duration
	doneAt time.Duration // 0 before its turn
	gone   bool          // its caller has given it up
}

func within(now time.Duration, span [2]time.Duration) bool { return now >= span[0] && now < span[1] }

// handle advances the advisor, and returns the call that it answers now.
func (a *simAdvisor) handle(now time.Duration) *simCall {
	if within(now, a.silent) || len(a.queue) == 0 {
		return nil
	}
	c := a.queue[0]
	if c.doneAt == 0 {
		if c.gone && a.dropsGone {
			a.queue = a.queue[1:]
			return nil
		}
		c.doneAt = max(now, c.sentAt) + time.Duration(a.slowness*float64(c.cost.Call(c.workers)))
	}
	if now < c.doneAt {
		return nil
	}
	a.queue = a.queue[1:]
	return c
}

// simSteps plays steps that wait for advice from their arrival until they have a usable answer,
// and returns when each had one; those that had none are missing.
type simSteps struct {
	cost     Cost
	workers  int
	arrivals map[string]time.Duration
	priority map[string]uint32
	end      time.Duration
	calls    int
}

func (s *simSteps) play(a *simAdvisor) map[string]time.Duration {
	line := NewLine()
	served := map[string]time.Duration{}
	var open []*simCall
	for now := time.Duration(0); now < s.end; now += tick {
		for name, at := range s.arrivals {
			if _, done := served[name]; !done && at <= now {
				line.Ask(now, Ask{Key: state.StepKey{Job: name}, Priority: s.priority[name]})
			}
		}
		for {
			key, ok := line.Next(now)
			if !ok {
				break
			}
			c := &simCall{Call: line.Send(now, key, s.cost, min(s.workers, s.cost.Workers())), sentAt: now}
			s.calls++
			if within(now, a.refuses) {
				line.Failed(now, c.Call, false)
				continue
			}
			a.queue, open = append(a.queue, c), append(open, c)
		}
		for _, c := range open {
			if now-c.sentAt >= c.Timeout {
				c.gone = true
				line.Failed(now, c.Call, true)
			}
		}
		answer := a.handle(now)
		if answer != nil && !answer.gone && line.Answered(now, answer.Call) > now {
			served[answer.Key.Job] = now
		}
		open = slices.DeleteFunc(open, func(c *simCall) bool { return c.gone || c == answer })
	}
	return served
}

func burst(n int) map[string]time.Duration {
	arrivals := map[string]time.Duration{}
	for i := range n {
		arrivals[fmt.Sprintf("job-%02d", i)] = time.Duration(i) * tick
	}
	return arrivals
}

// Guards against steps that never get an answer of an advisor which handles one call at a time
// (review/14): calls that wait for each other are given up and made anew without end, a call
// takes longer than its timeout by its configuration, or the tickets' validity is used up by
// the wait. Each step is served within the time that the advisor needs for one call about each,
// and the time that it is in trouble, twice over.
func TestBurstOfStepsIsAdvised(t *testing.T) {
	review := Cost{450 * time.Millisecond, 75 * time.Millisecond, time.Minute}
	for name, c := range map[string]struct {
		cost    Cost
		workers int
		steps   int
		advisor simAdvisor
		trouble time.Duration
	}{
		"review/14":                  {cost: review, workers: 8, steps: 8},
		"many steps":                 {cost: review, workers: 8, steps: 60},
		"short validity":             {cost: Cost{500 * time.Millisecond, 0, 2500 * time.Millisecond}, workers: 8, steps: 8},
		"validity below a call":      {cost: Cost{2 * time.Second, 0, time.Second}, workers: 8, steps: 4},
		"many workers":               {cost: Cost{10 * time.Millisecond, 85 * time.Millisecond, 10 * time.Second}, workers: 30, steps: 8},
		"quick calls":                {cost: Cost{10 * time.Millisecond, 0, 4 * time.Second}, workers: 30, steps: 60},
		"a call of four seconds":     {cost: Cost{4 * time.Second, 0, time.Minute}, workers: 8, steps: 8},
		"slower than configured":     {cost: review, workers: 8, steps: 8, advisor: simAdvisor{slowness: 4}},
		"much slower, drops":         {cost: Cost{20 * time.Millisecond, 0, time.Minute}, workers: 8, steps: 8, advisor: simAdvisor{slowness: 150, dropsGone: true}},
		"much slower, handles all":   {cost: Cost{20 * time.Millisecond, 0, time.Minute}, workers: 8, steps: 8, advisor: simAdvisor{slowness: 150}},
		"just above the first limit": {cost: Cost{time.Second, 0, time.Minute}, workers: 8, steps: 8, advisor: simAdvisor{slowness: 4.1}},
		"silent":                     {cost: review, workers: 8, steps: 8, advisor: simAdvisor{silent: [2]time.Duration{time.Second, 9 * time.Second}}, trouble: 8 * time.Second},
		"refuses connections":        {cost: review, workers: 8, steps: 8, advisor: simAdvisor{refuses: [2]time.Duration{0, 5 * time.Second}}, trouble: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.advisor.slowness = max(1, c.advisor.slowness)
			workers := min(c.workers, c.cost.Workers())
			needed := time.Duration(float64(c.steps)*c.advisor.slowness) * c.cost.Call(workers)
			s := &simSteps{cost: c.cost, workers: c.workers, arrivals: burst(c.steps), end: 2*(needed+c.trouble) + leastGrace}
			served := s.play(&c.advisor)
			is.Equal(len(served), c.steps) // all steps have tickets
		})
	}
}

// Guards against a step that starves: those that have waited longest come first, urgent ones
// before them for a bounded time only.
func TestOldestStepIsAskedAboutFirst(t *testing.T) {
	is := is.New(t)
	cost := Cost{100 * time.Millisecond, 0, time.Minute}
	arrivals, priority := burst(10), map[string]uint32{}
	for i := range 10 {
		priority[fmt.Sprintf("job-%02d", i)] = 1
	}
	for i := range 100 { // as many as the advisor can serve
		name := fmt.Sprintf("urgent-%03d", i)
		arrivals[name] = 200*time.Millisecond + time.Duration(i)*100*time.Millisecond
	}
	s := &simSteps{cost: cost, workers: 8, arrivals: arrivals, priority: priority, end: 15 * time.Second}
	served := s.play(&simAdvisor{slowness: 1})
	is.True(served["urgent-000"] < served["job-09"])
	is.True(served["job-00"] < served["job-09"])
	for i := range 10 {
		at, ok := served[fmt.Sprintf("job-%02d", i)]
		is.True(ok && at < 4*time.Second)
	}
}

// Guards against calls that an advisor without any answer gets all the time.
func TestFailingAdvisorIsCalledSeldom(t *testing.T) {
	is := is.New(t)
	s := &simSteps{cost: Cost{20 * time.Millisecond, 0, time.Minute}, workers: 8, arrivals: burst(50), end: 10 * time.Second}
	is.Equal(len(s.play(&simAdvisor{slowness: 1, refuses: [2]time.Duration{0, time.Hour}})), 0)
	is.True(s.calls <= 51) // one each retryDelay
}

// Guards against calls that name more workers than the advisor can handle while their tickets
// last, and against calls without any.
func TestWorkersOfACallFollowFromItsCost(t *testing.T) {
	is := is.New(t)
	is.Equal(Cost{20 * time.Millisecond, time.Millisecond, 10 * time.Second}.Workers(), MaxWorkers)
	is.Equal(Cost{0, 85 * time.Millisecond, time.Minute}.Workers(), 11)
	is.Equal(Cost{450 * time.Millisecond, 75 * time.Millisecond, 2 * time.Second}.Workers(), 3)
	is.Equal(Cost{2 * time.Second, 100 * time.Millisecond, time.Minute}.Workers(), 20)
	is.Equal(Cost{2 * time.Second, 100 * time.Millisecond, time.Second}.Workers(), 1)
	is.Equal(Cost{2 * time.Second, 0, time.Second}.Workers(), MaxWorkers)
	is.True(Cost{2 * time.Second, 0, time.Second}.TooShort())
	is.True(!Cost{100 * time.Millisecond, 0, time.Second}.TooShort())
}
