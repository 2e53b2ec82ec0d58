package rig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// dataDir returns the directory of a voter's copy of the ledger.
func (p *Process) dataDir() string { return filepath.Join(p.dir, "ledger") }

// Wipe deletes a voter's data directory, as the loss of its disk would.
func (p *Process) Wipe() error {
	p.rig.History.add(Event{Kind: "wipe", Name: p.Name})
	return os.RemoveAll(p.dataDir())
}

// SaveCopy saves a copy of a voter's data directory for RestoreCopy. The process may be running: the copy then holds
// what a backup at that moment would hold.
func (p *Process) SaveCopy() error {
	p.rig.History.add(Event{Kind: "copy kept", Name: p.Name})
	if err := os.RemoveAll(p.dataDir() + ".kept"); err != nil {
		return err
	}
	return os.CopyFS(p.dataDir()+".kept", os.DirFS(p.dataDir()))
}

// RestoreCopy replaces a voter's data directory with the copy from SaveCopy. The process must not be running.
func (p *Process) RestoreCopy() error {
	p.rig.History.add(Event{Kind: "old copy put back", Name: p.Name})
	if err := os.RemoveAll(p.dataDir()); err != nil {
		return err
	}
	return os.CopyFS(p.dataDir(), os.DirFS(p.dataDir()+".kept"))
}

// CorruptLog corrupts every page of a voter's log after the first two. The process must not be running.
func (p *Process) CorruptLog() error {
	p.rig.History.add(Event{Kind: "log damaged", Name: p.Name})
	path := filepath.Join(p.dataDir(), "log.db")
	data, err := os.ReadFile(path) // #nosec: the rig's own directory
	if err != nil {
		return err
	}
	// The first two pages are the root pages. In each later one, 16 bytes are enough to make it invalid.
	for page := 2 * os.Getpagesize(); page+os.Getpagesize() <= len(data); page += os.Getpagesize() {
		for i := range 16 {
			data[page+i] ^= 0x5a
		}
	}
	return os.WriteFile(path, data, 0o600)
}

// SetDiskFull makes every file write of the running process fail, as on a full disk, until it is called with false or
// the process exits.
func (p *Process) SetDiskFull(on bool) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return errors.New("rig: process is not running")
	}
	p.rig.History.add(Event{Kind: "disk full", Name: p.Name, Note: fmt.Sprint(on)})
	var old unix.Rlimit
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &old); err != nil {
		return err
	}
	limit := unix.Rlimit{Cur: old.Max, Max: old.Max}
	if on {
		limit.Cur = 0
	}
	return unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}
