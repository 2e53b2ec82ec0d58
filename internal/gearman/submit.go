package gearman

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/blake3"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/jobbook"
	"tinroute.example/tinroute/internal/jobstore"
)

// maxUnique bounds a unique id, which is a key of the store.
const maxUnique = 512

// packet takes one packet from the client; what is not served gets an ERROR.
func (c *client) packet(p *Packet) {
	var err error
	switch p.Type {
	case SubmitJob, SubmitJobHigh, SubmitJobLow:
		err = c.submit(p, 3, false)
	case SubmitJobBG, SubmitJobHighBG, SubmitJobLowBG:
		err = c.submit(p, 3, true)
	case SubmitJobEpoch:
		err = c.submit(p, 4, true)
	case SubmitJobSched:
		err = c.submit(p, 8, true)
	case EchoReq:
		c.good()
		c.send(Response(EchoRes, string(p.Body)))
	case OptionReq:
		if string(p.Body) != "exceptions" {
			c.refuse(codeUnserved, fmt.Sprintf("option %.40q", p.Body))
			break
		}
		c.good()
		c.mu.Lock()
		c.exceptions = true
		c.mu.Unlock()
		c.send(Response(OptionRes, "exceptions"))
	case GetStatus:
		c.good()
		c.status(string(p.Body))
	case GetStatusUnique:
		c.good()
		c.statusUnique(string(p.Body))
	case SubmitReduce, SubmitReduceBG:
		c.refuse(codeUnserved, "reducers are not served")
	default:
		c.refuse(codeUnserved, fmt.Sprintf("packet type %d is not served", p.Type))
	}
	if err != nil {
		c.refuse(codeMalformed, err.Error())
	}
}

// good notes that the client has sent something that is served.
func (c *client) good() {
	if c.bad = 0; !c.text {
		c.Prove()
	}
}

// refuse answers what is not served. A connection that brings nothing else is closed in the end.
func (c *client) refuse(code, text string) {
	c.bad++
	c.complain.Complain("packet not served", c.RemoteAddr(), code, "why", text)
	c.send(Response(Error, code, text))
}

// turnAway answers a good submission that finds no room: the client may come again.
func (c *client) turnAway(code string, why error) {
	c.complain.Complain("job not taken", c.RemoteAddr(), code, "why", why.Error())
	c.send(Response(Error, code, why.Error()))
}

// submit takes a job. A function is a class, the unique id is the idempotency key.
func (c *client) submit(p *Packet, n int, background bool) error {
	raw, err := p.Args(n)
	if err != nil {
		return err
	}
	args := make([]string, n)
	for i, a := range raw {
		args[i] = string(a)
	}
	j := &job{server: c.Server, function: args[0], unique: args[1], data: args[n-1]}
	f, ok := c.file.Functions[j.function]
	c.mu.Lock()
	dropped := c.dropped[j.function]
	c.mu.Unlock()
	switch {
	case !ok || dropped:
		c.refuse(codeUnknown, fmt.Sprintf("no function %.40q", j.function))
		return nil
	case len(j.unique) > maxUnique:
		return fmt.Errorf("unique id over %d bytes", maxUnique)
	case j.unique == "-":
		sum := blake3.Sum256([]byte(j.data))
		j.unique = "-" + hex.EncodeToString(sum[:16])
	case j.unique == "" && c.core.Settings().Classes[f.Class].Effect == balance.Keyed:
		c.refuse(codeKey, "function "+j.function+" wants a unique id")
		return nil
	}
	if background && c.keeper == nil {
		if c.o.Down != nil {
			c.turnAway(codeStore, jobstore.ErrUnavailable)
		} else {
			c.refuse(codeUnserved, "background jobs are not served: no job store is configured")
		}
		return nil
	}
	due := time.Time{}
	switch n {
	case 4:
		due, err = atEpoch(args[2], c.keeper.Wall())
	case 8:
		due, err = atSchedule(args[2:7], c.keeper.Wall())
	}
	if err != nil {
		return err
	}
	c.good()
	if background {
		c.submitBackground(j, due)
	} else {
		c.submitForeground(j, f)
	}
	return nil
}

// stored returns the stored job that a submission is part of, where it is not open, or nil. It
// reads from disk.
func (s *Server) stored(j *job) *jobstore.Stored {
	if s.keeper == nil || j.unique == "" {
		return nil
	}
	s.mu.Lock()
	open := s.book.Find(j.function, j.unique) != nil
	s.mu.Unlock()
	if open {
		return nil
	}
	if o, err := s.keeper.Store().Unique(j.function, j.unique); err == nil && o.State.Dead == "" {
		return o
	}
	return nil
}

func (s *Server) waiting(function string) int {
	if s.keeper == nil {
		return 0
	}
	return s.keeper.Store().Function(function)
}

// submitForeground takes a job that the client waits for. One of a function and unique id that
// is open is the same job: this client becomes another of its waiters.
func (c *client) submitForeground(j *job, f config.Function) {
	stored := c.stored(j)
	c.mu.Lock()
	if err := c.book.MayWait(c); err != nil {
		c.mu.Unlock()
		c.turnAway(codeBusy, err)
		return
	}
	e := c.book.Find(j.function, j.unique)
	if e == nil && stored != nil {
		e = c.reopen(stored).entry
	}
	var promote *job // it waits for its next offer
	if e != nil {
		if o := e.Payload.(*job); o.unoffered() {
			promote = o
		}
	}
	var tx *dispatch.Transaction
	if e == nil {
		if err := c.book.MayOpen(j.function, len(j.data), c.waiting(j.function)); err != nil {
			c.mu.Unlock()
			c.turnAway(code(err), err)
			return
		}
		j.handle = c.newHandle()
		e = c.book.Open(j.handle, j.function, j.unique, len(j.data), false)
		e.Payload, j.entry = j, e
		tx = c.transaction(j, f)
	}
	c.book.Join(e, c)
	c.owed++
	c.Busy(1)
	c.send(Response(JobCreated, e.Handle)) // before any answer: both are handed over under the lock
	c.mu.Unlock()
	if tx != nil {
		c.core.Submit(tx)
	}
	if promote != nil {
		c.promote(promote)
	}
}

// unoffered tells whether a stored job is on disk and not with the core. s.mu is held.
func (j *job) unoffered() bool { return j.entry.Background && j.tx == nil && j.put == nil }

// promote has a stored job offered next, since a client waits for it. It may not be due by its own
// client's word, or be just being written down: whoever waits for it gets an answer within the
// function's deadline all the same, and at once if nothing is offered any more.
func (s *Server) promote(j *job) {
	late := func(reason string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if j.unoffered() && s.book.Handle(j.handle) == j.entry {
			s.fail(j, reason)
			s.rest(j)
		}
	}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		late(ending)
		return
	}
	s.keeper.Promote(j.number(), j.handle)
	time.AfterFunc(s.file.Functions[j.function].Deadline, func() { late("its time has not come") })
}

// ending is what those are told who wait for a stored job when the process ends.
const ending = "the dispatcher is ending; the job stays stored"

// failUnoffered tells those who wait for stored jobs that are not with the core that they wait in vain. s.mu
// is held.
func (s *Server) failUnoffered() {
	for _, e := range s.book.Jobs(-1) {
		if j := e.Payload.(*job); j.unoffered() {
			s.fail(j, ending)
			s.rest(j)
		}
	}
}

func code(err error) string {
	switch {
	case errors.Is(err, jobbook.ErrClient):
		return codeBusy
	case errors.Is(err, jobstore.ErrUnavailable), errors.Is(err, jobstore.ErrClosed):
		return codeStore
	}
	return codeQueue
}

// transaction makes a job's next transaction. Its id is never one that a region may still have
// a task of. s.mu is held.
func (s *Server) transaction(j *job, f config.Function) *dispatch.Transaction {
	j.offers++
	id := j.handle
	if j.offers > 1 {
		id += "#" + strconv.Itoa(j.offers)
	}
	j.tx = &dispatch.Transaction{ID: id, Class: f.Class, Tenant: f.Tenant, Patience: f.Deadline, Hint: f.Cost, Slots: 1, Payload: j}
	j.tx.Terminal = &terminal{j, j.tx}
	return j.tx
}

// submitBackground takes a job that no one waits for. JOB_CREATED is written once it is on disk.
func (c *client) submitBackground(j *job, due time.Time) {
	reply := func(handle string) func(error) {
		return func(err error) {
			if err != nil {
				c.turnAway(code(err), err)
			} else {
				c.send(Response(JobCreated, handle))
			}
			c.Busy(-1)
		}
	}
	c.Busy(1) // a drain leaves the connection open until this is answered
	if o := c.stored(j); o != nil {
		reply(o.Job.Handle)(nil)
		return
	}
	c.mu.Lock()
	if e := c.book.Find(j.function, j.unique); e != nil {
		o := e.Payload.(*job)
		switch {
		case o.put != nil: // on its way to the disk: they share its fate
			o.put = append(o.put, reply(e.Handle))
			c.mu.Unlock()
		case e.Background:
			c.mu.Unlock()
			reply(e.Handle)(nil)
		default: // a client waits for it; from now on it goes on without one
			c.store(o, due, reply(e.Handle))
		}
		return
	}
	err := c.book.MayOpen(j.function, len(j.data), c.waiting(j.function))
	if err == nil {
		err = c.keeper.Admit(len(j.data))
	}
	if err != nil {
		c.mu.Unlock()
		reply("")(err)
		return
	}
	j.handle = c.newHandle()
	j.entry = c.book.Open(j.handle, j.function, j.unique, len(j.data), false)
	j.entry.Payload = j
	c.store(j, due, reply(j.handle))
}

// store puts a job on disk. It is called with s.mu held and gives it up: the store's queue may
// have to be waited for.
func (s *Server) store(j *job, due time.Time, reply func(error)) {
	s.book.SetBackground(j.entry, true)
	j.put = []func(error){reply}
	offered := j.tx != nil
	id := s.keeper.Number()
	st := j.state(id)
	s.mu.Unlock()
	now := s.keeper.Now()
	rec := &jobstore.Job{ID: id, Handle: j.handle, Function: j.function, Unique: j.unique, Data: []byte(j.data), Accepted: now}
	if st.Due = now; !due.IsZero() && !offered {
		rec.Timed, st.Timed, st.Due = true, true, time.Duration(due.UnixNano())
	}
	s.keeper.Accept(rec, st, offered, func(err error) { s.put(j, err) })
}

// put takes word that a job is on disk, or could not be brought there.
func (s *Server) put(j *job, err error) {
	s.mu.Lock()
	replies := j.put
	j.put = nil
	var tx *dispatch.Transaction
	switch {
	case err == nil:
	case j.entry.Waiting == 0: // no one but the submitters knew of it
		s.book.Close(j.entry)
		tx, j.tx = j.tx, nil
	default: // clients wait for it: it is theirs alone again
		s.book.SetBackground(j.entry, false)
		j.mu.Lock()
		j.id = 0
		j.mu.Unlock()
	}
	resubmit := err != nil && j.entry.Waiting > 0 && j.tx == nil
	if resubmit {
		tx = s.transaction(j, s.file.Functions[j.function])
	}
	promote := err == nil && j.entry.Waiting > 0 && j.unoffered()
	s.rest(j)
	s.mu.Unlock()
	for _, r := range replies {
		r(err)
	}
	switch {
	case resubmit:
		s.core.Submit(tx)
	case tx != nil:
		s.core.Leave(tx)
	case promote:
		s.promote(j)
	}
}

// rest closes the book on a stored job that nobody waits for until it is offered: a million of
// them must not be held in memory. s.mu is held.
func (s *Server) rest(j *job) {
	if j.entry.Background && j.tx == nil && j.put == nil && j.entry.Waiting == 0 {
		s.book.Close(j.entry)
	}
}

// terminal is the job's side of one of its transactions.
type terminal struct {
	*job
	tx *dispatch.Transaction
}

// Answer gives the one final answer to all who wait. A background job that was not served goes
// on without them, as recovery decides.
func (t *terminal) Answer(a dispatch.Answer) {
	s, j := t.server, t.job
	s.mu.Lock()
	if j.tx != t.tx { // it was given up
		s.mu.Unlock()
		return
	}
	j.tx = nil
	var once sync.Once
	d := delivery{final: true, told: func(whole bool) { once.Do(func() { s.core.Written(t.tx, whole) }) }}
	d.plain, d.full = j.answer(a)
	background := j.entry.Background
	if background && a.Verdict != dispatch.Served {
		d.to = s.book.Detach(j.entry)
		s.book.Rest(j.entry)
		s.rest(j)
	} else {
		d.to = s.book.Close(j.entry)
	}
	if len(d.to) == 0 { // no one is written to, and observers wait for no one
		d.told(true)
	}
	s.deliver(d)
	s.mu.Unlock()
	if background {
		s.keeper.Ended(j.number(), ends(a), a.RetryAfter)
	}
}

// answer words a final answer, without and with the option exceptions. A client with it is told
// the reason by WORK_EXCEPTION, and by WORK_FAIL that this was all, as gearmand does.
func (j *job) answer(a dispatch.Answer) (plain, full []byte) {
	if a.Verdict == dispatch.Served {
		err := eachPart(a.Result, func(t Type, data []byte) { plain = append(plain, Response(t, j.handle, string(data))...) })
		if err == nil {
			return plain, plain
		}
		j.server.log.Error("result cut short", "handle", j.handle, "err", err)
	}
	plain = Response(WorkFail, j.handle)
	reason := ""
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case a.Verdict == dispatch.Refused:
		if reason = "refused: " + a.Reason; a.RetryAfter > 0 {
			reason += fmt.Sprintf("; retry after %.3f s", a.RetryAfter.Seconds())
		}
	case j.exception != nil:
		reason = string(j.exception)
	default:
		return plain, plain
	}
	return plain, append(Response(WorkException, j.handle, reason), plain...)
}

// Progress passes a region's progress on.
func (t *terminal) Progress(share float64) {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.job.tx != t.tx || !s.book.Progress(t.entry, share) {
		return
	}
	d := delivery{to: map[*client]int{}}
	d.plain = Response(WorkStatus, t.handle, percent(share), "100")
	d.full = d.plain
	t.entry.Each(func(c *client) {
		if len(c.out) < cap(c.out)/4 { // none that the client is too slow to read
			d.to[c]++
		}
	})
	s.deliver(d)
}

func (c *client) status(handle string) {
	c.mu.Lock()
	known, running, share := "0", "0", 0.0
	e := c.book.Handle(handle)
	if e != nil {
		if known, share = "1", e.Share; e.Running {
			running = "1"
		}
	}
	c.mu.Unlock()
	if e == nil && c.keeper != nil {
		if o, err := c.keeper.Store().Handle(handle); err == nil && o.State.Dead == "" {
			known = "1"
		}
	}
	c.send(Response(StatusRes, handle, known, running, percent(share), "100"))
}

func (c *client) statusUnique(unique string) {
	c.mu.Lock()
	known, running, share, waiting := "0", "0", 0.0, 0
	e := c.book.Unique(unique)
	if e != nil {
		if known, share, waiting = "1", e.Share, e.Waiting; e.Running {
			running = "1"
		}
	}
	c.mu.Unlock()
	if e == nil && c.keeper != nil {
		for function := range c.file.Functions {
			if o, err := c.keeper.Store().Unique(function, unique); err == nil && o.State.Dead == "" {
				known = "1"
			}
		}
	}
	c.send(Response(StatusResUnique, unique, known, running, percent(share), "100", strconv.Itoa(waiting)))
}

func percent(share float64) string { return strconv.Itoa(int(100 * min(max(share, 0), 1))) }
