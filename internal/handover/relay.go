package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// During an upgrade two processes listen at the clients' address, and a worker's call-back
// reaches either, whichever process sent the request. One that does not know the request puts
// the call-back in the other's inbox, a folder in the shared $TMPDIR, and the other takes it up
// from there. A process marks that it is alive by a file that it touches every beat.
const (
	livePrefix  = "tinroute-live."
	inboxPrefix = "tinroute-inbox."
	// beat is how often the mark is touched and the marks of others are looked at; a mark
	// older than stale is of a process that has ended.
	beat  = 100 * time.Millisecond
	stale = time.Second
	// pick is how often the inbox is looked at while another process lives.
	pick = 10 * time.Millisecond
	// inboxMost bounds what waits in an inbox: beyond it call-backs are not relayed.
	inboxMost = 4096
)

// Relay carries call-backs to the other processes that share the folder. Its zero value is not
// ready: use NewRelay.
type Relay struct {
	dir, self string
	deliver   func(body []byte)
	log       *slog.Logger
	peers     atomic.Pointer[[]string] // inboxes of the others that live
	seq       atomic.Uint64
	stop      chan struct{}
	done      sync.WaitGroup
	told      atomic.Bool // that relaying failed, once
}

// NewRelay returns a relay in dir (os.TempDir() where empty) that hands what comes for this
// process to deliver, on its own goroutine.
func NewRelay(dir string, log *slog.Logger, deliver func(body []byte)) *Relay {
	if dir == "" {
		dir = os.TempDir()
	}
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	self := strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	r := &Relay{dir: dir, self: self, deliver: deliver, log: log, stop: make(chan struct{})}
	r.peers.Store(&[]string{})
	return r
}

// Start marks this process as alive, looks for others and takes up what they send.
func (r *Relay) Start() error {
	if err := os.MkdirAll(r.inbox(r.self), 0o700); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	if err := os.WriteFile(r.mark(r.self), nil, 0o600); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	r.look()
	r.done.Go(r.run)
	return nil
}

// Close takes up what is in the inbox once more, and removes the mark and the inbox.
func (r *Relay) Close() {
	close(r.stop)
	r.done.Wait()
	r.take()
	_ = os.Remove(r.mark(r.self))
	_ = os.RemoveAll(r.inbox(r.self))
}

// PeerCount is the number of other processes that live.
func (r *Relay) PeerCount() int { return len(*r.peers.Load()) }

// Send puts a call-back in the inbox of every other process that lives, and tells whether there
// was one.
func (r *Relay) Send(body []byte) bool {
	peers := *r.peers.Load()
	sent := false
	for _, p := range peers {
		dir := r.inbox(p)
		name := fmt.Sprintf("%020d-%s-%d", time.Now().UnixNano(), r.self, r.seq.Add(1))
		tmp := filepath.Join(dir, "."+name)
		err := os.WriteFile(tmp, body, 0o600)
		if err == nil {
			err = os.Rename(tmp, filepath.Join(dir, name))
		}
		if err != nil {
			_ = os.Remove(tmp)
			if !r.told.Swap(true) {
				r.log.Warn("call-back not relayed", "to", p, "err", err)
			}
			continue
		}
		sent = true
	}
	return sent
}

func (r *Relay) mark(p string) string  { return filepath.Join(r.dir, livePrefix+p) }
func (r *Relay) inbox(p string) string { return filepath.Join(r.dir, inboxPrefix+p) }

func (r *Relay) run() {
	beats := time.NewTicker(beat)
	defer beats.Stop()
	picks := time.NewTicker(pick)
	defer picks.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-beats.C:
			now := time.Now()
			_ = os.Chtimes(r.mark(r.self), now, now)
			r.look()
			r.take() // also while alone: what came just before the other ended
		case <-picks.C:
			if r.PeerCount() > 0 {
				r.take()
			}
		}
	}
}

// look finds the others whose marks are fresh.
func (r *Relay) look() {
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return
	}
	var peers []string
	for _, e := range entries {
		p, ok := strings.CutPrefix(e.Name(), livePrefix)
		if !ok || p == r.self {
			continue
		}
		if info, err := e.Info(); err == nil && time.Since(info.ModTime()) < stale {
			peers = append(peers, p)
		}
	}
	if len(peers) != r.PeerCount() {
		r.log.Info("processes beside this one", "count", len(peers))
	}
	r.peers.Store(&peers)
}

// take hands on what is in the inbox, in the order it came, and removes it.
func (r *Relay) take() {
	dir := r.inbox(r.self)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return
	}
	for i, e := range entries { // ReadDir sorts by name, and names begin with the time
		if strings.HasPrefix(e.Name(), ".") {
			continue
		}
		path := filepath.Join(dir, e.Name())
		body, err := os.ReadFile(path)
		_ = os.Remove(path)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if i < inboxMost && err == nil {
			r.deliver(body)
		}
	}
}
