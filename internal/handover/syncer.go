// Package handover shares state between the old and the new dispatcher process during an upgrade,
// through files in their common $TMPDIR. A Syncer shares the set of detached workers: each process
// replaces the file atomically whenever its set changes and reads what the other wrote, and the
// higher generation wins. A truncated or unrecognized file is ignored and logged once. A Relay forwards
// the workers' callbacks that reach the wrong process.
package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"tinroute.example/tinroute/internal/override"
)

const (
	// StateFileName is the name of the detached-workers file in the shared directory.
	StateFileName = "tinroute-hand"
	// DefaultPollInterval is the default interval at which the file is checked for changes by the
	// other process. It is much shorter than the grace period of a drain.
	DefaultPollInterval = 100 * time.Millisecond
	// maxFileBytes is the size limit; a larger file is ignored.
	maxFileBytes = 1 << 20
)

// SyncerOptions configure a Syncer.
type SyncerOptions struct {
	Dir          string // os.TempDir() if empty
	Overrides    *override.Set
	Log          *slog.Logger     // discards if nil
	PollInterval time.Duration    // default if 0
	Now          func() time.Time // time.Now if nil
}

// Syncer keeps the set of detached workers and the file in sync. Use NewSyncer to create one.
type Syncer struct {
	options        SyncerOptions
	path           string
	fileGeneration uint64    // last known generation of the file
	lastFile       fileState // at the last read
	lastWarning    string    // last warning about the file, to log each fault only once
	stop           chan struct{}
	wg             sync.WaitGroup
}

type fileState struct {
	size    int64
	modTime time.Time
	exists  bool
}

// NewSyncer returns a Syncer that does nothing until Start is called.
func NewSyncer(o SyncerOptions) *Syncer {
	if o.Dir == "" {
		o.Dir = os.TempDir()
	}
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Syncer{options: o, path: filepath.Join(o.Dir, StateFileName), stop: make(chan struct{})}
}

// Start adopts the state that a predecessor left, so that it applies before anything is served,
// and then syncs in the background until Close.
func (s *Syncer) Start() {
	s.poll("adopted detached workers from the previous process")
	changed := s.options.Overrides.Subscribe()
	ticker := time.NewTicker(s.options.PollInterval)
	s.wg.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				s.save()
				return
			case <-changed:
			case <-ticker.C:
				s.poll("adopted detached workers from the other process")
			}
			s.save()
		}
	})
}

// Close writes the latest state and stops.
func (s *Syncer) Close() {
	close(s.stop)
	s.wg.Wait()
}

// poll reads the file if it has changed and adopts its state if that is newer, in which case it
// logs the given message.
func (s *Syncer) poll(message string) {
	info, err := os.Stat(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		s.warnOnce("cannot stat the detached-workers file", err)
		return
	}
	file := fileState{size: info.Size(), modTime: info.ModTime(), exists: true}
	if file == s.lastFile {
		return
	}
	s.lastFile = file
	if info.Size() > maxFileBytes {
		s.warnOnce("detached-workers file ignored", fmt.Errorf("too large: %d bytes", info.Size()))
		return
	}
	data, err := os.ReadFile(s.path)
	if err != nil {
		s.warnOnce("cannot read the detached-workers file", err)
		return
	}
	state, err := override.Decode(data)
	if err != nil {
		s.warnOnce("detached-workers file ignored", err)
		return
	}
	s.lastWarning = ""
	s.fileGeneration = max(s.fileGeneration, state.Generation)
	if s.options.Overrides.Adopt(s.options.Now(), state) {
		s.options.Log.Info(message, "ids", state.Detached, "generation", state.Generation)
	}
}

// save replaces the file if the set's generation is higher than the file's.
func (s *Syncer) save() {
	state := s.options.Overrides.State()
	if state.Generation <= s.fileGeneration {
		return
	}
	data := override.Encode(state)
	tmp := fmt.Sprintf("%s.%d.tmp", s.path, os.Getpid())
	err := os.WriteFile(tmp, data, 0o600)
	if err == nil {
		err = os.Rename(tmp, s.path)
	}
	if err != nil {
		_ = os.Remove(tmp)
		s.warnOnce("cannot write the detached-workers file", err)
		return
	}
	s.fileGeneration = state.Generation // the next poll reads this file once and finds nothing newer
}

// warnOnce logs a fault of the file, unless it is the same as the last one.
func (s *Syncer) warnOnce(message string, err error) {
	if text := message + ": " + err.Error(); text != s.lastWarning {
		s.lastWarning = text
		s.options.Log.Warn(message, "file", s.path, "err", err)
	}
}
