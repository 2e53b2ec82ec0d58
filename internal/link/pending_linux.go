package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
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

// readable tells whether a read on the connection would return at once, with bytes or with its end. Where
// the system cannot tell it does not.
func readable(c net.Conn) bool { return polled(c, unix.POLLIN|unix.POLLRDHUP) }

// PeerClosed tells whether the peer has closed the connection, also where bytes that it sent before have
// not been read yet. Where the system cannot tell it has not.
func PeerClosed(c net.Conn) bool { return polled(c, unix.POLLRDHUP) }

// polled tells whether one of the events, a hang-up or an error has come on a connection.
func polled(c net.Conn, events int16) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	come := false
	err = raw.Control(func(fd uintptr) {
		wait := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, failed := unix.Poll(wait, 0)
		come = failed == nil && n > 0
	})
	return err == nil && come
}

// readUnder reads what has come, and calls took while it still holds the lock under which the bytes
// left the system's hands, so that nobody who holds it finds them in neither place. Where may, asked
// under it, says no, nothing is read. Whoever holds the lock must not close the connection: a close
// waits for this. ok is false where the connection is none of the system's.
func readUnder(c net.Conn, buf []byte, lock sync.Locker, may func() bool, took func()) (n int, err error, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok || len(buf) == 0 {
		return 0, nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err, true
	}
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		lock.Lock()
		defer lock.Unlock()
		if !may() {
			failed = net.ErrClosed
			return true
		}
		for {
			if n, failed = unix.Read(int(fd), buf); failed != unix.EINTR {
				break
			}
		}
		if failed == unix.EAGAIN {
			return false
		}
		if n > 0 {
			took()
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err, true
	case errors.Is(failed, net.ErrClosed):
		return 0, failed, true
	case failed != nil:
		return 0, os.NewSyscallError("read", failed), true
	case n <= 0:
		return 0, io.EOF, true
	}
	return n, nil, true
}
