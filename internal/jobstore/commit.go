package jobstore

import (
	"errors"
	"time"

	bolt "go.etcd.io/bbolt"
)

const (
	maxBatch      = 1024    // writes in one transaction ...
	maxBatchBytes = 4 << 20 // ... and their data
	queue         = 1024    // writes that wait; further writers wait with them
	lockWait      = time.Second
	// A transaction waits for more writes for half of the time that the last ones took, mostWait at
	// most, or until as many have come as lately at the most; every probeMost-th waits on all the same,
	// or the number could not grow. None waits where the last mostVain waits brought no more, but for
	// every probeVain-th.
	mostWait  = 2 * time.Millisecond
	mostVain  = 4
	probeVain = 32
	probeMost = 8
	// retryAfter is how long a store that failed turns jobs away before the next one is tried.
	retryAfter = time.Second
	// compactAt is the least size of a file that is worth making small again, once more than
	// compactShare of it is free.
	compactAt    = 16 << 20
	compactShare = 0.5
	// compactOps bounds the writes that are kept for the new file while it is made, and
	// compactBytes their data; a compaction that meets more is given up and tried later.
	compactOps   = 100_000
	compactBytes = 64 << 20
)

// write is one change. apply checks before it writes: what it returns as a refusal must have
// changed nothing. It may run twice, on the old file and on its compacted copy, so it must
// depend on nothing but the file and what it was made with.
type write struct {
	apply func(tx *bolt.Tx) error
	size  int
	done  func(error)
	err   error
}

// run is the one writer.
func (s *Store) run() {
	defer close(s.ended)
	for {
		var batch []*write
		select {
		case w := <-s.writes:
			batch = s.gather(w)
		case <-s.compactions():
			s.swap()
			continue
		case <-s.stop:
			for {
				select {
				case w := <-s.writes:
					s.commit(s.gather(w))
				default:
					return
				}
			}
		}
		s.commit(batch)
		s.perhapsCompact()
	}
}

// gather takes what waits, and waits a little for more where that has lately paid.
//
// On one processor the writers cannot run while the disk is synced: when it is done none waits yet,
// and the first that comes wakes this goroutine before the others have come. Without the wait each
// would get a transaction of its own, however many there are.
func (s *Store) gather(first *write) []*write {
	batch, size := []*write{first}, first.size
	take := func(limit <-chan time.Time) (more bool) {
		select {
		case w := <-s.writes:
			batch, size = append(batch, w), size+w.size
			return true
		default:
		}
		if limit == nil {
			return false
		}
		select {
		case w := <-s.writes:
			batch, size = append(batch, w), size+w.size
			return true
		case <-limit:
			return false
		case <-s.stop:
			return false
		}
	}
	var limit <-chan time.Time
	if s.vain++; !s.o.Single && (s.vain <= mostVain || s.vain%probeVain == 0) && s.took > 0 {
		t := time.NewTimer(min(s.took/2, mostWait))
		defer t.Stop()
		limit = t.C
	}
	for !s.o.Single && len(batch) < maxBatch && size < maxBatchBytes && take(limit) {
		if len(batch) >= s.most && s.turns%probeMost != 0 { // as many as have lately come at once: who else would
			limit = nil
		}
	}
	s.turns++
	if s.most = max(len(batch), s.most-(s.most+15)/16); len(batch) > 1 {
		s.vain = 0
	}
	return batch
}

// commit carries out the writes and tells each of its end.
func (s *Store) commit(batch []*write) {
	begun := time.Now()
	err := s.transact(s.db, batch)
	s.took = (3*s.took + time.Since(begun)) / 4
	s.mu.Lock()
	s.commits++
	s.written += len(batch)
	news := (err != nil) != (s.why != nil)
	if err != nil {
		s.failed, s.why = time.Now(), err
		if errors.Is(err, errDamaged) && s.broken == nil {
			s.broken, news = err, true
		}
	} else {
		s.failed, s.why = time.Time{}, nil
	}
	broken := s.broken != nil
	s.mu.Unlock()
	switch {
	case broken && news:
		s.log.Error("job store damaged", "file", s.o.Path, "err", err)
		s.markDamaged()
	case err != nil && news:
		s.log.Error("job store fails", "file", s.o.Path, "err", err)
	case err == nil && news:
		s.log.Info("job store well again", "file", s.o.Path)
	}
	if c := s.compacting; err == nil && c != nil {
		c.keep(batch)
	}
	for _, w := range batch {
		if w.err == nil {
			w.err = err
		}
		if w.done != nil {
			w.done(w.err)
		}
	}
}

func (s *Store) transact(db *bolt.DB, batch []*write) (err error) {
	defer s.unfault(&err)()
	s.mu.Lock()
	if s.broken != nil {
		s.mu.Unlock()
		return s.broken
	}
	s.mu.Unlock()
	return db.Update(func(tx *bolt.Tx) error {
		changed := false
		for _, w := range batch {
			w.err = w.apply(tx)
			if r := (refusal{}); w.err != nil && !errors.As(w.err, &r) {
				err := w.err
				w.err = nil
				return err
			}
			changed = changed || w.err == nil
		}
		if !changed {
			return nil
		}
		meta := tx.Bucket(bMeta)
		if err := errors.Join(meta.Put(kSeen, u64(uint64(s.o.Now()))), meta.Put(kLast, u64(s.next.Load()))); err != nil {
			return err
		}
		if s.o.Commit != nil {
			return s.o.Commit()
		}
		return nil
	})
}

// send hands a write to the writer. done may be nil. It must not be called from a done: Close
// waits for it, and it for the writer.
func (s *Store) send(size int, apply func(*bolt.Tx) error, done func(error)) {
	s.closing.RLock()
	if !s.closed {
		s.writes <- &write{apply: apply, size: size, done: done}
		s.closing.RUnlock()
		return
	}
	s.closing.RUnlock()
	if done != nil {
		done(ErrClosed)
	}
}
