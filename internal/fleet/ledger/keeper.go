package ledger

import "time"

// Terms are the fleet's times.
type Terms struct {
	Lease  time.Duration // of a grant
	Linger time.Duration // how long what a lapsed member kept may still be in use: the longest deadline, the floors' time
	Drift  float64       // the most by which two clocks run apart, as a share
}

// Holder is when a member's lease ends by its own clock, if it asked at that instant.
func (t Terms) Holder(asked time.Duration) time.Duration {
	return asked + time.Duration(float64(t.Lease)*(1-t.Drift))
}

// Until is when what a member may use without a lease ends by its own clock, if it asked then.
func (t Terms) Until(asked time.Duration) time.Duration {
	return t.Holder(asked) + time.Duration(float64(t.Linger)*(1-t.Drift))
}

// Past is how long what a ledger granted may be in use after it is gone, by any clock within the drift.
func (t Terms) Past() time.Duration {
	return time.Duration(float64(t.Lease+t.Linger) * (1 + t.Drift) * (1 + t.Drift))
}

// Keeper is the leader's alone: it finds whose lease has surely ended. It counts from when it first
// saw a member's last ask in the state, which is after the member sent it; a new leader knows no such
// time and counts from when it became one.
type Keeper struct {
	Terms
	seen map[uint64]mark
}

type mark struct {
	seq    uint64
	lapsed bool
	at     time.Duration
}

// Lead begins a term as leader: all are taken to have been heard of only now.
func (k *Keeper) Lead() { k.seen = nil }

// Due returns the commands that are due now. It may be called at any pace; late is safe.
func (k *Keeper) Due(now time.Duration, s *State) (due []Command) {
	if k.seen == nil {
		k.seen = map[uint64]mark{}
	}
	for i := range k.seen {
		if s.members[i] == nil {
			delete(k.seen, i)
		}
	}
	for _, i := range s.order() {
		m := s.members[i]
		was, ok := k.seen[i]
		if !ok || was.seq != m.Seq || was.lapsed != m.Lapsed {
			k.seen[i] = mark{m.Seq, m.Lapsed, now}
			continue
		}
		switch wait := now - was.at; {
		case !m.Lapsed && wait > k.stretch(k.Lease):
			due = append(due, Command{Fleet: s.Fleet, Lapse: &Lapse{i, m.Seq}})
		case m.Lapsed && wait > k.stretch(k.lingers(s, m)):
			due = append(due, Command{Fleet: s.Fleet, Release: &Release{i}})
		}
	}
	return due
}

// lingers is how long what a lapsed member kept may be in use: pieces for as long as one lasts, and where it
// may take pieces of a floor after its lease, until the last of these has ended too.
func (k *Keeper) lingers(s *State, m *member) time.Duration {
	for _, b := range s.budgets {
		if b.Kind == Held && m.Floors[b.Name] > 0 {
			return 2 * k.Linger
		}
	}
	return k.Linger
}

func (k *Keeper) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + k.Drift))
}
