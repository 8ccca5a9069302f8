package fleet

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

const (
	// MaxNameBytes is the greatest length of an object's name.
	MaxNameBytes = 253

	maxPercent = 100
)

// validate checks every touched object and, for deleted ones, the references to
// it. It reports all faults, not only the first.
func (t *tx) validate() {
	for _, id := range slices.Clone(t.touched) {
		if !t.fleet.exists(id) {
			t.validateDeleted(id)
			continue
		}
		t.validateName(id)
		switch id.kind {
		case fleetpb.Tombstone_KIND_POOL:
			t.validatePool(id, t.fleet.Pool(id.name))
		case fleetpb.Tombstone_KIND_HOST:
			t.validateHost(id, t.fleet.Host(id.name))
		case fleetpb.Tombstone_KIND_JOB:
			t.validateJob(id, t.fleet.Job(id.name))
		case fleetpb.Tombstone_KIND_WAVE:
			t.validateWave(id, t.fleet.Wave(id.name))
		}
	}
}

func (t *tx) validateName(id objectID) {
	unprintable := func(r rune) bool { return r == utf8.RuneError || unicode.IsControl(r) }
	switch {
	case len(id.name) > MaxNameBytes:
		t.addFault(id, "name", fmt.Sprintf("it is longer than %d bytes: shorten it", MaxNameBytes))
	case strings.TrimSpace(id.name) != id.name:
		t.addFault(id, "name", "it starts or ends with white space: remove that")
	case strings.ContainsFunc(id.name, unprintable):
		t.addFault(id, "name", "it contains a control character: remove that")
	}
}

func (t *tx) validatePool(id objectID, p *fleetpb.Pool) {
	if p.Spare && p.Service != "" {
		t.addFault(id, "service", "the spare pool serves none: leave it empty")
	}
	if p.Spare && p.PromisedHosts > 0 {
		t.addFault(id, "promised_hosts", "the spare pool promises none: set it to 0")
	}
	if p.ShortSlotsPercent > maxPercent {
		t.addFault(id, "short_slots_percent", "it is above 100: set a share from 0 to 100")
	}
	old, changed := t.before[id].(*fleetpb.Pool)
	if !changed || old.Service == p.Service {
		return
	}
	for h := range t.fleet.PoolHosts(p.Name) {
		if len(t.fleet.hostServers[h.Name]) > 0 {
			t.addFault(id, "service", "host "+h.Name+" runs a backend server of the present service: move the hosts to a pool of the new service instead")
			return
		}
	}
}

func (t *tx) validateHost(id objectID, h *fleetpb.Host) {
	if t.fleet.Pool(h.HomePool) == nil {
		t.addFault(id, "pool", fmt.Sprintf("pool %q does not exist: declare it, or name another", h.HomePool))
	}
}

func (t *tx) validateJob(id objectID, j *fleetpb.Job) {
	if t.fleet.Pool(j.Pool) == nil {
		t.addFault(id, "pool", fmt.Sprintf("pool %q does not exist: declare it, or name another", j.Pool))
	}
	if j.Team != "" && t.fleet.Team(j.Team) == nil {
		t.addFault(id, "team", fmt.Sprintf("team %q does not exist: declare it, or name another", j.Team))
	}
}

func (t *tx) validateWave(id objectID, w *fleetpb.Wave) {
	if len(w.Hosts) == 0 {
		t.addFault(id, "hosts", "it is empty: name the hosts to maintain")
	}
	if w.DeadlineUnixMs != 0 && w.DeadlineUnixMs <= w.NotBeforeUnixMs {
		t.addFault(id, "deadline", "it is not after not_before: set a later one")
	}
	others := t.fleet.unfinishedWaveHosts(w.Name)
	seen := make(map[string]bool, len(w.Hosts))
	for _, name := range w.Hosts {
		switch {
		case seen[name]:
			t.addFault(id, "hosts", "host "+name+" is named twice: name it once")
		case t.fleet.Host(name) == nil:
			t.addFault(id, "hosts", fmt.Sprintf("host %q does not exist: declare it, or remove it from the wave", name))
		case others[name] != "":
			t.addFault(id, "hosts", "host "+name+" is in wave "+others[name]+": wait until that is done, or remove it from one of them")
		}
		seen[name] = true
	}
	for _, name := range t.fleet.waveHosts[w.Name] {
		if !seen[name] {
			t.addFault(id, "hosts", "host "+name+" is out for this wave: keep it in the wave until it has returned")
		}
	}
}

// unfinishedWaveHosts maps each host of a wave that is not done to that wave. The
// wave named except is left out.
func (f *Fleet) unfinishedWaveHosts(except string) map[string]string {
	waves := make(map[string]string)
	for w := range f.Waves() {
		if w.Name == except || w.State == fleetpb.WaveState_WAVE_STATE_DONE {
			continue
		}
		for _, name := range w.Hosts {
			waves[name] = w.Name
		}
	}
	return waves
}

func (t *tx) validateDeleted(id objectID) {
	switch id.kind {
	case fleetpb.Tombstone_KIND_POOL:
		t.requireUnreferenced(id, "hosts", t.fleet.poolHosts[id.name], "host %s is in the pool: move it first")
		t.requireUnreferenced(id, "hosts", t.fleet.moveTargets[id.name], "host %s moves to the pool: wait until it has arrived, then move it on")
		t.requireUnreferenced(id, "hosts", t.fleet.homeHosts[id.name], "the pool is the home pool of host %s: declare another for the host first")
		t.requireUnreferenced(id, "jobs", t.fleet.poolJobs[id.name], "job %s names the pool: change it first")
	case fleetpb.Tombstone_KIND_TEAM:
		t.requireUnreferenced(id, "jobs", t.fleet.teamJobs[id.name], "job %s names the team: change it first")
	case fleetpb.Tombstone_KIND_WAVE:
		t.requireUnreferenced(id, "hosts", t.fleet.waveHosts[id.name], "host %s is out for the wave: wait until it has returned")
	case fleetpb.Tombstone_KIND_HOST:
		if t.waveOfHost == nil {
			t.waveOfHost = t.fleet.unfinishedWaveHosts("")
		}
		if wave := t.waveOfHost[id.name]; wave != "" {
			t.addFault(id, "wave", "wave "+wave+" names the host: remove it from the wave first")
		}
	}
}

// requireUnreferenced adds a fault if any object in names refers to id. The format
// message receives the first name.
func (t *tx) requireUnreferenced(id objectID, field string, names []string, message string) {
	if len(names) > 0 {
		t.addFault(id, field, fmt.Sprintf(message, names[0]))
	}
}
