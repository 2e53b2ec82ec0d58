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
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"tinroute.example/tinroute/internal/fleet/share"
)

// Kind is what a budget counts.
type Kind string

// The kinds: a rate with a burst, and what is held at once, in whole pieces.
const (
	Rate Kind = "rate"
	Held Kind = "held"
)

// milli is one unit of a budget's amounts.
const milli = 1000

// Part is one name's place in a budget, in thousandths.
type Part struct {
	Weight  int64 `json:"weight,omitempty"` // 1 where 0
	Floor   int64 `json:"floor,omitempty"`
	Ceiling int64 `json:"ceiling,omitempty"`
}

// Budget is one whole.
type Budget struct {
	Name  string          `json:"name"`
	Kind  Kind            `json:"kind"`
	Whole int64           `json:"whole"`           // thousandths: a second for a rate, of pieces for what is held
	Burst int64           `json:"burst,omitempty"` // rates: the most that the fleet has saved up, at least a unit for each member
	Lend  bool            `json:"lend,omitempty"`  // floors of names that are not there may be used by others
	Parts map[string]Part `json:"parts,omitempty"` // by member name; others have weight 1
}

// Settings are the fleet's, fixed at its beginning.
type Settings struct {
	Fleet       string `json:"fleet"`        // a command for another is refused
	Generation  uint64 `json:"generation"`   // of the ledger: one begun anew after a loss has a higher one
	MostMembers int    `json:"most_members"` // live and lapsed together
}

// Command is one entry of the log: exactly one of its parts is set.
type Command struct {
	Fleet   string   `json:"fleet"`
	Join    *Join    `json:"join,omitempty"`
	Ask     *Ask     `json:"ask,omitempty"`
	Leave   *Leave   `json:"leave,omitempty"`
	Lapse   *Lapse   `json:"lapse,omitempty"`
	Release *Release `json:"release,omitempty"`
	Set     *Set     `json:"set,omitempty"`
}

// Join makes a member. The same nonce sent again gets the same incarnation.
type Join struct {
	Name  string `json:"name"`
	Nonce uint64 `json:"nonce"`
}

// Use is a member's word on one budget.
type Use struct {
	Holding int64 `json:"holding"`         // the most it may use until it hears the answer
	Burst   int64 `json:"burst,omitempty"` // the most it may have saved up until then
	Demand  int64 `json:"demand"`
}

// Ask renews a lease and asks for shares. Seq rises with each ask of an incarnation; by sending it
// the member gives up the answers to all earlier ones.
type Ask struct {
	Incarnation uint64         `json:"incarnation"`
	Seq         uint64         `json:"seq"`
	Uses        map[string]Use `json:"uses,omitempty"`
}

// Leave ends a member that uses nothing any more.
type Leave struct {
	Incarnation uint64 `json:"incarnation"`
}

// Lapse ends the lease of a member that has said nothing since Seq.
type Lapse struct {
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
}

// Release frees what a lapsed member kept.
type Release struct {
	Incarnation uint64 `json:"incarnation"`
}

// Set takes over budgets as one version, which must be the next.
type Set struct {
	Version uint64   `json:"version"`
	Budgets []Budget `json:"budgets"`
}

// Share is what a member is granted of one budget.
type Share struct {
	Amount int64 `json:"amount"`
	Floor  int64 `json:"floor,omitempty"` // to be used after the lease has ended
	Burst  int64 `json:"burst,omitempty"`
	More   bool  `json:"more,omitempty"` // clearly more is due, once others have said that they hold less
}

// Answer is what a command came to.
type Answer struct {
	Incarnation uint64           `json:"incarnation,omitempty"`
	Seq         uint64           `json:"seq,omitempty"`
	Generation  uint64           `json:"generation"`
	Version     uint64           `json:"version"` // of the budgets
	Shares      map[string]Share `json:"shares,omitempty"`
}

// The errors that a sender can act on.
var (
	ErrForeign = errors.New("ledger: another fleet's command")
	ErrLapsed  = errors.New("ledger: no such member, or its lease has lapsed; it has to join anew")
	ErrOld     = errors.New("ledger: an older ask than the last one")
	ErrFull    = errors.New("ledger: no room for another member")
	ErrVersion = errors.New("ledger: not the next version")
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

// due is the part of a share that is worth asking again for.
const due = 8

// steady is the part of a share that is not worth taking back.
const steady = 32

// burst is a share's part of the burst: a unit for each member that there may be, the rest by share.
func (b *Budget) burst(amount int64, members int) int64 {
	rest := max(0, b.Burst-int64(members)*milli)
	if b.Whole <= 0 || amount <= 0 {
		return 0
	}
	return milli + share.Scale(rest, min(amount, b.Whole), b.Whole)
}

// target is what the division gives a member now.
func (s *State) target(b *Budget, of uint64) int64 {
	whole := b.Whole - s.absent(b)
	var claims []share.Claim
	at := -1
	type processes struct {
		n      int64
		newest uint64
	}
	named := map[string]processes{}
	order := s.order()
	for _, i := range order { // by incarnation: the last one seen is the newest
		if m := s.members[i]; m.Lapsed {
			whole -= m.Granted[b.Name]
		} else {
			named[m.Name] = processes{named[m.Name].n + 1, i}
		}
	}
	for _, i := range order {
		m := s.members[i]
		if m.Lapsed {
			continue
		}
		p := b.Parts[m.Name]
		// The processes of one name, as in an upgrade, share its weight; the newest has its floor.
		c := share.Claim{Weight: max(1, max(1, p.Weight)*weightUnit/named[m.Name].n), Demand: m.Demand[b.Name], Ceiling: p.Ceiling}
		if named[m.Name].newest == i {
			c.Floor = p.Floor
		}
		if i == of {
			at = len(claims)
		}
		claims = append(claims, c)
	}
	got := share.Divide(max(0, whole), claims)[at]
	if b.Kind == Held {
		got -= got % milli
	}
	return got
}

// weightUnit lets a name's weight be halved among its processes.
const weightUnit = 16

// granted is what all members together may use of a budget.
func (s *State) granted(b *Budget) (sum int64) {
	for _, m := range s.members {
		sum += m.Granted[b.Name]
	}
	return sum
}

// bursts is what all members together may have saved up of a budget.
func (s *State) bursts(b *Budget) (sum int64) {
	for _, m := range s.members {
		sum += m.Bursts[b.Name]
	}
	return sum
}

// absent is what floors of names that are not there hold back.
func (s *State) absent(b *Budget) (sum int64) {
	if b.Lend {
		return 0
	}
	away := map[string]int64{} // what of its floor each name does not have
	for name, p := range b.Parts {
		if p.Floor > 0 {
			away[name] = p.Floor
		}
	}
	if len(away) == 0 {
		return 0
	}
	for _, m := range s.members {
		if floor, ok := away[m.Name]; !ok {
			continue
		} else if m.Lapsed {
			away[m.Name] = max(0, floor-m.Granted[b.Name])
		} else {
			delete(away, m.Name)
		}
	}
	for _, floor := range away {
		sum += floor
	}
	return min(sum, b.Whole)
}

// newest is the last live incarnation of a name.
func (s *State) newest(name string) (newest uint64) {
	for i, m := range s.members {
		if m.Name == name && !m.Lapsed {
			newest = max(newest, i)
		}
	}
	return newest
}

func (s *State) order() []uint64 { return slices.Sorted(maps.Keys(s.members)) }

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

// format is the snapshot's version.
const format = 1

type snapshot struct {
	Format int `json:"format"`
	Settings
	Version uint64             `json:"version"`
	Budgets []Budget           `json:"budgets"`
	Members map[uint64]*member `json:"members"`
	Last    uint64             `json:"last"`
}

// Snapshot writes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{format, s.Settings, s.version, s.budgets, s.members, s.last})
}

// Restore reads a snapshot of the same fleet in place of the state.
func (s *State) Restore(data []byte) error {
	var r snapshot
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("ledger: snapshot: %w", err)
	}
	switch {
	case r.Format != format:
		return fmt.Errorf("ledger: snapshot of format %d, %d is known", r.Format, format)
	case r.Fleet != s.Fleet:
		return fmt.Errorf("%w: snapshot of %q, this is %q", ErrForeign, r.Fleet, s.Fleet)
	case r.Generation < s.Generation:
		return fmt.Errorf("ledger: snapshot of generation %d, this is %d", r.Generation, s.Generation)
	}
	if r.Members == nil {
		r.Members = map[uint64]*member{}
	}
	for i, m := range r.Members {
		if m == nil || i > r.Last {
			return fmt.Errorf("ledger: snapshot: member %d", i)
		}
		for _, p := range []*map[string]int64{&m.Granted, &m.Bursts, &m.Floors, &m.Demand} {
			if *p == nil {
				*p = map[string]int64{}
			}
		}
	}
	s.Settings, s.version, s.budgets, s.members, s.last = r.Settings, r.Version, r.Budgets, r.Members, r.Last
	return nil
}
