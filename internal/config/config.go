// Package config is the one place where configuration is read, checked and given
// defaults: the settings object that the simulator and the platform share, and the file
// that a real dispatcher starts from. Its errors name the faulty key.
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

// Defaults for what the file leaves out, and the floor below which a dispatcher cannot
// work.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64
	defaultConnIdle = 15 * time.Second
	defaultMaxOpen  = 20000
)

// Limits are what the machine allows the process.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Config is everything that a dispatcher is told at its start.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	AdminListen  string // the operators' door, none where empty
	Limits       Limits
	Hooks        []string // script files, in the order they are asked
	KnownWorkers []byte   // the service table as last held, in discovery's form
	Settings     *balance.Settings
	Names        *Names
}

// Load reads the file that $LB_CONFIG names. The other variables win over the file's own
// name and addresses, which repeat them: $LB_OPS over ops, the operators' door.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, getenv("LB_DISCOVERY")) }

// Reload reads that file again, in a process that has been told to. Its environment is as
// old as the process, so here the file's word on discovery wins over $LB_DISCOVERY.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, "") }

func load(getenv func(string) string, discovery string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return nil, located(path, data, err)
	}
	c.Name = cmp.Or(getenv("LB_NAME"), c.Name)
	c.Listen = cmp.Or(getenv("LB_LISTEN"), c.Listen)
	c.AdminListen = cmp.Or(getenv("LB_OPS"), c.AdminListen)
	c.Discovery = cmp.Or(discovery, c.Discovery)
	switch {
	case c.Listen == "":
		return nil, errors.New("listen: missing, and LB_LISTEN is not set")
	case c.Discovery == "":
		return nil, errors.New("discovery: missing")
	}
	return c, nil
}

// check names the limit that makes no sense, if any.
func (l Limits) check() error {
	switch {
	case l.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not above 0", l.Cores)
	case l.MemoryMB < 16:
		return fmt.Errorf("limits.memory_mb: %d is under 16", l.MemoryMB)
	case l.Sockets < leastSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, leastSockets)
	}
	return nil
}

// Parse reads and checks the file's text.
func Parse(data []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("configuration: not an object")
	}
	f := &facts{}
	c := &Config{Name: f.text(v, "name"), Listen: f.text(v, "listen"), Discovery: f.text(v, "discovery"), AdminListen: f.text(v, "ops"),
		Limits: Limits{Cores: f.number(v, 1, "limits", "cores"),
			MemoryMB: int(f.number(v, defaultMemoryMB, "limits", "memory_mb")),
			Sockets:  int(f.number(v, defaultSockets, "limits", "sockets"))}}
	for _, x := range f.list(v, "hooks") {
		file, err := x.StringBytes()
		if err != nil {
			f.fail("hooks", "not text")
		}
		c.Hooks = append(c.Hooks, string(file))
	}
	seed := f.text(v, "seed")
	if f.err != nil {
		return nil, fmt.Errorf("configuration: %w", f.err)
	}
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	settings := v.Get("settings")
	if settings == nil {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Names, err = ParseSettings(settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if seed != "" {
		if c.Settings.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not a number in base 16", seed)
		}
	}
	if known := v.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if known.Type() != fastjson.TypeObject {
			return nil, errors.New("known: not an object")
		}
		c.KnownWorkers = known.MarshalTo(nil)
	}
	if c.Settings.ConnIdleTimeout <= 0 {
		c.Settings.ConnIdleTimeout = defaultConnIdle
	}
	if c.Settings.MaxOpenJobs <= 0 {
		c.Settings.MaxOpenJobs = defaultMaxOpen
	}
	if c.Settings.ConnectTimeout <= 0 {
		return nil, errors.New("settings: limits.dial_timeout_s: not above 0")
	}
	// The protocol on sockets has neither probes nor messages between dispatchers.
	c.Settings.AllowProbes, c.Settings.AllowPeerMessages = false, false
	return c, nil
}
