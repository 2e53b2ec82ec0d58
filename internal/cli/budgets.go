package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/rpc"
	"tinroute.example/tinroute/internal/fleet/share"
)

type fleetBudgets struct {
	Show fleetBudgetsShow `cmd:"" default:"withargs" help:"Tell the budgets and their holders, as the leader knows them."`
	Set  fleetBudgetsSet  `cmd:"" help:"Change figures of one budget, as the next version of all."`
}

type fleetBudgetsShow struct {
	fleetFile
	JSON bool `help:"Tell it as JSON." name:"json"`
}

// Run asks the leader.
func (w *fleetBudgetsShow) Run(r *run) error {
	_, o, err := w.leader(r)
	if err != nil {
		return err
	}
	if w.JSON {
		enc := json.NewEncoder(r.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(o)
	}
	fmt.Fprintf(r.Out, "version %d, led by %q\n", o.Version, o.Leader)
	tell(r.Out, o)
	return nil
}

type fleetBudgetsSet struct {
	fleetFile
	Budget string             `arg:"" help:"The budget's name."`
	Change map[string]float64 `arg:"" help:"whole=N, burst=N, and part.NAME.weight=N, part.NAME.floor=N, part.NAME.ceiling=N."`
}

// Run puts the change to the leader as the version after the one it holds. Another change between the two
// makes it fail: then neither is lost.
func (w *fleetBudgetsSet) Run(r *run) error {
	f, o, err := w.leader(r)
	if err != nil {
		return err
	}
	set := ledger.Set{Version: o.Version + 1}
	found := false
	for _, b := range o.Budgets {
		if b.Name == w.Budget {
			found = true
			if b.Budget, err = changed(b.Budget, w.Change); err != nil {
				return err
			}
		}
		set.Budgets = append(set.Budgets, b.Budget)
	}
	if !found {
		return fmt.Errorf("no budget %q in version %d", w.Budget, o.Version)
	}
	err = put(f.Voters[o.Leader], ledger.Command{Fleet: o.Fleet, Set: &set})
	if err != nil {
		// A word that was lost may have been written all the same.
		if now, again := lookAtLeader(f); again != nil || now.Version != set.Version || !sameBudgets(now, set) {
			return err
		}
	}
	fmt.Fprintf(r.Out, "version %d in force; the files' next change has number %d\n", set.Version, set.Version+1)
	return nil
}

func sameBudgets(o ledger.Overview, set ledger.Set) bool {
	var have []ledger.Budget
	for _, b := range o.Budgets {
		have = append(have, b.Budget)
	}
	a, _ := json.Marshal(have)
	b, _ := json.Marshal(set.Budgets)
	return string(a) == string(b)
}

// changed is a budget with new figures.
func changed(b ledger.Budget, change map[string]float64) (ledger.Budget, error) {
	b.Parts = maps.Clone(b.Parts)
	for _, key := range slices.Sorted(maps.Keys(change)) {
		x := change[key]
		if x < 0 || x > float64(share.Most)/1000 || math.IsNaN(x) {
			return b, fmt.Errorf("%s: %v is not from 0 to %d", key, x, share.Most/1000)
		}
		n := int64(math.Round(x * 1000))
		field, isPart := strings.CutPrefix(key, "part.")
		at := strings.LastIndex(field, ".")
		switch {
		case key == "whole":
			b.Whole = n
			continue
		case key == "burst":
			b.Burst = n
			continue
		case !isPart || at <= 0:
			return b, fmt.Errorf("%s: neither whole, burst nor part.NAME.weight, .floor, .ceiling", key)
		}
		name, field := field[:at], field[at+1:]
		p := b.Parts[name]
		switch field {
		case "weight":
			if x != math.Trunc(x) || x < 1 {
				return b, fmt.Errorf("%s: %v is no whole number above 0", key, x)
			}
			p.Weight = int64(x)
		case "floor":
			p.Floor = n
		case "ceiling":
			p.Ceiling = n
		default:
			return b, fmt.Errorf("%s: neither weight, floor nor ceiling", key)
		}
		if b.Parts == nil {
			b.Parts = map[string]ledger.Part{}
		}
		b.Parts[name] = p
	}
	return b, nil
}

// leader reads the fleet's file and asks who leads.
func (w *fleetFile) leader(r *run) (*config.Fleet, ledger.Overview, error) {
	f, err := w.load(r)
	if err != nil {
		return nil, ledger.Overview{}, err
	}
	o, err := lookAtLeader(f)
	return f, o, err
}

// lookAtLeader asks the voters until one that leads has answered.
func lookAtLeader(f *config.Fleet) (ledger.Overview, error) {
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(f.Voters)) {
		o, err := look(f.Voters[name].LedgerAddr)
		switch {
		case err != nil:
			errs = append(errs, fmt.Errorf("voter %s: %w", name, err))
		case o.Leader == name:
			return o, nil
		}
	}
	return ledger.Overview{}, errors.Join(append(errs, errors.New("no voter that leads has answered"))...)
}

func put(v config.Voter, cmd ledger.Command) error {
	c, err := rpc.Dial(v.LedgerAddr, lookWithin)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 2*lookWithin)
	defer cancel()
	_, err = c.Do(ctx, cmd)
	return err
}
