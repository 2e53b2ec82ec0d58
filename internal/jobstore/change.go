package jobstore

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Admit tells at once whether one more job of so many bytes could be taken.
func (s *Store) Admit(size int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.broken != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, s.broken)
	case s.why != nil && time.Since(s.failed) < retryAfter:
		return fmt.Errorf("%w: %w", ErrUnavailable, s.why)
	case s.o.MaxJobs > 0 && s.jobs >= s.o.MaxJobs, s.o.MaxBytes > 0 && s.bytes+int64(size) > s.o.MaxBytes:
		return ErrFull
	}
	return nil
}

// Number gives a job its number. No two jobs of a file ever have the same.
func (s *Store) Number() uint64 { return s.next.Add(1) }

// Put stores a job whose number came from Number. done is called once, from the writer's
// goroutine: without an error the job is on disk.
func (s *Store) Put(j *Job, st *State, done func(error)) {
	if err := s.Admit(len(j.Data)); err != nil {
		done(err)
		return
	}
	s.count(j.Function, int64(len(j.Data)), 1, st.Dead != "")
	st.ID, st.Rev = j.ID, 1
	rec, srec, key, e, id, dead := encodeJob(j), encodeState(st), dueKey(st), entry(j), u64(j.ID), st.Dead != ""
	s.send(len(rec), func(tx *bolt.Tx) error {
		if len(j.Unique) > 0 {
			if err := tx.Bucket(bUniques).Put(uniqueKey(j.Function, j.Unique), id); err != nil {
				return err
			}
		}
		index := tx.Bucket(bDue).Put
		if dead {
			index, key = tx.Bucket(bDead).Put, id
		}
		return errors.Join(tx.Bucket(bJobs).Put(id, rec), tx.Bucket(bStates).Put(id, srec), index(key, e),
			tx.Bucket(bHandles).Put([]byte(j.Handle), id))
	}, func(err error) {
		if err != nil {
			s.count(j.Function, int64(len(j.Data)), -1, dead)
		}
		done(err)
	})
}

func (s *Store) count(function string, size int64, n int, dead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs += n
	s.bytes += int64(n) * size
	if dead {
		s.dead += n
	} else if s.functions[function] += n; s.functions[function] <= 0 {
		delete(s.functions, function)
	}
}

// Change rewrites a job's state: f is given the state as stored and changes it. It runs on the
// writer's goroutine, and once more if the file is being compacted; it must be a function of
// the state alone. A job whose Dead is set leaves the due jobs, and comes back when it is
// cleared.
func (s *Store) Change(id uint64, f func(*State), done func(error)) {
	type move struct {
		function string
		size     int64
		to       int
	}
	var moved move
	s.send(0, func(tx *bolt.Tx) error {
		key := u64(id)
		states, due, dead := tx.Bucket(bStates), tx.Bucket(bDue), tx.Bucket(bDead)
		st, _, err := decodeState(states.Get(key))
		if err != nil {
			return refusal{ErrUnknown}
		}
		old := dueKey(st)
		e := bytes.Clone(due.Get(old))
		wasDead := st.Dead != ""
		if wasDead {
			e = bytes.Clone(dead.Get(key))
		}
		f(st)
		st.ID, st.Rev = id, st.Rev+1
		if err := states.Put(key, encodeState(st)); err != nil {
			return err
		}
		moved = move{}
		moved.size, moved.function = entryOf(e)
		switch isDead := st.Dead != ""; {
		case isDead && !wasDead:
			moved.to = -1
			return errors.Join(due.Delete(old), dead.Put(key, e))
		case !isDead && wasDead:
			moved.to = 1
			return errors.Join(dead.Delete(key), due.Put(dueKey(st), e))
		case !isDead && !bytes.Equal(old, dueKey(st)):
			return errors.Join(due.Delete(old), due.Put(dueKey(st), e))
		}
		return nil
	}, func(err error) {
		if err == nil && moved.to != 0 {
			s.count(moved.function, moved.size, -1, moved.to > 0)
			s.count(moved.function, moved.size, 1, moved.to < 0)
		}
		if done != nil {
			done(err)
		}
	})
}

// Rewrite writes a job's state where the one that is stored cannot be read.
func (s *Store) Rewrite(j *Job, st *State, done func(error)) {
	st.ID, st.Rev = j.ID, st.Rev+1<<32 // above whatever revision was lost
	key, srec, e, dead := u64(j.ID), encodeState(st), entry(j), st.Dead != ""
	s.send(0, func(tx *bolt.Tx) error {
		due := tx.Bucket(bDue)
		c := due.Cursor()
		k, _ := c.First()
		for k != nil && !bytes.Equal(k[9:], key) { // its instant is not known either
			k, _ = c.Next()
		}
		old := bytes.Clone(k)
		if old == nil || !dead {
			return refusal{ErrUnknown}
		}
		return errors.Join(due.Delete(old), tx.Bucket(bDead).Put(key, e), tx.Bucket(bStates).Put(key, srec))
	}, func(err error) {
		if err == nil {
			s.count(j.Function, int64(len(j.Data)), -1, false)
			s.count(j.Function, int64(len(j.Data)), 1, true)
		}
		done(err)
	})
}

// Remove forgets a job that has ended.
func (s *Store) Remove(id uint64, done func(error)) {
	var size int64
	var function string
	var wasDead bool
	s.send(0, func(tx *bolt.Tx) error {
		key := u64(id)
		st, _, serr := decodeState(tx.Bucket(bStates).Get(key))
		j, _, jerr := decodeJob(tx.Bucket(bJobs).Get(key))
		if serr != nil || jerr != nil {
			return refusal{ErrUnknown}
		}
		size, function, wasDead = int64(len(j.Data)), j.Function, st.Dead != ""
		return s.erase(tx, key, j, dueKey(st))
	}, func(err error) {
		if err == nil {
			s.count(function, size, -1, wasDead)
		}
		if done != nil {
			done(err)
		}
	})
}

func (s *Store) erase(tx *bolt.Tx, key []byte, j *Job, due []byte) error {
	uniques := tx.Bucket(bUniques)
	if u := uniqueKey(j.Function, j.Unique); j.Unique != "" && bytes.Equal(uniques.Get(u), key) {
		if err := uniques.Delete(u); err != nil {
			return err
		}
	}
	return errors.Join(tx.Bucket(bJobs).Delete(key), tx.Bucket(bStates).Delete(key), tx.Bucket(bDue).Delete(due),
		tx.Bucket(bDead).Delete(key), tx.Bucket(bHandles).Delete([]byte(j.Handle)))
}

// setAside moves a record that cannot be read out of the way and keeps what was read.
func (s *Store) setAside(id uint64, key []byte, why error) {
	var size int64
	var function string
	counted := false
	s.send(0, func(tx *bolt.Tx) error {
		idKey := u64(id)
		raw := bytes.Clone(tx.Bucket(bJobs).Get(idKey))
		if j, _, err := decodeJob(raw); err == nil && j.ID == id {
			return refusal{errors.New("it can be read after all")}
		}
		e := tx.Bucket(bDue).Get(key)
		if e == nil {
			e = tx.Bucket(bDead).Get(idKey)
		}
		counted = e != nil
		size, function = entryOf(e)
		return errors.Join(tx.Bucket(bDamaged).Put(idKey, append([]byte{}, raw...)), tx.Bucket(bJobs).Delete(idKey),
			tx.Bucket(bStates).Delete(idKey), tx.Bucket(bDue).Delete(key), tx.Bucket(bDead).Delete(idKey))
	}, func(err error) {
		if err != nil {
			return
		}
		if counted {
			s.count(function, size, -1, len(key) == 8)
		}
		s.mu.Lock()
		s.damaged++
		s.mu.Unlock()
		s.log.Error("stored job damaged", "file", s.o.Path, "number", id, "err", why)
	})
}
