package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/settings"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/report"
)

func monthlyReport(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("report")
	month := a.String("month", "", "calendar `month` (UTC), YYYY-MM")
	asCSV := a.Bool("csv", false, "print CSV")
	s, c, err := t.connect(a, args, 0)
	if err != nil {
		return err
	}
	if err := report.ParseMonth(*month); err != nil {
		return &usageError{err.Error()}
	}
	answer := &fleetpb.Snapshot{}
	if err := c.get(ctx, "/v1/report?month="+url.QueryEscape(*month), answer); err != nil {
		return err
	}
	if len(answer.Figures) == 0 {
		fmt.Fprintf(t.errOut, "there are no figures for %s\n", *month)
	}
	if *asCSV {
		return report.WriteCSV(t.out, answer.Figures, s.ReportTitles)
	}
	return report.WriteTable(t.out, answer.Figures, s.ReportTitles)
}

func status(ctx context.Context, t *tool, args []string) error {
	_, c, err := t.connect(t.arguments("status"), args, 0)
	if err != nil {
		return err
	}
	data, err := c.send(ctx, http.MethodGet, "/v1/configuration/in-force", nil, resendAlways)
	if err != nil {
		return err
	}
	var versions operator.InForceAnswer
	if err := json.Unmarshal(data, &versions); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	snapshot := &fleetpb.Snapshot{}
	if err := c.get(ctx, "/v1/configuration", snapshot); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "accepted version %d, in force everywhere %d\n\n", versions.Accepted, versions.InForce)
	return t.printStatus(snapshot)
}

func (t *tool) printStatus(s *fleetpb.Snapshot) error {
	counts := map[string]map[fleetpb.HostState]int{}
	for _, h := range s.Hosts {
		if counts[h.Pool] == nil {
			counts[h.Pool] = map[fleetpb.HostState]int{}
		}
		counts[h.Pool][h.State]++
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pool\tpromised\tactive\tdraining\treleased\tout\tfailed")
	for _, p := range s.Pools {
		n := counts[p.Name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.PromisedHosts,
			n[fleetpb.HostState_HOST_STATE_ACTIVE], n[fleetpb.HostState_HOST_STATE_DRAINING],
			n[fleetpb.HostState_HOST_STATE_RELEASED], n[fleetpb.HostState_HOST_STATE_OUT],
			n[fleetpb.HostState_HOST_STATE_FAILED])
	}
	fmt.Fprintln(w, "\nwave\tstate\tdone\tfailed\tof\treason")
	for _, v := range s.Waves {
		state := strings.ToLower(strings.TrimPrefix(v.State.String(), "WAVE_STATE_"))
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", v.Name, state, len(v.DoneHosts), len(v.FailedHosts), len(v.Hosts), v.PauseReason)
	}
	return errors.Wrap(w.Flush(), "print the status")
}

// printJSON prints the JSON response to a GET request with indentation.
func (t *tool) printJSON(ctx context.Context, c *client, path string) error {
	data, err := c.send(ctx, http.MethodGet, path, nil, resendAlways)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, data, "", "  "); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	fmt.Fprintln(t.out, b.String())
	return nil
}

func configShow(ctx context.Context, t *tool, args []string) error {
	_, c, err := t.connect(t.arguments("config show"), args, 0)
	if err != nil {
		return err
	}
	return t.printJSON(ctx, c, "/v1/configuration")
}

func dump(ctx context.Context, t *tool, args []string) error {
	_, c, err := t.connect(t.arguments("dump"), args, 0)
	if err != nil {
		return err
	}
	return t.printJSON(ctx, c, "/v1/dump")
}

func wavePause(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("wave pause")
	reason := a.String("reason", "paused by an operator", "`text` that the status command prints")
	s, c, err := t.connect(a, args, 1)
	if err != nil {
		return err
	}
	body := operator.WaveBody{RequestID: t.newID(), Operator: s.Operator, Reason: *reason}
	return t.postChange(ctx, c, "/v1/waves/"+url.PathEscape(a.Arg(0))+"/pause", body.RequestID, body)
}

func waveResume(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("wave resume")
	s, c, err := t.connect(a, args, 1)
	if err != nil {
		return err
	}
	body := operator.WaveBody{RequestID: t.newID(), Operator: s.Operator}
	return t.postChange(ctx, c, "/v1/waves/"+url.PathEscape(a.Arg(0))+"/resume", body.RequestID, body)
}

func hostMove(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("host move")
	to := a.String("to", "", "`pool` that the host moves to")
	epoch := a.Int64("epoch", -1, "expected `epoch` of the host (default: its current epoch)")
	s, c, err := t.connect(a, args, 1)
	if err != nil {
		return err
	}
	if *to == "" {
		return &usageError{"host move needs -to POOL"}
	}
	expected := uint64(max(*epoch, 0))
	if *epoch < 0 {
		if expected, err = currentEpoch(ctx, c, a.Arg(0)); err != nil {
			return err
		}
	}
	body := operator.MoveBody{RequestID: t.newID(), Operator: s.Operator, ToPool: *to, ExpectedEpoch: &expected}
	return t.postChange(ctx, c, "/v1/hosts/"+url.PathEscape(a.Arg(0))+"/move", body.RequestID, body)
}

func currentEpoch(ctx context.Context, c *client, host string) (uint64, error) {
	answer := &fleetpb.Snapshot{}
	if err := c.get(ctx, "/v1/hosts", answer); err != nil {
		return 0, err
	}
	for _, h := range answer.Hosts {
		if h.Name == host {
			return h.Epoch, nil
		}
	}
	return 0, &usageError{fmt.Sprintf("there is no host %q", host)}
}

func votersList(ctx context.Context, t *tool, args []string) error {
	_, c, err := t.connect(t.arguments("voters list"), args, 0)
	if err != nil {
		return err
	}
	data, err := c.send(ctx, http.MethodGet, "/v1/voters", nil, resendAlways)
	if err != nil {
		return err
	}
	return t.printVoters(data)
}

func (t *tool) printVoters(data []byte) error {
	var answer operator.VotersAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "group\tid\trole\tcaught up")
	for _, v := range answer.Voters {
		role := "voter"
		if v.Learner {
			role = "learner"
		}
		if v.Leader {
			role = "leader"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\n", v.Group, v.ID, role, v.CaughtUp)
	}
	return errors.Wrap(w.Flush(), "print the voters")
}

// voterCommand returns a command that changes one voter. The change has no
// request id, so it is not sent again when the response is lost.
func voterCommand(kind operator.VoterChangeKind) command {
	return func(ctx context.Context, t *tool, args []string) error {
		a := t.arguments("voters " + string(kind))
		s, c, err := t.connect(a, args, 1)
		if err != nil {
			return err
		}
		body := operator.VoterBody{Operator: s.Operator, Change: kind, ID: a.Arg(0)}
		data, err := c.send(ctx, http.MethodPost, "/v1/voters", body, resendIfNothingDone)
		if err != nil {
			return errors.Wrap(explain(err), "voter change not confirmed (check it with marjoramtiller voters list)")
		}
		return t.printVoters(data)
	}
}

func settingsCheck(_ context.Context, t *tool, args []string) error {
	a := t.arguments("settings check")
	program := a.String("program", "client", "`program` that the file is for: control, entry or client")
	if err := a.parse(args, 1); err != nil {
		return err
	}
	data, err := settings.ReadFile(a.Arg(0))
	if err != nil {
		return &usageError{err.Error()}
	}
	switch *program {
	case "control":
		_, err = settings.ParseControl(data)
	case "entry":
		_, err = settings.ParseEntry(data)
	case "client":
		_, err = settings.ParseClient(data)
	default:
		return &usageError{fmt.Sprintf("-program %q is not control, entry or client", *program)}
	}
	if err != nil {
		return &usageError{a.Arg(0) + ": " + err.Error()}
	}
	fmt.Fprintln(t.out, "settings are valid")
	return nil
}
