package jobstore

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	bolt "go.etcd.io/bbolt"
)

const (
	compactSuffix = ".compact"
	salvageSuffix = ".salvage" // an empty marker file; the next start salvages the store's file
	damagedSuffix = ".damaged"
	// ReasonSalvaged is the DeadReason of jobs that were recovered from a damaged file. Such a job may
	// have ended already, and it may be unknown whether and where it was sent.
	ReasonSalvaged = "salvaged"
	// copyTxBytes limits the memory that one transaction of a compaction uses.
	copyTxBytes = 1 << 20
)

// noteDamage makes the store unavailable if err says that its file is damaged.
func (s *Store) noteDamage(err error) {
	if !errors.Is(err, errDamaged) {
		return
	}
	s.mu.Lock()
	first := s.damageErr == nil
	if first {
		s.damageErr = err
	}
	s.mu.Unlock()
	if first {
		s.log.Error("job store damaged; unavailable until a restart salvages its file", "file", s.opts.Path, "err", err)
		s.requestSalvage()
	}
}

// requestSalvage makes the next start salvage the file. If the marker cannot be written, the next
// start checks the file as always.
func (s *Store) requestSalvage() { _ = os.WriteFile(s.opts.Path+salvageSuffix, nil, 0o600) }

// salvage renames a damaged file, creates a new one, and copies the records that are still readable
// in the old one. These may include deleted records, so all recovered jobs become dead letters. An
// operator can release those that are safe to run again.
func (s *Store) salvage(cause error) error {
	jobs, states, highestID, err := scanRecords(s.opts.Path)
	if err == nil && len(jobs) == 0 && !isBoltFile(s.opts.Path) {
		err = fmt.Errorf("%s: neither a job store nor the remains of one", s.opts.Path)
	}
	if err != nil {
		return errors.Join(cause, err)
	}
	damagedPath := s.opts.Path + damagedSuffix
	for n := 1; ; n++ {
		if _, err := os.Stat(damagedPath); errors.Is(err, os.ErrNotExist) {
			break
		}
		damagedPath = fmt.Sprintf("%s%s.%d", s.opts.Path, damagedSuffix, n)
	}
	if err := os.Rename(s.opts.Path, damagedPath); err != nil {
		return errors.Join(cause, err)
	}
	_ = os.Remove(s.opts.Path + salvageSuffix)
	if err := s.loadFile(); err != nil {
		return errors.Join(cause, err)
	}
	s.lastID.Store(max(s.lastID.Load(), highestID))
	batch, batchBytes := []*write{}, 0
	flush := func() error {
		err := s.applyBatch(s.db, batch)
		batch, batchBytes = batch[:0], 0
		return err
	}
	for id, job := range jobs {
		state := states[id]
		if state == nil {
			state = &State{ID: id, Due: job.AcceptedAt}
		}
		state.Revision++
		if state.DeadReason == "" {
			state.DeadReason, state.DeadSince = ReasonSalvaged, s.opts.Now()
		}
		jobRecord, stateRecord, idKey, indexEntry := encodeJob(job), encodeState(state), encodeUint64(id), encodeIndexEntry(job)
		batch = append(batch, &write{apply: func(tx *bolt.Tx) error {
			return errors.Join(
				tx.Bucket(jobsBucket).Put(idKey, jobRecord),
				tx.Bucket(statesBucket).Put(idKey, stateRecord),
				tx.Bucket(deadBucket).Put(idKey, indexEntry),
				tx.Bucket(handlesBucket).Put([]byte(job.Handle), idKey))
		}})
		s.jobCount, s.deadCount, s.dataBytes = s.jobCount+1, s.deadCount+1, s.dataBytes+int64(len(job.Data))
		if batchBytes += len(jobRecord); batchBytes > maxBatchBytes || len(batch) >= maxBatch {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	if err := flush(); err != nil {
		return err
	}
	s.log.Error("job store was damaged; salvaged its readable jobs as dead letters and kept the damaged file",
		"file", s.opts.Path, "aside", damagedPath, "jobs", len(jobs), "err", cause)
	return nil
}

// isBoltFile reports whether one of the meta pages at the start of a file has bbolt's magic number.
func isBoltFile(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	start := make([]byte, 64<<10)
	n, _ := io.ReadFull(f, start)
	return bytes.Contains(start[:n], []byte{0xed, 0xda, 0x0c, 0xed})
}

// scanRecords searches a file for records without using its B+ tree. It returns the jobs, the latest
// state of each, and the highest job ID.
func scanRecords(path string) (jobs map[uint64]*Job, states map[uint64]*State, highestID uint64, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, 0, err
	}
	defer func() { _ = f.Close() }()
	jobs, states = map[uint64]*Job{}, map[uint64]*State{}
	const windowSize = 4 * (maxBodySize + 64)
	buf := make([]byte, 0, windowSize)
	for atEOF := false; !atEOF; {
		n, err := io.ReadFull(f, buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		atEOF = err != nil
		offset := 0
		for {
			i := bytes.Index(buf[offset:], recordMagic)
			if i < 0 {
				offset = max(offset, len(buf)-len(recordMagic)+1)
				break
			}
			offset += i
			if !atEOF && len(buf)-offset < maxBodySize+64 { // the record may continue beyond the window
				break
			}
			if job, size, err := decodeJob(buf[offset:]); err == nil {
				jobs[job.ID], highestID = job, max(highestID, job.ID)
				offset += size
			} else if state, size, err := decodeState(buf[offset:]); err == nil {
				if old := states[state.ID]; old == nil || state.Revision > old.Revision {
					states[state.ID] = state
				}
				offset += size
			} else {
				offset++
			}
		}
		buf = buf[:copy(buf[:cap(buf)], buf[min(offset, len(buf)):])]
	}
	return jobs, states, highestID, nil
}

// compaction is a compacted copy of the file that is being written. Meanwhile writes go to the old
// file, and are kept to be repeated on the copy.
type compaction struct {
	path         string
	db           *bolt.DB
	err          error
	copied       chan struct{} // closed when the copy of the snapshot is complete or has failed
	mu           sync.Mutex
	pending      []*write
	pendingBytes int
	overflowed   bool // too many writes are pending; the compaction will be abandoned
}

// addPending keeps the committed writes of a batch, to be repeated on the copy.
func (c *compaction) addPending(batch []*write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		if w.err == nil && !c.overflowed {
			c.pending, c.pendingBytes = append(c.pending, w), c.pendingBytes+w.size
		}
	}
	if len(c.pending) > maxPendingWrites || c.pendingBytes > maxPendingBytes {
		c.overflowed, c.pending = true, nil // the compaction will be abandoned, so free the memory
	}
}

func (c *compaction) discard() {
	if c.db != nil {
		_ = c.db.Close()
	}
	_ = os.Remove(c.path)
}

// copyDone returns a channel that is closed when the current compaction has copied its snapshot. It
// returns nil, which blocks forever, if there is no compaction.
func (s *Store) copyDone() chan struct{} {
	if s.compacting != nil {
		return s.compacting.copied
	}
	return nil
}

// compactIfSparse starts a compaction if most of the file is free. It checks after every 256 commits.
func (s *Store) compactIfSparse() {
	if s.compacting != nil || s.commitCount%256 != 0 {
		return
	}
	stats := s.db.Stats()
	info, err := os.Stat(s.opts.Path)
	if err == nil && info.Size() >= minCompactFileBytes &&
		float64(stats.FreePageN*s.db.Info().PageSize) > minCompactFreeShare*float64(info.Size()) {
		s.startCompaction()
	}
}

// startCompaction starts copying a snapshot of the store into a new file. It must be called from the
// writer goroutine.
func (s *Store) startCompaction() {
	c := &compaction{path: s.opts.Path + compactSuffix, copied: make(chan struct{})}
	tx, err := s.db.Begin(false) // later writes are kept by addPending
	if err != nil {
		return
	}
	s.compacting = c
	go func() {
		defer close(c.copied)
		defer s.recoverFault(&c.err)()
		defer func() { _ = tx.Rollback() }()
		opts := s.boltOptions()
		opts.NoSync = true // the complete copy is synced once, by finishCompaction
		if c.db, c.err = bolt.Open(c.path, 0o600, opts); c.err == nil {
			c.err = copyAll(c.db, tx)
		}
	}()
}

// copyAll copies every bucket in key order, in transactions of limited size.
func copyAll(to *bolt.DB, from *bolt.Tx) error {
	for _, b := range buckets {
		var lastKey []byte
		for more := true; more; {
			err := to.Update(func(tx *bolt.Tx) error {
				dst, err := tx.CreateBucketIfNotExists(b)
				if err != nil {
					return err
				}
				dst.FillPercent = 0.9
				c, size := from.Bucket(b).Cursor(), 0
				k, v := c.First()
				if lastKey != nil {
					c.Seek(lastKey)
					k, v = c.Next()
				}
				for ; k != nil && size < copyTxBytes; k, v = c.Next() {
					if err := dst.Put(k, v); err != nil {
						return err
					}
					size += len(k) + len(v)
					lastKey = bytes.Clone(k)
				}
				more = k != nil
				return nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// finishCompaction repeats the pending writes on the copy, syncs it, and renames it to the store's
// file. A crash before the rename leaves the old file and one after it the new file; both are
// complete. Writes are blocked from the repetition on, reads only during the rename.
func (s *Store) finishCompaction() {
	c := s.compacting
	s.compacting = nil
	err := c.err
	if err == nil && c.overflowed {
		err = errors.New("too many writes during the copy")
	}
	for start := 0; err == nil && start < len(c.pending); {
		end := min(start+maxBatch, len(c.pending))
		batch := make([]*write, 0, end-start)
		for _, w := range c.pending[start:end] {
			batch = append(batch, &write{apply: w.apply})
		}
		err = s.applyBatch(c.db, batch)
		start = end
	}
	if err == nil {
		err = c.db.Sync()
	}
	if err == nil {
		c.db.NoSync = s.opts.NoSync
		s.dbMu.Lock()
		if err = os.Rename(c.path, s.opts.Path); err == nil {
			err = syncDir(s.opts.Path)
			old := s.db
			s.db = c.db
			_ = old.Close()
		}
		s.dbMu.Unlock()
	}
	if err != nil {
		c.discard()
		s.log.Warn("job store not compacted", "file", s.opts.Path, "err", err)
		return
	}
	if info, err := os.Stat(s.opts.Path); err == nil {
		s.log.Info("job store compacted", "file", s.opts.Path, "bytes", info.Size())
	}
}

// syncDir syncs the directory of a file, which makes a rename in it durable.
func syncDir(path string) error {
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Compact starts a compaction, unless one is running, and then calls done.
func (s *Store) Compact(done func(error)) {
	s.enqueue(0, func(*bolt.Tx) error { return writeError{errCompact} }, func(error) {
		if s.compacting == nil {
			s.startCompaction()
		}
		done(nil)
	})
}

// errCompact is the error of a write that changes nothing: its done callback runs on the writer
// goroutine.
var errCompact = errors.New("compact")
