package jobstore

import (
	"context"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Stored is a job as it is on disk.
type Stored struct {
	Job   *Job
	State *State
	// Lost tells that the state could not be read, so that the job may have been sent anywhere.
	Lost bool
}

// Counts of what is stored.
type Counts struct {
	Jobs, Dead, Damaged int
	Bytes               int64 // of jobs' data
	Commits, Writes     int   // since the start: transactions, and the changes in them
	File                int64 // bytes on disk
	Free                int64 // of these, in free pages
}

// Counts returns how much is stored.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	c := Counts{Jobs: s.jobs, Dead: s.dead, Damaged: s.damaged, Bytes: s.bytes, Commits: s.commits, Writes: s.written}
	s.mu.Unlock()
	_ = s.view(func(tx *bolt.Tx) error {
		c.File = tx.Size()
		c.Free = int64(tx.DB().Stats().FreePageN) * int64(tx.DB().Info().PageSize)
		return nil
	})
	return c
}

// Function is how many jobs of a function wait, dead letters apart.
func (s *Store) Function(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.functions[name]
}

// ClockBack tells that the clock read less at the start than when the file was last written:
// how long ago something was sent cannot be known then.
func (s *Store) ClockBack() bool { return s.back }

func (s *Store) view(f func(*bolt.Tx) error) (err error) {
	s.file.RLock()
	defer s.file.RUnlock()
	select {
	case <-s.ended:
		return ErrClosed
	default:
	}
	s.mu.Lock()
	err = s.broken
	s.mu.Unlock()
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			s.broke(err)
		}
	}()
	defer s.unfault(&err)()
	return s.db.View(f)
}

// load reads one job. A job's record that cannot be read is an error, a state's is not.
func load(tx *bolt.Tx, key []byte) (*Stored, error) {
	raw := tx.Bucket(bJobs).Get(key)
	j, _, err := decodeJob(raw)
	if err != nil {
		return nil, err
	}
	if j.ID != order.Uint64(key) {
		return nil, fmt.Errorf("it is job %d's", j.ID)
	}
	st, _, err := decodeState(tx.Bucket(bStates).Get(key))
	if err != nil || st.ID != j.ID {
		return &Stored{Job: j, State: &State{ID: j.ID}, Lost: true}, nil
	}
	return &Stored{Job: j, State: st}, nil
}

// Due returns up to so many jobs that are due, those longest due first, without those that skip
// tells of, and when the next one will be due, 0 where there is none. now is the process's
// clock, wall the system's as it reads at present. horizon is the farthest that an instant of
// the process's clock can lie ahead: what lies farther was written before the clock was set
// back, and is due.
func (s *Store) Due(now, wall, horizon time.Duration, most int, skip func(id uint64) bool) (due []*Stored, next time.Duration, err error) {
	type bad struct {
		id  uint64
		key []byte
		why error
	}
	var damaged []bad
	err = s.view(func(tx *bolt.Tx) error {
		for _, q := range []byte{queueOwn, queueTimed} {
			c := tx.Bucket(bDue).Cursor()
			take := func(k []byte) bool { // false at the end of what is wanted
				id := order.Uint64(k[9:])
				if skip(id) {
					return true
				}
				j, err := load(tx, k[9:])
				if err != nil {
					damaged = append(damaged, bad{id, append([]byte{}, k...), err})
					return len(damaged) < maxBatch
				}
				due = append(due, j)
				return len(due) < most
			}
			for k, _ := c.Seek([]byte{q}); len(k) == 17 && k[0] == q && len(due) < most; k, _ = c.Next() {
				at, clock := time.Duration(order.Uint64(k[1:])), now
				if q == queueTimed {
					clock = wall
				}
				if at > clock && (q == queueTimed || at <= now+horizon) {
					if wait := at - clock; next == 0 || wait < next {
						next = wait
					}
					if q == queueOwn { // only what was written before the clock was set back is left
						far := append([]byte{q}, u64(uint64(now+horizon+1))...)
						for k, _ = c.Seek(far); len(k) == 17 && k[0] == q && take(k); k, _ = c.Next() {
						}
					}
					break
				}
				if !take(k) {
					break
				}
			}
		}
		return nil
	})
	for _, b := range damaged {
		s.setAside(b.id, b.key, b.why)
	}
	return due, next, err
}

// Get returns the job of a number.
func (s *Store) Get(id uint64) (j *Stored, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		if tx.Bucket(bJobs).Get(u64(id)) == nil {
			return ErrUnknown
		}
		j, err = load(tx, u64(id))
		return err
	})
	return j, err
}

// Handle returns the job of a handle.
func (s *Store) Handle(handle string) (*Stored, error) { return s.find(bHandles, []byte(handle)) }

// Unique returns the job of a function and unique id, whether it waits or is dead.
func (s *Store) Unique(function, unique string) (*Stored, error) {
	return s.find(bUniques, uniqueKey(function, unique))
}

func (s *Store) find(bucket, key []byte) (j *Stored, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		id := tx.Bucket(bucket).Get(key)
		if len(id) != 8 || tx.Bucket(bJobs).Get(id) == nil {
			return ErrUnknown
		}
		j, err = load(tx, id)
		return err
	})
	return j, err
}

// List calls f with up to so many stored jobs, those that wait or the dead ones.
func (s *Store) List(dead bool, most int, f func(*Stored)) error {
	return s.view(func(tx *bolt.Tx) error {
		bucket := bDue
		if dead {
			bucket = bDead
		}
		c := tx.Bucket(bucket).Cursor()
		for k, _ := c.First(); k != nil && most > 0; k, _ = c.Next() {
			if j, err := load(tx, k[len(k)-8:]); err == nil {
				f(j)
				most--
			}
		}
		return nil
	})
}

const (
	verifyPage  = 512
	verifyPause = 2 * time.Millisecond
)

// Verify reads every record once, a page at a time and with pauses, so that damage shows soon
// after a start and not when the job's turn comes. Jobs whose record cannot be read are set
// aside. It returns how many records it has read.
func (s *Store) Verify(ctx context.Context) (read int, err error) {
	for _, bucket := range [][]byte{bDue, bDead} {
		n, err := s.verify(ctx, bucket)
		if read += n; err != nil {
			return read, err
		}
	}
	return read, nil
}

func (s *Store) verify(ctx context.Context, bucket []byte) (read int, err error) {
	type bad struct {
		key []byte
		why error
	}
	for after := []byte(nil); ctx.Err() == nil; time.Sleep(verifyPause) {
		var damaged []bad
		n := 0
		err := s.view(func(tx *bolt.Tx) error {
			c := tx.Bucket(bucket).Cursor()
			k, _ := c.First()
			if after != nil {
				if k, _ = c.Seek(after); string(k) == string(after) {
					k, _ = c.Next()
				}
			}
			for ; k != nil && n < verifyPage; k, _ = c.Next() {
				n++
				after = append(after[:0], k...)
				if _, err := load(tx, k[len(k)-8:]); err != nil {
					damaged = append(damaged, bad{append([]byte{}, k...), err})
				}
			}
			return nil
		})
		read += n
		for _, b := range damaged {
			s.setAside(order.Uint64(b.key[len(b.key)-8:]), b.key, b.why)
		}
		if err != nil || n < verifyPage {
			return read, err
		}
	}
	return read, ctx.Err()
}
