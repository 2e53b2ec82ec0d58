package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"tinroute.example/tinroute/balance"
)

// Gearman is the second front's file.
type Gearman struct {
	Listen    string
	Discovery string
	Hooks     []string            // script files, in the order they are asked
	Functions map[string]Function // one for each class, named as the class
}

// Function holds what a Gearman job, which says nothing of these, is taken to ask for.
type Function struct {
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
func ParseGearman(text string, s *balance.Settings, names *Names) (*Gearman, error) {
	var file struct {
		Listen    string   `toml:"listen"`
		Discovery string   `toml:"discovery"`
		Hooks     []string `toml:"hooks"`
		Function  map[string]struct {
			Deadline string `toml:"deadline"`
			Tenant   string `toml:"tenant"`
			Cost     string `toml:"cost"`
		} `toml:"function"`
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
	g := &Gearman{Listen: file.Listen, Discovery: file.Discovery, Hooks: file.Hooks, Functions: map[string]Function{}}
	for i, c := range s.Classes {
		g.Functions[c.Name] = Function{Class: i, Deadline: c.Deadline, Tenant: -1}
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
		g.Functions[name] = to
	}
	return g, nil
}
