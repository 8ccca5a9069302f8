package main

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/process/jobs"
)

// newJobID returns an id for a job: 16 hexadecimal digits.
func newJobID() string {
	id := uuid.New()
	return hex.EncodeToString(id[8:])
}

// connectJobs opens a client of the processes that serve jobs.
func (t *tool) connectJobs(a *arguments, args []string, count int, entries bool) (*client, error) {
	s, c, err := t.connect(a, args, count)
	if err != nil {
		return nil, err
	}
	key, list := "job_control", s.JobControl
	if entries {
		key, list = "job_entries", s.JobEntries
	}
	if len(list) == 0 {
		return nil, &usageError{"[client] " + key + " names no process; add its addresses to the settings"}
	}
	c.addresses = slices.Clone[[]netip.AddrPort](list)
	return c, nil
}

// view reads what the leader shows under a path.
func (t *tool) view(ctx context.Context, a *arguments, args []string) (*jobs.Views, error) {
	c, err := t.connectJobs(a, args, 0, false)
	if err != nil {
		return nil, err
	}
	data, err := c.send(ctx, http.MethodGet, "/v1/"+a.Name(), nil, resendAlways)
	if err != nil {
		return nil, err
	}
	v := &jobs.Views{}
	return v, errors.Wrap(json.Unmarshal(data, v), "read the answer; use a command-line tool of the control processes' version")
}

// table prints rows below a heading.
func (t *tool) table(heading string, rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	rows(w)
	return errors.Wrap(w.Flush(), "print the table")
}

func jobQueues(ctx context.Context, t *tool, args []string) error {
	v, err := t.view(ctx, t.arguments("queues"), args)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "configuration %d, leader %s, term %d\n\n", v.Configuration, v.Leader, v.Term)
	return t.table("queue\tpool\tpriority\tpending\tactive\tcompleted\tfailed\tcancelled", func(w *tabwriter.Writer) {
		for _, q := range v.Queues {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", q.Queue, q.Pool, q.Priority, q.Pending,
				q.Jobs["active"], q.Jobs["completed"], q.Jobs["failed"], q.Jobs["cancelled"])
		}
	})
}

func jobRuns(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("runs")
	queue := a.String("queue", "", "only runs of this `queue`")
	v, err := t.view(ctx, a, args)
	if err != nil {
		return err
	}
	return t.table("job\tqueue\toccurrence\tstep\ttask\trun\tworker\tpercent", func(w *tabwriter.Writer) {
		for _, r := range v.Runs {
			if *queue == "" || r.Queue == *queue {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d\n", r.Job, r.Queue, r.Occurrence, r.Step, r.Task, r.Run, r.Worker, r.Percent)
			}
		}
	})
}

func jobMachines(ctx context.Context, t *tool, args []string) error {
	v, err := t.view(ctx, t.arguments("machines"), args)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "list of machines read %d ms ago\n\n", v.ListAgeMs)
	return t.table("machine\tpool\tup\tcores\tworker\truns\tmoving to\tcordoned", func(w *tabwriter.Writer) {
		for _, m := range v.Machines {
			fmt.Fprintf(w, "%s\t%s\t%t\t%.1f\t%s\t%d\t%s\t%t\n", m.Machine, m.Pool, m.Up, m.Cores, m.Worker, m.Runs, m.MovingTo, m.Cordoned)
		}
	})
}

func jobWaves(ctx context.Context, t *tool, args []string) error {
	v, err := t.view(ctx, t.arguments("waves"), args)
	if err != nil {
		return err
	}
	return t.table("wave\tdue\tat once\tbegun\tof\tordered\twaiting", func(w *tabwriter.Writer) {
		for _, x := range v.Waves {
			due := time.UnixMilli(x.DueMs).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%s\t%s\n", x.Wave, due, x.Maximum, x.Begun, x.Machines,
				strings.Join(x.Ordered, " "), strings.Join(x.Waiting, " "))
		}
	})
}

// jobArguments adds the flag that names a job's queue.
func (t *tool) jobArguments(name string) (*arguments, *string) {
	a := t.arguments(name)
	return a, a.String("queue", "", "`queue` of the job")
}

func jobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

func jobSubmit(ctx context.Context, t *tool, args []string) error {
	a, queue := t.jobArguments("job submit")
	id := a.String("id", "", "16 hexadecimal digits, by default drawn; the same `id` remains one job")
	c, err := t.connectJobs(a, args, 1, true)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(a.Arg(0))
	if err != nil {
		return &usageError{err.Error()}
	}
	if *queue == "" || !json.Valid(data) {
		return &usageError{"job submit needs -queue QUEUE and a file with a job as JSON"}
	}
	if *id == "" {
		*id = newJobID()
	}
	if _, err := c.send(ctx, http.MethodPut, jobPath(*queue, *id), json.RawMessage(data), resendAlways); err != nil {
		return errors.Wrapf(err, "job %s", *id)
	}
	fmt.Fprintln(t.out, *id)
	return nil
}

func jobState(ctx context.Context, t *tool, args []string) error {
	return t.askJob(ctx, "job state", http.MethodGet, args)
}

func jobCancel(ctx context.Context, t *tool, args []string) error {
	return t.askJob(ctx, "job cancel", http.MethodDelete, args)
}

func (t *tool) askJob(ctx context.Context, name, method string, args []string) error {
	a, queue := t.jobArguments(name)
	c, err := t.connectJobs(a, args, 1, true)
	if err != nil {
		return err
	}
	if *queue == "" {
		return &usageError{name + " needs -queue QUEUE"}
	}
	data, err := c.send(ctx, method, jobPath(*queue, a.Arg(0)), nil, resendAlways)
	if err != nil {
		return err
	}
	answer := jobs.JobAnswer{}
	if err := json.Unmarshal(data, &answer); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	if answer.State == "" {
		answer.State = "confirmed"
	}
	fmt.Fprintln(t.out, answer.State)
	return nil
}
