package ledger

import (
	"maps"
	"slices"

	"tinroute.example/tinroute/internal/fleet/share"
)

// pendingDivisor sets when a member should renew early: if it is granted less than its target by more than
// 1/8 of the target.
const pendingDivisor = 8

// reclaimDivisor sets when a share is not reduced: if the reduction is at most 1/32 of what the member uses.
const reclaimDivisor = 32

// burstFor returns the part of the burst that is granted with a share. One unit is reserved for each possible
// member, and the rest is divided in proportion to the shares.
func (b *Budget) burstFor(amount int64, maxMembers int) int64 {
	rest := max(0, b.Burst-int64(maxMembers)*unit)
	if b.Total <= 0 || amount <= 0 {
		return 0
	}
	return unit + share.MulDiv(rest, min(amount, b.Total), b.Total)
}

// targetShare returns the share that a member gets when the budget is divided among all live members now.
func (s *State) targetShare(b *Budget, incarnation uint64) int64 {
	available := b.Total - s.reservedFloors(b)
	var claims []share.Claim
	claimIndex := -1
	type processGroup struct {
		n      int64
		newest uint64
	}
	byName := map[string]processGroup{}
	incarnations := s.incarnations()
	for _, i := range incarnations { // in ascending order: the last one of a name is the newest
		if m := s.members[i]; m.Expired {
			available -= m.Granted[b.Name]
		} else {
			byName[m.Name] = processGroup{byName[m.Name].n + 1, i}
		}
	}
	for _, i := range incarnations {
		m := s.members[i]
		if m.Expired {
			continue
		}
		rule := b.Rules[m.Name]
		// Processes of the same name, as during an upgrade, share its weight. The newest has its floor.
		claim := share.Claim{Weight: max(1, max(1, rule.Weight)*weightScale/byName[m.Name].n), Demand: m.Demand[b.Name], Ceiling: rule.Ceiling}
		if byName[m.Name].newest == i {
			claim.Floor = rule.Floor
		}
		if i == incarnation {
			claimIndex = len(claims)
		}
		claims = append(claims, claim)
	}
	amount := share.Divide(max(0, available), claims)[claimIndex]
	if b.Kind == KindConcurrency {
		amount -= amount % unit
	}
	return amount
}

// weightScale is the precision with which a name's weight is divided among its processes.
const weightScale = 16

// totalGranted returns how much of a budget all members together may use.
func (s *State) totalGranted(b *Budget) (sum int64) {
	for _, m := range s.members {
		sum += m.Granted[b.Name]
	}
	return sum
}

// totalBursts returns how many tokens of a budget all members together may accumulate.
func (s *State) totalBursts(b *Budget) (sum int64) {
	for _, m := range s.members {
		sum += m.Bursts[b.Name]
	}
	return sum
}

// reservedFloors returns how much of a budget is reserved for the floors of absent members.
func (s *State) reservedFloors(b *Budget) (sum int64) {
	if b.LendFloors {
		return 0
	}
	reserved := map[string]int64{} // by name, the part of the floor that is not granted
	for name, rule := range b.Rules {
		if rule.Floor > 0 {
			reserved[name] = rule.Floor
		}
	}
	if len(reserved) == 0 {
		return 0
	}
	for _, m := range s.members {
		if floor, ok := reserved[m.Name]; !ok {
			continue
		} else if m.Expired {
			reserved[m.Name] = max(0, floor-m.Granted[b.Name])
		} else {
			delete(reserved, m.Name)
		}
	}
	for _, floor := range reserved {
		sum += floor
	}
	return min(sum, b.Total)
}

// newestIncarnation returns the latest live incarnation of a name, 0 if there is none.
func (s *State) newestIncarnation(name string) (newest uint64) {
	for i, m := range s.members {
		if m.Name == name && !m.Expired {
			newest = max(newest, i)
		}
	}
	return newest
}

// incarnations returns the incarnations of all members in ascending order, which is the same on every voter.
func (s *State) incarnations() []uint64 { return slices.Sorted(maps.Keys(s.members)) }
