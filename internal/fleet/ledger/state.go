// Package ledger is the state that a fleet's voters replicate: members with their leases, versioned
// budgets, and grants. State is a deterministic state machine, the same on every voter. LeaseMonitor finds
// expired leases on the leader, by the time it is passed. Neither does I/O.
//
// These rules keep the members within a budget's total even if messages are lost, duplicated or delayed:
//
//   - Granted is the most that a member may be using. It increases when a grant is written, before the
//     member receives the answer, and only by what no other member has.
//   - It decreases when the member reports that it uses less. With each renewal the member stops accepting
//     answers to earlier ones, so that none of those can increase its use again.
//   - A member that does not renew expires after its lease. The leader measures the lease from when it
//     learned of the last renewal; the member measures its own from before it sent that renewal.
//   - What expired members may still use (floors, slots in use) stays granted to them until their release.
package ledger

import (
	"errors"
	"fmt"
	"slices"

	"tinroute.example/tinroute/internal/fleet/share"
)

// member is one incarnation of a member process.
type member struct {
	Name    string           `json:"name"`
	Nonce   uint64           `json:"nonce"`
	Seq     uint64           `json:"seq"`
	Expired bool             `json:"lapsed,omitempty"`
	Granted map[string]int64 `json:"granted"` // the most it may use, by budget
	Bursts  map[string]int64 `json:"bursts"`  // the most tokens it may accumulate, by budget
	Floors  map[string]int64 `json:"floors"`  // what it may use after its lease has ended, by budget
	Demand  map[string]int64 `json:"demand,omitempty"`
}

// State is the replicated state machine. It is not safe for concurrent use.
type State struct {
	Settings
	budgetVersion   uint64
	budgets         []Budget           // sorted by name
	members         map[uint64]*member // by incarnation
	lastIncarnation uint64
}

// New returns an empty state. Incarnations of a generation are higher than all those of earlier ones, so that
// a member of a lost ledger is not mistaken for a member of its successor.
func New(s Settings) *State {
	return &State{Settings: s, members: map[uint64]*member{}, lastIncarnation: (max(1, s.Generation) - 1) << generationShift}
}

// generationShift is the number of low bits of an incarnation that count within a generation.
const generationShift = 32

// Apply applies one command. An error is also a result: it is the same on every voter and the state is
// unchanged.
func (s *State) Apply(cmd Command) (Answer, error) {
	answer := Answer{Generation: s.Generation, Version: s.budgetVersion}
	if cmd.Fleet != s.Fleet {
		return answer, fmt.Errorf("%w: %q, this is %q", ErrWrongFleet, cmd.Fleet, s.Fleet)
	}
	var err error
	switch {
	case cmd.Join != nil:
		answer.Incarnation, err = s.join(*cmd.Join)
	case cmd.Renew != nil:
		answer.Incarnation, answer.Seq = cmd.Renew.Incarnation, cmd.Renew.Seq
		answer.Shares, err = s.renew(*cmd.Renew)
	case cmd.Leave != nil:
		if s.members[cmd.Leave.Incarnation] == nil {
			return answer, ErrExpired
		}
		delete(s.members, cmd.Leave.Incarnation)
	case cmd.Expire != nil:
		err = s.expire(*cmd.Expire)
	case cmd.Release != nil:
		if m := s.members[cmd.Release.Incarnation]; m == nil || !m.Expired {
			return answer, ErrExpired
		}
		delete(s.members, cmd.Release.Incarnation)
	case cmd.SetBudgets != nil:
		err = s.setBudgets(*cmd.SetBudgets)
		answer.Version = s.budgetVersion
	default:
		err = errors.New("ledger: an empty command")
	}
	return answer, err
}

// join adds a member and returns its incarnation.
func (s *State) join(j Join) (uint64, error) {
	for i, m := range s.members {
		if m.Name == j.Name && m.Nonce == j.Nonce {
			return i, nil // a repeated join
		}
	}
	if len(s.members) >= s.MaxMembers {
		return 0, ErrTooManyMembers
	}
	s.lastIncarnation++
	s.members[s.lastIncarnation] = &member{Name: j.Name, Nonce: j.Nonce, Granted: map[string]int64{}, Bursts: map[string]int64{}, Floors: map[string]int64{}, Demand: map[string]int64{}}
	return s.lastIncarnation, nil
}

// renew records a member's usage and returns its new shares. Each share is its target, but it increases only
// by what is free and is not reduced by a small amount.
func (s *State) renew(r Renew) (map[string]Share, error) {
	m := s.members[r.Incarnation]
	switch {
	case m == nil || m.Expired:
		return nil, ErrExpired
	case r.Seq <= m.Seq:
		return nil, ErrStale
	}
	m.Seq = r.Seq
	shares := map[string]Share{}
	for _, b := range s.budgets {
		usage := r.Usage[b.Name]
		m.Demand[b.Name] = max(0, usage.Demand)
		maxUse := max(0, usage.MaxUse)
		m.Granted[b.Name] = maxUse
		target := s.targetShare(&b, r.Incarnation)
		amount := target
		switch free := b.Total - s.totalGranted(&b) - s.reservedFloors(&b); {
		case target > maxUse: // increase only by what no other member has, and record it before answering
			amount = maxUse + max(0, min(target-maxUse, free))
			if b.Kind == KindConcurrency {
				amount -= (amount - maxUse) % unit
			}
			m.Granted[b.Name] = amount
		case free >= 0 && maxUse-target <= maxUse/reclaimDivisor: // too small a reduction
			amount = maxUse
		}
		granted := Share{Amount: amount, MorePending: target-amount > target/pendingDivisor}
		if !b.LendFloors && s.newestIncarnation(m.Name) == r.Incarnation {
			if granted.Floor = min(b.Rules[m.Name].Floor, amount); b.Kind == KindConcurrency {
				granted.Floor -= granted.Floor % unit
			}
		}
		m.Floors[b.Name] = max(granted.Floor, min(m.Floors[b.Name], maxUse))
		if b.Kind == KindRate {
			// The burst is a total of its own, granted by the same rule.
			m.Bursts[b.Name] = max(0, usage.Burst)
			granted.Burst = b.burstFor(amount, s.MaxMembers)
			if increase := granted.Burst - m.Bursts[b.Name]; increase > 0 {
				granted.Burst -= increase - max(0, min(increase, b.Burst-s.totalBursts(&b)))
				m.Bursts[b.Name] = max(m.Bursts[b.Name], granted.Burst)
			}
		}
		shares[b.Name] = granted
	}
	for name := range m.Granted { // a budget that was removed: no share, and what the member reports stays granted
		if _, ok := shares[name]; !ok {
			if m.Granted[name] = max(0, r.Usage[name].MaxUse); m.Granted[name] == 0 {
				delete(m.Granted, name)
			}
			delete(m.Floors, name)
			delete(m.Bursts, name)
			delete(m.Demand, name)
		}
	}
	return shares, nil
}

// expire ends a lease. Of its rates the member keeps the floors, which it may use without a lease; of its
// slots it keeps all, as they may be in use.
func (s *State) expire(e Expire) error {
	m := s.members[e.Incarnation]
	if m == nil || m.Expired || m.Seq != e.Seq {
		return ErrExpired // it has renewed since, has already expired, or is gone
	}
	m.Expired = true
	for name, granted := range m.Granted {
		if i := s.budgetIndex(name); i >= 0 && s.budgets[i].Kind == KindRate {
			m.Granted[name] = min(granted, m.Floors[name])
		}
	}
	return nil
}

// budgetIndex returns the index of a budget, -1 if there is none of that name.
func (s *State) budgetIndex(name string) int {
	return slices.IndexFunc(s.budgets, func(b Budget) bool { return b.Name == name })
}

// setBudgets validates and replaces the budgets. A budget keeps its kind.
func (s *State) setBudgets(c SetBudgets) error {
	if c.Version != s.budgetVersion+1 && (s.budgetVersion > 0 || c.Version == 0) { // the first version may be any number but 0
		return fmt.Errorf("%w: %d, %d is the last", ErrVersionMismatch, c.Version, s.budgetVersion)
	}
	budgets := slices.Clone(c.Budgets)
	slices.SortFunc(budgets, func(a, b Budget) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for i, b := range budgets {
		if err := b.validate(s.MaxMembers); err != nil {
			return fmt.Errorf("ledger: budget %q: %w", b.Name, err)
		}
		if i > 0 && budgets[i-1].Name == b.Name {
			return fmt.Errorf("ledger: budget %q: named twice", b.Name)
		}
		if existing := s.budgetIndex(b.Name); existing >= 0 && s.budgets[existing].Kind != b.Kind {
			return fmt.Errorf("ledger: budget %q: its kind cannot change", b.Name)
		}
	}
	s.budgetVersion, s.budgets = c.Version, budgets
	return nil
}

// validate checks a budget's fields. The errors name them by their JSON keys.
func (b *Budget) validate(maxMembers int) error {
	switch {
	case b.Name == "":
		return errors.New("no name")
	case b.Kind != KindRate && b.Kind != KindConcurrency:
		return fmt.Errorf("kind %q", b.Kind)
	case b.Total < 0 || b.Total > share.MaxAmount:
		return fmt.Errorf("whole %d", b.Total)
	case b.Kind == KindConcurrency && b.Total%unit != 0:
		return fmt.Errorf("whole %d: whole pieces only", b.Total)
	case b.Kind == KindRate && b.Burst < int64(maxMembers)*unit:
		return fmt.Errorf("burst %d: at least a unit for each of %d members", b.Burst, maxMembers)
	}
	for name, rule := range b.Rules {
		if rule.Weight < 0 || rule.Weight > share.MaxWeight/weightScale || rule.Floor < 0 || rule.Floor > share.MaxAmount || rule.Ceiling < 0 || rule.Ceiling > share.MaxAmount {
			return fmt.Errorf("%s: weight %d, floor %d, ceiling %d", name, rule.Weight, rule.Floor, rule.Ceiling)
		}
	}
	return nil
}

// Holder is one member's grant of a budget, as shown to operators.
type Holder struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Expired     bool   `json:"lapsed,omitempty"`
	Granted     int64  `json:"granted"`
	Demand      int64  `json:"demand"`
}

// Holders returns a budget's total and its holders by incarnation, or nil if there is no such budget.
func (s *State) Holders(budget string) (total int64, holders []Holder) {
	i := s.budgetIndex(budget)
	if i < 0 {
		return 0, nil
	}
	for _, n := range s.incarnations() {
		m := s.members[n]
		holders = append(holders, Holder{m.Name, n, m.Expired, m.Granted[budget], m.Demand[budget]})
	}
	return s.budgets[i].Total, holders
}

// BudgetVersion returns the version of the current budgets.
func (s *State) BudgetVersion() uint64 { return s.budgetVersion }
