// Package ledger is the state that a fleet's voters replicate: members with their leases, budgets in
// numbered versions, and grants. State is a pure state machine, the same on every voter; Keeper is
// what only the leader does, by the clock it is handed. Neither does I/O.
//
// The rules that keep a whole from being passed, whatever is lost, doubled or late:
//
//   - Granted is the most that a member may be using. It grows when a grant is written, before the
//     member is told, and only by what no other has.
//   - It shrinks when the member says what it still holds. With each ask it gives up the answers to all
//     earlier ones, so that none of those can raise it again.
//   - A member that says nothing is let lapse after its lease, counted by the leader from when it
//     learned of the last ask, which is after the member counted its own from before it asked.
//   - What lapsed members may still use (a floor, pieces held) stays theirs until they are released.
package ledger

import (
	"errors"
	"fmt"
	"slices"

	"tinroute.example/tinroute/internal/fleet/share"
)

type member struct {
	Name    string           `json:"name"`
	Nonce   uint64           `json:"nonce"`
	Seq     uint64           `json:"seq"`
	Lapsed  bool             `json:"lapsed,omitempty"`
	Granted map[string]int64 `json:"granted"` // the most it may use, by budget
	Bursts  map[string]int64 `json:"bursts"`  // the most it may have saved up, by budget
	Floors  map[string]int64 `json:"floors"`  // told to be its after the lease, by budget
	Demand  map[string]int64 `json:"demand,omitempty"`
}

// State is the machine. It is not safe for concurrent use.
type State struct {
	Settings
	version uint64
	budgets []Budget // by name
	members map[uint64]*member
	last    uint64 // incarnation
}

// New returns an empty state. Incarnations of a later generation are higher than any of those before: a
// member of a ledger that was lost must not be taken for another one of its successor.
func New(s Settings) *State {
	return &State{Settings: s, members: map[uint64]*member{}, last: (max(1, s.Generation) - 1) << generationBits}
}

// generationBits are the lower bits of an incarnation, which count within a generation.
const generationBits = 32

// Apply takes one command. An error is an answer too, and has changed nothing.
func (s *State) Apply(c Command) (Answer, error) {
	a := Answer{Generation: s.Generation, Version: s.version}
	if c.Fleet != s.Fleet {
		return a, fmt.Errorf("%w: %q, this is %q", ErrForeign, c.Fleet, s.Fleet)
	}
	var err error
	switch {
	case c.Join != nil:
		a.Incarnation, err = s.join(*c.Join)
	case c.Ask != nil:
		a.Incarnation, a.Seq = c.Ask.Incarnation, c.Ask.Seq
		a.Shares, err = s.ask(*c.Ask)
	case c.Leave != nil:
		if s.members[c.Leave.Incarnation] == nil {
			return a, ErrLapsed
		}
		delete(s.members, c.Leave.Incarnation)
	case c.Lapse != nil:
		err = s.lapse(*c.Lapse)
	case c.Release != nil:
		if m := s.members[c.Release.Incarnation]; m == nil || !m.Lapsed {
			return a, ErrLapsed
		}
		delete(s.members, c.Release.Incarnation)
	case c.Set != nil:
		err = s.set(*c.Set)
		a.Version = s.version
	default:
		err = errors.New("ledger: an empty command")
	}
	return a, err
}

func (s *State) join(j Join) (uint64, error) {
	for i, m := range s.members {
		if m.Name == j.Name && m.Nonce == j.Nonce {
			return i, nil // sent twice
		}
	}
	if len(s.members) >= s.MostMembers {
		return 0, ErrFull
	}
	s.last++
	s.members[s.last] = &member{Name: j.Name, Nonce: j.Nonce, Granted: map[string]int64{}, Bursts: map[string]int64{}, Floors: map[string]int64{}, Demand: map[string]int64{}}
	return s.last, nil
}

func (s *State) ask(a Ask) (map[string]Share, error) {
	m := s.members[a.Incarnation]
	switch {
	case m == nil || m.Lapsed:
		return nil, ErrLapsed
	case a.Seq <= m.Seq:
		return nil, ErrOld
	}
	m.Seq = a.Seq
	shares := map[string]Share{}
	for _, b := range s.budgets {
		use := a.Uses[b.Name]
		m.Demand[b.Name] = max(0, use.Demand)
		holding := max(0, use.Holding)
		m.Granted[b.Name] = holding
		target := s.target(&b, a.Incarnation)
		amount := target
		switch free := b.Whole - s.granted(&b) - s.absent(&b); {
		case target > holding: // grow by what no other has, once that is written here
			amount = holding + max(0, min(target-holding, free))
			if b.Kind == Held {
				amount -= (amount - holding) % milli
			}
			m.Granted[b.Name] = amount
		case free >= 0 && holding-target <= holding/steady: // not worth moving
			amount = holding
		}
		sh := Share{Amount: amount, More: target-amount > target/due}
		if !b.Lend && s.newest(m.Name) == a.Incarnation {
			if sh.Floor = min(b.Parts[m.Name].Floor, amount); b.Kind == Held {
				sh.Floor -= sh.Floor % milli
			}
		}
		m.Floors[b.Name] = max(sh.Floor, min(m.Floors[b.Name], holding))
		if b.Kind == Rate {
			// The burst is a whole of its own, divided by the same rule.
			m.Bursts[b.Name] = max(0, use.Burst)
			sh.Burst = b.burst(amount, s.MostMembers)
			if more := sh.Burst - m.Bursts[b.Name]; more > 0 {
				sh.Burst -= more - max(0, min(more, b.Burst-s.bursts(&b)))
				m.Bursts[b.Name] = max(m.Bursts[b.Name], sh.Burst)
			}
		}
		shares[b.Name] = sh
	}
	for name := range m.Granted { // a budget that is gone: the member is told of none, and holds what it says
		if _, ok := shares[name]; !ok {
			if m.Granted[name] = max(0, a.Uses[name].Holding); m.Granted[name] == 0 {
				delete(m.Granted, name)
			}
			delete(m.Floors, name)
			delete(m.Bursts, name)
			delete(m.Demand, name)
		}
	}
	return shares, nil
}

// lapse ends a lease: of what the member was granted it keeps what it may use without one.
func (s *State) lapse(l Lapse) error {
	m := s.members[l.Incarnation]
	if m == nil || m.Lapsed || m.Seq != l.Seq {
		return ErrLapsed // it has been heard of since, or is over
	}
	m.Lapsed = true
	for name, g := range m.Granted {
		if i := s.find(name); i >= 0 && s.budgets[i].Kind == Rate {
			m.Granted[name] = min(g, m.Floors[name])
		}
	}
	return nil
}

func (s *State) find(name string) int {
	return slices.IndexFunc(s.budgets, func(b Budget) bool { return b.Name == name })
}

func (s *State) set(c Set) error {
	if c.Version != s.version+1 && (s.version > 0 || c.Version == 0) { // the first may have any number
		return fmt.Errorf("%w: %d, %d is the last", ErrVersion, c.Version, s.version)
	}
	budgets := slices.Clone(c.Budgets)
	slices.SortFunc(budgets, func(a, b Budget) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for i, b := range budgets {
		if err := b.check(s.MostMembers); err != nil {
			return fmt.Errorf("ledger: budget %q: %w", b.Name, err)
		}
		if i > 0 && budgets[i-1].Name == b.Name {
			return fmt.Errorf("ledger: budget %q: named twice", b.Name)
		}
		if k := s.find(b.Name); k >= 0 && s.budgets[k].Kind != b.Kind {
			return fmt.Errorf("ledger: budget %q: its kind cannot change", b.Name)
		}
	}
	s.version, s.budgets = c.Version, budgets
	return nil
}

func (b *Budget) check(members int) error {
	switch {
	case b.Name == "":
		return errors.New("no name")
	case b.Kind != Rate && b.Kind != Held:
		return fmt.Errorf("kind %q", b.Kind)
	case b.Whole < 0 || b.Whole > share.Most:
		return fmt.Errorf("whole %d", b.Whole)
	case b.Kind == Held && b.Whole%milli != 0:
		return fmt.Errorf("whole %d: whole pieces only", b.Whole)
	case b.Kind == Rate && b.Burst < int64(members)*milli:
		return fmt.Errorf("burst %d: at least a unit for each of %d members", b.Burst, members)
	}
	for name, p := range b.Parts {
		if p.Weight < 0 || p.Weight > share.MostWeight/weightUnit || p.Floor < 0 || p.Floor > share.Most || p.Ceiling < 0 || p.Ceiling > share.Most {
			return fmt.Errorf("%s: weight %d, floor %d, ceiling %d", name, p.Weight, p.Floor, p.Ceiling)
		}
	}
	return nil
}

// Holder is one member's place in a budget, for those who look.
type Holder struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Lapsed      bool   `json:"lapsed,omitempty"`
	Granted     int64  `json:"granted"`
	Demand      int64  `json:"demand"`
}

// Holders lists a budget's holders by incarnation, and the whole; nil where there is no such budget.
func (s *State) Holders(budget string) (whole int64, holders []Holder) {
	i := s.find(budget)
	if i < 0 {
		return 0, nil
	}
	for _, n := range s.order() {
		m := s.members[n]
		holders = append(holders, Holder{m.Name, n, m.Lapsed, m.Granted[budget], m.Demand[budget]})
	}
	return s.budgets[i].Whole, holders
}

// Version is the number of the budgets in force.
func (s *State) Version() uint64 { return s.version }
