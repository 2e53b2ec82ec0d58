package config

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/fleet/ledger"
	"tinroute.example/tinroute/internal/fleet/share"
)

// Defaults for keys that the fleet file omits, and bounds of its values.
const (
	defaultMaxMembers        = 64
	defaultLease             = 2 * time.Second
	defaultHeartbeatInterval = time.Second
	defaultClockDrift        = 0.001
	maxClockDrift            = 0.1
	minLease                 = 100 * time.Millisecond
)

// Fleet is the content of the fleet file: the fleet that a dispatcher belongs to.
type Fleet struct {
	Ledger            ledger.Settings
	Timing            ledger.Timing
	Voters            map[string]Voter // by name, with addresses as seen from this host; a voter listens at its own
	VoterDir          string           // directory of this process's Raft log; empty if it does not vote
	Bootstrap         bool             // whether the Raft log directory may be empty because the fleet is new
	HeartbeatInterval time.Duration    // between voters
	BudgetVersion     uint64
	Budgets           []ledger.Budget
	Tenants           map[int]TenantBudget // by tenant index
	Repeats           *RepeatBudget        // nil if repeats and second copies have no budget
	ConnectionBudget  string               // name of the budget of connections at each worker, empty for none
}

// RepeatBudget limits the attempts that may repeat work already done for a job.
type RepeatBudget struct {
	Budget        string // name
	ShareMilli    int64  // repeats that each first attempt allows beside the budget, in thousandths
	MaxSavedMilli int64  // maximum number of such repeats saved up at one dispatcher, in thousandths
}

// defaultMaxSavedRepeats is the default maximum number of repeats that first attempts save up at one dispatcher.
const defaultMaxSavedRepeats = 10

// Voter holds the addresses of a voter.
type Voter struct {
	RaftAddr   string `toml:"raft"`   // for the other voters
	LedgerAddr string `toml:"ledger"` // for members
}

// TenantBudget is the budget that admits a tenant's jobs.
type TenantBudget struct {
	Budget     string // name
	CountsWork bool   // whether it counts seconds of work rather than jobs
}

// LoadFleet reads and validates the fleet file. If the file sets voter.dir, the process votes and
// name has to be one of the voters.
func LoadFleet(path, name string, s *balance.Settings, names *Names) (*Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f, err := ParseFleet(string(data), name, s, names)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// ParseFleet reads and validates the text of the fleet file.
//
//revive:disable-next-line:function-length handles the keys of one file in sequence
func ParseFleet(text, name string, settings *balance.Settings, names *Names) (*Fleet, error) {
	type memberRule struct {
		Weight  int64   `toml:"weight"`
		Floor   float64 `toml:"floor"`
		Ceiling float64 `toml:"ceiling"`
	}
	var file struct {
		Fleet       string   `toml:"fleet"`
		Generation  *int64   `toml:"generation"`
		Members     *int64   `toml:"members"`
		Lease       string   `toml:"lease"`
		GracePeriod string   `toml:"linger"`
		Drift       *float64 `toml:"drift"`
		Voter       struct {
			Dir               string `toml:"dir"`
			Bootstrap         bool   `toml:"begin"`
			HeartbeatInterval string `toml:"pace"`
		} `toml:"voter"`
		Voters  map[string]Voter `toml:"voters"`
		Version *int64           `toml:"version"`
		Budget  map[string]struct {
			Tenant   string                `toml:"tenant"`
			Counts   string                `toml:"counts"`
			Total    float64               `toml:"whole"`
			Burst    float64               `toml:"burst"`
			Lend     bool                  `toml:"lend"`
			Share    float64               `toml:"share"`
			MaxSaved *float64              `toml:"saved"`
			Rules    map[string]memberRule `toml:"part"`
		} `toml:"budget"`
	}
	meta, err := toml.Decode(text, &file)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	longestDeadline := time.Duration(0)
	for _, class := range settings.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	check := validator{}
	fleet := &Fleet{Ledger: ledger.Settings{Fleet: file.Fleet, Generation: uint64(check.count("generation", file.Generation, 1, math.MaxInt64)),
		MaxMembers: int(check.count("members", file.Members, defaultMaxMembers, 4096))},
		Timing: ledger.Timing{Lease: check.duration("lease", file.Lease, defaultLease), GracePeriod: check.duration("linger", file.GracePeriod, longestDeadline), MaxDrift: defaultClockDrift},
		Voters: file.Voters, HeartbeatInterval: check.duration("voter.pace", file.Voter.HeartbeatInterval, defaultHeartbeatInterval),
		BudgetVersion: uint64(check.count("version", file.Version, 1, math.MaxInt64)), Tenants: map[int]TenantBudget{}}
	if file.Drift != nil {
		fleet.Timing.MaxDrift = *file.Drift
	}
	switch {
	case file.Fleet == "":
		check.fail("fleet: missing")
	case name == "":
		check.fail("fleet: this dispatcher has no name")
	case len(file.Voters) == 0:
		check.fail("voters: no voter is listed")
	case fleet.Timing.MaxDrift < 0 || fleet.Timing.MaxDrift > maxClockDrift:
		check.fail("drift: %v is not from 0 to %v", fleet.Timing.MaxDrift, maxClockDrift)
	case fleet.Timing.Lease < minLease:
		check.fail("lease: %v is under %v", fleet.Timing.Lease, minLease)
	case fleet.Timing.GracePeriod < longestDeadline:
		check.fail("linger: %v is under the longest deadline, %v", fleet.Timing.GracePeriod, longestDeadline)
	case file.Voter.Dir != "" && file.Voters[name] == Voter{}:
		check.fail("voter.dir: %s is not among the voters", name)
	case file.Voter.Dir == "" && file.Voter.Bootstrap:
		check.fail("voter.begin: without voter.dir")
	}
	for _, name := range slices.Sorted(maps.Keys(file.Voters)) {
		if v := file.Voters[name]; v.RaftAddr == "" || v.LedgerAddr == "" {
			check.fail("voters.%s: raft and ledger are both needed", name)
		}
	}
	fleet.VoterDir, fleet.Bootstrap = file.Voter.Dir, file.Voter.Bootstrap
	toMilli := func(key string, x float64) int64 {
		if x < 0 || x > float64(share.MaxAmount)/1000 || math.IsNaN(x) {
			check.fail("%s: %v is not from 0 to %d", key, x, share.MaxAmount/1000)
			return 0
		}
		return int64(math.Round(x * 1000))
	}
	for _, name := range slices.Sorted(maps.Keys(file.Budget)) {
		entry, key := file.Budget[name], "budget."+name
		budget := ledger.Budget{Name: name, Kind: ledger.KindRate, Total: toMilli(key+".whole", entry.Total), Burst: toMilli(key+".burst", entry.Burst),
			LendFloors: entry.Lend, Rules: map[string]ledger.AllocationRule{}}
		if minBurst := int64(fleet.Ledger.MaxMembers) * 1000; budget.Burst < minBurst && entry.Counts != "connections" {
			check.fail("%s.burst: %v is under the number of members, %d", key, entry.Burst, fleet.Ledger.MaxMembers)
		}
		for member, rule := range entry.Rules {
			ruleKey := key + ".part." + member
			if rule.Weight < 0 || rule.Weight > 1000 {
				check.fail("%s.weight: %d is not from 0 to 1000", ruleKey, rule.Weight)
			}
			budget.Rules[member] = ledger.AllocationRule{Weight: rule.Weight, Floor: toMilli(ruleKey+".floor", rule.Floor), Ceiling: toMilli(ruleKey+".ceiling", rule.Ceiling)}
		}
		if entry.Counts == "connections" {
			budget.Kind, budget.Burst = ledger.KindConcurrency, 0
			switch {
			case entry.Tenant != "" || entry.Burst != 0:
				check.fail("%s: a budget of connections cannot have a tenant or a burst", key)
			case fleet.ConnectionBudget != "":
				check.fail("%s.counts: budget %s already counts connections", key, fleet.ConnectionBudget)
			case budget.Total%1000 != 0:
				check.fail("%s.whole: %v is not a whole number", key, entry.Total)
			case fleet.Timing.GracePeriod < settings.ConnIdleTimeout: // idle connections of a stopped process stay open until the worker closes them
				check.fail("linger: %v is under the time after which workers close idle connections, %v", fleet.Timing.GracePeriod, settings.ConnIdleTimeout)
			}
			fleet.ConnectionBudget = name
		}
		fleet.Budgets = append(fleet.Budgets, budget)
		if entry.Counts == "connections" {
			continue
		}
		if entry.Counts == "repeats" {
			repeats := &RepeatBudget{Budget: name, ShareMilli: toMilli(key+".share", entry.Share), MaxSavedMilli: defaultMaxSavedRepeats * 1000}
			if entry.MaxSaved != nil {
				repeats.MaxSavedMilli = toMilli(key+".saved", *entry.MaxSaved)
			}
			switch {
			case entry.Tenant != "":
				check.fail("%s.tenant: a budget of repeats cannot belong to a tenant", key)
			case fleet.Repeats != nil:
				check.fail("%s.counts: budget %s already counts repeats", key, fleet.Repeats.Budget)
			case repeats.ShareMilli > 1000:
				check.fail("%s.share: %v is not from 0 to 1", key, entry.Share)
			}
			fleet.Repeats = repeats
			continue
		}
		if entry.Share != 0 || entry.MaxSaved != nil {
			check.fail("%s: share and saved are only allowed in a budget that counts repeats", key)
		}
		tenant, ok := names.Tenant[entry.Tenant]
		if !ok {
			check.fail("%s.tenant: no tenant %q", key, entry.Tenant)
			continue
		}
		if existing, exists := fleet.Tenants[tenant]; exists {
			check.fail("%s.tenant: %s already has the budget %s", key, entry.Tenant, existing.Budget)
		}
		if entry.Counts != "" && entry.Counts != "jobs" && entry.Counts != "work" {
			check.fail("%s.counts: %q is none of jobs, work, repeats, connections", key, entry.Counts)
		}
		fleet.Tenants[tenant] = TenantBudget{name, entry.Counts == "work"}
	}
	return fleet, check.err
}
