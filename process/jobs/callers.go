package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protojson"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/job/access"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
)

// Limits of callers' requests.
const (
	MaxJobBytes          = 1 << 20         // of the body of a submission
	decodedFactor        = 4               // memory of a decoded job for each byte of the body
	defaultCallerTimeout = 3 * time.Second // without Request-Deadline-Ms
	maxCallerTimeoutMs   = 60_000
	headerDeadline       = "Request-Deadline-Ms"
	headerMediaType      = "application/json"
)

// Forwarder sends a request to the control leader, as Entry does.
type Forwarder interface {
	Forward(ctx context.Context, r *jobpb.Request) *jobpb.Response
}

// JobAnswer is the answer to a caller's request about a job.
type JobAnswer struct {
	Queue string `json:"queue"`
	ID    string `json:"id"`
	// State is queued, active, completed, failed or cancelled; it is omitted from the
	// confirmation of a submission or a cancellation.
	State string `json:"state,omitempty"`
}

// QueueAnswer is the answer to a caller's request about a queue.
type QueueAnswer struct {
	Queue   string `json:"queue"`
	Pending uint32 `json:"pending"` // accepted jobs of which no task has started
}

// StateNames are the names of a job's states in answers.
var StateNames = map[jobpb.Job_State]string{
	jobpb.Job_QUEUED: "queued", jobpb.Job_ACTIVE: "active", jobpb.Job_COMPLETED: "completed",
	jobpb.Job_FAILED: "failed", jobpb.Job_CANCELLED: "cancelled",
}

// CallersHandler returns the callers' HTTP interface for jobs: PUT, GET and DELETE
// /v1/queues/{queue}/jobs/{id}, and GET /v1/queues/{queue}. A job's body is the
// JSON form of jobpb.Job with spec, steps, repetitions, first_due_ms and
// interval_ms. A PUT that is repeated with the same id creates no second job.
func CallersHandler(p Forwarder) http.Handler {
	mux := http.NewServeMux()
	api := callersAPI{p}
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", api.submit)
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", api.forward(jobpb.Request_STATE))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", api.forward(jobpb.Request_CANCEL))
	mux.HandleFunc("GET /v1/queues/{queue}", api.forward(jobpb.Request_STATE))
	return mux
}

type callersAPI struct{ forwarder Forwarder }

func (c callersAPI) submit(w http.ResponseWriter, r *http.Request) {
	data, err := inbound.ReadBody(w, r, inbound.BodyLimits{MaxBytes: MaxJobBytes, DecodedFactor: decodedFactor})
	if err != nil {
		problemOfRefusal(err).Write(w)
		return
	}
	if n := inbound.CountJSON(data).Objects; n > maxSteps+1 {
		outcome.New(outcome.CauseInvalidRequest, fmt.Sprintf("the job has %d objects; it may have %d steps", n, maxSteps)).Write(w)
		return
	}
	j := &jobpb.Job{}
	if err := protojson.Unmarshal(data, j); err != nil {
		outcome.New(outcome.CauseInvalidRequest, err.Error()).Write(w)
		return
	}
	// Only the fields that callers may set are kept; the others are set by the system.
	j = &jobpb.Job{Spec: j.Spec, Steps: j.Steps, Repetitions: j.Repetitions, FirstDueMs: j.FirstDueMs, IntervalMs: j.IntervalMs}
	if err := CheckJob(j); err != nil {
		outcome.New(outcome.CauseInvalidRequest, err.Error()).Write(w)
		return
	}
	c.answer(w, r, &jobpb.Request{Kind: jobpb.Request_SUBMIT, Job: j})
}

func (c callersAPI) forward(kind jobpb.Request_Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { c.answer(w, r, &jobpb.Request{Kind: kind}) }
}

func (c callersAPI) answer(w http.ResponseWriter, r *http.Request, req *jobpb.Request) {
	req.Queue, req.Id = r.PathValue("queue"), r.PathValue("id")
	req.KeyDigest = access.DigestFromHeader(r.Header.Values("Authorization"))
	// The messages between the processes hold UTF-8 only.
	if !utf8.ValidString(req.Queue) || !utf8.ValidString(req.Id) {
		outcome.New(outcome.CauseInvalidRequest, "the queue or the job's id is not UTF-8").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout(r))
	defer cancel()
	resp := c.forwarder.Forward(ctx, req)
	if resp.Outcome != jobpb.Response_OK {
		problemOf(req, resp).Write(w)
		return
	}
	answer := JobAnswer{Queue: req.Queue, ID: req.Id}
	switch {
	case resp.Counted:
		writeAnswer(w, QueueAnswer{Queue: req.Queue, Pending: resp.Pending})
		return
	case req.Kind == jobpb.Request_STATE:
		answer.State = StateNames[resp.State]
	}
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // can't happen: the bodies consist of strings and numbers
	}
	writeData(w, data)
}

func writeData(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", headerMediaType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func requestTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return defaultCallerTimeout
	}
	return time.Duration(min(ms, maxCallerTimeoutMs)) * time.Millisecond
}

// problemOfRefusal returns the error body for a body that was refused before it was decoded.
func problemOfRefusal(err error) *outcome.Error {
	switch inbound.StatusOf(err) {
	case http.StatusRequestEntityTooLarge:
		return outcome.New(outcome.CauseBodyTooLarge, err.Error())
	case http.StatusServiceUnavailable:
		return outcome.New(outcome.CauseUnavailable, err.Error()).WithRetryAfter(inbound.RetryAfter)
	}
	return outcome.New(outcome.CauseInvalidRequest, err.Error())
}

// problemOf returns the error body for an unsuccessful answer. A job is reported as
// possibly accepted only if the outcome of its submission is unknown.
func problemOf(req *jobpb.Request, resp *jobpb.Response) *outcome.Error {
	retry := max(time.Duration(resp.RetryAfterMs)*time.Millisecond, time.Second)
	switch resp.Outcome {
	case jobpb.Response_NO_QUEUE:
		return outcome.New(outcome.CauseUnknownQueue, "there is no queue "+req.Queue)
	case jobpb.Response_NO_JOB:
		return outcome.New(outcome.CauseUnknownJob, "the queue "+req.Queue+" has no job "+req.Id)
	case jobpb.Response_UNAUTHORIZED:
		return outcome.New(outcome.CauseUnauthorized, resp.Reason)
	case jobpb.Response_INVALID:
		return outcome.New(outcome.CauseInvalidRequest, resp.Reason)
	case jobpb.Response_UNKNOWN:
		return outcome.New(outcome.CauseJobUnconfirmed, resp.Reason).WithRetryAfter(retry)
	}
	return outcome.New(outcome.CauseUnavailable, resp.Reason).WithRetryAfter(retry)
}
