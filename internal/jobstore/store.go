// Package jobstore persists jobs in a bbolt file until they end. A job survives a restart of the
// process once Put has reported success for it. The package has no scheduling policy.
//
// One goroutine makes all writes and combines the queued ones into one transaction, so that they
// share its fsync (group commit). Each record carries a version and a checksum. bbolt alternates
// between two meta pages and so rolls back a transaction that a crash interrupted. This package
// adds the detection of damaged records and files, and their recovery.
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

// Errors of the store. All others come from bbolt or the file system.
var (
	ErrFull        = errors.New("the job store is full")
	ErrUnavailable = errors.New("the job store is not available")
	ErrNotFound    = errors.New("no such job is stored")
	ErrClosed      = errors.New("the job store is closed")
	errDamaged     = errors.New("the file is damaged")
	errReplaced    = errors.New("the file was replaced while it was being opened")
)

// The buckets, with the layout of their keys and values.
var (
	metaBucket    = []byte("meta")    // versionKey, lastWriteKey and lastIDKey
	jobsBucket    = []byte("jobs")    // ID: job record
	statesBucket  = []byte("states")  // ID: state record
	dueBucket     = []byte("due")     // queue, due time, ID: data size, function
	deadBucket    = []byte("dead")    // ID: data size, function
	handlesBucket = []byte("handles") // handle: ID
	uniquesBucket = []byte("uniques") // function, zero byte, unique ID: ID
	damagedBucket = []byte("damaged") // ID: bytes of the unreadable job record
	buckets       = [][]byte{metaBucket, jobsBucket, statesBucket, dueBucket, deadBucket, handlesBucket, uniquesBucket, damagedBucket}

	versionKey   = []byte("version")
	lastWriteKey = []byte("seen") // Unix time of the last write
)

// Options configures a store.
type Options struct {
	Path          string
	MaxJobs       int                  // limit on stored jobs, including dead letters; 0 for no limit
	MaxDataBytes  int64                // limit on the total size of the jobs' data; 0 for no limit
	MaxFileBytes  int64                // limit on the file size; 0 for no limit
	NoGroupCommit bool                 // commits each write in its own transaction, to measure the gain of group commit
	NoSync        bool                 // skips fsync, for tests that store a million jobs
	Now           func() time.Duration // Unix time; must not go back while the process runs
	Log           *slog.Logger
	// BeforeCommit, if set, is called before each commit, after the writes of the transaction. An
	// error rolls the transaction back. Only tests set it.
	BeforeCommit func() error
}

// Store is an open store. It is safe for concurrent use.
type Store struct {
	opts       Options
	log        *slog.Logger
	writes     chan *write
	stop       chan struct{}
	writerDone chan struct{}
	lastID     atomic.Uint64 // the highest ID given to a job

	// Owned by the writer goroutine.
	avgCommitTime  time.Duration // smoothed average
	fruitlessWaits int           // batches of a single write since the last larger one
	recentPeak     int           // size of the largest recent batch; decays
	batches        int

	closeMu sync.RWMutex // held for reading while a write is being queued
	closed  bool

	db   *bolt.DB // replaced by a compaction while dbMu is held
	dbMu sync.RWMutex

	mu             sync.Mutex
	jobCount       int // stored jobs, including dead letters
	deadCount      int
	dataBytes      int64
	functionCounts map[string]int // stored jobs per function, without dead letters
	damagedCount   int
	failedAt       time.Time // time of the last commit if it failed, zero if it succeeded
	commitErr      error     // error of the last commit, nil if it succeeded
	damageErr      error     // set when damage is found, until the process restarts
	clockSetBack   bool      // at the start the clock was behind the last write to the file
	compacting     *compaction
	commitCount    int
	writeCount     int
}

// writeError is the error of a single write. The other writes of its transaction are still
// committed.
type writeError struct{ error }

func (e writeError) Unwrap() error { return e.error }

// Open opens the store's file and creates it if it does not exist. It renames a damaged file and
// recovers the jobs that are still readable in it as dead letters; see ReasonSalvaged.
func Open(opts Options) (*Store, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Now == nil {
		opts.Now = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	}
	s := &Store{
		opts:       opts,
		log:        opts.Log,
		writes:     make(chan *write, writeQueueLen),
		stop:       make(chan struct{}),
		writerDone: make(chan struct{}),
	}
	if info, err := os.Stat(opts.Path); err == nil && !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: not a file", opts.Path)
	}
	if err := s.loadFile(); err != nil {
		if !errors.Is(err, errDamaged) {
			return nil, err
		}
		if err = s.salvage(err); err != nil {
			return nil, err
		}
	}
	go s.runWriter()
	return s, nil
}

// loadFile opens the file and counts its jobs. If a page cannot be read, even one beyond the end
// of the file, it returns errDamaged instead of crashing the process.
func (s *Store) loadFile() (err error) {
	if _, err := os.Stat(s.opts.Path + salvageSuffix); err == nil {
		return fmt.Errorf("%w: the previous process found damage while it used the file", errDamaged)
	}
	defer s.recoverFault(&err)()
	if err := s.checkTree(); err != nil {
		return err
	}
	before, _ := os.Stat(s.opts.Path) // nil if there is no file yet
	db, err := bolt.Open(s.opts.Path, 0o600, s.boltOptions())
	if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) || errors.Is(err, bolterrors.ErrVersionMismatch) {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	if err != nil {
		return err
	}
	if err := s.checkNotReplaced(before); err != nil {
		_ = db.Close()
		return err
	}
	_ = os.Remove(s.opts.Path + compactSuffix) // an unfinished copy; the original file is complete
	if err := db.Update(s.initBuckets); err != nil {
		_ = db.Close()
		return err
	}
	err = db.View(s.loadCounts)
	if err != nil {
		_ = db.Close()
		return err
	}
	s.db = db
	return nil
}

// loadCounts counts the stored jobs, and restores the highest ID and what the time of the last write tells.
func (s *Store) loadCounts(tx *bolt.Tx) error {
	s.jobCount, s.deadCount, s.dataBytes, s.damagedCount, s.functionCounts = 0, 0, 0, 0, map[string]int{}
	count := func(b []byte, live bool) error {
		return tx.Bucket(b).ForEach(func(_, v []byte) error {
			size, function := decodeIndexEntry(v)
			s.jobCount++
			s.dataBytes += size
			if live {
				s.functionCounts[function]++
			} else {
				s.deadCount++
			}
			return nil
		})
	}
	if err := errors.Join(count(dueBucket, true), count(deadBucket, false)); err != nil {
		return err
	}
	s.damagedCount = tx.Bucket(damagedBucket).Stats().KeyN
	if k, _ := tx.Bucket(jobsBucket).Cursor().Last(); len(k) == 8 {
		s.lastID.Store(byteOrder.Uint64(k))
	}
	if k, _ := tx.Bucket(damagedBucket).Cursor().Last(); len(k) == 8 {
		s.lastID.Store(max(s.lastID.Load(), byteOrder.Uint64(k)))
	}
	meta := tx.Bucket(metaBucket)
	if v := meta.Get(lastIDKey); len(v) == 8 {
		s.lastID.Store(max(s.lastID.Load(), byteOrder.Uint64(v)))
	}
	if v := meta.Get(lastWriteKey); len(v) == 8 {
		s.clockSetBack = s.opts.Now() < time.Duration(byteOrder.Uint64(v))
	}
	return nil
}

// checkNotReplaced returns errReplaced if the path no longer names the file that it named before the file was opened and
// locked. A process that compacts the store replaces its file, which releases the lock on the old one to whoever waits
// for it. Once the lock is held on the file that the path names, no other process replaces it.
func (s *Store) checkNotReplaced(before os.FileInfo) error {
	if before == nil {
		return nil
	}
	if after, err := os.Stat(s.opts.Path); err != nil || !os.SameFile(before, after) {
		return errReplaced
	}
	return nil
}

// checkTree visits every page of the B+ tree. bbolt does so too when it opens a file, but on its own
// goroutine, where a fault on an unreadable page cannot be recovered and crashes the process.
func (s *Store) checkTree() error {
	if info, err := os.Stat(s.opts.Path); err != nil || info.Size() == 0 {
		return nil // no file yet
	}
	opts := s.boltOptions()
	opts.ReadOnly, opts.MaxSize = true, 0
	db, err := bolt.Open(s.opts.Path, 0o600, opts)
	if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) || errors.Is(err, bolterrors.ErrVersionMismatch) {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	return db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			var lastKey []byte
			for c, k := b.Cursor(), []byte(nil); ; {
				if lastKey == nil {
					k, _ = c.First()
				} else {
					k, _ = c.Next()
				}
				if k == nil {
					return nil
				}
				if lastKey != nil && bytes.Compare(lastKey, k) >= 0 { // a page is linked twice or misplaced
					return fmt.Errorf("%w: keys of %s are out of order", errDamaged, name)
				}
				lastKey = k
			}
		})
	})
}

func (s *Store) boltOptions() *bolt.Options {
	return &bolt.Options{
		Timeout:        fileLockTimeout,
		NoSync:         s.opts.NoSync,
		NoFreelistSync: true,
		FreelistType:   bolt.FreelistMapType,
		MaxSize:        int(s.opts.MaxFileBytes),
	}
}

// initBuckets creates the missing buckets and checks the format version.
func (s *Store) initBuckets(tx *bolt.Tx) error {
	for _, b := range buckets {
		if _, err := tx.CreateBucketIfNotExists(b); err != nil {
			return err
		}
	}
	meta := tx.Bucket(metaBucket)
	switch v := meta.Get(versionKey); {
	case v == nil:
		return meta.Put(versionKey, []byte{formatVersion})
	case len(v) != 1 || v[0] == 0 || v[0] > formatVersion:
		return fmt.Errorf("%s: unknown format version %v; the file may have been written by a newer version of the program", s.opts.Path, v)
	}
	return nil
}

// recoverFault makes memory faults on the mapped file panic instead of crashing the process. The
// returned function, which the caller defers, turns such a panic into errDamaged. bbolt does not
// validate its pages, and in a truncated file they refer to pages beyond its end.
func (s *Store) recoverFault(err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if cause := recover(); cause != nil {
			*err = fmt.Errorf("%w: %v", errDamaged, cause)
		}
	}
}

var lastIDKey = []byte("last") // the highest ID given to a job, so that none is reused

// Close commits the queued writes and closes the file.
func (s *Store) Close() error {
	s.closeMu.Lock() // waits for callers that are queueing a write; later ones get ErrClosed
	s.closed = true
	s.closeMu.Unlock()
	close(s.stop)
	<-s.writerDone
	s.dbMu.Lock()
	defer s.dbMu.Unlock()
	if c := s.compacting; c != nil {
		<-c.copied
		c.discard()
	}
	return s.db.Close()
}
