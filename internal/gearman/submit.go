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

// maxUniqueBytes is the longest accepted unique ID, which is a key in the job store.
const maxUniqueBytes = 512

// handlePacket handles one packet from the client. Unsupported packets are answered with ERROR.
func (c *client) handlePacket(p *Packet) {
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
		c.markValid()
		c.send(Response(EchoRes, string(p.Body)))
	case OptionReq:
		if string(p.Body) != "exceptions" {
			c.rejectPacket(codeNotServed, fmt.Sprintf("option %.40q", p.Body))
			break
		}
		c.markValid()
		c.mu.Lock()
		c.wantsExceptions = true
		c.mu.Unlock()
		c.send(Response(OptionRes, "exceptions"))
	case GetStatus:
		c.markValid()
		c.sendStatus(string(p.Body))
	case GetStatusUnique:
		c.markValid()
		c.sendStatusUnique(string(p.Body))
	case SubmitReduce, SubmitReduceBG:
		c.rejectPacket(codeNotServed, "reducers are not served")
	default:
		c.rejectPacket(codeNotServed, fmt.Sprintf("packet type %d is not served", p.Type))
	}
	if err != nil {
		c.rejectPacket(codeMalformed, err.Error())
	}
}

// markValid records that the client sent a valid request.
func (c *client) markValid() {
	if c.rejectedInARow = 0; !c.textProtocol {
		c.MarkValidated()
	}
}

// rejectPacket answers a malformed or unsupported packet with ERROR. Too many of them in a row
// close the connection.
func (c *client) rejectPacket(code, text string) {
	c.rejectedInARow++
	c.limitedLog.Report("packet not served", c.RemoteAddr(), code, "why", text)
	c.send(Response(Error, code, text))
}

// rejectJob answers a valid submission that exceeds a limit, or that the job store cannot accept,
// with ERROR. It does not count towards closing the connection: the client may retry.
func (c *client) rejectJob(code string, err error) {
	c.limitedLog.Report("job rejected", c.RemoteAddr(), code, "why", err.Error())
	c.send(Response(Error, code, err.Error()))
}

// submit handles a job submission with argCount arguments. The function selects the class, and the
// unique ID is the idempotency key.
func (c *client) submit(p *Packet, argCount int, background bool) error {
	raw, err := p.Args(argCount)
	if err != nil {
		return err
	}
	args := make([]string, argCount)
	for i, a := range raw {
		args[i] = string(a)
	}
	j := &job{server: c.Server, sends: &sendLog{}, function: args[0], unique: args[1], data: args[argCount-1]}
	defaults, ok := c.config.Functions[j.function]
	c.mu.Lock()
	dropped := c.droppedFunctions[j.function]
	c.mu.Unlock()
	switch {
	case !ok || dropped:
		c.rejectPacket(codeUnknownFunction, fmt.Sprintf("no function %.40q", j.function))
		return nil
	case len(j.unique) > maxUniqueBytes:
		return fmt.Errorf("unique id over %d bytes", maxUniqueBytes)
	case j.unique == "-":
		sum := blake3.Sum256([]byte(j.data))
		j.unique = "-" + hex.EncodeToString(sum[:16])
	case j.unique == "" && c.core.Settings().Classes[defaults.Class].Idempotency == balance.Deduplicated:
		c.rejectPacket(codeUniqueMissing, "function "+j.function+" wants a unique id")
		return nil
	}
	if background && c.scheduler() == nil {
		if c.config.Store != nil { // it could not be opened yet
			c.rejectJob(codeStoreUnavailable, jobstore.ErrUnavailable)
		} else {
			c.rejectPacket(codeNotServed, "background jobs are not served: no job store is configured")
		}
		return nil
	}
	due := time.Time{}
	switch argCount {
	case 4:
		due, err = parseEpoch(args[2], c.scheduler().WallTime())
	case 8:
		due, err = nextScheduled(args[2:7], c.scheduler().WallTime())
	}
	if err != nil {
		return err
	}
	c.markValid()
	if background {
		c.submitBackground(j, due)
	} else {
		c.submitForeground(j, defaults)
	}
	return nil
}

// findStored returns the stored job with the function and unique ID of a submission, or nil if
// there is none or the job is open. It reads from disk.
func (s *Server) findStored(j *job) *jobstore.StoredJob {
	if s.scheduler() == nil || j.unique == "" {
		return nil
	}
	s.mu.Lock()
	open := s.index.ByKey(j.function, j.unique) != nil
	s.mu.Unlock()
	if open {
		return nil
	}
	if stored, err := s.scheduler().Store().ByUniqueID(j.function, j.unique); err == nil && stored.State.DeadReason == "" {
		return stored
	}
	return nil
}

// storedCount returns how many jobs of a function are in the job store.
func (s *Server) storedCount(function string) int {
	if s.scheduler() == nil {
		return 0
	}
	return s.scheduler().Store().FunctionCount(function)
}

// submitForeground accepts a job that the client waits for. If a job with the same function and
// unique ID is open, the client becomes another waiter of that job.
func (c *client) submitForeground(j *job, defaults config.FunctionDefaults) {
	stored := c.findStored(j)
	c.mu.Lock()
	if err := c.index.CheckJoin(c); err != nil {
		c.mu.Unlock()
		c.rejectJob(codeTooManyJobs, err)
		return
	}
	entry := c.index.ByKey(j.function, j.unique)
	if entry == nil && stored != nil {
		entry = c.reopenStored(stored).entry
	}
	var toPromote *job // a stored job that waits for its next offer
	if entry != nil {
		if existing := entry.Payload.(*job); existing.awaitsOffer() {
			toPromote = existing
		}
	}
	var request *dispatch.Request
	if entry == nil {
		if err := c.index.CheckOpen(j.function, len(j.data), c.storedCount(j.function)); err != nil {
			c.mu.Unlock()
			c.rejectJob(rejectionCode(err), err)
			return
		}
		c.inheritSends(j)
		j.handle = c.newHandle()
		entry = c.index.Open(j.handle, j.function, j.unique, len(j.data), false)
		entry.Payload, j.entry = j, entry
		request = c.newRequest(j, defaults)
		request.PriorAttempt = j.sends.priorAttempt(c.opts.Now())
	}
	c.index.Join(entry, c)
	c.unanswered++
	c.AddInFlight(1)
	c.send(Response(JobCreated, entry.Handle)) // under the lock, so that it precedes any answer
	c.mu.Unlock()
	if request != nil {
		c.core.Submit(request)
	}
	if toPromote != nil {
		c.promote(toPromote)
	}
}

// rejectionCode returns the ERROR code for a rejected submission.
func rejectionCode(err error) string {
	switch {
	case errors.Is(err, jobindex.ErrClientLimit):
		return codeTooManyJobs
	case errors.Is(err, jobstore.ErrUnavailable), errors.Is(err, jobstore.ErrClosed):
		return codeStoreUnavailable
	}
	return codeQueueFull
}

// newRequest creates the next request of a job. Each request of a job has its own ID, since a
// worker may still run an attempt of an earlier one. s.mu must be held.
func (s *Server) newRequest(j *job, defaults config.FunctionDefaults) *dispatch.Request {
	j.offers++
	id := j.handle
	if j.offers > 1 {
		id += "#" + strconv.Itoa(j.offers)
	}
	j.request = &dispatch.Request{ID: id, Class: defaults.Class, Tenant: defaults.Tenant, Timeout: defaults.Deadline,
		ExpectedWork: defaults.Cost, Slots: 1, Payload: j}
	j.request.Client = &submission{j, j.request}
	return j.request
}
