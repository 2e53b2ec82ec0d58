package rpc

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// Replies are sent to peers of other versions of this program, so their encoding must not change.
func TestReplyKeepsItsBytes(t *testing.T) {
	for name, r := range map[string]reply{
		"granted": {Answer: ledger.Answer{Incarnation: 1, Seq: 2, Generation: 3, Version: 4, Shares: map[string]ledger.Share{"b": {Amount: 5, Floor: 6, Burst: 7, MorePending: true}}}},
		"refused": {Answer: ledger.Answer{Generation: 3}, Err: "not leader", Text: "quorum: not the leader", Leader: "a"},
	} {
		want, err := os.ReadFile(filepath.Join("testdata", "reply", name+".json"))
		require.NoError(t, err)
		got, err := json.Marshal(r)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), "%s encoded", name)
		strict := json.NewDecoder(bytes.NewReader(want))
		strict.DisallowUnknownFields()
		read := reply{}
		require.NoError(t, strict.Decode(&read))
		require.Equal(t, r, read, name)
	}
}

// Peers act on these names and log these texts. A renamed key would be unknown to a peer of another version.
func TestErrorNamesOnTheWire(t *testing.T) {
	texts := map[string]string{}
	for name, err := range wireErrors {
		texts[name] = err.Error()
	}
	require.Equal(t, map[string]string{
		"foreign":    "ledger: another fleet's command",
		"lapsed":     "ledger: no such member, or its lease has lapsed; it has to join anew",
		"old":        "ledger: an older ask than the last one",
		"full":       "ledger: no room for another member",
		"version":    "ledger: not the next version",
		"not leader": "quorum: not the leader",
		"unsure":     "quorum: may or may not be written",
	}, texts)
}
