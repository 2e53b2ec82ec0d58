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

// Responses of the administrative text protocol, as described on the protocol page of gearman.org.
// Errors have the wording of gearmand. A list ends with a line that holds a single dot.
const (
	textOK              = "OK\r\n"
	textEnd             = ".\r\n"
	errInvalidArguments = "ERR INVALID_ARGUMENTS An+incomplete+set+of+arguments+was+sent+to+this+command+%s\r\n"
	errUnknownCommand   = "ERR UNKNOWN_COMMAND Unknown+server+command%s\r\n"
	errUnknownShow      = "ERR UNKNOWN_SHOW_ARGUMENTS\r\n"
	errUnknownJob       = "ERR UNKNOWN_JOB\r\n"
	errCreateFunction   = "ERR CREATE_FUNCTION %s\r\n"
	errNoFunction       = "ERR function+not+found\r\n"
	errFunctionInUse    = "ERR there+are+still+connected+workers+or+executing+clients\r\n"
	errForbidden        = "ERR NOT_ALLOWED The+settings+do+not+allow+this+command\r\n"
	errNoStore          = "ERR NO_STORE No+job+store+is+configured\r\n"
	errStoreNotOpen     = "ERR NO_STORE The+job+store+is+not+open+yet\r\n"
	errTextLineTooLong  = "ERR LINE_TOO_LONG A+line+is+1024+bytes+at+most\r\n"
	errStore            = "ERR STORE %s\r\n"

	// maxListLines is the most lines in a list.
	maxListLines = 10_000
	// versionText is the answer to the version command.
	versionText = "tinroute-1"
)

// handleCommand handles one line of the text protocol. Too many errors in a row close the
// connection.
func (c *client) handleCommand(line string) {
	words := strings.Fields(line)
	if len(words) == 0 {
		words = []string{""}
	}
	before := c.rejectedInARow
	c.MarkValidated()
	c.rejectedInARow = 0
	answer := c.runCommand(words)
	if strings.HasPrefix(answer, "ERR") {
		c.rejectedInARow = before + 1
		c.limitedLog.Report("command not served", c.RemoteAddr(), strings.Fields(answer)[1])
	}
	c.send([]byte(answer))
}

// runCommand runs a command and returns the response.
func (c *client) runCommand(words []string) string {
	arg := func(n int) string {
		if n < len(words) {
			return words[n]
		}
		return ""
	}
	switch words[0] + " " + arg(1) {
	case "show jobs":
		return c.listJobs(false)
	case "show unique":
		if arg(2) == "jobs" {
			return c.listJobs(true)
		}
		return errUnknownShow
	case "show dead":
		return c.listDeadLetters()
	case "cancel job":
		if len(words) < 3 {
			return fmt.Sprintf(errInvalidArguments, "cancel+job")
		}
		return storeResponse(c.cancel(words[2]))
	case "create function":
		return c.createFunction(arg(2))
	case "drop function":
		return c.dropFunction(arg(2))
	case "release job":
		return c.releaseJob(arg(2))
	case "store compact":
		return c.compactStore()
	}
	switch words[0] {
	case "status":
		return c.listFunctions()
	case "workers":
		return c.listWorkers()
	case "version":
		return "OK " + versionText + "\r\n"
	case "getpid":
		return fmt.Sprintf("OK %d\r\n", os.Getpid())
	case "verbose":
		return "OK ERROR\r\n" // the log level cannot be changed by this protocol
	case "maxqueue":
		return c.setMaxQueue(words)
	case "show":
		return errUnknownShow
	case "cancel", "create", "drop", "release":
		return fmt.Sprintf(errInvalidArguments, words[0])
	case "store":
		return c.storeStatus()
	case "shutdown":
		return c.shutdown(words)
	}
	return fmt.Sprintf(errUnknownCommand, "+"+replaceControls(strings.ToValidUTF8(fmt.Sprintf("%.40s", words[0]), "?")))
}

// noStoreError returns the response to a command that needs the job store, while there is none.
func (s *Server) noStoreError() string {
	if s.config.Store != nil {
		return errStoreNotOpen
	}
	return errNoStore
}

// compactStore compacts the job store's file.
func (c *client) compactStore() string {
	if c.scheduler() == nil {
		return c.noStoreError()
	}
	done := make(chan error, 1)
	c.scheduler().Store().Compact(func(err error) { done <- err })
	if err := <-done; err != nil {
		return fmt.Sprintf(errStore, plusEncoded(err))
	}
	return textOK
}

// shutdown shuts the process down, if the settings allow it. With and without "graceful" the
// process drains, since every accepted job must be answered.
func (c *client) shutdown(words []string) string {
	if !c.config.AllowShutdown || c.opts.Shutdown == nil {
		return errForbidden
	}
	if len(words) > 1 && words[1] != "graceful" {
		return fmt.Sprintf(errInvalidArguments, "shutdown")
	}
	time.AfterFunc(10*time.Millisecond, c.opts.Shutdown) // after the answer is written
	return textOK
}

// functionNames returns the sorted names of the functions that accept jobs. s.mu must be held.
func (s *Server) functionNames() []string {
	var names []string
	for name := range s.config.Functions {
		if !s.droppedFunctions[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// listFunctions lists the functions: name, jobs, running jobs and workers.
func (s *Server) listFunctions() string {
	workers := len(s.opts.Workers())
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &strings.Builder{}
	for _, name := range s.functionNames() {
		open, running := s.index.Counts(name)
		fmt.Fprintf(b, "%s\t%d\t%d\t%d\r\n", name, open+max(0, s.storedCount(name)-s.index.BackgroundCount(name)), running, workers)
	}
	return b.String() + textEnd
}

// listWorkers lists the workers. Each of them serves every function.
func (s *Server) listWorkers() string {
	workers := s.opts.Workers()
	s.mu.Lock()
	functions := strings.Join(s.functionNames(), " ")
	s.mu.Unlock()
	slices.SortFunc(workers, func(x, y dispatch.Worker) int { return cmp.Compare(x.Name, y.Name) })
	b := &strings.Builder{}
	for i, worker := range workers {
		if i >= maxListLines {
			break
		}
		fmt.Fprintf(b, "%d %s %s : %s\r\n", i, worker.Addr, worker.Name, functions)
	}
	return b.String() + textEnd
}

// listJobs lists the open jobs, then the stored ones: handle, retries, 0 for "not ignored", and
// whether the job is queued. With unique it lists only the unique IDs.
func (s *Server) listJobs(unique bool) string {
	b := &strings.Builder{}
	remaining := maxListLines
	seen := map[string]bool{}
	line := func(handle, id string, retries int, queued bool) {
		seen[handle] = true
		remaining--
		if unique {
			fmt.Fprintf(b, "%s\r\n", replaceControls(id))
			return
		}
		fmt.Fprintf(b, "%s\t%d\t0\t%d\r\n", handle, retries, map[bool]int{true: 1}[queued])
	}
	s.mu.Lock()
	for _, entry := range s.index.Jobs(maxListLines) {
		j := entry.Payload.(*job)
		line(entry.Handle, j.unique, max(0, j.offers-1), !entry.Running)
	}
	s.mu.Unlock()
	if s.scheduler() != nil && remaining > 0 {
		_ = s.scheduler().Store().List(false, remaining, func(stored *jobstore.StoredJob) {
			if !seen[stored.Job.Handle] && remaining > 0 {
				line(stored.Job.Handle, stored.Job.UniqueID, stored.State.Offers, true)
			}
		})
	}
	return b.String() + textEnd
}

// listDeadLetters lists the dead letters: handle, function, unique ID, reason, time, number of
// sends, and the worker of the first send that may have run.
func (s *Server) listDeadLetters() string {
	if s.scheduler() == nil {
		return s.noStoreError()
	}
	b := &strings.Builder{}
	err := s.scheduler().Store().List(true, maxListLines, func(stored *jobstore.StoredJob) {
		at, worker := time.Unix(0, int64(stored.State.DeadSince)).UTC().Format(time.RFC3339), "-"
		if stored.State.FirstSend != nil {
			worker = stored.State.FirstSend.WorkerName
		}
		fmt.Fprintf(b, "%s\t%s\t%s\t%s\t%s\t%d\t%s\r\n", stored.Job.Handle, stored.Job.Function, replaceControls(stored.Job.UniqueID),
			stored.State.DeadReason, at, stored.State.Sends, worker)
	})
	if err != nil {
		return fmt.Sprintf(errStore, plusEncoded(err))
	}
	return b.String() + textEnd
}

// releaseJob puts one dead letter, or all of them, back into the queue.
func (s *Server) releaseJob(handle string) string {
	switch {
	case s.scheduler() == nil:
		return s.noStoreError()
	case handle == "":
		return fmt.Sprintf(errInvalidArguments, "release")
	case handle == "all":
		n, err := s.scheduler().ReleaseAll()
		if err != nil {
			return fmt.Sprintf(errStore, plusEncoded(err))
		}
		return fmt.Sprintf("OK %d\r\n", n)
	}
	return storeResponse(s.scheduler().Release(handle))
}

// storeResponse returns the response to a change of one stored job. After an error the change is
// not on disk and has not taken effect.
func storeResponse(err error) string {
	switch {
	case errors.Is(err, jobstore.ErrNotFound):
		return errUnknownJob
	case err != nil:
		return fmt.Sprintf(errStore, plusEncoded(err))
	}
	return textOK
}

// storeStatus lists the state of the job store, one value a line.
func (s *Server) storeStatus() string {
	if s.scheduler() == nil {
		return s.noStoreError()
	}
	storeCounts, totals := s.scheduler().Store().Counts(), s.scheduler().Counts()
	state := "well"
	if err := s.scheduler().Admit(0); err != nil {
		state = plusEncoded(err)
	}
	return fmt.Sprintf("state\t%s\r\njobs\t%d\r\ndead\t%d\r\ndamaged\t%d\r\nbytes\t%d\r\nfile\t%d\r\nfree\t%d\r\ncommits\t%d\r\nwrites\t%d\r\n"+
		"offered\t%d\r\nserved\t%d\r\nretried\t%d\r\nburied\t%d\r\nwindow\t%d\r\ncuts\t%d\r\n",
		state, storeCounts.Jobs, storeCounts.Dead, storeCounts.Damaged, storeCounts.DataBytes,
		storeCounts.FileBytes, storeCounts.FreeBytes, storeCounts.Commits, storeCounts.Writes,
		totals.Offered, totals.Served, totals.Retried, totals.DeadLettered, totals.Window, totals.Cuts) + textEnd
}

// setMaxQueue limits the open jobs of a function. In gearmand the command has a limit for each
// priority; here only the first one applies, since there is one queue.
func (s *Server) setMaxQueue(words []string) string {
	if len(words) < 2 {
		return fmt.Sprintf(errInvalidArguments, "maxqueue")
	}
	n := 0
	if len(words) > 2 {
		var err error
		if n, err = strconv.Atoi(words[2]); err != nil {
			return fmt.Sprintf(errInvalidArguments, "maxqueue")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.config.Functions[words[1]]; !ok {
		return errNoFunction
	}
	s.index.SetMaxQueue(words[1], max(0, n))
	return textOK
}

// createFunction makes a dropped function accept jobs again. Functions are defined in the settings,
// so no others can be created.
func (s *Server) createFunction(name string) string {
	if name == "" {
		return fmt.Sprintf(errInvalidArguments, "create+function")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.config.Functions[name]; !ok {
		return fmt.Sprintf(errCreateFunction, plusEncoded(errors.New(replaceControls(name))))
	}
	delete(s.droppedFunctions, name)
	return textOK
}

// dropFunction makes a function without jobs reject jobs until it is created again.
func (s *Server) dropFunction(name string) string {
	if name == "" {
		return fmt.Sprintf(errInvalidArguments, "drop+function")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.config.Functions[name]; !ok || s.droppedFunctions[name] {
		return errNoFunction
	}
	if open, _ := s.index.Counts(name); open > 0 || s.storedCount(name) > 0 {
		return errFunctionInUse
	}
	s.droppedFunctions[name] = true
	return textOK
}

// plusEncoded returns an error's text as one word, with + for spaces as in gearmand's error texts.
func plusEncoded(err error) string {
	return strings.Join(strings.Fields(replaceControls(err.Error())), "+")
}

// replaceControls replaces control characters in text from a client, which could break up a list.
func replaceControls(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
