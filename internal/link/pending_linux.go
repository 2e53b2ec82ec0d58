package link

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// pending tells whether bytes have come on the connection that no one has read yet. An idle
// connection that has them holds a request that may be whole: closed now, it would end a request
// that was taken, where the client may not send it again. Where the system cannot tell, nothing is
// taken to be pending.
func pending(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n, failed := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { n, failed = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return false
	}
	return failed == nil && n > 0
}
