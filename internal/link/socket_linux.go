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

// hasUnreadBytes reports whether the kernel holds unread bytes of the connection. On an idle
// connection they may be a complete request: closing the connection would lose a request that has
// been received, and the client may not be able to send it again. It returns false where the system
// cannot tell.
func hasUnreadBytes(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n, ioctlErr := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return false
	}
	return ioctlErr == nil && n > 0
}

// readable reports whether a read on the connection would return at once, with bytes or at the end of
// the stream. It returns false where the system cannot tell.
func readable(c net.Conn) bool { return poll(c, unix.POLLIN|unix.POLLRDHUP) }

// PeerClosed reports whether the peer has closed the connection, even if bytes that it sent before are
// still unread. It returns false where the system cannot tell.
func PeerClosed(c net.Conn) bool { return poll(c, unix.POLLRDHUP) }

// poll reports whether the poll system call returns one of the events, a hang-up or an error for the connection.
func poll(c net.Conn, events int16) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, pollErr := unix.Poll(fds, 0)
		ready = pollErr == nil && n > 0
	})
	return err == nil && ready
}

// readLocked reads from the connection with lock held during the system call, and calls onRead
// before it releases the lock. A holder of the lock therefore finds the bytes either in the kernel's buffer
// or recorded by onRead. If allowed, which is called under the lock, returns false, nothing is read
// and the error is net.ErrClosed. The connection must not be closed with the lock held, since Close
// waits for this read. ok is false if the connection is not backed by a file descriptor.
func readLocked(c net.Conn, buf []byte, lock sync.Locker, allowed func() bool, onRead func()) (n int, err error, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok || len(buf) == 0 {
		return 0, nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err, true
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		lock.Lock()
		defer lock.Unlock()
		if !allowed() {
			readErr = net.ErrClosed
			return true
		}
		for {
			if n, readErr = unix.Read(int(fd), buf); readErr != unix.EINTR {
				break
			}
		}
		if readErr == unix.EAGAIN {
			return false
		}
		if n > 0 {
			onRead()
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err, true
	case errors.Is(readErr, net.ErrClosed):
		return 0, readErr, true
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr), true
	case n <= 0:
		return 0, io.EOF, true
	}
	return n, nil, true
}
