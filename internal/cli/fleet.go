package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/rpc"
)

// lookWithin bounds how long one voter is waited for.
const lookWithin = time.Second

type fleetWord struct {
	Status fleetStatus `cmd:"" help:"Tell who leads, and each budget with its holders, as each voter knows it."`
}

type fleetStatus struct {
	Fleet string `help:"The fleet's file, as serve takes it." placeholder:"FILE" required:""`
	JSON  bool   `help:"Tell it as JSON." name:"json"`
}

// Run asks every voter that the file names, and tells the newest state met.
func (w *fleetStatus) Run(r *run) error {
	c, err := config.Load(r.Getenv)
	if err != nil {
		return err
	}
	f, err := config.LoadFleet(w.Fleet, c.Name, c.Settings, c.Names)
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
		if o, err := look(f.Voters[name].Ledger); err != nil {
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
