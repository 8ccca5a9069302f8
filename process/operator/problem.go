package operator

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Problem is a problem document (RFC 9457), extended by a remedy, the leader's
// name, the conflicting change and the faults of the request.
type Problem struct {
	Type     string    `json:"type"`
	Title    string    `json:"title"`
	Status   int       `json:"status"`
	Detail   string    `json:"detail,omitempty"`
	Remedy   string    `json:"remedy"`
	Leader   string    `json:"leader,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
	Faults   []Fault   `json:"faults,omitempty"`
}

// Conflict identifies the change that was accepted first and the object that
// both changes concern.
type Conflict struct {
	Object          string `json:"object"`
	Winner          string `json:"winner"`
	WinnerRequestID string `json:"winner_request_id"`
	WinnerVersion   uint64 `json:"winner_version"`
}

// Fault describes one invalid field of a rejected change.
type Fault struct {
	Object  string `json:"object"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Error describes the problem in one line.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text + "; " + p.Remedy
}

// Values of Problem.Type.
const (
	TypeMalformed      = "urn:marjoramtiller:malformed"
	TypeConflict       = "urn:marjoramtiller:conflict"
	TypeRejected       = "urn:marjoramtiller:rejected"
	TypeNotFound       = "urn:marjoramtiller:not-found"
	TypeNotLeader      = "urn:marjoramtiller:not-leader"
	TypeUnavailable    = "urn:marjoramtiller:unavailable"
	TypeOutcomeUnknown = "urn:marjoramtiller:outcome-unknown"
	TypeInternal       = "urn:marjoramtiller:internal"
)

const retryAfterSeconds = "1"

func malformed(detail, remedy string) *Problem {
	return &Problem{Type: TypeMalformed, Title: "request is malformed and changed nothing", Status: http.StatusBadRequest, Detail: detail, Remedy: remedy}
}

func bodyTooLarge() *Problem {
	return &Problem{Type: TypeMalformed, Title: "request body is too large and changed nothing", Status: http.StatusRequestEntityTooLarge, Remedy: "send fewer changes at once"}
}

// problemFromError maps an error to the problem document for the client. Errors
// of types unknown to this package become internal errors without their text.
func problemFromError(err error) *Problem {
	var (
		problem     *Problem
		notLeader   *NotLeaderError
		unavailable *UnavailableError
		unknown     *OutcomeUnknownError
		notFound    *NotFoundError
		invalid     *InvalidError
	)
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &notLeader):
		return &Problem{Type: TypeNotLeader, Title: "this process is not the leader", Status: http.StatusServiceUnavailable, Detail: err.Error(), Leader: notLeader.Leader, Remedy: "send it to the leader with the same request id"}
	case errors.As(err, &unavailable):
		return &Problem{Type: TypeUnavailable, Title: "nothing was done", Status: http.StatusServiceUnavailable, Detail: err.Error(), Remedy: "retry with the same request id"}
	case errors.As(err, &unknown):
		return &Problem{Type: TypeOutcomeUnknown, Title: "outcome is unknown", Status: http.StatusGatewayTimeout, Detail: err.Error(), Remedy: "send it again with the same request id; it takes effect at most once"}
	case errors.As(err, &notFound):
		return &Problem{Type: TypeNotFound, Title: "not found", Status: http.StatusNotFound, Detail: err.Error(), Remedy: "correct the name"}
	case errors.As(err, &invalid):
		return &Problem{Type: TypeRejected, Title: "request was rejected and changed nothing", Status: http.StatusUnprocessableEntity, Detail: invalid.Reason, Remedy: invalid.Remedy}
	}
	return &Problem{Type: TypeInternal, Title: "internal error", Status: http.StatusInternalServerError, Remedy: "send it again with the same request id; if it persists, see this process's log"}
}

// problemFromResult maps a result to a problem document, or to nil if the
// command was applied or changed nothing.
func problemFromResult(r *fleetpb.Result) *Problem {
	switch r.GetKind() {
	case fleetpb.Result_KIND_APPLIED, fleetpb.Result_KIND_UNCHANGED:
		return nil
	case fleetpb.Result_KIND_CONFLICT:
		c := r.GetConflict()
		return &Problem{
			Type: TypeConflict, Title: "another change was accepted first", Status: http.StatusConflict,
			Remedy: "read the configuration again and send the change with the new base version and a new request id",
			Conflict: &Conflict{
				Object: c.GetObject(), Winner: c.GetWinner(),
				WinnerRequestID: c.GetWinnerRequestId(), WinnerVersion: c.GetWinnerVersion(),
			},
		}
	case fleetpb.Result_KIND_REFUSED:
		p := &Problem{
			Type: TypeRejected, Title: "change was rejected as a whole", Status: http.StatusUnprocessableEntity,
			Remedy: "correct all faults and send the change with a new request id",
		}
		for _, f := range r.GetFaults() {
			p.Faults = append(p.Faults, Fault{Object: f.GetObject(), Field: f.GetField(), Message: f.GetMessage()})
		}
		return p
	}
	return problemFromError(errors.New("result of the command has an unknown kind"))
}

func writeProblem(ctx iris.Context, logger zerolog.Logger, err error) {
	p := problemFromError(err)
	if p.Type == TypeInternal {
		logger.Error().Err(err).Str("path", ctx.Path()).Msg("request failed")
	}
	if p.Status == http.StatusServiceUnavailable {
		ctx.Header("Retry-After", retryAfterSeconds)
	}
	body, _ := json.Marshal(p)
	ctx.StatusCode(p.Status)
	ctx.ResponseWriter().Header().Set("Content-Type", "application/problem+json")
	_, _ = ctx.Write(body)
}
