//go:build !linux

package link

import (
	"net"
	"sync"
)

// pending cannot tell on this system: nothing is taken to be pending.
func pending(net.Conn) bool { return false }

// readable cannot tell on this system.
func readable(net.Conn) bool { return false }

// HungUp cannot tell on this system.
func HungUp(net.Conn) bool { return false }

func readUnder(net.Conn, []byte, sync.Locker, func() bool, func()) (int, error, bool) {
	return 0, nil, false
}
