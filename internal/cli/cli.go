// Package cli implements the command line: its commands, flags, log output and exit codes.
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

// Exit codes.
const (
	ExitOK            = 0
	ExitFailed        = 1 // the command failed
	ExitUsage         = 2 // the command line is invalid
	ExitInvalidConfig = 3 // check has found an error in a settings file
)

// Env is the environment that a command runs in.
type Env struct {
	Args   []string // without the program's name
	Getenv func(string) string
	Out    io.Writer
	Err    io.Writer
	// IsTerminal is whether Err is a terminal, where logs are colored and progress is shown in place.
	IsTerminal bool
}

// FileFlags are the flags that name the optional settings files.
type FileFlags struct {
	Gearman   string `help:"Also serve Gearman clients, as configured by this file." placeholder:"FILE"`
	Telemetry string `help:"Export telemetry as configured by this file; OTEL_ variables override it." placeholder:"FILE"`
	Fleet     string `help:"Join the fleet of dispatchers, with shared budgets, that this file configures." placeholder:"FILE"`
}

// LogFlags are the flags for the log output.
type LogFlags struct {
	LogFormat string     `help:"Log format: ${enum}. auto is tint on a terminal, otherwise text." enum:"auto,text,json,tint" default:"auto"`
	LogLevel  slog.Level `help:"Minimum level to log: debug, info, warn or error." default:"info"`
}

type commandLine struct {
	LogFlags
	Serve      serveCmd                     `cmd:"" default:"withargs" help:"Run the dispatcher with the settings file named by LB_CONFIG. This is the default command."`
	Check      checkCmd                     `cmd:"" help:"Validate all settings files and explain the resulting settings."`
	Emulate    emulateCmd                   `cmd:"" help:"Emulate nodes, dispatchers and clients in virtual time."`
	Fleet      fleetCmd                     `cmd:"" help:"Inspect and test a fleet of dispatchers."`
	Load       loadCmd                      `cmd:"" help:"Generate load on a dispatcher as its clients would, and measure the answers."`
	Experiment experimentCmd                `cmd:"" help:"Emulate all combinations of days, policies and seeds in virtual time, and summarize each with its confidence interval."`
	Version    versionCmd                   `cmd:"" help:"Print the version."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print instructions for installing shell completion."`
}

// runContext is passed to the Run method of each command.
type runContext struct {
	Env
	log *slog.Logger
}

// Main runs the program and returns its exit code.
func Main(env Env) int {
	var cl commandLine
	code := -1
	parser, err := kong.New(&cl, kong.Name("tinroute"), kong.Description("A dispatcher daemon: it accepts requests from clients and decides which worker runs each of them, and when."),
		kong.Writers(env.Out, env.Err), kong.UsageOnError(), kong.Exit(func(exitCode int) { code = exitCode }))
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	kongplete.Complete(parser)
	command, err := parser.Parse(normalizeFlags(env.Args))
	if code >= 0 { // kong has printed the help
		return code
	}
	if err != nil {
		fmt.Fprintf(env.Err, "tinroute: %v\nsee tinroute --help\n", err)
		return ExitUsage
	}
	run := &runContext{env, slog.New(newLogHandler(env, cl.LogFlags))}
	if err := command.Run(run); err != nil {
		reported := (*reportedError)(nil)
		if errors.As(err, &reported) {
			return ExitInvalidConfig
		}
		if strings.HasPrefix(command.Command(), "serve") {
			run.log.Error("cannot serve", "err", err)
		} else {
			fmt.Fprintf(env.Err, "tinroute: %v\n", err)
		}
		return ExitFailed
	}
	return ExitOK
}

// normalizeFlags turns flags with a single dash, which earlier versions had, into flags with two.
func normalizeFlags(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

// newLogHandler returns the log handler that the flags select.
func newLogHandler(env Env, flags LogFlags) slog.Handler {
	format := flags.LogFormat
	if format == "auto" && env.IsTerminal {
		format = "tint"
	}
	switch format {
	case "json":
		return slog.NewJSONHandler(env.Err, &slog.HandlerOptions{Level: flags.LogLevel})
	case "tint":
		return tint.NewTextHandler(env.Err, &tint.Options{Level: flags.LogLevel, TimeFormat: time.TimeOnly, NoColor: !env.IsTerminal})
	}
	return slog.NewTextHandler(env.Err, &slog.HandlerOptions{Level: flags.LogLevel})
}

// settings are the contents of all settings files.
type settings struct {
	config    *config.Config
	gearman   *config.Gearman
	telemetry *config.Telemetry
	fleet     *config.Fleet
}

// read reads all settings files, the main one with load.
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

type serveCmd struct{ FileFlags }

// Run serves until SIGTERM or SIGINT. SIGHUP reloads the settings files.
func (cmd *serveCmd) Run(r *runContext) error {
	// Signals are handled before the files are read, since the default action of each ends the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadSignals := make(chan os.Signal, 1) // a pending signal covers those that follow
	signal.Notify(reloadSignals, syscall.SIGHUP)
	settings, err := cmd.read(r.Getenv, config.Load)
	if err != nil {
		return err
	}
	d := &daemon.Daemon{Config: settings.config, Gearman: settings.gearman, Telemetry: settings.telemetry, Fleet: settings.fleet, Log: r.log, ReloadSignals: reloadSignals,
		ReadFiles: func() (daemon.Files, error) {
			settings, err := cmd.read(r.Getenv, config.Reload)
			return daemon.Files{Config: settings.config, Gearman: settings.gearman, Fleet: settings.fleet}, err
		}}
	return d.Run(ctx)
}

// reportedError is an error in the settings files that has been printed already.
type reportedError struct{ error }

type checkCmd struct{ FileFlags }

// Run reads the settings files as serve does and explains them.
func (cmd *checkCmd) Run(r *runContext) error {
	settings, err := cmd.read(r.Getenv, config.Load)
	if err != nil {
		fmt.Fprintln(r.Out, "faulty:", err)
		return &reportedError{err}
	}
	explain(r.Out, settings)
	return nil
}

// explain prints a summary of the settings.
func explain(out io.Writer, settings settings) {
	printf := func(format string, a ...any) { fmt.Fprintf(out, format+"\n", a...) }
	cfg := settings.config
	printf("%s listens at %s and asks discovery at %s", cfg.Name, cfg.Listen, cfg.Discovery)
	if cfg.AdminListen != "" {
		printf("the operators' door is at %s; workers out by hand pass to a successor through %s", cfg.AdminListen, os.TempDir())
	} else {
		printf("no operators' door: ops and $LB_OPS are unset")
	}
	printf("limits: %g cores, %d MB, %d descriptors; %d open requests", cfg.Limits.Cores, cfg.Limits.MemoryMB, cfg.Limits.Sockets, cfg.Settings.MaxOpenJobs)
	printf("at most %d attempts at a request, a region is connected to within %v", cfg.Settings.MaxAttempts, cfg.Settings.ConnectTimeout)
	for _, class := range cfg.Settings.Classes {
		printf("class %s: wanted within %v and %g times its running time, given up after %v, %s", class.Name, class.Target, class.Stretch, class.Deadline, repeatRule(class.Idempotency, class.DedupScope, class.DedupWindow))
	}
	for _, tenant := range cfg.Settings.Tenants {
		printf("tenant %s: %g requests a second", tenant.Name, tenant.Quota)
	}
	if len(cfg.Hooks) > 0 {
		printf("scripts: %s", strings.Join(cfg.Hooks, ", "))
	}
	if gearman := settings.gearman; gearman != nil {
		printf("Gearman: listens at %s, asks discovery at %s", gearman.Listen, gearman.Discovery)
		if gearman.Store == nil {
			printf("  background jobs are off: no [store] is named")
		} else {
			printf("  background jobs are kept in %s: %d at most, %d MB of data, %d offers each, dead after %v", gearman.Store.Path, gearman.Store.MaxJobs, gearman.Store.MaxBytes>>20,
				gearman.Retry.MaxOffers, gearman.Retry.Expiry)
			printf("  offered at most %g a second, %d at once", gearman.Pace.Rate, gearman.Pace.MaxWindow)
		}
	} else {
		printf("Gearman: off")
	}
	if fleet := settings.fleet; fleet != nil {
		role := "is a member"
		if fleet.VoterDir != "" {
			role = "votes, with its log in " + fleet.VoterDir
		}
		printf("fleet %s: %s %s; %d voters, leases of %v", fleet.Ledger.Fleet, cfg.Name, role, len(fleet.Voters), fleet.Timing.Lease)
		for _, b := range fleet.Budgets {
			printf("  budget %s, version %d: %g a second with a burst of %g over all dispatchers", b.Name, fleet.BudgetVersion, float64(b.Total)/1000, float64(b.Burst)/1000)
		}
	} else {
		printf("fleet: off")
	}
	if telemetry := settings.telemetry; telemetry != nil {
		for signal, endpoint := range telemetry.Endpoints {
			protocol := "HTTP"
			if endpoint.GRPC {
				protocol = "gRPC"
			}
			printf("telemetry: %s go to %s over %s, within %v", signal, endpoint.URL, protocol, endpoint.Timeout)
		}
		printf("  %d KB of memory at most, %g ordinary requests kept a second", telemetry.Sampling.MaxBytes>>10, telemetry.Sampling.TracesPerSecond)
		if telemetry.SpoolDir != "" {
			printf("  what is not taken waits in %s, %d MB at most", telemetry.SpoolDir, telemetry.SpoolMaxBytes>>20)
		}
	} else {
		printf("telemetry: off")
	}
}

type versionCmd struct{}

// Run prints the revision and the Go version of the build.
func (versionCmd) Run(r *runContext) error {
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
