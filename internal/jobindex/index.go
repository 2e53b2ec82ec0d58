// Package jobindex keeps the open jobs of a job server and who waits for each: it decides which
// submissions are one job, when a job is given up, and what is too much. It does no I/O, knows
// no clock, and is not safe for concurrent use.
package jobindex

import (
	"errors"
	"slices"
)

// Limits bound what the book holds; 0 is no bound.
type Limits struct {
	PerClient   int            // submissions without a final answer, by client
	Jobs        int            // open jobs
	Bytes       int            // of the data of open jobs
	PerFunction map[string]int // open jobs by function; 0 is no bound
}

// The reasons for which a submission is turned away.
var (
	ErrClientLimit   = errors.New("too many jobs are open on this connection")
	ErrJobLimit      = errors.New("too many jobs are open")
	ErrByteLimit     = errors.New("the open jobs hold too much data")
	ErrFunctionLimit = errors.New("the function's queue is full")
)

// Job is one open job. The exported fields are the book's to change, but for Payload.
type Job[W comparable] struct {
	Handle             string
	Function           string
	Unique             string // empty where the job is never shared
	Size               int    // bytes of data held for it
	Background         bool   // it goes on without any waiter
	Running            bool
	Progress           float64 // done, 0 to 1
	WaitingSubmissions int     // submissions that wait for its final answer
	Payload            any     // the server's own

	waiters map[W]int
	closed  bool
}

type key struct{ function, unique string }

// Index holds open jobs. W is a client's connection.
type Index[W comparable] struct {
	limits    Limits
	byHandle  map[string]*Job[W]
	byKey     map[key]*Job[W]
	byUnique  map[string][]*Job[W]
	clients   map[W]map[*Job[W]]int
	submitted map[W]int
	functions map[string]*count
	bytes     int
}

type count struct{ open, running, background int }

// New returns an empty book.
func New[W comparable](l Limits) *Index[W] {
	if l.PerFunction == nil {
		l.PerFunction = map[string]int{}
	}
	return &Index[W]{limits: l, byHandle: map[string]*Job[W]{}, byKey: map[key]*Job[W]{}, byUnique: map[string][]*Job[W]{},
		clients: map[W]map[*Job[W]]int{}, submitted: map[W]int{}, functions: map[string]*count{}}
}

// SetMaxQueue bounds a function's open jobs from now on; 0 is no bound. Jobs that are open
// beyond it stay.
func (b *Index[W]) SetMaxQueue(function string, n int) { b.limits.PerFunction[function] = n }

// ByHandle returns the open job of a handle, or nil.
func (b *Index[W]) ByHandle(handle string) *Job[W] { return b.byHandle[handle] }

// ByKey returns the open job that a submission of the function and unique id is part of, or nil.
func (b *Index[W]) ByKey(function, unique string) *Job[W] {
	if unique == "" {
		return nil
	}
	return b.byKey[key{function, unique}]
}

// ByUniqueID returns the first open job of a unique id, of whichever function, or nil.
func (b *Index[W]) ByUniqueID(unique string) *Job[W] {
	if jobs := b.byUnique[unique]; unique != "" && len(jobs) > 0 {
		return jobs[0]
	}
	return nil
}

// CheckJoin tells whether a client may have one more submission without a final answer.
func (b *Index[W]) CheckJoin(w W) error {
	if b.limits.PerClient > 0 && b.submitted[w] >= b.limits.PerClient {
		return ErrClientLimit
	}
	return nil
}

// CheckOpen tells whether one more job of the size may be opened. stored is how many more jobs
// of the function are kept elsewhere and count too; background jobs that are open are among them.
func (b *Index[W]) CheckOpen(function string, size, stored int) error {
	open := 0
	if c := b.functions[function]; c != nil {
		open = c.open - c.background
	}
	switch most := b.limits.PerFunction[function]; {
	case most > 0 && open+stored >= most:
		return ErrFunctionLimit
	case b.limits.Jobs > 0 && len(b.byHandle) >= b.limits.Jobs:
		return ErrJobLimit
	case b.limits.Bytes > 0 && b.bytes+size > b.limits.Bytes:
		return ErrByteLimit
	}
	return nil
}

// Open adds a job. The handle and, where it has one, the function with the unique id must not
// be open.
func (b *Index[W]) Open(handle, function, unique string, size int, background bool) *Job[W] {
	j := &Job[W]{Handle: handle, Function: function, Unique: unique, Size: size, waiters: map[W]int{}}
	b.byHandle[handle] = j
	if unique != "" {
		b.byKey[key{function, unique}] = j
		b.byUnique[unique] = append(b.byUnique[unique], j)
	}
	c := b.functions[function]
	if c == nil {
		c = &count{}
		b.functions[function] = c
	}
	c.open++
	b.bytes += size
	b.SetBackground(j, background)
	return j
}

// SetBackground makes a job go on without any waiter, or not.
func (b *Index[W]) SetBackground(j *Job[W], background bool) {
	if c := b.functions[j.Function]; background && !j.Background {
		c.background++
	} else if !background && j.Background {
		c.background--
	}
	j.Background = background
}

// DetachWaiters returns a job's waiters, each with the number of its submissions, who wait no longer.
// The job stays open.
func (b *Index[W]) DetachWaiters(j *Job[W]) map[W]int {
	for w, n := range j.waiters {
		b.drop(j, w, n)
	}
	waiters := j.waiters
	j.waiters, j.WaitingSubmissions = map[W]int{}, 0
	return waiters
}

// Join makes a client wait for a job, once more for each of its submissions.
func (b *Index[W]) Join(j *Job[W], w W) {
	j.waiters[w]++
	j.WaitingSubmissions++
	if b.clients[w] == nil {
		b.clients[w] = map[*Job[W]]int{}
	}
	b.clients[w][j]++
	b.submitted[w]++
}

// SubmissionCount is how many submissions of a client have no final answer.
func (b *Index[W]) SubmissionCount(w W) int { return b.submitted[w] }

// SetProgress notes how far a job is, and tells whether that is news: copies of one job tell of
// theirs too, and only an advance counts.
func (b *Index[W]) SetProgress(j *Job[W], share float64) bool {
	if j.closed {
		return false
	}
	news := !j.Running || share > j.Progress
	if !j.Running {
		j.Running = true
		b.functions[j.Function].running++
	}
	j.Progress = max(j.Progress, share)
	return news
}

// SetQueued notes that a job is not running any more and waits to be tried again.
func (b *Index[W]) SetQueued(j *Job[W]) {
	if !j.closed && j.Running {
		b.functions[j.Function].running--
	}
	j.Running, j.Progress = false, 0
}

// EachWaiter calls f for every submission that waits for a job.
func (j *Job[W]) EachWaiter(f func(w W)) {
	for w, n := range j.waiters {
		for range n {
			f(w)
		}
	}
}

// Close ends a job and returns its waiters, each with the number of its submissions. A second
// call returns none: a job has one end.
func (b *Index[W]) Close(j *Job[W]) map[W]int {
	if j.closed {
		return nil
	}
	b.SetQueued(j)
	b.SetBackground(j, false)
	j.closed = true
	delete(b.byHandle, j.Handle)
	if j.Unique != "" {
		delete(b.byKey, key{j.Function, j.Unique})
		if left := slices.DeleteFunc(b.byUnique[j.Unique], func(o *Job[W]) bool { return o == j }); len(left) > 0 {
			b.byUnique[j.Unique] = left
		} else {
			delete(b.byUnique, j.Unique)
		}
	}
	if c := b.functions[j.Function]; c.open > 1 {
		c.open--
	} else {
		delete(b.functions, j.Function)
	}
	b.bytes -= j.Size
	return b.DetachWaiters(j)
}

func (b *Index[W]) drop(j *Job[W], w W, n int) {
	delete(b.clients[w], j)
	if b.submitted[w] -= n; b.submitted[w] <= 0 {
		delete(b.submitted, w)
		delete(b.clients, w)
	}
}

// RemoveClient forgets a client and closes the jobs that no one is left to wait for, which it returns:
// they are given up. Background jobs go on; those that no one waits for any more it returns apart.
func (b *Index[W]) RemoveClient(w W) (givenUp, unwatched []*Job[W]) {
	for j, n := range b.clients[w] {
		delete(j.waiters, w)
		j.WaitingSubmissions -= n
		switch {
		case len(j.waiters) > 0:
		case j.Background:
			unwatched = append(unwatched, j)
		default:
			b.Close(j)
			givenUp = append(givenUp, j)
		}
	}
	delete(b.clients, w)
	delete(b.submitted, w)
	return givenUp, unwatched
}

// Counts is how many jobs of a function are open, and how many of these run.
func (b *Index[W]) Counts(function string) (open, running int) {
	if c := b.functions[function]; c != nil {
		return c.open, c.running
	}
	return 0, 0
}

// BackgroundCount is how many open jobs of a function go on without a waiter.
func (b *Index[W]) BackgroundCount(function string) int {
	if c := b.functions[function]; c != nil {
		return c.background
	}
	return 0
}

// Jobs returns up to so many open jobs, all where most is negative, in the order of their handles' lengths and texts, which
// is that of their numbers.
func (b *Index[W]) Jobs(most int) []*Job[W] {
	all := make([]*Job[W], 0, len(b.byHandle))
	for _, j := range b.byHandle {
		all = append(all, j)
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
	if most < 0 {
		return all
	}
	return all[:min(most, len(all))]
}
