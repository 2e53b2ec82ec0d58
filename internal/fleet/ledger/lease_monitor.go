package ledger

import "time"

// Timing holds the fleet's lease durations.
type Timing struct {
	Lease       time.Duration // how long a grant is valid
	GracePeriod time.Duration // how long an expired member may still use its floors and slots; at least the longest deadline
	MaxDrift    float64       // the most by which the rates of two clocks differ, as a fraction
}

// LeaseEnd returns when the lease of a member that renewed at renewedAt ends, by the member's own clock.
func (t Timing) LeaseEnd(renewedAt time.Duration) time.Duration {
	return renewedAt + time.Duration(float64(t.Lease)*(1-t.MaxDrift))
}

// FloorEnd returns when a member that renewed at renewedAt may no longer use its floors, by its own clock.
func (t Timing) FloorEnd(renewedAt time.Duration) time.Duration {
	return t.LeaseEnd(renewedAt) + time.Duration(float64(t.GracePeriod)*(1-t.MaxDrift))
}

// MaxGrantLifetime returns how long grants of a lost ledger may still be in use, by any clock within the
// drift.
func (t Timing) MaxGrantLifetime() time.Duration {
	return time.Duration(float64(t.Lease+t.GracePeriod) * (1 + t.MaxDrift) * (1 + t.MaxDrift))
}

// LeaseMonitor finds members whose lease has ended. Only the leader uses it. It measures from when it first
// saw a member's last renewal in the state, which is later than when the member sent it. A new leader does
// not know that time and measures from the start of its term.
type LeaseMonitor struct {
	Timing
	lastSeen map[uint64]observation
}

// observation is when a member's last renewal, or its expiry, was first seen.
type observation struct {
	seq     uint64
	expired bool
	at      time.Duration
}

// Reset starts a term as leader: all members count as renewed at the next call of DueCommands.
func (monitor *LeaseMonitor) Reset() { monitor.lastSeen = nil }

// DueCommands returns the Expire and Release commands that are due at now. It may be called at any interval;
// calling it late is safe.
func (monitor *LeaseMonitor) DueCommands(now time.Duration, state *State) (due []Command) {
	if monitor.lastSeen == nil {
		monitor.lastSeen = map[uint64]observation{}
	}
	for i := range monitor.lastSeen {
		if state.members[i] == nil {
			delete(monitor.lastSeen, i)
		}
	}
	for _, i := range state.incarnations() {
		m := state.members[i]
		last, ok := monitor.lastSeen[i]
		if !ok || last.seq != m.Seq || last.expired != m.Expired {
			monitor.lastSeen[i] = observation{m.Seq, m.Expired, now}
			continue
		}
		switch elapsed := now - last.at; {
		case !m.Expired && elapsed > monitor.withDrift(monitor.Lease):
			due = append(due, Command{Fleet: state.Fleet, Expire: &Expire{i, m.Seq}})
		case m.Expired && elapsed > monitor.withDrift(monitor.gracePeriod(state, m)):
			due = append(due, Command{Fleet: state.Fleet, Release: &Release{i}})
		}
	}
	return due
}

// gracePeriod returns how long an expired member's grants may be in use. A slot is in use for at most one
// GracePeriod. A member with a floor of slots may acquire them for one GracePeriod after its lease, and the
// last of these stays in use for another.
func (monitor *LeaseMonitor) gracePeriod(state *State, m *member) time.Duration {
	for _, b := range state.budgets {
		if b.Kind == KindConcurrency && m.Floors[b.Name] > 0 {
			return 2 * monitor.GracePeriod
		}
	}
	return monitor.GracePeriod
}

// withDrift returns the duration on this clock after which d has passed on any clock within the drift.
func (monitor *LeaseMonitor) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + monitor.MaxDrift))
}
