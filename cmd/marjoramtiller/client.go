package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/settings"
)

const (
	maxAnswerBytes = 64 << 20
	pauseOfRounds  = 250 * time.Millisecond // between two rounds over all addresses
)

// resend says which failures a request is sent again after.
type resend int

const (
	resendAlways  resend = iota // reads, and changes with a request id
	resendNothing               // only after an answer that nothing was done
)

// client talks to the operators' listeners of the control processes.
type client struct {
	addresses []netip.AddrPort
	http      *http.Client
	retryFor  time.Duration
	pause     func(ctx context.Context) error // between rounds
}

func newClient(s *settings.Client) *client {
	return &client{
		addresses: s.Control,
		http:      &http.Client{Timeout: s.Timeout},
		retryFor:  s.RetryFor,
		pause:     pauseRound,
	}
}

func pauseRound(ctx context.Context) error {
	t := time.NewTimer(pauseOfRounds)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// unreachableError means that no control process gave a final answer.
type unreachableError struct {
	last    error
	unknown bool // a process may have received the request
}

func (e *unreachableError) Error() string {
	text := fmt.Sprintf("no control process gave a final answer: %v", e.last)
	if e.unknown {
		return text + "; the change may or may not take effect"
	}
	return text + "; nothing was done; check [client] control and the control processes"
}

// send sends one request to each address in turn until one gives a final
// answer. The body, and with it the request id, is the same each time.
func (c *client) send(ctx context.Context, method, path string, body any, policy resend) ([]byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, errors.Wrap(err, "encode the request")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.retryFor)
	defer cancel()
	failure := &unreachableError{}
	for {
		for _, address := range c.addresses {
			answer, err := c.exchange(ctx, method, "http://"+address.String()+path, data)
			if err == nil {
				return answer, nil
			}
			if final(err) {
				return nil, err
			}
			failure.last = err
			failure.unknown = failure.unknown || (method != http.MethodGet && !nothingDone(err))
			if failure.unknown && policy == resendNothing {
				return nil, failure
			}
		}
		if c.pause(ctx) != nil {
			return nil, failure
		}
	}
}

func (c *client) exchange(ctx context.Context, method, url string, data []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(answer) > maxAnswerBytes {
		return nil, errors.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	problem := &operator.Problem{}
	if json.Unmarshal(answer, problem) != nil || problem.Title == "" {
		problem = &operator.Problem{Title: response.Status, Remedy: "check that the address is an operators' listener"}
	}
	problem.Status = response.StatusCode
	return nil, problem
}

// final reports whether asking again cannot change the answer.
func final(err error) bool {
	var p *operator.Problem
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError
}

// nothingDone reports whether the process has said that nothing was done.
func nothingDone(err error) bool {
	var p *operator.Problem
	return errors.As(err, &p) && p.Status == http.StatusServiceUnavailable
}

func (c *client) get(ctx context.Context, path string, into proto.Message) error {
	data, err := c.send(ctx, http.MethodGet, path, nil, resendAlways)
	if err != nil {
		return err
	}
	return decode(data, into)
}

func (c *client) post(ctx context.Context, path string, body any, into proto.Message) error {
	data, err := c.send(ctx, http.MethodPost, path, body, resendAlways)
	if err != nil {
		return err
	}
	return decode(data, into)
}

// decode accepts unknown fields, because a newer control process may send them.
func decode(data []byte, into proto.Message) error {
	err := protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, into)
	return errors.Wrap(err, "read the answer; use a command-line tool of the control processes' version")
}
