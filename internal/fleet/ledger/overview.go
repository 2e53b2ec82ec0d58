package ledger

// Overview is the whole state for those who look, with who leads as the voter asked knows it.
type Overview struct {
	Fleet      string           `json:"fleet"`
	Generation uint64           `json:"generation"`
	Version    uint64           `json:"version"` // of the budgets
	Leader     string           `json:"leader,omitempty"`
	Budgets    []BudgetOverview `json:"budgets"`
}

// BudgetOverview is one budget with its holders.
type BudgetOverview struct {
	Budget
	Granted int64    `json:"granted"` // to all holders together
	Holders []Holder `json:"holders"`
}

// Overview tells the state.
func (s *State) Overview() Overview {
	o := Overview{Fleet: s.Fleet, Generation: s.Generation, Version: s.version}
	for _, b := range s.budgets {
		_, holders := s.Holders(b.Name)
		o.Budgets = append(o.Budgets, BudgetOverview{b, s.granted(&b), holders})
	}
	return o
}
