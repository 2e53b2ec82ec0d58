package jobstore

import (
	"context"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

// StoredJob is a job as read from disk.
type StoredJob struct {
	Job   *Job
	State *State
	// StateLost is set if the state was unreadable, so that the job may have been sent to any worker.
	StateLost bool
}

// Counts holds statistics of a store.
type Counts struct {
	Jobs, Dead, Damaged int   // stored jobs, the dead letters among them, and damaged records
	DataBytes           int64 // total size of the jobs' data
	Commits, Writes     int   // transactions since the start, and the writes in them
	FileBytes           int64 // size of the file
	FreeBytes           int64 // size of the free pages in the file
}

// Counts returns the store's statistics.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	c := Counts{
		Jobs:      s.jobCount,
		Dead:      s.deadCount,
		Damaged:   s.damagedCount,
		DataBytes: s.dataBytes,
		Commits:   s.commitCount,
		Writes:    s.writeCount,
	}
	s.mu.Unlock()
	_ = s.view(func(tx *bolt.Tx) error {
		c.FileBytes = tx.Size()
		c.FreeBytes = int64(tx.DB().Stats().FreePageN) * int64(tx.DB().Info().PageSize)
		return nil
	})
	return c
}

// FunctionCount returns the number of stored jobs of a function, without dead letters.
func (s *Store) FunctionCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.functionCounts[name]
}

// ClockSetBack reports whether the clock at the start was behind the last write to the file. Then
// it is unknown how long ago a job was sent.
func (s *Store) ClockSetBack() bool { return s.clockSetBack }

// view runs f in a read transaction. If that finds damage, the store becomes unavailable.
func (s *Store) view(f func(*bolt.Tx) error) (err error) {
	s.dbMu.RLock()
	defer s.dbMu.RUnlock()
	select {
	case <-s.writerDone:
		return ErrClosed
	default:
	}
	s.mu.Lock()
	err = s.damageErr
	s.mu.Unlock()
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			s.noteDamage(err)
		}
	}()
	defer s.recoverFault(&err)()
	return s.db.View(f)
}

// readJob reads one job. An unreadable job record is an error; an unreadable state record only sets
// StateLost.
func readJob(tx *bolt.Tx, key []byte) (*StoredJob, error) {
	record := tx.Bucket(jobsBucket).Get(key)
	job, _, err := decodeJob(record)
	if err != nil {
		return nil, err
	}
	if job.ID != byteOrder.Uint64(key) {
		return nil, fmt.Errorf("it is job %d's", job.ID)
	}
	state, _, err := decodeState(tx.Bucket(statesBucket).Get(key))
	if err != nil || state.ID != job.ID {
		return &StoredJob{Job: job, State: &State{ID: job.ID}, StateLost: true}, nil
	}
	return &StoredJob{Job: job, State: state}, nil
}

// Due returns up to limit jobs that are due, longest overdue first, without those for which skip
// returns true. next is the time until another job becomes due, 0 if there is none. Due times that a
// client set are compared with wallClock, the current system clock, and all others with now, the
// clock of the process. horizon is the longest delay that the process schedules: a due time beyond
// it was stored before the clock was set back, and counts as due.
func (s *Store) Due(now, wallClock, horizon time.Duration, limit int, skip func(id uint64) bool) (due []*StoredJob, next time.Duration, err error) {
	type damagedJob struct {
		id  uint64
		key []byte
		err error
	}
	var damaged []damagedJob
	err = s.view(func(tx *bolt.Tx) error {
		for _, queue := range []byte{queueProcessClock, queueClientTime} {
			cursor := tx.Bucket(dueBucket).Cursor()
			add := func(key []byte) bool { // returns false when enough jobs are found
				id := byteOrder.Uint64(key[9:])
				if skip(id) {
					return true
				}
				stored, err := readJob(tx, key[9:])
				if err != nil {
					damaged = append(damaged, damagedJob{id, append([]byte{}, key...), err})
					return len(damaged) < maxBatch
				}
				due = append(due, stored)
				return len(due) < limit
			}
			for key, _ := cursor.Seek([]byte{queue}); len(key) == 17 && key[0] == queue && len(due) < limit; key, _ = cursor.Next() {
				dueAt, clock := time.Duration(byteOrder.Uint64(key[1:])), now
				if queue == queueClientTime {
					clock = wallClock
				}
				if dueAt > clock && (queue == queueClientTime || dueAt <= now+horizon) {
					if wait := dueAt - clock; next == 0 || wait < next {
						next = wait
					}
					if queue == queueProcessClock { // of the rest, only jobs stored before the clock was set back are due
						beyondHorizon := append([]byte{queue}, encodeUint64(uint64(now+horizon+1))...)
						for key, _ = cursor.Seek(beyondHorizon); len(key) == 17 && key[0] == queue && add(key); key, _ = cursor.Next() {
						}
					}
					break
				}
				if !add(key) {
					break
				}
			}
		}
		return nil
	})
	for _, b := range damaged {
		s.quarantine(b.id, b.key, b.err)
	}
	return due, next, err
}

// Get returns the job with an ID.
func (s *Store) Get(id uint64) (stored *StoredJob, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		if tx.Bucket(jobsBucket).Get(encodeUint64(id)) == nil {
			return ErrNotFound
		}
		stored, err = readJob(tx, encodeUint64(id))
		return err
	})
	return stored, err
}

// ByHandle returns the job with a handle.
func (s *Store) ByHandle(handle string) (*StoredJob, error) {
	return s.find(handlesBucket, []byte(handle))
}

// ByUniqueID returns the job with a function and unique ID, which may be a dead letter.
func (s *Store) ByUniqueID(function, uniqueID string) (*StoredJob, error) {
	return s.find(uniquesBucket, uniqueIndexKey(function, uniqueID))
}

// find returns the job whose ID an index bucket holds under a key.
func (s *Store) find(bucket, key []byte) (stored *StoredJob, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		id := tx.Bucket(bucket).Get(key)
		if len(id) != 8 || tx.Bucket(jobsBucket).Get(id) == nil {
			return ErrNotFound
		}
		stored, err = readJob(tx, id)
		return err
	})
	return stored, err
}

// List calls f with up to limit jobs: the dead letters, or all others.
func (s *Store) List(dead bool, limit int, f func(*StoredJob)) error {
	return s.view(func(tx *bolt.Tx) error {
		bucket := dueBucket
		if dead {
			bucket = deadBucket
		}
		cursor := tx.Bucket(bucket).Cursor()
		for k, _ := cursor.First(); k != nil && limit > 0; k, _ = cursor.Next() {
			if stored, err := readJob(tx, k[len(k)-8:]); err == nil {
				f(stored)
				limit--
			}
		}
		return nil
	})
}

const (
	verifyPageSize = 512                  // records read in one transaction
	verifyPause    = 2 * time.Millisecond // pause between two pages
)

// Verify reads every record once, a page at a time and with pauses, so that damage is found soon
// after a start and not only when a job is due. It quarantines jobs with an unreadable record, and
// returns the number of records read.
func (s *Store) Verify(ctx context.Context) (read int, err error) {
	for _, bucket := range [][]byte{dueBucket, deadBucket} {
		n, err := s.verifyBucket(ctx, bucket)
		if read += n; err != nil {
			return read, err
		}
	}
	return read, nil
}

func (s *Store) verifyBucket(ctx context.Context, bucket []byte) (read int, err error) {
	type damagedJob struct {
		key []byte
		err error
	}
	for lastKey := []byte(nil); ctx.Err() == nil; time.Sleep(verifyPause) {
		var damaged []damagedJob
		pageCount := 0
		err := s.view(func(tx *bolt.Tx) error {
			cursor := tx.Bucket(bucket).Cursor()
			k, _ := cursor.First()
			if lastKey != nil {
				if k, _ = cursor.Seek(lastKey); string(k) == string(lastKey) {
					k, _ = cursor.Next()
				}
			}
			for ; k != nil && pageCount < verifyPageSize; k, _ = cursor.Next() {
				pageCount++
				lastKey = append(lastKey[:0], k...)
				if _, err := readJob(tx, k[len(k)-8:]); err != nil {
					damaged = append(damaged, damagedJob{append([]byte{}, k...), err})
				}
			}
			return nil
		})
		read += pageCount
		for _, b := range damaged {
			s.quarantine(byteOrder.Uint64(b.key[len(b.key)-8:]), b.key, b.err)
		}
		if err != nil || pageCount < verifyPageSize {
			return read, err
		}
	}
	return read, ctx.Err()
}
