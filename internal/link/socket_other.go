//go:build !linux

package link

import (
	"net"
	"sync"
)

// hasUnreadBytes always returns false: unread bytes cannot be queried on this system.
func hasUnreadBytes(net.Conn) bool { return false }

// readable always returns false: readiness cannot be queried on this system.
func readable(net.Conn) bool { return false }

// PeerClosed always returns false: a hang-up cannot be queried on this system.
func PeerClosed(net.Conn) bool { return false }

// readLocked is not implemented on this system: ok is always false.
func readLocked(net.Conn, []byte, sync.Locker, func() bool, func()) (int, error, bool) {
	return 0, nil, false
}
