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

// During an upgrade two processes listen at the clients' address, and a worker's callback may
// reach either of them, whichever sent the request. A process that does not know the request puts
// the callback in the other's inbox, a directory in the shared $TMPDIR, which the other polls. A
// process shows that it is alive by touching its liveness file at every heartbeat.
const (
	livePrefix  = "tinroute-live."
	inboxPrefix = "tinroute-inbox."
	// heartbeatInterval is how often a process touches its liveness file and checks those of the
	// others. A liveness file older than livenessTimeout belongs to a process that has ended.
	heartbeatInterval = 100 * time.Millisecond
	livenessTimeout   = time.Second
	// inboxPollInterval is how often the inbox is read while another process is alive.
	inboxPollInterval = 10 * time.Millisecond
	// maxInboxFiles is the number of callbacks delivered in one read of the inbox; those beyond it
	// are dropped.
	maxInboxFiles = 4096
)

// Relay forwards callbacks to the other processes that share the directory. Use NewRelay to create
// one.
type Relay struct {
	dir, self     string
	deliver       func(body []byte)
	log           *slog.Logger
	peers         atomic.Pointer[[]string] // ids of the other processes that are alive
	seq           atomic.Uint64
	stop          chan struct{}
	wg            sync.WaitGroup
	failureLogged atomic.Bool // whether a failed relay has been logged
}

// NewRelay returns a relay in dir (os.TempDir() if empty) that calls deliver with each callback
// received for this process. Calls are made on the relay's goroutine and, at the end, by Close.
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

// Start creates the inbox and the liveness file of this process, looks for other processes and
// begins to receive.
func (r *Relay) Start() error {
	if err := os.MkdirAll(r.inboxDir(r.self), 0o700); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	if err := os.WriteFile(r.livenessFile(r.self), nil, 0o600); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	r.findPeers()
	r.wg.Go(r.run)
	return nil
}

// Close reads the inbox a last time, then removes it and the liveness file.
func (r *Relay) Close() {
	close(r.stop)
	r.wg.Wait()
	r.receive()
	_ = os.Remove(r.livenessFile(r.self))
	_ = os.RemoveAll(r.inboxDir(r.self))
}

// PeerCount returns the number of other processes that are alive.
func (r *Relay) PeerCount() int { return len(*r.peers.Load()) }

// Send puts a callback in the inbox of every other process that is alive, and reports whether
// it was written to at least one.
func (r *Relay) Send(body []byte) bool {
	peers := *r.peers.Load()
	sent := false
	for _, peer := range peers {
		dir := r.inboxDir(peer)
		name := fmt.Sprintf("%020d-%s-%d", time.Now().UnixNano(), r.self, r.seq.Add(1))
		tmp := filepath.Join(dir, "."+name)
		err := os.WriteFile(tmp, body, 0o600)
		if err == nil {
			err = os.Rename(tmp, filepath.Join(dir, name))
		}
		if err != nil {
			_ = os.Remove(tmp)
			if !r.failureLogged.Swap(true) {
				r.log.Warn("cannot relay a worker's callback to the other process", "to", peer, "err", err)
			}
			continue
		}
		sent = true
	}
	return sent
}

func (r *Relay) livenessFile(process string) string { return filepath.Join(r.dir, livePrefix+process) }
func (r *Relay) inboxDir(process string) string     { return filepath.Join(r.dir, inboxPrefix+process) }

func (r *Relay) run() {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	inboxPoll := time.NewTicker(inboxPollInterval)
	defer inboxPoll.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-heartbeat.C:
			now := time.Now()
			_ = os.Chtimes(r.livenessFile(r.self), now, now)
			r.findPeers()
			r.receive() // even without peers: one may have written just before it ended
		case <-inboxPoll.C:
			if r.PeerCount() > 0 {
				r.receive()
			}
		}
	}
}

// findPeers updates the list of other processes, those whose liveness file is recent.
func (r *Relay) findPeers() {
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return
	}
	var peers []string
	for _, e := range entries {
		peer, ok := strings.CutPrefix(e.Name(), livePrefix)
		if !ok || peer == r.self {
			continue
		}
		if info, err := e.Info(); err == nil && time.Since(info.ModTime()) < livenessTimeout {
			peers = append(peers, peer)
		}
	}
	if len(peers) != r.PeerCount() {
		r.log.Info("number of other dispatcher processes changed", "count", len(peers))
	}
	r.peers.Store(&peers)
}

// receive delivers the callbacks in the inbox in the order in which they were sent, and removes them.
func (r *Relay) receive() {
	dir := r.inboxDir(r.self)
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
		if i < maxInboxFiles && err == nil {
			r.deliver(body)
		}
	}
}
