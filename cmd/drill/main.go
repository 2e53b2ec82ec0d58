// Command drill hosts instances of the decision module on the simulator's wire:
// batches of events on standard input, actions on standard output.
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
	// Little is allocated and the live heap is small, so the default would
	// collect often for nothing; CPU is what the deployments lack.
	debug.SetGCPercent(800)
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

type instance struct {
	balancer *balance.Balancer
	encoder  *wire.Encoder
}

// drill is the instance table and the stream it answers on.
type drill struct {
	out       *bufio.Writer
	errs      io.Writer
	decoder   *wire.Decoder
	instances map[int64]*instance
	frame     wire.Event
}

func run(in io.Reader, out, errs io.Writer) error {
	d := &drill{out: bufio.NewWriterSize(out, 1<<16), errs: errs, decoder: wire.NewDecoder(),
		instances: map[int64]*instance{}}
	lines := bufio.NewReaderSize(in, 1<<16)
	var long []byte
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, line...)
			continue
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading a batch: %w", err)
		}
		if len(long) > 0 {
			long = append(long, line...)
			line = long
		}
		if len(line) > 1 {
			if err := d.line(line); err != nil {
				return err
			}
		}
		long = long[:0]
		if err != nil {
			return nil
		}
	}
}

func (d *drill) line(line []byte) error {
	e, err := d.decoder.Decode(line)
	if err != nil {
		d.complain(e, err)
		return nil
	}
	switch e.Kind {
	case wire.Frame:
		d.frame.Now = e.Now
	case wire.End:
		_, _ = d.out.WriteString("[\"eor\"]\n")
		if err := d.out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	case wire.Up:
		enc := wire.NewEncoder(d.out, e.Inst)
		b, err := balance.New(*e.Settings, enc)
		if err != nil {
			d.complain(e, err)
			return nil
		}
		d.instances[e.Inst] = &instance{b, enc}
	case wire.Kill:
		delete(d.instances, e.Inst)
	default:
		i := d.instances[e.Inst]
		if i == nil {
			d.complain(e, fmt.Errorf("unknown instance %d", e.Inst))
			return nil
		}
		d.deliver(i.balancer, e)
	}
	return nil
}

func (d *drill) deliver(b *balance.Balancer, e *wire.Event) {
	now := d.frame.Now
	switch e.Kind {
	case wire.Members:
		b.UpdateMembers(now, e.List, e.Members)
	case wire.Request:
		b.SubmitJob(now, e.Job)
	case wire.First:
		b.StreamStarted(now, e.Job.ID, e.Result.Attempt)
	case wire.Outcome:
		b.AttemptDone(now, e.Result)
	case wire.Gone:
		b.ClientGone(now, e.Job.ID)
	case wire.Timer:
		b.TimerFired(now, e.Token)
	case wire.Peer:
		b.PeerMessage(now, e.From, e.Data)
	case wire.Probed:
		b.ProbeDone(now, e.Result.Worker, e.Result.Status, e.Result.Elapsed, e.Result.Report)
	case wire.Note:
		b.AttemptEvent(now, e.Job.ID, e.Result.Attempt, e.Note, e.Amount)
	}
}

// complain reports an input that cannot be used: always on standard error, and
// on the wire where the instance is known.
func (d *drill) complain(e *wire.Event, err error) {
	fmt.Fprintln(d.errs, "drill:", err)
	if e.HasInst {
		wire.NewEncoder(d.out, e.Inst).Fault(err.Error())
	}
}
