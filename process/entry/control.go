package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Control holds the calls that an entry makes to the control processes.
type Control interface {
	Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error)
	Ledger(ctx context.Context, r *wirepb.LedgerRequest) (*wirepb.LedgerResponse, error)
	Announce(ctx context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error)
}

// PeerCaller makes one call to a named process. The Pool of connection/wire
// implements it.
type PeerCaller interface {
	Call(ctx context.Context, peer string, req *wirepb.Request) (*wirepb.Response, error)
}

// ControlError is an error response of a control process.
type ControlError struct {
	Kind    wirepb.Error_Kind
	Message string
}

// Error implements error.
func (e *ControlError) Error() string {
	return "entry: control process returned " + e.Kind.String() + ": " + e.Message
}

// peerTimeout bounds one call to one control process, in addition to the time
// that a sync may wait at the leader. A partitioned process must not delay the
// calls to the others.
const peerTimeout = time.Second

// maxHints bounds the leader hints followed in one call. Two processes that
// name each other as leader during an election would otherwise be called
// without end.
const maxHints = 3

// ControlClient calls the control leader and the leaders of the ledger groups
// through a PeerCaller. It is safe for concurrent use.
type ControlClient struct {
	caller PeerCaller
	peers  []string

	mu      sync.Mutex
	leaders map[groupID]string
}

// groupID identifies a consensus group: the control group, or a ledger group by
// number.
type groupID struct {
	ledger bool
	number uint32
}

// NewControlClient returns a Control that calls the named control processes.
func NewControlClient(c PeerCaller, peers []string) *ControlClient {
	return &ControlClient{caller: c, peers: peers, leaders: make(map[groupID]string)}
}

// Sync implements Control.
func (c *ControlClient) Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	wait := time.Duration(r.GetWaitMs()) * time.Millisecond
	resp, err := c.callLeader(ctx, groupID{}, &wirepb.Request{Body: &wirepb.Request_Sync{Sync: r}}, wait+peerTimeout)
	if err != nil {
		return nil, err
	}
	if resp.GetSync() == nil {
		return nil, errResponseType
	}
	return resp.GetSync(), nil
}

// Ledger implements Control. A ledger command that is sent again has the same
// result, so another process is tried after a lost response.
func (c *ControlClient) Ledger(ctx context.Context, r *wirepb.LedgerRequest) (*wirepb.LedgerResponse, error) {
	group := groupID{ledger: true, number: r.GetGroup()}
	resp, err := c.callLeader(ctx, group, &wirepb.Request{Body: &wirepb.Request_Ledger{Ledger: r}}, peerTimeout)
	if err != nil {
		return nil, err
	}
	if resp.GetLedger() == nil {
		return nil, errResponseType
	}
	return resp.GetLedger(), nil
}

// Announce implements Control.
func (c *ControlClient) Announce(ctx context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error) {
	resp, err := c.callLeader(ctx, groupID{}, &wirepb.Request{Body: &wirepb.Request_Announce{Announce: r}}, peerTimeout)
	if err != nil {
		return nil, err
	}
	if resp.GetAnnounce() == nil {
		return nil, errResponseType
	}
	return resp.GetAnnounce(), nil
}

var errResponseType = errors.New("entry: the control process responded to another type of request; run the same release on all hosts")

// callLeader calls the last known leader first, follows leader hints, then
// tries each other process once.
func (c *ControlClient) callLeader(ctx context.Context, group groupID, req *wirepb.Request, timeout time.Duration) (*wirepb.Response, error) {
	tried := make(map[string]bool)
	next := c.leader(group)
	hints := 0
	var lastErr error
	for {
		if next == "" || (tried[next] && hints > maxHints) {
			next = c.untriedPeer(tried)
		}
		if next == "" {
			return nil, lastErr
		}
		peer := next
		next = ""
		tried[peer] = true
		resp, err := c.callPeer(ctx, peer, req, timeout)
		if err == nil {
			c.setLeader(group, peer)
			return resp, nil
		}
		lastErr = err
		var ce *ControlError
		if !errors.As(err, &ce) {
			if ctx.Err() == nil { // a cancelled call says nothing about the peer
				c.clearLeader(group, peer)
			}
		} else if ce.Kind == wirepb.Error_KIND_INVALID || ce.Kind == wirepb.Error_KIND_OUTCOME_UNKNOWN {
			return nil, err
		} else if hint := resp.GetError().GetLeader(); hint != "" && hint != peer {
			hints++
			next = hint
		} else {
			c.clearLeader(group, peer)
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(lastErr, ctx.Err().Error())
		}
	}
}

func (c *ControlClient) callPeer(ctx context.Context, peer string, req *wirepb.Request, timeout time.Duration) (*wirepb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.caller.Call(ctx, peer, req)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", peer)
	}
	if e := resp.GetError(); e != nil && e.GetKind() != wirepb.Error_KIND_UNSPECIFIED {
		return resp, &ControlError{Kind: e.GetKind(), Message: e.GetMessage()}
	}
	return resp, nil
}

func (c *ControlClient) untriedPeer(tried map[string]bool) string {
	for _, p := range c.peers {
		if !tried[p] {
			return p
		}
	}
	return ""
}

func (c *ControlClient) leader(group groupID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaders[group]
}

func (c *ControlClient) setLeader(group groupID, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = peer
}

func (c *ControlClient) clearLeader(group groupID, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] == peer {
		delete(c.leaders, group)
	}
}
