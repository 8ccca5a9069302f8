package main

import (
	"fmt"
	"time"
)

// entryWithoutID plays one list of machines that holds, beside all true entries, one of
// another writer for a machine, with a field missing: its id. Rule TWICE.
func entryWithoutID(w *world) (verdict, error) {
	const work = 9 * time.Second
	if err := w.bringUp(4, func(string) time.Duration { return work }); err != nil {
		return verdict{}, err
	}
	path := prefix + newID()
	if err := w.submit(path, `{"spec":"x","steps":[{"count":6,"cpu":16000,"mem-mb":1024,"estimated-ms":9000}]}`); err != nil {
		return verdict{}, err
	}
	started := func() int {
		n := 0
		for _, x := range w.workers {
			n += len(x.running())
		}
		return n
	}
	if !waitFor(10*time.Second, func() bool { return started() == 6 }) {
		return verdict{}, fmt.Errorf("%d of 6 tasks began", started())
	}
	time.Sleep(2500 * time.Millisecond)
	var busiest *worker
	for _, x := range w.workers {
		if busiest == nil || len(x.running()) > len(busiest.running()) {
			busiest = x
		}
	}
	if w.trouble {
		w.machines.addOnce(fmt.Sprintf(`{"machine":%q,"pool":%q,"state":"up","zone":"bayangol","capacity":{"cpu":%d,"mem-mb":%d,"gpu":0}}`, busiest.machine, pool, workerCPU, workerMem))
	}
	time.Sleep(9 * time.Second)
	w.ask(0, "GET", path, "")
	return w.judgeTwice(), nil
}
