package emulate

import (
	"math"
	"slices"
	"time"

	"tinroute.example/tinroute/balance"
)

// publishMembers sends the member list to every dispatcher after the discovery delay, unless discovery is down
// by then.
func (sim *Simulation) publishMembers() {
	sim.schedule(sim.scenario.DiscoveryDelay, func() {
		if sim.discoveryDown {
			return
		}
		for _, d := range sim.dispatchers {
			d.sendMemberUpdate(balance.UpdateFull)
		}
	})
}

// startFailure starts a failure and schedules its end.
func (sim *Simulation) startFailure(f Failure) {
	sim.note("failure %s", f.Kind)
	switch f.Kind {
	case Outage:
		sim.discoveryDown = true
		for _, d := range sim.dispatchers {
			d.core.DiscoveryFailed()
			d.scheduleTimer()
		}
		sim.schedule(f.Duration, func() { sim.discoveryDown = false; sim.publishMembers() })
		return
	case Cost:
		sim.costFactors[f.Class] = f.Magnitude
		sim.schedule(f.Duration, func() { delete(sim.costFactors, f.Class) })
		return
	}
	var affected []*node
	for _, n := range sim.nodes {
		if slices.Contains(f.Nodes, n.Name) {
			affected = append(affected, n)
		}
	}
	if len(f.Nodes) == 0 {
		for _, i := range sim.rng.Perm(len(sim.nodes))[:min(len(sim.nodes), int(math.Ceil(f.Share*float64(len(sim.nodes)))))] {
			affected = append(affected, sim.nodes[i])
		}
	}
	for i, n := range affected {
		if f.Kind == Replace {
			sim.schedule(f.Duration*time.Duration(i)/time.Duration(len(affected)), n.replace)
			continue
		}
		sim.note("%s at %s", f.Kind, n.Name)
		n.updateProgress()
		n.startFailure(f)
		n.scheduleCompletion()
		sim.schedule(f.Duration, func() {
			n.updateProgress()
			n.endFailure(f)
			n.startWaiting()
		})
	}
}

// replace drains a node, adds a cold replacement 2 s later, and stops the drained node after 5 s.
func (n *node) replace() {
	sim := n.sim
	sim.note("%s at %s", Replace, n.Name)
	n.state = balance.Draining
	sim.publishMembers()
	sim.schedule(2*time.Second, func() {
		spec := n.NodeSpec
		spec.Name += "'"
		sim.addNode(spec).started = sim.now
		sim.publishMembers()
	})
	sim.schedule(5*time.Second, func() {
		n.loseJobs(true)
		n.state, n.silent = balance.Gone, true
		sim.publishMembers()
	})
}

func (n *node) startFailure(f Failure) {
	switch f.Kind {
	case Vanish:
		n.silent = true
		n.loseJobs(false)
	case Slow:
		n.slowdown *= max(1, f.Magnitude)
	case Hang:
		n.hanging = true
	case Refuse:
		n.refusing = true
	case Fail:
		n.errorRate = f.Magnitude
	case Reset:
		n.loseJobs(true)
	case Pause:
		n.paused = true
	case Drain:
		n.state = balance.Draining
		n.sim.publishMembers()
	}
}

func (n *node) endFailure(f Failure) {
	switch f.Kind {
	case Vanish:
		if n.crashed {
			return
		}
		n.silent, n.started = false, n.sim.now
		n.sim.publishMembers()
	case Slow:
		n.slowdown /= max(1, f.Magnitude)
	case Hang:
		n.hanging = false
		n.loseJobs(true)
	case Refuse:
		n.refusing = false
	case Fail:
		n.errorRate = 0
	case Pause:
		n.paused = false
	case Drain:
		n.state = balance.Serving
		n.sim.publishMembers()
	}
}
