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

// Defaults for what the fleet's file leaves out.
const (
	defaultMembers = 64
	defaultLease   = 2 * time.Second
	defaultPace    = time.Second
	defaultDrift   = 0.001
	mostDrift      = 0.1
	leastLease     = 100 * time.Millisecond
)

// Fleet is the file of the fleet that a dispatcher belongs to.
type Fleet struct {
	Ledger            ledger.Settings
	Terms             ledger.Terms
	Voters            map[string]Voter // by name, as reached from here; a voter's own addresses are what it listens at
	VoterDir          string           // this process's log of the ledger, where it votes
	Bootstrap         bool             // an empty folder is right: the fleet begins
	HeartbeatInterval time.Duration    // of the voters' heartbeats
	BudgetVersion     uint64           // of the budgets
	Budgets           []ledger.Budget
	Tenants           map[int]TenantBudget // by tenant
	Repeats           *RepeatBudget        // nil where repeats and second copies have no budget
	ConnectionBudget  string               // the budget of connections at each worker, empty for none
}

// RepeatBudget bounds attempts that may do a job's work once more.
type RepeatBudget struct {
	Budget        string
	ShareMilli    int64 // thousandths of a repeat that each first try allows beside the budget
	MaxSavedMilli int64 // the most of these saved up at one dispatcher, in thousandths
}

// defaultSaved is how many repeats a dispatcher may have saved up by its first tries.
const defaultSaved = 10

// Voter is where a voter is reached.
type Voter struct {
	RaftAddr   string `toml:"raft"`   // by the other voters
	LedgerAddr string `toml:"ledger"` // by members
}

// TenantBudget is the budget that a tenant's jobs are admitted by.
type TenantBudget struct {
	Budget     string
	CountsWork bool // it counts seconds of work, else jobs
}

// LoadFleet reads and checks the fleet's file. Where name is among its voters and it names a folder, the
// process votes.
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

// ParseFleet reads the fleet's file from its text.
//
//revive:disable-next-line:function-length one list of a file's keys, read from top to bottom
func ParseFleet(text, name string, s *balance.Settings, names *Names) (*Fleet, error) {
	type part struct {
		Weight  int64   `toml:"weight"`
		Floor   float64 `toml:"floor"`
		Ceiling float64 `toml:"ceiling"`
	}
	var file struct {
		Fleet      string   `toml:"fleet"`
		Generation *int64   `toml:"generation"`
		Members    *int64   `toml:"members"`
		Lease      string   `toml:"lease"`
		Linger     string   `toml:"linger"`
		Drift      *float64 `toml:"drift"`
		Voter      struct {
			Dir   string `toml:"dir"`
			Begin bool   `toml:"begin"`
			Pace  string `toml:"pace"`
		} `toml:"voter"`
		Voters  map[string]Voter `toml:"voters"`
		Version *int64           `toml:"version"`
		Budget  map[string]struct {
			Tenant string          `toml:"tenant"`
			Counts string          `toml:"counts"`
			Whole  float64         `toml:"whole"`
			Burst  float64         `toml:"burst"`
			Lend   bool            `toml:"lend"`
			Share  float64         `toml:"share"`
			Saved  *float64        `toml:"saved"`
			Part   map[string]part `toml:"part"`
		} `toml:"budget"`
	}
	meta, err := toml.Decode(text, &file)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	c := checker{}
	f := &Fleet{Ledger: ledger.Settings{Fleet: file.Fleet, Generation: uint64(c.count("generation", file.Generation, 1, math.MaxInt64)),
		MostMembers: int(c.count("members", file.Members, defaultMembers, 4096))},
		Terms:  ledger.Terms{Lease: c.time("lease", file.Lease, defaultLease), Linger: c.time("linger", file.Linger, longest), Drift: defaultDrift},
		Voters: file.Voters, HeartbeatInterval: c.time("voter.pace", file.Voter.Pace, defaultPace),
		BudgetVersion: uint64(c.count("version", file.Version, 1, math.MaxInt64)), Tenants: map[int]TenantBudget{}}
	if file.Drift != nil {
		f.Terms.Drift = *file.Drift
	}
	switch {
	case file.Fleet == "":
		c.fail("fleet: missing")
	case name == "":
		c.fail("fleet: this dispatcher has no name")
	case len(file.Voters) == 0:
		c.fail("voters: none")
	case f.Terms.Drift < 0 || f.Terms.Drift > mostDrift:
		c.fail("drift: %v is not from 0 to %v", f.Terms.Drift, mostDrift)
	case f.Terms.Lease < leastLease:
		c.fail("lease: %v is under %v", f.Terms.Lease, leastLease)
	case f.Terms.Linger < longest:
		c.fail("linger: %v is under the longest deadline, %v", f.Terms.Linger, longest)
	case file.Voter.Dir != "" && file.Voters[name] == Voter{}:
		c.fail("voter.dir: %s is not among the voters", name)
	case file.Voter.Dir == "" && file.Voter.Begin:
		c.fail("voter.begin: without voter.dir")
	}
	for _, name := range slices.Sorted(maps.Keys(file.Voters)) {
		if v := file.Voters[name]; v.RaftAddr == "" || v.LedgerAddr == "" {
			c.fail("voters.%s: raft and ledger are both needed", name)
		}
	}
	f.VoterDir, f.Bootstrap = file.Voter.Dir, file.Voter.Begin
	milli := func(key string, x float64) int64 {
		if x < 0 || x > float64(share.Most)/1000 || math.IsNaN(x) {
			c.fail("%s: %v is not from 0 to %d", key, x, share.Most/1000)
			return 0
		}
		return int64(math.Round(x * 1000))
	}
	for _, name := range slices.Sorted(maps.Keys(file.Budget)) {
		in, key := file.Budget[name], "budget."+name
		b := ledger.Budget{Name: name, Kind: ledger.Rate, Whole: milli(key+".whole", in.Whole), Burst: milli(key+".burst", in.Burst),
			Lend: in.Lend, Parts: map[string]ledger.Part{}}
		if least := int64(f.Ledger.MostMembers) * 1000; b.Burst < least && in.Counts != "connections" {
			c.fail("%s.burst: %v is under the number of members, %d", key, in.Burst, f.Ledger.MostMembers)
		}
		for who, p := range in.Part {
			k := key + ".part." + who
			if p.Weight < 0 || p.Weight > 1000 {
				c.fail("%s.weight: %d is not from 0 to 1000", k, p.Weight)
			}
			b.Parts[who] = ledger.Part{Weight: p.Weight, Floor: milli(k+".floor", p.Floor), Ceiling: milli(k+".ceiling", p.Ceiling)}
		}
		if in.Counts == "connections" {
			b.Kind, b.Burst = ledger.Held, 0
			switch {
			case in.Tenant != "" || in.Burst != 0:
				c.fail("%s: a budget of connections has neither tenant nor burst", key)
			case f.ConnectionBudget != "":
				c.fail("%s.counts: %s counts connections already", key, f.ConnectionBudget)
			case b.Whole%1000 != 0:
				c.fail("%s.whole: %v is no whole number", key, in.Whole)
			case f.Terms.Linger < s.ConnIdleTimeout: // a stopped process's idle ones stay until the worker closes them
				c.fail("linger: %v is under the time after which workers close idle connections, %v", f.Terms.Linger, s.ConnIdleTimeout)
			}
			f.ConnectionBudget = name
		}
		f.Budgets = append(f.Budgets, b)
		if in.Counts == "connections" {
			continue
		}
		if in.Counts == "repeats" {
			r := &RepeatBudget{Budget: name, ShareMilli: milli(key+".share", in.Share), MaxSavedMilli: defaultSaved * 1000}
			if in.Saved != nil {
				r.MaxSavedMilli = milli(key+".saved", *in.Saved)
			}
			switch {
			case in.Tenant != "":
				c.fail("%s.tenant: a budget of repeats is no tenant's", key)
			case f.Repeats != nil:
				c.fail("%s.counts: %s counts repeats already", key, f.Repeats.Budget)
			case r.ShareMilli > 1000:
				c.fail("%s.share: %v is not from 0 to 1", key, in.Share)
			}
			f.Repeats = r
			continue
		}
		if in.Share != 0 || in.Saved != nil {
			c.fail("%s: share and saved are of budgets that count repeats", key)
		}
		tenant, ok := names.Tenant[in.Tenant]
		if !ok {
			c.fail("%s.tenant: no tenant %q", key, in.Tenant)
			continue
		}
		if had, twice := f.Tenants[tenant]; twice {
			c.fail("%s.tenant: %s has the budget %s", key, in.Tenant, had.Budget)
		}
		if in.Counts != "" && in.Counts != "jobs" && in.Counts != "work" {
			c.fail("%s.counts: %q is none of jobs, work, repeats, connections", key, in.Counts)
		}
		f.Tenants[tenant] = TenantBudget{name, in.Counts == "work"}
	}
	return f, c.err
}
