package fleet

import (
	"bytes"
	"container/list"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Apply executes a marshalled fleetpb.Command and returns a marshalled
// fleetpb.Result. It is deterministic: equal sequences of commands give equal
// results and states.
func (f *Fleet) Apply(_ uint64, command []byte) []byte {
	return marshal(f.apply(command))
}

func (f *Fleet) apply(command []byte) *fleetpb.Result {
	if f.brokenInvariant != nil {
		return f.refuse("invariant/"+f.brokenInvariant.Name, "", f.brokenInvariant.Error())
	}
	var c fleetpb.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return f.refuse("command", "", "it cannot be decoded: run the same version on every process")
	}
	f.advanceTime(c.NowUnixMs)
	if c.RequestId == "" {
		return f.executeChecked(&c)
	}
	hash := commandHash(&c)
	if a := f.answerByID[c.RequestId]; a != nil {
		if !bytes.Equal(a.CommandHash, hash) {
			return f.refuse("command", "request_id", "it was used with another command: use a new request id")
		}
		return a.Result
	}
	if len(f.answerByID) >= MaxAnswers {
		return f.refuse("command", "request_id", "too many answers are kept: send fewer changes in 24 h")
	}
	result := f.executeChecked(&c)
	if f.brokenInvariant == nil {
		f.storeAnswer(&fleetpb.Answered{RequestId: c.RequestId, CommandHash: hash, Result: result, UnixMs: f.nowMs})
	}
	return result
}

// commandHash returns a hash of a command that leaves out its time, which differs
// when a command is sent again.
func commandHash(c *fleetpb.Command) []byte {
	withoutTime := &fleetpb.Command{RequestId: c.RequestId, Actor: c.Actor, Body: c.Body}
	sum := sha256.Sum256(marshal(withoutTime))
	return sum[:]
}

func (f *Fleet) storeAnswer(a *fleetpb.Answered) {
	f.answerByID[a.RequestId] = a
	f.answersByAge.PushBack(a)
}

// advanceTime moves the replicated time forward and drops the answers that are
// older than AnswerRetention.
func (f *Fleet) advanceTime(nowMs int64) {
	f.nowMs = max(f.nowMs, nowMs)
	oldest := f.nowMs - AnswerRetention.Milliseconds()
	for e := f.answersByAge.Front(); e != nil; e = f.answersByAge.Front() {
		a := e.Value.(*fleetpb.Answered)
		if a.UnixMs >= oldest {
			return
		}
		f.answersByAge.Remove(e)
		delete(f.answerByID, a.RequestId)
	}
}

func (f *Fleet) refuse(object, field, message string) *fleetpb.Result {
	return &fleetpb.Result{
		Kind:    fleetpb.Result_KIND_REFUSED,
		Version: f.version,
		Faults:  []*fleetpb.Fault{{Object: object, Field: field, Message: message}},
	}
}

// executeChecked executes a command and refuses it if it breaks an invariant.
func (f *Fleet) executeChecked(c *fleetpb.Command) *fleetpb.Result {
	result := f.execute(c)
	if f.brokenInvariant != nil {
		return f.refuse("invariant/"+f.brokenInvariant.Name, "", f.brokenInvariant.Error())
	}
	return result
}

func (f *Fleet) execute(c *fleetpb.Command) *fleetpb.Result {
	t := f.newTx()
	var origins []objectID
	switch body := c.Body.(type) {
	case *fleetpb.Command_Configure:
		if conflict := f.findConflict(body.Configure); conflict != nil {
			return &fleetpb.Result{Kind: fleetpb.Result_KIND_CONFLICT, Version: f.version, Conflict: conflict}
		}
		origins = t.configure(c, body.Configure)
	case *fleetpb.Command_Register:
		t.register(body.Register.GetServer())
	case *fleetpb.Command_Unregister:
		t.unregister(body.Unregister)
	case *fleetpb.Command_HostStep:
		origins = t.hostStep(body.HostStep)
	case *fleetpb.Command_WaveStep:
		t.waveStep(body.WaveStep)
	case *fleetpb.Command_TaskSteps:
		t.taskSteps(body.TaskSteps)
	case *fleetpb.Command_Sample:
		f.addSample(body.Sample)
		return &fleetpb.Result{Kind: fleetpb.Result_KIND_APPLIED, Version: f.version}
	default:
		return f.refuse("command", "body", "it has no known body: run the same version on every process")
	}
	if len(t.faults) > 0 {
		t.rollback()
		return &fleetpb.Result{Kind: fleetpb.Result_KIND_REFUSED, Version: f.version, Faults: t.faults}
	}
	if len(t.touched) == 0 {
		return &fleetpb.Result{Kind: fleetpb.Result_KIND_UNCHANGED, Version: f.version}
	}
	t.checkInvariants()
	if f.brokenInvariant != nil {
		t.rollback()
		return nil
	}
	t.commit(c, origins)
	return &fleetpb.Result{Kind: fleetpb.Result_KIND_APPLIED, Version: f.version}
}

// commit publishes the transaction's changes as the next version.
func (t *tx) commit(c *fleetpb.Command, origins []objectID) {
	f := t.fleet
	f.version = t.version
	for _, id := range t.touched {
		f.recordChange(&change{id: id, version: t.version, deleted: !f.exists(id)})
	}
	for _, id := range origins {
		f.origins[id.String()] = &fleetpb.Origin{Object: id.String(), Actor: c.Actor, RequestId: c.RequestId, Version: t.version}
	}
	for _, id := range t.touched {
		if id.kind == fleetpb.Tombstone_KIND_SERVER {
			t.recordServerOrigin(id)
		}
	}
	f.trimTombstones()
	t.countFigures()
}

// change is the most recent modification of one object.
type change struct {
	id      objectID
	version uint64
	deleted bool
}

// inDelta reports whether deltas carry objects of a kind.
func inDelta(kind fleetpb.Tombstone_Kind) bool {
	switch kind {
	case fleetpb.Tombstone_KIND_POOL, fleetpb.Tombstone_KIND_HOST, fleetpb.Tombstone_KIND_SERVER:
		return true
	}
	return false
}

// recordChange records a change for deltas and tombstones. A deleted task leaves
// no tombstone, because copies don't hold tasks and operators don't declare them.
func (f *Fleet) recordChange(c *change) {
	if inDelta(c.id.kind) {
		if e := f.recentElements[c.id]; e != nil {
			f.recent.Remove(e)
		}
		f.recentElements[c.id] = f.recent.PushBack(c)
	}
	if e := f.tombstoneElements[c.id]; e != nil {
		f.tombstones.Remove(e)
		delete(f.tombstoneElements, c.id)
	}
	if c.deleted && c.id.kind != fleetpb.Tombstone_KIND_TASK {
		f.tombstoneElements[c.id] = f.tombstones.PushBack(c)
	}
}

// trimTombstones drops the oldest tombstones above the limit, with their origins.
func (f *Fleet) trimTombstones() {
	for f.tombstones.Len() > f.maxTombstones {
		c := f.tombstones.Remove(f.tombstones.Front()).(*change)
		f.tombstoneFloor = max(f.tombstoneFloor, c.version)
		delete(f.tombstoneElements, c.id)
		delete(f.origins, c.id.String())
		if e := f.recentElements[c.id]; e != nil {
			f.recent.Remove(e)
			delete(f.recentElements, c.id)
		}
	}
}

// Delta returns the changes that bring a copy at version since to the current
// version. The delta is full if full is set, if since is ahead of the fleet, or
// if a tombstone later than since was dropped. Otherwise its cost is
// proportional to the number of objects changed after since.
func (f *Fleet) Delta(since uint64, full bool) *fleetpb.Delta {
	if full || since > f.version || since < f.tombstoneFloor {
		return &fleetpb.Delta{
			ToVersion: f.version,
			Full:      true,
			Pools:     f.pools.slice(),
			Hosts:     f.hosts.slice(),
			Servers:   f.servers.slice(),
		}
	}
	d := &fleetpb.Delta{FromVersion: since, ToVersion: f.version}
	for e := f.recent.Back(); e != nil; e = e.Prev() {
		c := e.Value.(*change)
		if c.version <= since {
			break
		}
		f.addToDelta(d, c)
	}
	return d
}

func (f *Fleet) addToDelta(d *fleetpb.Delta, c *change) {
	if c.deleted {
		d.Deleted = append(d.Deleted, tombstone(c))
		return
	}
	switch c.id.kind {
	case fleetpb.Tombstone_KIND_POOL:
		d.Pools = append(d.Pools, f.Pool(c.id.name))
	case fleetpb.Tombstone_KIND_HOST:
		d.Hosts = append(d.Hosts, f.Host(c.id.name))
	case fleetpb.Tombstone_KIND_SERVER:
		d.Servers = append(d.Servers, f.Server(c.id.name))
	}
}

func tombstone(c *change) *fleetpb.Tombstone {
	return &fleetpb.Tombstone{Kind: c.id.kind, Name: c.id.name, Version: c.version}
}

func forEachChange(l *list.List, fn func(*change)) {
	for e := l.Front(); e != nil; e = e.Next() {
		fn(e.Value.(*change))
	}
}
