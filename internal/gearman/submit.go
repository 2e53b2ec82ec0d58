package gearman

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/zeebo/blake3"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
	"tinroute.example/tinroute/internal/config"
	"tinroute.example/tinroute/internal/jobindex"
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
		c.MarkValidated()
	}
}

// refuse answers what is not served. A connection that brings nothing else is closed in the end.
func (c *client) refuse(code, text string) {
	c.bad++
	c.limitedLog.Report("packet not served", c.RemoteAddr(), code, "why", text)
	c.send(Response(Error, code, text))
}

// turnAway answers a good submission that finds no room: the client may come again.
func (c *client) turnAway(code string, why error) {
	c.limitedLog.Report("job not taken", c.RemoteAddr(), code, "why", why.Error())
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
	case j.unique == "" && c.core.Settings().Classes[f.Class].Idempotency == balance.Deduplicated:
		c.refuse(codeKey, "function "+j.function+" wants a unique id")
		return nil
	}
	if background && c.keeper == nil {
		if c.o.StoreErr != nil {
			c.turnAway(codeStore, jobstore.ErrUnavailable)
		} else {
			c.refuse(codeUnserved, "background jobs are not served: no job store is configured")
		}
		return nil
	}
	due := time.Time{}
	switch n {
	case 4:
		due, err = atEpoch(args[2], c.keeper.WallTime())
	case 8:
		due, err = atSchedule(args[2:7], c.keeper.WallTime())
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
	open := s.book.ByKey(j.function, j.unique) != nil
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
func (c *client) submitForeground(j *job, f config.FunctionDefaults) {
	stored := c.stored(j)
	c.mu.Lock()
	if err := c.book.CheckJoin(c); err != nil {
		c.mu.Unlock()
		c.turnAway(codeBusy, err)
		return
	}
	e := c.book.ByKey(j.function, j.unique)
	if e == nil && stored != nil {
		e = c.reopen(stored).entry
	}
	var promote *job // it waits for its next offer
	if e != nil {
		if o := e.Payload.(*job); o.unoffered() {
			promote = o
		}
	}
	var request *dispatch.Request
	if e == nil {
		if err := c.book.CheckOpen(j.function, len(j.data), c.waiting(j.function)); err != nil {
			c.mu.Unlock()
			c.turnAway(code(err), err)
			return
		}
		j.handle = c.newHandle()
		e = c.book.Open(j.handle, j.function, j.unique, len(j.data), false)
		e.Payload, j.entry = j, e
		request = c.request(j, f)
	}
	c.book.Join(e, c)
	c.owed++
	c.AddInFlight(1)
	c.send(Response(JobCreated, e.Handle)) // before any answer: both are handed over under the lock
	c.mu.Unlock()
	if request != nil {
		c.core.Submit(request)
	}
	if promote != nil {
		c.promote(promote)
	}
}

func code(err error) string {
	switch {
	case errors.Is(err, jobindex.ErrClientLimit):
		return codeBusy
	case errors.Is(err, jobstore.ErrUnavailable), errors.Is(err, jobstore.ErrClosed):
		return codeStore
	}
	return codeQueue
}

// request makes a job's next request. Its id is never one that a worker may still have
// an attempt of. s.mu is held.
func (s *Server) request(j *job, f config.FunctionDefaults) *dispatch.Request {
	j.offers++
	id := j.handle
	if j.offers > 1 {
		id += "#" + strconv.Itoa(j.offers)
	}
	j.request = &dispatch.Request{ID: id, Class: f.Class, Tenant: f.Tenant, Timeout: f.Deadline, WorkHint: f.Cost, Slots: 1, Payload: j}
	j.request.Client = &submission{j, j.request}
	return j.request
}
