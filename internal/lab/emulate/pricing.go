package emulate

import (
	"fmt"
	"time"

	"tinroute.example/tinroute/balance"
)

// PricingScenario returns a scenario that models a pricing service: nodes of three kinds in three zones with two
// nodes per cell, and three classes, two of which carry idempotency keys. Load is the arrival rate as a share of
// the total capacity of the nodes.
func PricingScenario(nodes, dispatchers int, load float64) Scenario {
	s := Scenario{Dispatchers: dispatchers, Duration: time.Minute, NetworkDelay: 3 * time.Millisecond, DiscoveryDelay: 2 * time.Second, WarmUp: 8 * time.Second, ColdCapacity: 0.4,
		Classes: []ClassSpec{
			{Class: balance.Class{Name: "price-read", Target: 200 * time.Millisecond, Stretch: 2.5, Deadline: 5 * time.Second, Worth: 1, LateWorth: 0.3, Idempotency: balance.Idempotent},
				Share: 0.7, MeanWork: 400 * time.Millisecond, Sigma: 0.5, MaxTries: 3},
			{Class: balance.Class{Name: "price-fix", Target: 200 * time.Millisecond, Stretch: 1.75, Deadline: 5 * time.Second, Worth: 2, LateWorth: 0.3, Idempotency: balance.Deduplicated,
				DedupScope: balance.ScopeCell, DedupWindow: 7500 * time.Millisecond}, Share: 0.17, MeanWork: 200 * time.Millisecond, Sigma: 0.4, MaxTries: 3},
			{Class: balance.Class{Name: "nav-run", Target: 750 * time.Millisecond, Stretch: 1.75, Deadline: 25 * time.Second, Worth: 2, LateWorth: 0.4, Idempotency: balance.Deduplicated,
				DedupScope: balance.ScopeZone, DedupWindow: 40 * time.Second}, Share: 0.13, MeanWork: 2500 * time.Millisecond, Sigma: 0.4, MaxTries: 2}}}
	capacity := 0.0
	for i := range nodes {
		n := NodeSpec{Name: fmt.Sprintf("s-%08x", i+1), Zone: i % 3, Cell: i / 2, Kind: i % 3, Queue: 4}
		n.Cores = [...]int{3, 2, 3}[n.Kind]
		n.Speed = [...]float64{2, 1.2, 0.8}[n.Kind]
		n.Slots = n.Cores
		capacity += float64(n.Cores) * n.Speed
		s.Nodes = append(s.Nodes, n)
	}
	s.Rate = load * capacity / s.meanWork()
	return s
}
