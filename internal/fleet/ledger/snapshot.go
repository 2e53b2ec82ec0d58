package ledger

import (
	"encoding/json"
	"fmt"
)

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
