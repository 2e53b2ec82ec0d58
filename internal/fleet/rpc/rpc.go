// Package rpc carries a ledger's commands between dispatchers over gRPC. A call's body is the command as
// the log keeps it, so that there is one form of it; the reply names the ledger's error, and the leader
// where it is another voter. There is no TLS and no sign-in: the network between dispatchers has to be
// trusted.
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
	service = "tinroute.fleet.v1.Ledger"
	// mostBody bounds what either side reads.
	mostBody = 1 << 20
	// spare connections beside one for each member: status words, other voters.
	spare = 16
)

// Voter is what a server answers from; quorum.Voter in service.
type Voter interface {
	Apply(ledger.Command) (ledger.Answer, error)
	Leader() string
	Look(func(*ledger.State))
}

// known are the errors that a caller can act on, by their names on the wire.
var known = map[string]error{"foreign": ledger.ErrForeign, "lapsed": ledger.ErrLapsed, "old": ledger.ErrOld,
	"full": ledger.ErrFull, "version": ledger.ErrVersion, "not leader": quorum.ErrNotLeader, "unsure": quorum.ErrUnsure}

type reply struct {
	Answer ledger.Answer `json:"answer"`
	Err    string        `json:"err,omitempty"` // a name of known, "other" for any else
	Text   string        `json:"text,omitempty"`
	Leader string        `json:"leader,omitempty"`
}

// Server answers at a listener until Close.
type Server struct{ grpc *grpc.Server }

// Serve begins to answer. Members bounds how many connections are held at once.
func Serve(l net.Listener, v Voter, members int) *Server {
	s := &Server{grpc.NewServer(grpc.MaxRecvMsgSize(mostBody), grpc.MaxConcurrentStreams(spare), grpc.ConnectionTimeout(3*time.Second))}
	s.grpc.RegisterService(&grpc.ServiceDesc{ServiceName: service, HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
		method("Do", func(in []byte) (any, error) {
			var c ledger.Command
			if err := json.Unmarshal(in, &c); err != nil {
				return nil, status.Error(codes.InvalidArgument, "not a command")
			}
			r := reply{}
			var err error
			if r.Answer, err = v.Apply(c); err != nil {
				r.Err, r.Text = "other", err.Error()
				for name, e := range known {
					if errors.Is(err, e) {
						r.Err = name
					}
				}
				r.Leader = v.Leader()
			}
			return r, nil
		}),
		method("Look", func([]byte) (any, error) {
			var o ledger.Overview
			v.Look(func(s *ledger.State) { o = s.Overview() })
			o.Leader = v.Leader()
			return o, nil
		}),
	}}, nil)
	go func() { _ = s.grpc.Serve(netutil.LimitListener(l, members+spare)) }()
	return s
}

// method is one call from bytes to something written as JSON.
func method(name string, f func(in []byte) (any, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := &wrapperspb.BytesValue{}
		if err := decode(in); err != nil {
			return nil, err
		}
		out, err := f(in.Value)
		if err != nil {
			return nil, err
		}
		data, err := json.Marshal(out)
		return &wrapperspb.BytesValue{Value: data}, err
	}}
}

// Close ends at once: what was asked and is not answered is asked again.
func (s *Server) Close() { s.grpc.Stop() }

// Client speaks to one voter.
type Client struct{ conn *grpc.ClientConn }

// Dial makes a client of the voter at an address; nothing is sent before the first call. Within bounds
// the wait between two tries at a connection.
func Dial(addr string, within time.Duration) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16*mostBody)), grpc.WithDisableServiceConfig(), grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: within / 8, Multiplier: 1.6, Jitter: 0.2, MaxDelay: within}, MinConnectTimeout: within}))
	if err != nil {
		return nil, err
	}
	return &Client{conn}, nil
}

func (c *Client) call(ctx context.Context, name string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r := &wrapperspb.BytesValue{}
	if err := c.conn.Invoke(ctx, "/"+service+"/"+name, &wrapperspb.BytesValue{Value: data}, r); err != nil {
		return err
	}
	return json.Unmarshal(r.Value, out)
}

// Reply is what a voter made of a command.
type Reply struct {
	Answer ledger.Answer
	Leader string // who leads, as far as the voter knows, where it does not
	Final  bool   // it is the ledger's own word; else the command is to be put again, perhaps elsewhere
}

// Do puts a command. An error of a Reply that is not Final leaves open whether it was written.
func (c *Client) Do(ctx context.Context, cmd ledger.Command) (Reply, error) {
	r := reply{}
	if err := c.call(ctx, "Do", cmd, &r); err != nil {
		return Reply{}, err
	}
	out := Reply{Answer: r.Answer, Leader: r.Leader}
	err := known[r.Err]
	switch {
	case r.Err == "":
		out.Final = true
		return out, nil
	case err == nil:
		out.Final = true
		return out, errors.New(r.Text)
	}
	out.Final = !errors.Is(err, quorum.ErrNotLeader) && !errors.Is(err, quorum.ErrUnsure)
	return out, fmt.Errorf("%w (%s)", err, r.Text)
}

// Look reads what the voter holds, which may be behind the leader's.
func (c *Client) Look(ctx context.Context) (o ledger.Overview, err error) {
	err = c.call(ctx, "Look", struct{}{}, &o)
	return o, err
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }
