package emulate

import (
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

// dispatcher connects one dispatch.Core to the simulated nodes and discovery.
type dispatcher struct {
	sim        *Simulation
	core       *dispatch.Core
	index      int
	executions map[*dispatch.Attempt]*execution
	nodes      map[balance.WorkerID]*node
	nextTimer  time.Duration // the earliest scheduled call of Advance; 0 for none
}

// scheduleTimer advances the core and schedules an event for its next timer.
func (d *dispatcher) scheduleTimer() {
	next, ok := d.core.Advance()
	if !ok || d.nextTimer > d.sim.now && d.nextTimer <= next {
		return
	}
	d.nextTimer = max(next, d.sim.now+time.Microsecond)
	d.sim.schedule(d.nextTimer-d.sim.now, func() {
		if d.sim.now >= d.nextTimer {
			d.nextTimer = 0
			d.scheduleTimer()
		}
	})
}

// Start sends an attempt to its node.
func (d *dispatcher) Start(attempt *dispatch.Attempt) {
	req := attempt.Request.Payload.(*request)
	n := d.nodes[attempt.Worker.ID]
	exec := &execution{attempt: attempt, dispatcher: d, request: req, remaining: req.work, total: req.work}
	d.executions[attempt] = exec
	d.sim.result.Sends++
	d.sim.checker.attemptSent(d, n, exec)
	d.sim.note("%s to %s", attempt.Request.ID, attempt.Worker.Name)
	d.sim.schedule(d.sim.scenario.NetworkDelay, func() {
		if n.silent { // the connection attempt times out
			d.sim.schedule(d.core.Settings().ConnectTimeout, func() {
				if !exec.ended {
					exec.ended = true
					d.attemptEnded(exec, balance.StatusUnreachable)
				}
			})
			return
		}
		n.accept(exec)
	})
}

// Cancel cancels an attempt at its node.
func (d *dispatcher) Cancel(attempt *dispatch.Attempt) {
	exec := d.executions[attempt]
	if exec == nil {
		return
	}
	n := d.nodes[attempt.Worker.ID]
	d.sim.schedule(d.sim.scenario.NetworkDelay, func() {
		if n.silent || exec.ended {
			return
		}
		exec.ended = true
		n.remove(exec)
		d.sim.schedule(d.sim.scenario.NetworkDelay, func() { d.attemptEnded(exec, balance.StatusCancelled) })
	})
}

func (d *dispatcher) attemptEnded(exec *execution, status balance.Status) {
	if d.executions[exec.attempt] == nil {
		return
	}
	delete(d.executions, exec.attempt)
	d.sim.checker.attemptEnded(exec, status)
	d.core.AttemptEnded(exec.attempt, status, []byte("r"))
	d.scheduleTimer()
}

func (d *dispatcher) attemptStarted(exec *execution) {
	if d.executions[exec.attempt] != nil {
		d.core.AttemptStarted(exec.attempt)
		d.scheduleTimer()
	}
}

// UpdateMembers does nothing: the simulated network needs no connection pool.
func (d *dispatcher) UpdateMembers([]dispatch.Worker) {}

// Watch requests the member list from discovery.
func (d *dispatcher) Watch() { d.requestMembers() }

// Fetch requests the member list from discovery. Each answer is the full list.
func (d *dispatcher) Fetch() { d.requestMembers() }

func (d *dispatcher) requestMembers() {
	d.sim.schedule(2*d.sim.scenario.NetworkDelay, func() {
		if d.sim.discoveryDown {
			d.core.DiscoveryFailed()
		} else {
			d.sendMemberUpdate(balance.UpdateFull)
		}
		d.scheduleTimer()
	})
}

func (d *dispatcher) sendMemberUpdate(kind balance.UpdateKind) {
	list := make([]dispatch.Worker, 0, len(d.sim.nodes))
	for _, n := range d.sim.nodes {
		if d.nodes[n.id] = n; n.state == balance.Gone {
			continue
		}
		list = append(list, dispatch.Worker{Name: n.Name, Addr: n.Name, Member: balance.Member{ID: n.id, State: n.state, Weight: float64(n.Cores), Kind: n.Kind, Zone: n.Zone,
			Cell: n.Cell, StartedAt: n.started}})
	}
	d.sim.checker.membersUpdated(d, list) // before the core, which acts on the update at once
	d.core.UpdateMembers(kind, list)
	d.scheduleTimer()
}
