package emulate

import (
	"math"
	"slices"
	"time"

	"tinroute.example/tinroute/balance"
)

// changed brings a change of the list to the dispatchers, as late as discovery is.
func (w *World) changed() {
	w.after(w.s.Discovery, func() {
		if w.out {
			return
		}
		for _, d := range w.cores {
			d.list(balance.UpdateFull)
		}
	})
}

// fail begins a failure and sets its end.
func (w *World) fail(f Failure) {
	w.note("failure %s", f.Kind)
	switch f.Kind {
	case Outage:
		w.out = true
		for _, d := range w.cores {
			d.core.DiscoveryFailed()
			d.settle()
		}
		w.after(f.For, func() { w.out = false; w.changed() })
		return
	case Cost:
		w.cost[f.Class] = f.Size
		w.after(f.For, func() { delete(w.cost, f.Class) })
		return
	}
	var struck []*node
	for _, n := range w.nodes {
		if slices.Contains(f.Nodes, n.Name) {
			struck = append(struck, n)
		}
	}
	if len(f.Nodes) == 0 {
		for _, i := range w.rng.Perm(len(w.nodes))[:min(len(w.nodes), int(math.Ceil(f.Share*float64(len(w.nodes)))))] {
			struck = append(struck, w.nodes[i])
		}
	}
	for i, n := range struck {
		if f.Kind == Replace {
			w.after(f.For*time.Duration(i)/time.Duration(len(struck)), n.replace)
			continue
		}
		w.note("%s at %s", f.Kind, n.Name)
		n.reckon()
		n.strike(f)
		n.plan()
		w.after(f.For, func() {
			n.reckon()
			n.heal(f)
			n.fill()
		})
	}
}

// replace drains a node, sets a cold one in its place, and ends it.
func (n *node) replace() {
	w := n.w
	w.note("%s at %s", Replace, n.Name)
	n.state = balance.Draining
	w.changed()
	w.after(2*time.Second, func() {
		x := n.NodeSpec
		x.Name += "'"
		w.add(x).started = w.now
		w.changed()
	})
	w.after(5*time.Second, func() {
		n.lose(true)
		n.state, n.silent = balance.Gone, true
		w.changed()
	})
}

func (n *node) strike(f Failure) {
	switch f.Kind {
	case Vanish:
		n.silent = true
		n.lose(false)
	case Slow:
		n.slow *= max(1, f.Size)
	case Hang:
		n.hang = true
	case Refuse:
		n.refuse = true
	case Fail:
		n.failing = f.Size
	case Reset:
		n.lose(true)
	case Pause:
		n.paused = true
	case Drain:
		n.state = balance.Draining
		n.w.changed()
	}
}

func (n *node) heal(f Failure) {
	switch f.Kind {
	case Vanish:
		if n.fallen {
			return
		}
		n.silent, n.started = false, n.w.now
		n.w.changed()
	case Slow:
		n.slow /= max(1, f.Size)
	case Hang:
		n.hang = false
		n.lose(true)
	case Refuse:
		n.refuse = false
	case Fail:
		n.failing = 0
	case Pause:
		n.paused = false
	case Drain:
		n.state = balance.Serving
		n.w.changed()
	}
}
