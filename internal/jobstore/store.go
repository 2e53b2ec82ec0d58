// Package jobstore keeps jobs on disk until they have ended, on bbolt: a job that Put has
// called done for outlives the process. It decides nothing about them.
//
// All writes go through one goroutine, which puts those that wait into one transaction: they
// share its fsync (group commit). Each record carries a version and a checksum. A transaction
// that a crash tore is undone by bbolt, whose two meta pages are written in turn; what this
// package adds is the care for records and files that come back damaged.
package jobstore

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Errors that a store gives. Any other is the disk's.
var (
	ErrFull        = errors.New("the job store is full")
	ErrUnavailable = errors.New("the job store is not available")
	ErrUnknown     = errors.New("no such job is stored")
	ErrClosed      = errors.New("the job store is closed")
	errDamaged     = errors.New("the file is damaged")
)

// The buckets.
var (
	bMeta    = []byte("meta")    // version, seen
	bJobs    = []byte("jobs")    // id: a job's record
	bStates  = []byte("states")  // id: a state's record
	bDue     = []byte("due")     // queue, due, id: size, function
	bDead    = []byte("dead")    // id: size, function
	bHandles = []byte("handles") // handle: id
	bUniques = []byte("uniques") // function 0 unique: id
	bDamaged = []byte("damaged") // id: what was read in place of a record
	buckets  = [][]byte{bMeta, bJobs, bStates, bDue, bDead, bHandles, bUniques, bDamaged}

	kVersion = []byte("version")
	kSeen    = []byte("seen")
)

// Options of a store.
type Options struct {
	Path     string
	MaxJobs  int                  // 0 for no bound; dead letters count
	MaxBytes int64                // of jobs' data, 0 for no bound
	MaxFile  int64                // of the file, 0 for no bound
	Single   bool                 // a transaction for each write, to measure what sharing gains
	NoSync   bool                 // for tests that make a million jobs
	Now      func() time.Duration // Unix time that never goes back while the process lives
	Log      *slog.Logger
	// Commit is called between a transaction's writes and its commit, in tests.
	Commit func() error
}

// Store is an open store. It is safe for concurrent use.
type Store struct {
	o      Options
	log    *slog.Logger
	writes chan *write
	stop   chan struct{}
	ended  chan struct{}
	next   atomic.Uint64 // the last number given

	// The writer's own: how long transactions take, and how many have held one write since one held more.
	took  time.Duration
	vain  int
	most  int // writes in one transaction lately: a peak that falls off
	turns int

	closing sync.RWMutex
	closed  bool

	db   *bolt.DB // replaced by compaction under file
	file sync.RWMutex

	mu         sync.Mutex
	jobs       int // stored, dead ones too
	dead       int
	bytes      int64
	functions  map[string]int // stored and not dead
	damaged    int
	failed     time.Time // of the last commit, zero while all is well
	why        error
	broken     error // for good
	back       bool  // the clock reads less than when the file was last written
	compacting *compaction
	commits    int
	written    int
}

// refusal marks an error of one write that leaves the others of its transaction alone.
type refusal struct{ error }

func (r refusal) Unwrap() error { return r.error }

// Open opens the store's file, or makes it. A file that is damaged beyond reading is set aside
// and what can be found in it is taken over: see Salvaged.
func Open(o Options) (*Store, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	}
	s := &Store{o: o, log: o.Log, writes: make(chan *write, queue), stop: make(chan struct{}), ended: make(chan struct{})}
	if info, err := os.Stat(o.Path); err == nil && !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: not a file", o.Path)
	}
	_ = os.Remove(o.Path + compactSuffix) // an unfinished copy: the file itself is whole
	if err := s.load(); err != nil {
		if !errors.Is(err, errDamaged) {
			return nil, err
		}
		if err = s.salvage(err); err != nil {
			return nil, err
		}
	}
	go s.run()
	return s, nil
}

// load opens the file and counts what is in it. A page that cannot be read, even one behind
// the file's end, ends in errDamaged and not in the process's end.
func (s *Store) load() (err error) {
	if _, err := os.Stat(s.o.Path + salvageSuffix); err == nil {
		return fmt.Errorf("%w: found when it was last in use", errDamaged)
	}
	defer s.unfault(&err)()
	if err := s.walk(); err != nil {
		return err
	}
	db, err := bolt.Open(s.o.Path, 0o600, s.options())
	if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) || errors.Is(err, bolterrors.ErrVersionMismatch) {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	if err != nil {
		return err
	}
	if err := db.Update(s.prepare); err != nil {
		_ = db.Close()
		return err
	}
	s.jobs, s.dead, s.bytes, s.damaged, s.functions = 0, 0, 0, 0, map[string]int{}
	err = db.View(func(tx *bolt.Tx) error {
		count := func(b []byte, live bool) error {
			return tx.Bucket(b).ForEach(func(_, v []byte) error {
				size, function := entryOf(v)
				s.jobs++
				s.bytes += size
				if live {
					s.functions[function]++
				} else {
					s.dead++
				}
				return nil
			})
		}
		if err := errors.Join(count(bDue, true), count(bDead, false)); err != nil {
			return err
		}
		s.damaged = tx.Bucket(bDamaged).Stats().KeyN
		if k, _ := tx.Bucket(bJobs).Cursor().Last(); len(k) == 8 {
			s.next.Store(order.Uint64(k))
		}
		if k, _ := tx.Bucket(bDamaged).Cursor().Last(); len(k) == 8 {
			s.next.Store(max(s.next.Load(), order.Uint64(k)))
		}
		meta := tx.Bucket(bMeta)
		if v := meta.Get(kLast); len(v) == 8 {
			s.next.Store(max(s.next.Load(), order.Uint64(v)))
		}
		if v := meta.Get(kSeen); len(v) == 8 {
			s.back = s.o.Now() < time.Duration(order.Uint64(v))
		}
		return nil
	})
	if err != nil {
		_ = db.Close()
		return err
	}
	s.db = db
	return nil
}

// walk follows the file's tree to every page. bbolt does so itself when it opens a file, but on
// a goroutine of its own, where a page that cannot be read ends the process.
func (s *Store) walk() error {
	if info, err := os.Stat(s.o.Path); err != nil || info.Size() == 0 {
		return nil // there is none yet
	}
	o := s.options()
	o.ReadOnly, o.MaxSize = true, 0
	db, err := bolt.Open(s.o.Path, 0o600, o)
	if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) || errors.Is(err, bolterrors.ErrVersionMismatch) {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	return db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			var last []byte
			for c, k := b.Cursor(), []byte(nil); ; {
				if last == nil {
					k, _ = c.First()
				} else {
					k, _ = c.Next()
				}
				if k == nil {
					return nil
				}
				if last != nil && bytes.Compare(last, k) >= 0 { // a page that is met twice, or out of its place
					return fmt.Errorf("%w: keys of %s are out of order", errDamaged, name)
				}
				last = k
			}
		})
	})
}

func (s *Store) options() *bolt.Options {
	return &bolt.Options{Timeout: lockWait, NoSync: s.o.NoSync, NoFreelistSync: true, FreelistType: bolt.FreelistMapType,
		MaxSize: int(s.o.MaxFile)}
}

func (s *Store) prepare(tx *bolt.Tx) error {
	for _, b := range buckets {
		if _, err := tx.CreateBucketIfNotExists(b); err != nil {
			return err
		}
	}
	meta := tx.Bucket(bMeta)
	switch v := meta.Get(kVersion); {
	case v == nil:
		return meta.Put(kVersion, []byte{formatVersion})
	case len(v) != 1 || v[0] == 0 || v[0] > formatVersion:
		return fmt.Errorf("%s: format version %v is not known: made by a newer program?", s.o.Path, v)
	}
	return nil
}

// unfault makes a fault on the mapped file a panic, and its deferred result makes a panic an
// error: bbolt trusts its pages, and a file that was cut short ends behind its last page.
func (s *Store) unfault(err *error) func() {
	old := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(old)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}
}

var kLast = []byte("last") // the highest number given, so that none is given twice

// Close writes what waits and closes the file.
func (s *Store) Close() error {
	s.closing.Lock() // after the writers that wait; none comes after
	s.closed = true
	s.closing.Unlock()
	close(s.stop)
	<-s.ended
	s.file.Lock()
	defer s.file.Unlock()
	if c := s.compacting; c != nil {
		<-c.copied
		c.discard()
	}
	return s.db.Close()
}
