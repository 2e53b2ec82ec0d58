package emulate

import (
	"fmt"
	"time"

	"tinroute.example/tinroute/balance"
	"tinroute.example/tinroute/dispatch"
)

// drainGrace is how long after the word on a drain a send may still leave.
const drainGrace = time.Second

// mostBroken bounds what is told of broken rules.
const mostBroken = 20

// rules watches the model's truth: one answer for each request and in time, no repeat that the class
// forbids, drains kept, no cold node pushed over, and refusals only of what never ran.
type rules struct {
	w      *World
	sends  map[string][]send // by a try's id
	asked  map[int]float64
	inTime map[int]float64
	drains map[[2]uint64]time.Duration // by dispatcher and node: told since
	starts map[[2]uint64]time.Duration // the start that it was told of
}

// knows tells whether a dispatcher has been told of a node's latest start.
func (r *rules) knows(d *dispatcher, n *node) bool {
	return r.starts[[2]uint64{uint64(d.n), uint64(n.id)}] == n.started
}

type send struct {
	at    time.Duration
	node  *node
	work  *work
	never bool // its outcome proves that it had no effect
	done  bool
	ran   bool // it was started at its node
}

func (r *rules) broke(format string, a ...any) {
	if len(r.w.res.Broken) < mostBroken {
		r.w.res.Broken = append(r.w.res.Broken, fmt.Sprintf("%v: ", r.w.now-epoch)+fmt.Sprintf(format, a...))
	}
}

func (r *rules) ask(class int) {
	if r.asked == nil {
		r.asked, r.inTime = map[int]float64{}, map[int]float64{}
	}
	r.asked[class]++
}

func (r *rules) told(d *dispatcher, list []dispatch.Worker) {
	if r.drains == nil {
		r.drains, r.starts = map[[2]uint64]time.Duration{}, map[[2]uint64]time.Duration{}
	}
	for _, n := range list {
		key := [2]uint64{uint64(d.n), uint64(n.ID)}
		r.starts[key] = n.StartedAt
		if _, known := r.drains[key]; n.State == balance.Serving {
			delete(r.drains, key)
		} else if !known {
			r.drains[key] = r.w.now
		}
	}
}

func (r *rules) sent(d *dispatcher, n *node, j *work) {
	id, c := j.task.Request.ID, r.w.s.Classes[j.job.class].Class
	if since, ok := r.drains[[2]uint64{uint64(d.n), uint64(n.id)}]; ok && r.w.now > since+drainGrace {
		r.broke("%s was sent to %s, told to drain since %v", id, n.Name, since-epoch)
	}
	for _, s := range r.sends[id] {
		switch {
		case s.never || c.Idempotency == balance.Idempotent:
		case c.Idempotency == balance.NonIdempotent:
			r.broke("%s may have run and was sent again", id)
		case r.w.now > s.at+c.DedupWindow:
			r.broke("%s was sent again after its span", id)
		case c.DedupScope == balance.ScopeZone && s.node.Zone != n.Zone, c.DedupScope == balance.ScopeCell && s.node.Cell != n.Cell:
			r.broke("%s was sent to another group", id)
		}
	}
	r.sends[id] = append(r.sends[id], send{at: r.w.now, node: n, work: j})
}

func (r *rules) of(j *work) *send {
	l := r.sends[j.task.Request.ID]
	for i := range l {
		if l[i].work == j {
			return &l[i]
		}
	}
	return nil
}

func (r *rules) ran(_ *node, j *work) {
	if s := r.of(j); s != nil {
		s.ran = true
	}
}

func (r *rules) outcome(j *work, status balance.Status) {
	s := r.of(j)
	if s == nil {
		return
	}
	s.done, s.never = true, status.NeverRan()
	if s.never && s.ran {
		r.broke("%s ran and its outcome is %v", j.task.Request.ID, status)
	}
}

func (r *rules) answered(q *request, a dispatch.Answer) {
	c := r.w.s.Classes[q.class].Class
	served := false
	for _, s := range r.sends[q.tx.ID] {
		served = served || s.ran
		if a.Verdict == dispatch.Refused && s.ran && c.Idempotency != balance.Idempotent && c.DedupScope != balance.ScopeFleet {
			r.broke("%s was refused and had run", q.tx.ID)
		}
	}
	if a.Verdict == dispatch.Served && !served {
		r.broke("%s was served and never ran", q.tx.ID)
	}
	delete(r.sends, q.tx.ID)
}

func (r *rules) end() {
	if r.w.res.Jammed {
		r.broke("%d requests are open at the bound", r.w.open)
	}
}
