package link

import "golang.org/x/sys/unix"

// reusePort sets SO_REUSEPORT on the socket.
func reusePort(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}
