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
	salvageSuffix = ".salvage" // a mark beside the file: salvage it at the next start
	damagedSuffix = ".damaged"
	// Salvaged is why a job is dead that was found in a damaged file: it may be one that had
	// ended, and whether and where it was sent may not be known.
	Salvaged = "salvaged"
	// compactTx bounds what one transaction of a copy holds in memory.
	compactTx = 1 << 20
)

// broke notes that the file was found damaged while in use.
func (s *Store) broke(err error) {
	if !errors.Is(err, errDamaged) {
		return
	}
	s.mu.Lock()
	news := s.broken == nil
	if news {
		s.broken = err
	}
	s.mu.Unlock()
	if news {
		s.log.Error("job store damaged", "file", s.o.Path, "err", err)
		s.markDamaged()
	}
}

func (s *Store) markDamaged() { _ = os.WriteFile(s.o.Path+salvageSuffix, nil, 0o600) }

// salvage sets a damaged file aside, makes a new one, and takes over what the old one's bytes
// still hold. Records that were deleted may be found again, so what comes back is dead: to be
// looked at, and released by hand where a repeat is harmless.
func (s *Store) salvage(why error) error {
	jobs, states, highest, err := scan(s.o.Path)
	if err == nil && len(jobs) == 0 && !isTree(s.o.Path) {
		err = fmt.Errorf("%s: neither a job store nor what is left of one", s.o.Path)
	}
	if err != nil {
		return errors.Join(why, err)
	}
	aside := s.o.Path + damagedSuffix
	for n := 1; ; n++ {
		if _, err := os.Stat(aside); errors.Is(err, os.ErrNotExist) {
			break
		}
		aside = fmt.Sprintf("%s%s.%d", s.o.Path, damagedSuffix, n)
	}
	if err := os.Rename(s.o.Path, aside); err != nil {
		return errors.Join(why, err)
	}
	_ = os.Remove(s.o.Path + salvageSuffix)
	if err := s.load(); err != nil {
		return errors.Join(why, err)
	}
	s.next.Store(max(s.next.Load(), highest))
	batch, size := []*write{}, 0
	flush := func() error {
		err := s.transact(s.db, batch)
		batch, size = batch[:0], 0
		return err
	}
	for id, j := range jobs {
		st := states[id]
		if st == nil {
			st = &State{ID: id, Due: j.Accepted}
		}
		st.Rev++
		if st.Dead == "" {
			st.Dead, st.Since = Salvaged, s.o.Now()
		}
		rec, srec, key, e := encodeJob(j), encodeState(st), u64(id), entry(j)
		batch = append(batch, &write{apply: func(tx *bolt.Tx) error {
			return errors.Join(tx.Bucket(bJobs).Put(key, rec), tx.Bucket(bStates).Put(key, srec), tx.Bucket(bDead).Put(key, e),
				tx.Bucket(bHandles).Put([]byte(j.Handle), key))
		}})
		s.jobs, s.dead, s.bytes = s.jobs+1, s.dead+1, s.bytes+int64(len(j.Data))
		if size += len(rec); size > maxBatchBytes || len(batch) >= maxBatch {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	if err := flush(); err != nil {
		return err
	}
	s.log.Error("job store salvaged", "file", s.o.Path, "aside", aside, "jobs", len(jobs), "err", why)
	return nil
}

// isTree tells whether a file begins as bbolt's do, on either of its first pages.
func isTree(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	head := make([]byte, 64<<10)
	n, _ := io.ReadFull(f, head)
	return bytes.Contains(head[:n], []byte{0xed, 0xda, 0x0c, 0xed})
}

// scan finds the records in a file's bytes, whatever its tree says: the newest of each job.
func scan(path string) (jobs map[uint64]*Job, states map[uint64]*State, highest uint64, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, 0, err
	}
	defer func() { _ = f.Close() }()
	jobs, states = map[uint64]*Job{}, map[uint64]*State{}
	const window = 4 * (maxRecord + 64)
	buf := make([]byte, 0, window)
	for end := false; !end; {
		n, err := io.ReadFull(f, buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end = err != nil
		at := 0
		for {
			i := bytes.Index(buf[at:], magic)
			if i < 0 {
				at = max(at, len(buf)-len(magic)+1)
				break
			}
			at += i
			if !end && len(buf)-at < maxRecord+64 { // it may go on behind the window
				break
			}
			if j, size, err := decodeJob(buf[at:]); err == nil {
				jobs[j.ID], highest = j, max(highest, j.ID)
				at += size
			} else if st, size, err := decodeState(buf[at:]); err == nil {
				if old := states[st.ID]; old == nil || st.Rev > old.Rev {
					states[st.ID] = st
				}
				at += size
			} else {
				at++
			}
		}
		buf = buf[:copy(buf[:cap(buf)], buf[min(at, len(buf)):])]
	}
	return jobs, states, highest, nil
}

// compaction is a copy of the file in the making. Meanwhile writes go to the old file, and are
// kept to be repeated on the copy.
type compaction struct {
	path   string
	db     *bolt.DB
	err    error
	copied chan struct{} // the copy of the snapshot is made, or has failed
	mu     sync.Mutex
	kept   []*write
	size   int
	over   bool
}

func (c *compaction) keep(batch []*write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		if w.err == nil && !c.over {
			c.kept, c.size = append(c.kept, w), c.size+w.size
		}
	}
	if len(c.kept) > compactOps || c.size > compactBytes {
		c.over, c.kept = true, nil // the copy is given up: nothing more is held for it
	}
}

func (c *compaction) discard() {
	if c.db != nil {
		_ = c.db.Close()
	}
	_ = os.Remove(c.path)
}

func (s *Store) compactions() chan struct{} {
	if s.compacting != nil {
		return s.compacting.copied
	}
	return nil
}

// perhapsCompact begins a compaction where most of the file is free.
func (s *Store) perhapsCompact() {
	if s.compacting != nil || s.commits%256 != 0 {
		return
	}
	st := s.db.Stats()
	info, err := os.Stat(s.o.Path)
	if err == nil && info.Size() >= compactAt && float64(st.FreePageN*s.db.Info().PageSize) > compactShare*float64(info.Size()) {
		s.compact()
	}
}

// compact begins to copy what is stored as of now into a new file. It is called by the writer.
func (s *Store) compact() {
	c := &compaction{path: s.o.Path + compactSuffix, copied: make(chan struct{})}
	tx, err := s.db.Begin(false) // what comes after it is kept
	if err != nil {
		return
	}
	s.compacting = c
	go func() {
		defer close(c.copied)
		defer s.unfault(&c.err)()
		defer func() { _ = tx.Rollback() }()
		o := s.options()
		o.NoSync = true // it counts for nothing until it is synced as a whole
		if c.db, c.err = bolt.Open(c.path, 0o600, o); c.err == nil {
			c.err = copyAll(c.db, tx)
		}
	}()
}

// copyAll copies every bucket in its order, in transactions of bounded size.
func copyAll(to *bolt.DB, from *bolt.Tx) error {
	for _, b := range buckets {
		var after []byte
		for more := true; more; {
			err := to.Update(func(tx *bolt.Tx) error {
				dst, err := tx.CreateBucketIfNotExists(b)
				if err != nil {
					return err
				}
				dst.FillPercent = 0.9
				c, size := from.Bucket(b).Cursor(), 0
				k, v := c.First()
				if after != nil {
					c.Seek(after)
					k, v = c.Next()
				}
				for ; k != nil && size < compactTx; k, v = c.Next() {
					if err := dst.Put(k, v); err != nil {
						return err
					}
					size += len(k) + len(v)
					after = bytes.Clone(k)
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

// swap puts the copy in the file's place: what was written meanwhile is repeated on it, it is
// synced, and takes the file's name. A crash before the renaming leaves the old file, one after
// it the new; both hold all. Writers wait for the repetition only, readers for the exchange.
func (s *Store) swap() {
	c := s.compacting
	s.compacting = nil
	err := c.err
	if err == nil && c.over {
		err = errors.New("too much was written meanwhile")
	}
	for at := 0; err == nil && at < len(c.kept); {
		end := min(at+maxBatch, len(c.kept))
		batch := make([]*write, 0, end-at)
		for _, w := range c.kept[at:end] {
			batch = append(batch, &write{apply: w.apply})
		}
		err = s.transact(c.db, batch)
		at = end
	}
	if err == nil {
		err = c.db.Sync()
	}
	if err == nil {
		c.db.NoSync = s.o.NoSync
		s.file.Lock()
		if err = os.Rename(c.path, s.o.Path); err == nil {
			err = syncDir(s.o.Path)
			old := s.db
			s.db = c.db
			_ = old.Close()
		}
		s.file.Unlock()
	}
	if err != nil {
		c.discard()
		s.log.Warn("job store not compacted", "file", s.o.Path, "err", err)
		return
	}
	if info, err := os.Stat(s.o.Path); err == nil {
		s.log.Info("job store compacted", "file", s.o.Path, "bytes", info.Size())
	}
}

func syncDir(path string) error {
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Compact makes the file small now, and calls done when the copy has been begun.
func (s *Store) Compact(done func(error)) {
	s.send(0, func(*bolt.Tx) error { return refusal{errCompact} }, func(error) {
		if s.compacting == nil {
			s.compact()
		}
		done(nil)
	})
}

var errCompact = errors.New("compact")
