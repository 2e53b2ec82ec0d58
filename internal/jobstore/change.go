package jobstore

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Admit reports, without waiting, whether one more job with size bytes of data can be stored.
func (s *Store) Admit(size int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.damageErr != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, s.damageErr)
	case s.commitErr != nil && time.Since(s.failedAt) < retryDelay:
		return fmt.Errorf("%w: %w", ErrUnavailable, s.commitErr)
	case s.opts.MaxJobs > 0 && s.jobCount >= s.opts.MaxJobs,
		s.opts.MaxDataBytes > 0 && s.dataBytes+int64(size) > s.opts.MaxDataBytes:
		return ErrFull
	}
	return nil
}

// NextID returns the ID for a new job. IDs are never reused within a file.
func (s *Store) NextID() uint64 { return s.lastID.Add(1) }

// Put stores a job whose ID came from NextID. It calls done once. With a nil error the job is on
// disk, and the call comes from the writer goroutine.
func (s *Store) Put(job *Job, state *State, done func(error)) {
	if err := s.Admit(len(job.Data)); err != nil {
		done(err)
		return
	}
	s.adjustCounts(job.Function, int64(len(job.Data)), 1, state.DeadReason != "")
	state.ID, state.Revision = job.ID, 1
	jobRecord, stateRecord := encodeJob(job), encodeState(state)
	indexKey, indexEntry, idKey := dueIndexKey(state), encodeIndexEntry(job), encodeUint64(job.ID)
	dead := state.DeadReason != ""
	s.enqueue(len(jobRecord), func(tx *bolt.Tx) error {
		if len(job.UniqueID) > 0 {
			if err := tx.Bucket(uniquesBucket).Put(uniqueIndexKey(job.Function, job.UniqueID), idKey); err != nil {
				return err
			}
		}
		putIndex := tx.Bucket(dueBucket).Put
		if dead {
			putIndex, indexKey = tx.Bucket(deadBucket).Put, idKey
		}
		return errors.Join(
			tx.Bucket(jobsBucket).Put(idKey, jobRecord),
			tx.Bucket(statesBucket).Put(idKey, stateRecord),
			putIndex(indexKey, indexEntry),
			tx.Bucket(handlesBucket).Put([]byte(job.Handle), idKey))
	}, func(err error) {
		if err != nil {
			s.adjustCounts(job.Function, int64(len(job.Data)), -1, dead)
		}
		done(err)
	})
}

// adjustCounts adds delta jobs, each with size bytes of data, to the counts.
func (s *Store) adjustCounts(function string, size int64, delta int, dead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobCount += delta
	s.dataBytes += int64(delta) * size
	if dead {
		s.deadCount += delta
	} else if s.functionCounts[function] += delta; s.functionCounts[function] <= 0 {
		delete(s.functionCounts, function)
	}
}

// UpdateState changes a job's state: update modifies the stored state in place. It runs on the writer
// goroutine, and again if the file is being compacted, so it must depend on the state alone. Setting
// DeadReason moves the job from the due jobs to the dead letters; clearing it moves the job back.
// done, which may be nil, is called with the result.
func (s *Store) UpdateState(id uint64, update func(*State), done func(error)) {
	type transition struct {
		function  string
		size      int64
		direction int // -1 to the dead letters, 1 back to the due jobs, 0 neither
	}
	var change transition
	s.enqueue(0, func(tx *bolt.Tx) error {
		idKey := encodeUint64(id)
		states, due, dead := tx.Bucket(statesBucket), tx.Bucket(dueBucket), tx.Bucket(deadBucket)
		state, _, err := decodeState(states.Get(idKey))
		if err != nil {
			return writeError{ErrNotFound}
		}
		oldDueKey := dueIndexKey(state)
		indexEntry := bytes.Clone(due.Get(oldDueKey))
		wasDead := state.DeadReason != ""
		if wasDead {
			indexEntry = bytes.Clone(dead.Get(idKey))
		}
		update(state)
		state.ID, state.Revision = id, state.Revision+1
		if err := states.Put(idKey, encodeState(state)); err != nil {
			return err
		}
		change = transition{}
		change.size, change.function = decodeIndexEntry(indexEntry)
		switch isDead := state.DeadReason != ""; {
		case isDead && !wasDead:
			change.direction = -1
			return errors.Join(due.Delete(oldDueKey), dead.Put(idKey, indexEntry))
		case !isDead && wasDead:
			change.direction = 1
			return errors.Join(dead.Delete(idKey), due.Put(dueIndexKey(state), indexEntry))
		case !isDead && !bytes.Equal(oldDueKey, dueIndexKey(state)):
			return errors.Join(due.Delete(oldDueKey), due.Put(dueIndexKey(state), indexEntry))
		}
		return nil
	}, func(err error) {
		if err == nil && change.direction != 0 {
			s.adjustCounts(change.function, change.size, -1, change.direction > 0)
			s.adjustCounts(change.function, change.size, 1, change.direction < 0)
		}
		if done != nil {
			done(err)
		}
	})
}

// ReplaceLostState makes a job whose stored state is unreadable a dead letter with the given state,
// whose DeadReason must be set.
func (s *Store) ReplaceLostState(job *Job, state *State, done func(error)) {
	state.ID, state.Revision = job.ID, state.Revision+1<<32 // higher than any revision that was lost
	idKey, stateRecord, indexEntry := encodeUint64(job.ID), encodeState(state), encodeIndexEntry(job)
	dead := state.DeadReason != ""
	s.enqueue(0, func(tx *bolt.Tx) error {
		due := tx.Bucket(dueBucket)
		cursor := due.Cursor()
		dueKey, _ := cursor.First()
		for dueKey != nil && !bytes.Equal(dueKey[9:], idKey) { // the due time is lost with the state
			dueKey, _ = cursor.Next()
		}
		oldDueKey := bytes.Clone(dueKey)
		if oldDueKey == nil || !dead {
			return writeError{ErrNotFound}
		}
		return errors.Join(
			due.Delete(oldDueKey),
			tx.Bucket(deadBucket).Put(idKey, indexEntry),
			tx.Bucket(statesBucket).Put(idKey, stateRecord))
	}, func(err error) {
		if err == nil {
			s.adjustCounts(job.Function, int64(len(job.Data)), -1, false)
			s.adjustCounts(job.Function, int64(len(job.Data)), 1, true)
		}
		done(err)
	})
}

// Remove deletes a job that has ended. done, which may be nil, is called with the result.
func (s *Store) Remove(id uint64, done func(error)) {
	var size int64
	var function string
	var wasDead bool
	s.enqueue(0, func(tx *bolt.Tx) error {
		idKey := encodeUint64(id)
		state, _, stateErr := decodeState(tx.Bucket(statesBucket).Get(idKey))
		job, _, jobErr := decodeJob(tx.Bucket(jobsBucket).Get(idKey))
		if stateErr != nil || jobErr != nil {
			return writeError{ErrNotFound}
		}
		size, function, wasDead = int64(len(job.Data)), job.Function, state.DeadReason != ""
		return s.deleteJob(tx, idKey, job, dueIndexKey(state))
	}, func(err error) {
		if err == nil {
			s.adjustCounts(function, size, -1, wasDead)
		}
		if done != nil {
			done(err)
		}
	})
}

// deleteJob deletes a job's records and index entries. The unique ID is left if a newer job uses it.
func (s *Store) deleteJob(tx *bolt.Tx, idKey []byte, job *Job, dueKey []byte) error {
	uniques := tx.Bucket(uniquesBucket)
	if uniqueKey := uniqueIndexKey(job.Function, job.UniqueID); job.UniqueID != "" && bytes.Equal(uniques.Get(uniqueKey), idKey) {
		if err := uniques.Delete(uniqueKey); err != nil {
			return err
		}
	}
	return errors.Join(
		tx.Bucket(jobsBucket).Delete(idKey),
		tx.Bucket(statesBucket).Delete(idKey),
		tx.Bucket(dueBucket).Delete(dueKey),
		tx.Bucket(deadBucket).Delete(idKey),
		tx.Bucket(handlesBucket).Delete([]byte(job.Handle)))
}

// quarantine removes a job whose record is unreadable and keeps the bytes of the record in the
// bucket of damaged records. indexKey is the job's key in the due or the dead index.
func (s *Store) quarantine(id uint64, indexKey []byte, cause error) {
	var size int64
	var function string
	inIndex := false
	s.enqueue(0, func(tx *bolt.Tx) error {
		idKey := encodeUint64(id)
		record := bytes.Clone(tx.Bucket(jobsBucket).Get(idKey))
		if job, _, err := decodeJob(record); err == nil && job.ID == id {
			return writeError{errors.New("the record is readable")}
		}
		indexEntry := tx.Bucket(dueBucket).Get(indexKey)
		if indexEntry == nil {
			indexEntry = tx.Bucket(deadBucket).Get(idKey)
		}
		inIndex = indexEntry != nil
		size, function = decodeIndexEntry(indexEntry)
		return errors.Join(
			tx.Bucket(damagedBucket).Put(idKey, append([]byte{}, record...)),
			tx.Bucket(jobsBucket).Delete(idKey),
			tx.Bucket(statesBucket).Delete(idKey),
			tx.Bucket(dueBucket).Delete(indexKey),
			tx.Bucket(deadBucket).Delete(idKey))
	}, func(err error) {
		if err != nil {
			return
		}
		if inIndex {
			s.adjustCounts(function, size, -1, len(indexKey) == 8)
		}
		s.mu.Lock()
		s.damagedCount++
		s.mu.Unlock()
		s.log.Error("stored job damaged; its record is kept in the bucket of damaged records", "file", s.opts.Path, "number", id, "err", cause)
	})
}
