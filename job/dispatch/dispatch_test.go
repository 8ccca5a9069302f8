package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func healthyRelays(names ...string) *Relays {
	r := New(&Numbers{})
	r.SetNames(names)
	for _, name := range names {
		number, _ := r.Send(0, name)
		r.Confirm(name, number)
	}
	return r
}

func choices(r *Relays) map[string]string {
	chosen := map[string]string{}
	for i := range 1000 {
		worker := fmt.Sprint("w-", i)
		if name, ok := r.Choose(worker); ok {
			chosen[worker] = name
		}
	}
	return chosen
}

// Guards against orders through a process that has confirmed nothing yet.
func TestRelayGetsOrdersAfterItsProbe(t *testing.T) {
	is := is.New(t)
	r := New(&Numbers{})
	r.SetNames([]string{"a"})
	_, probes := r.Check(0)
	is.Equal(probes, []string{"a"})
	number, _ := r.Send(0, "a")
	_, ok := r.Choose("w")
	is.True(!ok)
	_, probes = r.Check(time.Millisecond)
	is.Equal(len(probes), 0) // one probe at a time
	is.True(r.Confirm("a", number))
	name, ok := r.Choose("w")
	is.True(ok)
	is.Equal(name, "a")
}

// Guards against a lost relay that keeps getting orders, and against a confirmation of
// an older message that makes it count as healthy again.
func TestRelayWithoutConfirmationFails(t *testing.T) {
	is := is.New(t)
	r := healthyRelays("a", "b")
	first, _ := r.Send(time.Second, "a")
	r.Send(time.Second, "a")
	r.Confirm("a", first)
	failed, _ := r.Check(time.Second + confirmTimeout)
	is.Equal(len(failed), 0)
	failed, _ = r.Check(time.Second + confirmTimeout + 1)
	is.Equal(failed, []string{"a"})
	is.Equal(r.Healthy(), 1)
	for _, name := range choices(r) {
		is.Equal(name, "b")
	}
	failed, probes := r.Check(2*time.Second + confirmTimeout)
	is.Equal(len(failed), 0) // reported once
	is.Equal(probes, []string{"a"})
	probe, _ := r.Send(2*time.Second+confirmTimeout, "a")
	is.True(!r.Confirm("a", first))
	is.Equal(r.Healthy(), 1)
	is.True(!r.Confirm("a", probe+1)) // a number that was never sent
	is.True(r.Confirm("a", probe))
	is.Equal(r.Healthy(), 2)
}

// Guards against a load that is spread unevenly, and against a loss that moves workers
// of other relays.
func TestWorkersAreSpreadAndStay(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	r := healthyRelays(names...)
	before := choices(r)
	counts := map[string]int{}
	for _, name := range before {
		counts[name]++
	}
	for _, name := range names {
		is.True(counts[name] > 1000/len(names)/2 && counts[name] < 1000/len(names)*2)
	}
	is.Equal(r.SetNames(names[1:]), []string{"a"})
	for worker, name := range choices(r) {
		is.True(name == before[worker] || before[worker] == "a")
	}
}

// Guards against a process that was suspended and then carries out what it finds in its
// receive buffer, and against clock drift that makes every message look old.
func TestAges(t *testing.T) {
	is := is.New(t)
	var a Ages
	const offset = time.Hour
	is.Equal(a.Age(time.Second, offset+time.Second+3*time.Millisecond), time.Duration(0))
	is.Equal(a.Age(2*time.Second, offset+2*time.Second+5*time.Millisecond), 2*time.Millisecond)
	is.Equal(a.Age(3*time.Second, offset+9*time.Second), 6*time.Second-3*time.Millisecond)
	is.Equal(a.Age(4*time.Second, offset+4*time.Second), time.Duration(0))
	drift := time.Duration(0)
	for s := 10; s < 3600; s++ {
		drift = time.Duration(s) * 200 * time.Microsecond
		age := a.Age(time.Duration(s)*time.Second, offset+time.Duration(s)*time.Second+drift)
		is.True(age < 20*time.Millisecond)
	}
}

// Guards against orders to a relay's process that has confirmed no probe: a confirmation of
// what was sent before its start, or before its failure, does not make it healthy.
func TestOlderConfirmationDoesNotMakeARelayHealthy(t *testing.T) {
	is := is.New(t)
	r := New(&Numbers{})
	r.SetNames([]string{"a"})
	number, _ := r.Send(0, "a")
	is.True(!r.Restarted("a", "first"))
	is.True(r.Confirm("a", number))
	r.Send(time.Second, "a")
	sentBefore, _ := r.Send(time.Second, "a")
	is.True(r.Restarted("a", "second"))
	is.Equal(r.Healthy(), 0)
	is.True(!r.Confirm("a", sentBefore))
	_, probes := r.Check(time.Second)
	is.Equal(probes, []string{"a"})
	probe, boot := r.Send(time.Second, "a")
	is.Equal(boot, "second")
	is.True(r.Confirm("a", probe))

	sentBefore, _ = r.Send(2*time.Second, "a")
	failed, _ := r.Check(4 * time.Second)
	is.Equal(failed, []string{"a"})
	is.True(!r.Confirm("a", sentBefore))
}
