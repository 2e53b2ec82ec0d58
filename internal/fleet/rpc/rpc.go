// Package rpc sends a ledger's commands between dispatchers over gRPC. A call's body is the command as JSON,
// the same encoding as in the raft log. The reply names the ledger's error, and the leader if that is
// another voter. There is no TLS and no authentication: the network between dispatchers must be trusted.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/quorum"
)

const (
	serviceName = "tinroute.fleet.v1.Ledger"
	// maxBody is the largest request that a server reads. A client reads replies of up to 16 times that.
	maxBody = 1 << 20
	// spareConns is how many connections are allowed beside one per member, for status requests and other
	// voters. It also limits the concurrent calls per connection.
	spareConns = 16
)

// Voter applies commands and shows the state; quorum.Voter implements it.
type Voter interface {
	Apply(ledger.Command) (ledger.Answer, error)
	Leader() string
	View(func(*ledger.State))
}

// wireErrors are the errors that a caller can act on, by the names that replies give them.
var wireErrors = map[string]error{"foreign": ledger.ErrWrongFleet, "lapsed": ledger.ErrExpired, "old": ledger.ErrStale,
	"full": ledger.ErrTooManyMembers, "version": ledger.ErrVersionMismatch, "not leader": quorum.ErrNotLeader, "unsure": quorum.ErrOutcomeUnknown}

// reply is the encoded answer to Do.
type reply struct {
	Answer ledger.Answer `json:"answer"`
	Err    string        `json:"err,omitempty"` // a key of wireErrors, "other" for any other error, empty for none
	Text   string        `json:"text,omitempty"`
	Leader string        `json:"leader,omitempty"`
}

// Server serves a voter's ledger until it is closed.
type Server struct{ grpc *grpc.Server }

// Serve starts a server on a listener. It accepts at most maxMembers + spareConns connections at once.
func Serve(listener net.Listener, voter Voter, maxMembers int) *Server {
	server := &Server{grpc.NewServer(grpc.MaxRecvMsgSize(maxBody), grpc.MaxConcurrentStreams(spareConns), grpc.ConnectionTimeout(3*time.Second))}
	server.grpc.RegisterService(&grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
		unaryMethod("Do", func(in []byte) (any, error) {
			var cmd ledger.Command
			if err := json.Unmarshal(in, &cmd); err != nil {
				return nil, status.Error(codes.InvalidArgument, "not a command")
			}
			r := reply{}
			var err error
			if r.Answer, err = voter.Apply(cmd); err != nil {
				r.Err, r.Text = "other", err.Error()
				for name, e := range wireErrors {
					if errors.Is(err, e) {
						r.Err = name
					}
				}
				r.Leader = voter.Leader()
			}
			return r, nil
		}),
		unaryMethod("Look", func([]byte) (any, error) {
			var o ledger.Overview
			voter.View(func(state *ledger.State) { o = state.Overview() })
			o.Leader = voter.Leader()
			return o, nil
		}),
	}}, nil)
	go func() { _ = server.grpc.Serve(netutil.LimitListener(listener, maxMembers+spareConns)) }()
	return server
}

// unaryMethod describes a method whose request is bytes and whose response is encoded as JSON.
func unaryMethod(name string, handle func(in []byte) (any, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := &wrapperspb.BytesValue{}
		if err := decode(in); err != nil {
			return nil, err
		}
		out, err := handle(in.Value)
		if err != nil {
			return nil, err
		}
		data, err := json.Marshal(out)
		return &wrapperspb.BytesValue{Value: data}, err
	}}
}

// Close stops the server immediately. Clients repeat requests that are in progress.
func (s *Server) Close() { s.grpc.Stop() }

// Client calls one voter.
type Client struct{ conn *grpc.ClientConn }

// Dial returns a client of the voter at an address. It connects at the first call. maxBackoff limits the wait
// between connection attempts.
func Dial(addr string, maxBackoff time.Duration) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16*maxBody)), grpc.WithDisableServiceConfig(), grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: maxBackoff / 8, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff}, MinConnectTimeout: maxBackoff}))
	if err != nil {
		return nil, err
	}
	return &Client{conn}, nil
}

// call invokes a method with in as JSON and decodes its response into out.
func (c *Client) call(ctx context.Context, method string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r := &wrapperspb.BytesValue{}
	if err := c.conn.Invoke(ctx, "/"+serviceName+"/"+method, &wrapperspb.BytesValue{Value: data}, r); err != nil {
		return err
	}
	return json.Unmarshal(r.Value, out)
}

// Reply is a voter's reply to a command.
type Reply struct {
	Answer ledger.Answer
	Leader string // with an error, the leader as far as the voter knows
	Final  bool   // the ledger's own result; otherwise the command should be sent again, perhaps to another voter
}

// Do sends a command. After an error with a Reply that is not Final, the command may or may not have been
// written.
func (c *Client) Do(ctx context.Context, cmd ledger.Command) (Reply, error) {
	wire := reply{}
	if err := c.call(ctx, "Do", cmd, &wire); err != nil {
		return Reply{}, err
	}
	result := Reply{Answer: wire.Answer, Leader: wire.Leader}
	err := wireErrors[wire.Err]
	switch {
	case wire.Err == "":
		result.Final = true
		return result, nil
	case err == nil:
		result.Final = true
		return result, errors.New(wire.Text)
	}
	result.Final = !errors.Is(err, quorum.ErrNotLeader) && !errors.Is(err, quorum.ErrOutcomeUnknown)
	return result, fmt.Errorf("%w (%s)", err, wire.Text)
}

// Overview returns the voter's state, which may be behind the leader's.
func (c *Client) Overview(ctx context.Context) (o ledger.Overview, err error) {
	err = c.call(ctx, "Look", struct{}{}, &o)
	return o, err
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }
