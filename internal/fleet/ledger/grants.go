package ledger

import (
	"maps"
	"slices"

	"tinroute.example/tinroute/internal/fleet/share"
)

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
