// Package jobindex keeps the open jobs of a job server and the clients that wait for each. It
// decides which submissions share a job, when a job is cancelled because its last client left, and
// which submissions exceed a limit. It does no I/O, uses no clock, and is not safe for concurrent
// use.
package jobindex

import (
	"errors"
	"slices"
)

// Limits bound the contents of an Index; 0 is no limit.
type Limits struct {
	PerClient   int            // submissions of one client without a final answer
	Jobs        int            // open jobs
	Bytes       int            // total data of open jobs
	PerFunction map[string]int // open jobs of each function
}

// The reasons for rejecting a submission.
var (
	ErrClientLimit   = errors.New("too many jobs are open on this connection")
	ErrJobLimit      = errors.New("too many jobs are open")
	ErrByteLimit     = errors.New("the open jobs hold too much data")
	ErrFunctionLimit = errors.New("the function's queue is full")
)

// Job is one open job. Only the Index may change the exported fields, except for Payload.
type Job[W comparable] struct {
	Handle             string
	Function           string
	Unique             string // empty if the job is never shared
	Size               int    // bytes of its data
	Background         bool   // it stays open without waiters
	Running            bool
	Progress           float64 // fraction done, from 0 to 1
	WaitingSubmissions int     // submissions without a final answer
	Payload            any     // for use by the server

	waiters map[W]int // submissions of each client
	closed  bool
}

type key struct{ function, unique string }

// Index holds the open jobs. W identifies a client connection.
type Index[W comparable] struct {
	limits    Limits
	byHandle  map[string]*Job[W]
	byKey     map[key]*Job[W]
	byUnique  map[string][]*Job[W]
	clients   map[W]map[*Job[W]]int
	submitted map[W]int // submissions of each client without a final answer
	functions map[string]*functionCounts
	bytes     int // total data of open jobs
}

// functionCounts holds the numbers of jobs of one function.
type functionCounts struct{ open, running, background int }

// New returns an empty Index.
func New[W comparable](limits Limits) *Index[W] {
	if limits.PerFunction == nil {
		limits.PerFunction = map[string]int{}
	}
	return &Index[W]{limits: limits, byHandle: map[string]*Job[W]{}, byKey: map[key]*Job[W]{}, byUnique: map[string][]*Job[W]{},
		clients: map[W]map[*Job[W]]int{}, submitted: map[W]int{}, functions: map[string]*functionCounts{}}
}

// SetMaxQueue limits the open jobs of a function; 0 is no limit. Jobs that are already open stay
// open, even beyond the new limit.
func (ix *Index[W]) SetMaxQueue(function string, n int) { ix.limits.PerFunction[function] = n }

// ByHandle returns the open job with a handle, or nil.
func (ix *Index[W]) ByHandle(handle string) *Job[W] { return ix.byHandle[handle] }

// ByKey returns the open job with a function and unique ID, which a new submission of both joins,
// or nil.
func (ix *Index[W]) ByKey(function, unique string) *Job[W] {
	if unique == "" {
		return nil
	}
	return ix.byKey[key{function, unique}]
}

// ByUniqueID returns the first open job with a unique ID, of any function, or nil.
func (ix *Index[W]) ByUniqueID(unique string) *Job[W] {
	if jobs := ix.byUnique[unique]; unique != "" && len(jobs) > 0 {
		return jobs[0]
	}
	return nil
}

// CheckJoin returns an error if a client has as many submissions without a final answer as the
// limit allows.
func (ix *Index[W]) CheckJoin(w W) error {
	if ix.limits.PerClient > 0 && ix.submitted[w] >= ix.limits.PerClient {
		return ErrClientLimit
	}
	return nil
}

// CheckOpen returns an error if a new job of the given size would exceed a limit. stored is the
// number of jobs of the function in the job store, which count towards its limit. They include the
// open background jobs.
func (ix *Index[W]) CheckOpen(function string, size, stored int) error {
	open := 0
	if c := ix.functions[function]; c != nil {
		open = c.open - c.background
	}
	switch limit := ix.limits.PerFunction[function]; {
	case limit > 0 && open+stored >= limit:
		return ErrFunctionLimit
	case ix.limits.Jobs > 0 && len(ix.byHandle) >= ix.limits.Jobs:
		return ErrJobLimit
	case ix.limits.Bytes > 0 && ix.bytes+size > ix.limits.Bytes:
		return ErrByteLimit
	}
	return nil
}

// Open adds a job. No open job may have the same handle, or the same function and unique ID if
// unique is not empty.
func (ix *Index[W]) Open(handle, function, unique string, size int, background bool) *Job[W] {
	job := &Job[W]{Handle: handle, Function: function, Unique: unique, Size: size, waiters: map[W]int{}}
	ix.byHandle[handle] = job
	if unique != "" {
		ix.byKey[key{function, unique}] = job
		ix.byUnique[unique] = append(ix.byUnique[unique], job)
	}
	c := ix.functions[function]
	if c == nil {
		c = &functionCounts{}
		ix.functions[function] = c
	}
	c.open++
	ix.bytes += size
	ix.SetBackground(job, background)
	return job
}

// SetBackground sets whether a job stays open without waiters.
func (ix *Index[W]) SetBackground(job *Job[W], background bool) {
	if c := ix.functions[job.Function]; background && !job.Background {
		c.background++
	} else if !background && job.Background {
		c.background--
	}
	job.Background = background
}

// DetachWaiters removes a job's waiters and returns them, each with the number of its submissions.
// The job stays open.
func (ix *Index[W]) DetachWaiters(job *Job[W]) map[W]int {
	for w, n := range job.waiters {
		ix.removeSubmissions(job, w, n)
	}
	waiters := job.waiters
	job.waiters, job.WaitingSubmissions = map[W]int{}, 0
	return waiters
}

// Join adds one submission of a client to the waiters of a job.
func (ix *Index[W]) Join(job *Job[W], w W) {
	job.waiters[w]++
	job.WaitingSubmissions++
	if ix.clients[w] == nil {
		ix.clients[w] = map[*Job[W]]int{}
	}
	ix.clients[w][job]++
	ix.submitted[w]++
}

// SubmissionCount returns how many submissions of a client have no final answer.
func (ix *Index[W]) SubmissionCount(w W) int { return ix.submitted[w] }

// SetProgress marks a job as running and records its progress. It reports whether that is the first
// progress or an advance: several copies of a job may report progress, and only an advance counts.
func (ix *Index[W]) SetProgress(job *Job[W], share float64) bool {
	if job.closed {
		return false
	}
	advanced := !job.Running || share > job.Progress
	if !job.Running {
		job.Running = true
		ix.functions[job.Function].running++
	}
	job.Progress = max(job.Progress, share)
	return advanced
}

// SetQueued records that a job is no longer running and waits for a retry.
func (ix *Index[W]) SetQueued(job *Job[W]) {
	if !job.closed && job.Running {
		ix.functions[job.Function].running--
	}
	job.Running, job.Progress = false, 0
}

// EachWaiter calls f for the waiting client of each submission.
func (job *Job[W]) EachWaiter(f func(w W)) {
	for w, n := range job.waiters {
		for range n {
			f(w)
		}
	}
}

// Close removes a job and returns its waiters, each with the number of its submissions. A second
// call returns nil.
func (ix *Index[W]) Close(job *Job[W]) map[W]int {
	if job.closed {
		return nil
	}
	ix.SetQueued(job)
	ix.SetBackground(job, false)
	job.closed = true
	delete(ix.byHandle, job.Handle)
	if job.Unique != "" {
		delete(ix.byKey, key{job.Function, job.Unique})
		if others := slices.DeleteFunc(ix.byUnique[job.Unique], func(other *Job[W]) bool { return other == job }); len(others) > 0 {
			ix.byUnique[job.Unique] = others
		} else {
			delete(ix.byUnique, job.Unique)
		}
	}
	if c := ix.functions[job.Function]; c.open > 1 {
		c.open--
	} else {
		delete(ix.functions, job.Function)
	}
	ix.bytes -= job.Size
	return ix.DetachWaiters(job)
}

// removeSubmissions removes n submissions of a client from its counts.
func (ix *Index[W]) removeSubmissions(job *Job[W], w W, n int) {
	delete(ix.clients[w], job)
	if ix.submitted[w] -= n; ix.submitted[w] <= 0 {
		delete(ix.submitted, w)
		delete(ix.clients, w)
	}
}

// RemoveClient removes a client. Foreground jobs without other waiters are closed and returned as
// cancelled. Background jobs stay open; those without other waiters are returned as withoutWaiters.
func (ix *Index[W]) RemoveClient(w W) (cancelled, withoutWaiters []*Job[W]) {
	for job, n := range ix.clients[w] {
		delete(job.waiters, w)
		job.WaitingSubmissions -= n
		switch {
		case len(job.waiters) > 0:
		case job.Background:
			withoutWaiters = append(withoutWaiters, job)
		default:
			ix.Close(job)
			cancelled = append(cancelled, job)
		}
	}
	delete(ix.clients, w)
	delete(ix.submitted, w)
	return cancelled, withoutWaiters
}

// Counts returns how many jobs of a function are open, and how many of these are running.
func (ix *Index[W]) Counts(function string) (open, running int) {
	if c := ix.functions[function]; c != nil {
		return c.open, c.running
	}
	return 0, 0
}

// BackgroundCount returns how many open jobs of a function are background jobs.
func (ix *Index[W]) BackgroundCount(function string) int {
	if c := ix.functions[function]; c != nil {
		return c.background
	}
	return 0
}

// Jobs returns up to limit open jobs, or all of them if limit is negative. They are sorted by the
// length and then the text of their handles, which is the order of the numbers in the handles.
func (ix *Index[W]) Jobs(limit int) []*Job[W] {
	all := make([]*Job[W], 0, len(ix.byHandle))
	for _, job := range ix.byHandle {
		all = append(all, job)
	}
	slices.SortFunc(all, func(x, y *Job[W]) int {
		if d := len(x.Handle) - len(y.Handle); d != 0 {
			return d
		}
		if x.Handle < y.Handle {
			return -1
		}
		return 1
	})
	if limit < 0 {
		return all
	}
	return all[:min(limit, len(all))]
}
