package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/report"
)

// Options configure the operators' interface.
type Options struct {
	Control Control
	Logger  zerolog.Logger
	Titles  map[string]string // report column to title
	Timeout time.Duration     // of one call to Control
	Now     func() time.Time  // wall clock of commands
}

type operators struct{ Options }

// route is a handler that returns its error.
type route func(ctx iris.Context, call context.Context) error

// NewOperators returns the handler of the operators' interface.
func NewOperators(o Options) (http.Handler, error) {
	s := &operators{o}
	app := newApplication(o.Logger)
	v1 := app.Party("/v1")
	v1.Post("/configuration", s.handle(s.configure))
	v1.Get("/configuration", s.handle(s.configuration))
	v1.Get("/configuration/in-force", s.handle(s.inForce))
	v1.Get("/hosts", s.handle(s.list(func(n *fleetpb.Snapshot) *fleetpb.Snapshot { return &fleetpb.Snapshot{Hosts: n.Hosts} })))
	v1.Get("/pools", s.handle(s.list(func(n *fleetpb.Snapshot) *fleetpb.Snapshot { return &fleetpb.Snapshot{Pools: n.Pools} })))
	v1.Get("/waves", s.handle(s.list(func(n *fleetpb.Snapshot) *fleetpb.Snapshot { return &fleetpb.Snapshot{Waves: n.Waves} })))
	v1.Get("/jobs", s.handle(s.list(func(n *fleetpb.Snapshot) *fleetpb.Snapshot {
		return &fleetpb.Snapshot{Jobs: n.Jobs, Tasks: n.Tasks}
	})))
	v1.Post("/waves/{name}/pause", s.handle(s.wave(o.Control.PauseWave)))
	v1.Post("/waves/{name}/resume", s.handle(s.wave(o.Control.ResumeWave)))
	v1.Post("/hosts/{name}/move", s.handle(s.move))
	v1.Get("/report", s.handle(s.report))
	v1.Get("/voters", s.handle(s.voters))
	v1.Post("/voters", s.handle(s.changeVoter))
	v1.Get("/dump", s.handle(s.dump))
	return app, errors.Wrap(app.Build(), "build the operators' interface")
}

func (s *operators) handle(r route) iris.Handler {
	return func(ctx iris.Context) {
		call, cancel := context.WithTimeout(ctx.Request().Context(), s.Timeout)
		defer cancel()
		if err := r(ctx, call); err != nil {
			writeProblem(ctx, s.Logger, err)
		}
	}
}

// ConfigurationRequest is the body of POST /v1/configuration. Each change is a
// fleetpb.Change in protojson.
type ConfigurationRequest struct {
	RequestID   string            `json:"request_id"`
	Operator    string            `json:"operator"`
	BaseVersion *uint64           `json:"base_version"`
	Changes     []json.RawMessage `json:"changes"`
}

func (r *ConfigurationRequest) command() (*fleetpb.Command, error) {
	if err := checkID("request_id", r.RequestID); err != nil {
		return nil, err
	}
	if err := checkID("operator", r.Operator); err != nil {
		return nil, err
	}
	if r.BaseVersion == nil {
		return nil, malformed("base_version is missing", "send the version that GET /v1/configuration gave")
	}
	if len(r.Changes) == 0 {
		return nil, malformed("there are no changes", "send at least one change")
	}
	configure := &fleetpb.Configure{BaseVersion: *r.BaseVersion}
	for i, raw := range r.Changes {
		change := &fleetpb.Change{}
		if err := protojson.Unmarshal(raw, change); err != nil {
			return nil, malformed("change "+strconv.Itoa(i)+" is not a change: "+err.Error(), "correct it; version/fleetpb/fleet.proto lists the fields")
		}
		if change.Object == nil {
			return nil, malformed("change "+strconv.Itoa(i)+" names no object", "set one of pool, host, job, wave, team or their delete_ forms")
		}
		configure.Changes = append(configure.Changes, change)
	}
	return &fleetpb.Command{
		RequestId: r.RequestID, Actor: r.Operator,
		Body: &fleetpb.Command_Configure{Configure: configure},
	}, nil
}

func (s *operators) configure(ctx iris.Context, call context.Context) error {
	data, err := readBody(ctx, MaxBodyBytes)
	if err != nil {
		return err
	}
	var request ConfigurationRequest
	if err := decodeStrict(data, &request); err != nil {
		return err
	}
	command, err := request.command()
	if err != nil {
		return err
	}
	return s.apply(ctx, call, command)
}

func (s *operators) apply(ctx iris.Context, call context.Context, c *fleetpb.Command) error {
	c.NowUnixMs = s.Now().UnixMilli()
	result, err := s.Control.Configure(call, c)
	return writeResult(ctx, result, err)
}

func writeResult(ctx iris.Context, result *fleetpb.Result, err error) error {
	if err != nil {
		return err
	}
	if p := problemOfResult(result); p != nil {
		return p
	}
	return writeProto(ctx, result)
}

// configuration answers with the declared state and runtime fields, without
// the records that only the control group needs.
func (s *operators) configuration(ctx iris.Context, call context.Context) error {
	return s.list(func(n *fleetpb.Snapshot) *fleetpb.Snapshot {
		return &fleetpb.Snapshot{
			Pools: n.Pools, Hosts: n.Hosts, Jobs: n.Jobs, Waves: n.Waves,
			Teams: n.Teams, Servers: n.Servers, Tasks: n.Tasks,
		}
	})(ctx, call)
}

func (s *operators) list(part func(n *fleetpb.Snapshot) *fleetpb.Snapshot) route {
	return func(ctx iris.Context, call context.Context) error {
		snapshot, err := s.Control.Snapshot(call)
		if err != nil {
			return err
		}
		answer := part(snapshot)
		answer.Version = snapshot.Version
		answer.NowUnixMs = snapshot.NowUnixMs
		return writeProto(ctx, answer)
	}
}

// InForceAnswer is the answer of GET /v1/configuration/in-force.
type InForceAnswer struct {
	Accepted uint64 `json:"accepted"`
	InForce  uint64 `json:"in_force"`
}

func (s *operators) inForce(ctx iris.Context, call context.Context) error {
	accepted, inForce, err := s.Control.InForce(call)
	if err != nil {
		return err
	}
	return writeJSON(ctx, InForceAnswer{Accepted: accepted, InForce: inForce})
}

// WaveBody is the body of POST /v1/waves/{name}/pause and resume.
type WaveBody struct {
	RequestID string `json:"request_id"`
	Operator  string `json:"operator"`
	Reason    string `json:"reason,omitempty"`
}

func (s *operators) wave(step func(context.Context, WaveRequest) (*fleetpb.Result, error)) route {
	return func(ctx iris.Context, call context.Context) error {
		var body WaveBody
		if err := readJSON(ctx, &body); err != nil {
			return err
		}
		if err := firstError(checkID("request_id", body.RequestID), checkID("operator", body.Operator)); err != nil {
			return err
		}
		result, err := step(call, WaveRequest{
			RequestID: body.RequestID, Operator: body.Operator,
			Wave: ctx.Params().Get("name"), Reason: body.Reason,
		})
		return writeResult(ctx, result, err)
	}
}

// MoveBody is the body of POST /v1/hosts/{name}/move. ExpectedEpoch is the
// host's epoch that the operator has seen, so that two operators cannot both
// move it.
type MoveBody struct {
	RequestID     string  `json:"request_id"`
	Operator      string  `json:"operator"`
	ToPool        string  `json:"to_pool"`
	ExpectedEpoch *uint64 `json:"expected_epoch"`
}

func (s *operators) move(ctx iris.Context, call context.Context) error {
	var body MoveBody
	if err := readJSON(ctx, &body); err != nil {
		return err
	}
	if err := firstError(checkID("request_id", body.RequestID), checkID("operator", body.Operator), checkID("to_pool", body.ToPool)); err != nil {
		return err
	}
	if body.ExpectedEpoch == nil {
		return malformed("expected_epoch is missing", "send the host's epoch that GET /v1/hosts gave")
	}
	return s.apply(ctx, call, &fleetpb.Command{
		RequestId: body.RequestID, Actor: body.Operator,
		Body: &fleetpb.Command_HostStep{HostStep: &fleetpb.HostStep{
			Host: ctx.Params().Get("name"), Kind: fleetpb.HostStep_KIND_DRAIN,
			ExpectedEpoch: *body.ExpectedEpoch, ExpectedState: fleetpb.HostState_HOST_STATE_ACTIVE,
			MoveTo: body.ToPool, SetHome: true,
		}},
	})
}

func (s *operators) report(ctx iris.Context, call context.Context) error {
	month := ctx.URLParam("month")
	if err := report.ParseMonth(month); err != nil {
		return malformed(err.Error(), "send ?month=YYYY-MM")
	}
	snapshot, err := s.Control.Snapshot(call)
	if err != nil {
		return err
	}
	figures := report.OfMonth(snapshot.Figures, month)
	if strings.Contains(ctx.GetHeader("Accept"), "text/csv") {
		ctx.ContentType("text/csv")
		return report.WriteCSV(ctx.ResponseWriter(), figures, s.Titles)
	}
	return writeProto(ctx, &fleetpb.Snapshot{Version: snapshot.Version, Figures: figures})
}

// VotersAnswer is the answer of GET /v1/voters.
type VotersAnswer struct {
	Voters []Voter `json:"voters"`
}

func (s *operators) voters(ctx iris.Context, call context.Context) error {
	voters, err := s.Control.Voters(call)
	if err != nil {
		return err
	}
	return writeJSON(ctx, VotersAnswer{Voters: voters})
}

// VoterBody is the body of POST /v1/voters.
type VoterBody struct {
	Operator string          `json:"operator"`
	Change   VoterChangeKind `json:"change"` // add-learner, promote or remove
	ID       string          `json:"id"`     // replica id
}

func (s *operators) changeVoter(ctx iris.Context, call context.Context) error {
	var body VoterBody
	if err := readJSON(ctx, &body); err != nil {
		return err
	}
	if err := firstError(checkID("operator", body.Operator), checkID("id", body.ID)); err != nil {
		return err
	}
	switch body.Change {
	case AddLearner, Promote, RemoveVoter:
	default:
		return malformed("change "+string(body.Change)+" is unknown", "send add-learner, promote or remove")
	}
	if err := s.Control.ChangeVoter(call, VoterChange{Kind: body.Change, ID: body.ID, Operator: body.Operator}); err != nil {
		return err
	}
	return s.voters(ctx, call)
}

func (s *operators) dump(ctx iris.Context, call context.Context) error {
	data, err := s.Control.Dump(call)
	if err != nil {
		return err
	}
	ctx.ResponseWriter().Header().Set("Content-Type", "application/json")
	_, _ = ctx.Write(data)
	return nil
}
