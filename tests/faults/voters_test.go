package faults

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"

	"github.com/matryer/is"
)

// voters returns the voters of each group, as one control process knows them.
func (c *cluster) votersOf(d *daemon) map[string][]string {
	var answer struct {
		Voters []struct {
			Group, ID string
			Learner   bool
		}
	}
	r := c.ask(d, "GET", "/v1/voters", nil)
	if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &answer) != nil {
		return nil
	}
	out := make(map[string][]string)
	for _, v := range answer.Voters {
		if !v.Learner {
			out[v.Group] = append(out[v.Group], v.ID)
		}
	}
	return out
}

// changeVoter sends a voter change as the operators' tool does: to the control
// processes in turn until one answers that it is done.
func (c *cluster) changeVoter(kind, id string) {
	c.t.Helper()
	body := map[string]any{"operator": "planner", "change": kind, "id": id}
	r := c.definite("POST", "/v1/voters", body)
	if r.status != http.StatusOK {
		c.t.Fatalf("%s of %s: %d %s", kind, id, r.status, r.body)
	}
}

// Guards against the loss of accepted changes and records, or of the quorum,
// when a control host's folder is deleted, it is replaced under a new name and a
// second host is lost right after; and against voter changes that cannot be made
// because the groups have different leaders.
func TestReplacedControlHostThenSecondLoss(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, smallFleet())
	list := newServers(c, "ledger", "l1", "l2")
	list.waitServing(c)
	x := &changer{c: c, accepted: make(map[string]uint64)}
	x.run("before", 4, 10)
	recorded := post("ledger")
	is.Equal(c.send(c.entries[0], recorded).outcome, answered)

	// The leaders of the groups differ after the loss of the process that leads them all.
	lost := c.leader("control")
	lost.kill()
	is.NoErr(os.RemoveAll(lost.data))
	c.leader("ledger-0")
	x.run("lost", 4, 10)

	c.controls, c.former = c.otherControls(lost), []*daemon{lost}
	fresh := c.newControl("control-4")
	c.controls = append(c.controls, fresh)
	for _, d := range c.all() { // every process learns the new one's address
		c.write(d)
	}
	fresh.start()
	inParallel(c.entries, func(d *daemon) { is.Equal(d.stop(), 0) })
	for _, d := range c.entries {
		d.start()
	}
	for _, d := range c.controls[:len(c.controls)-1] {
		is.Equal(d.stop(), 0)
		d.start()
		c.view() // the quorum is back before the next one stops
	}
	c.changeVoter("add-learner", fresh.name)
	c.changeVoter("promote", fresh.name)
	c.changeVoter("remove", lost.name)
	eventually(t, "the new process is a voter of every group and the lost one of none", func() bool {
		groups := c.votersOf(c.controls[0])
		for _, voters := range groups {
			for _, id := range voters {
				if id == lost.name {
					return false
				}
			}
			if len(voters) != controlCount {
				return false
			}
		}
		return len(groups) == 1+ledgerGroups
	})

	second := c.controls[0]
	second.kill()
	c.controls = c.otherControls(second)
	x.run("second", 4, 10)
	x.check()
	c.waitVersion(c.controls, c.view().Version)
	list.waitServing(c)
	resendEverywhere(c, list, c.entries, recorded)
	is.Equal(c.outcomeOf(c.entries[0], recorded.key), "finished") // its record was lost
	is.Equal(list.runs(recorded.id), 1)
}
