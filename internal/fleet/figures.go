package fleet

import "tinroute.example/tinroute/internal/fleet/ledger"

// Figure is one reading for telemetry, in units of its budget.
type Figure struct {
	Name           string
	Budget, Holder string // Holder is empty where the figure is the whole fleet's
	Value          float64
}

// Figures are the names that readings have, with what they mean.
var Figures = map[string]string{
	"tinroute.fleet.leased":  "1 where this dispatcher's lease runs",
	"tinroute.fleet.share":   "what this dispatcher may use of a budget now, a second",
	"tinroute.fleet.used":    "what this dispatcher has admitted of a budget since its start",
	"tinroute.fleet.denied":  "what this dispatcher was asked for and has not admitted since its start",
	"tinroute.fleet.whole":   "a budget's whole, told by the leader",
	"tinroute.fleet.granted": "what a holder was granted, told by the leader",
	"tinroute.fleet.demand":  "what a holder asked for, told by the leader",
	"tinroute.fleet.idle":    "what of a budget is granted to nobody that lives, told by the leader",
}

// Figures reads them: this dispatcher's own, and each budget's where it leads.
func (p *Part) Figures() (all []Figure) {
	leased := 0.0
	if is, _ := p.member.Leased(); is {
		leased = 1
	}
	all = append(all, Figure{"tinroute.fleet.leased", "", p.o.Name, leased})
	for _, u := range p.member.Uses() {
		all = append(all, Figure{"tinroute.fleet.share", u.Budget, p.o.Name, units(u.Share)},
			Figure{"tinroute.fleet.used", u.Budget, p.o.Name, units(u.Used)}, Figure{"tinroute.fleet.denied", u.Budget, p.o.Name, units(u.Denied)})
	}
	p.mu.Lock()
	v := p.voter
	p.mu.Unlock()
	if v == nil || v.Leader() != p.o.Name {
		return all
	}
	var o ledger.Overview
	v.Look(func(s *ledger.State) { o = s.Overview() })
	for _, b := range o.Budgets {
		idle := b.Whole
		granted, demand := map[string]int64{}, map[string]int64{} // by name: two processes have one in an upgrade
		for _, h := range b.Holders {
			granted[h.Name] += h.Granted
			demand[h.Name] += h.Demand
			if !h.Lapsed {
				idle -= h.Granted
			}
		}
		all = append(all, Figure{"tinroute.fleet.whole", b.Name, "", units(b.Whole)}, Figure{"tinroute.fleet.idle", b.Name, "", units(max(0, idle))})
		for name, g := range granted {
			all = append(all, Figure{"tinroute.fleet.granted", b.Name, name, units(g)}, Figure{"tinroute.fleet.demand", b.Name, name, units(demand[name])})
		}
	}
	return all
}

func units(milli int64) float64 { return float64(milli) / 1000 }
