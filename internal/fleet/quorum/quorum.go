// Package quorum replicates a fleet's ledger with hashicorp/raft. Each voter keeps the log on its own disk and
// applies it to a ledger.State. The leader also expires leases. A voter reaches its peers over the library's
// TCP transport, by its own map of addresses.
package quorum

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"tinroute.example/tinroute/internal/fleet/ledger"
)

// Options configure a voter.
type Options struct {
	Name              string            // this voter's name in Voters
	Voters            map[string]string // addresses by name, as reached from here; this voter listens at its own
	Dir               string            // for the log and snapshots
	Bootstrap         bool              // start a new fleet if the directory is empty; set by the operator
	Settings          ledger.Settings
	Timing            ledger.Timing
	HeartbeatInterval time.Duration              // also the election timeout; 1 s if 0
	Clock             func() (now time.Duration) // must not step, and must count while the machine is suspended
	Log               *slog.Logger               // nil for no logging
}

// ErrNotLeader is returned by a voter that is not the leader. Nothing was written.
var ErrNotLeader = errors.New("quorum: not the leader")

// ErrNoState is returned by Start if the directory is empty and Bootstrap is not set. A voter that has lost
// its directory does not know whom it voted for; if it took part again under its name, it could vote twice in
// one term.
var ErrNoState = errors.New("quorum: the voter's directory has no raft log")

// ErrWrongGeneration reports that a directory, or this voter, belongs to another fleet or generation than the
// ledger.
var ErrWrongGeneration = errors.New("quorum: of another fleet or generation")

// ErrOutcomeUnknown is returned if a command may or may not have been written.
var ErrOutcomeUnknown = errors.New("quorum: may or may not be written")

const (
	retainedSnapshots = 2 // on disk
	maxPooledConns    = 3 // per peer
	// applyTimeout limits the wait until a command is committed by a majority.
	applyTimeout = 5 * time.Second
	// lockTimeout limits the wait for the lock on the log file.
	lockTimeout = time.Second
	// shutdownTimeout limits the wait for raft to stop. What it has acknowledged is on disk already.
	shutdownTimeout = time.Second
)

// idPrefix returns the prefix of each voter's raft server ID. Raft rejects votes for servers that are not in
// its configuration, and so those for a voter of another fleet or of a lost ledger.
func (o *Options) idPrefix() string {
	return fmt.Sprintf("%s/%d/", o.Settings.Fleet, o.Settings.Generation)
}

// serverID returns a voter's raft server ID.
func (o *Options) serverID(name string) raft.ServerID { return raft.ServerID(o.idPrefix() + name) }

// ServerAddr returns the address at which this process reaches a voter. It implements
// raft.ServerAddressProvider.
func (o *Options) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	name, ok := strings.CutPrefix(string(id), o.idPrefix())
	if addr := o.Voters[name]; ok && addr != "" {
		return raft.ServerAddress(addr), nil
	}
	return "", fmt.Errorf("quorum: no address for voter %q", id)
}

// identityFile is the file that records which fleet and generation the directory belongs to.
const identityFile = "ledger"

// checkIdentity compares the directory's fleet and generation with the settings, or records them if the
// directory is new.
func (o *Options) checkIdentity(existing bool) error {
	path, want := filepath.Join(o.Dir, identityFile), o.idPrefix()
	if !existing {
		return os.WriteFile(path, []byte(want), 0o600)
	}
	got, err := os.ReadFile(path)
	if err == nil && string(got) != want {
		err = fmt.Errorf("the directory belongs to %s, this voter to %s", got, want)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrWrongGeneration, err)
	}
	return nil
}

// Voter is one of a fleet's voters.
type Voter struct {
	opts      Options
	raft      *raft.Raft
	store     *checkedStore
	transport *raft.NetworkTransport
	fsm       *ledgerFSM
	stop      chan struct{}
	wg        sync.WaitGroup
}

// Start starts a voter from the log in its directory, or with a new log if Bootstrap is set and there is none.
func Start(opts Options) (v *Voter, err error) {
	if opts.Voters[opts.Name] == "" {
		return nil, fmt.Errorf("quorum: %q is not among the voters", opts.Name)
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.HeartbeatInterval <= 0 {
		opts.HeartbeatInterval = time.Second
	}
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return nil, err
	}
	config := raft.DefaultConfig()
	config.LocalID = opts.serverID(opts.Name)
	config.HeartbeatTimeout, config.ElectionTimeout, config.LeaderLeaseTimeout, config.CommitTimeout = opts.HeartbeatInterval, opts.HeartbeatInterval, opts.HeartbeatInterval/2, opts.HeartbeatInterval/20
	config.Logger = hclog.NewNullLogger()
	v = &Voter{opts: opts, fsm: &ledgerFSM{state: ledger.New(opts.Settings)}, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			_ = v.Close()
			v = nil
		}
	}()
	// Another process may hold the log, as during an upgrade. That is an error here, not an endless wait.
	if v.store, err = openStore(boltdb.Options{Path: filepath.Join(opts.Dir, "log.db"), BoltOptions: &bbolt.Options{Timeout: lockTimeout}}, v.stop); err != nil {
		return v, fmt.Errorf("quorum: %s: %w", opts.Dir, err)
	}
	snapshots, err := raft.NewFileSnapshotStore(opts.Dir, retainedSnapshots, io.Discard)
	if err != nil {
		return v, err
	}
	// The raft configuration identifies voters only by ID; their addresses come from this process's own map.
	if v.transport, err = raft.NewTCPTransportWithConfig(opts.Voters[opts.Name], nil, &raft.NetworkTransportConfig{
		MaxPool: maxPooledConns, Timeout: 2 * opts.HeartbeatInterval, Logger: config.Logger, ServerAddressProvider: &v.opts,
		// Disables pipelining: after a slow link, the pipeline's sender and reader have deadlocked, which also
		// kept the voter from closing.
		MaxRPCsInFlight: 1}); err != nil {
		return v, err
	}
	existing, err := raft.HasExistingState(v.store, v.store, snapshots)
	if err != nil {
		return v, err
	}
	if !existing && !opts.Bootstrap {
		return v, fmt.Errorf("%w: %s", ErrNoState, opts.Dir)
	}
	if err = opts.checkIdentity(existing); err != nil {
		return v, err
	}
	if !existing { // every voter bootstraps with the same configuration; one that starts late receives it from the others
		var servers []raft.Server
		for name := range opts.Voters {
			servers = append(servers, raft.Server{ID: opts.serverID(name), Address: raft.ServerAddress(name)})
		}
		slices.SortFunc(servers, func(a, b raft.Server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
		if err = raft.BootstrapCluster(config, v.store, v.store, snapshots, v.transport, raft.Configuration{Servers: servers}); err != nil {
			return v, err
		}
	}
	v.store.raftRunning.Store(true)
	if v.raft, err = newRaft(config, v.fsm, v.store, snapshots, v.transport); err != nil {
		return v, err
	}
	opts.Log.Info("raft voter started", "name", opts.Name, "fleet", opts.Settings.Fleet, "anew", !existing)
	v.wg.Go(v.expireLeases)
	return v, nil
}

// Apply replicates a command and returns its result. Only the leader can apply commands. After
// ErrOutcomeUnknown the caller should send the command again; applying a command twice has no further effect.
func (v *Voter) Apply(cmd ledger.Command) (ledger.Answer, error) {
	data, err := json.Marshal(cmd)
	if err != nil {
		return ledger.Answer{}, err
	}
	future := v.raft.Apply(data, applyTimeout)
	switch err := v.waitFuture(future); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return ledger.Answer{}, ErrNotLeader
	case err != nil:
		return ledger.Answer{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	r := future.Response().(applyResult)
	return r.answer, r.err
}

// waitFuture waits for a raft operation, or until the voter fails or is closed: raft does not complete all
// futures once its disk has failed.
func (v *Voter) waitFuture(future raft.Future) error {
	done := make(chan error, 1)
	go func() { done <- future.Error() }()
	timeout := time.NewTimer(2 * applyTimeout)
	defer timeout.Stop()
	select {
	case err := <-done:
		return err
	case <-v.store.failed:
		return v.store.cause
	case <-v.stop:
		return raft.ErrRaftShutdown
	case <-timeout.C:
		return raft.ErrEnqueueTimeout
	}
}

// Leader returns the leader's name as known to this voter, empty if it knows none.
func (v *Voter) Leader() string {
	_, id := v.raft.LeaderWithID()
	return strings.TrimPrefix(string(id), v.opts.idPrefix())
}

// View calls f with the state, which f must not keep or change.
func (v *Voter) View(f func(*ledger.State)) {
	v.fsm.mu.Lock()
	defer v.fsm.mu.Unlock()
	f(v.fsm.state)
}

// expireLeases expires leases while this voter is the leader. Each term starts to measure them again.
func (v *Voter) expireLeases() {
	monitor := ledger.LeaseMonitor{Timing: v.opts.Timing}
	ticker := time.NewTicker(max(v.opts.Timing.Lease/10, time.Millisecond))
	defer ticker.Stop()
	leading, term := false, uint64(0)
	for {
		select {
		case <-ticker.C:
		case <-v.stop:
			return
		}
		if !v.inConfiguration() {
			v.store.fail(fmt.Errorf("%w: the others have begun another one", ErrWrongGeneration))
			return
		}
		if v.raft.State() != raft.Leader {
			leading = false
			continue
		}
		// Entries of earlier leaders must be applied here before any lease is measured.
		if current := v.raft.CurrentTerm(); !leading || current != term {
			if v.waitFuture(v.raft.Barrier(applyTimeout)) != nil {
				continue
			}
			monitor.Reset()
			leading, term = true, current
			v.opts.Log.Info("elected leader of the fleet's ledger", "name", v.opts.Name, "term", term)
		}
		var due []ledger.Command
		v.View(func(s *ledger.State) { due = monitor.DueCommands(v.opts.Clock(), s) })
		for _, cmd := range due {
			if _, err := v.Apply(cmd); err != nil && !errors.Is(err, ledger.ErrExpired) {
				v.opts.Log.Warn("expiring a member failed; retrying at the next check", "err", err)
				break
			}
		}
	}
}

// Failed returns a channel that is closed when the voter has failed for the reason that Err returns. A failed
// voter takes no part in raft and must be closed.
func (v *Voter) Failed() <-chan struct{} { return v.store.failed }

// Err returns why the voter failed. It must be called only after the Failed channel is closed.
func (v *Voter) Err() error { return v.store.cause }

// inConfiguration reports whether this voter is in the raft configuration, or none is known yet.
func (v *Voter) inConfiguration() bool {
	f := v.raft.GetConfiguration()
	if v.waitFuture(f) != nil || len(f.Configuration().Servers) == 0 {
		return true
	}
	return slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool { return s.ID == v.opts.serverID(v.opts.Name) })
}

// Close stops the voter and keeps its directory.
func (v *Voter) Close() error {
	if v.raft != nil && v.raft.State() == raft.Leader { // otherwise the others elect one only after a timeout
		transferred := make(chan error, 1)
		go func() { transferred <- v.raft.LeadershipTransfer().Error() }()
		select {
		case <-transferred:
		case <-time.After(v.opts.HeartbeatInterval):
		}
	}
	close(v.stop)
	var errs []error
	if v.raft != nil {
		stopped := make(chan error, 1)
		go func() { stopped <- v.raft.Shutdown().Error() }()
		select {
		case err := <-stopped:
			errs = append(errs, err)
		case <-time.After(shutdownTimeout):
		}
	}
	v.wg.Wait()
	if v.transport != nil {
		errs = append(errs, v.transport.Close())
	}
	errs = append(errs, v.store.closeStore())
	return errors.Join(errs...)
}

// ledgerFSM implements raft.FSM with a ledger.State.
type ledgerFSM struct {
	mu    sync.Mutex
	state *ledger.State
}

// applyResult is what ledgerFSM.Apply returns.
type applyResult struct {
	answer ledger.Answer
	err    error
}

// Apply applies one log entry. An entry that cannot be decoded returns an error, and every voter skips it.
func (fsm *ledgerFSM) Apply(l *raft.Log) any {
	var cmd ledger.Command
	if err := json.Unmarshal(l.Data, &cmd); err != nil {
		return applyResult{err: fmt.Errorf("quorum: entry %d: %w", l.Index, err)}
	}
	fsm.mu.Lock()
	defer fsm.mu.Unlock()
	a, err := fsm.state.Apply(cmd)
	return applyResult{a, err}
}

// Snapshot encodes the state for raft.
func (fsm *ledgerFSM) Snapshot() (raft.FSMSnapshot, error) {
	fsm.mu.Lock()
	defer fsm.mu.Unlock()
	data, err := fsm.state.Snapshot()
	return snapshotData(data), err
}

// Restore replaces the state with a snapshot.
func (fsm *ledgerFSM) Restore(r io.ReadCloser) error {
	defer r.Close()
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	fsm.mu.Lock()
	defer fsm.mu.Unlock()
	return fsm.state.Restore(data)
}

// snapshotData is an encoded snapshot; it implements raft.FSMSnapshot.
type snapshotData []byte

// Persist writes the snapshot to the sink.
func (d snapshotData) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(d); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot. There is nothing to release.
func (snapshotData) Release() {}
