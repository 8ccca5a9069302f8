package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

func demandOf(requests, refused uint64) []*wirepb.ServiceDemand {
	return []*wirepb.ServiceDemand{{Service: "s", Requests: requests, Refused: refused}}
}

// Guards against counts that are lost with a sync report, lost with the end of
// a boot, or added twice by a restart, a report that was overtaken, or a boot
// that comes back after its lease has ended.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRequestTotals(0, false)
		boot := lease.SessionID{Entry: "e", BootID: "0"}
		var now, bootStart time.Duration
		var total, all, sampled uint64
		var earlier []*wirepb.ServiceDemand
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
			n := uint64(rapid.IntRange(0, 9).Draw(t, "requests"))
			total, all = total+n, all+n
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0: // the report is lost
			case 1: // a restart after a last report
				r.report(boot, now-bootStart, demandOf(total, 0), now)
				boot.BootID, bootStart, total, earlier = string(rune('a'+step)), now, 0, nil
			case 2:
				if earlier != nil {
					r.report(boot, now-bootStart, earlier, now)
				}
			case 3:
				sampled += r.take(now)["s"].requests
			default:
				earlier = demandOf(total, 0)
				r.report(boot, now-bootStart, earlier, now)
			}
		}
		r.report(boot, now-bootStart, demandOf(total, 0), now)
		sampled += r.take(now)["s"].requests + r.take(now)["s"].requests
		if sampled != all {
			t.Fatalf("counted %d of %d requests", sampled, all)
		}
	})
}

// Guards against a new leader that counts again what the earlier one counted,
// also for an entry that reports to it late, and against a boot that started
// under the new leader and is not counted from its beginning.
func TestNewLeaderCountsOnlyWhatIsNew(t *testing.T) {
	is := is.New(t)
	r := newRequestTotals(0, true)
	r.take(10 * time.Second)
	old := lease.SessionID{Entry: "e", BootID: "1"}
	r.report(old, time.Hour, demandOf(1000, 10), 15*time.Second)
	r.report(lease.SessionID{Entry: "f", BootID: "1"}, 5*time.Second, demandOf(7, 2), 15*time.Second)
	c := r.take(20 * time.Second)["s"]
	is.Equal(c.requests, uint64(7))
	is.Equal(c.refused, uint64(2))
	r.report(old, time.Hour, demandOf(1003, 10), 25*time.Second)
	is.Equal(r.take(30 * time.Second)["s"].requests, uint64(3))
}
