// Package config reads and validates all configuration and applies defaults: the settings
// object shared by the simulator and the platform, the dispatcher's JSON file, and the TOML
// files for Gearman, the fleet and telemetry. Its errors name the invalid key.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"tinroute.example/tinroute/balance"
)

// Defaults for keys that the file omits. A dispatcher cannot work with fewer than
// minSockets descriptors.
const (
	defaultMemoryMB        = 192
	defaultSockets         = 1024
	minSockets             = 64
	defaultConnIdleTimeout = 15 * time.Second
	defaultMaxOpenRequests = 20000
)

// Limits are the machine resources that the process may use.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors
}

// Config is the content of the dispatcher's main configuration file.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	AdminListen  string // address of the admin server; empty disables it
	Limits       Limits
	Hooks        []string // script files, in the order in which they are called
	KnownWorkers []byte   // workers listed in an earlier run, in discovery's JSON format; nil for none
	Settings     *balance.Settings
	Names        *Names
}

// Load reads the file named by $LB_CONFIG. $LB_NAME, $LB_LISTEN, $LB_DISCOVERY and $LB_OPS
// override the keys name, listen, discovery and ops of the file.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, getenv("LB_DISCOVERY")) }

// Reload reads the file named by $LB_CONFIG again while the process runs. The environment
// is as old as the process, so the file's discovery address overrides $LB_DISCOVERY here.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, "") }

func load(getenv func(string) string, discoveryOverride string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	cfg, err := Parse(data)
	if err != nil {
		return nil, withPosition(path, data, err)
	}
	cfg.Name = cmp.Or(getenv("LB_NAME"), cfg.Name)
	cfg.Listen = cmp.Or(getenv("LB_LISTEN"), cfg.Listen)
	cfg.AdminListen = cmp.Or(getenv("LB_OPS"), cfg.AdminListen)
	cfg.Discovery = cmp.Or(discoveryOverride, cfg.Discovery)
	switch {
	case cfg.Listen == "":
		return nil, errors.New("listen: missing, and LB_LISTEN is not set")
	case cfg.Discovery == "":
		return nil, errors.New("discovery: missing")
	}
	return cfg, nil
}

// check returns an error for the first limit that is out of range.
func (l Limits) check() error {
	switch {
	case l.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not above 0", l.Cores)
	case l.MemoryMB < 16:
		return fmt.Errorf("limits.memory_mb: %d is under 16", l.MemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, minSockets)
	}
	return nil
}

// Parse reads and validates the text of the main configuration file.
func Parse(data []byte) (*Config, error) {
	root, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if root.Type() != fastjson.TypeObject {
		return nil, errors.New("configuration: not an object")
	}
	r := &settingsReader{}
	cfg := &Config{Name: r.text(root, "name"), Listen: r.text(root, "listen"), Discovery: r.text(root, "discovery"), AdminListen: r.text(root, "ops"),
		Limits: Limits{Cores: r.number(root, 1, "limits", "cores"),
			MemoryMB: int(r.number(root, defaultMemoryMB, "limits", "memory_mb")),
			Sockets:  int(r.number(root, defaultSockets, "limits", "sockets"))}}
	for _, hook := range r.list(root, "hooks") {
		file, err := hook.StringBytes()
		if err != nil {
			r.fail("hooks", "not text")
		}
		cfg.Hooks = append(cfg.Hooks, string(file))
	}
	seed := r.text(root, "seed")
	if r.err != nil {
		return nil, fmt.Errorf("configuration: %w", r.err)
	}
	if err := cfg.Limits.check(); err != nil {
		return nil, err
	}
	settings := root.Get("settings")
	if settings == nil {
		return nil, errors.New("settings: missing")
	}
	if cfg.Settings, cfg.Names, err = ParseSettings(settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if seed != "" {
		if cfg.Settings.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not a number in base 16", seed)
		}
	}
	if known := root.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if known.Type() != fastjson.TypeObject {
			return nil, errors.New("known: not an object")
		}
		cfg.KnownWorkers = known.MarshalTo(nil)
	}
	if cfg.Settings.ConnIdleTimeout <= 0 {
		cfg.Settings.ConnIdleTimeout = defaultConnIdleTimeout
	}
	if cfg.Settings.MaxOpenJobs <= 0 {
		cfg.Settings.MaxOpenJobs = defaultMaxOpenRequests
	}
	if cfg.Settings.ConnectTimeout <= 0 {
		return nil, errors.New("settings: limits.dial_timeout_s: not above 0")
	}
	// Unlike the simulator, the platform's protocol has neither probes nor messages between dispatchers.
	cfg.Settings.AllowProbes, cfg.Settings.AllowPeerMessages = false, false
	return cfg, nil
}
