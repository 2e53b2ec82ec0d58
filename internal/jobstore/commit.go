package jobstore

import (
	"errors"
	"time"

	bolt "go.etcd.io/bbolt"
)

const (
	maxBatch        = 1024    // limit on the writes in one transaction
	maxBatchBytes   = 4 << 20 // limit on the data in one transaction
	writeQueueLen   = 1024    // queued writes; callers block while the queue is full
	fileLockTimeout = time.Second
	// A batch waits for more writes for half of the average commit time, at most maxBatchWait, or
	// until it is as large as the largest recent batch. Every peakProbeInterval-th batch waits beyond
	// that size, since batches could not grow otherwise. After maxFruitlessWaits batches of a single
	// write, only every waitProbeInterval-th batch waits.
	maxBatchWait      = 2 * time.Millisecond
	maxFruitlessWaits = 4
	waitProbeInterval = 32
	peakProbeInterval = 8
	// retryDelay is how long new jobs are rejected after a failed commit, before one is tried again.
	retryDelay = time.Second
	// A file is compacted if it has at least minCompactFileBytes and more than minCompactFreeShare
	// of it is free.
	minCompactFileBytes = 16 << 20
	minCompactFreeShare = 0.5
	// maxPendingWrites and maxPendingBytes limit the writes that are kept during a compaction, to be
	// repeated on the new file. A compaction that exceeds them is abandoned and tried again later.
	maxPendingWrites = 100_000
	maxPendingBytes  = 64 << 20
)

// write is one queued change. If apply returns a writeError, it must not have changed anything. It
// may run twice, on the old file and on its compacted copy, so its effect must depend only on the
// file and on the values that it captured.
type write struct {
	apply func(tx *bolt.Tx) error
	size  int
	done  func(error)
	err   error
}

// runWriter commits the queued writes until Close. It is the only goroutine that writes to the file.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	for {
		var batch []*write
		select {
		case w := <-s.writes:
			batch = s.collectBatch(w)
		case <-s.copyDone():
			s.finishCompaction()
			continue
		case <-s.stop:
			for {
				select {
				case w := <-s.writes:
					s.commit(s.collectBatch(w))
				default:
					return
				}
			}
		}
		s.commit(batch)
		s.compactIfSparse()
	}
}

// collectBatch returns the first write together with the queued ones. It waits shortly for more if
// recent waits have brought any.
//
// On a single processor the callers cannot run during fsync, so the queue is empty after it, and the
// first caller that queues a write wakes this goroutine before the other callers can run. Without
// the wait each write would get its own transaction, however many callers there are.
func (s *Store) collectBatch(first *write) []*write {
	batch, size := []*write{first}, first.size
	receive := func(timeout <-chan time.Time) (more bool) {
		select {
		case w := <-s.writes:
			batch, size = append(batch, w), size+w.size
			return true
		default:
		}
		if timeout == nil {
			return false
		}
		select {
		case w := <-s.writes:
			batch, size = append(batch, w), size+w.size
			return true
		case <-timeout:
			return false
		case <-s.stop:
			return false
		}
	}
	var timeout <-chan time.Time
	s.fruitlessWaits++
	worthWaiting := s.fruitlessWaits <= maxFruitlessWaits || s.fruitlessWaits%waitProbeInterval == 0
	if !s.opts.NoGroupCommit && worthWaiting && s.avgCommitTime > 0 {
		timer := time.NewTimer(min(s.avgCommitTime/2, maxBatchWait))
		defer timer.Stop()
		timeout = timer.C
	}
	for !s.opts.NoGroupCommit && len(batch) < maxBatch && size < maxBatchBytes && receive(timeout) {
		if len(batch) >= s.recentPeak && s.batches%peakProbeInterval != 0 { // as large as the recent peak; more are unlikely
			timeout = nil
		}
	}
	s.batches++
	s.recentPeak = max(len(batch), s.recentPeak-(s.recentPeak+15)/16)
	if len(batch) > 1 {
		s.fruitlessWaits = 0
	}
	return batch
}

// commit commits a batch of writes and reports the result to each.
func (s *Store) commit(batch []*write) {
	start := time.Now()
	err := s.applyBatch(s.db, batch)
	s.avgCommitTime = (3*s.avgCommitTime + time.Since(start)) / 4
	s.mu.Lock()
	s.commitCount++
	s.writeCount += len(batch)
	stateChanged := (err != nil) != (s.commitErr != nil)
	if err != nil {
		s.failedAt, s.commitErr = time.Now(), err
		if errors.Is(err, errDamaged) && s.damageErr == nil {
			s.damageErr, stateChanged = err, true
		}
	} else {
		s.failedAt, s.commitErr = time.Time{}, nil
	}
	damaged := s.damageErr != nil
	s.mu.Unlock()
	switch {
	case damaged && stateChanged:
		s.log.Error("job store damaged; unavailable until a restart salvages its file", "file", s.opts.Path, "err", err)
		s.requestSalvage()
	case err != nil && stateChanged:
		s.log.Error("job store write failed; rejecting new jobs until a retry succeeds", "file", s.opts.Path, "err", err)
	case err == nil && stateChanged:
		s.log.Info("job store writes succeed again", "file", s.opts.Path)
	}
	if copying := s.compacting; err == nil && copying != nil {
		copying.addPending(batch)
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

// applyBatch applies writes in one transaction. A writeError is stored in its write; any other error
// rolls the transaction back and is returned.
func (s *Store) applyBatch(db *bolt.DB, batch []*write) (err error) {
	defer s.recoverFault(&err)()
	s.mu.Lock()
	if s.damageErr != nil {
		s.mu.Unlock()
		return s.damageErr
	}
	s.mu.Unlock()
	return db.Update(func(tx *bolt.Tx) error {
		changed := false
		for _, w := range batch {
			w.err = w.apply(tx)
			if rejected := (writeError{}); w.err != nil && !errors.As(w.err, &rejected) {
				err := w.err
				w.err = nil
				return err
			}
			changed = changed || w.err == nil
		}
		if !changed {
			return nil
		}
		meta := tx.Bucket(metaBucket)
		if err := errors.Join(
			meta.Put(lastWriteKey, encodeUint64(uint64(s.opts.Now()))),
			meta.Put(lastIDKey, encodeUint64(s.lastID.Load())),
		); err != nil {
			return err
		}
		if s.opts.BeforeCommit != nil {
			return s.opts.BeforeCommit()
		}
		return nil
	})
}

// enqueue queues a write for the writer goroutine. done may be nil. enqueue must not be called from
// a done callback: callbacks run on the writer goroutine, so with a full queue enqueue would wait
// for that goroutine forever, and Close for enqueue.
func (s *Store) enqueue(size int, apply func(*bolt.Tx) error, done func(error)) {
	s.closeMu.RLock()
	if !s.closed {
		s.writes <- &write{apply: apply, size: size, done: done}
		s.closeMu.RUnlock()
		return
	}
	s.closeMu.RUnlock()
	if done != nil {
		done(ErrClosed)
	}
}
