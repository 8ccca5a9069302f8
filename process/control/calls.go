package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/request/ledger"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// HandleCall implements wire.Handler.
func (s *Server) HandleCall(ctx context.Context, peer string, req *wirepb.Request) *wirepb.Response {
	resp, err := s.call(ctx, peer, req)
	if err != nil {
		return errorResponse(err)
	}
	return resp
}

func (s *Server) call(ctx context.Context, peer string, req *wirepb.Request) (*wirepb.Response, error) {
	switch b := req.GetBody().(type) {
	case *wirepb.Request_Sync:
		out, err := s.sync(ctx, peer, b.Sync)
		return &wirepb.Response{Body: &wirepb.Response_Sync{Sync: out}}, err
	case *wirepb.Request_Announce:
		out, err := s.announce(ctx, b.Announce)
		return &wirepb.Response{Body: &wirepb.Response_Announce{Announce: out}}, err
	case *wirepb.Request_Ledger:
		out, err := s.ledgerCall(ctx, b.Ledger)
		return &wirepb.Response{Body: &wirepb.Response_Ledger{Ledger: out}}, err
	case *wirepb.Request_Fleet:
		out, err := s.proposeFleet(ctx, b.Fleet.GetCommand())
		return &wirepb.Response{Body: &wirepb.Response_Fleet{Fleet: &wirepb.FleetResponse{Result: out}}}, err
	case *wirepb.Request_Dump:
		out, err := s.Dump(ctx)
		return &wirepb.Response{Body: &wirepb.Response_Dump{Dump: &wirepb.DumpResponse{Json: out}}}, err
	case *wirepb.Request_Voter:
		err := s.changeMember(ctx, b.Voter)
		return &wirepb.Response{Body: &wirepb.Response_Voter{Voter: &wirepb.VoterResponse{}}}, err
	default:
		return nil, &InvalidRequestError{Message: "the type of the request is unknown: run the same release on all hosts"}
	}
}

// ledgerCall executes a command in a ledger group that this process leads. The
// command gets the leader's wall-clock time instead of the sender's, so that the age
// of a key depends on the clocks of control hosts only.
func (s *Server) ledgerCall(ctx context.Context, req *wirepb.LedgerRequest) (*wirepb.LedgerResponse, error) {
	if int(req.GetGroup()) >= len(s.ledgers) || req.GetCommand() == nil {
		return nil, &InvalidRequestError{Message: "the ledger group does not exist or the command is missing: set the same number of ledger groups and run the same release on all hosts"}
	}
	r := s.ledgers[req.GetGroup()]
	if q := req.GetCommand().GetQuery(); q != nil {
		return queryLedger(ctx, r, q.GetKey())
	}
	out, err := proposeLedger(ctx, r, req.GetCommand())
	if err != nil {
		return nil, err
	}
	return &wirepb.LedgerResponse{Result: out}, nil
}

// queryLedger reads a key's outcome without appending a log entry. It first confirms
// with a quorum that this process is the leader.
func queryLedger(ctx context.Context, r *replica.Replica, key string) (*wirepb.LedgerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := r.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	var out *ledgerpb.Result
	r.View(func(sm replica.StateMachine) { out = sm.(*ledger.Ledger).Lookup(key) })
	return &wirepb.LedgerResponse{Result: out}, nil
}

func proposeLedger(ctx context.Context, r *replica.Replica, c *ledgerpb.Command) (*ledgerpb.Result, error) {
	c.NowUnixMs = time.Now().UnixMilli()
	raw, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	response, err := r.Propose(ctx, raw)
	if err != nil {
		return nil, err
	}
	out := new(ledgerpb.Result)
	return out, proto.Unmarshal(response, out)
}

// proposeFleet executes a command in the fleet group. It returns
// *replica.NotLeaderError if this process is not the leader.
func (s *Server) proposeFleet(ctx context.Context, c *fleetpb.Command) (*fleetpb.Result, error) {
	if c == nil {
		return nil, &InvalidRequestError{Message: "the request has no command: run the same release on all hosts"}
	}
	c.NowUnixMs = time.Now().UnixMilli()
	raw, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	response, err := s.fleet.Propose(ctx, raw)
	if err != nil {
		return nil, err
	}
	out := new(fleetpb.Result)
	return out, proto.Unmarshal(response, out)
}

// leaderCall executes a request at the fleet group's leader: locally if this process
// leads, otherwise by a call to the leader that the replica reports.
func (s *Server) leaderCall(ctx context.Context, req *wirepb.Request) (*wirepb.Response, error) {
	st := s.fleet.Status()
	if st.Leader == s.options.Process {
		return s.call(ctx, s.options.Process, req)
	}
	if st.Leader == "" {
		return nil, &UnavailableError{Group: FleetGroup, Cause: "no leader is known; an election is in progress, which takes up to 4 s, or the quorum is lost"}
	}
	resp, err := s.pool.Call(ctx, st.Leader, req)
	if err := callError(FleetGroup, resp, err); err != nil {
		return nil, err
	}
	return resp, nil
}
