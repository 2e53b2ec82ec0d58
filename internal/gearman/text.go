package gearman

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/jobstore"
)

// The text protocol of administration, by gearman.org's protocol page; its errors are worded as
// gearmand words them. A list ends with a line of one dot.
const (
	textOK         = "OK\r\n"
	textEnd        = ".\r\n"
	errArgs        = "ERR INVALID_ARGUMENTS An+incomplete+set+of+arguments+was+sent+to+this+command+%s\r\n"
	errCommand     = "ERR UNKNOWN_COMMAND Unknown+server+command%s\r\n"
	errShow        = "ERR UNKNOWN_SHOW_ARGUMENTS\r\n"
	errJob         = "ERR UNKNOWN_JOB\r\n"
	errCreate      = "ERR CREATE_FUNCTION %s\r\n"
	errNoFunction  = "ERR function+not+found\r\n"
	errInUse       = "ERR there+are+still+connected+workers+or+executing+clients\r\n"
	errForbidden   = "ERR NOT_ALLOWED The+settings+do+not+allow+this+command\r\n"
	errNoStore     = "ERR NO_STORE No+job+store+is+configured\r\n"
	errTooLong     = "ERR LINE_TOO_LONG A+line+is+1024+bytes+at+most\r\n"
	errStoreFailed = "ERR STORE %s\r\n"

	// listMost bounds the lines of a list; a line in place of the rest says how many there are.
	listMost = 10_000
	// versionText is what `version` tells.
	versionText = "tinroute-1"
)

// command answers one line of the text protocol. A connection that brings nothing but errors is
// closed in the end.
func (c *client) command(line string) {
	f := strings.Fields(line)
	if len(f) == 0 {
		f = []string{""}
	}
	before := c.bad
	c.MarkValidated()
	c.bad = 0
	answer := c.answerTo(f)
	if strings.HasPrefix(answer, "ERR") {
		c.bad = before + 1
		c.limitedLog.Report("command not served", c.RemoteAddr(), strings.Fields(answer)[1])
	}
	c.send([]byte(answer))
}

func (c *client) answerTo(f []string) string {
	arg := func(n int) string {
		if n < len(f) {
			return f[n]
		}
		return ""
	}
	switch f[0] + " " + arg(1) {
	case "show jobs":
		return c.showJobs(false)
	case "show unique":
		if arg(2) == "jobs" {
			return c.showJobs(true)
		}
		return errShow
	case "show dead":
		return c.showDead()
	case "cancel job":
		if len(f) < 3 {
			return fmt.Sprintf(errArgs, "cancel+job")
		}
		return storeAnswer(c.cancel(f[2]))
	case "create function":
		return c.create(arg(2))
	case "drop function":
		return c.drop(arg(2))
	case "release job":
		return c.release(arg(2))
	case "store compact":
		return c.compact()
	}
	switch f[0] {
	case "status":
		return c.functionStatus()
	case "workers":
		return c.workers()
	case "version":
		return "OK " + versionText + "\r\n"
	case "getpid":
		return fmt.Sprintf("OK %d\r\n", os.Getpid())
	case "verbose":
		return "OK ERROR\r\n" // what is logged is not the text protocol's to change
	case "maxqueue":
		return c.maxqueue(f)
	case "show":
		return errShow
	case "cancel", "create", "drop", "release":
		return fmt.Sprintf(errArgs, f[0])
	case "store":
		return c.storeStatus()
	case "shutdown":
		return c.shutdown(f)
	}
	return fmt.Sprintf(errCommand, "+"+oneLine(strings.ToValidUTF8(fmt.Sprintf("%.40s", f[0]), "?")))
}

// compact makes the job store's file small.
func (c *client) compact() string {
	if c.keeper == nil {
		return errNoStore
	}
	done := make(chan error, 1)
	c.keeper.Store().Compact(func(err error) { done <- err })
	if err := <-done; err != nil {
		return fmt.Sprintf(errStoreFailed, plus(err))
	}
	return textOK
}

// shutdown ends the process in order, where the file allows it. Both kinds drain: a job that was taken
// is owed its answer.
func (c *client) shutdown(f []string) string {
	if !c.file.AllowShutdown || c.o.Shutdown == nil {
		return errForbidden
	}
	if len(f) > 1 && f[1] != "graceful" {
		return fmt.Sprintf(errArgs, "shutdown")
	}
	time.AfterFunc(10*time.Millisecond, c.o.Shutdown) // the answer goes first
	return textOK
}

func (s *Server) functionNames() []string {
	var names []string
	for name := range s.file.Functions {
		if !s.dropped[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// functionStatus tells of each function its jobs, how many of them run, and its workers.
func (s *Server) functionStatus() string {
	workers := len(s.o.Workers())
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &strings.Builder{}
	for _, name := range s.functionNames() {
		open, running := s.book.Counts(name)
		fmt.Fprintf(b, "%s\t%d\t%d\t%d\r\n", name, open+max(0, s.waiting(name)-s.book.BackgroundCount(name)), running, workers)
	}
	return b.String() + textEnd
}

// workers lists the workers: each serves every function.
func (s *Server) workers() string {
	workers := s.o.Workers()
	s.mu.Lock()
	functions := strings.Join(s.functionNames(), " ")
	s.mu.Unlock()
	slices.SortFunc(workers, func(x, y dispatch.Worker) int { return cmp.Compare(x.Name, y.Name) })
	b := &strings.Builder{}
	for i, r := range workers {
		if i >= listMost {
			break
		}
		fmt.Fprintf(b, "%d %s %s : %s\r\n", i, r.Addr, r.Name, functions)
	}
	return b.String() + textEnd
}

// showJobs lists the open jobs, then stored ones: handle, retries, whether it is ignored, and
// whether it is queued; or only the unique ids.
func (s *Server) showJobs(unique bool) string {
	b := &strings.Builder{}
	left := listMost
	seen := map[string]bool{}
	line := func(handle, id string, retries int, queued bool) {
		seen[handle] = true
		left--
		if unique {
			fmt.Fprintf(b, "%s\r\n", oneLine(id))
			return
		}
		fmt.Fprintf(b, "%s\t%d\t0\t%d\r\n", handle, retries, map[bool]int{true: 1}[queued])
	}
	s.mu.Lock()
	for _, e := range s.book.Jobs(listMost) {
		j := e.Payload.(*job)
		line(e.Handle, j.unique, max(0, j.offers-1), !e.Running)
	}
	s.mu.Unlock()
	if s.keeper != nil && left > 0 {
		_ = s.keeper.Store().List(false, left, func(o *jobstore.Stored) {
			if !seen[o.Job.Handle] && left > 0 {
				line(o.Job.Handle, o.Job.Unique, o.State.Offers, true)
			}
		})
	}
	return b.String() + textEnd
}

// showDead lists the dead letters: handle, function, unique id, why, when, sends, and the worker
// that may have run it.
func (s *Server) showDead() string {
	if s.keeper == nil {
		return errNoStore
	}
	b := &strings.Builder{}
	err := s.keeper.Store().List(true, listMost, func(o *jobstore.Stored) {
		at, worker := time.Unix(0, int64(o.State.Since)).UTC().Format(time.RFC3339), "-"
		if o.State.First != nil {
			worker = o.State.First.Region
		}
		fmt.Fprintf(b, "%s\t%s\t%s\t%s\t%s\t%d\t%s\r\n", o.Job.Handle, o.Job.Function, oneLine(o.Job.Unique), o.State.Dead, at,
			o.State.Sends, worker)
	})
	if err != nil {
		return fmt.Sprintf(errStoreFailed, plus(err))
	}
	return b.String() + textEnd
}

// release gives a dead letter, or all, its life back.
func (s *Server) release(handle string) string {
	switch {
	case s.keeper == nil:
		return errNoStore
	case handle == "":
		return fmt.Sprintf(errArgs, "release")
	case handle == "all":
		n, err := s.keeper.ReleaseAll()
		if err != nil {
			return fmt.Sprintf(errStoreFailed, plus(err))
		}
		return fmt.Sprintf("OK %d\r\n", n)
	}
	return storeAnswer(s.keeper.Release(handle))
}

// storeAnswer words what came of a change of one job. One that is not on disk has not happened.
func storeAnswer(err error) string {
	switch {
	case errors.Is(err, jobstore.ErrUnknown):
		return errJob
	case err != nil:
		return fmt.Sprintf(errStoreFailed, plus(err))
	}
	return textOK
}

// storeStatus tells how the job store is, a figure a line.
func (s *Server) storeStatus() string {
	if s.keeper == nil {
		return errNoStore
	}
	c, k := s.keeper.Store().Counts(), s.keeper.Counts()
	state := "well"
	if err := s.keeper.Admit(0); err != nil {
		state = plus(err)
	}
	return fmt.Sprintf("state\t%s\r\njobs\t%d\r\ndead\t%d\r\ndamaged\t%d\r\nbytes\t%d\r\nfile\t%d\r\nfree\t%d\r\ncommits\t%d\r\nwrites\t%d\r\n"+
		"offered\t%d\r\nserved\t%d\r\nretried\t%d\r\nburied\t%d\r\nwindow\t%d\r\ncuts\t%d\r\n",
		state, c.Jobs, c.Dead, c.Damaged, c.Bytes, c.File, c.Free, c.Commits, c.Writes,
		k.Offered, k.Served, k.Retried, k.DeadLettered, k.Window, k.Cuts) + textEnd
}

// maxqueue bounds a function's jobs. gearmand takes a bound for each priority; the first counts,
// since there is one queue.
func (s *Server) maxqueue(f []string) string {
	if len(f) < 2 {
		return fmt.Sprintf(errArgs, "maxqueue")
	}
	n := 0
	if len(f) > 2 {
		var err error
		if n, err = strconv.Atoi(f[2]); err != nil {
			return fmt.Sprintf(errArgs, "maxqueue")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.file.Functions[f[1]]; !ok {
		return errNoFunction
	}
	s.book.SetMaxQueue(f[1], max(0, n))
	return textOK
}

// create takes a dropped function up again. A function is a class of the settings: no other can
// be made.
func (s *Server) create(name string) string {
	if name == "" {
		return fmt.Sprintf(errArgs, "create+function")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.file.Functions[name]; !ok {
		return fmt.Sprintf(errCreate, plus(errors.New(oneLine(name))))
	}
	delete(s.dropped, name)
	return textOK
}

// drop makes a function that has no jobs take none until it is created again.
func (s *Server) drop(name string) string {
	if name == "" {
		return fmt.Sprintf(errArgs, "drop+function")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.file.Functions[name]; !ok || s.dropped[name] {
		return errNoFunction
	}
	if open, _ := s.book.Counts(name); open > 0 || s.waiting(name) > 0 {
		return errInUse
	}
	s.dropped[name] = true
	return textOK
}

// plus words an error as the text protocol does: one word, with + for blanks.
func plus(err error) string { return strings.Join(strings.Fields(oneLine(err.Error())), "+") }

// oneLine keeps a client's text from breaking the list that it stands in.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
