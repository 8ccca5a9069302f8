package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }

// Kind classifies a failed call.
type Kind int

// Kinds of failed calls.
const (
	// Unreachable: no response arrived, or the platform reported an internal error. The
	// call may have taken effect; repeat it with the same token.
	Unreachable Kind = iota + 1
	// Rejected: the platform understood the call and did not carry it out.
	Rejected
	// NotFound: the platform has no worker or task of that name.
	NotFound
	// Malformed: the response could not be decoded or exceeds Options.MaxAnswerBytes.
	Malformed
)

// Error is a failed call to the platform.
type Error struct {
	Kind   Kind
	Call   string
	Detail string
	cause  error
}

func (e *Error) Error() string {
	switch e.Kind {
	case Unreachable:
		return fmt.Sprintf("platform call %s failed without a usable response: %s: repeat it with the same token, and check the platform address in the settings", e.Call, e.Detail)
	case NotFound:
		return fmt.Sprintf("platform call %s names an unknown object: %s: list workers and tasks again", e.Call, e.Detail)
	case Malformed:
		return fmt.Sprintf("platform call %s returned a response that cannot be decoded: %s: check that the address in the settings is the platform's", e.Call, e.Detail)
	}
	return fmt.Sprintf("platform call %s was rejected: %s: correct the call", e.Call, e.Detail)
}

func (e *Error) Unwrap() error { return e.cause }

// Options configures a Client. A zero value stands for the default of its field.
type Options struct {
	BaseURL        string        // for example http://127.0.0.1:8070
	CallTimeout    time.Duration // for a whole call; default 3 s
	MaxAnswerBytes int64         // upper bound of a response; default 64 MiB, enough for the list of 16,000 workers and their tasks
	Connections    int           // upper bound of concurrent connections; default 16
}

const (
	defaultCallTimeout    = 3 * time.Second
	defaultMaxAnswerBytes = 64 << 20
	defaultConnections    = 16
	dialTimeout           = time.Second
	idleTimeout           = 30 * time.Second
	// maxErrorBytes bounds the part of an error response that becomes Error.Detail.
	maxErrorBytes = 1024
	// maxRequestBytes bounds a request body.
	maxRequestBytes = 64 << 10
)

// Client is a Platform over HTTP. It is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	transport *http.Transport
	maxAnswer int64
}

var _ Platform = (*Client)(nil)

// NewClient returns a client for the platform at o.BaseURL.
func NewClient(o Options) (*Client, error) {
	u, err := url.Parse(o.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "platform address: set it to a URL such as http://127.0.0.1:8070")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errors.Errorf("platform address %q: set it to a URL such as http://127.0.0.1:8070", o.BaseURL)
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     o.Connections,
		MaxIdleConnsPerHost: o.Connections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base:      strings.TrimSuffix(o.BaseURL, "/"),
		http:      &http.Client{Transport: transport, Timeout: o.CallTimeout},
		transport: transport,
		maxAnswer: o.MaxAnswerBytes,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Workers lists all workers.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	var workers []Worker
	return workers, c.call(ctx, http.MethodGet, "/workers", nil, &workers)
}

// Tasks lists the running tasks, and each ended task until a task of its name is started again.
func (c *Client) Tasks(ctx context.Context) ([]Task, error) {
	var tasks []Task
	return tasks, c.call(ctx, http.MethodGet, "/tasks", nil, &tasks)
}

// Reboot restarts a worker; its tasks are lost.
func (c *Client) Reboot(ctx context.Context, worker, token string) error {
	return c.step(ctx, "/workers/"+url.PathEscape(worker)+"/reboot", StepRequest{Token: token})
}

// Renew extends the leases of all tasks of a worker, so that each lasts for lease from now.
func (c *Client) Renew(ctx context.Context, worker string, lease time.Duration) error {
	return c.step(ctx, "/workers/"+url.PathEscape(worker)+"/renew", StepRequest{LeaseMs: lease.Milliseconds()})
}

// Start starts a task on t.Worker under a lease.
func (c *Client) Start(ctx context.Context, t Task, lease time.Duration, token string) error {
	return c.step(ctx, "/tasks/start", StepRequest{Token: token, Task: &t, LeaseMs: lease.Milliseconds()})
}

// Checkpoint asks a task to save its state and end. It returns before the task has ended.
func (c *Client) Checkpoint(ctx context.Context, task, token string) error {
	return c.taskStep(ctx, task, "checkpoint", token)
}

// Throttle reduces a task to a tenth of its cores.
func (c *Client) Throttle(ctx context.Context, task, token string) error {
	return c.taskStep(ctx, task, "throttle", token)
}

// Stop ends a task without saving its state.
func (c *Client) Stop(ctx context.Context, task, token string) error {
	return c.taskStep(ctx, task, "stop", token)
}

func (c *Client) taskStep(ctx context.Context, task, step, token string) error {
	return c.step(ctx, "/tasks/step", StepRequest{Token: token, Name: task, Step: step})
}

// StepRequest is the body of every call that changes something.
type StepRequest struct {
	Token   string `json:"token,omitempty"`
	Name    string `json:"name,omitempty"`
	Step    string `json:"step,omitempty"`
	Task    *Task  `json:"task,omitempty"`
	LeaseMs int64  `json:"lease_ms,omitempty"`
}

// step sends a call that changes something.
func (c *Client) step(ctx context.Context, path string, r StepRequest) error {
	body, err := json.Marshal(r)
	if err != nil {
		return &Error{Rejected, path, err.Error(), err}
	}
	if len(body) > maxRequestBytes {
		return &Error{Rejected, path, fmt.Sprintf("the body has %d bytes, at most %d are allowed", len(body), maxRequestBytes), nil}
	}
	return c.call(ctx, http.MethodPost, path, body, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Rejected, path, err.Error(), err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{Unreachable, path, err.Error(), err}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return statusError(path, resp)
	}
	if into == nil {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return &Error{Unreachable, path, err.Error(), err}
	}
	if int64(len(data)) > c.maxAnswer {
		return &Error{Malformed, path, fmt.Sprintf("more than %d bytes", c.maxAnswer), nil}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &Error{Malformed, path, err.Error(), err}
	}
	return nil
}

// statusError converts a response with an error status. After a 5xx status the call may
// have taken effect, so it counts as unreachable and can be repeated.
func statusError(path string, resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	kind := Rejected
	switch {
	case resp.StatusCode == http.StatusNotFound:
		kind = NotFound
	case resp.StatusCode >= http.StatusInternalServerError:
		kind = Unreachable
	}
	return &Error{kind, path, fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(detail))), nil}
}
