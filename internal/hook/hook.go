// Package hook runs scripts of the operators on requests and on the outcomes of attempts. Scripts are
// Starlark files that the configuration lists. They have no access to files, the network or timers,
// and the number of steps of a call is limited.
//
// A file may define
//
//	def on_transaction(tx):   # refuse a request, or set its tenant or cost; None changes nothing
//	    return {"refuse": "closed on Sundays", "retry_after_s": 60}
//	    return {"tenant": "argane-epargne", "cost_s": 0.4}
//	def on_outcome(task):     # observe the end of an attempt; region is the worker's name
//	    print(task.region, task.status)
//
// The files are called in the configured order until one refuses the request. If a script fails, the
// failure is logged and counted, and the script is treated as if it had returned None. Scripts cannot
// choose a worker; only the balancer does.
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
	// maxSteps limits the steps of one call, which take some milliseconds on a core of the platform.
	maxSteps = 100_000
	// maxQueuedOutcomes limits the queue for on_outcome. Further outcomes are dropped, so that a
	// slow script does not delay requests.
	maxQueuedOutcomes = 256
)

// Hooks holds the loaded scripts. It implements dispatch.Hook and dispatch.Observer.
type Hooks struct {
	log      *slog.Logger
	settings *balance.Settings
	names    *config.Names
	scripts  []script
	outcomes chan starlark.Value

	failures atomic.Int64
	dropped  atomic.Int64
}

type script struct {
	file                     string
	onTransaction, onOutcome starlark.Callable // nil if the file does not define it
}

// Load loads script files. It returns nil if there are none.
func Load(files []string, settings *balance.Settings, names *config.Names, log *slog.Logger) (*Hooks, error) {
	if len(files) == 0 {
		return nil, nil
	}
	h := &Hooks{log: log, settings: settings, names: names, outcomes: make(chan starlark.Value, maxQueuedOutcomes)}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("hooks: %w", err)
		}
		if err := h.addScript(file, text); err != nil {
			return nil, fmt.Errorf("hooks: %w", err)
		}
	}
	return h, nil
}

// addScript executes a file and keeps the hook functions that it defines.
func (h *Hooks) addScript(file string, text []byte) error {
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, h.newThread(file), file, text, nil)
	if err != nil {
		return err
	}
	globals.Freeze() // calls run concurrently and must not share mutable state
	loaded := script{file: file}
	for name, target := range map[string]*starlark.Callable{"on_transaction": &loaded.onTransaction, "on_outcome": &loaded.onOutcome} {
		if value := globals[name]; value != nil {
			var ok bool
			if *target, ok = value.(starlark.Callable); !ok {
				return fmt.Errorf("%s: %s is not a function", file, name)
			}
		}
	}
	if loaded.onTransaction == nil && loaded.onOutcome == nil {
		return fmt.Errorf("%s: defines neither on_transaction nor on_outcome", file)
	}
	h.scripts = append(h.scripts, loaded)
	return nil
}

// newThread returns a thread for one call. It has no load function, so a script can use only the
// built-in functions of the language.
func (h *Hooks) newThread(file string) *starlark.Thread {
	t := &starlark.Thread{Name: file, Print: func(_ *starlark.Thread, text string) {
		h.log.Info("hook script printed", "file", file, "text", text)
	}}
	t.SetMaxExecutionSteps(maxSteps)
	return t
}

// call calls a function of a script. After a failure, which it logs and counts, it returns None.
func (h *Hooks) call(file string, function starlark.Callable, arg starlark.Value) starlark.Value {
	result, err := starlark.Call(h.newThread(file), function, starlark.Tuple{arg}, nil)
	if err != nil {
		h.logFailure(file, function, err)
		return starlark.None
	}
	return result
}

func (h *Hooks) logFailure(file string, function starlark.Callable, err error) {
	h.log.Warn("hook script failed; ignoring its result", "file", file, "function", function.Name(), "failures", h.failures.Add(1), "err", err)
}

// FailureCount returns the number of failed calls.
func (h *Hooks) FailureCount() int64 { return h.failures.Load() }

// OnRequest calls on_transaction of each script until one refuses the request. It returns the
// refusal, or nil.
func (h *Hooks) OnRequest(request *dispatch.Request) *dispatch.Answer {
	for _, s := range h.scripts {
		if s.onTransaction == nil {
			continue
		}
		result := h.call(s.file, s.onTransaction, h.requestValue(request))
		if result == starlark.None {
			continue
		}
		answer, err := h.apply(request, result)
		if err != nil {
			h.logFailure(s.file, s.onTransaction, err)
		}
		if answer != nil {
			return answer
		}
	}
	return nil
}

// requestValue returns the argument of on_transaction.
func (h *Hooks) requestValue(request *dispatch.Request) starlark.Value {
	tenant := starlark.Value(starlark.None)
	if request.Tenant >= 0 {
		tenant = starlark.String(h.settings.Tenants[request.Tenant].Name)
	}
	return starlarkstruct.FromStringDict(starlark.String("tx"), starlark.StringDict{
		"id":         starlark.String(request.ID),
		"class_name": starlark.String(h.settings.Classes[request.Class].Name),
		"tenant":     tenant,
		"key":        starlark.String(request.Key),
		"patience_s": starlark.Float(request.Timeout.Seconds()),
		"cost_s":     starlark.Float(request.ExpectedWork.Seconds())})
}

// apply applies the result of on_transaction to the request. An invalid result changes nothing.
func (h *Hooks) apply(request *dispatch.Request, result starlark.Value) (*dispatch.Answer, error) {
	dict, ok := result.(*starlark.Dict)
	if !ok {
		return nil, fmt.Errorf("returned %s, not a dict or None", result.Type())
	}
	tenant, workHint := request.Tenant, request.ExpectedWork
	var refusal *dispatch.Answer
	var retryAfter time.Duration
	for _, item := range dict.Items() {
		key, _ := starlark.AsString(item[0])
		text, isText := starlark.AsString(item[1])
		number, isNumber := starlark.AsFloat(item[1])
		isNumber = isNumber && number >= 0 && number < math.MaxInt32
		switch {
		case key == "refuse" && isText:
			refusal = &dispatch.Answer{Verdict: dispatch.Refused, Reason: text}
		case key == "retry_after_s" && isNumber:
			retryAfter = time.Duration(number * float64(time.Second))
		case key == "cost_s" && isNumber:
			workHint = time.Duration(number * float64(time.Second))
		case key == "tenant" && isText:
			if tenant, ok = h.names.Tenant[text]; !ok {
				return nil, fmt.Errorf("unknown tenant %q", text)
			}
		default:
			return nil, fmt.Errorf("%s: unknown key or invalid value %s", item[0], item[1])
		}
	}
	if refusal != nil {
		refusal.RetryAfter = retryAfter
	} else if retryAfter > 0 {
		return nil, errors.New("retry_after_s without refuse")
	}
	request.Tenant, request.ExpectedWork = tenant, workHint
	return refusal, nil
}

// AttemptEnded queues the outcome of an attempt for on_outcome, which Run calls.
func (h *Hooks) AttemptEnded(attempt *dispatch.Attempt, status balance.Status, elapsed time.Duration) {
	outcome := starlarkstruct.FromStringDict(starlark.String("task"), starlark.StringDict{
		"id":         starlark.String(attempt.Request.ID),
		"class_name": starlark.String(h.settings.Classes[attempt.Request.Class].Name),
		"region":     starlark.String(attempt.Worker.Name),
		"number":     starlark.MakeInt(attempt.Index),
		"status":     starlark.String(status.String()),
		"elapsed_s":  starlark.Float(elapsed.Seconds())})
	select {
	case h.outcomes <- outcome:
	default:
		if dropped := h.dropped.Add(1); dropped == 1 || dropped%1000 == 0 {
			h.log.Warn("hook on_outcome is too slow; dropping outcomes", "outcomes dropped", dropped)
		}
	}
}

// Run calls on_outcome for queued outcomes until the context ends.
func (h *Hooks) Run(ctx context.Context) {
	for {
		select {
		case outcome := <-h.outcomes:
			for _, s := range h.scripts {
				if s.onOutcome != nil {
					h.call(s.file, s.onOutcome, outcome)
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// RequestStarted does nothing, since scripts observe only the outcomes of attempts.
func (h *Hooks) RequestStarted(*dispatch.Request) {}

// AttemptSent does nothing.
func (h *Hooks) AttemptSent(*dispatch.Attempt) {}

// AttemptCancelled does nothing.
func (h *Hooks) AttemptCancelled(*dispatch.Attempt) {}

// RequestAnswered does nothing.
func (h *Hooks) RequestAnswered(*dispatch.Request, dispatch.Answer) {}

// RequestCancelled does nothing.
func (h *Hooks) RequestCancelled(*dispatch.Request) {}
