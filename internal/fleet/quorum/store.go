package quorum

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// ErrCorrupt reports that a voter's directory is damaged. The voter does not repair it, because entries that
// it has acknowledged may be lost.
var ErrCorrupt = errors.New("quorum: the voter's folder is damaged")

// writeRetryDelay is the wait before a failed write is retried. Raft panics if these writes return an error.
const writeRetryDelay = 50 * time.Millisecond

// castagnoli is the polynomial table of the entries' checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checkedStore wraps raft's store on disk. Raft panics if it cannot write a term or read an entry, but a
// voter's disk error must not end the dispatcher. So a term or vote that cannot be written is retried until
// it succeeds, while the voter takes no part in raft; and an entry that cannot be read stops only the voter.
// Entries carry a checksum: a corrupted entry would make this voter's state differ from the others'.
type checkedStore struct {
	store       *boltdb.BoltStore
	stop        <-chan struct{} // closed when the voter is closed
	raftRunning atomic.Bool     // raft uses the store: errors that it would panic on are not returned
	once        sync.Once
	failed      chan struct{} // closed once cause is set
	cause       error
}

// openStore opens the store and verifies all its entries.
func openStore(o boltdb.Options, stop <-chan struct{}) (s *checkedStore, err error) {
	s = &checkedStore{stop: stop, failed: make(chan struct{})}
	defer recoverFault(&err)()
	if s.store, err = boltdb.New(o); err != nil {
		for _, e := range []error{bbolterrors.ErrInvalid, bbolterrors.ErrVersionMismatch, bbolterrors.ErrChecksum} {
			if errors.Is(err, e) {
				err = wrapCorrupt(err)
			}
		}
		return nil, err
	}
	first, err := s.FirstIndex()
	if err != nil {
		return s, wrapCorrupt(err)
	}
	last, err := s.LastIndex()
	if err != nil {
		return s, wrapCorrupt(err)
	}
	for i := first; i > 0 && i <= last; i++ {
		if err := s.GetLog(i, &raft.Log{}); err != nil {
			return s, wrapCorrupt(fmt.Errorf("entry %d of %d to %d: %w", i, first, last, err))
		}
	}
	return s, nil
}

// closeStore closes the file. It may be called on a nil or unopened store.
func (s *checkedStore) closeStore() error {
	if s == nil || s.store == nil {
		return nil
	}
	return s.store.Close()
}

// wrapCorrupt marks an error as ErrCorrupt.
func wrapCorrupt(err error) error {
	if errors.Is(err, ErrCorrupt) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// newRaft starts raft on a store. Raft panics if the log's first entries are missing and no snapshot covers
// them; newRaft returns ErrCorrupt instead.
func newRaft(config *raft.Config, fsm raft.FSM, store *checkedStore, snapshots raft.SnapshotStore, transport raft.Transport) (r *raft.Raft, err error) {
	defer func() {
		if p := recover(); p != nil {
			r, err = nil, wrapCorrupt(fmt.Errorf("raft: %v", p))
		}
	}()
	return raft.NewRaft(config, fsm, store, store, snapshots, transport)
}

// recoverFault turns a memory fault or panic while accessing the mapped file into an error. The function that
// it returns must be deferred.
func recoverFault(err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}
}

// read calls f. If the store cannot be read while raft is running, it fails the voter and ends the calling
// goroutine, which is raft's.
func (s *checkedStore) read(f func() error) error {
	err := func() (err error) {
		defer recoverFault(&err)()
		return f()
	}()
	if err == nil || errors.Is(err, raft.ErrLogNotFound) || errors.Is(err, boltdb.ErrKeyNotFound) || !s.raftRunning.Load() {
		return err
	}
	s.fail(wrapCorrupt(err))
	runtime.Goexit()
	return err
}

// fail marks the voter as failed. Only the first cause is kept.
func (s *checkedStore) fail(cause error) {
	s.once.Do(func() { s.cause = cause; close(s.failed) })
}

// retryWrite calls f until it succeeds. When the voter is closed, it ends the calling goroutine.
func (s *checkedStore) retryWrite(f func() error) error {
	for {
		err := s.read(func() error {
			if err := f(); errors.Is(err, ErrCorrupt) || err == nil || !s.raftRunning.Load() {
				return err
			}
			return errWritePending
		})
		if !errors.Is(err, errWritePending) {
			return err
		}
		select {
		case <-s.stop:
			runtime.Goexit()
		case <-time.After(writeRetryDelay):
		}
	}
}

// errWritePending marks a write to be retried. It wraps raft.ErrLogNotFound because read returns that error
// without failing the voter.
var errWritePending = fmt.Errorf("quorum: not written yet: %w", raft.ErrLogNotFound)

// entryChecksum returns the checksum of an entry's index, term, type and data.
func entryChecksum(l *raft.Log) []byte {
	var head [17]byte
	binary.LittleEndian.PutUint64(head[:], l.Index)
	binary.LittleEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	return binary.LittleEndian.AppendUint32(nil, crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, l.Data))
}

// FirstIndex returns the index of the first entry. It and the methods up to DeleteRange implement
// raft.LogStore.
func (s *checkedStore) FirstIndex() (n uint64, err error) {
	err = s.read(func() (err error) { n, err = s.store.FirstIndex(); return err })
	return n, err
}

// LastIndex returns the index of the last entry.
func (s *checkedStore) LastIndex() (n uint64, err error) {
	err = s.read(func() (err error) { n, err = s.store.LastIndex(); return err })
	return n, err
}

// GetLog reads one entry and verifies its checksum.
func (s *checkedStore) GetLog(index uint64, l *raft.Log) error {
	return s.read(func() error {
		if err := s.store.GetLog(index, l); err != nil {
			return err
		}
		if l.Index != index || !bytes.Equal(l.Extensions, entryChecksum(l)) {
			return fmt.Errorf("%w: entry %d is not what was written", ErrCorrupt, index)
		}
		l.Extensions = nil
		return nil
	})
}

// StoreLog writes one entry.
func (s *checkedStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries with their checksums. Raft handles an error by acknowledging none of them.
func (s *checkedStore) StoreLogs(logs []*raft.Log) (err error) {
	defer recoverFault(&err)()
	checksummed := make([]*raft.Log, len(logs))
	for i, l := range logs {
		entry := *l
		entry.Extensions = entryChecksum(l)
		checksummed[i] = &entry
	}
	return s.store.StoreLogs(checksummed)
}

// DeleteRange deletes the entries from first to last, inclusive.
func (s *checkedStore) DeleteRange(first, last uint64) (err error) {
	defer recoverFault(&err)()
	return s.store.DeleteRange(first, last)
}

// Set writes a key. It and the methods below implement raft.StableStore.
func (s *checkedStore) Set(k, v []byte) error {
	return s.retryWrite(func() error { return s.store.Set(k, v) })
}

// Get reads a key.
func (s *checkedStore) Get(k []byte) (v []byte, err error) {
	err = s.read(func() (err error) { v, err = s.store.Get(k); return err })
	return v, err
}

// SetUint64 writes a key with an integer value.
func (s *checkedStore) SetUint64(k []byte, v uint64) error {
	return s.retryWrite(func() error { return s.store.SetUint64(k, v) })
}

// GetUint64 reads a key with an integer value.
func (s *checkedStore) GetUint64(k []byte) (v uint64, err error) {
	err = s.read(func() (err error) { v, err = s.store.GetUint64(k); return err })
	return v, err
}
