package ledger

import (
	"encoding/json"
	"fmt"
)

// snapshotFormat is the version of the snapshot's format.
const snapshotFormat = 1

// snapshot is the stored form of State.
type snapshot struct {
	Format int `json:"format"`
	Settings
	Version uint64             `json:"version"`
	Budgets []Budget           `json:"budgets"`
	Members map[uint64]*member `json:"members"`
	Last    uint64             `json:"last"`
}

// Snapshot encodes the complete state as JSON.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{snapshotFormat, s.Settings, s.budgetVersion, s.budgets, s.members, s.lastIncarnation})
}

// Restore replaces the state with a snapshot of the same fleet. On an error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("ledger: snapshot: %w", err)
	}
	switch {
	case snap.Format != snapshotFormat:
		return fmt.Errorf("ledger: snapshot has format %d, only %d is supported", snap.Format, snapshotFormat)
	case snap.Fleet != s.Fleet:
		return fmt.Errorf("%w: snapshot of %q, this is %q", ErrWrongFleet, snap.Fleet, s.Fleet)
	case snap.Generation < s.Generation:
		return fmt.Errorf("ledger: snapshot of generation %d, this is %d", snap.Generation, s.Generation)
	}
	if snap.Members == nil {
		snap.Members = map[uint64]*member{}
	}
	for i, m := range snap.Members {
		if m == nil || i > snap.Last {
			return fmt.Errorf("ledger: snapshot: invalid member %d", i)
		}
		for _, amounts := range []*map[string]int64{&m.Granted, &m.Bursts, &m.Floors, &m.Demand} {
			if *amounts == nil {
				*amounts = map[string]int64{}
			}
		}
	}
	s.Settings, s.budgetVersion, s.budgets, s.members, s.lastIncarnation = snap.Settings, snap.Version, snap.Budgets, snap.Members, snap.Last
	return nil
}
