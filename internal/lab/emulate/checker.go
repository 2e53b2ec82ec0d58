package emulate

import (
	"fmt"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

// drainGrace is how long a dispatcher may still send to a node after it has learned that the node drains.
const drainGrace = time.Second

// maxViolations limits how many violations a result lists.
const maxViolations = 20

// checker verifies rules against the true state of the simulation: each request gets exactly one answer in time, no
// attempt is repeated against the idempotency of its class, no job is sent to a draining node, no cold node is
// overloaded, and only requests that never ran are refused.
type checker struct {
	sim           *Simulation
	attempts      map[string][]sentAttempt    // by request ID
	requests      map[int]float64             // by class
	inTime        map[int]float64             // served in time, by class
	drainingSince map[[2]uint64]time.Duration // by dispatcher and node: when the dispatcher learned of the drain
	knownStarts   map[[2]uint64]time.Duration // by dispatcher and node: the start time that the dispatcher knows
}

// knowsStart reports whether a dispatcher knows of the node's latest start.
func (c *checker) knowsStart(d *dispatcher, n *node) bool {
	return c.knownStarts[[2]uint64{uint64(d.index), uint64(n.id)}] == n.started
}

// sentAttempt is an attempt that a dispatcher sent to a node.
type sentAttempt struct {
	at        time.Duration
	node      *node
	execution *execution
	neverRan  bool // its status proves that it had no effect
	ended     bool
	ran       bool // started at its node
}

// violation records that a rule was broken.
func (c *checker) violation(format string, a ...any) {
	if len(c.sim.result.Violations) < maxViolations {
		c.sim.result.Violations = append(c.sim.result.Violations, fmt.Sprintf("%v: ", c.sim.now-epoch)+fmt.Sprintf(format, a...))
	}
}

func (c *checker) countRequest(class int) {
	if c.requests == nil {
		c.requests, c.inTime = map[int]float64{}, map[int]float64{}
	}
	c.requests[class]++
}

func (c *checker) membersUpdated(d *dispatcher, list []dispatch.Worker) {
	if c.drainingSince == nil {
		c.drainingSince, c.knownStarts = map[[2]uint64]time.Duration{}, map[[2]uint64]time.Duration{}
	}
	for _, worker := range list {
		key := [2]uint64{uint64(d.index), uint64(worker.ID)}
		c.knownStarts[key] = worker.StartedAt
		if _, known := c.drainingSince[key]; worker.State == balance.Serving {
			delete(c.drainingSince, key)
		} else if !known {
			c.drainingSince[key] = c.sim.now
		}
	}
}

func (c *checker) attemptSent(d *dispatcher, n *node, exec *execution) {
	id, class := exec.attempt.Request.ID, c.sim.scenario.Classes[exec.request.class].Class
	if since, ok := c.drainingSince[[2]uint64{uint64(d.index), uint64(n.id)}]; ok && c.sim.now > since+drainGrace {
		c.violation("%s was sent to %s, told to drain since %v", id, n.Name, since-epoch)
	}
	for _, s := range c.attempts[id] {
		switch {
		case s.neverRan || class.Idempotency == balance.Idempotent:
		case class.Idempotency == balance.NonIdempotent:
			c.violation("%s may have run and was sent again", id)
		case c.sim.now > s.at+class.DedupWindow:
			c.violation("%s was sent again after its span", id)
		case class.DedupScope == balance.ScopeZone && s.node.Zone != n.Zone, class.DedupScope == balance.ScopeCell && s.node.Cell != n.Cell:
			c.violation("%s was sent to another group", id)
		}
	}
	c.attempts[id] = append(c.attempts[id], sentAttempt{at: c.sim.now, node: n, execution: exec})
}

func (c *checker) find(exec *execution) *sentAttempt {
	attempts := c.attempts[exec.attempt.Request.ID]
	for i := range attempts {
		if attempts[i].execution == exec {
			return &attempts[i]
		}
	}
	return nil
}

func (c *checker) executionStarted(_ *node, exec *execution) {
	if s := c.find(exec); s != nil {
		s.ran = true
	}
}

func (c *checker) attemptEnded(exec *execution, status balance.Status) {
	s := c.find(exec)
	if s == nil {
		return
	}
	s.ended, s.neverRan = true, status.NeverRan()
	if s.neverRan && s.ran {
		c.violation("%s ran and its outcome is %v", exec.attempt.Request.ID, status)
	}
}

func (c *checker) requestAnswered(req *request, a dispatch.Answer) {
	class := c.sim.scenario.Classes[req.class].Class
	served := false
	for _, s := range c.attempts[req.request.ID] {
		served = served || s.ran
		if a.Verdict == dispatch.Refused && s.ran && class.Idempotency != balance.Idempotent && class.DedupScope != balance.ScopeFleet {
			c.violation("%s was refused and had run", req.request.ID)
		}
	}
	if a.Verdict == dispatch.Served && !served {
		c.violation("%s was served and never ran", req.request.ID)
	}
	delete(c.attempts, req.request.ID)
}

func (c *checker) finish() {
	if c.sim.result.TimedOut {
		c.violation("%d requests are open at the completion timeout", c.sim.openRequests)
	}
}
