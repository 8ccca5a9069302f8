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

// newJobID returns a random job id of 16 hexadecimal digits.
func newJobID() string {
	id := uuid.New()
	return hex.EncodeToString(id[8:])
}

// connectJobs opens a client of the job entries, or of the control processes of the
// jobs if entries is false.
func (t *tool) connectJobs(a *arguments, args []string, count int, entries bool) (*client, error) {
	s, c, err := t.connect(a, args, count)
	if err != nil {
		return nil, err
	}
	key, processes := "job_control", s.JobControl
	if entries {
		key, processes = "job_entries", s.JobEntries
	}
	if len(processes) == 0 {
		return nil, &usageError{"[client] " + key + " lists no process; add the addresses of the processes to the settings"}
	}
	c.addresses = slices.Clone[[]netip.AddrPort](processes)
	return c, nil
}

// fetchViews requests the view that has the name of the command.
func (t *tool) fetchViews(ctx context.Context, a *arguments, args []string) (*jobs.Views, error) {
	c, err := t.connectJobs(a, args, 0, false)
	if err != nil {
		return nil, err
	}
	data, err := c.send(ctx, http.MethodGet, "/v1/"+a.Name(), nil, resendAlways)
	if err != nil {
		return nil, err
	}
	views := &jobs.Views{}
	return views, errors.Wrap(json.Unmarshal(data, views), "decode the response; use a command-line tool of the same version as the control processes")
}

// printTable prints rows in aligned columns below a heading.
func (t *tool) printTable(heading string, rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	rows(w)
	return errors.Wrap(w.Flush(), "print the table")
}

func jobQueues(ctx context.Context, t *tool, args []string) error {
	views, err := t.fetchViews(ctx, t.arguments("queues"), args)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "configuration %d, leader %s, term %d\n\n", views.Configuration, views.Leader, views.Term)
	return t.printTable("queue\tpool\tpriority\tpending\tactive\tcompleted\tfailed\tcancelled", func(w *tabwriter.Writer) {
		for _, q := range views.Queues {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", q.Queue, q.Pool, q.Priority, q.Pending,
				q.Jobs["active"], q.Jobs["completed"], q.Jobs["failed"], q.Jobs["cancelled"])
		}
	})
}

func jobRuns(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("runs")
	queue := a.String("queue", "", "print only the runs of this `queue`")
	views, err := t.fetchViews(ctx, a, args)
	if err != nil {
		return err
	}
	return t.printTable("job\tqueue\toccurrence\tstep\ttask\trun\tworker\tpercent", func(w *tabwriter.Writer) {
		for _, r := range views.Runs {
			if *queue == "" || r.Queue == *queue {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d\n", r.Job, r.Queue, r.Occurrence, r.Step, r.Task, r.Run, r.Worker, r.Percent)
			}
		}
	})
}

func jobMachines(ctx context.Context, t *tool, args []string) error {
	views, err := t.fetchViews(ctx, t.arguments("machines"), args)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "list of machines read %d ms ago\n\n", views.ListAgeMs)
	return t.printTable("machine\tpool\tup\tcores\tworker\truns\tmoving to\tcordoned", func(w *tabwriter.Writer) {
		for _, m := range views.Machines {
			fmt.Fprintf(w, "%s\t%s\t%t\t%.1f\t%s\t%d\t%s\t%t\n", m.Machine, m.Pool, m.Up, m.Cores, m.Worker, m.Runs, m.MovingTo, m.Cordoned)
		}
	})
}

func jobWaves(ctx context.Context, t *tool, args []string) error {
	views, err := t.fetchViews(ctx, t.arguments("waves"), args)
	if err != nil {
		return err
	}
	return t.printTable("wave\tdue\tat once\tbegun\tof\tordered\twaiting", func(w *tabwriter.Writer) {
		for _, wave := range views.Waves {
			due := time.UnixMilli(wave.DueMs).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%s\t%s\n", wave.Wave, due, wave.Maximum, wave.Begun, wave.Machines,
				strings.Join(wave.Ordered, " "), strings.Join(wave.Waiting, " "))
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
	id := a.String("id", "", "job `id` of 16 hexadecimal digits (default: random); submitting an id again does not create another job")
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
		return errors.Wrapf(err, "submit job %s", *id)
	}
	fmt.Fprintln(t.out, *id)
	return nil
}

func jobState(ctx context.Context, t *tool, args []string) error {
	return t.requestJob(ctx, "job state", http.MethodGet, args)
}

func jobCancel(ctx context.Context, t *tool, args []string) error {
	return t.requestJob(ctx, "job cancel", http.MethodDelete, args)
}

func (t *tool) requestJob(ctx context.Context, name, method string, args []string) error {
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
		return errors.Wrap(err, "decode the response")
	}
	if answer.State == "" {
		answer.State = "confirmed"
	}
	fmt.Fprintln(t.out, answer.State)
	return nil
}
