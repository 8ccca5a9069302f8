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
	Titles  map[string]string // from report column to its title in CSV
	Timeout time.Duration     // of one call to Control
	Now     func() time.Time  // wall clock for the time stamps of commands
}

// operatorAPI implements the handlers of the operators' interface.
type operatorAPI struct{ Options }

// handlerFunc handles one request. callCtx is the context of its calls to
// Control. A returned error is sent to the client as a problem document.
type handlerFunc func(ctx iris.Context, callCtx context.Context) error

// NewOperatorHandler returns the handler of the operators' interface.
func NewOperatorHandler(o Options) (http.Handler, error) {
	a := &operatorAPI{o}
	app := newApplication(o.Logger)
	v1 := app.Party("/v1")
	v1.Post("/configuration", a.handler(a.configure))
	v1.Get("/configuration", a.handler(a.readConfiguration))
	v1.Get("/configuration/in-force", a.handler(a.readInForce))
	v1.Get("/hosts", a.handler(a.snapshotHandler(func(n *fleetpb.Snapshot) *fleetpb.Snapshot { return &fleetpb.Snapshot{Hosts: n.Hosts} })))
	v1.Get("/pools", a.handler(a.snapshotHandler(func(n *fleetpb.Snapshot) *fleetpb.Snapshot { return &fleetpb.Snapshot{Pools: n.Pools} })))
	v1.Get("/waves", a.handler(a.snapshotHandler(func(n *fleetpb.Snapshot) *fleetpb.Snapshot { return &fleetpb.Snapshot{Waves: n.Waves} })))
	v1.Get("/jobs", a.handler(a.snapshotHandler(func(n *fleetpb.Snapshot) *fleetpb.Snapshot {
		return &fleetpb.Snapshot{Jobs: n.Jobs, Tasks: n.Tasks}
	})))
	v1.Post("/waves/{name}/pause", a.handler(a.waveHandler(o.Control.PauseWave)))
	v1.Post("/waves/{name}/resume", a.handler(a.waveHandler(o.Control.ResumeWave)))
	v1.Post("/hosts/{name}/move", a.handler(a.moveHost))
	v1.Get("/report", a.handler(a.writeReport))
	v1.Get("/voters", a.handler(a.listVoters))
	v1.Post("/voters", a.handler(a.changeVoter))
	v1.Get("/dump", a.handler(a.writeDump))
	return app, errors.Wrap(app.Build(), "build the operators' interface")
}

func (a *operatorAPI) handler(handle handlerFunc) iris.Handler {
	return func(ctx iris.Context) {
		callCtx, cancel := context.WithTimeout(ctx.Request().Context(), a.Timeout)
		defer cancel()
		if err := handle(ctx, callCtx); err != nil {
			writeProblem(ctx, a.Logger, err)
		}
	}
}

// ConfigurationRequest is the body of POST /v1/configuration. Each change is a
// fleetpb.Change in the JSON encoding of protocol buffers.
type ConfigurationRequest struct {
	RequestID   string            `json:"request_id"`
	Operator    string            `json:"operator"`
	BaseVersion *uint64           `json:"base_version"`
	Changes     []json.RawMessage `json:"changes"`
}

func (r *ConfigurationRequest) toCommand() (*fleetpb.Command, error) {
	if err := checkID("request_id", r.RequestID); err != nil {
		return nil, err
	}
	if err := checkID("operator", r.Operator); err != nil {
		return nil, err
	}
	if r.BaseVersion == nil {
		return nil, malformed("base_version is missing", "send the version that GET /v1/configuration returned")
	}
	if len(r.Changes) == 0 {
		return nil, malformed("there are no changes", "send at least one change")
	}
	configure := &fleetpb.Configure{BaseVersion: *r.BaseVersion}
	for i, raw := range r.Changes {
		change := &fleetpb.Change{}
		if err := protojson.Unmarshal(raw, change); err != nil {
			return nil, malformed("change "+strconv.Itoa(i)+" cannot be decoded: "+err.Error(), "correct it; version/fleetpb/fleet.proto lists the fields")
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

func (a *operatorAPI) configure(ctx iris.Context, callCtx context.Context) error {
	data, err := readBody(ctx, MaxBodyBytes)
	if err != nil {
		return err
	}
	var request ConfigurationRequest
	if err := decodeStrict(data, &request); err != nil {
		return err
	}
	command, err := request.toCommand()
	if err != nil {
		return err
	}
	return a.apply(ctx, callCtx, command)
}

func (a *operatorAPI) apply(ctx iris.Context, callCtx context.Context, c *fleetpb.Command) error {
	c.NowUnixMs = a.Now().UnixMilli()
	result, err := a.Control.Configure(callCtx, c)
	return writeResult(ctx, result, err)
}

func writeResult(ctx iris.Context, result *fleetpb.Result, err error) error {
	if err != nil {
		return err
	}
	if p := problemFromResult(result); p != nil {
		return p
	}
	return writeProto(ctx, result)
}

// readConfiguration returns the declared configuration and the runtime fields
// of its objects, without the records that only the control group uses.
func (a *operatorAPI) readConfiguration(ctx iris.Context, callCtx context.Context) error {
	return a.snapshotHandler(func(n *fleetpb.Snapshot) *fleetpb.Snapshot {
		return &fleetpb.Snapshot{
			Pools: n.Pools, Hosts: n.Hosts, Jobs: n.Jobs, Waves: n.Waves,
			Teams: n.Teams, Servers: n.Servers, Tasks: n.Tasks,
		}
	})(ctx, callCtx)
}

// snapshotHandler returns a handler that responds with the part of a current
// snapshot that selectPart copies, and with the snapshot's version and time.
func (a *operatorAPI) snapshotHandler(selectPart func(n *fleetpb.Snapshot) *fleetpb.Snapshot) handlerFunc {
	return func(ctx iris.Context, callCtx context.Context) error {
		snapshot, err := a.Control.Snapshot(callCtx)
		if err != nil {
			return err
		}
		answer := selectPart(snapshot)
		answer.Version = snapshot.Version
		answer.NowUnixMs = snapshot.NowUnixMs
		return writeProto(ctx, answer)
	}
}

// InForceAnswer is the response body of GET /v1/configuration/in-force.
type InForceAnswer struct {
	Accepted uint64 `json:"accepted"`
	InForce  uint64 `json:"in_force"`
}

func (a *operatorAPI) readInForce(ctx iris.Context, callCtx context.Context) error {
	accepted, inForce, err := a.Control.InForce(callCtx)
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

func (a *operatorAPI) waveHandler(change func(context.Context, WaveRequest) (*fleetpb.Result, error)) handlerFunc {
	return func(ctx iris.Context, callCtx context.Context) error {
		var body WaveBody
		if err := readJSON(ctx, &body); err != nil {
			return err
		}
		if err := firstError(checkID("request_id", body.RequestID), checkID("operator", body.Operator), checkPathName(ctx.Params().Get("name"))); err != nil {
			return err
		}
		result, err := change(callCtx, WaveRequest{
			RequestID: body.RequestID, Operator: body.Operator,
			Wave: ctx.Params().Get("name"), Reason: body.Reason,
		})
		return writeResult(ctx, result, err)
	}
}

// MoveBody is the body of POST /v1/hosts/{name}/move. ExpectedEpoch is the
// host's epoch that the operator last read. The move is rejected if the epoch
// has changed, so that two operators cannot both move the host.
type MoveBody struct {
	RequestID     string  `json:"request_id"`
	Operator      string  `json:"operator"`
	ToPool        string  `json:"to_pool"`
	ExpectedEpoch *uint64 `json:"expected_epoch"`
}

func (a *operatorAPI) moveHost(ctx iris.Context, callCtx context.Context) error {
	var body MoveBody
	if err := readJSON(ctx, &body); err != nil {
		return err
	}
	if err := firstError(checkID("request_id", body.RequestID), checkID("operator", body.Operator), checkID("to_pool", body.ToPool),
		checkPathName(ctx.Params().Get("name"))); err != nil {
		return err
	}
	if body.ExpectedEpoch == nil {
		return malformed("expected_epoch is missing", "send the host's epoch that GET /v1/hosts returned")
	}
	return a.apply(ctx, callCtx, &fleetpb.Command{
		RequestId: body.RequestID, Actor: body.Operator,
		Body: &fleetpb.Command_HostStep{HostStep: &fleetpb.HostStep{
			Host: ctx.Params().Get("name"), Kind: fleetpb.HostStep_KIND_DRAIN,
			ExpectedEpoch: *body.ExpectedEpoch, ExpectedState: fleetpb.HostState_HOST_STATE_ACTIVE,
			MoveTo: body.ToPool, SetHome: true,
		}},
	})
}

func (a *operatorAPI) writeReport(ctx iris.Context, callCtx context.Context) error {
	month := ctx.URLParam("month")
	if err := report.ParseMonth(month); err != nil {
		return malformed(err.Error(), "send ?month=YYYY-MM")
	}
	snapshot, err := a.Control.Snapshot(callCtx)
	if err != nil {
		return err
	}
	figures := report.OfMonth(snapshot.Figures, month)
	if strings.Contains(ctx.GetHeader("Accept"), "text/csv") {
		ctx.ContentType("text/csv")
		return report.WriteCSV(ctx.ResponseWriter(), figures, a.Titles)
	}
	return writeProto(ctx, &fleetpb.Snapshot{Version: snapshot.Version, Figures: figures})
}

// VotersAnswer is the response body of GET and POST /v1/voters.
type VotersAnswer struct {
	Voters []Voter `json:"voters"`
}

func (a *operatorAPI) listVoters(ctx iris.Context, callCtx context.Context) error {
	voters, err := a.Control.Voters(callCtx)
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

func (a *operatorAPI) changeVoter(ctx iris.Context, callCtx context.Context) error {
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
	if err := a.Control.ChangeVoter(callCtx, VoterChange{Kind: body.Change, ID: body.ID, Operator: body.Operator}); err != nil {
		return err
	}
	return a.listVoters(ctx, callCtx)
}

func (a *operatorAPI) writeDump(ctx iris.Context, callCtx context.Context) error {
	data, err := a.Control.Dump(callCtx)
	if err != nil {
		return err
	}
	ctx.ResponseWriter().Header().Set("Content-Type", "application/json")
	_, _ = ctx.Write(data)
	return nil
}
