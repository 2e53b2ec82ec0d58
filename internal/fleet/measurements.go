package fleet

import "tinroute.example/tinroute/internal/fleet/ledger"

// Measurement is one value of a metric, in units of its budget.
type Measurement struct {
	Name           string
	Budget, Holder string // Holder is empty if the value is for all holders together
	Value          float64
}

// MetricDescriptions has the description of each metric, by the Name of its measurements.
var MetricDescriptions = map[string]string{
	"tinroute.fleet.leased":  "1 where this dispatcher's lease runs",
	"tinroute.fleet.share":   "what this dispatcher may use of a budget now, a second",
	"tinroute.fleet.used":    "what this dispatcher has admitted of a budget since its start",
	"tinroute.fleet.denied":  "what this dispatcher was asked for and has not admitted since its start",
	"tinroute.fleet.whole":   "a budget's whole, told by the leader",
	"tinroute.fleet.granted": "what a holder was granted, told by the leader",
	"tinroute.fleet.demand":  "what a holder asked for, told by the leader",
	"tinroute.fleet.idle":    "what of a budget is granted to nobody that lives, told by the leader",
}

// Measurements returns this dispatcher's current values and, if it is the leader, those of all budgets and
// their holders.
func (n *Node) Measurements() (all []Measurement) {
	leased := 0.0
	if ok, _ := n.member.LeaseStatus(); ok {
		leased = 1
	}
	all = append(all, Measurement{"tinroute.fleet.leased", "", n.opts.Name, leased})
	for _, usage := range n.member.RateUsages() {
		all = append(all, Measurement{"tinroute.fleet.share", usage.Budget, n.opts.Name, units(usage.Share)},
			Measurement{"tinroute.fleet.used", usage.Budget, n.opts.Name, units(usage.Used)}, Measurement{"tinroute.fleet.denied", usage.Budget, n.opts.Name, units(usage.Denied)})
	}
	n.mu.Lock()
	voter := n.voter
	n.mu.Unlock()
	if voter == nil || voter.Leader() != n.opts.Name {
		return all
	}
	var overview ledger.Overview
	voter.View(func(s *ledger.State) { overview = s.Overview() })
	for _, b := range overview.Budgets {
		idle := b.Total
		granted, demand := map[string]int64{}, map[string]int64{} // by name: during an upgrade two processes have the same one
		for _, h := range b.Holders {
			granted[h.Name] += h.Granted
			demand[h.Name] += h.Demand
			if !h.Expired {
				idle -= h.Granted
			}
		}
		all = append(all, Measurement{"tinroute.fleet.whole", b.Name, "", units(b.Total)}, Measurement{"tinroute.fleet.idle", b.Name, "", units(max(0, idle))})
		for name, amount := range granted {
			all = append(all, Measurement{"tinroute.fleet.granted", b.Name, name, units(amount)}, Measurement{"tinroute.fleet.demand", b.Name, name, units(demand[name])})
		}
	}
	return all
}

// units converts thousandths to units.
func units(milli int64) float64 { return float64(milli) / 1000 }
