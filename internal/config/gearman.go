package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/internal/jobindex"
	"tinroute.example/tinroute/internal/recovery"
)

// Defaults for what the second front's file leaves out.
const (
	defaultPerClient  = 64
	defaultJobs       = 20_000
	defaultBytes      = 64 << 20
	defaultStoredJobs = 2_000_000
	defaultStored     = 2 << 30
	defaultOffers     = 8
	defaultSends      = 64
	defaultBackoff    = time.Second
	defaultBackoffTop = 5 * time.Minute
	defaultExpiry     = 24 * time.Hour
	defaultWindow     = 64
	defaultUnsent     = 2
	defaultRate       = 500
	defaultWait       = 50 * time.Millisecond
)

// Store is where background jobs are kept.
type Store struct {
	Path         string
	MaxJobs      int
	MaxBytes     int64
	MaxFileBytes int64 // 0 for no bound
}

// Gearman is the second front's file.
type Gearman struct {
	Listen         string
	Discovery      string
	Hooks          []string                    // script files, in the order they are asked
	Functions      map[string]FunctionDefaults // one for each class, named as the class
	MaxConnections int                         // clients' at once; 0 for the front's share of the platform's limit
	AllowShutdown  bool                        // the text protocol may end the process
	Limits         jobindex.Limits
	Store          *Store // nil where background jobs are off
	Retry          recovery.Limits
	Pace           recovery.PacerLimits
}

// FunctionDefaults holds what a Gearman job, which says nothing of these, is taken to ask for.
type FunctionDefaults struct {
	Class    int
	Deadline time.Duration // the class's where the file gives none
	Tenant   int           // -1 for none
	Cost     time.Duration // expected work, 0 for not known
}

// LoadGearman reads and checks the second front's file against the settings.
func LoadGearman(path string, s *balance.Settings, names *Names) (*Gearman, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("gearman: %w", err)
	}
	g, err := ParseGearman(string(data), s, names)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return g, nil
}

// ParseGearman reads the second front's file from its text.
//
//revive:disable-next-line:function-length one list of a file's keys, read from top to bottom
func ParseGearman(text string, s *balance.Settings, names *Names) (*Gearman, error) {
	var file struct {
		Listen    string   `toml:"listen"`
		Discovery string   `toml:"discovery"`
		Hooks     []string `toml:"hooks"`
		Function  map[string]struct {
			Deadline string `toml:"deadline"`
			Tenant   string `toml:"tenant"`
			Cost     string `toml:"cost"`
			MaxQueue int    `toml:"maxqueue"`
		} `toml:"function"`
		Shutdown bool `toml:"shutdown"`
		Limits   struct {
			PerClient *int64 `toml:"jobs_per_connection"`
			Jobs      *int64 `toml:"jobs"`
			Conns     *int64 `toml:"connections"`
			Bytes     *int64 `toml:"bytes"`
		} `toml:"limits"`
		Store struct {
			Path     string `toml:"path"`
			MaxJobs  *int64 `toml:"max_jobs"`
			MaxBytes *int64 `toml:"max_bytes"`
			MaxFile  *int64 `toml:"max_file_bytes"`
		} `toml:"store"`
		Retry struct {
			Offers  *int64 `toml:"offers"`
			Sends   *int64 `toml:"sends"`
			Backoff string `toml:"backoff"`
			Most    string `toml:"backoff_most"`
			Expiry  string `toml:"expiry"`
		} `toml:"retry"`
		Pace struct {
			Window *int64 `toml:"window"`
			Unsent *int64 `toml:"unsent"`
			Rate   *int64 `toml:"rate"`
			Wait   string `toml:"foreground_wait"`
		} `toml:"pace"`
	}
	meta, err := toml.Decode(text, &file)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	switch {
	case file.Listen == "":
		return nil, fmt.Errorf("listen: missing")
	case file.Discovery == "":
		return nil, fmt.Errorf("discovery: missing")
	}
	g := &Gearman{Listen: file.Listen, Discovery: file.Discovery, Hooks: file.Hooks, Functions: map[string]FunctionDefaults{},
		AllowShutdown: file.Shutdown, Limits: jobindex.Limits{PerFunction: map[string]int{}}}
	c := checker{}
	g.Limits.PerClient = int(c.count("limits.jobs_per_connection", file.Limits.PerClient, defaultPerClient, 4096))
	if file.Limits.Conns != nil {
		g.MaxConnections = int(c.count("limits.connections", file.Limits.Conns, 0, 1_000_000))
	}
	g.Limits.Jobs = int(c.count("limits.jobs", file.Limits.Jobs, defaultJobs, 1<<30))
	g.Limits.Bytes = int(c.count("limits.bytes", file.Limits.Bytes, defaultBytes, 1<<40))
	g.Retry = recovery.Limits{MaxOffers: int(c.count("retry.offers", file.Retry.Offers, defaultOffers, 1000)),
		MaxSends:    int(c.count("retry.sends", file.Retry.Sends, defaultSends, 10_000)),
		BaseBackoff: c.time("retry.backoff", file.Retry.Backoff, defaultBackoff), MaxBackoff: c.time("retry.backoff_most", file.Retry.Most, defaultBackoffTop),
		Expiry: c.time("retry.expiry", file.Retry.Expiry, defaultExpiry)}
	if g.Retry.MaxBackoff < g.Retry.BaseBackoff {
		c.fail("retry.backoff_most: %v is under retry.backoff", g.Retry.MaxBackoff)
	}
	g.Pace = recovery.PacerLimits{MaxWindow: int(c.count("pace.window", file.Pace.Window, defaultWindow, 4096)),
		MaxUnsent:         int(c.count("pace.unsent", file.Pace.Unsent, defaultUnsent, 4096)),
		Rate:              float64(c.count("pace.rate", file.Pace.Rate, defaultRate, 1_000_000)),
		MaxForegroundWait: c.time("pace.foreground_wait", file.Pace.Wait, defaultWait)}
	st := &Store{Path: file.Store.Path, MaxJobs: int(c.count("store.max_jobs", file.Store.MaxJobs, defaultStoredJobs, 1<<40)),
		MaxBytes: c.count("store.max_bytes", file.Store.MaxBytes, defaultStored, 1<<50)}
	if file.Store.MaxFile != nil {
		st.MaxFileBytes = c.count("store.max_file_bytes", file.Store.MaxFile, 0, 1<<50)
	}
	switch {
	case st.Path != "":
		g.Store = st
	case meta.IsDefined("store"):
		c.fail("store.path: missing")
	}
	if c.err != nil {
		return nil, c.err
	}
	for i, c := range s.Classes {
		g.Functions[c.Name] = FunctionDefaults{Class: i, Deadline: c.Deadline, Tenant: -1}
	}
	for name, f := range file.Function {
		to, ok := g.Functions[name]
		if !ok {
			return nil, fmt.Errorf("function.%s: no such class", name)
		}
		for _, d := range []struct {
			key, text string
			to        *time.Duration
		}{{"deadline", f.Deadline, &to.Deadline}, {"cost", f.Cost, &to.Cost}} {
			if d.text == "" {
				continue
			}
			if *d.to, err = time.ParseDuration(d.text); err != nil || *d.to <= 0 {
				return nil, fmt.Errorf("function.%s.%s: %q is not a time above 0", name, d.key, d.text)
			}
		}
		if f.Tenant != "" {
			if to.Tenant, ok = names.Tenant[f.Tenant]; !ok {
				return nil, fmt.Errorf("function.%s.tenant: no tenant %q", name, strings.TrimSpace(f.Tenant))
			}
		}
		if f.MaxQueue < 0 {
			return nil, fmt.Errorf("function.%s.maxqueue: %d is under 0", name, f.MaxQueue)
		}
		g.Limits.PerFunction[name] = f.MaxQueue
		g.Functions[name] = to
	}
	return g, nil
}

// checker reads values that may be left out, and keeps the first fault.
type checker struct{ err error }

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

func (c *checker) count(key string, v *int64, fallback, most int64) int64 {
	if v == nil {
		return fallback
	}
	if *v < 1 || *v > most {
		c.fail("%s: %d is not from 1 to %d", key, *v, most)
	}
	return *v
}

func (c *checker) time(key, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		c.fail("%s: %q is not a time above 0", key, text)
	}
	return d
}
