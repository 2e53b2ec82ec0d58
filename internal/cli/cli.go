// Package cli is the program's command line: its words, its flags, its logs and its exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/lmittmann/tint"
	"github.com/willabides/kongplete"

	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/daemon"
)

// The exit codes.
const (
	ExitOK            = 0
	ExitFailed        = 1 // it could not serve, or ended by an error
	ExitUsage         = 2 // the command line makes no sense
	ExitInvalidConfig = 3 // check has found a fault
)

// Env is what a run meets of the world.
type Env struct {
	Args   []string // without the program's name
	Getenv func(string) string
	Out    io.Writer
	Err    io.Writer
	// Terminal tells that Err is one: logs are coloured there.
	IsTerminal bool
}

// FileFlags are the settings files that most words take.
type FileFlags struct {
	Gearman   string `help:"Serve Gearman clients too, as this file says." placeholder:"FILE"`
	Telemetry string `help:"Export telemetry as this file says, beside the OTEL_ variables." placeholder:"FILE"`
	Fleet     string `help:"Belong to a fleet of dispatchers, with budgets of its own, as this file says." placeholder:"FILE"`
}

// LogFlags are how the log is written.
type LogFlags struct {
	LogFormat string     `help:"How log lines look: ${enum}. auto is tint on a terminal, else text." enum:"auto,text,json,tint" default:"auto"`
	LogLevel  slog.Level `help:"The least level that is logged: debug, info, warn or error." default:"info"`
}

type grammar struct {
	LogFlags
	Serve      serve                        `cmd:"" default:"withargs" help:"Serve, as the file that LB_CONFIG names says. It is what is done without a word."`
	Check      check                        `cmd:"" help:"Read every settings file, and explain what it comes to."`
	Emulate    emulateWord                  `cmd:"" help:"Play a shop of emulated nodes, dispatchers and clients in virtual time."`
	Fleet      fleetWord                    `cmd:"" help:"Look at a fleet of dispatchers."`
	Load       loadWord                     `cmd:"" help:"Make load on a dispatcher as its clients would, and measure the answers."`
	Experiment experimentWord               `cmd:"" help:"Play days x policies x seeds in virtual time, and sum up each with its spread."`
	Version    version                      `cmd:"" help:"Tell the version."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Tell how a shell completes this program's words."`
}

// run is what a word needs.
type run struct {
	Env
	log *slog.Logger
}

// Main runs the program and returns its exit code.
func Main(e Env) int {
	var g grammar
	code := -1
	k, err := kong.New(&g, kong.Name("tinroute"), kong.Description("A dispatcher daemon: it takes jobs from clients and decides which worker runs which, and when."),
		kong.Writers(e.Out, e.Err), kong.UsageOnError(), kong.Exit(func(c int) { code = c }))
	if err != nil {
		fmt.Fprintln(e.Err, err)
		return ExitUsage
	}
	kongplete.Complete(k)
	c, err := k.Parse(doubled(e.Args))
	if code >= 0 { // help was asked for
		return code
	}
	if err != nil {
		fmt.Fprintf(e.Err, "tinroute: %v\nsee tinroute --help\n", err)
		return ExitUsage
	}
	r := &run{e, slog.New(handler(e, g.LogFlags))}
	if err := c.Run(r); err != nil {
		faulty := (*faultError)(nil)
		if errors.As(err, &faulty) {
			return ExitInvalidConfig
		}
		if strings.HasPrefix(c.Command(), "serve") {
			r.log.Error("cannot serve", "err", err)
		} else {
			fmt.Fprintf(e.Err, "tinroute: %v\n", err)
		}
		return ExitFailed
	}
	return ExitOK
}

// doubled takes up flags with one dash, which earlier versions had.
func doubled(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

func handler(e Env, l LogFlags) slog.Handler {
	format := l.LogFormat
	if format == "auto" && e.IsTerminal {
		format = "tint"
	}
	switch format {
	case "json":
		return slog.NewJSONHandler(e.Err, &slog.HandlerOptions{Level: l.LogLevel})
	case "tint":
		return tint.NewTextHandler(e.Err, &tint.Options{Level: l.LogLevel, TimeFormat: time.TimeOnly, NoColor: !e.IsTerminal})
	}
	return slog.NewTextHandler(e.Err, &slog.HandlerOptions{Level: l.LogLevel})
}

// settings reads every file.
type settings struct {
	config    *config.Config
	gearman   *config.Gearman
	telemetry *config.Telemetry
	fleet     *config.Fleet
}

func (f FileFlags) read(getenv func(string) string, load func(func(string) string) (*config.Config, error)) (s settings, err error) {
	if s.config, err = load(getenv); err != nil {
		return s, err
	}
	if f.Gearman != "" {
		if s.gearman, err = config.LoadGearman(f.Gearman, s.config.Settings, s.config.Names); err != nil {
			return s, err
		}
	}
	if f.Fleet != "" {
		if s.fleet, err = config.LoadFleet(f.Fleet, s.config.Name, s.config.Settings, s.config.Names); err != nil {
			return s, err
		}
	}
	s.telemetry, err = config.LoadTelemetry(f.Telemetry, getenv)
	return s, err
}

type serve struct{ FileFlags }

// Run serves until SIGTERM or SIGINT; SIGHUP has the files read again.
func (w *serve) Run(r *run) error {
	// Signals first: one that came while the files are read would end the process by its default.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1) // one that waits stands for any that follow
	signal.Notify(hangup, syscall.SIGHUP)
	s, err := w.read(r.Getenv, config.Load)
	if err != nil {
		return err
	}
	d := &daemon.Daemon{Config: s.config, Gearman: s.gearman, Telemetry: s.telemetry, Fleet: s.fleet, Log: r.log, ReloadSignals: hangup,
		ReadFiles: func() (daemon.Files, error) {
			s, err := w.read(r.Getenv, config.Reload)
			return daemon.Files{Config: s.config, Gearman: s.gearman, Fleet: s.fleet}, err
		}}
	return d.Run(ctx)
}

// faultError has been told to the user already.
type faultError struct{ error }

type check struct{ FileFlags }

// Run reads what serve would, and explains it.
func (w *check) Run(r *run) error {
	s, err := w.read(r.Getenv, config.Load)
	if err != nil {
		fmt.Fprintln(r.Out, "faulty:", err)
		return &faultError{err}
	}
	explain(r.Out, s)
	return nil
}

func explain(out io.Writer, s settings) {
	p := func(format string, a ...any) { fmt.Fprintf(out, format+"\n", a...) }
	c := s.config
	p("%s listens at %s and asks discovery at %s", c.Name, c.Listen, c.Discovery)
	if c.AdminListen != "" {
		p("the operators' door is at %s; workers out by hand pass to a successor through %s", c.AdminListen, os.TempDir())
	} else {
		p("no operators' door: ops and $LB_OPS are unset")
	}
	p("limits: %g cores, %d MB, %d descriptors; %d open requests", c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets, c.Settings.MaxOpenJobs)
	p("at most %d attempts at a request, a region is connected to within %v", c.Settings.MaxAttempts, c.Settings.ConnectTimeout)
	for _, k := range c.Settings.Classes {
		p("class %s: wanted within %v and %g times its running time, given up after %v, %s", k.Name, k.Target, k.Stretch, k.Deadline, repeats(k.Idempotency, k.DedupScope, k.DedupWindow))
	}
	for _, t := range c.Settings.Tenants {
		p("tenant %s: %g requests a second", t.Name, t.Quota)
	}
	if len(c.Hooks) > 0 {
		p("scripts: %s", strings.Join(c.Hooks, ", "))
	}
	if g := s.gearman; g != nil {
		p("Gearman: listens at %s, asks discovery at %s", g.Listen, g.Discovery)
		if g.Store == nil {
			p("  background jobs are off: no [store] is named")
		} else {
			p("  background jobs are kept in %s: %d at most, %d MB of data, %d offers each, dead after %v", g.Store.Path, g.Store.MaxJobs, g.Store.MaxBytes>>20,
				g.Retry.MaxOffers, g.Retry.Expiry)
			p("  offered at most %g a second, %d at once", g.Pace.Rate, g.Pace.MaxWindow)
		}
	} else {
		p("Gearman: off")
	}
	if f := s.fleet; f != nil {
		votes := "is a member"
		if f.VoterDir != "" {
			votes = "votes, with its log in " + f.VoterDir
		}
		p("fleet %s: %s %s; %d voters, leases of %v", f.Ledger.Fleet, c.Name, votes, len(f.Voters), f.Terms.Lease)
		for _, b := range f.Budgets {
			p("  budget %s, version %d: %g a second with a burst of %g over all dispatchers", b.Name, f.BudgetVersion, float64(b.Whole)/1000, float64(b.Burst)/1000)
		}
	} else {
		p("fleet: off")
	}
	if t := s.telemetry; t != nil {
		for signal, e := range t.Endpoints {
			protocol := "HTTP"
			if e.GRPC {
				protocol = "gRPC"
			}
			p("telemetry: %s go to %s over %s, within %v", signal, e.URL, protocol, e.Timeout)
		}
		p("  %d KB of memory at most, %g ordinary requests kept a second", t.Sampling.Bytes>>10, t.Sampling.Rate)
		if t.SpoolDir != "" {
			p("  what is not taken waits in %s, %d MB at most", t.SpoolDir, t.SpoolMaxBytes>>20)
		}
	} else {
		p("telemetry: off")
	}
}

type version struct{}

// Run tells what was built.
func (version) Run(r *run) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		_, err := fmt.Fprintln(r.Out, "tinroute, of unknown make")
		return err
	}
	rev := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			rev = " " + s.Value[:min(12, len(s.Value))]
		}
	}
	_, err := fmt.Fprintf(r.Out, "tinroute%s %s\n", rev, info.GoVersion)
	return err
}
