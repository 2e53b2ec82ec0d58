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

// run handles the messages of in, one a line, until its end.
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
	case wire.Frame:
		s.frame.Now = event.Now
	case wire.End:
		_, _ = s.out.WriteString("[\"eor\"]\n")
		if err := s.out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	case wire.Up:
		encoder := wire.NewEncoder(s.out, event.Inst)
		balancer, err := balance.New(*event.Settings, encoder)
		if err != nil {
			s.reportError(event, err)
			return nil
		}
		s.instances[event.Inst] = &instance{balancer, encoder}
	case wire.Kill:
		delete(s.instances, event.Inst)
	default:
		target := s.instances[event.Inst]
		if target == nil {
			s.reportError(event, fmt.Errorf("unknown instance %d", event.Inst))
			return nil
		}
		s.deliver(target.balancer, event)
	}
	return nil
}

func (s *server) deliver(balancer *balance.Balancer, event *wire.Event) {
	now := s.frame.Now
	switch event.Kind {
	case wire.Members:
		balancer.UpdateMembers(now, event.List, event.Members)
	case wire.Request:
		balancer.SubmitJob(now, event.Job)
	case wire.First:
		balancer.StreamStarted(now, event.Job.ID, event.Result.Attempt)
	case wire.Outcome:
		balancer.AttemptDone(now, event.Result)
	case wire.Gone:
		balancer.ClientGone(now, event.Job.ID)
	case wire.Timer:
		balancer.TimerFired(now, event.Token)
	case wire.Peer:
		balancer.PeerMessage(now, event.From, event.Data)
	case wire.Probed:
		balancer.ProbeDone(now, event.Result.Worker, event.Result.Status, event.Result.Elapsed, event.Result.Report)
	case wire.Note:
		balancer.AttemptEvent(now, event.Job.ID, event.Result.Attempt, event.Note, event.Amount)
	}
}

// reportError reports an invalid message on standard error and, if the message names an instance, as a
// fault of that instance on standard output.
func (s *server) reportError(event *wire.Event, err error) {
	fmt.Fprintln(s.errOut, "drill:", err)
	if event.HasInst {
		wire.NewEncoder(s.out, event.Inst).Fault(err.Error())
	}
}
