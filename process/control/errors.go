package control

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// UnavailableError reports that a command was not proposed, so that it can be retried.
type UnavailableError struct {
	Group string
	Cause string
}

// Error implements error. The message names the group, the cause and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("group %s did not accept the request: %s; nothing was done, send the request again", e.Group, e.Cause)
}

// OutcomeUnknownError reports that a command may or may not take effect.
type OutcomeUnknownError struct {
	Group string
	Cause string
}

// Error implements error. The message names the group, the cause and the remedy.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome in group %s is unknown: %s; send the same request with the same request id again", e.Group, e.Cause)
}

// InvalidRequestError reports an invalid request, which must not be retried unchanged.
type InvalidRequestError struct{ Message string }

// Error implements error. The message names the fault and the remedy.
func (e *InvalidRequestError) Error() string { return e.Message }

// errorResponse maps an error to the response that is sent to the calling process.
func errorResponse(err error) *wirepb.Response {
	out := &wirepb.Error{Kind: wirepb.Error_KIND_UNAVAILABLE, Message: err.Error()}
	var notLeader *replica.NotLeaderError
	var replicaUnknown *replica.OutcomeUnknownError
	var outcomeUnknown *OutcomeUnknownError
	var invalid *InvalidRequestError
	switch {
	case errors.As(err, &notLeader):
		out.Kind = wirepb.Error_KIND_NOT_LEADER
		out.Leader = notLeader.Leader
	case errors.As(err, &replicaUnknown), errors.As(err, &outcomeUnknown):
		out.Kind = wirepb.Error_KIND_OUTCOME_UNKNOWN
	case errors.As(err, &invalid):
		out.Kind = wirepb.Error_KIND_INVALID
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		out.Kind = wirepb.Error_KIND_OUTCOME_UNKNOWN
	}
	return &wirepb.Response{Error: out}
}

// callError maps a failed call, or the error in its response, to an error type of this
// package or *replica.NotLeaderError.
func callError(group string, resp *wirepb.Response, err error) error {
	if err != nil {
		var notSent *wire.NotSentError
		if errors.As(err, &notSent) {
			return &UnavailableError{Group: group, Cause: err.Error()}
		}
		return &OutcomeUnknownError{Group: group, Cause: err.Error()}
	}
	if resp.GetError() == nil {
		return nil
	}
	e := resp.GetError()
	switch e.GetKind() {
	case wirepb.Error_KIND_OUTCOME_UNKNOWN:
		return &OutcomeUnknownError{Group: group, Cause: e.GetMessage()}
	case wirepb.Error_KIND_INVALID:
		return &InvalidRequestError{Message: e.GetMessage()}
	case wirepb.Error_KIND_NOT_LEADER:
		return &replica.NotLeaderError{Leader: e.GetLeader()}
	default:
		return &UnavailableError{Group: group, Cause: e.GetMessage()}
	}
}
