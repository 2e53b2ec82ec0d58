// Command drill runs instances of the balancer for the simulator. It reads batches of events from
// standard input and writes the resulting actions to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/wire"
)

func main() {
	// The program allocates little and its live heap is small, so the default would collect often for
	// little gain. CPU time is the scarce resource in the deployments.
	debug.SetGCPercent(800)
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instance is a balancer and the encoder of its actions.
type instance struct {
	balancer *balance.Balancer
	encoder  *wire.Encoder
}

// server holds the instances by their number, and the output stream that they share.
type server struct {
	out       *bufio.Writer
	errOut    io.Writer
	decoder   *wire.Decoder
	instances map[int64]*instance
	frame     wire.Event
}

// run handles the messages of in, one per line, until the end of the input.
func run(in io.Reader, out, errOut io.Writer) error {
	s := &server{out: bufio.NewWriterSize(out, 1<<16), errOut: errOut, decoder: wire.NewDecoder(),
		instances: map[int64]*instance{}}
	lines := bufio.NewReaderSize(in, 1<<16)
	var partial []byte
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			partial = append(partial, line...)
			continue
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading a batch: %w", err)
		}
		if len(partial) > 0 {
			partial = append(partial, line...)
			line = partial
		}
		if len(line) > 1 {
			if err := s.handleLine(line); err != nil {
				return err
			}
		}
		partial = partial[:0]
		if err != nil {
			return nil
		}
	}
}

func (s *server) handleLine(line []byte) error {
	event, err := s.decoder.Decode(line)
	if err != nil {
		s.reportError(event, err)
		return nil
	}
	switch event.Kind {
	case wire.FrameStart:
		s.frame.Now = event.Now
	case wire.FrameEnd:
		_, _ = s.out.WriteString("[\"eor\"]\n")
		if err := s.out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	case wire.InstanceStart:
		encoder := wire.NewEncoder(s.out, event.InstanceID)
		balancer, err := balance.New(*event.Settings, encoder)
		if err != nil {
			s.reportError(event, err)
			return nil
		}
		s.instances[event.InstanceID] = &instance{balancer, encoder}
	case wire.InstanceStop:
		delete(s.instances, event.InstanceID)
	default:
		target := s.instances[event.InstanceID]
		if target == nil {
			s.reportError(event, fmt.Errorf("unknown instance %d", event.InstanceID))
			return nil
		}
		s.deliver(target.balancer, event)
	}
	return nil
}

func (s *server) deliver(balancer *balance.Balancer, event *wire.Event) {
	now := s.frame.Now
	switch event.Kind {
	case wire.MembershipUpdate:
		balancer.UpdateMembers(now, event.UpdateKind, event.Members)
	case wire.JobSubmitted:
		balancer.SubmitJob(now, event.Job)
	case wire.StreamStarted:
		balancer.StreamStarted(now, event.Job.ID, event.Result.Attempt)
	case wire.AttemptDone:
		balancer.AttemptDone(now, event.Result)
	case wire.ClientGone:
		balancer.ClientGone(now, event.Job.ID)
	case wire.TimerFired:
		balancer.TimerFired(now, event.TimerToken)
	case wire.PeerMessage:
		balancer.PeerMessage(now, event.Peer, event.Data)
	case wire.ProbeDone:
		balancer.ProbeDone(now, event.Result.Worker, event.Result.Status, event.Result.Elapsed, event.Result.Report)
	case wire.AttemptEvent:
		balancer.AttemptEvent(now, event.Job.ID, event.Result.Attempt, event.AttemptEvent, event.Amount)
	}
}

// reportError reports an invalid message on standard error and, if the message names an instance, as a
// fault of that instance on standard output.
func (s *server) reportError(event *wire.Event, err error) {
	fmt.Fprintln(s.errOut, "drill:", err)
	if event.HasInstanceID {
		wire.NewEncoder(s.out, event.InstanceID).Fault(err.Error())
	}
}
