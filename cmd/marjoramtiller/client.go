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
	maxResponseBytes = 64 << 20
	roundPause       = 250 * time.Millisecond // between two attempts at all addresses
)

// resendPolicy selects the failures after which a request is sent again.
type resendPolicy int

const (
	resendAlways        resendPolicy = iota // for reads, and for changes that carry a request id
	resendIfNothingDone                     // only if the process reported that nothing was done
)

// client sends requests to the operators' listeners of the control processes.
type client struct {
	addresses []netip.AddrPort
	http      *http.Client
	retryFor  time.Duration
	pause     func(ctx context.Context) error // called between two attempts at all addresses
}

func newClient(s *settings.Client) *client {
	return &client{
		addresses: s.Control,
		http:      &http.Client{Timeout: s.Timeout},
		retryFor:  s.RetryFor,
		pause:     waitRoundPause,
	}
}

func waitRoundPause(ctx context.Context) error {
	t := time.NewTimer(roundPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// unreachableError reports that no control process returned a final response.
type unreachableError struct {
	last    error
	unknown bool // a process may have received the request
}

func (e *unreachableError) Error() string {
	text := fmt.Sprintf("no control process returned a final response: %v", e.last)
	if e.unknown {
		return text + "; the change may or may not take effect"
	}
	return text + "; nothing was done; check the addresses in [client] control and that the control processes are running"
}

// send sends a request to one address after the other until one returns a final
// response. The body, and with it the request id, is the same in every attempt.
func (c *client) send(ctx context.Context, method, path string, body any, policy resendPolicy) ([]byte, error) {
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
			response, err := c.sendOnce(ctx, method, "http://"+address.String()+path, data)
			if err == nil {
				return response, nil
			}
			if isFinal(err) {
				return nil, err
			}
			failure.last = err
			failure.unknown = failure.unknown || (method != http.MethodGet && !nothingDone(err))
			if failure.unknown && policy == resendIfNothingDone {
				return nil, failure
			}
		}
		if c.pause(ctx) != nil {
			return nil, failure
		}
	}
}

func (c *client) sendOnce(ctx context.Context, method, url string, data []byte) ([]byte, error) {
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
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(responseBody) > maxResponseBytes {
		return nil, errors.Errorf("the response is larger than %d bytes", maxResponseBytes)
	}
	if response.StatusCode == http.StatusOK {
		return responseBody, nil
	}
	problem := &operator.Problem{}
	if json.Unmarshal(responseBody, problem) != nil || problem.Title == "" {
		problem = &operator.Problem{Title: response.Status, Remedy: "check that the address is an operators' listener"}
	}
	problem.Status = response.StatusCode
	return nil, problem
}

// isFinal reports whether a repeated request would fail in the same way.
func isFinal(err error) bool {
	var p *operator.Problem
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError
}

// nothingDone reports whether the process responded that nothing was done.
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
	return errors.Wrap(err, "decode the response; use a command-line tool of the same version as the control processes")
}
