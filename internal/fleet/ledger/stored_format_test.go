package ledger

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// storedCommands has one command of each kind. The names are those of the files in testdata/stored.
func storedCommands() map[string]Command {
	return map[string]Command{
		"join":    {Fleet: "f", Join: &Join{Name: "a", Nonce: 1 << 63}},
		"ask":     {Fleet: "f", Renew: &Renew{Incarnation: 2, Seq: 3, Usage: map[string]Usage{"rate": {MaxUse: 4, Burst: 5, Demand: 6}, "held": {}}}},
		"leave":   {Fleet: "f", Leave: &Leave{Incarnation: 7}},
		"lapse":   {Fleet: "f", Expire: &Expire{Incarnation: 8, Seq: 9}},
		"release": {Fleet: "f", Release: &Release{Incarnation: 10}},
		"set": {Fleet: "f", SetBudgets: &SetBudgets{Version: 11, Budgets: []Budget{
			{Name: "rate", Kind: KindRate, Total: 12, Burst: 13, LendFloors: true, Rules: map[string]AllocationRule{"a": {Weight: 14, Floor: 15, Ceiling: 16}, "b": {}}},
			{Name: "held", Kind: KindConcurrency, Total: 17}}}},
	}
}

func storedAnswer() Answer {
	return Answer{Incarnation: 1, Seq: 2, Generation: 3, Version: 4,
		Shares: map[string]Share{"rate": {Amount: 5, Floor: 6, Burst: 7, MorePending: true}, "held": {Amount: 8}}}
}

// storedState has one live member, one expired member and one that has joined and not renewed yet.
func storedState(t *testing.T) *State {
	s := New(Settings{Fleet: "f", Generation: 2, MaxMembers: 8})
	apply := func(c Command) Answer {
		c.Fleet = "f"
		a, err := s.Apply(c)
		require.NoError(t, err)
		return a
	}
	apply(Command{SetBudgets: &SetBudgets{Version: 5, Budgets: []Budget{
		{Name: "rate", Kind: KindRate, Total: 100 * unit, Burst: 20 * unit, Rules: map[string]AllocationRule{"a": {Weight: 2, Floor: 10 * unit, Ceiling: 90 * unit}}},
		{Name: "held", Kind: KindConcurrency, Total: 6 * unit, LendFloors: true}}}})
	a := apply(Command{Join: &Join{Name: "a", Nonce: 11}}).Incarnation
	b := apply(Command{Join: &Join{Name: "b", Nonce: 12}}).Incarnation
	apply(Command{Join: &Join{Name: "c", Nonce: 13}})
	usage := map[string]Usage{"rate": {Demand: 40 * unit}, "held": {MaxUse: unit, Demand: 3 * unit}}
	apply(Command{Renew: &Renew{Incarnation: a, Seq: 1, Usage: usage}})
	apply(Command{Renew: &Renew{Incarnation: b, Seq: 2, Usage: usage}})
	apply(Command{Expire: &Expire{Incarnation: a, Seq: 1}})
	return s
}

// requireStored requires that value is encoded as the file's bytes, and that the file decoded into fresh and
// encoded again gives the same bytes.
func requireStored(t *testing.T, name string, value, fresh any) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "stored", name+".json"))
	require.NoError(t, err)
	got, err := json.Marshal(value)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "%s encoded", name)
	strict := json.NewDecoder(bytes.NewReader(want))
	strict.DisallowUnknownFields()
	require.NoError(t, strict.Decode(fresh))
	got, err = json.Marshal(fresh)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "%s decoded and encoded again", name)
}

// Commands are stored in the raft log, and commands and answers are sent to peers of other versions of this
// program.
func TestStoredCommandsAndAnswerKeepTheirBytes(t *testing.T) {
	for name, c := range storedCommands() {
		requireStored(t, name, c, &Command{})
	}
	requireStored(t, "answer", storedAnswer(), &Answer{})
}

// Snapshots are read after an upgrade, and overviews are read by the command line and by scripts.
func TestStoredSnapshotAndOverviewKeepTheirBytes(t *testing.T) {
	s := storedState(t)
	o := s.Overview()
	o.Leader = "a"
	requireStored(t, "overview", o, &Overview{})
	want, err := os.ReadFile(filepath.Join("testdata", "stored", "snapshot.json"))
	require.NoError(t, err)
	got, err := s.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	restored := New(Settings{Fleet: "f", Generation: 2, MaxMembers: 8})
	require.NoError(t, restored.Restore(want))
	got, err = restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	require.Equal(t, s.Overview(), restored.Overview())
}
