package dispatch

import (
	"time"

	"tinroute.example/tinroute/balance"
)

// UpdateMembers applies a membership update from discovery.
func (c *Core) UpdateMembers(kind balance.UpdateKind, list []Worker) {
	c.post(func() {
		previous := c.members
		if kind != balance.UpdateDelta {
			c.members = make(map[balance.WorkerID]Worker, len(list))
		}
		members := make([]balance.Member, len(list))
		for i, worker := range list {
			members[i] = c.effectiveMember(worker)
			if old, ok := previous[worker.ID]; ok && old.State == balance.Serving && worker.State != balance.Serving {
				for _, observer := range c.phaseObservers {
					observer.WorkerDrained(worker)
				}
			}
			if worker.State == balance.Gone {
				delete(c.members, worker.ID)
			} else {
				c.members[worker.ID] = worker
			}
		}
		all := make([]Worker, 0, len(c.members))
		names := make([]string, 0, len(c.members))
		for _, worker := range c.members {
			all = append(all, worker)
			names = append(names, worker.Name)
		}
		if c.overrides != nil {
			c.overrides.RecordListed(time.Now(), names...)
		}
		c.driver.UpdateMembers(all)
		c.balancer.UpdateMembers(c.now, kind, members)
	})
}

// effectiveMember returns the membership entry of a worker as the balancer is to see it. A detached worker
// is draining, regardless of discovery. A reattached worker is cold like a newly started one, since it
// was restarted in the meantime.
func (c *Core) effectiveMember(worker Worker) balance.Member {
	member := worker.Member
	if c.detached[worker.Name] && member.State == balance.Serving {
		member.State = balance.Draining
	}
	if reattached, ok := c.reattachedAt[worker.ID]; ok {
		if member.StartedAt >= reattached { // discovery has reported a start after the reattachment
			delete(c.reattachedAt, worker.ID)
		} else {
			member.StartedAt = reattached
		}
	}
	return member
}

// applyOverrides informs the balancer of workers that have been detached or reattached. It runs before
// each event, so that the decisions on that event respect the change.
func (c *Core) applyOverrides() {
	state := c.overrides.State()
	detached := make(map[string]bool, len(state.Detached))
	for _, name := range state.Detached {
		detached[name] = true
	}
	var changed []balance.Member
	for id, worker := range c.members {
		if detached[worker.Name] == c.detached[worker.Name] {
			continue
		}
		if !detached[worker.Name] {
			c.reattachedAt[id] = max(c.now, time.Nanosecond) // 0 means that the worker started long ago
		}
		c.detached[worker.Name] = detached[worker.Name]
		changed = append(changed, c.effectiveMember(worker))
	}
	c.detached = detached // includes unlisted workers: they are still detached if discovery lists them again
	c.appliedGeneration.Store(state.Generation)
	if len(changed) > 0 {
		c.balancer.UpdateMembers(c.now, balance.UpdateDelta, changed)
	}
}

// OverrideGeneration returns the generation of Options.Overrides that the core has applied.
func (c *Core) OverrideGeneration() uint64 { return c.appliedGeneration.Load() }

// DiscoveryFailed records that a discovery query failed or that the subscription was lost.
func (c *Core) DiscoveryFailed() {
	c.post(func() { c.balancer.UpdateMembers(c.now, balance.UpdateFailed, nil) })
}
