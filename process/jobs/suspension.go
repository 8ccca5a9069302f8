package jobs

import "time"

// suspensionGap is the time between two rounds of a session above which its process counts
// as suspended meanwhile.
const suspensionGap = time.Second

// suspension notices that this process did not run for a while, for example because its
// machine was frozen. What a worker sent in that time waits to be read.
type suspension struct {
	lastRound time.Duration // 0 before the first round
	endedAt   time.Duration // 0 if there was none
}

// observe records a round. It returns how long the process was suspended before it, 0 if it
// was not.
func (p *suspension) observe(now time.Duration) (lasted time.Duration) {
	gap := now - p.lastRound
	first := p.lastRound == 0
	p.lastRound = now
	if first || gap <= suspensionGap {
		return 0
	}
	p.endedAt = now
	return gap
}
