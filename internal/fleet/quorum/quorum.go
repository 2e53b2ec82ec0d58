// Package quorum carries a fleet's ledger: each voter holds the same log by hashicorp/raft, on its own
// disk, and applies it to a ledger.State. The leader also lets leases lapse. A voter's peers are
// reached by its own map of addresses, over the library's transport.
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

// Options are one voter's.
type Options struct {
	Name   string            // this voter's, among Voters
	Voters map[string]string // addresses by name, as seen from here; this voter's own is what it listens at
	Dir    string            // its log and snapshots
	Begin  bool              // an operator's word that the fleet begins: an empty folder is right
	Fleet  ledger.Settings
	Terms  ledger.Terms
	Pace   time.Duration              // of heartbeats and elections, 1 s where 0
	Clock  func() (now time.Duration) // neither steps nor stands still in a suspend
	Log    *slog.Logger               // none where nil
}

// ErrNotLeader is the answer of a voter that does not lead. Nothing was written.
var ErrNotLeader = errors.New("quorum: not the leader")

// ErrEmpty is Start's answer to an empty folder without Begin. A voter that has lost its folder does not
// know whom it voted for: let in under its name, it could vote twice in one term.
var ErrEmpty = errors.New("quorum: the voter's folder holds no log")

// ErrGeneration is the cause where a folder, or a process, is of another fleet or generation than the ledger.
var ErrGeneration = errors.New("quorum: of another fleet or generation")

// ErrUnsure is the answer where a command may or may not have been written.
var ErrUnsure = errors.New("quorum: may or may not be written")

const (
	snapshots = 2
	conns     = 3
	// applyWait bounds a command's way to a majority.
	applyWait = 5 * time.Second
	lockWait  = time.Second // for the log's file
	// closeWait bounds the library's end: what it has written is on disk already.
	closeWait = time.Second
)

// prefix is before each voter's name in the replicated list: raft turns down votes for one that is not in its
// list, and so for a voter of another fleet, or of a ledger that was lost.
func (o *Options) prefix() string { return fmt.Sprintf("%s/%d/", o.Fleet.Fleet, o.Fleet.Generation) }

func (o *Options) id(name string) raft.ServerID { return raft.ServerID(o.prefix() + name) }

// ServerAddr is where this process reaches a voter; it implements raft.ServerAddressProvider.
func (o *Options) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	name, ours := strings.CutPrefix(string(id), o.prefix())
	if addr := o.Voters[name]; ours && addr != "" {
		return raft.ServerAddress(addr), nil
	}
	return "", fmt.Errorf("quorum: no address of voter %q", id)
}

// mark is the file that says whose the folder is.
const mark = "ledger"

// marked checks whose the folder is, or writes it where the folder is new.
func (o *Options) marked(had bool) error {
	path, want := filepath.Join(o.Dir, mark), o.prefix()
	if !had {
		return os.WriteFile(path, []byte(want), 0o600)
	}
	is, err := os.ReadFile(path)
	if err == nil && string(is) != want {
		err = fmt.Errorf("the folder is of %s, this is %s", is, want)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrGeneration, err)
	}
	return nil
}

// Voter is one of a fleet's voters.
type Voter struct {
	o      Options
	raft   *raft.Raft
	store  *disk
	trans  *raft.NetworkTransport
	fsm    *machine
	stop   chan struct{}
	keeper sync.WaitGroup
}

// Start starts a voter from its folder, or anew where Begin says so. Begin is ignored where there is a
// log already.
func Start(o Options) (v *Voter, err error) {
	if o.Voters[o.Name] == "" {
		return nil, fmt.Errorf("quorum: %q is not among the voters", o.Name)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Pace <= 0 {
		o.Pace = time.Second
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	c := raft.DefaultConfig()
	c.LocalID = o.id(o.Name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = o.Pace, o.Pace, o.Pace/2, o.Pace/20
	c.Logger = hclog.NewNullLogger()
	v = &Voter{o: o, fsm: &machine{state: ledger.New(o.Fleet)}, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			_ = v.Close()
			v = nil
		}
	}()
	// Another process may hold the log, as in an upgrade: that is an error here, not a wait without end.
	if v.store, err = openDisk(boltdb.Options{Path: filepath.Join(o.Dir, "log.db"), BoltOptions: &bbolt.Options{Timeout: lockWait}}, v.stop); err != nil {
		return v, fmt.Errorf("quorum: %s: %w", o.Dir, err)
	}
	snaps, err := raft.NewFileSnapshotStore(o.Dir, snapshots, io.Discard)
	if err != nil {
		return v, err
	}
	// The replicated list names voters by their ids alone; where each is reached is this process's own map.
	if v.trans, err = raft.NewTCPTransportWithConfig(o.Voters[o.Name], nil, &raft.NetworkTransportConfig{
		MaxPool: conns, Timeout: 2 * o.Pace, Logger: c.Logger, ServerAddressProvider: &v.o,
		// No pipeline: over a link that had been slow its sender and its reader were seen to wait for each
		// other for ever, and with them the voter's end.
		MaxRPCsInFlight: 1}); err != nil {
		return v, err
	}
	had, err := raft.HasExistingState(v.store, v.store, snaps)
	if err != nil {
		return v, err
	}
	if !had && !o.Begin {
		return v, fmt.Errorf("%w: %s", ErrEmpty, o.Dir)
	}
	if err = o.marked(had); err != nil {
		return v, err
	}
	if !had { // every voter begins with the same list; those that come late are told
		var servers []raft.Server
		for name := range o.Voters {
			servers = append(servers, raft.Server{ID: o.id(name), Address: raft.ServerAddress(name)})
		}
		slices.SortFunc(servers, func(a, b raft.Server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
		if err = raft.BootstrapCluster(c, v.store, v.store, snaps, v.trans, raft.Configuration{Servers: servers}); err != nil {
			return v, err
		}
	}
	v.store.runs.Store(true)
	if v.raft, err = newRaft(c, v.fsm, v.store, snaps, v.trans); err != nil {
		return v, err
	}
	o.Log.Info("voter", "name", o.Name, "fleet", o.Fleet.Fleet, "anew", !had)
	v.keeper.Go(v.keep)
	return v, nil
}

// Apply writes a command and returns what it came to. Only the leader does; ErrUnsure is to be met by
// asking again, which no command takes for a second one.
func (v *Voter) Apply(c ledger.Command) (ledger.Answer, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return ledger.Answer{}, err
	}
	f := v.raft.Apply(data, applyWait)
	switch err := v.wait(f); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return ledger.Answer{}, ErrNotLeader
	case err != nil:
		return ledger.Answer{}, fmt.Errorf("%w: %w", ErrUnsure, err)
	}
	r := f.Response().(result)
	return r.answer, r.err
}

// wait waits for the library, which does not answer all that was handed to it once its disk has failed.
func (v *Voter) wait(f raft.Future) error {
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	late := time.NewTimer(2 * applyWait)
	defer late.Stop()
	select {
	case err := <-done:
		return err
	case <-v.store.bad:
		return v.store.why
	case <-v.stop:
		return raft.ErrRaftShutdown
	case <-late.C:
		return raft.ErrEnqueueTimeout
	}
}

// Leader is the leader's name as this voter knows it, empty where it knows none.
func (v *Voter) Leader() string {
	_, id := v.raft.LeaderWithID()
	return strings.TrimPrefix(string(id), v.o.prefix())
}

// Look calls f with the state, which f must neither keep nor change.
func (v *Voter) Look(f func(*ledger.State)) {
	v.fsm.mu.Lock()
	defer v.fsm.mu.Unlock()
	f(v.fsm.state)
}

// keep lets leases lapse while this voter leads, each term counting anew.
func (v *Voter) keep() {
	k := ledger.Keeper{Terms: v.o.Terms}
	tick := time.NewTicker(max(v.o.Terms.Lease/10, time.Millisecond))
	defer tick.Stop()
	leads, term := false, uint64(0)
	for {
		select {
		case <-tick.C:
		case <-v.stop:
			return
		}
		if !v.listed() {
			v.store.fail(fmt.Errorf("%w: the others have begun another one", ErrGeneration))
			return
		}
		if v.raft.State() != raft.Leader {
			leads = false
			continue
		}
		// What earlier leaders wrote has to be applied here before any lease is counted.
		if now := v.raft.CurrentTerm(); !leads || now != term {
			if v.wait(v.raft.Barrier(applyWait)) != nil {
				continue
			}
			k.Lead()
			leads, term = true, now
			v.o.Log.Info("leads", "name", v.o.Name, "term", term)
		}
		var due []ledger.Command
		v.Look(func(s *ledger.State) { due = k.Due(v.o.Clock(), s) })
		for _, c := range due {
			if _, err := v.Apply(c); err != nil && !errors.Is(err, ledger.ErrLapsed) {
				v.o.Log.Warn("lease not ended", "err", err)
				break
			}
		}
	}
}

// Failed is closed once the voter can go on no longer, for the reason that Why tells: it is mute from then
// on and has to be closed.
func (v *Voter) Failed() <-chan struct{} { return v.store.bad }

// Why is the reason; only after Failed.
func (v *Voter) Why() error { return v.store.why }

// listed tells whether this voter is in the replicated list, or the list is not known yet.
func (v *Voter) listed() bool {
	f := v.raft.GetConfiguration()
	if v.wait(f) != nil || len(f.Configuration().Servers) == 0 {
		return true
	}
	return slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool { return s.ID == v.o.id(v.o.Name) })
}

// Close ends the voter; its folder stays.
func (v *Voter) Close() error {
	if v.raft != nil && v.raft.State() == raft.Leader { // else the others have to miss it first
		handed := make(chan error, 1)
		go func() { handed <- v.raft.LeadershipTransfer().Error() }()
		select {
		case <-handed:
		case <-time.After(v.o.Pace):
		}
	}
	close(v.stop)
	var errs []error
	if v.raft != nil {
		ended := make(chan error, 1)
		go func() { ended <- v.raft.Shutdown().Error() }()
		select {
		case err := <-ended:
			errs = append(errs, err)
		case <-time.After(closeWait):
		}
	}
	v.keeper.Wait()
	if v.trans != nil {
		errs = append(errs, v.trans.Close())
	}
	errs = append(errs, v.store.close())
	return errors.Join(errs...)
}

// machine is the ledger as raft's state machine.
type machine struct {
	mu    sync.Mutex
	state *ledger.State
}

type result struct {
	answer ledger.Answer
	err    error
}

// Apply takes one entry. One that cannot be read is an answer too: every voter skips it alike.
func (m *machine) Apply(l *raft.Log) any {
	var c ledger.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return result{err: fmt.Errorf("quorum: entry %d: %w", l.Index, err)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a, err := m.state.Apply(c)
	return result{a, err}
}

func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Snapshot()
	return image(data), err
}

func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Restore(data)
}

type image []byte

func (i image) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(i); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (image) Release() {}
