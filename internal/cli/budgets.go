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

type fleetBudgetsCmd struct {
	Show fleetBudgetsShowCmd `cmd:"" default:"withargs" help:"Show the budgets and their holders, as the leader knows them."`
	Set  fleetBudgetsSetCmd  `cmd:"" help:"Change values of one budget; this creates the next version of all budgets."`
}

type fleetBudgetsShowCmd struct {
	fleetFileFlag
	JSON bool `help:"Print JSON." name:"json"`
}

// Run prints the budgets as the leader reports them.
func (cmd *fleetBudgetsShowCmd) Run(r *runContext) error {
	_, overview, err := cmd.loadAndQueryLeader(r)
	if err != nil {
		return err
	}
	if cmd.JSON {
		enc := json.NewEncoder(r.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(overview)
	}
	fmt.Fprintf(r.Out, "version %d, led by %q\n", overview.Version, overview.Leader)
	printBudgets(r.Out, overview)
	return nil
}

type fleetBudgetsSetCmd struct {
	fleetFileFlag
	Budget string             `arg:"" help:"The budget's name."`
	Change map[string]float64 `arg:"" help:"New values: whole=N, burst=N, part.NAME.weight=N, part.NAME.floor=N, part.NAME.ceiling=N."`
}

// Run proposes the change to the leader as the version after its current one. It fails if another
// change was committed under that version in the meantime, so that no change is overwritten.
func (cmd *fleetBudgetsSetCmd) Run(r *runContext) error {
	fleet, overview, err := cmd.loadAndQueryLeader(r)
	if err != nil {
		return err
	}
	set := ledger.SetBudgets{Version: overview.Version + 1}
	found := false
	for _, budget := range overview.Budgets {
		if budget.Name == cmd.Budget {
			found = true
			if budget.Budget, err = withChanges(budget.Budget, cmd.Change); err != nil {
				return err
			}
		}
		set.Budgets = append(set.Budgets, budget.Budget)
	}
	if !found {
		return fmt.Errorf("no budget %q in version %d", cmd.Budget, overview.Version)
	}
	err = propose(fleet.Voters[overview.Leader], ledger.Command{Fleet: overview.Fleet, SetBudgets: &set})
	if err != nil {
		// The change may have been committed although the reply was lost.
		if current, retryErr := queryLeader(fleet); retryErr != nil || current.Version != set.Version || !hasBudgets(current, set) {
			return err
		}
	}
	fmt.Fprintf(r.Out, "version %d in force; the files' next change has number %d\n", set.Version, set.Version+1)
	return nil
}

// hasBudgets reports whether the overview has exactly the budgets of the set.
func hasBudgets(overview ledger.Overview, set ledger.SetBudgets) bool {
	var have []ledger.Budget
	for _, b := range overview.Budgets {
		have = append(have, b.Budget)
	}
	haveJSON, _ := json.Marshal(have)
	wantJSON, _ := json.Marshal(set.Budgets)
	return string(haveJSON) == string(wantJSON)
}

// withChanges returns a copy of the budget with the new values applied.
func withChanges(budget ledger.Budget, change map[string]float64) (ledger.Budget, error) {
	budget.Rules = maps.Clone(budget.Rules)
	for _, key := range slices.Sorted(maps.Keys(change)) {
		value := change[key]
		if value < 0 || value > float64(share.MaxAmount)/1000 || math.IsNaN(value) {
			return budget, fmt.Errorf("%s: %v is not from 0 to %d", key, value, share.MaxAmount/1000)
		}
		milli := int64(math.Round(value * 1000))
		field, isRule := strings.CutPrefix(key, "part.")
		dot := strings.LastIndex(field, ".")
		switch {
		case key == "whole":
			budget.Total = milli
			continue
		case key == "burst":
			budget.Burst = milli
			continue
		case !isRule || dot <= 0:
			return budget, fmt.Errorf("%s: neither whole, burst nor part.NAME.weight, .floor, .ceiling", key)
		}
		name, field := field[:dot], field[dot+1:]
		rule := budget.Rules[name]
		switch field {
		case "weight":
			if value != math.Trunc(value) || value < 1 {
				return budget, fmt.Errorf("%s: %v is not a whole number above 0", key, value)
			}
			rule.Weight = int64(value)
		case "floor":
			rule.Floor = milli
		case "ceiling":
			rule.Ceiling = milli
		default:
			return budget, fmt.Errorf("%s: neither weight, floor nor ceiling", key)
		}
		if budget.Rules == nil {
			budget.Rules = map[string]ledger.AllocationRule{}
		}
		budget.Rules[name] = rule
	}
	return budget, nil
}

// loadAndQueryLeader reads the fleet file and returns it with the leader's overview.
func (f *fleetFileFlag) loadAndQueryLeader(r *runContext) (*config.Fleet, ledger.Overview, error) {
	fleet, err := f.load(r)
	if err != nil {
		return nil, ledger.Overview{}, err
	}
	overview, err := queryLeader(fleet)
	return fleet, overview, err
}

// queryLeader queries the voters in order until the leader answers.
func queryLeader(fleet *config.Fleet) (ledger.Overview, error) {
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(fleet.Voters)) {
		overview, err := queryVoter(fleet.Voters[name].LedgerAddr)
		switch {
		case err != nil:
			errs = append(errs, fmt.Errorf("voter %s: %w", name, err))
		case overview.Leader == name:
			return overview, nil
		}
	}
	return ledger.Overview{}, errors.Join(append(errs, errors.New("the leader has not answered"))...)
}

// propose sends a command to a voter.
func propose(voter config.Voter, cmd ledger.Command) error {
	conn, err := rpc.Dial(voter.LedgerAddr, voterTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 2*voterTimeout)
	defer cancel()
	_, err = conn.Do(ctx, cmd)
	return err
}
