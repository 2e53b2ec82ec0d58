package ledger

// Overview is the state as shown to operators. Leader is the leader as known to the voter that answered.
type Overview struct {
	Fleet      string           `json:"fleet"`
	Generation uint64           `json:"generation"`
	Version    uint64           `json:"version"` // of the budgets
	Leader     string           `json:"leader,omitempty"`
	Budgets    []BudgetOverview `json:"budgets"`
}

// BudgetOverview is one budget and its holders.
type BudgetOverview struct {
	Budget
	Granted int64    `json:"granted"` // total of all holders
	Holders []Holder `json:"holders"`
}

// Overview returns the budgets and their holders.
func (s *State) Overview() Overview {
	overview := Overview{Fleet: s.Fleet, Generation: s.Generation, Version: s.budgetVersion}
	for _, b := range s.budgets {
		_, holders := s.Holders(b.Name)
		overview.Budgets = append(overview.Budgets, BudgetOverview{b, s.totalGranted(&b), holders})
	}
	return overview
}
