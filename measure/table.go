// Package measure prints the project's metrics for both users' workloads together
// with baselines and the targets of the design page. All figures are computed in
// virtual time, so they are the same on every run and machine.
package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"marjoramtiller.example/marjoramtiller/measure/capacity"
	"marjoramtiller.example/marjoramtiller/measure/shortwork"
)

// Targets of section 3 of the design page, as factors of a row's reference. The
// comment at each names the reference.
const (
	TargetWait    = 1.1  // relative to the p99 wait of short work without long work
	TargetReserve = 1.15 // relative to the exact optimum or a lower bound
	TargetRollout = 1.15 // relative to the exact optimum or a lower bound
	TargetMoves   = 1.1  // relative to the least number of moves
)

// Users lists the users by the names of their folders in package examples.
var Users = []string{"savings", "eventos"}

// Row is one line of the table. Value and Reference have the same unit.
type Row struct {
	Metric    string
	User      string
	Case      string
	Unit      string
	Value     float64
	Reference float64 // what the target is relative to
	Target    float64 // maximum allowed ratio of Value to Reference
	Baselines string
	// Failed is the reason why there is no value, for example that the wave cannot
	// finish. It is empty if there is a value.
	Failed string
}

// Met reports whether there is a value and it is within the target.
func (r Row) Met() bool { return r.Failed == "" && r.Value <= r.Target*r.Reference }

// Rows measures all metrics of all users.
func Rows() ([]Row, error) {
	var out []Row
	for _, user := range Users {
		f, err := capacity.LoadFleet(user)
		if err != nil {
			return nil, err
		}
		small := f.MeasureSmall()
		out = append(out, ReserveRows(user, f, small)...)
		out = append(out, RolloutRows(user, f, small)...)
		out = append(out, MoveRows(user, f, small)...)
	}
	return append(out, WaitRows()...), nil
}

// ReserveRows measures the buffer cost, which is the number of hosts above the
// promises of the pools.
func ReserveRows(user string, f capacity.Fleet, s capacity.Small) []Row {
	r := f.MeasureReserve()
	fleet := Row{
		Metric: "buffer cost", User: user, Case: "sample fleet", Unit: "hosts",
		Value: float64(r.Planned), Reference: float64(r.LowerBound), Target: TargetReserve,
		Baselines: fmt.Sprintf("own wave host in each pool %d; sheet as exported, without a wave host %d", r.Static, r.Exported),
	}
	if r.Shortfalls > 0 {
		fleet.Failed = fmt.Sprintf("%d pools miss their rule", r.Shortfalls)
	}
	small := Row{
		Metric: "buffer cost", User: user, Case: fmt.Sprintf("worst of %d small instances", s.Solved), Unit: "of optimum",
		Value: s.WorstReserve, Reference: 1, Target: TargetReserve,
		Baselines: fmt.Sprintf("sum %d, optimum %d", s.Reserve, s.BestReserve),
	}
	if s.Shortfalls > 0 {
		small.Failed = fmt.Sprintf("%d instances have a shortfall", s.Shortfalls)
	}
	return []Row{fleet, small}
}

// RolloutRows measures the rollout time of a wave over all service hosts.
func RolloutRows(user string, f capacity.Fleet, s capacity.Small) []Row {
	r := f.MeasureRollout()
	fleet := Row{
		Metric: "rollout time", User: user, Case: "sample fleet", Unit: "min",
		Value: r.Planned.Minutes(), Reference: r.LowerBound.Minutes(), Target: TargetRollout,
		Baselines: fmt.Sprintf("one host a pool %s; one rack %s; a tenth of each pool %s", formatMinutes(r.OneHost), formatMinutes(r.OneRack), formatMinutes(r.TenPercent)),
	}
	if r.Planned < 0 {
		fleet.Failed = "the wave cannot finish"
	}
	small := Row{
		Metric: "rollout time", User: user, Case: fmt.Sprintf("worst of %d small instances", s.Waves), Unit: "of optimum",
		Value: s.WorstRollout, Reference: 1, Target: TargetRollout,
		Baselines: fmt.Sprintf("sum %s, optimum %s", formatMinutes(s.Rollout), formatMinutes(s.BestRollout)),
	}
	if s.StuckRollouts > 0 {
		small.Failed = fmt.Sprintf("%d waves cannot finish", s.StuckRollouts)
	}
	return []Row{fleet, small}
}

func formatMinutes(d time.Duration) string {
	if d < 0 {
		return "cannot finish"
	}
	return fmt.Sprintf("%.0f min", d.Minutes())
}

// MoveRows measures the number of host moves after losses of hosts and in the
// placement of small instances.
func MoveRows(user string, f capacity.Fleet, s capacity.Small) []Row {
	m := f.MeasureMoves()
	return []Row{{
		Metric: "host moves", User: user, Case: fmt.Sprintf("%d lost hosts", m.Losses), Unit: "moves",
		Value: float64(m.Planned), Reference: float64(m.Least), Target: TargetMoves,
		Baselines: fmt.Sprintf("one for each lost host of a service %d", m.PerLoss),
	}, {
		Metric: "host moves", User: user, Case: fmt.Sprintf("sum of %d small instances", s.Solved), Unit: "moves",
		Value: float64(s.Moves), Reference: float64(s.BestMoves), Target: TargetMoves,
	}}
}

// WaitRows measures head-of-line blocking of short work under the policy of
// package queue. The reference is the p99 wait under the same policy without long
// work; the baselines are the p99 waits under the other policies.
func WaitRows() []Row {
	var out []Row
	policies := shortwork.Policies()
	for _, w := range shortwork.Workloads() {
		waits := make([]float64, len(policies))
		var waitWithoutLong float64
		for i, p := range policies {
			waits[i] = shortwork.Simulate(w.Services, shortwork.Arrivals(w.Services, true, shortwork.Seed), p.Make(w.Services)).ShortWaitPercentile(99)
		}
		core := len(policies) - 1
		waitWithoutLong = shortwork.Simulate(w.Services, shortwork.Arrivals(w.Services, false, shortwork.Seed), policies[core].Make(w.Services)).ShortWaitPercentile(99)
		var baselines []string
		for i, p := range policies[:core] {
			baselines = append(baselines, fmt.Sprintf("%s %.0f", p.Name, waits[i]))
		}
		user, variant, _ := strings.Cut(w.Name, "-")
		if user == "events" {
			user = "eventos"
		}
		out = append(out, Row{
			Metric: "head-of-line blocking", User: user, Case: strings.TrimSpace("p99 wait of short work " + variant), Unit: "ms",
			Value: waits[core], Reference: waitWithoutLong, Target: TargetWait, Baselines: strings.Join(baselines, "; "),
		})
	}
	return out
}

// Print writes the rows as one table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "METRIC\tUSER\tCASE\tVALUE\tREFERENCE\tFACTOR\tTARGET\tMET\tBASELINES")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%s\t%s\n",
			r.Metric, r.User, r.Case, r.value(), formatNumber(r.Reference)+" "+r.Unit, r.factor(), r.Target, formatMet(r.Met()), r.Baselines)
	}
	return t.Flush()
}

func (r Row) value() string {
	if r.Failed != "" {
		return r.Failed
	}
	return formatNumber(r.Value) + " " + r.Unit
}

func (r Row) factor() string {
	if r.Failed != "" || r.Reference == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", r.Value/r.Reference)
}

func formatNumber(x float64) string {
	if x == float64(int64(x)) {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

func formatMet(ok bool) string {
	if ok {
		return "yes"
	}
	return "NO"
}
