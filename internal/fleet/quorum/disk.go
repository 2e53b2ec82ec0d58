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

// ErrDamaged is the cause where a voter's folder cannot be trusted. It is not mended by itself: what the
// voter has acknowledged is lost with it.
var ErrDamaged = errors.New("quorum: the voter's folder is damaged")

// diskAgain is the wait between two tries of a write that the library must not be told has failed.
const diskAgain = 50 * time.Millisecond

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// disk stands between raft and its store on disk. The library ends the process where a term cannot be
// written, or an entry not be read; a voter's disk must not end the dispatcher. So a term or vote that
// cannot be written is tried again, with the voter mute, until it can be; and an entry that cannot be read
// ends the voter alone. Entries carry a checksum: one that reads otherwise than it was written would leave
// this voter with a state of its own.
type disk struct {
	store *boltdb.BoltStore
	stop  <-chan struct{} // the voter ends
	runs  atomic.Bool     // raft has the store: errors are kept from it
	once  sync.Once
	bad   chan struct{} // closed once why is set
	why   error
}

// openDisk opens the store and reads all of it.
func openDisk(o boltdb.Options, stop <-chan struct{}) (d *disk, err error) {
	d = &disk{stop: stop, bad: make(chan struct{})}
	defer guard(&err)()
	if d.store, err = boltdb.New(o); err != nil {
		for _, e := range []error{bbolterrors.ErrInvalid, bbolterrors.ErrVersionMismatch, bbolterrors.ErrChecksum} {
			if errors.Is(err, e) {
				err = damaged(err)
			}
		}
		return nil, err
	}
	first, err := d.FirstIndex()
	if err != nil {
		return d, damaged(err)
	}
	last, err := d.LastIndex()
	if err != nil {
		return d, damaged(err)
	}
	for i := first; i > 0 && i <= last; i++ {
		if err := d.GetLog(i, &raft.Log{}); err != nil {
			return d, damaged(fmt.Errorf("entry %d of %d to %d: %w", i, first, last, err))
		}
	}
	return d, nil
}

func (d *disk) close() error {
	if d == nil || d.store == nil {
		return nil
	}
	return d.store.Close()
}

func damaged(err error) error {
	if errors.Is(err, ErrDamaged) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrDamaged, err)
}

// newRaft starts raft on a log. Raft panics over a log whose first entries are missing, and no snapshot
// covers them: that is a damaged folder, and must not end the process.
func newRaft(c *raft.Config, f raft.FSM, d *disk, snaps raft.SnapshotStore, t raft.Transport) (r *raft.Raft, err error) {
	defer func() {
		if p := recover(); p != nil {
			r, err = nil, damaged(fmt.Errorf("raft: %v", p))
		}
	}()
	return raft.NewRaft(c, f, d, d, snaps, t)
}

// guard turns a fault or a panic on the mapped file into an error.
func guard(err *error) func() {
	was := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(was)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}
}

// read calls f, and ends the calling goroutine, which is then raft's, where the store cannot be read.
func (d *disk) read(f func() error) error {
	err := func() (err error) {
		defer guard(&err)()
		return f()
	}()
	if err == nil || errors.Is(err, raft.ErrLogNotFound) || errors.Is(err, boltdb.ErrKeyNotFound) || !d.runs.Load() {
		return err
	}
	d.fail(damaged(err))
	runtime.Goexit()
	return err
}

// fail ends the voter's use, for the first reason given.
func (d *disk) fail(why error) {
	d.once.Do(func() { d.why = why; close(d.bad) })
}

// insist calls f until it has done its work; at the voter's end it ends the calling goroutine.
func (d *disk) insist(f func() error) error {
	for {
		err := d.read(func() error {
			if err := f(); errors.Is(err, ErrDamaged) || err == nil || !d.runs.Load() {
				return err
			}
			return errTryAgain
		})
		if !errors.Is(err, errTryAgain) {
			return err
		}
		select {
		case <-d.stop:
			runtime.Goexit()
		case <-time.After(diskAgain):
		}
	}
}

// errTryAgain is a write's that may go through later: what read passes on.
var errTryAgain = fmt.Errorf("quorum: not written yet: %w", raft.ErrLogNotFound)

// sum is an entry's checksum.
func sum(l *raft.Log) []byte {
	var head [17]byte
	binary.LittleEndian.PutUint64(head[:], l.Index)
	binary.LittleEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	return binary.LittleEndian.AppendUint32(nil, crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, l.Data))
}

// FirstIndex is the first entry's; it implements raft.LogStore, as what follows does.
func (d *disk) FirstIndex() (n uint64, err error) {
	err = d.read(func() (err error) { n, err = d.store.FirstIndex(); return err })
	return n, err
}

// LastIndex is the last entry's.
func (d *disk) LastIndex() (n uint64, err error) {
	err = d.read(func() (err error) { n, err = d.store.LastIndex(); return err })
	return n, err
}

// GetLog reads one entry and checks it.
func (d *disk) GetLog(index uint64, l *raft.Log) error {
	return d.read(func() error {
		if err := d.store.GetLog(index, l); err != nil {
			return err
		}
		if l.Index != index || !bytes.Equal(l.Extensions, sum(l)) {
			return fmt.Errorf("%w: entry %d is not what was written", ErrDamaged, index)
		}
		l.Extensions = nil
		return nil
	})
}

// StoreLog writes one entry.
func (d *disk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries with their checksums. An error is raft's to deal with: it acknowledges none.
func (d *disk) StoreLogs(logs []*raft.Log) (err error) {
	defer guard(&err)()
	summed := make([]*raft.Log, len(logs))
	for i, l := range logs {
		one := *l
		one.Extensions = sum(l)
		summed[i] = &one
	}
	return d.store.StoreLogs(summed)
}

// DeleteRange deletes entries, the bounds among them.
func (d *disk) DeleteRange(first, last uint64) (err error) {
	defer guard(&err)()
	return d.store.DeleteRange(first, last)
}

// Set writes a key; it implements raft.StableStore, as what follows does.
func (d *disk) Set(k, v []byte) error { return d.insist(func() error { return d.store.Set(k, v) }) }

// Get reads a key.
func (d *disk) Get(k []byte) (v []byte, err error) {
	err = d.read(func() (err error) { v, err = d.store.Get(k); return err })
	return v, err
}

// SetUint64 writes a number.
func (d *disk) SetUint64(k []byte, v uint64) error {
	return d.insist(func() error { return d.store.SetUint64(k, v) })
}

// GetUint64 reads a number.
func (d *disk) GetUint64(k []byte) (v uint64, err error) {
	err = d.read(func() (err error) { v, err = d.store.GetUint64(k); return err })
	return v, err
}
