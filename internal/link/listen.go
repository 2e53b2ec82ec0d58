package link

import (
	"context"
	"net"
	"syscall"
)

// Listen opens a TCP listener with SO_REUSEPORT, so that during an upgrade the old and the new
// process can listen on the same address. The kernel distributes new connections between them until
// the old process closes its listener. Without the option the new process could not bind while the
// old one serves, and clients would be refused in the gap between the two.
func Listen(network, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) { err = reusePort(fd) }); e != nil {
			return e
		}
		return err
	}}
	return lc.Listen(context.Background(), network, addr)
}
