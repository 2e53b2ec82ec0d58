package jobstore

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
)

// A store file outlives the program that wrote it, so the stored bytes must not change. The
// constants hold records of format version 1.
const (
	jobRecordHex   = "54524a4a0129ac0206483a6e303a37076e61762d72756e03752d31aab4aed8c7bfce972f0109736f6d6500646174619ebc235a"
	stateRecordHex = "54524a53014dac020580a8a69ccebfce972f0104060103732d3111020380d0fcd5d5bfce972f020103732d3212040880f8d28fddbfce972f0607756e6b6e6f776e80a0a9c9e4bfce972f80c8ff82ecbfce972fa9771f59"
	emptyStateHex  = "54524a53010b0100000000000000000000ae298567"
	dueKeyHex      = "0117979cfe71c4ca00000000000000012c"
	indexEntryHex  = "096e61762d72756e"
)

var (
	formatJob = &Job{ID: 300, Handle: "H:n0:7", Function: "nav-run", UniqueID: "u-1", Data: []byte("some\x00data"),
		AcceptedAt: 1_700_000_000_123_456_789, DueSetByClient: true}
	formatState = &State{ID: 300, Revision: 5, Due: 1_700_000_001_000_000_000, DueSetByClient: true, Offers: 2, Sends: 3,
		FirstSend:  &Send{WorkerName: "s-1", WorkerID: 17, Zone: 1, Cell: -2, At: 1_700_000_002_000_000_000, Attempt: 1},
		LastSend:   &Send{WorkerName: "s-2", WorkerID: 18, Zone: 2, Cell: 4, At: 1_700_000_003_000_000_000, Attempt: 3},
		DeadReason: "unknown", DeadSince: 1_700_000_004_000_000_000, ReleasedAt: 1_700_000_005_000_000_000}
)

func fromHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	require.NoError(t, err)
	return b
}

func TestRecordFormat(t *testing.T) {
	require.Equal(t, jobRecordHex, hex.EncodeToString(encodeJob(formatJob)))
	job, size, err := decodeJob(fromHex(t, jobRecordHex))
	require.NoError(t, err)
	require.Equal(t, formatJob, job)
	require.Equal(t, len(jobRecordHex)/2, size)

	for text, want := range map[string]*State{stateRecordHex: formatState, emptyStateHex: {ID: 1}} {
		require.Equal(t, text, hex.EncodeToString(encodeState(want)))
		state, size, err := decodeState(fromHex(t, text))
		require.NoError(t, err)
		require.Equal(t, want, state)
		require.Equal(t, len(text)/2, size)
	}
}

func TestIndexFormat(t *testing.T) {
	require.Equal(t, dueKeyHex, hex.EncodeToString(dueIndexKey(formatState)))
	require.Equal(t, indexEntryHex, hex.EncodeToString(encodeIndexEntry(formatJob)))
	size, function := decodeIndexEntry(fromHex(t, indexEntryHex))
	require.EqualValues(t, len(formatJob.Data), size)
	require.Equal(t, formatJob.Function, function)
	require.Equal(t, "nav-run\x00u-1", string(uniqueIndexKey(formatJob.Function, formatJob.UniqueID)))
}

// The layout of the store's file must not change: the bucket names, the keys and values in each, and
// the suffixes of the files next to it.
func TestFileFormat(t *testing.T) {
	s := openStore(t, Options{Path: t.TempDir() + "/jobs", Now: func() time.Duration { return 1 }})
	done := make(chan error, 1)
	s.Put(&Job{ID: s.NextID(), Handle: "H:n0:1", Function: "f", UniqueID: "u", Data: []byte("d"), AcceptedAt: 2}, &State{Due: 3},
		func(err error) { done <- err })
	require.NoError(t, <-done)
	got := map[string]string{}
	require.NoError(t, s.db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			got[string(name)] = ""
			return b.ForEach(func(k, v []byte) error {
				got[string(name)] += hex.EncodeToString(k) + "=" + hex.EncodeToString(v) + " "
				return nil
			})
		})
	}))
	require.Equal(t, map[string]string{
		"damaged": "",
		"dead":    "",
		"due":     "0000000000000000030000000000000001=0166 ",
		"handles": "483a6e303a31=0000000000000001 ",
		"jobs":    "0000000000000001=54524a4a01100106483a6e303a310166017504000164d13af075 ",
		"meta":    "6c617374=0000000000000001 7365656e=0000000000000001 76657273696f6e=01 ",
		"states":  "0000000000000001=54524a53010b01010600000000000000005621e690 ",
		"uniques": "660075=0000000000000001 ",
	}, got)
	require.Equal(t, []string{".compact", ".salvage", ".damaged", "salvaged"}, []string{compactSuffix, salvageSuffix, damagedSuffix, ReasonSalvaged})
}
