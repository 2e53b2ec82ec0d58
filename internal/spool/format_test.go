package spool

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// A spool outlives the program that wrote it, so the bytes on disk must not change.
const (
	segmentName = "0000000000000001.seg"
	segmentHex  = "000000057756c0f601666972737400000000b34623a6020000000656c05bc7ff746869726400"
	ackHex      = "0000000000000002000000000000000100000000000000170b98219c0000000000000000000000010000000000000001000000000000000e835959de"
)

func TestSegmentFormat(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 1<<20)
	require.NoError(t, s.Append(1, []byte("first")))
	require.NoError(t, s.Append(2, nil))
	require.NoError(t, s.Append(255, []byte("third\x00")))
	for range 2 {
		_, _, token, ok := s.Next()
		require.True(t, ok)
		require.NoError(t, s.Ack(token))
	}
	require.NoError(t, s.Close())
	segment, err := os.ReadFile(filepath.Join(dir, segmentName))
	require.NoError(t, err)
	require.Equal(t, segmentHex, hex.EncodeToString(segment))
	ack, err := os.ReadFile(filepath.Join(dir, "ack"))
	require.NoError(t, err)
	require.Equal(t, ackHex, hex.EncodeToString(ack))
}

func TestReadsStoredSegment(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{segmentName: segmentHex, "ack": ackHex} {
		b, err := hex.DecodeString(text)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), b, 0o600))
	}
	s := open(t, dir, 1<<20)
	require.EqualValues(t, 1, s.Stats().Records)
	kind, body, token, ok := s.Next()
	require.True(t, ok)
	require.EqualValues(t, 255, kind)
	require.Equal(t, "third\x00", string(body))
	require.NoError(t, s.Ack(token))
	_, _, _, ok = s.Next()
	require.False(t, ok)
	require.NoError(t, s.Close())
}
