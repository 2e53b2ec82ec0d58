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

// voterTimeout is the timeout for the answer of one voter.
const voterTimeout = time.Second

type fleetCmd struct {
	Status   fleetStatusCmd   `cmd:"" help:"Show the leader and each budget with its holders, as each voter knows them."`
	Budgets  fleetBudgetsCmd  `cmd:"" help:"Show or change the budgets."`
	Rehearse fleetRehearseCmd `cmd:"" help:"Run fleets of this program on the loopback interface, inject faults between the processes, and check what reached the nodes."`
}

type fleetFileFlag struct {
	Fleet string `help:"The fleet file, the same as for serve." placeholder:"FILE" required:""`
}

func (f *fleetFileFlag) load(r *runContext) (*config.Fleet, error) {
	cfg, err := config.Load(r.Getenv)
	if err != nil {
		return nil, err
	}
	return config.LoadFleet(f.Fleet, cfg.Name, cfg.Settings, cfg.Names)
}

type fleetStatusCmd struct {
	fleetFileFlag
	JSON bool `help:"Print JSON." name:"json"`
}

// Run queries every voter in the fleet file and prints the leader's state, or another voter's if the
// leader has not answered.
func (cmd *fleetStatusCmd) Run(r *runContext) error {
	fleet, err := cmd.load(r)
	if err != nil {
		return err
	}
	type voterStatus struct {
		Voter string           `json:"voter"`
		Err   string           `json:"err,omitempty"`
		State *ledger.Overview `json:"state,omitempty"`
	}
	var statuses []voterStatus
	var best *ledger.Overview // the leader's, else any
	for _, name := range slices.Sorted(maps.Keys(fleet.Voters)) {
		status := voterStatus{Voter: name}
		if overview, err := queryVoter(fleet.Voters[name].LedgerAddr); err != nil {
			status.Err = err.Error()
		} else {
			status.State = &overview
			if best == nil || overview.Leader == name {
				best = status.State
			}
		}
		statuses = append(statuses, status)
	}
	if cmd.JSON {
		enc := json.NewEncoder(r.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(statuses); err != nil {
			return err
		}
	} else {
		for _, status := range statuses {
			if status.Err != "" {
				fmt.Fprintf(r.Out, "voter %s: no answer: %s\n", status.Voter, status.Err)
			} else {
				fmt.Fprintf(r.Out, "voter %s: budgets of version %d, led by %q\n", status.Voter, status.State.Version, status.State.Leader)
			}
		}
		if best != nil {
			printBudgets(r.Out, *best)
		}
	}
	if best == nil {
		return errors.New("no voter has answered")
	}
	return nil
}

// queryVoter queries the overview of one voter.
func queryVoter(addr string) (ledger.Overview, error) {
	conn, err := rpc.Dial(addr, voterTimeout)
	if err != nil {
		return ledger.Overview{}, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), voterTimeout)
	defer cancel()
	return conn.Overview(ctx)
}

// printBudgets prints the budgets and their holders as a table.
func printBudgets(out io.Writer, overview ledger.Overview) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "budget\tholder\tincarnation\tgranted\tdemand\t")
	for _, budget := range overview.Budgets {
		fmt.Fprintf(table, "%s\t\t\t%g of %g\t\t\n", budget.Name, float64(budget.Granted)/1000, float64(budget.Total)/1000)
		for _, holder := range budget.Holders {
			status := ""
			if holder.Expired {
				status = "lapsed"
			}
			fmt.Fprintf(table, "\t%s\t%d\t%g\t%g\t%s\n", holder.Name, holder.Incarnation, float64(holder.Granted)/1000, float64(holder.Demand)/1000, status)
		}
	}
	_ = table.Flush()
}

type fleetRehearseCmd struct {
	Processes int           `default:"20" help:"Dispatchers in each fleet."`
	Voters    int           `default:"5" help:"Dispatchers among them that vote."`
	Schedules int           `default:"10" help:"Number of fault schedules to run, each with a seed of its own."`
	Seed      uint64        `default:"1" help:"The first seed."`
	Length    time.Duration `default:"8s" help:"Period in which faults begin."`
	Within    time.Duration `default:"1m" help:"Time limit for a fleet to recover completely."`
	Lease     time.Duration `default:"1s" help:"Lease of the fleet's shares."`
	At        int           `default:"1" help:"Fleets run in parallel."`
	Out       string        `help:"File for the results, one JSON line each." default:"rehearsals.jsonl" placeholder:"FILE"`
	Repeats   float64       `default:"0" help:"Budget of repeats a second, with every other job failing; 0 for none."`
	Sockets   int           `default:"0" help:"Budget of connections at each node; 0 for none."`
	Keep      bool          `help:"Keep the logs and history of every fleet, not only of those that violated a rule."`
}

var errRuleViolated = errors.New("a fleet violated a rule")

// Run runs the schedules and prints the result of each. It fails if a rule was violated, and keeps
// the files of that fleet.
func (cmd *fleetRehearseCmd) Run(r *runContext) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if cmd.Voters < 1 || cmd.Voters > cmd.Processes || cmd.At < 1 {
		return fmt.Errorf("--voters %d must be from 1 to --processes %d, and --at %d at least 1", cmd.Voters, cmd.Processes, cmd.At)
	}
	results, err := os.OpenFile(cmd.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = results.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(cmd.At)
	for i := range cmd.Schedules {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			dir, err := os.MkdirTemp("", "tinroute-rehearsal-")
			if err != nil {
				return err
			}
			var repeats *rig.RepeatLimit
			if cmd.Repeats > 0 {
				repeats = &rig.RepeatLimit{Rate: cmd.Repeats, Burst: float64(2*cmd.Processes + 10), Share: 0.1, MaxSaved: 1}
			}
			outcome, history, err := rig.Rehearse(ctx, rig.Rehearsal{Options: rig.Options{RepeatBudget: repeats, ConnectionBudget: cmd.Sockets, Dir: dir, Program: []string{program, "serve"}, Voters: cmd.Voters, Members: cmd.Processes,
				MaxMembers: 2 * cmd.Processes, Nodes: 4, Lease: cmd.Lease, BudgetRate: 100, Burst: float64(2*cmd.Processes + 10), Floor: 1, JobDuration: 10 * time.Millisecond},
				Seed: cmd.Seed + uint64(i), FaultPeriod: cmd.Length, RecoveryTimeout: cmd.Within})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				outcome.Violations = "rig: " + err.Error()
			}
			fmt.Fprintf(r.Out, "seed %d: %s; %d sent, %d reached nodes, %.2f of the whole used, whole again after %.1f leases\n", outcome.Seed,
				cmp.Or(outcome.Violations, "kept"), outcome.Sent, outcome.Arrived, outcome.Utilization, outcome.RecoveryLeases)
			if outcome.Violations != "" || cmd.Keep {
				fmt.Fprintf(r.Out, "  kept in %s\n", dir)
				if f, err := os.Create(filepath.Join(dir, "history.jsonl")); err == nil && history != nil {
					_ = history.Write(f)
					_ = f.Close()
				}
			} else {
				_ = os.RemoveAll(dir)
			}
			if err := json.NewEncoder(results).Encode(outcome); err != nil {
				return err
			}
			if outcome.Violations != "" {
				return errRuleViolated
			}
			return nil
		})
	}
	return group.Wait()
}
