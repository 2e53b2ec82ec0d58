package dispatch

import (
	"time"

	"tinroute.example/tinroute/balance"
)

// UpdateMembers takes word of discovery.
func (c *Core) UpdateMembers(how balance.UpdateKind, list []Worker) {
	c.post(func() {
		before := c.members
		if how != balance.UpdateDelta {
			c.members = make(map[balance.WorkerID]Worker, len(list))
		}
		members := make([]balance.Member, len(list))
		for i, r := range list {
			members[i] = c.overridden(r)
			if was, ok := before[r.ID]; ok && was.State == balance.Serving && r.State != balance.Serving {
				for _, p := range c.phases {
					p.WorkerDrained(r)
				}
			}
			if r.State == balance.Gone {
				delete(c.members, r.ID)
			} else {
				c.members[r.ID] = r
			}
		}
		all := make([]Worker, 0, len(c.members))
		names := make([]string, 0, len(c.members))
		for _, r := range c.members {
			all = append(all, r)
			names = append(names, r.Name)
		}
		if c.hand != nil {
			c.hand.RecordListed(time.Now(), names...)
		}
		c.workers.UpdateMembers(all)
		c.balancer.UpdateMembers(c.now, how, members)
	})
}

// overridden is what the balancer is told of a worker: one out by hand is draining, whatever the
// table says, and one taken back is as cold as a new start, since it was restarted meanwhile.
func (c *Core) overridden(r Worker) balance.Member {
	m := r.Member
	if c.out[r.Name] && m.State == balance.Serving {
		m.State = balance.Draining
	}
	if at, ok := c.back[r.ID]; ok {
		if m.StartedAt >= at { // a start after the call back is the table's own word
			delete(c.back, r.ID)
		} else {
			m.StartedAt = at
		}
	}
	return m
}

// applyOverrides tells the balancer of changes of the workers out by hand. It comes first in a turn,
// before the turn's event: what is decided in it obeys the ban.
func (c *Core) applyOverrides() {
	state := c.hand.State()
	out := make(map[string]bool, len(state.Detached))
	for _, name := range state.Detached {
		out[name] = true
	}
	var changed []balance.Member
	for id, r := range c.members {
		if out[r.Name] == c.out[r.Name] {
			continue
		}
		if !out[r.Name] {
			c.back[id] = max(c.now, time.Nanosecond) // 0 would mean long ago
		}
		c.out[r.Name] = out[r.Name]
		changed = append(changed, c.overridden(r))
	}
	c.out = out // also the names that the table does not list now: the ban holds when they return
	c.heard.Store(state.Generation)
	if len(changed) > 0 {
		c.balancer.UpdateMembers(c.now, balance.UpdateDelta, changed)
	}
}

// OverrideGeneration is the generation of the workers out by hand that the core obeys.
func (c *Core) OverrideGeneration() uint64 { return c.heard.Load() }

// DiscoveryFailed takes word that an inquiry of discovery failed, or that the
// subscription broke.
func (c *Core) DiscoveryFailed() {
	c.post(func() { c.balancer.UpdateMembers(c.now, balance.UpdateFailed, nil) })
}
