// Package hook runs the operators' own scripts beside the core: Starlark files that the
// configuration names, without any way to read, write or wait, and bounded in their steps.
//
// A file may define
//
//	def on_transaction(tx):   # refuse it, or set its tenant or cost; None leaves it alone
//	    return {"refuse": "closed on Sundays", "retry_after_s": 60}
//	    return {"tenant": "argane-epargne", "cost_s": 0.4}
//	def on_outcome(task):     # watch how an attempt ended
//	    print(task.region, task.status)
//
// Several files are asked in order, and the first refusal counts. A script that fails is
// logged and counted, and the request goes on as if it had said nothing. Scripts never
// choose a worker: that is the balancer's.
package hook

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"sync/atomic"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
)

const (
	// maxSteps bounds one call: some milliseconds on the platform's core.
	maxSteps = 100_000
	// backlog bounds the outcomes that wait for on_outcome; further ones are dropped, so
	// that a slow script holds up no request.
	backlog = 256
)

// Hooks are the loaded scripts. They implement dispatch.Hook and dispatch.Observer.
type Hooks struct {
	log      *slog.Logger
	settings *balance.Settings
	names    *config.Names
	scripts  []script
	outcomes chan starlark.Value

	failed  atomic.Int64
	dropped atomic.Int64
}

type script struct {
	file                 string
	transaction, outcome starlark.Callable // nil where the file defines none
}

// Load reads the files. Without any it returns nil.
func Load(files []string, s *balance.Settings, names *config.Names, log *slog.Logger) (*Hooks, error) {
	if len(files) == 0 {
		return nil, nil
	}
	h := &Hooks{log: log, settings: s, names: names, outcomes: make(chan starlark.Value, backlog)}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("hooks: %w", err)
		}
		if err := h.add(file, text); err != nil {
			return nil, fmt.Errorf("hooks: %w", err)
		}
	}
	return h, nil
}

func (h *Hooks) add(file string, text []byte) error {
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, h.thread(file), file, text, nil)
	if err != nil {
		return err
	}
	globals.Freeze() // calls run side by side, and must not tell each other anything
	sc := script{file: file}
	for name, to := range map[string]*starlark.Callable{"on_transaction": &sc.transaction, "on_outcome": &sc.outcome} {
		if f := globals[name]; f != nil {
			var ok bool
			if *to, ok = f.(starlark.Callable); !ok {
				return fmt.Errorf("%s: %s is not a function", file, name)
			}
		}
	}
	if sc.transaction == nil && sc.outcome == nil {
		return fmt.Errorf("%s: defines neither on_transaction nor on_outcome", file)
	}
	h.scripts = append(h.scripts, sc)
	return nil
}

// thread is what one call runs on. It has no load, so a script reaches nothing but what
// the language itself holds.
func (h *Hooks) thread(file string) *starlark.Thread {
	t := &starlark.Thread{Name: file, Print: func(_ *starlark.Thread, text string) {
		h.log.Info("hook says", "file", file, "text", text)
	}}
	t.SetMaxExecutionSteps(maxSteps)
	return t
}

// call runs a function of a script; a failure is logged and counted, and says nothing.
func (h *Hooks) call(file string, f starlark.Callable, arg starlark.Value) starlark.Value {
	v, err := starlark.Call(h.thread(file), f, starlark.Tuple{arg}, nil)
	if err != nil {
		h.fail(file, f, err)
		return starlark.None
	}
	return v
}

func (h *Hooks) fail(file string, f starlark.Callable, err error) {
	h.log.Warn("hook failed", "file", file, "function", f.Name(), "failures", h.failed.Add(1), "err", err)
}

// Failed is how many calls have failed.
func (h *Hooks) Failed() int64 { return h.failed.Load() }

// OnRequest asks on_transaction of each script.
func (h *Hooks) OnRequest(tx *dispatch.Request) *dispatch.Answer {
	for _, s := range h.scripts {
		if s.transaction == nil {
			continue
		}
		said := h.call(s.file, s.transaction, h.describe(tx))
		if said == starlark.None {
			continue
		}
		a, err := h.obey(tx, said)
		if err != nil {
			h.fail(s.file, s.transaction, err)
		}
		if a != nil {
			return a
		}
	}
	return nil
}

func (h *Hooks) describe(tx *dispatch.Request) starlark.Value {
	tenant := starlark.Value(starlark.None)
	if tx.Tenant >= 0 {
		tenant = starlark.String(h.settings.Tenants[tx.Tenant].Name)
	}
	return starlarkstruct.FromStringDict(starlark.String("tx"), starlark.StringDict{
		"id": starlark.String(tx.ID), "class_name": starlark.String(h.settings.Classes[tx.Class].Name),
		"tenant": tenant, "key": starlark.String(tx.Key),
		"patience_s": starlark.Float(tx.Timeout.Seconds()), "cost_s": starlark.Float(tx.WorkHint.Seconds())})
}

// obey does what a script returned, all of it or, if any of it makes no sense, nothing.
func (h *Hooks) obey(tx *dispatch.Request, said starlark.Value) (*dispatch.Answer, error) {
	d, ok := said.(*starlark.Dict)
	if !ok {
		return nil, fmt.Errorf("returned %s, not a dict or None", said.Type())
	}
	tenant, hint := tx.Tenant, tx.WorkHint
	var refused *dispatch.Answer
	var back time.Duration
	for _, item := range d.Items() {
		key, _ := starlark.AsString(item[0])
		text, isText := starlark.AsString(item[1])
		x, isNumber := starlark.AsFloat(item[1])
		isNumber = isNumber && x >= 0 && x < math.MaxInt32
		switch {
		case key == "refuse" && isText:
			refused = &dispatch.Answer{Verdict: dispatch.Refused, Reason: text}
		case key == "retry_after_s" && isNumber:
			back = time.Duration(x * float64(time.Second))
		case key == "cost_s" && isNumber:
			hint = time.Duration(x * float64(time.Second))
		case key == "tenant" && isText:
			if tenant, ok = h.names.Tenant[text]; !ok {
				return nil, fmt.Errorf("tenant: unknown: %q", text)
			}
		default:
			return nil, fmt.Errorf("%s: %s makes no sense", item[0], item[1])
		}
	}
	if refused != nil {
		refused.RetryAfter = back
	} else if back > 0 {
		return nil, errors.New("retry_after_s without refuse")
	}
	tx.Tenant, tx.WorkHint = tenant, hint
	return refused, nil
}

// AttemptEnded hands the end of an attempt to on_outcome, on a goroutine of its own.
func (h *Hooks) AttemptEnded(t *dispatch.Attempt, s balance.Status, elapsed time.Duration) {
	task := starlarkstruct.FromStringDict(starlark.String("task"), starlark.StringDict{
		"id": starlark.String(t.Request.ID), "class_name": starlark.String(h.settings.Classes[t.Request.Class].Name),
		"region": starlark.String(t.Worker.Name), "number": starlark.MakeInt(t.Index),
		"status": starlark.String(s.String()), "elapsed_s": starlark.Float(elapsed.Seconds())})
	select {
	case h.outcomes <- task:
	default:
		if n := h.dropped.Add(1); n == 1 || n%1000 == 0 {
			h.log.Warn("hook too slow", "outcomes dropped", n)
		}
	}
}

// Run calls on_outcome until the context ends.
func (h *Hooks) Run(ctx context.Context) {
	for {
		select {
		case task := <-h.outcomes:
			for _, s := range h.scripts {
				if s.outcome != nil {
					h.call(s.file, s.outcome, task)
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// RequestStarted does nothing: scripts are told of outcomes alone.
func (h *Hooks) RequestStarted(*dispatch.Request) {}

// AttemptSent does nothing.
func (h *Hooks) AttemptSent(*dispatch.Attempt) {}

// AttemptCancelled does nothing.
func (h *Hooks) AttemptCancelled(*dispatch.Attempt) {}

// RequestAnswered does nothing.
func (h *Hooks) RequestAnswered(*dispatch.Request, dispatch.Answer) {}

// RequestCancelled does nothing.
func (h *Hooks) RequestCancelled(*dispatch.Request) {}
