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

// Defaults for keys that the Gearman file omits.
const (
	defaultMaxJobsPerConnection = 64
	defaultMaxJobs              = 20_000
	defaultMaxJobBytes          = 64 << 20
	defaultMaxStoredJobs        = 2_000_000
	defaultMaxStoredBytes       = 2 << 30
	defaultMaxOffers            = 8
	defaultMaxSends             = 64
	defaultBackoff              = time.Second
	defaultMaxBackoff           = 5 * time.Minute
	defaultExpiry               = 24 * time.Hour
	defaultPaceWindow           = 64
	defaultMaxUnsent            = 2
	defaultPaceRate             = 500
	defaultForegroundWait       = 50 * time.Millisecond
)

// Store configures the store of background jobs.
type Store struct {
	Path         string
	MaxJobs      int
	MaxBytes     int64
	MaxFileBytes int64 // size limit of the store's file, 0 for none
}

// Gearman is the content of the Gearman file.
type Gearman struct {
	Listen         string
	Discovery      string
	Hooks          []string                    // script files, in the order in which they are called
	Functions      map[string]FunctionDefaults // by class name; every class is a function
	MaxConnections int                         // maximum number of client connections; 0 for this server's share of the descriptors
	AllowShutdown  bool                        // whether the text protocol's shutdown command ends the process
	Limits         jobindex.Limits
	Store          *Store // nil if background jobs are disabled
	Retry          recovery.Limits
	Pace           recovery.PacerLimits
}

// FunctionDefaults holds what the dispatcher assumes about the jobs of a Gearman function, since the
// protocol has no fields for it.
type FunctionDefaults struct {
	Class    int           // index in the settings
	Deadline time.Duration // the class's unless the file sets one
	Tenant   int           // index in the settings, -1 for none
	Cost     time.Duration // expected work, 0 if unknown
}

// LoadGearman reads the Gearman file and validates it against the settings.
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

// ParseGearman reads and validates the text of the Gearman file.
//
//revive:disable-next-line:function-length handles the keys of one file in sequence
func ParseGearman(text string, settings *balance.Settings, names *Names) (*Gearman, error) {
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
			Offers     *int64 `toml:"offers"`
			Sends      *int64 `toml:"sends"`
			Backoff    string `toml:"backoff"`
			MaxBackoff string `toml:"backoff_most"`
			Expiry     string `toml:"expiry"`
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
	result := &Gearman{Listen: file.Listen, Discovery: file.Discovery, Hooks: file.Hooks, Functions: map[string]FunctionDefaults{},
		AllowShutdown: file.Shutdown, Limits: jobindex.Limits{PerFunction: map[string]int{}}}
	check := validator{}
	result.Limits.PerClient = int(check.count("limits.jobs_per_connection", file.Limits.PerClient, defaultMaxJobsPerConnection, 4096))
	if file.Limits.Conns != nil {
		result.MaxConnections = int(check.count("limits.connections", file.Limits.Conns, 0, 1_000_000))
	}
	result.Limits.Jobs = int(check.count("limits.jobs", file.Limits.Jobs, defaultMaxJobs, 1<<30))
	result.Limits.Bytes = int(check.count("limits.bytes", file.Limits.Bytes, defaultMaxJobBytes, 1<<40))
	result.Retry = recovery.Limits{MaxOffers: int(check.count("retry.offers", file.Retry.Offers, defaultMaxOffers, 1000)),
		MaxSends:    int(check.count("retry.sends", file.Retry.Sends, defaultMaxSends, 10_000)),
		BaseBackoff: check.duration("retry.backoff", file.Retry.Backoff, defaultBackoff), MaxBackoff: check.duration("retry.backoff_most", file.Retry.MaxBackoff, defaultMaxBackoff),
		Expiry: check.duration("retry.expiry", file.Retry.Expiry, defaultExpiry)}
	if result.Retry.MaxBackoff < result.Retry.BaseBackoff {
		check.fail("retry.backoff_most: %v is under retry.backoff", result.Retry.MaxBackoff)
	}
	result.Pace = recovery.PacerLimits{MaxWindow: int(check.count("pace.window", file.Pace.Window, defaultPaceWindow, 4096)),
		MaxUnsent:         int(check.count("pace.unsent", file.Pace.Unsent, defaultMaxUnsent, 4096)),
		Rate:              float64(check.count("pace.rate", file.Pace.Rate, defaultPaceRate, 1_000_000)),
		MaxForegroundWait: check.duration("pace.foreground_wait", file.Pace.Wait, defaultForegroundWait)}
	store := &Store{Path: file.Store.Path, MaxJobs: int(check.count("store.max_jobs", file.Store.MaxJobs, defaultMaxStoredJobs, 1<<40)),
		MaxBytes: check.count("store.max_bytes", file.Store.MaxBytes, defaultMaxStoredBytes, 1<<50)}
	if file.Store.MaxFile != nil {
		store.MaxFileBytes = check.count("store.max_file_bytes", file.Store.MaxFile, 0, 1<<50)
	}
	switch {
	case store.Path != "":
		result.Store = store
	case meta.IsDefined("store"):
		check.fail("store.path: missing")
	}
	if check.err != nil {
		return nil, check.err
	}
	for i, class := range settings.Classes {
		result.Functions[class.Name] = FunctionDefaults{Class: i, Deadline: class.Deadline, Tenant: -1}
	}
	for name, function := range file.Function {
		defaults, ok := result.Functions[name]
		if !ok {
			return nil, fmt.Errorf("function.%s: no such class", name)
		}
		for _, field := range []struct {
			key, text string
			to        *time.Duration
		}{{"deadline", function.Deadline, &defaults.Deadline}, {"cost", function.Cost, &defaults.Cost}} {
			if field.text == "" {
				continue
			}
			if *field.to, err = time.ParseDuration(field.text); err != nil || *field.to <= 0 {
				return nil, fmt.Errorf("function.%s.%s: %q is not a duration above 0", name, field.key, field.text)
			}
		}
		if function.Tenant != "" {
			if defaults.Tenant, ok = names.Tenant[function.Tenant]; !ok {
				return nil, fmt.Errorf("function.%s.tenant: no tenant %q", name, strings.TrimSpace(function.Tenant))
			}
		}
		if function.MaxQueue < 0 {
			return nil, fmt.Errorf("function.%s.maxqueue: %d is under 0", name, function.MaxQueue)
		}
		result.Limits.PerFunction[name] = function.MaxQueue
		result.Functions[name] = defaults
	}
	return result, nil
}

// validator validates optional values and keeps the first error.
type validator struct{ err error }

func (v *validator) fail(format string, args ...any) {
	if v.err == nil {
		v.err = fmt.Errorf(format, args...)
	}
}

// count returns *value, or fallback if value is nil. A value outside 1 to limit is an error.
func (v *validator) count(key string, value *int64, fallback, limit int64) int64 {
	if value == nil {
		return fallback
	}
	if *value < 1 || *value > limit {
		v.fail("%s: %d is not from 1 to %d", key, *value, limit)
	}
	return *value
}

// duration parses a duration above 0, or returns fallback if text is empty.
func (v *validator) duration(key, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		v.fail("%s: %q is not a duration above 0", key, text)
	}
	return d
}
