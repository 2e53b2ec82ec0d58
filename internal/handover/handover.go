// Package handover carries what a process hands on to its successor at an upgrade: the workers
// out by hand, through a file in the $TMPDIR that both share. Each writes the whole set whenever
// it changes, atomically, and reads what the other wrote; the newer generation wins. A file that
// is torn or foreign is ignored, with one line in the log.
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
	// StateFileName is the name of the bans' file in the shared folder.
	StateFileName = "tinroute-hand"
	// DefaultPollInterval is how often the file is looked at for what the other process wrote: a ban taken
	// there binds here well within the drain's grace.
	DefaultPollInterval = 100 * time.Millisecond
	// most bounds what is read of the file.
	most = 1 << 20
)

// SyncerOptions name the folder, the book and the log. Dir is os.TempDir() where empty.
type SyncerOptions struct {
	Dir          string
	Overrides    *override.Set
	Log          *slog.Logger
	PollInterval time.Duration // Every where 0
	Now          func() time.Time
}

// Syncer keeps the book and the file in step. Its zero value is not ready: use New.
type Syncer struct {
	o       SyncerOptions
	path    string
	written uint64 // the generation that the file holds, as far as this process knows
	seen    fileState
	told    string // the last complaint about the file, so that it is told once
	stop    chan struct{}
	done    sync.WaitGroup
}

type fileState struct {
	size int64
	mod  time.Time
	ok   bool
}

// NewSyncer returns a keeper; Start reads the file and keeps it.
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
	return &Syncer{o: o, path: filepath.Join(o.Dir, StateFileName), stop: make(chan struct{})}
}

// Start takes up what a predecessor left, before anything is served, and then keeps the file
// in step until Close.
func (k *Syncer) Start() {
	k.look("workers out by hand, taken over")
	changed := k.o.Overrides.Subscribe()
	tick := time.NewTicker(k.o.PollInterval)
	k.done.Go(func() {
		defer tick.Stop()
		for {
			select {
			case <-k.stop:
				k.write()
				return
			case <-changed:
			case <-tick.C:
				k.look("workers out by hand, as the other process wrote")
			}
			k.write()
		}
	})
}

// Close writes what is newest and stops.
func (k *Syncer) Close() {
	close(k.stop)
	k.done.Wait()
}

// look reads the file where it changed, and adopts what is newer, telling so by the line given.
func (k *Syncer) look(line string) {
	info, err := os.Stat(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		k.complain("cannot look at the file of hand bans", err)
		return
	}
	now := fileState{size: info.Size(), mod: info.ModTime(), ok: true}
	if now == k.seen {
		return
	}
	k.seen = now
	if info.Size() > most {
		k.complain("file of hand bans ignored", fmt.Errorf("%d bytes", info.Size()))
		return
	}
	data, err := os.ReadFile(k.path)
	if err != nil {
		k.complain("cannot read the file of hand bans", err)
		return
	}
	s, err := override.Decode(data)
	if err != nil {
		k.complain("file of hand bans ignored", err)
		return
	}
	k.told = ""
	k.written = max(k.written, s.Generation)
	if k.o.Overrides.Adopt(k.o.Now(), s) {
		k.o.Log.Info(line, "ids", s.Detached, "generation", s.Generation)
	}
}

// write puts the book's state down where it is newer than the file's.
func (k *Syncer) write() {
	s := k.o.Overrides.State()
	if s.Generation <= k.written {
		return
	}
	data := override.Encode(s)
	tmp := fmt.Sprintf("%s.%d.tmp", k.path, os.Getpid())
	err := os.WriteFile(tmp, data, 0o600)
	if err == nil {
		err = os.Rename(tmp, k.path)
	}
	if err != nil {
		_ = os.Remove(tmp)
		k.complain("cannot write the file of hand bans", err)
		return
	}
	k.written = s.Generation // the next look reads it once, and finds nothing newer
}

// complain tells of a fault with the file once, until it changes.
func (k *Syncer) complain(what string, err error) {
	if text := what + ": " + err.Error(); text != k.told {
		k.told = text
		k.o.Log.Warn(what, "file", k.path, "err", err)
	}
}
