package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/rpc"
	"tinroute.example/tinroute/internal/lab/rig"
)

// lookWithin bounds how long one voter is waited for.
const lookWithin = time.Second

type fleetWord struct {
	Status   fleetStatus   `cmd:"" help:"Tell who leads, and each budget with its holders, as each voter knows it."`
	Budgets  fleetBudgets  `cmd:"" help:"Tell the budgets, or change them."`
	Rehearse fleetRehearse `cmd:"" help:"Start fleets of this program on loopback, put faults between the processes, and judge what reached the nodes."`
}

type fleetFile struct {
	Fleet string `help:"The fleet's file, as serve takes it." placeholder:"FILE" required:""`
}

func (w *fleetFile) load(r *run) (*config.Fleet, error) {
	c, err := config.Load(r.Getenv)
	if err != nil {
		return nil, err
	}
	return config.LoadFleet(w.Fleet, c.Name, c.Settings, c.Names)
}

type fleetStatus struct {
	fleetFile
	JSON bool `help:"Tell it as JSON." name:"json"`
}

// Run asks every voter that the file names, and tells the newest state met.
func (w *fleetStatus) Run(r *run) error {
	f, err := w.load(r)
	if err != nil {
		return err
	}
	type seen struct {
		Voter string           `json:"voter"`
		Err   string           `json:"err,omitempty"`
		State *ledger.Overview `json:"state,omitempty"`
	}
	var all []seen
	var best *ledger.Overview // the leader's, else any
	for _, name := range slices.Sorted(maps.Keys(f.Voters)) {
		s := seen{Voter: name}
		if o, err := look(f.Voters[name].LedgerAddr); err != nil {
			s.Err = err.Error()
		} else {
			s.State = &o
			if best == nil || o.Leader == name {
				best = s.State
			}
		}
		all = append(all, s)
	}
	if w.JSON {
		enc := json.NewEncoder(r.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(all); err != nil {
			return err
		}
	} else {
		for _, s := range all {
			if s.Err != "" {
				fmt.Fprintf(r.Out, "voter %s: no answer: %s\n", s.Voter, s.Err)
			} else {
				fmt.Fprintf(r.Out, "voter %s: budgets of version %d, led by %q\n", s.Voter, s.State.Version, s.State.Leader)
			}
		}
		if best != nil {
			tell(r.Out, *best)
		}
	}
	if best == nil {
		return errors.New("no voter has answered")
	}
	return nil
}

func look(addr string) (ledger.Overview, error) {
	c, err := rpc.Dial(addr, lookWithin)
	if err != nil {
		return ledger.Overview{}, err
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), lookWithin)
	defer cancel()
	return c.Look(ctx)
}

func tell(out io.Writer, o ledger.Overview) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "budget\tholder\tincarnation\tgranted\tdemand\t")
	for _, b := range o.Budgets {
		fmt.Fprintf(w, "%s\t\t\t%g of %g\t\t\n", b.Name, float64(b.Granted)/1000, float64(b.Whole)/1000)
		for _, h := range b.Holders {
			lapsed := ""
			if h.Lapsed {
				lapsed = "lapsed"
			}
			fmt.Fprintf(w, "\t%s\t%d\t%g\t%g\t%s\n", h.Name, h.Incarnation, float64(h.Granted)/1000, float64(h.Demand)/1000, lapsed)
		}
	}
	_ = w.Flush()
}

type fleetRehearse struct {
	Processes int           `default:"20" help:"Dispatchers of each fleet."`
	Voters    int           `default:"5" help:"Of them, those that vote."`
	Schedules int           `default:"10" help:"How many schedules of faults are played, one seed each."`
	Seed      uint64        `default:"1" help:"The first seed."`
	Length    time.Duration `default:"8s" help:"The time in which faults begin."`
	Within    time.Duration `default:"1m" help:"The time in which a fleet has to be whole again."`
	Lease     time.Duration `default:"1s" help:"Of the fleet's shares."`
	At        int           `default:"1" help:"Fleets at once."`
	Out       string        `help:"Outcomes, a JSON line each." default:"rehearsals.jsonl" placeholder:"FILE"`
	Repeats   float64       `default:"0" help:"A budget of so many repeats a second, with every other job failing; 0 for none."`
	Sockets   int           `default:"0" help:"A budget of so many connections at each node; 0 for none."`
	Keep      bool          `help:"Keep every fleet's logs and history, not only those of broken rules."`
}

var errRule = errors.New("a rule was broken")

// Run plays the schedules and sums them up. It fails where a rule was broken, and keeps that fleet's files.
func (w *fleetRehearse) Run(r *run) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if w.Voters < 1 || w.Voters > w.Processes || w.At < 1 {
		return fmt.Errorf("--voters %d, --processes %d, --at %d make no fleet", w.Voters, w.Processes, w.At)
	}
	out, err := os.OpenFile(w.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(w.At)
	for i := range w.Schedules {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			dir, err := os.MkdirTemp("", "tinroute-rehearsal-")
			if err != nil {
				return err
			}
			var repeats *rig.RepeatLimit
			if w.Repeats > 0 {
				repeats = &rig.RepeatLimit{Rate: w.Repeats, Burst: float64(2*w.Processes + 10), Share: 0.1, Saved: 1}
			}
			o, history, err := rig.Rehearse(ctx, rig.Plan{Options: rig.Options{Repeats: repeats, Connections: w.Sockets, Dir: dir, Program: []string{program, "serve"}, Voters: w.Voters, Members: w.Processes,
				Room: 2 * w.Processes, Nodes: 4, Lease: w.Lease, Whole: 100, Burst: float64(2*w.Processes + 10), Floor: 1, Work: 10 * time.Millisecond},
				Seed: w.Seed + uint64(i), Length: w.Length, Within: w.Within})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				o.Broken = "rig: " + err.Error()
			}
			fmt.Fprintf(r.Out, "seed %d: %s; %d sent, %d reached nodes, %.2f of the whole used, whole again after %.1f leases\n", o.Seed,
				cmp.Or(o.Broken, "kept"), o.Sent, o.Reached, o.Used, o.Recovered)
			if o.Broken != "" || w.Keep {
				fmt.Fprintf(r.Out, "  kept in %s\n", dir)
				if f, err := os.Create(filepath.Join(dir, "history.jsonl")); err == nil && history != nil {
					_ = history.Write(f)
					_ = f.Close()
				}
			} else {
				_ = os.RemoveAll(dir)
			}
			if err := json.NewEncoder(out).Encode(o); err != nil {
				return err
			}
			if o.Broken != "" {
				return errRule
			}
			return nil
		})
	}
	return group.Wait()
}
