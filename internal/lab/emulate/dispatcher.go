package emulate

import (
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

// dispatcher is one core with its drivers.
type dispatcher struct {
	w     *World
	core  *dispatch.Core
	n     int
	works map[*dispatch.Attempt]*work
	known map[balance.WorkerID]*node
	wake  time.Duration
}

// settle sees to it that the core's next timer is met.
func (d *dispatcher) settle() {
	next, ok := d.core.Advance()
	if !ok || d.wake > d.w.now && d.wake <= next {
		return
	}
	d.wake = max(next, d.w.now+time.Microsecond)
	d.w.after(d.wake-d.w.now, func() {
		if d.w.now >= d.wake {
			d.wake = 0
			d.settle()
		}
	})
}

// Start carries an attempt to its node.
func (d *dispatcher) Start(t *dispatch.Attempt) {
	r := t.Request.Payload.(*request)
	n := d.known[t.Worker.ID]
	j := &work{task: t, core: d, job: r, left: r.work, whole: r.work}
	d.works[t] = j
	d.w.res.Sends++
	d.w.rules.sent(d, n, j)
	d.w.note("%s to %s", t.Request.ID, t.Worker.Name)
	d.w.after(d.w.s.Network, func() {
		if n.silent { // no connection comes up
			d.w.after(d.core.Settings().ConnectTimeout, func() {
				if !j.gone {
					j.gone = true
					d.ended(j, balance.StatusUnreachable)
				}
			})
			return
		}
		n.take(j)
	})
}

// Cancel gives an attempt up.
func (d *dispatcher) Cancel(t *dispatch.Attempt) {
	j := d.works[t]
	if j == nil {
		return
	}
	n := d.known[t.Worker.ID]
	d.w.after(d.w.s.Network, func() {
		if n.silent || j.gone {
			return
		}
		j.gone = true
		n.drop(j)
		d.w.after(d.w.s.Network, func() { d.ended(j, balance.StatusCancelled) })
	})
}

func (d *dispatcher) ended(j *work, s balance.Status) {
	if d.works[j.task] == nil {
		return
	}
	delete(d.works, j.task)
	d.w.rules.outcome(j, s)
	d.core.AttemptEnded(j.task, s, []byte("r"))
	d.settle()
}

func (d *dispatcher) started(j *work) {
	if d.works[j.task] != nil {
		d.core.AttemptStarted(j.task)
		d.settle()
	}
}

// UpdateMembers is told of the regions.
func (d *dispatcher) UpdateMembers([]dispatch.Worker) {}

// Watch and Fetch ask discovery.
func (d *dispatcher) Watch() { d.ask() }

// Fetch asks for the whole list.
func (d *dispatcher) Fetch() { d.ask() }

func (d *dispatcher) ask() {
	d.w.after(2*d.w.s.Network, func() {
		if d.w.out {
			d.core.DiscoveryFailed()
		} else {
			d.list(balance.UpdateFull)
		}
		d.settle()
	})
}

func (d *dispatcher) list(how balance.UpdateKind) {
	list := make([]dispatch.Worker, 0, len(d.w.nodes))
	for _, n := range d.w.nodes {
		if d.known[n.id] = n; n.state == balance.Gone {
			continue
		}
		list = append(list, dispatch.Worker{Name: n.Name, Addr: n.Name, Member: balance.Member{ID: n.id, State: n.state, Weight: float64(n.Cores), Kind: n.Kind, Zone: n.Zone,
			Cell: n.Cell, StartedAt: n.started}})
	}
	d.w.rules.told(d, list) // first: the core acts on it at once
	d.core.UpdateMembers(how, list)
	d.settle()
}
